package activator

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// sendWake sends a wake request that names the latest known generation of the model. The response comes as a
// wakeResponseMsg.
func (t *Tracker) sendWake(ctx context.Context, name string, m *model, now time.Time) {
	req := activation.WakeRequest{Model: name, Generation: m.response.Generation}
	if m.response.State == activation.Starting && len(m.waiting) > 0 {
		req.Wait = t.pace.Wait
	}
	m.wakePending = true
	t.senders.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, t.pace.Timeout)
		defer cancel()
		t.post(ctx, wakeResponseMsg{name, now, req, t.scheduler.Wake(requestCtx, req)})
	})
}

// handleWakeResponse decides on the requests that wait for a model, and sends the next wake request at once where the
// model isn't awake or is starting.
func (t *Tracker) handleWakeResponse(ctx context.Context, msg wakeResponseMsg, now time.Time) {
	m := t.models[msg.model]
	m.wakePending = false
	// A response to a request from before a drain may describe the state before it.
	outdated := msg.response.Ready() && msg.sentAt.Before(m.drainedAt)
	if msg.response.Verdict == activation.Undecided || outdated {
		t.scheduleRetry(m, msg.response.Reason, now)
		return
	}
	m.failures = 0
	m.response, m.validUntil = msg.response, msg.sentAt.Add(msg.response.Holds)
	if m.response.Asleep() && m.response.Generation != msg.request.Generation {
		// The request named an earlier generation, and had no effect.
		t.sendWake(ctx, msg.model, m, now)
		return
	}
	m.demandUntil = time.Time{}
	t.decideWaiting(m, now)
	delayed := msg.request.Wait == 0 || now.Sub(msg.sentAt) >= t.pace.Wait/2
	if len(m.waiting) > 0 && m.response.State == activation.Starting && delayed {
		// The leader delays the response until something changes.
		t.sendWake(ctx, msg.model, m, now)
	}
}

// scheduleRetry has a wake request sent again after a pause, since it is undecided.
func (t *Tracker) scheduleRetry(m *model, reason string, now time.Time) {
	pause := t.pace.Retry << min(m.failures, maxRetryShift)
	pause = pause/2 + time.Duration(t.rand.Int64N(int64(pause/2)+1))
	m.failures++
	m.retryAt, m.validUntil = now.Add(pause), time.Time{}
	m.reason = reason
	t.decideWaiting(m, now)
}
