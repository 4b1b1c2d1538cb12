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

// wakeMessage carries a wake request to the scheduler. A controller sends one when it has requests for a model.
type wakeMessage struct {
	req   activation.WakeRequest
	reply chan activation.WakeResponse
}

// undecidedWakeResponse returns the response to a wake request that can't be answered now. The response contains no state of
// the model, and the sender should retry the request.
func undecidedWakeResponse(reason string) activation.WakeResponse {
	return activation.WakeResponse{Verdict: activation.VerdictUndecided, Reason: reason}
}

// Wake reports demand for a model to the leader, and returns the leader's response with the model's state.
func (n *Node) Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	v := n.view.Load()
	if v.scheduler != nil {
		return v.scheduler.wake(ctx, req)
	}
	leader, reason := n.activationLeader(v)
	if leader == "" {
		return undecidedWakeResponse(reason)
	}
	sentAt := time.Now()
	response, err := n.deps.Peers.Wake(ctx, leader, req)
	if err != nil {
		return undecidedWakeResponse("leader out of reach")
	}
	if response.Verdict != activation.VerdictUndecided && time.Since(sentAt) > response.Holds+req.Wait {
		return undecidedWakeResponse("the leader's answer came late")
	}
	return response
}

// activationLeader returns the name of the leader if it is another controller that supports wake requests and usage
// reports. If there is no such leader, it returns the reason. Controllers of earlier versions would misinterpret wake requests
// and usage reports.
func (n *Node) activationLeader(v *view) (leader, reason string) {
	leader = n.leader(v)
	if leader == "" || leader == n.settings.NodeName {
		return "", "no leader yet"
	}
	if status, ok := n.deps.Peers.Status(leader); !ok || status.Version < peer.VersionActivation {
		return "", "the leader isn't known to take demand"
	}
	return leader, ""
}

// HandleForwardedWake answers a wake request that another controller has forwarded to the leader.
func (n *Node) HandleForwardedWake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	if v := n.view.Load(); v.scheduler != nil {
		return v.scheduler.wake(ctx, req)
	}
	return undecidedWakeResponse("not the leader")
}

// wake sends a wake request to the scheduler and waits for its response. If the scheduler's mailbox is full, it returns a
// response without a result at once.
func (s *scheduler) wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse {
	reply := make(chan activation.WakeResponse, 1)
	requestedAt := time.Now()
	response, err := call(ctx, s, wakeMessage{req, reply}, reply)
	if err != nil {
		return undecidedWakeResponse(err.Error())
	}
	return s.withLeaseBound(response, requestedAt)
}

// withLeaseBound limits the validity of a response to the end of the leader's lease. If the lease may already have expired,
// it returns a response without a result. The lease can expire because the process was paused after the scheduler had
// responded.
func (s *scheduler) withLeaseBound(response activation.WakeResponse, requestedAt time.Time) activation.WakeResponse {
	if response.Verdict == activation.VerdictUndecided {
		return response
	}
	validUntil := s.leaseValidUntil.Load()
	if validUntil == nil || !time.Now().Before(*validUntil) {
		return undecidedWakeResponse("leadership not certain")
	}
	response.Holds = min(response.Holds, clock.Scale(validUntil.Sub(requestedAt), 1/clock.DriftBound))
	return response
}

// handleWake handles a wake request. It responds only after the resulting change of the service's record is durable.
func (s *scheduler) handleWake(m wakeMessage) {
	now := time.Now()
	j := s.state.Jobs.Get(m.req.Model)
	switch {
	case !s.leaseValid(now):
		m.reply <- undecidedWakeResponse("leadership not certain")
	case j == nil:
		m.reply <- activation.WakeResponse{Verdict: activation.VerdictUnknown, Reason: "no such service", Holds: s.settings.WakeInterval()}
	case !j.Acknowledged:
		m.reply <- undecidedWakeResponse("acceptance not yet recorded")
	case j.Phase != storage.PhaseOpen || !j.Spec.Service:
		m.reply <- activation.WakeResponse{Verdict: activation.VerdictUnknown, Reason: "no service that is open", Holds: s.settings.WakeInterval()}
	case s.commitStalled(now):
		m.reply <- undecidedWakeResponse("state service slow or out of reach")
	default:
		s.activation.handleDemand(j, m, now)
	}
}

// handleDemand applies the demand of a wake request to a service, and answers the request. If the request allows a delay,
// the response is delayed while the service starts.
func (c *activationController) handleDemand(j *cluster.Job, m wakeMessage, now time.Time) {
	s := c.service(j)
	if s == nil {
		m.reply <- c.alwaysRunningResponse(j)
		return
	}
	generation := s.record.Generation
	c.applyEvent(s, activation.Demand{Generation: m.req.Generation}, now)
	if s.record.Generation != generation {
		s.wokenAt = now
	}
	if m.req.Wait > 0 && s.damaged == nil && s.record.State == activation.Starting {
		s.waiters = append(s.waiters, wakeWaiter{m.reply, now.Add(m.req.Wait)})
		return
	}
	if s.pendingWrites == 0 {
		m.reply <- c.response(s, now)
		return
	}
	c.scheduler.afterJobCommit(j, func(err error) {
		if err != nil || c.service(j) != s {
			m.reply <- undecidedWakeResponse("not recorded")
			return
		}
		m.reply <- c.response(s, time.Now())
	})
}

// wakeWaiter is a wake request whose response is delayed while the model starts.
type wakeWaiter struct {
	reply chan activation.WakeResponse
	until time.Time
}

// answerWaiters answers the delayed wake requests whose wait has ended, or all of them if the model is no longer starting.
func (c *activationController) answerWaiters(s *managedService, now time.Time) {
	if s.pendingWrites > 0 {
		return
	}
	starting := s.record.State == activation.Starting
	s.waiters = slices.DeleteFunc(s.waiters, func(w wakeWaiter) bool {
		due := !starting || !now.Before(w.until)
		if due {
			w.reply <- c.response(s, now)
		}
		return due
	})
}

// alwaysRunningReason is the reason given in responses about services that have no lifecycle record.
const alwaysRunningReason = "runs always"

// alwaysRunningResponse returns the response about a service that runs regardless of demand.
func (c *activationController) alwaysRunningResponse(j *cluster.Job) activation.WakeResponse {
	response := activation.WakeResponse{Verdict: activation.VerdictKnown, State: activation.Starting, Holds: c.settings.WakeInterval(), Reason: alwaysRunningReason}
	for _, a := range j.Attempts {
		if a.Serving() {
			response.State, response.Machine, response.Holds = activation.Ready, a.Machine.Addr, c.settings.RoutingLease()
		}
	}
	return response
}

// response returns the response about a service that has a lifecycle record.
func (c *activationController) response(s *managedService, now time.Time) activation.WakeResponse {
	if s.damaged != nil {
		return activation.WakeResponse{Verdict: activation.VerdictDamaged, Reason: "its record is damaged", Holds: c.settings.WakeInterval()}
	}
	response := activation.WakeResponse{
		Verdict: activation.VerdictKnown, State: s.record.State, Generation: s.record.Generation, Holds: c.settings.WakeInterval(),
	}
	switch s.record.State {
	case activation.Ready:
		if a := s.replica(); a != nil && a.Serving() {
			response.Machine, response.Holds = a.Machine.Addr, c.settings.RoutingLease()
			s.routedUntil = now.Add(clock.Scale(c.settings.RoutingLease(), clock.DriftBound))
		}
	case activation.Starting:
		if !s.wokenAt.IsZero() {
			response.Expected = c.startTimes.Expected(s.job.Spec.Class, now.Sub(s.wokenAt))
		}
	case activation.Failed:
		response.Expected = s.record.BackoffRemaining(now)
	case activation.Idle, activation.Draining, activation.Stopping:
	}
	return response
}

func (m wakeMessage) handle(s *scheduler) { s.handleWake(m) }
