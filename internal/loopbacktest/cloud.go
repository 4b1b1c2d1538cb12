package loopbacktest

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"time"

	"sagevale/internal/protocol"
)

// machineKind is the only type of machine.
const machineKind = "cpu"

// Cloud rents machines by the protocol.
type Cloud struct {
	Workers *Workers
	cpus    float64
	limit   int // 0: as many machines as are asked for
	next    int
	rentals map[string][]string
}

// NewCloud makes a cloud without machines.
func NewCloud(w *Workers, o *Options) *Cloud {
	return &Cloud{Workers: w, cpus: o.MachineCPUs, limit: o.MachineLimit, rentals: make(map[string][]string)}
}

// Provide has machines run from the start, spread over the zones.
func (c *Cloud) Provide(count int) {
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	for i := range count {
		m := c.create(machineKind, zones[i%len(zones)], false)
		// They come up within a report interval, as if they had been up for long.
		c.Workers.boot(m, time.Duration(i)*c.Workers.timing.Report/time.Duration(count))
	}
}

// create makes a machine. The workers' lock is held.
func (c *Cloud) create(kind, zone string, spot bool) *machine {
	m := c.Workers.add(c.next, protocol.MachineName(c.next), kind, zone, spot)
	c.next++
	return m
}

// Handler serves the protocol.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	count := c.Workers.traffic.Counted
	mux.HandleFunc("GET /catalog", count(CloudCalls, c.catalogue))
	mux.HandleFunc("POST /rentals", count(CloudCalls, c.rent))
	mux.HandleFunc("POST /rentals/delete", count(CloudCalls, c.remove))
	mux.HandleFunc("GET /rentals", count(CloudCalls, c.list))
	return mux
}

func (c *Cloud) catalogue(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, map[string]any{"Breeds": []map[string]any{{
		"Sku": machineKind, "Cpus": c.cpus, "Gpus": 0.0, "MemoryGb": 4 * c.cpus, "LocalGb": 100.0, "PullGbPerS": 5.0, "Hourly": 1.0, "LowPrice": 0.3,
		"BootS": c.Workers.timing.Boot.Seconds(), "Pastures": zones,
	}}})
}

func (c *Cloud) rent(w http.ResponseWriter, r *http.Request) {
	var rental protocol.Rental
	if json.NewDecoder(r.Body).Decode(&rental) != nil || rental.Count < 1 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	names, known := c.rentals[rental.Name]
	if !known {
		names = c.createAll(rental)
		if len(names) == 0 {
			reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
			return
		}
		c.rentals[rental.Name] = names
	}
	reply(w, http.StatusOK, protocol.MachineNames{Machines: names})
}

// createAll makes the machines of one rental, as far as the limit allows.
func (c *Cloud) createAll(rental protocol.Rental) (names []string) {
	for range rental.Count {
		if c.limit > 0 && len(c.Workers.byAddr) >= c.limit {
			break
		}
		m := c.create(rental.Type, rental.Zone, rental.Spot)
		c.Workers.boot(m, c.Workers.timing.Boot)
		names = append(names, m.name)
	}
	return names
}

func (c *Cloud) remove(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if json.NewDecoder(r.Body).Decode(&names) != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	ids, err := names.IDs()
	if err != nil {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	for _, id := range ids {
		if m := c.Workers.machines[id]; m != nil && !m.deleted {
			c.Workers.remove(m)
		}
	}
	reply(w, http.StatusOK, struct{}{})
}

// listed is a machine in the cloud's list.
type listed struct {
	ID       string `json:"Id"`
	Addr     string
	Breed    string
	Pasture  string
	Loaner   bool
	Standing string
	AgeS     float64
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after, page := -1, 500
	if from := r.URL.Query().Get("From"); from != "" {
		after, _ = protocol.ParseMachine(from)
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("Page")); err == nil && n > 0 && n < page {
		page = n
	}
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	mounts := []listed{}
	for id, m := range c.Workers.machines {
		if id <= after || m.deleted {
			continue
		}
		standing := "booting"
		if m.up {
			standing = "running"
		}
		mounts = append(mounts, listed{m.name, m.addr, m.kind, m.zone, m.spot, standing, time.Since(m.rented).Seconds()})
	}
	sort.Slice(mounts, func(a, b int) bool { return mounts[a].ID < mounts[b].ID })
	more := len(mounts) > page
	reply(w, http.StatusOK, map[string]any{"Mounts": mounts[:min(page, len(mounts))], "More": more})
}
