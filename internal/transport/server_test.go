package transport

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/api"
	"sagevale/internal/config"
	"sagevale/internal/peer"
	"sagevale/internal/worker"
)

// stub is a controller that gives one answer.
type stub struct {
	answer api.Response
	beat   worker.HeartbeatResponse
	asked  api.Request
}

func (s *stub) HandleUserRequest(_ context.Context, req api.Request) api.Response {
	s.asked = req
	return s.answer
}
func (s *stub) HandleHeartbeat(context.Context, *worker.Report) worker.HeartbeatResponse {
	return s.beat
}
func (s *stub) Ready() bool { return true }

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

const job = `{"Id":"job-000412","Bracket":"train","Owner":"vision","Shape":"sweep","Urgency":"high","Chores":16,
"Cpus":8.0,"Gpus":1.0,"MemoryGb":64.0,"Kit":"img-07","ImageGb":6.2,"Breeds":null,"SamePlace":true,
"Scatter":false,"Loaner":true,"ExpectedS":240.0,"BookmarkS":30.0,"StowS":4.0}`

const beat = `{"Mount":"host-000231","Addr":"10.1.0.232:9000","Breed":"g8","Pasture":"a","Loaner":true,"Ride":1,"Tally":1,"Baton":0,"Chores":[]}`

func TestRequestsAreAnsweredByTheProtocol(t *testing.T) {
	ok := api.Response{Code: api.CodeOK, ID: "000412", State: api.StateRunning, Done: 3, Running: 13}
	for _, tc := range []struct {
		name, method, path, body string
		answer                   api.Response
		beat                     worker.HeartbeatResponse
		status                   int
		contains                 string
	}{
		{name: "submit", method: "POST", path: "/v1/jobs", body: job, answer: api.Response{Code: api.CodeCreated, ID: "000412"}, status: 201, contains: `"Standing":"pending"`},
		{name: "submit again", method: "POST", path: "/v1/jobs", body: job, answer: ok, status: 200, contains: `"Standing":"running","done":3,"running":13`},
		{name: "malformed", method: "POST", path: "/v1/jobs", body: `{"Id":7}`, status: 400, contains: `"error":"Id`},
		{name: "too large", method: "POST", path: "/v1/jobs", body: strings.Repeat(" ", 65<<10) + job, status: 400, contains: "64 KiB"},
		{name: "unfit", method: "POST", path: "/v1/jobs", body: job, answer: api.Response{Code: api.CodeInfeasible, Reason: "unknown team"}, status: 422, contains: "unknown team"},
		{name: "unavailable", method: "POST", path: "/v1/jobs", body: job, answer: api.Unavailable("000412", "no leader yet"), status: 503, contains: "no leader yet"},
		{name: "busy", method: "POST", path: "/v1/jobs", body: job, answer: api.Response{Code: api.CodeBusy, RetrySeconds: 7}, status: 429},
		{name: "poll", method: "GET", path: "/v1/jobs/job-000412", answer: ok, status: 200, contains: `"Id":"job-000412"`},
		{name: "unknown", method: "GET", path: "/v1/jobs/job-000413", answer: api.Response{Code: api.CodeNotFound}, status: 404},
		{name: "no job's name", method: "GET", path: "/v1/jobs/x", answer: ok, status: 404},
		{name: "cancel", method: "POST", path: "/v1/jobs/job-000412/cancel", answer: api.Response{Code: api.CodeOK, ID: "000412", State: api.StateCancelled}, status: 200, contains: `"aborted"`},
		{name: "wrong method", method: "DELETE", path: "/v1/jobs/job-000412", answer: ok, status: 405},
		{name: "wrong path", method: "GET", path: "/v2", status: 404},
		{name: "up", method: "GET", path: "/up", status: 200},
		{name: "report", method: "POST", path: "/agent/beat", body: beat, beat: worker.HeartbeatResponse{Accepted: true, Token: 41}, status: 200, contains: `{"Baton":41,"Orders":[]}`},
		{name: "report elsewhere", method: "POST", path: "/agent/beat", body: beat, beat: worker.HeartbeatResponse{Leader: "herder-2"}, status: 421, contains: `"Steward":"herder-2"`},
		{name: "report to nobody", method: "POST", path: "/agent/beat", body: beat, beat: worker.HeartbeatResponse{Busy: true}, status: 503},
		{name: "malformed report", method: "POST", path: "/agent/beat", body: "{}", status: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := NewServer(&stub{answer: tc.answer, beat: tc.beat}, Bounds{Sockets: 1000}, quiet)
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
			if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.contains) {
				t.Errorf("%d %s", w.Code, w.Body)
			}
			if !json.Valid(w.Body.Bytes()) {
				t.Errorf("not JSON: %s", w.Body)
			}
			retry := w.Header().Get("Retry-After")
			if (tc.status == 503 || tc.status == 429) != (retry != "") {
				t.Errorf("Retry-After is %q", retry)
			}
		})
	}
}

// A start that surely wasn't sent may go elsewhere at once; one that may have
// been can't.
func TestDirectOrdersTellWhatIsCertain(t *testing.T) {
	w := NewWorkerClient(100, quiet)
	orders := []worker.Command{{Verb: worker.Start, ID: worker.TaskID{Job: "000001"}, Attempt: 1}}
	ask := func(h http.HandlerFunc) worker.Outcome {
		srv := httptest.NewServer(h)
		defer srv.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		out, _ := w.SendCommands(ctx, strings.TrimPrefix(srv.URL, "http://"), 1, 1, orders, time.Time{})
		return out
	}
	say := func(status int, body string) http.HandlerFunc {
		return func(rw http.ResponseWriter, _ *http.Request) {
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, body)
		}
	}
	if out := ask(say(200, beat)); out != worker.Executed {
		t.Errorf("200: %v", out)
	}
	if out := ask(say(409, beat)); out != worker.Rejected {
		t.Errorf("409: %v", out)
	}
	if out := ask(say(200, "{}")); out != worker.Unresolved {
		t.Errorf("200 that isn't understood: %v", out)
	}
	if out := ask(say(500, "")); out != worker.Unresolved {
		t.Errorf("500: %v", out)
	}
	if out := ask(func(http.ResponseWriter, *http.Request) { time.Sleep(300 * time.Millisecond) }); out != worker.Unresolved {
		t.Errorf("no answer: %v", out)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	if out, _ := w.SendCommands(context.Background(), l.Addr().String(), 1, 1, orders, time.Time{}); out != worker.NotSent {
		t.Errorf("refused connection: %v", out)
	}
}

// fakeLocal is a node that other nodes ask; it decides on machine 1 only.
type fakeLocal struct{}

func (fakeLocal) HandleForwardedRequest(_ context.Context, req api.Request) api.Response {
	return api.Response{Code: api.CodeOK, ID: req.ID, Peer: peer.Status{Leader: req.ID}}
}

func (fakeLocal) HandleForwardedUsage(_ context.Context, report activation.UsageReport) activation.UsageResponse {
	return activation.UsageResponse{Verdict: activation.Known, Draining: []activation.DrainOrder{{Model: report.Models[0].Model, Drain: report.Serial}}}
}

func (fakeLocal) HandleForwardedWake(_ context.Context, req activation.WakeRequest) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.Known, State: activation.Ready, Generation: req.Generation, Machine: req.Model}
}

func (fakeLocal) HandleForwardedHeartbeats(_ context.Context, reports []*worker.Report) []worker.HeartbeatResponse {
	var out []worker.HeartbeatResponse
	for _, r := range reports {
		if r.Machine != 1 {
			return nil
		}
		out = append(out, worker.HeartbeatResponse{Accepted: true, Token: r.Token})
	}
	return out
}

// Orders that have waited for a free connection until it is too late aren't sent.
func TestOrdersThatWaitedTooLongAreNotSent(t *testing.T) {
	reached := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached <- struct{}{} }))
	defer srv.Close()
	orders := []worker.Command{{Verb: worker.Start, ID: worker.TaskID{Job: "000412", Task: 3}, Attempt: 2}}
	out, _ := NewWorkerClient(100, quiet).SendCommands(context.Background(), strings.TrimPrefix(srv.URL, "http://"), 1, 1, orders, time.Now())
	if out != worker.NotSent {
		t.Errorf("told %v", out)
	}
	select {
	case <-reached:
		t.Error("sent all the same")
	default:
	}
}

func TestPeersForwardAndNoticeSilence(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	sctx, stop := context.WithCancel(ctx)
	served := make(chan error, 1)
	go func() { served <- ServePeers(sctx, l, fakeLocal{}, quiet) }()
	p := NewPeers("n0", []config.Peer{{Name: "n1", Addr: l.Addr().String()}}, Pace{Window: time.Millisecond, Pings: peerTimeout / 4}, quiet)
	go p.Run(ctx)
	for _, id := range []string{"000001", "000002"} {
		a, err := p.Forward(ctx, "n1", api.Request{Op: api.OpPoll, ID: id})
		if err != nil || a.ID != id {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	beats, err := p.ForwardHeartbeats(ctx, "n1", []*worker.Report{{Machine: 1, Token: 7}, {Machine: 1, Token: 8}})
	if err != nil || len(beats) != 2 || beats[1].Token != 8 {
		t.Errorf("reports: %+v, %v", beats, err)
	}
	if _, err := p.ForwardHeartbeats(ctx, "n1", []*worker.Report{{Machine: 2}}); !errors.Is(err, errPeer) {
		t.Errorf("reports that aren't decided on: %v", err)
	}
	if w, ok := p.Status("n1"); !ok || w.Leader != "n0" || w.Received.Before(w.Sent) {
		t.Errorf("told %+v", w)
	}
	if d := p.UnreachableFor("n1"); d != 0 {
		t.Errorf("unheard for %v", d)
	}
	stop()
	if err := <-served; err != nil {
		t.Errorf("serving ended: %v", err)
	}
	if _, err := p.Forward(ctx, "n1", api.Request{}); !errors.Is(err, errPeer) {
		t.Errorf("a peer that is gone: %v", err)
	}
	if _, err := p.Forward(ctx, "n9", api.Request{}); !errors.Is(err, errPeer) {
		t.Errorf("an unknown peer: %v", err)
	}
}
