package activator

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// reportUsage sends the leader a usage report, unless the previous one is still in flight. The response arrives in the
// mailbox as a usageResponseMsg.
func (t *Tracker) reportUsage(ctx context.Context, now time.Time) {
	if t.usagePending {
		return
	}
	t.usagePending = true
	report := t.usageReport(now)
	t.leaderCalls.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, t.timing.RequestTimeout)
		defer cancel()
		t.post(ctx, usageResponseMsg{t.leader.ReportUsage(requestCtx, report)})
	})
}

// usageReport returns a report with the usage of all models in the Tracker's state.
func (t *Tracker) usageReport(now time.Time) activation.UsageReport {
	t.usageSerial++
	report := activation.UsageReport{Serial: t.usageSerial, Uptime: now.Sub(t.started)}
	for name, m := range t.models {
		report.Models = append(report.Models, activation.ModelUsage{
			Model: name, InFlight: m.inFlight + len(m.waiting), QuietFor: now.Sub(m.lastUsed), Drained: m.lastDrain,
		})
	}
	return report
}

// handleUsageResponse handles the leader's drain orders. It invalidates the latest wake response for each model that the
// leader drains. The next usage report acknowledges the drains.
func (t *Tracker) handleUsageResponse(response activation.UsageResponse, now time.Time) {
	t.usagePending = false
	if response.Verdict != activation.VerdictKnown {
		return
	}
	for _, order := range response.Draining {
		m := t.model(order.Model)
		if order.Drain <= m.lastDrain {
			continue
		}
		m.lastDrain, m.drainedAt = order.Drain, now
		m.validUntil = time.Time{}
	}
}
