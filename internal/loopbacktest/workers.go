package loopbacktest

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxIdleConnsPerController limits the idle connections to one controller. The limit is high because all workers share one
// HTTP client, and each worker keeps a connection.
const maxIdleConnsPerController = 20_000

// Workers holds all machines with their simulated workers. One lock guards them, since they share the audit log.
type Workers struct {
	timing          Timing
	controllerAddrs []string
	controllerIndex map[string]int // index in controllerAddrs, keyed by the controller's name
	traffic         *Traffic
	client          *http.Client
	server          *http.Server
	port            string        // port in the addresses of all machines
	closed          chan struct{} // closed by Close
	background      sync.WaitGroup

	mu               sync.Mutex
	machines         map[int]*machine    // keyed by ID, including deleted machines
	byAddr           map[string]*machine // machines that are not deleted, keyed by host and port
	jobs             map[string]Job      // keyed by ID
	audit            *auditLog
	startedTasks     map[string]bool         // keyed by task name; true once an attempt of the task has run
	models           map[string]*ModelCounts // keyed by job ID
	heartbeatLatency *hdrhistogram.Histogram // from heartbeat to response, in microseconds
}

// newWorkers starts the HTTP server of the workers. There are no machines at first. names and addrs are the names and the
// addresses of the controllers, in the same order.
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
// Requests to addresses outside the loopback range are refused.
func (w *Workers) listen() error {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return err
	}
	if _, w.port, err = net.SplitHostPort(listener.Addr().String()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.traffic.withCounting(DirectCommands, w.withMachine(w.serveCommands)))
	mux.HandleFunc("GET /show", w.withMachine(w.serveStatus))
	mux.HandleFunc("/", w.withMachine(w.serveModel))
	w.server = &http.Server{Handler: mux}
	w.background.Go(func() { _ = w.server.Serve(listener) }) // returns ErrServerClosed after Close
	return nil
}

// withMachine returns a handler that finds the machine to which a request was addressed, and calls serve with it.
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

// setAcceptedAt records when the user of a job received the acceptance.
func (w *Workers) setAcceptedAt(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	j.acceptedAt = at
	w.jobs[id] = j
}

// setCancelledAt records when the user of a job received the confirmation of its cancellation.
func (w *Workers) setCancelledAt(id string, at time.Time) {
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

// checkCancelledJobs calls auditLog.checkCancelled periodically until the workers are closed.
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
