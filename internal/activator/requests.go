package activator

import (
	"context"
	"slices"
	"time"

	"sagevale/internal/activation"
)

// Acquire calls AcquireBy with the deadline of a request that arrives now.
func (t *Tracker) Acquire(ctx context.Context, name string) Decision {
	return t.AcquireBy(ctx, name, t.Deadline())
}

// Deadline returns the end of the time for which a request that arrives now may be held.
func (t *Tracker) Deadline() time.Time { return time.Now().Add(t.limits.HoldTimeout) }

// AcquireBy returns the decision on a request for a model. It may hold the request until the deadline. If the tracker has
// no valid response from the leader about the model, it sends the leader a wake request. A granted request counts as in
// flight until Release is called.
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
		t.post(context.Background(), canceledMsg{r}) // ctx has already ended
		return Decision{Reason: "its client has gone"}
	}
}

// Release reports that a granted request has finished.
func (t *Tracker) Release(name string) { t.post(context.Background(), releasedMsg{name}) }

// handleRequest handles a new request. It decides on the request if the leader's latest response is valid, or if the next
// wake request has to wait until retryAt. Otherwise it queues the request until the leader responds to a wake request.
func (t *Tracker) handleRequest(ctx context.Context, r *request, now time.Time) {
	m := t.model(r.model)
	m.lastUsed = now
	switch {
	case m.responseValid(now):
		t.decideOrHold(m, r, now)
	case !m.wakePending && now.Before(m.retryAt):
		m.demandUntil = now.Add(t.timing.RepeatDemandFor)
		t.decideOrHold(m, r, now)
	default:
		m.demandUntil = now.Add(t.timing.RepeatDemandFor)
		m.waiting = append(m.waiting, r)
	}
	if m.needsWake(now) {
		t.sendWake(ctx, r.model, m, now)
	}
}

// handleCanceled removes a request whose client has disconnected. If the request was granted in the meantime, it no
// longer counts as in flight.
func (t *Tracker) handleCanceled(r *request, now time.Time) {
	m := t.model(r.model)
	if !r.decided {
		t.markDecided(r)
		m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
		return
	}
	if decision := <-r.reply; decision.Outcome == Granted {
		m.inFlight--
		m.lastUsed = now
		t.decideWaiting(m, now)
	}
}

// handleReleased handles the end of a granted request, after which a waiting request may be granted.
func (t *Tracker) handleReleased(ctx context.Context, name string, now time.Time) {
	m := t.model(name)
	m.inFlight--
	m.lastUsed = now
	t.decideWaiting(m, now)
	if len(m.waiting) > 0 && m.needsWake(now) {
		t.sendWake(ctx, name, m, now)
	}
}

// decideOrHold sends the decision on a request according to the leader's latest response, or holds the request.
func (t *Tracker) decideOrHold(m *model, r *request, now time.Time) {
	response := &m.response
	switch {
	case r.decided:
	case !m.responseValid(now):
		t.holdOrReply(m, r, now, Decision{RetryAfter: m.retryAt.Sub(now), Reason: m.undecidedReason})
	case response.Verdict == activation.VerdictUnknown:
		t.sendDecision(r, Decision{Outcome: Unknown, Response: *response, Reason: response.Reason})
	case response.Verdict == activation.VerdictDamaged || response.State == activation.Failed:
		t.sendDecision(r, Decision{Response: *response, RetryAfter: response.Expected, Reason: "the model can't be started now"})
	case response.Ready() && m.inFlight < t.limits.MaxConcurrent:
		m.inFlight++
		t.sendDecision(r, Decision{Outcome: Granted, Response: *response})
	case response.Ready():
		t.holdOrReply(m, r, now, Decision{Response: *response, Reason: "the model has as many requests as it may"})
	default:
		t.holdOrReply(m, r, now, Decision{Response: *response, RetryAfter: response.Expected, Reason: "the model starts"})
	}
}

// holdOrReply holds a request or replies with decision. A request that is already held stays held. For other requests, it
// replies if Limits.HoldTimeout is 0, if the capacity for held requests is used up, or if the model isn't expected to be
// ready before the request's deadline.
func (t *Tracker) holdOrReply(m *model, r *request, now time.Time, decision Decision) {
	switch {
	case r.held:
		m.waiting = append(m.waiting, r)
	case t.limits.HoldTimeout <= 0 || now.Add(decision.RetryAfter).After(r.deadline) || !t.canHold(m):
		t.sendDecision(r, decision)
	default:
		r.held = true
		t.heldCount++
		m.waiting = append(m.waiting, r)
	}
}

// canHold reports whether one more request for a model may be held. The model must have fewer held requests than the
// tracker has free places for held requests. A burst of requests for one model thus leaves places for other models
// (dynamic threshold).
func (t *Tracker) canHold(m *model) bool { return m.heldRequests() < t.limits.MaxHeld-t.heldCount }

// sendDecision sends the decision on a request, unless the request is already decided or canceled.
func (t *Tracker) sendDecision(r *request, decision Decision) {
	if r.decided {
		return
	}
	t.markDecided(r)
	r.reply <- decision
}

// markDecided marks a request as decided or canceled. The request no longer counts as held.
func (t *Tracker) markDecided(r *request) {
	r.decided = true
	if r.held {
		t.heldCount--
	}
}

// decideWaiting decides on all requests that wait for a model, in order of arrival. A request that can't be granted yet may
// be held.
func (t *Tracker) decideWaiting(m *model, now time.Time) {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		t.decideOrHold(m, r, now)
	}
}

// timeOutHeldRequests replies to a model's held requests whose deadline has passed.
func (t *Tracker) timeOutHeldRequests(m *model, now time.Time) {
	m.waiting = slices.DeleteFunc(m.waiting, func(r *request) bool {
		expired := r.held && !now.Before(r.deadline)
		if expired {
			t.sendDecision(r, Decision{Outcome: TimedOut, Response: m.response, Reason: "the model didn't start in time"})
		}
		return expired
	})
}
