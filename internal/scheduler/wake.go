package scheduler

import (
	"context"
	"slices"
	"time"

	"sagevale/internal/activation"
	"sagevale/internal/clock"
	"sagevale/internal/cluster"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
)

// wakeMessage tells the dispatcher of demand for a model at some node.
type wakeMessage struct {
	req   activation.WakeRequest
	reply chan activation.WakeResponse
}

// undecided is the answer of whoever can't tell where a model stands.
func undecided(reason string) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.Undecided, Reason: reason}
}

// Wake tells the leader of demand for a model, and returns where the model stands.
func (n *Node) Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.wake(ctx, req)
	}
	leader, reason := n.activationLeader(v)
	if leader == "" {
		return undecided(reason)
	}
	asked := time.Now()
	response, err := n.deps.Peers.Wake(ctx, leader, req)
	if err != nil {
		return undecided("leader out of reach")
	}
	if response.Verdict != activation.Undecided && time.Since(asked) > response.Holds+req.Wait {
		return undecided("the leader's answer came late")
	}
	return response
}

// activationLeader names the leader, if it is another node that takes demand and usage; else it tells
// why not. Earlier versions would take the messages for something else.
func (n *Node) activationLeader(v *view) (leader, reason string) {
	leader, _ = n.leader(v)
	if leader == "" || leader == n.settings.NodeName {
		return "", "no leader yet"
	}
	if status, ok := n.deps.Peers.Status(leader); !ok || status.Version < peer.VersionActivation {
		return "", "the leader isn't known to take demand"
	}
	return leader, ""
}

// HandleForwardedWake answers a wake request that another node sent.
func (n *Node) HandleForwardedWake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.wake(ctx, req)
	}
	return undecided("not the leader")
}

// wake asks the dispatcher on behalf of a node. A full mailbox is answered at once.
func (d *scheduler) wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	reply := make(chan activation.WakeResponse, 1)
	asked := time.Now()
	response, err := call(ctx, d, wakeMessage{req, reply}, reply)
	if err != nil {
		return undecided(err.Error())
	}
	return d.withLeaseBound(response, asked)
}

// withLeaseBound bounds for how long an answer may be gone by: until the lead may have ended. This process
// may have stood still since it was given.
func (d *scheduler) withLeaseBound(response activation.WakeResponse, asked time.Time) activation.WakeResponse {
	if response.Verdict == activation.Undecided {
		return response
	}
	certain := d.leaseValidUntil.Load()
	if certain == nil || !time.Now().Before(*certain) {
		return undecided("leadership not certain")
	}
	response.Holds = min(response.Holds, clock.Scale(certain.Sub(asked), 1/clock.DriftBound))
	return response
}

// handleWake takes in demand for a model, and answers once what it moved is durable.
func (d *scheduler) handleWake(m wakeMessage) {
	now := time.Now()
	j := d.state.Jobs.Get(m.req.Model)
	switch {
	case !d.leaseValid(now):
		m.reply <- undecided("leadership not certain")
	case j == nil:
		m.reply <- activation.WakeResponse{Verdict: activation.Unknown, Reason: "no such service", Holds: d.settings.WakeInterval()}
	case !j.Acknowledged:
		m.reply <- undecided("acceptance not yet recorded")
	case j.Phase != storage.Open || !j.Spec.Service:
		m.reply <- activation.WakeResponse{Verdict: activation.Unknown, Reason: "no service that is open", Holds: d.settings.WakeInterval()}
	case d.stalled(now):
		m.reply <- undecided("state service slow or out of reach")
	default:
		d.activation.demand(j, m, now)
	}
}

// demand moves a service by a wake request, and answers it.
func (c *activationController) demand(j *cluster.Job, m wakeMessage, now time.Time) {
	s := c.service(j)
	if s == nil {
		m.reply <- c.alwaysUp(j)
		return
	}
	generation := s.record.Generation
	c.apply(s, activation.Demand{Generation: m.req.Generation}, now)
	if s.record.Generation != generation {
		s.wokenAt = now
	}
	if m.req.Wait > 0 && s.damaged == nil && s.record.State == activation.Starting {
		s.watchers = append(s.watchers, wakeWatcher{m.reply, now.Add(m.req.Wait)})
		return
	}
	if s.unwritten == 0 {
		m.reply <- c.response(s, now)
		return
	}
	c.host.afterJobCommit(j, func(err error) {
		if err != nil || c.service(j) != s {
			m.reply <- undecided("not recorded")
			return
		}
		m.reply <- c.response(s, time.Now())
	})
}

// wakeWatcher is a node that waits for a model to start.
type wakeWatcher struct {
	reply chan activation.WakeResponse
	until time.Time
}

// answerWatchers answers those who have waited for long enough, and all once the model has started, or
// won't.
func (c *activationController) answerWatchers(s *managedService, now time.Time) {
	if s.unwritten > 0 {
		return
	}
	starting := s.record.State == activation.Starting
	s.watchers = slices.DeleteFunc(s.watchers, func(w wakeWatcher) bool {
		due := !starting || !now.Before(w.until)
		if due {
			w.reply <- c.response(s, now)
		}
		return due
	})
}

// runsAlways is the reason that is told with a service that has no lifecycle.
const runsAlways = "runs always"

// alwaysUp tells of a service that runs without regard to demand.
func (c *activationController) alwaysUp(j *cluster.Job) activation.WakeResponse {
	response := activation.WakeResponse{Verdict: activation.Known, State: activation.Starting, Holds: c.settings.WakeInterval(), Reason: runsAlways}
	for _, a := range j.Attempts {
		if a.Serving() {
			response.State, response.Machine, response.Holds = activation.Ready, a.Machine.Addr, c.settings.RoutingLease()
		}
	}
	return response
}

// response tells where a service stands.
func (c *activationController) response(s *managedService, now time.Time) activation.WakeResponse {
	if s.damaged != nil {
		return activation.WakeResponse{Verdict: activation.Damaged, Reason: "its record is damaged", Holds: c.settings.WakeInterval()}
	}
	response := activation.WakeResponse{
		Verdict: activation.Known, State: s.record.State, Generation: s.record.Generation, Holds: c.settings.WakeInterval(),
	}
	switch s.record.State {
	case activation.Ready:
		if a := s.replica(); a != nil && a.Serving() {
			response.Machine, response.Holds = a.Machine.Addr, c.settings.RoutingLease()
			s.routedUntil = now.Add(clock.Scale(c.settings.RoutingLease(), clock.DriftBound))
		}
	case activation.Starting:
		if !s.wokenAt.IsZero() {
			response.Expected = c.starts.Expected(s.job.Spec.Class, now.Sub(s.wokenAt))
		}
	case activation.Failed:
		response.Expected = s.record.BackoffRemaining(now)
	case activation.Idle, activation.Draining, activation.Stopping:
	}
	return response
}

func (m wakeMessage) handle(d *scheduler) { d.handleWake(m) }
