package activator

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// sendWake sends a wake request with the latest known generation of the model. The response arrives in the mailbox as a
// wakeResponseMsg.
func (t *Tracker) sendWake(ctx context.Context, name string, m *model, now time.Time) {
	req := activation.WakeRequest{Model: name, Generation: m.response.Generation}
	if m.response.State == activation.Starting && len(m.waiting) > 0 {
		req.Wait = t.timing.MaxResponseDelay
	}
	m.wakePending = true
	t.leaderCalls.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, t.timing.RequestTimeout)
		defer cancel()
		t.post(ctx, wakeResponseMsg{name, now, req, t.leader.Wake(requestCtx, req)})
	})
}

// handleWakeResponse handles the leader's response to a wake request, and decides on the requests that wait for the model.
// It sends the next wake request at once in two cases: if the wake request named an outdated generation and therefore
// couldn't wake the model, or if the model is starting and requests still wait.
func (t *Tracker) handleWakeResponse(ctx context.Context, msg wakeResponseMsg, now time.Time) {
	m := t.models[msg.model]
	m.wakePending = false
	// A response to a wake request that was sent before a drain order arrived may describe the state before the drain.
	outdated := msg.response.Ready() && msg.sentAt.Before(m.drainedAt)
	if msg.response.Verdict == activation.VerdictUndecided || outdated {
		t.scheduleRetry(m, msg.response.Reason, now)
		return
	}
	m.undecidedWakes = 0
	m.response, m.validUntil = msg.response, msg.sentAt.Add(msg.response.Holds)
	if m.response.CanWake() && m.response.Generation != msg.request.Generation {
		// The wake request named another generation than the current one and therefore had no effect.
		t.sendWake(ctx, msg.model, m, now)
		return
	}
	m.demandUntil = time.Time{}
	t.decideWaiting(m, now)
	repeatAtOnce := msg.request.Wait == 0 || now.Sub(msg.sentAt) >= t.timing.MaxResponseDelay/2
	if len(m.waiting) > 0 && m.response.State == activation.Starting && repeatAtOnce {
		// The next wake request has Wait set, so the leader delays its response. Sending the request at once therefore
		// causes no busy loop.
		t.sendWake(ctx, msg.model, m, now)
	}
}

// scheduleRetry sets the time of the next wake request after a response that wasn't usable: the leader couldn't decide, or
// the response was outdated. The pause grows exponentially and has jitter. Waiting requests are then held or
// refused.
func (t *Tracker) scheduleRetry(m *model, reason string, now time.Time) {
	pause := t.timing.RetryPause << min(m.undecidedWakes, maxRetryShift)
	pause = pause/2 + time.Duration(t.rand.Int64N(int64(pause/2)+1))
	m.undecidedWakes++
	m.retryAt, m.validUntil = now.Add(pause), time.Time{}
	m.undecidedReason = reason
	t.decideWaiting(m, now)
}
