package activator

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/activation"
)

// fakeLeader answers as it is told to.
type fakeLeader struct {
	mu       sync.Mutex
	response activation.WakeResponse
	drains   []activation.DrainOrder
	wakes    []activation.WakeRequest
	usages   []activation.UsageReport
	takes    time.Duration // that an answer takes
}

func (f *fakeLeader) tell(response activation.WakeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response = response
}

func (f *fakeLeader) Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	f.mu.Lock()
	f.wakes = append(f.wakes, req)
	response, takes := f.response, f.takes
	f.mu.Unlock()
	select {
	case <-time.After(takes + req.Wait):
	case <-ctx.Done():
	}
	return response
}

func (f *fakeLeader) ReportUsage(_ context.Context, report activation.UsageReport) activation.UsageResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usages = append(f.usages, report)
	return activation.UsageResponse{Verdict: activation.Known, Draining: f.drains}
}

// asked is how many wake requests have come.
func (f *fakeLeader) asked() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.wakes)
}

func (f *fakeLeader) lastUsage(model string) (usage activation.ModelUsage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.usages[len(f.usages)-1].Models {
		if u.Model == model {
			usage = u
		}
	}
	return usage
}

func known(state activation.State, generation uint64, machine string) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.Known, State: state, Generation: generation, Machine: machine, Holds: 2 * time.Second}
}

var testPace = Pace{Retry: 250 * time.Millisecond, Timeout: time.Second, Wait: 250 * time.Millisecond, Usage: time.Second, Repeat: 10 * time.Second, Remember: time.Minute}

func startTracker(ctx context.Context, leader *fakeLeader, limits Limits) *Tracker {
	tracker := NewTracker(leader, testPace, limits, rand.New(rand.NewPCG(1, 1)))
	go tracker.Run(ctx)
	return tracker
}

// inTime runs a scenario with a tracker in simulated time.
func inTime(t *testing.T, leader *fakeLeader, limits Limits, story func(ctx context.Context, tracker *Tracker)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		tracker := startTracker(ctx, leader, limits)
		story(ctx, tracker)
		cancel()
		time.Sleep(time.Minute)
	})
}

// However many requests wait for a model, one wake request is on its way for it, and demand is repeated
// until somebody decides.
func TestDemandIsCoalescedAndRepeated(t *testing.T) {
	leader := &fakeLeader{response: activation.WakeResponse{Reason: "no leader"}, takes: 10 * time.Millisecond}
	inTime(t, leader, Limits{Held: 1}, func(ctx context.Context, tracker *Tracker) {
		var refused atomic.Int64
		for range 500 {
			go func() {
				if d := tracker.Acquire(ctx, "m"); d.Outcome == Refused && d.RetryAfter > 0 {
					refused.Add(1)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if leader.asked() != 1 || refused.Load() != 500 {
			t.Errorf("%d wake requests, %d refused", leader.asked(), refused.Load())
		}
		time.Sleep(5 * time.Second)
		if n := leader.asked(); n < 3 || n > 15 {
			t.Errorf("%d wake requests without a leader", n)
		}
		leader.tell(known(activation.Starting, 1, ""))
		time.Sleep(5 * time.Second)
		before := leader.asked()
		time.Sleep(time.Minute)
		if n := leader.asked(); n != before {
			t.Errorf("%d wake requests though the demand is decided on", n-before)
		}
	})
}

// Requests are held while a model starts, within bounds that leave room for the next model, and passed on in
// order, so many at a time; at the deadline they are told so.
func TestHeldRequests(t *testing.T) {
	leader := &fakeLeader{response: known(activation.Starting, 1, "")}
	inTime(t, leader, Limits{Held: 8, Concurrent: 2, Hold: 20 * time.Second}, func(ctx context.Context, tracker *Tracker) {
		var mu sync.Mutex
		outcomes := make(map[Outcome]int)
		count := func(o Outcome) int {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return outcomes[o]
		}
		var order []int
		ask := func(ctx context.Context, i int, model string) {
			d := tracker.Acquire(ctx, model)
			mu.Lock()
			outcomes[d.Outcome]++
			if d.Outcome == Granted {
				order = append(order, i)
			}
			mu.Unlock()
			if d.Outcome == Granted {
				time.Sleep(50 * time.Millisecond)
				tracker.Release(model)
			}
		}
		leaving, leave := context.WithCancel(ctx)
		for i := range 6 {
			go ask(leaving, i, "m")
			time.Sleep(time.Millisecond)
		}
		if count(Refused) != 2 {
			t.Errorf("%d refused of one model: half of the room is for others", count(Refused))
		}
		go ask(ctx, 10, "n")
		go ask(ctx, 11, "n")
		time.Sleep(time.Second)
		if count(Refused) != 2 {
			t.Errorf("%d refused: the other model has no room", count(Refused))
		}
		leader.tell(known(activation.Ready, 1, "10.0.0.1:9000"))
		time.Sleep(2 * time.Second)
		if count(Granted) != 6 {
			t.Errorf("%d granted", count(Granted))
		}
		first := order[:0:0]
		for _, i := range order {
			if i < 10 {
				first = append(first, i)
			}
		}
		for i := range first {
			if i > 1 && first[i] < first[i-2] {
				t.Errorf("passed on in the order %v", first)
			}
		}
		leader.tell(known(activation.Starting, 2, ""))
		time.Sleep(5 * time.Second)
		go ask(leaving, 20, "m")
		go ask(ctx, 21, "m")
		time.Sleep(time.Second)
		leave()
		time.Sleep(30 * time.Second)
		if count(TimedOut) != 1 || tracker.held != 0 {
			t.Errorf("%d timed out, %d held", count(TimedOut), tracker.held)
		}
	})
}

// After a drain was told nothing is passed on by an answer to an earlier question, and the next report says so.
func TestADrainVoidsEarlierAnswers(t *testing.T) {
	leader := &fakeLeader{response: known(activation.Ready, 1, "10.0.0.1:9000")}
	inTime(t, leader, Limits{Held: 8, Concurrent: 9}, func(ctx context.Context, tracker *Tracker) {
		if d := tracker.Acquire(ctx, "m"); d.Outcome != Granted {
			t.Fatalf("%+v", d)
		}
		time.Sleep(1500 * time.Millisecond) // the answer still holds, and the request is under way
		if u := leader.lastUsage("m"); u.InFlight != 1 || u.Drained != 0 {
			t.Errorf("told %+v", u)
		}
		leader.mu.Lock()
		leader.takes = 800 * time.Millisecond
		leader.mu.Unlock()
		time.Sleep(900 * time.Millisecond) // the answer has run out
		asked := make(chan Decision, 1)
		go func() { asked <- tracker.Acquire(ctx, "m") }()
		time.Sleep(100 * time.Millisecond)
		leader.mu.Lock()
		leader.drains = []activation.DrainOrder{{Model: "m", Drain: 3}}
		leader.mu.Unlock()
		time.Sleep(600 * time.Millisecond) // it is told while the answer is on its way
		leader.tell(known(activation.Draining, 1, ""))
		if d := <-asked; d.Outcome == Granted {
			t.Errorf("granted by an answer from before the drain: %+v", d)
		}
		tracker.Release("m")
		time.Sleep(2 * time.Second)
		if u := leader.lastUsage("m"); u.InFlight != 0 || u.Drained != 3 {
			t.Errorf("told %+v", u)
		}
	})
}

// The handler gives each request one final answer, whatever becomes of the model's server.
func TestHandlerAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.URL.Path == "/job-000001/dies" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, r.URL.Path+" "+r.URL.RawQuery+" "+string(body))
	}))
	defer server.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := free.Addr().String()
	free.Close()
	machine := server.Listener.Addr().String()
	_, port, _ := net.SplitHostPort(machine)
	_, nobodysPort, _ := net.SplitHostPort(nobody)
	for _, c := range []struct {
		name, path, body string
		response         activation.WakeResponse
		port             string
		status           int
		retry, contains  string
	}{
		{"passed on", "/models/job-000001/v1/chat?x=1", "hi", known(activation.Ready, 1, machine), port, http.StatusOK, "", "/job-000001/v1/chat x=1 hi"},
		{"no such model", "/models/job-000001/v1", "", activation.WakeResponse{Verdict: activation.Unknown, Reason: "no such service", Holds: time.Second}, port, http.StatusNotFound, "", "no such service"},
		{"no id", "/models/x/v1", "", known(activation.Ready, 1, machine), port, http.StatusNotFound, "", "no such model"},
		{"other path", "/jobs", "", known(activation.Ready, 1, machine), port, http.StatusNotFound, "", ""},
		{"too large", "/models/job-000001/v1", strings.Repeat("x", 101), known(activation.Ready, 1, machine), port, http.StatusRequestEntityTooLarge, "", "too large"},
		{"too large, of no length", "/models/job-000001/v1", "chunked:" + strings.Repeat("x", 101), known(activation.Ready, 1, machine), port, http.StatusRequestEntityTooLarge, "", "too large"},
		{"it starts", "/models/job-000001/v1", "", activation.WakeResponse{Verdict: activation.Known, State: activation.Starting, Generation: 1, Expected: 2500 * time.Millisecond, Holds: time.Second}, port, http.StatusServiceUnavailable, "3", "starts"},
		{"it cools down", "/models/job-000001/v1", "", activation.WakeResponse{Verdict: activation.Known, State: activation.Failed, Generation: 1, Expected: 90 * time.Second, Holds: time.Second}, port, http.StatusServiceUnavailable, "90", "can't be started"},
		{"damaged", "/models/job-000001/v1", "", activation.WakeResponse{Verdict: activation.Damaged, Holds: time.Second}, port, http.StatusServiceUnavailable, "1", "can't be started"},
		{"no leader", "/models/job-000001/v1", "", activation.WakeResponse{Reason: "no leader yet"}, port, http.StatusServiceUnavailable, "1", "no leader yet"},
		{"refused before anything was sent", "/models/job-000001/v1", "hi", known(activation.Ready, 1, machine), nobodysPort, http.StatusServiceUnavailable, "1", "nothing was sent"},
		{"ended without an answer", "/models/job-000001/dies", "hi", known(activation.Ready, 1, machine), port, http.StatusBadGateway, "", "may have carried"},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := startTracker(t.Context(), &fakeLeader{response: c.response}, Limits{Held: 1, Concurrent: 1})
			modelOf := func(element string) (string, bool) { return strings.CutPrefix(element, "job-") }
			edge := httptest.NewServer(NewHandler(tracker, Config{Target: "{host}:" + c.port + "/{model}", Body: 100, ModelOf: modelOf}, slog.New(slog.DiscardHandler)))
			defer edge.Close()
			for range 2 { // what the first took is given back
				var body io.Reader = strings.NewReader(c.body)
				if chunked, ok := strings.CutPrefix(c.body, "chunked:"); ok {
					body = io.MultiReader(strings.NewReader(chunked))
				}
				response, err := http.Post(edge.URL+c.path, "text/plain", body)
				if err != nil {
					t.Fatal(err)
				}
				text, _ := io.ReadAll(response.Body)
				response.Body.Close()
				if response.StatusCode != c.status || response.Header.Get("Retry-After") != c.retry || !strings.Contains(string(text), c.contains) {
					t.Errorf("%d, %q, %s", response.StatusCode, response.Header.Get("Retry-After"), text)
				}
			}
		})
	}
}

// A model's server that doesn't listen yet, or has moved, is tried again while the request may be held.
func TestAServerThatListensLater(t *testing.T) {
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := free.Addr().String()
	free.Close()
	_, port, _ := net.SplitHostPort(address)
	var served atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) })}
	defer server.Close()
	time.AfterFunc(300*time.Millisecond, func() {
		if l, err := net.Listen("tcp", address); err == nil {
			_ = server.Serve(l)
		}
	})
	tracker := startTracker(t.Context(), &fakeLeader{response: known(activation.Ready, 1, address)}, Limits{Held: 9, Concurrent: 9, Hold: 10 * time.Second})
	modelOf := func(element string) (string, bool) { return element, true }
	edge := httptest.NewServer(NewHandler(tracker, Config{Target: "{host}:" + port, Body: 100, ModelOf: modelOf}, slog.New(slog.DiscardHandler)))
	defer edge.Close()
	response, err := http.Post(edge.URL+"/models/m/x", "text/plain", strings.NewReader("hi"))
	if err != nil || response.StatusCode != http.StatusOK || served.Load() != 1 {
		t.Errorf("%+v %v, served %d times", response, err, served.Load())
	}
}
