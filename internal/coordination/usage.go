package coordination

import (
	"context"
	"time"

	"sagevale/internal/activation"
)

// usageIntervals is how many report intervals of usage may pass until a controller counts as silent.
const usageIntervals = 2

// UsageInterval is how often a controller tells the leader how models are used.
func (s *Settings) UsageInterval() time.Duration { return s.Report }

// usageReportMsg brings the dispatcher a controller's usage.
type usageReportMsg struct {
	report activation.UsageReport
	reply  chan activation.UsageResponse
}

// usageUndecided is the answer of whoever doesn't lead for certain.
func usageUndecided(reason string) activation.UsageResponse {
	return activation.UsageResponse{Verdict: activation.Undecided, Reason: reason}
}

// ReportUsage tells the leader how models are used at this node.
func (n *Node) ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	report.Node, report.Session = n.settings.Node, n.lead.run
	v := n.view.Load()
	if v.dispatcher != nil {
		return v.dispatcher.reportUsage(ctx, report)
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

// LocalUsage answers a report that another node sent.
func (n *Node) LocalUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	if v := n.view.Load(); v.dispatcher != nil {
		return v.dispatcher.reportUsage(ctx, report)
	}
	return usageUndecided("not the leader")
}

// reportUsage hands a controller's usage to the dispatcher.
func (d *dispatcher) reportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse {
	reply := make(chan activation.UsageResponse, 1)
	select {
	case d.mailbox <- usageReportMsg{report, reply}:
	case <-d.closed:
		return usageUndecided("leader is stepping down")
	default:
		return usageUndecided("too much asked at once")
	}
	select {
	case response := <-reply:
		return response
	case <-d.closed:
		return usageUndecided("leader is stepping down")
	case <-ctx.Done():
		return usageUndecided("not decided in time")
	}
}

// handleUsage takes in a controller's usage.
func (d *dispatcher) handleUsage(m usageReportMsg) {
	now := time.Now()
	if !d.certain(now) {
		m.reply <- usageUndecided("leadership not certain")
		return
	}
	c := d.activation
	c.noteUsage(m.report, now)
	m.reply <- activation.UsageResponse{Verdict: activation.Known, Draining: c.draining()}
}

// controllerUsage is what a controller has told last.
type controllerUsage struct {
	session string
	serial  uint64
	at      time.Time // when it came
	began   time.Time // its process, at the latest
	models  map[string]activation.ModelUsage
}

// noteUsage takes in a controller's report, unless it is older than the last one.
func (c *activationController) noteUsage(report activation.UsageReport, now time.Time) {
	last := c.usage[report.Node]
	switch {
	case c.retired[report.Session]:
		return // a late copy, of a process that has ended
	case last != nil && last.session == report.Session && report.Serial <= last.serial:
		return // a late copy
	case last != nil && last.session != report.Session:
		c.retired[last.session] = true
	}
	next := &controllerUsage{session: report.Session, serial: report.Serial, at: now, began: now.Add(-report.Uptime), models: make(map[string]activation.ModelUsage, len(report.Models))}
	for _, usage := range report.Models {
		next.models[usage.Model] = usage
	}
	c.usage[report.Node] = next
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

// controllers lists the fleet's controllers.
func (s *Settings) controllers() []string {
	names := []string{s.Node}
	for _, p := range s.Peers {
		names = append(names, p.Name)
	}
	return names
}

// latest is what a controller has told of late; nil: it is silent.
func (c *activationController) latest(controller string, now time.Time) *controllerUsage {
	u := c.usage[controller]
	if u == nil || now.Sub(u.at) > usageIntervals*c.settings.UsageInterval() {
		return nil
	}
	return u
}

// tendUsage has a service that nobody uses drain, and one that has drained stop.
func (c *activationController) tendUsage(s *managedService, now time.Time) {
	if s.damaged != nil || s.unwritten > 0 {
		return
	}
	switch s.record.State {
	case activation.Ready:
		if since, told := c.quietSince(s, now); told && c.tuning.Policy.IdleWindow > 0 {
			c.apply(s, activation.Quiet{Generation: s.record.Generation, Since: since}, now)
		}
	case activation.Draining:
		if c.drained(s, now) {
			c.apply(s, activation.Drained{Drain: s.record.Drain}, now)
		}
	case activation.Idle, activation.Starting, activation.Stopping, activation.Failed:
	}
}

// quietSince is since when no controller has had a request for a service, if all of them have told of
// late and none has one under way.
func (c *activationController) quietSince(s *managedService, now time.Time) (since time.Time, told bool) {
	for _, controller := range c.settings.controllers() {
		u := c.latest(controller, now)
		if u == nil {
			return time.Time{}, false
		}
		quiet := u.began // an earlier process may have had some until then
		if usage, used := u.models[s.job.spec.ID]; used {
			if usage.InFlight > 0 {
				return time.Time{}, false
			}
			if last := u.at.Add(-usage.QuietFor); last.After(quiet) {
				quiet = last
			}
		}
		if quiet.After(since) {
			since = quiet
		}
	}
	return since, true
}

// drained tells whether no controller passes requests on to a service any more: it has said so of this
// very drain, with nothing in flight, or it is silent and the answers that it went by have run out.
func (c *activationController) drained(s *managedService, now time.Time) bool {
	for _, controller := range c.settings.controllers() {
		u := c.latest(controller, now)
		if u == nil {
			if now.Before(s.routedTill) {
				return false
			}
			continue
		}
		usage := u.models[s.job.spec.ID]
		if usage.Drained != s.record.Drain || usage.InFlight > 0 {
			return false
		}
	}
	return true
}
