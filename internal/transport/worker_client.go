package transport

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"sagevale/internal/protocol"
	"sagevale/internal/scheduler"
	"sagevale/internal/worker"
)

// idleOrders is how long an idle connection to a worker is kept.
const idleOrders = 10 * time.Second

// WorkerClient sends orders straight to workers.
type WorkerClient struct {
	c     *client
	slots chan struct{} // one for each exchange under way
	log   *slog.Logger
}

var _ scheduler.WorkerLink = (*WorkerClient)(nil)

// NewWorkerClient makes a client that keeps one idle connection a worker, as
// far as the sockets allow.
func NewWorkerClient(sockets int, log *slog.Logger) *WorkerClient {
	return &WorkerClient{newClient(1, socketShare(sockets, idleOrderShare), idleOrders), make(chan struct{}, socketShare(sockets, directOrderShare)), log}
}

// SendCommands sends orders, unless they have waited here until sendBy, and returns the
// worker's report after them.
func (w *WorkerClient) SendCommands(ctx context.Context, addr string, token, session uint64, orders []worker.Command, sendBy time.Time) (worker.Outcome, *worker.Report) {
	select {
	case w.slots <- struct{}{}:
		defer func() { <-w.slots }()
	case <-ctx.Done():
		return worker.NotSent, nil
	}
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		return worker.NotSent, nil
	}
	ex, sent, err := w.c.do(ctx, http.MethodPost, "http://"+addr+"/orders", protocol.NewDirectOrders(token, session, orders))
	switch {
	case err != nil && !sent:
		return worker.NotSent, nil
	case err != nil:
		w.log.Debug("direct orders unanswered", "addr", addr, "err", err)
		return worker.Unresolved, nil
	}
	report, err := protocol.ParseReport(ex.body)
	switch ex.status {
	case http.StatusOK:
		if err != nil {
			// Executed, but what stands there now can't be told.
			w.log.Error("worker's answer not understood", "addr", addr, "err", err)
			return worker.Unresolved, nil
		}
		return worker.Executed, report
	case http.StatusConflict, http.StatusBadRequest:
		if err != nil {
			report = nil
		}
		return worker.Rejected, report
	}
	w.log.Error("surprising answer of a worker", "addr", addr, "status", ex.status)
	return worker.Unresolved, nil
}
