package loopbacktest

import (
	"net/http"
	"strings"
	"time"
)

// RequestID is the header that identifies a user's request to a model.
const RequestID = "X-Request-Id"

// ModelFigures is what the stand-in servers of a model have counted.
type ModelFigures struct {
	Starts int // of replicas

	executions map[string]int // by request ID
}

// TargetTemplate returns the address of the model servers as controllers are configured with it. All machines
// serve on one port.
func (w *Workers) TargetTemplate() string { return "{host}:" + w.port + "/{model}" }

// replicaStarted records that a replica of a model has started. w.mu must be held.
func (w *Workers) replicaStarted(job string) {
	figures := w.models[job]
	if figures == nil {
		figures = &ModelFigures{executions: make(map[string]int)}
		w.models[job] = figures
	}
	figures.Starts++
}

// Model returns what the servers of a model have counted.
func (w *Workers) Model(job string) ModelFigures {
	w.mu.Lock()
	defer w.mu.Unlock()
	if figures := w.models[job]; figures != nil {
		return ModelFigures{Starts: figures.Starts}
	}
	return ModelFigures{}
}

// Executions returns how often a model has executed a request.
func (w *Workers) Executions(job, request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if figures := w.models[job]; figures != nil {
		return figures.executions[request]
	}
	return 0
}

// serveModel responds to a request for a model. The connection is aborted if the model does not run on the
// machine.
func (w *Workers) serveModel(m *machine, rw http.ResponseWriter, r *http.Request) {
	job, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !w.executeModelRequest(m, job, r.Header.Get(RequestID)) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(rw, http.StatusOK, map[string]string{"model": job, "machine": m.name})
}

// executeModelRequest counts a request and reports whether the model runs on the machine.
func (w *Workers) executeModelRequest(m *machine, job, request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(m, time.Now())
	for _, a := range m.attempts {
		if a.job == job && a.running {
			w.models[job].executions[request]++
			return true
		}
	}
	return false
}
