package scheduler

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// usageIntervals is how many report intervals of usage may pass until a controller counts as silent.
const usageIntervals = 2

// usageMessage brings the dispatcher a controller's usage.
type usageMessage struct {
	report activation.UsageReport
	reply  chan activation.UsageResponse
}

// usageUndecided is the answer of whoever doesn't lead for certain.
func usageUndecided(reason string) activation.UsageResponse {
	return activation.UsageResponse{Verdict: activation.Undecided, Reason: reason}
}

// ReportUsage tells the leader how models are used at this node.
func (n *Node) ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	report.Node, report.Session = n.settings.NodeName, n.election.Process()
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.reportUsage(ctx, report)
	}
	leader, reason := n.activationLeader(v)
	if leader == "" {
		return usageUndecided(reason)
	}
	response, err := n.deps.Peers.ReportUsage(ctx, leader, report)
	if err != nil {
		return usageUndecided("leader out of reach")
	}
	return response
}

// HandleForwardedUsage answers a report that another node sent.
func (n *Node) HandleForwardedUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.reportUsage(ctx, report)
	}
	return usageUndecided("not the leader")
}

// reportUsage hands a controller's usage to the dispatcher.
func (d *scheduler) reportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	reply := make(chan activation.UsageResponse, 1)
	response, err := call(ctx, d, usageMessage{report, reply}, reply)
	if err != nil {
		return usageUndecided(err.Error())
	}
	return response
}

// handleUsage takes in a controller's usage.
func (d *scheduler) handleUsage(m usageMessage) {
	now := time.Now()
	if !d.leaseValid(now) {
		m.reply <- usageUndecided("leadership not certain")
		return
	}
	c := d.activation
	c.usage.RecordReport(m.report, now)
	m.reply <- activation.UsageResponse{Verdict: activation.Known, Draining: c.draining()}
}

// draining lists the models that drain, once that is durable.
func (c *activationController) draining() []activation.DrainOrder {
	var orders []activation.DrainOrder
	for id, s := range c.awake {
		if s.record.State == activation.Draining && s.unwritten == 0 {
			orders = append(orders, activation.DrainOrder{Model: id, Drain: s.record.Drain})
		}
	}
	return orders
}

// checkUsage has a service that nobody uses drain, and one that has drained stop.
func (c *activationController) checkUsage(s *managedService, now time.Time) {
	if s.damaged != nil || s.unwritten > 0 {
		return
	}
	switch s.record.State {
	case activation.Ready:
		if since, told := c.usage.QuietSince(s.job.Spec.ID, now); told && c.tuning.Policy.IdleWindow > 0 {
			c.apply(s, activation.Quiet{Generation: s.record.Generation, Since: since}, now)
		}
	case activation.Draining:
		if c.usage.Drained(s.job.Spec.ID, s.record.Drain, s.routedUntil, now) {
			c.apply(s, activation.Drained{Drain: s.record.Drain}, now)
		}
	case activation.Idle, activation.Starting, activation.Stopping, activation.Failed:
	}
}

func (m usageMessage) handle(d *scheduler) { d.handleUsage(m) }
