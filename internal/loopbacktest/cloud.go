package loopbacktest

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"sagevale/internal/protocol"
)

// Cloud rents machines by the protocol.
type Cloud struct {
	Workers *Workers
	next    int
	rentals map[string][]string
}

// NewCloud makes a cloud without machines.
func NewCloud(w *Workers) *Cloud { return &Cloud{Workers: w, rentals: make(map[string][]string)} }

// Handler serves the protocol.
func (c *Cloud) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", c.catalogue)
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/delete", c.remove)
	mux.HandleFunc("GET /rentals", c.list)
	return mux
}

func (c *Cloud) catalogue(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, map[string]any{"Breeds": []map[string]any{{
		"Sku": "cpu", "Cpus": 16.0, "Gpus": 0.0, "MemoryGb": 64.0, "LocalGb": 100.0, "PullGbPerS": 5.0, "Hourly": 1.0, "LowPrice": 0.3,
		"BootS": c.Workers.timing.Boot.Seconds(), "Pastures": []string{"a", "b"},
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
	for i := 0; !known && i < rental.Count; i++ {
		m := &machine{
			id: c.next, name: protocol.MachineName(c.next), kind: rental.Type, zone: rental.Zone, spot: rental.Spot, rented: time.Now(),
			tasks: make(map[taskName]*task), changed: make(chan struct{}, 1), steward: c.next % len(c.Workers.nodes),
		}
		c.next++
		c.Workers.machines[m.id] = m
		c.Workers.boot(m)
		names = append(names, m.name)
	}
	c.rentals[rental.Name] = names
	reply(w, http.StatusOK, protocol.MachineNames{Machines: names})
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
			m.deleted = true
			if m.server != nil {
				_ = m.server.Close()
			}
		}
	}
	reply(w, http.StatusOK, struct{}{})
}

func (c *Cloud) list(w http.ResponseWriter, r *http.Request) {
	after := -1
	if from := r.URL.Query().Get("From"); from != "" {
		after, _ = protocol.ParseMachine(from)
	}
	c.Workers.mu.Lock()
	defer c.Workers.mu.Unlock()
	mounts := []map[string]any{}
	for id, m := range c.Workers.machines {
		if id <= after || m.deleted {
			continue
		}
		standing := "booting"
		if m.up {
			standing = "running"
		}
		mounts = append(mounts, map[string]any{"Id": m.name, "Addr": m.addr, "Breed": m.kind, "Pasture": m.zone, "Loaner": m.spot, "Standing": standing, "AgeS": time.Since(m.rented).Seconds()})
	}
	sort.Slice(mounts, func(a, b int) bool { return mounts[a]["Id"].(string) < mounts[b]["Id"].(string) })
	reply(w, http.StatusOK, map[string]any{"Mounts": mounts, "More": false})
}
