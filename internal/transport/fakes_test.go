package transport

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/peer"
	"sagevale/internal/worker"
)

var discardLogger = slog.New(slog.DiscardHandler)

// fakeController returns one fixed response to all user requests and another to all heartbeats.
type fakeController struct {
	response          api.Response
	heartbeatResponse worker.HeartbeatResponse
}

func (c *fakeController) HandleUserRequest(context.Context, api.Request) api.Response {
	return c.response
}

func (c *fakeController) HandleHeartbeat(context.Context, *worker.Report) worker.HeartbeatResponse {
	return c.heartbeatResponse
}

func (c *fakeController) Ready() bool { return true }

// acceptingController returns a controller that accepts every request and heartbeat.
func acceptingController() *fakeController {
	return &fakeController{
		response:          api.Response{Code: api.CodeOK, ID: "000412", State: api.StateRunning, Running: 3},
		heartbeatResponse: worker.HeartbeatResponse{Accepted: true, Token: 7},
	}
}

// fakePeerHandler responds to the requests of other controllers. It returns no responses to a batch of heartbeats if any
// of them is from a machine other than machine 1.
type fakePeerHandler struct{}

func (fakePeerHandler) HandleForwardedRequest(_ context.Context, req api.Request) api.Response {
	return api.Response{Code: api.CodeOK, ID: req.ID, Peer: peer.Status{Leader: req.ID}}
}

func (fakePeerHandler) HandleForwardedUsage(_ context.Context, report activation.UsageReport) activation.UsageResponse {
	return activation.UsageResponse{Verdict: activation.VerdictKnown, Draining: []activation.DrainOrder{{Model: report.Models[0].Model, Drain: report.Serial}}}
}

func (fakePeerHandler) HandleForwardedWake(_ context.Context, req activation.WakeRequest) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.VerdictKnown, State: activation.Ready, Generation: req.Generation, Machine: req.Model}
}

func (fakePeerHandler) HandleForwardedHeartbeats(_ context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	var responses []worker.HeartbeatResponse
	for _, r := range reports {
		if r.Machine != 1 {
			return nil
		}
		responses = append(responses, worker.HeartbeatResponse{Accepted: true, Token: r.Token})
	}
	return responses
}

// listen returns a listener on a free port of the loopback interface.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("listen: %v", err)
	}
	tb.Cleanup(func() { l.Close() })
	return l
}

// dial opens a connection that is closed when the test ends.
func dial(tb testing.TB, addr string) net.Conn {
	tb.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { conn.Close() })
	return conn
}

// startServer starts a server with the controller of acceptingController and returns the server's address. The server is
// stopped when the test ends.
func startServer(tb testing.TB, limits Limits) string {
	tb.Helper()
	l := listen(tb)
	serve(tb, l, limits)
	return l.Addr().String()
}

// serve starts a server with the controller of acceptingController on l. The returned function stops the server and waits
// until it has stopped. The function is also called when the test ends, and may be called twice.
func serve(tb testing.TB, l net.Listener, limits Limits) (stop func()) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() {
		served <- NewServer(acceptingController(), limits, discardLogger).Serve(ctx, l)
		close(served)
	}()
	stop = func() {
		cancel()
		if err := <-served; err != nil {
			tb.Errorf("Serve returned %v, want nil", err)
		}
	}
	tb.Cleanup(stop)
	return stop
}

// startCommands holds a single command, which starts a task.
var startCommands = []worker.Command{{Verb: worker.Start, ID: worker.TaskID{Job: "000412", Task: 3}, Attempt: 2}}

// reportJSON returns the JSON of a worker's report with the given number of running tasks.
func reportJSON(tasks int) []byte {
	var w bytes.Buffer
	w.WriteString(`{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":88,"Baton":41,"WarningS":null,"Chores":[`)
	for i := range tasks {
		if i > 0 {
			w.WriteByte(',')
		}
		fmt.Fprintf(&w, `{"Chore":"job-%06d/%d","Try":%d,"Standing":"running"}`, 1000+i, i, 167772160+i)
	}
	w.WriteString("]}")
	return w.Bytes()
}

// heartbeatRequest returns the HTTP request of a worker's heartbeat. The worker has the given number of running tasks.
func heartbeatRequest(tasks int) []byte {
	body := reportJSON(tasks)
	return fmt.Appendf(nil, "POST /agent/beat HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
