package loopbacktest

import (
	"net/http"
	"strings"
	"time"
)

// RequestIDHeader is the HTTP header with the ID of a user's request to a model.
const RequestIDHeader = "X-Request-Id"

// ModelCounts holds the counts of the simulated servers of one model.
type ModelCounts struct {
	Starts int // number of replicas that have started

	executions map[string]int // number of executions by request ID
}

// TargetTemplate returns the value of the controllers' property activation.target: the address of a model server, with
// placeholders for the host and the model. The port is the same on all machines.
func (w *Workers) TargetTemplate() string { return "{host}:" + w.port + "/{model}" }

// recordReplicaStart records that a replica of a model has started. w.mu must be held.
func (w *Workers) recordReplicaStart(job string) {
	counts := w.models[job]
	if counts == nil {
		counts = &ModelCounts{executions: make(map[string]int)}
		w.models[job] = counts
	}
	counts.Starts++
}

// ModelCounts returns the counts of a model, except the executions. Executions returns those.
func (w *Workers) ModelCounts(job string) ModelCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	if counts := w.models[job]; counts != nil {
		return ModelCounts{Starts: counts.Starts}
	}
	return ModelCounts{}
}

// Executions returns how many times a model has executed the request with the given ID.
func (w *Workers) Executions(job, requestID string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if counts := w.models[job]; counts != nil {
		return counts.executions[requestID]
	}
	return 0
}

// serveModel responds to a request for a model. It aborts the connection if the model does not run on the machine.
func (w *Workers) serveModel(m *machine, rw http.ResponseWriter, r *http.Request) {
	job, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !w.recordExecution(m, job, r.Header.Get(RequestIDHeader)) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, map[string]string{"model": job, "machine": m.name})
}

// recordExecution counts one execution of the request if the model runs on the machine, and reports whether the model runs
// there.
func (w *Workers) recordExecution(m *machine, job, requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advanceMachine(m, time.Now())
	for _, a := range m.attempts {
		if a.job == job && a.running {
			w.models[job].executions[requestID]++
			return true
		}
	}
	return false
}
