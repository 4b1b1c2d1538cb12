package activator

import (
	"context"
	"slices"
	"time"

	"sagevale/internal/activation"
)

// Acquire decides on a request for a model that comes now: see AcquireBy.
func (t *Tracker) Acquire(ctx context.Context, name string) Decision {
	return t.AcquireBy(ctx, name, t.Deadline())
}

// Deadline returns until when a request that comes now may be held.
func (t *Tracker) Deadline() time.Time { return time.Now().Add(t.limits.HoldTimeout) }

// AcquireBy decides on a request for a model, which may be held until its deadline. If the model isn't known to be
// ready, the leader gets a wake request. A request that is granted counts as in flight until Release.
func (t *Tracker) AcquireBy(ctx context.Context, name string, deadline time.Time) Decision {
	r := &request{model: name, deadline: deadline, reply: make(chan Decision, 1)}
	if !t.post(ctx, r) {
		return Decision{Reason: "too much is asked at once"}
	}
	select {
	case decision := <-r.reply:
		return decision
	case <-t.done:
		return Decision{Reason: "the controller ends"}
	case <-ctx.Done():
		t.post(context.Background(), canceledMsg{r}) // even though ctx has ended
		return Decision{Reason: "its client has gone"}
	}
}

// Release ends a request that was granted.
func (t *Tracker) Release(name string) { t.post(context.Background(), releasedMsg{name}) }

// handleRequest decides on a new request, or has it wait for the leader's response.
func (t *Tracker) handleRequest(ctx context.Context, r *request, now time.Time) {
	m := t.model(r.model)
	m.lastUsed = now
	switch {
	case m.responseValid(now):
		t.decide(m, r, now)
	case !m.wakePending && now.Before(m.retryAt):
		m.demandUntil = now.Add(t.pace.Repeat)
		t.decide(m, r, now)
	default:
		m.demandUntil = now.Add(t.pace.Repeat)
		m.waiting = append(m.waiting, r)
	}
	if m.needsWake(now) {
		t.sendWake(ctx, r.model, m, now)
	}
}

// handleCanceled removes a request whose client has disconnected; if it was granted meanwhile, it is finished.
func (t *Tracker) handleCanceled(r *request, now time.Time) {
	m := t.model(r.model)
	if !r.decided {
		t.finish(r)
		m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
		return
	}
	if decision := <-r.reply; decision.Outcome == Granted {
		m.inFlight--
		m.lastUsed = now
		t.decideWaiting(m, now)
	}
}

// handleReleased ends a granted request, so that another may be granted.
func (t *Tracker) handleReleased(ctx context.Context, name string, now time.Time) {
	m := t.model(name)
	m.inFlight--
	m.lastUsed = now
	t.decideWaiting(m, now)
	if len(m.waiting) > 0 && m.needsWake(now) {
		t.sendWake(ctx, name, m, now)
	}
}

// decide decides on a request by the leader's latest response, or holds it.
func (t *Tracker) decide(m *model, r *request, now time.Time) {
	response := &m.response
	switch {
	case r.decided:
	case !m.responseValid(now):
		t.holdOrReply(m, r, now, Decision{RetryAfter: m.retryAt.Sub(now), Reason: m.reason})
	case response.Verdict == activation.Unknown:
		t.reply(r, Decision{Outcome: Unknown, Response: *response, Reason: response.Reason})
	case response.Verdict == activation.Damaged || response.State == activation.Failed:
		t.reply(r, Decision{Response: *response, RetryAfter: response.Expected, Reason: "the model can't be started now"})
	case response.Ready() && m.inFlight < t.limits.MaxConcurrent:
		m.inFlight++
		t.reply(r, Decision{Outcome: Granted, Response: *response})
	case response.Ready():
		t.holdOrReply(m, r, now, Decision{Response: *response, Reason: "the model has as many requests as it may"})
	default:
		t.holdOrReply(m, r, now, Decision{Response: *response, RetryAfter: response.Expected, Reason: "the model starts"})
	}
}

// holdOrReply holds a request, or replies with decision if it can't be held: there is no capacity, or the model isn't
// expected to be ready before the request's deadline.
func (t *Tracker) holdOrReply(m *model, r *request, now time.Time, decision Decision) {
	switch {
	case r.held:
		m.waiting = append(m.waiting, r)
	case t.limits.HoldTimeout <= 0 || now.Add(decision.RetryAfter).After(r.deadline) || !t.canHold(m):
		t.reply(r, decision)
	default:
		r.held = true
		t.held++
		m.waiting = append(m.waiting, r)
	}
}

// canHold reports whether one more request for a model may be held: a model holds no more requests than are left for
// all others, so that a burst for one leaves capacity for the next (dynamic thresholds).
func (t *Tracker) canHold(m *model) bool { return m.heldRequests() < t.limits.MaxHeld-t.held }

// reply gives a request its decision, unless it has one.
func (t *Tracker) reply(r *request, decision Decision) {
	if r.decided {
		return
	}
	t.finish(r)
	r.reply <- decision
}

// finish marks a request as decided or canceled; it is no longer held.
func (t *Tracker) finish(r *request) {
	r.decided = true
	if r.held {
		t.held--
	}
}

// decideWaiting decides on all requests that wait for a model, in the order in which they came.
func (t *Tracker) decideWaiting(m *model, now time.Time) {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		t.decide(m, r, now)
	}
}

// timeOutHeld replies to the held requests whose deadline has passed.
func (t *Tracker) timeOutHeld(m *model, now time.Time) {
	m.waiting = slices.DeleteFunc(m.waiting, func(r *request) bool {
		expired := r.held && !now.Before(r.deadline)
		if expired {
			t.reply(r, Decision{Outcome: TimedOut, Response: m.response, Reason: "the model didn't start in time"})
		}
		return expired
	})
}
