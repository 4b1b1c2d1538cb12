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
		req.Wait = t.pace.MaxResponseDelay
	}
	m.wakePending = true
	t.leaderCalls.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, t.pace.RequestTimeout)
		defer cancel()
		t.post(ctx, wakeResponseMsg{name, now, req, t.leader.Wake(requestCtx, req)})
	})
}

// handleWakeResponse decides on the requests that wait for a model. It sends the next wake request at once if the model
// is asleep in a generation that the request didn't name, or if it is starting and requests still wait.
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
		// The wake request named another generation and therefore had no effect.
		t.sendWake(ctx, msg.model, m, now)
		return
	}
	m.demandUntil = time.Time{}
	t.decideWaiting(m, now)
	repeatAtOnce := msg.request.Wait == 0 || now.Sub(msg.sentAt) >= t.pace.MaxResponseDelay/2
	if len(m.waiting) > 0 && m.response.State == activation.Starting && repeatAtOnce {
		// The leader delays the response to a wake request with Wait, so sending the next one at once causes no busy loop.
		t.sendWake(ctx, msg.model, m, now)
	}
}

// scheduleRetry sets the time of the next wake request after an undecided one. The pause grows exponentially and has
// jitter.
func (t *Tracker) scheduleRetry(m *model, reason string, now time.Time) {
	pause := t.pace.RetryPause << min(m.undecidedWakes, maxRetryShift)
	pause = pause/2 + time.Duration(t.rand.Int64N(int64(pause/2)+1))
	m.undecidedWakes++
	m.retryAt, m.validUntil = now.Add(pause), time.Time{}
	m.undecidedReason = reason
	t.decideWaiting(m, now)
}
