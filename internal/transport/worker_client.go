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
	// idleWorkerConnTimeout is how long an idle connection to a worker is kept open.
	idleWorkerConnTimeout = 10 * time.Second
	// idleConnsPerWorker is how many idle connections to one worker are kept open.
	idleConnsPerWorker = 1
)

// WorkerClient sends commands to workers. Its methods may be called from several goroutines.
type WorkerClient struct {
	client   *jsonClient
	inFlight chan struct{} // semaphore: holds one value for each request in flight
	log      *slog.Logger
}

var _ scheduler.WorkerLink = (*WorkerClient)(nil)

// NewWorkerClient returns a client. sockets is the number of sockets that the process may use. Of these, the client uses at
// most commandSocketShare for requests in flight and idleCommandSocketShare for idle connections.
func NewWorkerClient(sockets int, log *slog.Logger) *WorkerClient {
	maxIdle := socketShare(sockets, idleCommandSocketShare)
	return &WorkerClient{
		client:   newJSONClient(idleConnsPerWorker, maxIdle, idleWorkerConnTimeout),
		inFlight: make(chan struct{}, socketShare(sockets, commandSocketShare)),
		log:      log,
	}
}

// SendCommands sends commands to the worker at addr. The request carries a fencing token and the worker's incarnation, a
// number that increases each time the worker's lease expires. The worker rejects the commands if the token is too low or
// the incarnation isn't its current one. While too many requests are in flight, SendCommands waits. It sends nothing once
// sendBy has passed; a zero sendBy sets no limit. SendCommands returns the outcome and the report in the worker's response.
// The report is nil if the response has none.
func (c *WorkerClient) SendCommands(ctx context.Context, addr string, token, incarnation uint64, commands []worker.Command, sendBy time.Time) (worker.CommandOutcome, *worker.Report) {
	select {
	case c.inFlight <- struct{}{}:
		defer func() { <-c.inFlight }()
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

// outcome returns the outcome of the commands according to the worker's response, and the report in the response.
func (c *WorkerClient) outcome(addr string, resp httpResponse) (worker.CommandOutcome, *worker.Report) {
	report, err := protocol.ParseReport(resp.body)
	switch resp.status {
	case http.StatusOK:
		if err != nil {
			// The worker executed the commands, but the resulting state of its tasks is unknown.
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
