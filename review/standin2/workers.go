//go:build review

package standin2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// MachineType is a type in the cloud's catalog.
type MachineType struct {
	Sku        string
	Cpus       float64
	Gpus       float64
	MemoryGb   float64
	LocalGb    float64
	PullGbPerS float64
	Hourly     float64
	LowPrice   float64
	BootS      float64
	Pastures   []string
}

// Machine says what machine to add.
type Machine struct {
	Type, Zone string
	Loaner     bool
}

type task struct {
	Chore    string `json:"Chore"`
	Try      uint64 `json:"Try"`
	Standing string `json:"Standing"`
	Cause    string `json:"Cause,omitempty"`
	Stored   bool   `json:"Stored,omitempty"`
	job      Job
	timer    *time.Timer
}

type taskKey struct {
	chore string
	try   uint64
}

type machine struct {
	w       *Workers
	id      int
	name    string
	addr    string
	kind    MachineType
	zone    string
	loaner  bool
	created time.Time
	up      bool
	gone    bool
	server  *http.Server

	ride, tally, baton uint64
	renewed            time.Time
	tasks              map[taskKey]*task
	images             map[string]float64 // cached
	imageOrder         []string           // least recently used first
	pulling            map[string]bool
	changed            chan struct{}
	node               int
}

// Workers are the machines, their workers, and the cloud that rents them.
type Workers struct {
	f        *Fleet
	mu       sync.Mutex
	machines []*machine
	jobs     map[string]Job
	hires    map[string][]string
	started  map[string]int // task -> number of starts
	twice    []string
	// Starts is called with each start, with mu held.
	Starts func(chore, machine, zone string, job Job)
	// Done is called when a task has completed, with mu held.
	Done func(chore string, at time.Time)
	// HoldUp returns how long a direct command is held up on its way. It is then carried out, and never answered. 0: not at all.
	HoldUp func() time.Duration
}

// Lock locks the state that the callbacks share with a driver.
func (w *Workers) Lock() { w.mu.Lock() }

// Unlock ends Lock.
func (w *Workers) Unlock() { w.mu.Unlock() }

func newWorkers(f *Fleet) *Workers {
	return &Workers{f: f, jobs: make(map[string]Job), hires: make(map[string][]string), started: make(map[string]int)}
}

// AddJob uploads the description of a job for the workers.
func (w *Workers) AddJob(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// Started returns how many tasks have been started, and how many starts there were.
func (w *Workers) Started() (tasks, starts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.started {
		tasks++
		starts += n
	}
	return tasks, starts
}

// OnMachines returns how many tasks of a job are on machines, from the moment that they have their image.
func (w *Workers) OnMachines(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if strings.HasPrefix(t.Chore, job+"/") && t.Standing == "running" {
				n++
			}
		}
	}
	return n
}

func (w *Workers) kind(name string) MachineType {
	for _, t := range w.f.Options.Types {
		if t.Sku == name {
			return t
		}
	}
	return MachineType{}
}

// add adds a machine that boots for the given time. mu needn't be held before the cloud serves.
func (w *Workers) add(o Machine, boot time.Duration) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := len(w.machines) + 1
	m := &machine{
		w: w, id: id, name: fmt.Sprintf("host-%06d", id), addr: l.Addr().String(), kind: w.kind(o.Type), zone: o.Zone, loaner: o.Loaner,
		created: time.Now(), tasks: make(map[taskKey]*task), images: make(map[string]float64), pulling: make(map[string]bool),
		changed: make(chan struct{}, 1), node: id % len(w.f.Nodes),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", m.serveOrders)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		raw := m.report()
		w.mu.Unlock()
		_, _ = rw.Write(raw)
	})
	m.server = &http.Server{Handler: mux}
	w.machines = append(w.machines, m)
	time.AfterFunc(boot, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.gone {
			return
		}
		m.up, m.ride, m.renewed = true, 1, time.Now()
		w.f.Log.Event("machine up", "machine", m.name, "zone", m.zone, "type", m.kind.Sku)
		go func() { _ = m.server.Serve(l) }()
		go m.run()
	})
	return nil
}

// report returns the worker's report, with mu held.
func (m *machine) report() []byte {
	m.tally++
	tasks := []*task{}
	for _, t := range m.tasks {
		tasks = append(tasks, t)
	}
	sort.Slice(tasks, func(a, b int) bool { return tasks[a].Chore < tasks[b].Chore })
	raw, _ := json.Marshal(map[string]any{
		"Mount": m.name, "Addr": m.addr, "Breed": m.kind.Sku, "Pasture": m.zone, "Loaner": m.loaner, "Ride": m.ride,
		"Tally": m.tally, "Baton": m.baton, "WarningS": nil, "Chores": tasks,
	})
	return raw
}

func (m *machine) change() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// run sends reports.
func (m *machine) run() {
	o := &m.w.f.Options
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	next, last := time.Now(), time.Time{}
	pending := false
	for {
		if wait := time.Until(next); wait > 0 {
			select {
			case <-m.changed:
				pending = true
			case <-time.After(min(wait, 100*time.Millisecond)):
			}
		}
		m.w.mu.Lock()
		if m.gone {
			m.w.mu.Unlock()
			return
		}
		m.checkLease()
		m.w.mu.Unlock()
		if early := last.Add(500 * time.Millisecond); pending && early.Before(next) {
			next = early
		}
		if time.Now().Before(next) {
			continue
		}
		pending = false
		interval := time.Duration(o.ReportS * (0.75 + rand.Float64()/2) * float64(time.Second))
		last, next = time.Now(), time.Now().Add(interval)
		if !m.send(client) {
			next = time.Now().Add(time.Second)
		}
	}
}

// checkLease ends the session when the lease has expired. mu is held.
func (m *machine) checkLease() {
	if time.Since(m.renewed).Seconds() <= m.w.f.Options.LeaseS {
		return
	}
	m.w.f.Log.Event("worker lease expired", "machine", m.name, "ride", m.ride, "tasks", len(m.tasks))
	for k, t := range m.tasks {
		if t.timer != nil {
			t.timer.Stop()
		}
		delete(m.tasks, k)
	}
	m.ride++
	m.renewed = time.Now()
	m.change()
}

type orders struct {
	Baton  uint64
	Ride   uint64
	Orders []struct {
		Verb    string
		Chore   string
		Try     uint64
		LeewayS float64
	}
}

// send sends one report, and reports whether the worker stays with the node or goes on at once.
func (m *machine) send(client *http.Client) bool {
	m.w.mu.Lock()
	raw, ride, node := m.report(), m.ride, m.node
	m.w.mu.Unlock()
	sent := time.Now()
	resp, err := client.Post("http://"+m.w.f.Nodes[node].Addr+"/agent/beat", "application/json", bytes.NewReader(raw))
	status := 0
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
	}
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if err == nil && status == http.StatusOK {
		var o orders
		if json.Unmarshal(body, &o) == nil && o.Baton >= m.baton && o.Baton > 0 && ride == m.ride && time.Since(sent) < 4*time.Second {
			if o.Baton > m.baton {
				m.change()
			}
			m.baton, m.renewed = o.Baton, sent
			m.execute(&o)
		}
		return true
	}
	if status != http.StatusMisdirectedRequest {
		m.w.f.Log.Event("report not taken", "machine", m.name, "node", m.w.f.Nodes[node].Name, "bytes", len(raw), "status", status, "answer", string(body), "error", err)
	}
	client.CloseIdleConnections()
	var steer struct{ Steward string }
	_ = json.Unmarshal(body, &steer)
	for i, n := range m.w.f.Nodes {
		if status == http.StatusMisdirectedRequest && n.Name == steer.Steward && i != node {
			m.node = i
			m.change()
			return true
		}
	}
	m.node = (node + 1) % len(m.w.f.Nodes)
	return false
}

func (m *machine) serveOrders(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	if m.w.HoldUp != nil {
		if d := m.w.HoldUp(); d > 0 {
			m.w.f.Log.Event("direct command held up", "machine", m.name, "for", d, "body", string(raw))
			time.AfterFunc(d, func() {
				m.w.mu.Lock()
				defer m.w.mu.Unlock()
				status, _ := m.orders(raw)
				m.w.f.Log.Event("direct command carried out late", "machine", m.name, "status", status, "body", string(raw))
			})
			<-r.Context().Done()
			return
		}
	}
	m.w.mu.Lock()
	status, body := m.orders(raw)
	m.w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(body)
}

// orders carries out a direct command, and returns the answer. mu is held.
func (m *machine) orders(raw []byte) (int, []byte) {
	var o orders
	m.checkLease()
	status := http.StatusOK
	switch {
	case json.Unmarshal(raw, &o) != nil || o.Baton == 0 || o.Ride == 0:
		status = http.StatusBadRequest
	case o.Baton < m.baton || o.Ride != m.ride || m.gone:
		status = http.StatusConflict
	default:
		if o.Baton > m.baton {
			m.baton = o.Baton
			m.change()
		}
		m.execute(&o)
	}
	return status, m.report()
}

// execute executes orders. mu is held.
func (m *machine) execute(o *orders) {
	for _, c := range o.Orders {
		key := taskKey{c.Chore, c.Try}
		t := m.tasks[key]
		switch {
		case c.Verb == "run" && t == nil:
			m.start(key)
		case c.Verb == "stop" && t != nil && t.Standing != "ended":
			m.end(t, "stopped")
		case c.Verb == "forget" && t != nil && t.Standing == "ended":
			delete(m.tasks, key)
			m.change()
		}
	}
}

func (m *machine) end(t *task, cause string) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.Standing == "running" {
		m.w.f.Log.Event("task ended", "task", t.Chore, "try", t.Try, "machine", m.name, "cause", cause)
	}
	t.Standing, t.Cause = "ended", cause
	m.change()
}

// start starts a task. mu is held.
func (m *machine) start(key taskKey) {
	t := &task{Chore: key.chore, Try: key.try, Standing: "pulling"}
	m.tasks[key] = t
	m.change()
	id, _, _ := strings.Cut(key.chore, "/")
	j, known := m.w.jobs[id]
	t.job = j
	if !known {
		m.end(t, "unknown")
		return
	}
	cpus, gpus, memory := j.Cpus, j.Gpus, j.MemoryGb
	for k, other := range m.tasks {
		if other == t || other.Standing == "ended" {
			continue
		}
		if k.chore == key.chore {
			m.end(t, "busy")
			return
		}
		cpus, gpus, memory = cpus+other.job.Cpus, gpus+other.job.Gpus, memory+other.job.MemoryGb
	}
	if cpus > m.kind.Cpus+1e-6 || gpus > m.kind.Gpus+1e-6 || memory > m.kind.MemoryGb+1e-6 {
		m.end(t, "full")
		return
	}
	if _, ok := m.images[j.Kit]; ok {
		m.image(j)
		m.begin(t)
		return
	}
	if m.pulling[j.Kit] {
		return
	}
	m.pulling[j.Kit] = true
	ride := m.ride
	time.AfterFunc(time.Duration(j.ImageGb/m.kind.PullGbPerS*float64(time.Second)), func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		delete(m.pulling, j.Kit)
		if m.gone || m.ride != ride {
			return
		}
		m.image(j)
		for _, other := range m.tasks {
			if other.Standing == "pulling" && other.job.Kit == j.Kit {
				m.begin(other)
			}
		}
	})
}

// image keeps an image in the cache, and drops the least recently used ones that no longer fit.
func (m *machine) image(j Job) {
	m.images[j.Kit] = j.ImageGb
	for i, k := range m.imageOrder {
		if k == j.Kit {
			m.imageOrder = append(m.imageOrder[:i], m.imageOrder[i+1:]...)
			break
		}
	}
	m.imageOrder = append(m.imageOrder, j.Kit)
	total := 0.0
	for _, gb := range m.images {
		total += gb
	}
	for total > m.kind.LocalGb && len(m.imageOrder) > 1 {
		total -= m.images[m.imageOrder[0]]
		delete(m.images, m.imageOrder[0])
		m.imageOrder = m.imageOrder[1:]
	}
}

func (m *machine) begin(t *task) {
	t.Standing = "running"
	m.w.started[t.Chore]++
	for _, other := range m.w.machines {
		for _, o := range other.tasks {
			if o != t && o.Chore == t.Chore && (o.Standing == "running" || o.Standing == "saving") {
				m.w.twice = append(m.w.twice, fmt.Sprintf("ran_twice: %s on %s and %s", t.Chore, m.name, other.name))
			}
		}
	}
	m.w.f.Log.Event("task runs", "task", t.Chore, "try", t.Try, "machine", m.name, "zone", m.zone)
	if m.w.Starts != nil {
		m.w.Starts(t.Chore, m.name, m.zone, t.job)
	}
	m.change()
	if t.job.Shape == "service" {
		return
	}
	t.timer = time.AfterFunc(time.Duration(t.job.RunS*float64(time.Second)), func() {
		m.w.mu.Lock()
		defer m.w.mu.Unlock()
		if m.tasks[taskKey{t.Chore, t.Try}] == t && t.Standing == "running" {
			m.end(t, "done")
			if m.w.Done != nil {
				m.w.Done(t.Chore, time.Now())
			}
		}
	})
}

// present returns how many machines there are. mu is held.
func (w *Workers) present() (n int) {
	for _, m := range w.machines {
		if !m.gone {
			n++
		}
	}
	return n
}

func (w *Workers) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	reply := func(rw http.ResponseWriter, status int, body any) { send(rw, answer{status, body}) }
	mux.HandleFunc("GET /catalog", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, map[string]any{"Breeds": w.f.Options.Types})
	})
	mux.HandleFunc("POST /rentals", func(rw http.ResponseWriter, r *http.Request) {
		var h struct {
			Hire, Breed, Pasture string
			Loaner               bool
			Count                int
		}
		if json.NewDecoder(r.Body).Decode(&h) != nil || h.Count < 1 || h.Count > 50 || w.kind(h.Breed).Sku == "" {
			reply(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		names, known := w.hires[h.Hire]
		if !known {
			for range h.Count {
				if c := w.f.Options.Capacity; c > 0 && w.present() >= c || w.f.Options.FullZone == h.Pasture {
					break
				}
				if err := w.add(Machine{h.Breed, h.Pasture, h.Loaner}, time.Duration(w.kind(h.Breed).BootS*float64(time.Second))); err != nil {
					break
				}
				names = append(names, w.machines[len(w.machines)-1].name)
			}
			if len(names) == 0 {
				reply(rw, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
				return
			}
			w.hires[h.Hire] = names
			w.f.Log.Event("rented", "hire", h.Hire, "breed", h.Breed, "zone", h.Pasture, "machines", names)
		}
		reply(rw, http.StatusOK, map[string]any{"Mounts": names})
	})
	mux.HandleFunc("POST /rentals/delete", func(rw http.ResponseWriter, r *http.Request) {
		var d struct{ Mounts []string }
		if json.NewDecoder(r.Body).Decode(&d) != nil || len(d.Mounts) > 100 {
			reply(rw, http.StatusBadRequest, map[string]string{"error": "malformed"})
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.f.Log.Event("machines deleted", "machines", d.Mounts)
		for _, m := range w.machines {
			for _, name := range d.Mounts {
				if m.name == name && !m.gone {
					m.gone = true
					for k, t := range m.tasks {
						if t.timer != nil {
							t.timer.Stop()
						}
						delete(m.tasks, k)
					}
					_ = m.server.Close()
				}
			}
		}
		reply(rw, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /rentals", func(rw http.ResponseWriter, r *http.Request) {
		page, err := strconv.Atoi(r.URL.Query().Get("Page"))
		if err != nil || page > 500 || page < 1 {
			page = 500
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		list, more := []map[string]any{}, false
		for _, m := range w.machines {
			if m.gone || m.name <= r.URL.Query().Get("From") {
				continue
			}
			if len(list) == page {
				more = true
				break
			}
			state := "booting"
			if m.up {
				state = "running"
			}
			list = append(list, map[string]any{
				"Id": m.name, "Addr": m.addr, "Breed": m.kind.Sku, "Pasture": m.zone, "Loaner": m.loaner, "Standing": state,
				"AgeS": time.Since(m.created).Seconds(),
			})
		}
		reply(rw, http.StatusOK, map[string]any{"Mounts": list, "More": more})
	})
	return mux
}

// Rules returns the tasks that started on a machine while they were on another.
func (w *Workers) Rules() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.twice
}

// CPUs returns the CPUs of all tasks on machines.
func (w *Workers) CPUs() (cpus float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		for _, t := range m.tasks {
			if t.Standing == "running" {
				cpus += t.job.Cpus
			}
		}
	}
	return cpus
}

// Ran reports whether a task of a job has run.
func (w *Workers) Ran(job string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for chore := range w.started {
		if strings.HasPrefix(chore, job+"/") {
			return true
		}
	}
	return false
}

// HasRoom reports whether a machine that is up and that the job allows has room for one of its tasks.
func (w *Workers) HasRoom(j Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.gone || !m.up || j.Pasture != nil && *j.Pasture != m.zone || m.loaner && !j.Loaner || len(j.Breeds) > 0 && !slices.Contains(j.Breeds, m.kind.Sku) {
			continue
		}
		cpus, gpus, memory := j.Cpus, j.Gpus, j.MemoryGb
		for _, t := range m.tasks {
			if t.Standing != "ended" {
				cpus, gpus, memory = cpus+t.job.Cpus, gpus+t.job.Gpus, memory+t.job.MemoryGb
			}
		}
		if cpus <= m.kind.Cpus && gpus <= m.kind.Gpus && memory <= m.kind.MemoryGb {
			return true
		}
	}
	return false
}
