//go:build review

package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Type is a machine type of the catalog.
type Type struct {
	Name       string   `json:"Sku"`
	CPUs       float64  `json:"Cpus"`
	GPUs       float64  `json:"Gpus"`
	MemoryGB   float64  `json:"MemoryGb"`
	LocalGB    float64  `json:"LocalGb"`
	PullGBPerS float64  `json:"PullGbPerS"`
	Price      float64  `json:"Hourly"`
	Low        float64  `json:"LowPrice"`
	BootS      float64  `json:"BootS"`
	Zones      []string `json:"Pastures"`
}

// Cloud is a stand-in for the cloud.
type Cloud struct {
	Types []Type
	Most  map[string]int // machines of a type that there are, at most; missing: none to rent

	f       *Fleet
	mu      sync.Mutex
	workers []*Worker
	rentals map[string][]string
}

func newCloud(f *Fleet) *Cloud {
	return &Cloud{f: f, rentals: make(map[string][]string), Most: make(map[string]int)}
}

// Workers returns all machines, in the order of their names.
func (c *Cloud) Workers() []*Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.workers)
}

// Add adds a machine that is up at once.
func (c *Cloud) Add(typeName, zone string, spot bool) (*Worker, error) {
	c.mu.Lock()
	w, err := c.create(typeName, zone, spot)
	c.mu.Unlock()
	if err == nil {
		w.boot()
	}
	return w, err
}

func (c *Cloud) create(typeName, zone string, spot bool) (*Worker, error) {
	i := slices.IndexFunc(c.Types, func(t Type) bool { return t.Name == typeName })
	if i < 0 {
		return nil, fmt.Errorf("no type %s", typeName)
	}
	w := &Worker{
		Name: fmt.Sprintf("host-%06d", len(c.workers)+1), Type: typeName, Zone: zone, Spot: spot, f: c.f, typ: c.Types[i],
		changed: make(chan struct{}, 1), stop: make(chan struct{}), createdAt: time.Now(),
		tasks: make(map[taskKey]*task), images: make(map[string]time.Time), controller: len(c.workers) % len(c.f.Controllers),
	}
	var err error
	if w.Addr, err = c.f.Serve(w.handler()); err != nil {
		return nil, err
	}
	c.workers = append(c.workers, w)
	return w, nil
}

func (c *Cloud) close() {
	for _, w := range c.Workers() {
		w.delete()
	}
}

func (c *Cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, object{"Breeds": c.Types}) })
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/delete", c.remove)
	mux.HandleFunc("GET /rentals", c.list)
	return mux
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Hire, Breed, Pasture string
		Loaner               bool
		Count                int
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.Count < 1 || q.Count > 50 || q.Hire == "" {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	names, known := c.rentals[q.Hire]
	if !known {
		present := 0
		for _, m := range c.workers {
			if m.Type == q.Breed && !m.gone() {
				present++
			}
		}
		for range min(q.Count, c.Most[q.Breed]-present) {
			m, err := c.create(q.Breed, q.Pasture, q.Loaner)
			if err != nil {
				break
			}
			names = append(names, m.Name)
			time.AfterFunc(secs(m.typ.BootS), func() {
				if !m.gone() {
					m.boot()
				}
			})
		}
		if len(names) == 0 {
			reply(w, 503, object{"error": "no capacity"})
			return
		}
		c.rentals[q.Hire] = names
	}
	c.f.Logf("cloud: %s rents %v", q.Hire, names)
	reply(w, 200, object{"Mounts": names})
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var q struct{ Mounts []string }
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Mounts) > 100 {
		reply(w, 400, object{"error": "malformed"})
		return
	}
	for _, m := range c.Workers() {
		if slices.Contains(q.Mounts, m.Name) {
			m.delete()
		}
	}
	reply(w, 200, object{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	from := r.URL.Query().Get("From")
	page := 500
	if n, err := strconv.Atoi(r.URL.Query().Get("Page")); err == nil && n > 0 && n < page {
		page = n
	}
	at := time.Now().Add(-secs(c.f.Settings.ListLagS))
	mounts := []object{}
	workers := c.Workers()
	sort.Slice(workers, func(a, b int) bool { return workers[a].Name < workers[b].Name })
	more := false
	for _, m := range workers {
		gone := m.deletedAt.Load()
		if m.Name <= from || m.createdAt.After(at) || gone != nil && gone.Before(at) {
			continue
		}
		if len(mounts) == page {
			more = true
			break
		}
		standing := "booting"
		if m.up.Load() {
			standing = "running"
		}
		mounts = append(mounts, object{"Id": m.Name, "Addr": m.Addr, "Breed": m.Type, "Pasture": m.Zone, "Loaner": m.Spot, "Standing": standing, "AgeS": at.Sub(m.createdAt).Seconds()})
	}
	reply(w, 200, object{"Mounts": mounts, "More": more})
}
