package activator

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/activation"
)

// The tracker sends only one wake request for a model at a time, however many requests wait for the model. It repeats
// the wake request until a leader has responded with the state of the model.
func TestTrackerCoalescesWakeRequests(t *testing.T) {
	leader := &fakeLeader{response: activation.WakeResponse{Reason: "no leader"}, latency: 10 * time.Millisecond}
	runTracker(t, leader, Limits{MaxHeld: 1}, func(ctx context.Context, tracker *Tracker) {
		var refused atomic.Int64
		for range 500 {
			go func() {
				if d := tracker.Acquire(ctx, "m"); d.Outcome == Refused && d.RetryAfter > 0 {
					refused.Add(1)
				}
			}()
		}
		time.Sleep(100 * time.Millisecond)
		if n := leader.wakeCount(); n != 1 || refused.Load() != 500 {
			t.Errorf("%d wake requests, %d requests refused; want 1 and 500", n, refused.Load())
		}
		time.Sleep(5 * time.Second)
		if n := leader.wakeCount(); n < 3 || n > 15 {
			t.Errorf("%d wake requests in 5 s without a leader, want 3 to 15", n)
		}
		leader.setResponse(knownResponse(activation.Starting, 1, ""))
		time.Sleep(5 * time.Second)
		before := leader.wakeCount()
		time.Sleep(time.Minute)
		if n := leader.wakeCount(); n != before {
			t.Errorf("%d wake requests after a leader has responded, want none", n-before)
		}
	})
}

// The tracker holds requests while a model starts, within limits that leave capacity for other models. Once the model is
// ready, held requests are granted in order of arrival, up to the limit of concurrent requests. Requests that are still
// held at their deadline time out.
func TestTrackerHoldsRequests(t *testing.T) {
	leader := &fakeLeader{response: knownResponse(activation.Starting, 1, "")}
	runTracker(t, leader, Limits{MaxHeld: 8, MaxConcurrent: 2, HoldTimeout: 20 * time.Second}, func(ctx context.Context, tracker *Tracker) {
		var mu sync.Mutex
		outcomes := make(map[Outcome]int)
		count := func(o Outcome) int {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return outcomes[o]
		}
		var order []int
		acquire := func(ctx context.Context, i int, model string) {
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
		canceledCtx, cancel := context.WithCancel(ctx)
		for i := range 6 {
			go acquire(canceledCtx, i, "m")
			time.Sleep(time.Millisecond)
		}
		if count(Refused) != 2 {
			t.Errorf("%d of 6 requests for one model refused, want 2: half of the capacity is for others", count(Refused))
		}
		go acquire(ctx, 10, "n")
		go acquire(ctx, 11, "n")
		time.Sleep(time.Second)
		if count(Refused) != 2 {
			t.Errorf("%d requests refused, want still 2: the other model has capacity", count(Refused))
		}
		leader.setResponse(knownResponse(activation.Ready, 1, "10.0.0.1:9000"))
		time.Sleep(2 * time.Second)
		if count(Granted) != 6 {
			t.Errorf("%d requests granted, want 6", count(Granted))
		}
		first := order[:0:0]
		for _, i := range order {
			if i < 10 {
				first = append(first, i)
			}
		}
		for i := range first {
			if i > 1 && first[i] < first[i-2] {
				t.Errorf("requests granted in the order %v", first)
			}
		}
		leader.setResponse(knownResponse(activation.Starting, 2, ""))
		time.Sleep(5 * time.Second)
		go acquire(canceledCtx, 20, "m")
		go acquire(ctx, 21, "m")
		time.Sleep(time.Second)
		cancel()
		time.Sleep(30 * time.Second)
		if count(TimedOut) != 1 || tracker.heldCount != 0 {
			t.Errorf("%d timed out, %d held; want 1 and 0", count(TimedOut), tracker.heldCount)
		}
	})
}

// A wake request is sent before a drain order, and the response arrives after the order. The tracker must not grant
// requests because of this response, and the next usage report must acknowledge the drain.
func TestTrackerDrainInvalidatesEarlierResponses(t *testing.T) {
	leader := &fakeLeader{response: knownResponse(activation.Ready, 1, "10.0.0.1:9000")}
	runTracker(t, leader, Limits{MaxHeld: 8, MaxConcurrent: 9}, func(ctx context.Context, tracker *Tracker) {
		if d := tracker.Acquire(ctx, "m"); d.Outcome != Granted {
			t.Fatalf("decision %+v, want Granted", d)
		}
		time.Sleep(1500 * time.Millisecond) // the response is still valid, and the request is in flight
		if u := leader.lastUsage("m"); u.InFlight != 1 || u.Drained != 0 {
			t.Errorf("usage %+v, want 1 in flight and no drain", u)
		}
		leader.setLatency(800 * time.Millisecond)
		time.Sleep(900 * time.Millisecond) // the response is no longer valid
		decided := make(chan Decision, 1)
		go func() { decided <- tracker.Acquire(ctx, "m") }()
		time.Sleep(100 * time.Millisecond)
		leader.orderDrains(activation.DrainOrder{Model: "m", Drain: 3})
		time.Sleep(600 * time.Millisecond) // the order is received before the response
		leader.setResponse(knownResponse(activation.Draining, 1, ""))
		if d := <-decided; d.Outcome == Granted {
			t.Errorf("granted because of a wake request from before the drain order: %+v", d)
		}
		tracker.Release("m")
		time.Sleep(2 * time.Second)
		if u := leader.lastUsage("m"); u.InFlight != 0 || u.Drained != 3 {
			t.Errorf("usage %+v, want none in flight and drain 3", u)
		}
	})
}
