package activator

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// reportUsage sends the leader a usage report, unless the last one has no response yet. The response comes as a
// usageResponseMsg.
func (t *Tracker) reportUsage(ctx context.Context, now time.Time) {
	if t.usagePending {
		return
	}
	t.usagePending = true
	report := t.usageReport(now)
	t.senders.Go(func() {
		requestCtx, cancel := context.WithTimeout(ctx, t.pace.Timeout)
		defer cancel()
		t.post(ctx, usageResponseMsg{t.scheduler.ReportUsage(requestCtx, report)})
	})
}

// usageReport returns the usage of all models that have been used here of late.
func (t *Tracker) usageReport(now time.Time) activation.UsageReport {
	t.usageSerial++
	report := activation.UsageReport{Serial: t.usageSerial, Uptime: now.Sub(t.started)}
	for name, m := range t.models {
		report.Models = append(report.Models, activation.ModelUsage{
			Model: name, InFlight: m.inFlight + len(m.waiting), QuietFor: now.Sub(m.lastUsed), Drained: m.drain,
		})
	}
	return report
}

// handleUsageResponse invalidates the latest responses on models that the leader drains. The next usage report
// confirms it.
func (t *Tracker) handleUsageResponse(response activation.UsageResponse, now time.Time) {
	t.usagePending = false
	if response.Verdict != activation.Known {
		return
	}
	for _, order := range response.Draining {
		m := t.model(order.Model)
		if order.Drain <= m.drain {
			continue
		}
		m.drain, m.drainedAt = order.Drain, now
		m.validUntil = time.Time{}
	}
}
