package activator

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// usage is what the leader is told of the models that are used here.
func (t *Tracker) usage(now time.Time) activation.UsageReport {
	t.reports++
	report := activation.UsageReport{Serial: t.reports, Uptime: now.Sub(t.began)}
	for name, m := range t.models {
		report.Models = append(report.Models, activation.ModelUsage{
			Model: name, InFlight: m.inFlight + len(m.waiting), QuietFor: now.Sub(m.lastUsed), Drained: m.drain,
		})
	}
	return report
}

// reportUsage tells the leader of usage, one message at a time.
func (t *Tracker) reportUsage(ctx context.Context, now time.Time) {
	if t.reporting {
		return
	}
	t.reporting = true
	report := t.usage(now)
	go func() {
		asked, cancel := context.WithTimeout(ctx, t.pace.Timeout)
		defer cancel()
		t.post(ctx, usageMsg{t.scheduler.ReportUsage(asked, report)})
	}()
}

// drain stops passing requests on by earlier answers to models that drain. The next report says so.
func (t *Tracker) drain(response activation.UsageResponse, now time.Time) {
	t.reporting = false
	if response.Verdict != activation.Known {
		return
	}
	for _, order := range response.Draining {
		m := t.model(order.Model)
		if order.Drain <= m.drain {
			continue
		}
		m.drain, m.drainedAt = order.Drain, now
		m.until = time.Time{}
	}
}
