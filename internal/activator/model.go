package activator

import (
	"context"
	"slices"
	"time"

	"sagevale/internal/activation"
)

// model is what a tracker knows of a model.
type model struct {
	known    activation.WakeResponse
	until    time.Time // known may be gone by until then
	asking   bool
	failures int // wake requests in a row that weren't decided
	reason   string
	retryAt  time.Time
	wanted   time.Time // there was demand that isn't decided on; it is repeated until then
	waiting  []*request

	inFlight  int
	lastUsed  time.Time // when a request last came, or was answered
	drain     uint64    // the latest drain that the leader has told of
	drainedAt time.Time // when it was told
}

// fresh tells whether the leader's last word may be gone by.
func (m *model) fresh(now time.Time) bool { return now.Before(m.until) }

// forgettable tells whether nothing of a model is of use any more.
func (m *model) forgettable(now time.Time, remember time.Duration) bool {
	idle := m.inFlight == 0 && len(m.waiting) == 0 && !m.fresh(now)
	return idle && now.Sub(m.lastUsed) > remember && now.Sub(m.drainedAt) > remember
}

func (t *Tracker) model(name string) *model {
	m := t.models[name]
	if m == nil {
		m = &model{}
		t.models[name] = m
	}
	return m
}

// requested takes in a request.
func (t *Tracker) requested(ctx context.Context, r *request, now time.Time) {
	m := t.model(r.model)
	m.lastUsed = now
	if m.fresh(now) {
		t.decide(m, r, now)
	} else if !m.asking && now.Before(m.retryAt) {
		m.wanted = now.Add(t.pace.Repeat)
		t.decide(m, r, now)
	} else {
		m.wanted = now.Add(t.pace.Repeat)
		m.waiting = append(m.waiting, r) // for the leader's word
	}
	if !m.asking && !m.fresh(now) && !now.Before(m.retryAt) {
		t.ask(ctx, r.model, m, now)
	}
}

// decide answers a request by what is known, or holds it.
func (t *Tracker) decide(m *model, r *request, now time.Time) {
	switch {
	case r.over:
	case !m.fresh(now):
		t.holdOr(m, r, now, Decision{RetryAfter: m.retryAt.Sub(now), Reason: m.reason})
	case m.known.Verdict == activation.Unknown:
		t.answer(r, Decision{Outcome: Unknown, Response: m.known, Reason: m.known.Reason})
	case m.known.Verdict == activation.Damaged || m.known.State == activation.Failed:
		t.answer(r, Decision{Response: m.known, RetryAfter: m.known.Expected, Reason: "the model can't be started now"})
	case m.known.Ready() && m.inFlight < t.limits.Concurrent:
		m.inFlight++
		t.answer(r, Decision{Outcome: Granted, Response: m.known})
	case m.known.Ready():
		t.holdOr(m, r, now, Decision{Response: m.known, Reason: "the model has as many requests as it may"})
	default:
		t.holdOr(m, r, now, Decision{Response: m.known, RetryAfter: m.known.Expected, Reason: "the model starts"})
	}
}

// holdOr holds a request, or answers it as told where none may be held: there is no room, or the
// model isn't expected within the request's deadline.
func (t *Tracker) holdOr(m *model, r *request, now time.Time, otherwise Decision) {
	switch {
	case r.held:
		m.waiting = append(m.waiting, r)
	case t.limits.Hold <= 0 || now.Add(otherwise.RetryAfter).After(r.deadline) || !t.mayHold(m):
		t.answer(r, otherwise)
	default:
		r.held = true
		t.held++
		m.waiting = append(m.waiting, r)
	}
}

// mayHold tells whether one more request for a model may be held: a model holds no more than is
// left for all others, so that one flood leaves room for the next model (dynamic thresholds).
func (t *Tracker) mayHold(m *model) bool {
	ofModel := 0
	for _, r := range m.waiting {
		if r.held {
			ofModel++
		}
	}
	return ofModel < t.limits.Held-t.held
}

// answer gives a request its one answer.
func (t *Tracker) answer(r *request, decision Decision) {
	if r.over {
		return
	}
	r.over = true
	if r.held {
		t.held--
	}
	r.reply <- decision
}

// decideWaiting decides on all that wait for a model, in the order in which they came.
func (t *Tracker) decideWaiting(m *model, now time.Time) {
	waiting := m.waiting
	m.waiting = nil
	for _, r := range waiting {
		t.decide(m, r, now)
	}
}

// expireHeld answers held requests whose deadline has come.
func (t *Tracker) expireHeld(m *model, now time.Time) {
	m.waiting = slices.DeleteFunc(m.waiting, func(r *request) bool {
		late := r.held && !now.Before(r.deadline)
		if late {
			t.answer(r, Decision{Outcome: TimedOut, Response: m.known, Reason: "the model didn't start in time"})
		}
		return late
	})
}

// departed takes in that a request's client has gone. One that was granted meanwhile is over.
func (t *Tracker) departed(r *request, now time.Time) {
	m := t.model(r.model)
	if !r.over {
		r.over = true
		if r.held {
			t.held--
		}
		m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
		return
	}
	if decision := <-r.reply; decision.Outcome == Granted {
		m.inFlight--
		m.lastUsed = now
		t.decideWaiting(m, now)
	}
}

// released takes in that a request that was passed on is over.
func (t *Tracker) released(ctx context.Context, name string, now time.Time) {
	m := t.model(name)
	m.inFlight--
	m.lastUsed = now
	t.decideWaiting(m, now)
	if len(m.waiting) > 0 && !m.asking && !m.fresh(now) && !now.Before(m.retryAt) {
		t.ask(ctx, name, m, now)
	}
}
