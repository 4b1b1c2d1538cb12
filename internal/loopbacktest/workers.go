package loopbacktest

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Timing is the workers' part of the settings. Change is the least pause between two
// reports that a change brings about.
type Timing struct {
	Report, Change, Lease, Cancel, Boot, Fetch time.Duration
}

// machine is one rented machine with its hollow worker: it speaks the worker's protocol
// and runs tasks on timers.
type machine struct {
	id                int
	name, addr        string
	kind, zone        string
	spot              bool
	rented            time.Time
	up, deleted       bool
	silent            bool // it reports nothing and takes no orders
	session, seq      uint64
	token             uint64
	lastRenewed       time.Time
	tasks             map[taskName]*task
	changed           chan struct{}
	steward           int // the node it reports to
	tryNext, lastBeat time.Time
}

// Workers is all machines, in one process: one lock, for they share the log.
type Workers struct {
	mu            sync.Mutex
	timing        Timing
	machines      map[int]*machine
	byAddr        map[string]*machine
	jobs          map[string]Job
	nodes         []string // the controllers' addresses
	names         map[string]int
	ledger        *ledger
	startedBefore map[string]bool
	models        map[string]*ModelFigures // by job
	reportDelay   *hdrhistogram.Histogram  // from report to answer, in microseconds
	traffic       *Traffic
	closed        chan struct{}
	client        *http.Client
	listener      net.Listener
	server        *http.Server
	port          string
}

// connectionsPerNode is how many idle connections to one controller are kept: a worker keeps its own.
const connectionsPerNode = 20_000

// NewWorkers makes the machines' side for controllers of these names and addresses.
func NewWorkers(timing Timing, teams []Team, names, addrs []string, traffic *Traffic) (*Workers, error) {
	w := &Workers{
		timing: timing, machines: make(map[int]*machine), byAddr: make(map[string]*machine), jobs: make(map[string]Job),
		nodes: addrs, names: make(map[string]int), ledger: newLedger(teams), startedBefore: make(map[string]bool), models: make(map[string]*ModelFigures),
		reportDelay: hdrhistogram.New(1, slowest, 3), traffic: traffic, closed: make(chan struct{}),
		client: &http.Client{Timeout: reportTimeout, Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: connectionsPerNode}},
	}
	for i, name := range names {
		w.names[name] = i
	}
	return w, w.listen()
}

// reportTimeout is how long a worker waits for the answer to a report, by the protocol.
const reportTimeout = 4 * time.Second

// listen serves all machines' own addresses, which differ within the loopback range, by one
// listener. Requests from anywhere else are refused.
func (w *Workers) listen() error {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	if _, w.port, err = net.SplitHostPort(listener.Addr().String()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.traffic.Counted(DirectOrders, w.onMachine(w.orders)))
	mux.HandleFunc("GET /show", w.onMachine(func(m *machine, rw http.ResponseWriter, _ *http.Request) {
		reply(rw, http.StatusOK, w.show(m))
	}))
	mux.HandleFunc("/", w.onMachine(w.serveModel))
	w.listener, w.server = listener, &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.watchCancelled()
	return nil
}

// onMachine hands a request to the machine whose address it was sent to.
func (w *Workers) onMachine(serve func(*machine, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
		if !ok || !local.IP.IsLoopback() {
			reply(rw, http.StatusForbidden, nil)
			return
		}
		w.mu.Lock()
		m := w.byAddr[local.String()]
		gone := m == nil || m.deleted || m.silent
		w.mu.Unlock()
		if gone {
			panic(http.ErrAbortHandler) // nobody answers there
		}
		serve(m, rw, r)
	}
}

// Close ends all workers.
func (w *Workers) Close() {
	close(w.closed)
	_ = w.server.Close()
	w.client.CloseIdleConnections()
}

// Upload makes a job known to the workers, as its user does.
func (w *Workers) Upload(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// Accepted notes when a job's user was told that it is accepted.
func (w *Workers) Accepted(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	j.accepted = at
	w.jobs[id] = j
}

// Cancelled notes when a job's user was told that it is cancelled.
func (w *Workers) Cancelled(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.cancelled[id] = at
}

// Faults lists what the workers' log shows to be wrong.
func (w *Workers) Faults() []Fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Fault(nil), w.ledger.faults...)
}

// watchCancelled checks cancelled jobs until the workers end.
func (w *Workers) watchCancelled() {
	tick := time.NewTicker(w.timing.Cancel / 20)
	defer tick.Stop()
	for {
		select {
		case <-w.closed:
			return
		case now := <-tick.C:
			w.mu.Lock()
			w.ledger.checkCancelled(w.timing, now)
			w.mu.Unlock()
		}
	}
}

// add makes a machine that isn't up yet. The lock is held.
func (w *Workers) add(id int, name, kind, zone string, spot bool) *machine {
	m := &machine{
		id: id, name: name, kind: kind, zone: zone, spot: spot, rented: time.Now(),
		addr:  net.JoinHostPort(net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id)).String(), w.port),
		tasks: make(map[taskName]*task), changed: make(chan struct{}, 1), steward: id % len(w.nodes),
	}
	w.machines[id], w.byAddr[m.addr] = m, m
	return m
}

// boot brings a machine up after a time.
func (w *Workers) boot(m *machine, after time.Duration) {
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if m.deleted {
			return
		}
		m.up, m.session, m.lastRenewed = true, 1, time.Now()
		go w.run(m)
	})
}

// remove ends a machine with all that is on it. The lock is held.
func (w *Workers) remove(m *machine) {
	m.deleted = true
	for _, t := range m.tasks {
		t.running = false
		w.ledger.forget(t)
	}
	delete(w.byAddr, m.addr)
	m.notify()
}

func (w *Workers) show(m *machine) report {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(m, time.Now())
	return m.report()
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
	now := time.Now()
	changed := false
	for _, o := range orders {
		name := taskName{o.Chore, o.Try}
		t := m.tasks[name]
		switch {
		case o.Verb == "run" && t == nil:
			w.begin(m, name, now)
			changed = true
		case o.Verb == "stop" && t != nil && t.state != "ended":
			w.end(t, "stopped")
			changed = true
		case o.Verb == "forget" && t != nil && t.state == "ended":
			delete(m.tasks, name)
			w.ledger.forget(t)
			changed = true
		}
	}
	if changed {
		m.notify()
	}
}
