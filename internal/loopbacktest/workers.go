package loopbacktest

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxIdleConnsPerController bounds the idle connections to one controller, since each worker keeps its own connection.
const maxIdleConnsPerController = 20_000

// Workers holds all machines with their simulated workers. One lock guards them, since they share the audit log.
type Workers struct {
	timing          Timing
	controllerAddrs []string
	controllerIndex map[string]int // by name
	traffic         *Traffic
	client          *http.Client
	server          *http.Server
	port            string        // of all machines' addresses
	closed          chan struct{} // closed by Close
	background      sync.WaitGroup

	mu               sync.Mutex
	machines         map[int]*machine    // by ID, including deleted ones
	byAddr           map[string]*machine // those that are not deleted, by host and port
	jobs             map[string]Job      // by ID
	audit            *auditLog
	startedTasks     map[string]bool         // by task name; true once an attempt has run
	models           map[string]*ModelCounts // by job
	heartbeatLatency *hdrhistogram.Histogram // from heartbeat to response, in microseconds
}

// newWorkers starts the server of the workers, without machines, for controllers with these names and addresses.
func newWorkers(timing Timing, teams []Team, names, addrs []string, traffic *Traffic) (*Workers, error) {
	w := &Workers{
		timing: timing, controllerAddrs: addrs, controllerIndex: make(map[string]int), traffic: traffic,
		client: &http.Client{Timeout: heartbeatTimeout, Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: maxIdleConnsPerController}},
		closed: make(chan struct{}), machines: make(map[int]*machine), byAddr: make(map[string]*machine), jobs: make(map[string]Job),
		audit: newAuditLog(teams), startedTasks: make(map[string]bool), models: make(map[string]*ModelCounts), heartbeatLatency: newLatencyHistogram(),
	}
	for i, name := range names {
		w.controllerIndex[name] = i
	}
	if err := w.listen(); err != nil {
		return nil, err
	}
	w.background.Go(w.checkCancelledJobs)
	return w, nil
}

// listen starts one server for all machines. Each machine has its own address in the loopback range.
// Requests to addresses outside that range are refused.
func (w *Workers) listen() error {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	if _, w.port, err = net.SplitHostPort(listener.Addr().String()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.traffic.counted(DirectCommands, w.withMachine(w.serveCommands)))
	mux.HandleFunc("GET /show", w.withMachine(w.serveStatus))
	mux.HandleFunc("/", w.withMachine(w.serveModel))
	w.server = &http.Server{Handler: mux}
	w.background.Go(func() { _ = w.server.Serve(listener) }) // returns ErrServerClosed after Close
	return nil
}

// withMachine returns a handler that passes each request to the machine whose address the request was sent to.
// It aborts the connection if no machine has this address or the machine is unresponsive.
func (w *Workers) withMachine(serve func(*machine, http.ResponseWriter, *http.Request)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		local, ok := r.Context().Value(http.LocalAddrContextKey).(*net.TCPAddr)
		if !ok || !local.IP.IsLoopback() {
			writeJSON(rw, http.StatusForbidden, nil)
			return
		}
		w.mu.Lock()
		m := w.byAddr[local.String()]
		unreachable := m == nil || m.deleted || m.unresponsive
		w.mu.Unlock()
		if unreachable {
			panic(http.ErrAbortHandler)
		}
		serve(m, rw, r)
	}
}

// Close stops all workers and waits for their goroutines. It must be called once.
func (w *Workers) Close() {
	w.mu.Lock()
	close(w.closed)
	w.mu.Unlock()
	_ = w.server.Close()
	w.client.CloseIdleConnections()
	w.background.Wait()
}

func (w *Workers) isClosed() bool {
	select {
	case <-w.closed:
		return true
	default:
		return false
	}
}

// addJob adds a job that the workers can run.
func (w *Workers) addJob(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

// jobAccepted records when the user of a job received the acceptance.
func (w *Workers) jobAccepted(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	j.acceptedAt = at
	w.jobs[id] = j
}

// jobCancelled records when the user of a job received the confirmation of its cancellation.
func (w *Workers) jobCancelled(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.audit.cancelledAt[id] = at
}

// Violations returns the violations that the audit log has found, up to maxViolations.
func (w *Workers) Violations() []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Violation(nil), w.audit.violations...)
}

// checkCancelledJobs checks periodically for tasks of cancelled jobs that still run, until the workers are closed.
func (w *Workers) checkCancelledJobs() {
	ticker := time.NewTicker(w.timing.CancelLimit / 20)
	defer ticker.Stop()
	for {
		select {
		case <-w.closed:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.audit.checkCancelled(w.timing, now)
			w.mu.Unlock()
		}
	}
}
