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

const (
	// idleWorkerConnTimeout is how long an idle connection to a worker is kept.
	idleWorkerConnTimeout = 10 * time.Second
	// idleConnsPerWorker is how many idle connections to one worker are kept.
	idleConnsPerWorker = 1
)

// WorkerClient sends commands to workers. Its methods may be called from several goroutines.
type WorkerClient struct {
	client *jsonClient
	slots  chan struct{} // holds one value for each request in flight
	log    *slog.Logger
}

var _ scheduler.WorkerLink = (*WorkerClient)(nil)

// NewWorkerClient returns a client that uses its share of a process's sockets.
func NewWorkerClient(sockets int, log *slog.Logger) *WorkerClient {
	maxIdle := socketShare(sockets, idleCommandSocketShare)
	return &WorkerClient{
		client: newJSONClient(idleConnsPerWorker, maxIdle, idleWorkerConnTimeout),
		slots:  make(chan struct{}, socketShare(sockets, commandSocketShare)),
		log:    log,
	}
}

// SendCommands sends commands to the worker at addr, under a fencing token and to one incarnation. They are not
// sent if no connection is free before sendBy, unless that is zero. The report is the worker's after the commands;
// nil if there is none.
func (c *WorkerClient) SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report) {
	select {
	case c.slots <- struct{}{}:
		defer func() { <-c.slots }()
	case <-ctx.Done():
		return worker.NotSent, nil
	}
	if !sendBy.IsZero() && !time.Now().Before(sendBy) {
		return worker.NotSent, nil
	}
	resp, sent, err := c.client.do(ctx, http.MethodPost, "http://"+addr+"/orders", protocol.NewCommands(token, incarnation, commands))
	switch {
	case err != nil && !sent:
		return worker.NotSent, nil
	case err != nil:
		c.log.Debug("worker commands unanswered", "address", addr, "error", err)
		return worker.Unresolved, nil
	}
	return c.outcome(addr, resp)
}

// outcome returns what a worker's response means for the commands.
func (c *WorkerClient) outcome(addr string, resp httpResponse) (worker.CommandOutcome, *worker.Report) {
	report, err := protocol.ParseReport(resp.body)
	switch resp.status {
	case http.StatusOK:
		if err != nil {
			// The commands were executed, but the state of the tasks is unknown.
			c.log.Error("worker response decoding failed", "address", addr, "error", err)
			return worker.Unresolved, nil
		}
		return worker.Executed, report
	case http.StatusConflict, http.StatusBadRequest:
		if err != nil {
			report = nil
		}
		return worker.Rejected, report
	}
	c.log.Error("unexpected worker response", "address", addr, "status", resp.status)
	return worker.Unresolved, nil
}
