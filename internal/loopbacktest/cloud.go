package loopbacktest

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"sagevale/internal/protocol"
)

// maxPageSize is the maximum number of machines on a page of the machine list.
const maxPageSize = 500

// Cloud is the stand-in for the cloud's API. Workers.mu guards it.
type Cloud struct {
	workers      *Workers
	cpus         float64 // processors per machine
	machineLimit int     // maximum number of machines; 0: no limit
	nextID       int
	launched     map[string][]string // machine names, keyed by the launch request's name; makes launches idempotent
}

// newCloud returns a cloud without machines.
func newCloud(w *Workers, o *Options) *Cloud {
	return &Cloud{workers: w, cpus: o.MachineCPUs, machineLimit: o.MachineLimit, launched: make(map[string][]string)}
}

// createInitialMachines creates the machines that exist when the fleet starts, spread over the zones.
func (c *Cloud) createInitialMachines(count int) {
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	for i := range count {
		m := c.createMachine(machineTypeName, zones[i%len(zones)], false)
		// The boot times are spread over one heartbeat interval, and so are the heartbeats, as in a fleet that has run
		// for a long time.
		c.workers.bootAfter(m, time.Duration(i)*c.workers.timing.Heartbeat/time.Duration(count))
	}
}

// createMachine creates a machine that is not booted yet.
func (c *Cloud) createMachine(typeName, zone string, spot bool) *machine {
	m := c.workers.addMachine(c.nextID, protocol.MachineName(c.nextID), typeName, zone, spot)
	c.nextID++
	return m
}

// handler returns the HTTP handler of the cloud's API.
func (c *Cloud) handler() http.Handler {
	mux := http.NewServeMux()
	withCounting := c.workers.traffic.withCounting
	mux.HandleFunc("GET /catalog", withCounting(CloudCalls, c.listTypes))
	mux.HandleFunc("POST /rentals", withCounting(CloudCalls, c.launch))
	mux.HandleFunc("POST /rentals/delete", withCounting(CloudCalls, c.terminate))
	mux.HandleFunc("GET /rentals", withCounting(CloudCalls, c.listMachines))
	return mux
}

// machineType is a machine type on the wire.
type machineType struct {
	Name      string   `json:"Sku"`
	CPUs      float64  `json:"Cpus"`
	GPUs      float64  `json:"Gpus"`
	MemoryGB  float64  `json:"MemoryGb"`
	CacheGB   float64  `json:"LocalGb"`
	FetchGBPS float64  `json:"PullGbPerS"`
	Price     float64  `json:"Hourly"`
	SpotPrice float64  `json:"LowPrice"`
	BootS     float64  `json:"BootS"`
	Zones     []string `json:"Pastures"`
}

// machineTypes is the list of machine types on the wire.
type machineTypes struct {
	Types []machineType `json:"Breeds"`
}

func (c *Cloud) listTypes(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, machineTypes{[]machineType{{
		Name: machineTypeName, CPUs: c.cpus, MemoryGB: 4 * c.cpus, CacheGB: 100, FetchGBPS: 5, Price: 1, SpotPrice: 0.3,
		BootS: c.workers.timing.Boot.Seconds(), Zones: zones,
	}}})
}

// launch creates machines. A repeated request with the same name returns the same machines.
func (c *Cloud) launch(w http.ResponseWriter, r *http.Request) {
	var request protocol.LaunchRequest
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Count < 1 {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	names, known := c.launched[request.Name]
	if !known {
		names = c.createRequestedMachines(request)
		if len(names) == 0 {
			writeJSON(w, http.StatusServiceUnavailable, errorBody{"no capacity"})
			return
		}
		c.launched[request.Name] = names
	}
	writeJSON(w, http.StatusOK, protocol.MachineNames{Machines: names})
}

// createRequestedMachines creates the machines of one launch request, as far as the machine limit allows.
func (c *Cloud) createRequestedMachines(request protocol.LaunchRequest) (names []string) {
	for range request.Count {
		if c.machineLimit > 0 && len(c.workers.byAddr) >= c.machineLimit {
			break
		}
		m := c.createMachine(request.Type, request.Zone, request.Spot)
		c.workers.bootAfter(m, c.workers.timing.Boot)
		names = append(names, m.name)
	}
	return names
}

func (c *Cloud) terminate(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if json.NewDecoder(r.Body).Decode(&names) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	ids, err := names.IDs()
	if err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	for _, id := range ids {
		if m := c.workers.machines[id]; m != nil && !m.deleted {
			c.workers.deleteMachine(m)
		}
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// listedMachine is a machine in the machine list on the wire.
type listedMachine struct {
	ID    string  `json:"Id"`
	Addr  string  `json:"Addr"`
	Type  string  `json:"Breed"`
	Zone  string  `json:"Pasture"`
	Spot  bool    `json:"Loaner"`
	State string  `json:"Standing"`
	AgeS  float64 `json:"AgeS"`
}

// machineList is a page of the machine list on the wire.
type machineList struct {
	Machines []listedMachine `json:"Mounts"`
	More     bool            `json:"More"`
}

func (c *Cloud) listMachines(w http.ResponseWriter, r *http.Request) {
	afterID, pageSize := -1, maxPageSize
	if from := r.URL.Query().Get("From"); from != "" {
		afterID, _ = protocol.ParseMachineName(from) // 0 if from is not a machine's name
	}
	if n, err := strconv.Atoi(r.URL.Query().Get("Page")); err == nil && n > 0 && n < pageSize {
		pageSize = n
	}
	c.workers.mu.Lock()
	defer c.workers.mu.Unlock()
	machines := []listedMachine{}
	for id, m := range c.workers.machines {
		if id <= afterID || m.deleted {
			continue
		}
		state := "booting"
		if m.booted {
			state = "running"
		}
		machines = append(machines, listedMachine{
			ID: m.name, Addr: m.addr, Type: m.typeName, Zone: m.zone, Spot: m.spot, State: state, AgeS: time.Since(m.createdAt).Seconds(),
		})
	}
	slices.SortFunc(machines, func(a, b listedMachine) int { return cmp.Compare(a.ID, b.ID) })
	writeJSON(w, http.StatusOK, machineList{Machines: machines[:min(pageSize, len(machines))], More: len(machines) > pageSize})
}
