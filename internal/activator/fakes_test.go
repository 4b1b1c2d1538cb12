package activator

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/activation"
)

// fakeLeader is a LeaderClient that returns fixed responses and records the requests.
type fakeLeader struct {
	mu           sync.Mutex
	response     activation.WakeResponse
	latency      time.Duration // delay of each response to a wake request
	drainOrders  []activation.DrainOrder
	wakeRequests []activation.WakeRequest
	usageReports []activation.UsageReport
}

func (f *fakeLeader) setResponse(response activation.WakeResponse) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.response = response
}

func (f *fakeLeader) setLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.latency = latency
}

func (f *fakeLeader) orderDrains(drains ...activation.DrainOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drainOrders = drains
}

func (f *fakeLeader) Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	f.mu.Lock()
	f.wakeRequests = append(f.wakeRequests, req)
	response, latency := f.response, f.latency
	f.mu.Unlock()
	select {
	case <-time.After(latency + req.Wait):
	case <-ctx.Done():
	}
	return response
}

func (f *fakeLeader) ReportUsage(_ context.Context, report activation.UsageReport) activation.UsageResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.usageReports = append(f.usageReports, report)
	return activation.UsageResponse{Verdict: activation.VerdictKnown, Draining: f.drainOrders}
}

// wakeCount waits until all goroutines are blocked, and returns how many wake requests were received.
func (f *fakeLeader) wakeCount() int {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.wakeRequests)
}

// lastUsage returns the usage of a model in the latest report.
func (f *fakeLeader) lastUsage(model string) activation.ModelUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.usageReports[len(f.usageReports)-1].Models {
		if u.Model == model {
			return u
		}
	}
	return activation.ModelUsage{}
}

// knownResponse returns a wake response that has the verdict VerdictKnown and is valid for two seconds.
func knownResponse(state activation.State, generation uint64, machine string) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.VerdictKnown, State: state, Generation: generation, Machine: machine, Holds: 2 * time.Second}
}

var testTiming = Timing{RetryPause: 250 * time.Millisecond, RequestTimeout: time.Second, MaxResponseDelay: 250 * time.Millisecond, UsageInterval: time.Second, RepeatDemandFor: 10 * time.Second, ReportUnusedFor: time.Minute}

// startTracker starts a tracker. The returned function stops the tracker and waits until it has ended.
func startTracker(leader *fakeLeader, limits Limits) (tracker *Tracker, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	tracker = NewTracker(leader, testTiming, limits, rand.New(rand.NewPCG(1, 1)))
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tracker.Run(ctx)
	}()
	return tracker, func() {
		cancel()
		<-stopped
	}
}

// runTracker runs a test with a tracker in simulated time.
func runTracker(t *testing.T, leader *fakeLeader, limits Limits, test func(ctx context.Context, tracker *Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tracker, stop := startTracker(leader, limits)
		defer stop()
		test(t.Context(), tracker)
	})
}
