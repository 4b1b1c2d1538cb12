package loopbacktest

import (
	"net/http"
	"strings"
	"time"
)

// RequestID is the header that tells users' requests to models apart.
const RequestID = "X-Request-Id"

// ModelFigures is what the stand-in servers of a model have counted themselves.
type ModelFigures struct {
	Starts    int // replicas that began to answer
	FirstAt   time.Time
	Answers   int            // requests answered
	ByRequest map[string]int // how often each was
}

// TargetTemplate is the address of the models' servers, as controllers take it: all machines serve on
// one port.
func (w *Workers) TargetTemplate() string { return "{host}:" + w.port + "/{model}" }

// modelStarted notes that a replica begins to answer. The lock is held.
func (w *Workers) modelStarted(job string, now time.Time) {
	figures := w.models[job]
	if figures == nil {
		figures = &ModelFigures{ByRequest: make(map[string]int)}
		w.models[job] = figures
	}
	figures.Starts++
	figures.FirstAt = now
}

// Model tells what a model's servers have counted.
func (w *Workers) Model(job string) ModelFigures {
	w.mu.Lock()
	defer w.mu.Unlock()
	figures := w.models[job]
	if figures == nil {
		return ModelFigures{}
	}
	return ModelFigures{Starts: figures.Starts, FirstAt: figures.FirstAt, Answers: figures.Answers}
}

// Executions is how often a model has carried a request out.
func (w *Workers) Executions(job, request string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if figures := w.models[job]; figures != nil {
		return figures.ByRequest[request]
	}
	return 0
}

// serveModel answers a request for a model on its machine; nobody answers where the model isn't.
func (w *Workers) serveModel(m *machine, rw http.ResponseWriter, r *http.Request) {
	job, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if !w.countRequest(m, job, r.Header.Get(RequestID)) {
		panic(http.ErrAbortHandler)
	}
	reply(rw, http.StatusOK, map[string]string{"model": job, "machine": m.name})
}

// countRequest notes a request, if the model runs on the machine.
func (w *Workers) countRequest(m *machine, job, request string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(m, time.Now())
	for _, t := range m.tasks {
		if t.job == job && t.running {
			w.models[job].Answers++
			w.models[job].ByRequest[request]++
			return true
		}
	}
	return false
}
