package scheduler

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// maxSilentUsageIntervals is how long a controller may send no usage report before it counts as silent, as a multiple of
// Settings.UsageInterval, the time between two usage reports of a controller.
const maxSilentUsageIntervals = 2

// usageMessage carries a controller's usage report to the scheduler.
type usageMessage struct {
	report activation.UsageReport
	reply  chan activation.UsageResponse
}

// undecidedUsageResponse returns the response to a usage report that no leader is known to have handled.
func undecidedUsageResponse(reason string) activation.UsageResponse {
	return activation.UsageResponse{Verdict: activation.VerdictUndecided, Reason: reason}
}

// ReportUsage reports to the leader how this controller uses the models, and returns the leader's response.
func (n *Node) ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	report.Node, report.Session = n.settings.NodeName, n.election.Process()
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.reportUsage(ctx, report)
	}
	leader, reason := n.activationLeader(v)
	if leader == "" {
		return undecidedUsageResponse(reason)
	}
	response, err := n.deps.Peers.ReportUsage(ctx, leader, report)
	if err != nil {
		return undecidedUsageResponse("leader out of reach")
	}
	return response
}

// HandleForwardedUsage answers a usage report that another controller has forwarded to the leader.
func (n *Node) HandleForwardedUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.reportUsage(ctx, report)
	}
	return undecidedUsageResponse("not the leader")
}

// reportUsage sends a usage report to the scheduler and waits for its response.
func (s *scheduler) reportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	reply := make(chan activation.UsageResponse, 1)
	response, err := call(ctx, s, usageMessage{report, reply}, reply)
	if err != nil {
		return undecidedUsageResponse(err.Error())
	}
	return response
}

// handleUsage records a controller's usage report, and responds with the models to which the controller must stop routing.
func (s *scheduler) handleUsage(m usageMessage) {
	now := time.Now()
	if !s.leaseValid(now) {
		m.reply <- undecidedUsageResponse("leadership not certain")
		return
	}
	c := s.activation
	c.usage.RecordReport(m.report, now)
	m.reply <- activation.UsageResponse{Verdict: activation.VerdictKnown, Draining: c.drainOrders()}
}

// drainOrders returns the drain orders for a controller. The controller must stop routing requests to each model whose
// draining state is durable.
func (c *activationController) drainOrders() []activation.DrainOrder {
	var orders []activation.DrainOrder
	for id, s := range c.active {
		if s.record.State == activation.Draining && s.pendingWrites == 0 {
			orders = append(orders, activation.DrainOrder{Model: id, Drain: s.record.Drain})
		}
	}
	return orders
}

// applyUsage starts to drain a ready service that has no recent requests, and stops a draining service once all controllers
// have stopped routing to it.
func (c *activationController) applyUsage(s *managedService, now time.Time) {
	if s.damaged != nil || s.pendingWrites > 0 {
		return
	}
	switch s.record.State {
	case activation.Ready:
		if since, known := c.usage.QuietSince(s.job.Spec.ID, now); known && c.tuning.Policy.IdleWindow > 0 {
			c.applyEvent(s, activation.Quiet{Generation: s.record.Generation, Since: since}, now)
		}
	case activation.Draining:
		if c.usage.Drained(s.job.Spec.ID, s.record.Drain, s.routedUntil, now) {
			c.applyEvent(s, activation.Drained{Drain: s.record.Drain}, now)
		}
	case activation.Idle, activation.Starting, activation.Stopping, activation.Failed:
	}
}

func (m usageMessage) handle(s *scheduler) { s.handleUsage(m) }
