package loopbacktest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Timing is the workers' part of the settings.
type Timing struct {
	Report, Lease, Cancel, Boot, Fetch time.Duration
}

// taskName is a task and its attempt on a machine.
type taskName struct {
	task string
	try  uint64
}

// job is what the workers fetch of a job by themselves.
type job struct {
	tasks   int
	service bool
	gang    bool
	run     time.Duration
}

// task is an attempt on a machine.
type task struct {
	job     string
	state   string // as reported
	cause   string
	since   time.Time
	running bool // it has started and hasn't ended
}

// machine is one rented machine with its worker.
type machine struct {
	id                int
	name, addr        string
	kind, zone        string
	spot              bool
	rented            time.Time
	up, deleted       bool
	session, seq      uint64
	token             uint64
	lastRenewed       time.Time
	tasks             map[taskName]*task
	changed           chan struct{}
	server            *http.Server
	steward           int // the node it reports to
	tryNext, lastBeat time.Time
}

// Workers is all machines: one lock, for they share the log.
type Workers struct {
	mu       sync.Mutex
	timing   Timing
	machines map[int]*machine
	jobs     map[string]job
	nodes    []string // the controllers' addresses
	names    map[string]int
	faults   []string
	done     map[string]bool // tasks that have completed
	starts   int
	closed   chan struct{}
	client   *http.Client
}

// NewWorkers makes the machines' side for controllers of these names and addresses.
func NewWorkers(timing Timing, names, addrs []string) *Workers {
	w := &Workers{
		timing: timing, machines: make(map[int]*machine), jobs: make(map[string]job), nodes: addrs, names: make(map[string]int),
		done: make(map[string]bool), closed: make(chan struct{}), client: &http.Client{Timeout: timing.Lease},
	}
	for i, name := range names {
		w.names[name] = i
	}
	return w
}

// Close ends all workers.
func (w *Workers) Close() {
	close(w.closed)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.server != nil {
			_ = m.server.Close()
		}
	}
}

// Upload makes a job known to the workers, as its user does.
func (w *Workers) Upload(id string, j job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[id] = j
}

// Faults lists what the workers' log shows to be wrong.
func (w *Workers) Faults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.faults...)
}

// Running counts where each task of a job runs now.
func (w *Workers) Running(id string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	running := make(map[string]int)
	for _, m := range w.machines {
		for name, t := range m.tasks {
			if t.running && t.job == id && !m.deleted {
				running[name.task]++
			}
		}
	}
	return running
}

// Done tells whether all tasks of a job have completed somewhere; of a gang, one is enough.
func (w *Workers) Done(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	completed := 0
	for i := range w.jobs[id].tasks {
		if w.done[fmt.Sprintf("%s/%d", id, i)] {
			completed++
		}
	}
	return completed == w.jobs[id].tasks || w.jobs[id].gang && completed > 0
}

// boot brings a rented machine up after its time.
func (w *Workers) boot(m *machine) {
	time.AfterFunc(w.timing.Boot, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil || m.deleted {
			return
		}
		m.addr, m.up, m.session, m.lastRenewed = listener.Addr().String(), true, 1, time.Now()
		mux := http.NewServeMux()
		mux.HandleFunc("POST /orders", func(rw http.ResponseWriter, r *http.Request) { w.orders(m, rw, r) })
		mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, http.StatusOK, w.show(m)) })
		m.server = &http.Server{Handler: mux}
		go func() { _ = m.server.Serve(listener) }()
		go w.run(m)
	})
}

func (w *Workers) show(m *machine) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(m, time.Now())
	return m.report()
}

// The worker's messages, by the protocol.
type (
	order struct {
		Verb    string
		Chore   string
		Try     uint64
		LeewayS float64
	}
	answer struct {
		Baton   uint64
		Ride    uint64
		Orders  []order
		Steward string
	}
	reportedTask struct {
		Chore    string
		Try      uint64
		Standing string
		Cause    string `json:",omitempty"`
	}
	report struct {
		Mount, Addr, Breed, Pasture string
		Loaner                      bool
		Ride, Tally, Baton          uint64
		Chores                      []reportedTask
	}
)

func (m *machine) report() report {
	m.seq++
	r := report{Mount: m.name, Addr: m.addr, Breed: m.kind, Pasture: m.zone, Loaner: m.spot, Ride: m.session, Tally: m.seq, Baton: m.token, Chores: []reportedTask{}}
	for name, t := range m.tasks {
		r.Chores = append(r.Chores, reportedTask{name.task, name.try, t.state, t.cause})
	}
	sort.Slice(r.Chores, func(a, b int) bool { return r.Chores[a].Chore < r.Chores[b].Chore })
	return r
}

// run reports until the machine is gone.
func (w *Workers) run(m *machine) {
	tick := time.NewTicker(w.timing.Report / 10)
	defer tick.Stop()
	for {
		changed := false
		select {
		case <-w.closed:
			return
		case <-m.changed:
			changed = true
		case <-tick.C:
		}
		w.mu.Lock()
		now := time.Now()
		changed = w.settle(m, now) || changed
		due := now.Sub(m.lastBeat) >= w.timing.Report || changed && now.Sub(m.lastBeat) >= w.timing.Report/4
		if changed && !due {
			m.notify()
		}
		gone := m.deleted
		due = due && now.After(m.tryNext)
		var r report
		if due {
			m.lastBeat = now
			r = m.report()
		}
		steward := m.steward
		w.mu.Unlock()
		if gone {
			return
		}
		if due {
			w.beat(m, r, steward)
		}
	}
}

func (m *machine) notify() {
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// beat sends one report and carries out its answer.
func (w *Workers) beat(m *machine, r report, steward int) {
	sent := time.Now()
	body, err := json.Marshal(r)
	if err != nil {
		return
	}
	response, err := w.client.Post("http://"+w.nodes[steward]+"/agent/beat", "application/json", bytes.NewReader(body))
	var a answer
	status := 0
	if err == nil {
		status = response.StatusCode
		err = json.NewDecoder(response.Body).Decode(&a)
		response.Body.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch next, named := w.names[a.Steward]; {
	case status == http.StatusOK && err == nil:
		if r.Ride == m.session && a.Baton >= m.token && !m.deleted && time.Since(sent) < 4*time.Second {
			m.token, m.lastRenewed = a.Baton, sent
			w.carryOut(m, a.Orders)
		}
	case status == http.StatusMisdirectedRequest && named && next != steward:
		m.steward = next
		m.tryNext = time.Now()
	default:
		m.steward = (steward + 1) % len(w.nodes)
		m.tryNext = time.Now().Add(w.timing.Report / 3)
	}
}

// orders takes direct commands.
func (w *Workers) orders(m *machine, rw http.ResponseWriter, r *http.Request) {
	var a answer
	if json.NewDecoder(r.Body).Decode(&a) != nil || a.Baton == 0 || a.Ride == 0 {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	w.settle(m, time.Now())
	status := http.StatusConflict
	if a.Baton >= m.token && a.Ride == m.session && !m.deleted {
		m.token, status = a.Baton, http.StatusOK
		w.carryOut(m, a.Orders)
	}
	show := m.report()
	w.mu.Unlock()
	reply(rw, status, show)
}

// carryOut executes commands in order.
func (w *Workers) carryOut(m *machine, orders []order) {
	for _, o := range orders {
		name := taskName{o.Chore, o.Try}
		t := m.tasks[name]
		switch {
		case o.Verb == "run" && t == nil:
			w.begin(m, name)
		case o.Verb == "stop" && t != nil && t.state != "ended":
			w.end(t, "stopped")
		case o.Verb == "forget" && t != nil && t.state == "ended":
			delete(m.tasks, name)
		}
	}
	m.notify()
}
