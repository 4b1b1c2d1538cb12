package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/leadership"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// What guards against a combination of faults, taken alone: the scenarios show that it is
// survived, these tests that the guard does its part.

// A successor may have told the user something newer once our lead may have
// ended: by then an answer on its way is void, unless it is final.
func TestResponseValidityEndsWithLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		r := sched.role
		r.LeaseValidUntil = time.Now().Add(time.Second)
		sched.setRole(r)
		asked := time.Now()
		running := api.Response{Code: api.CodeOK, ID: "000001", State: api.StateRunning}
		if a := sched.withValidity(running, asked); a.Code != api.CodeOK || a.ValidFor != time.Second {
			t.Errorf("told %+v", a)
		}
		time.Sleep(time.Second)
		if a := sched.withValidity(running, asked); a.Code != api.CodeUnavailable || a.RetrySeconds == 0 {
			t.Errorf("told after the lead may have ended: %+v", a)
		}
		if a := sched.withValidity(api.Response{Code: api.CodeNotFound}, asked); a.Code != api.CodeUnavailable {
			t.Errorf("told after the lead may have ended: %+v", a)
		}
		if a := sched.withValidity(api.Response{Code: api.CodeOK, State: api.StateDone}, asked); a.Code != api.CodeOK {
			t.Errorf("a final state isn't told: %+v", a)
		}
	})
}

func TestDelayedResponseIsNotForwarded(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(clustertest.Service("000001", 1))
		sim.submit(clustertest.Service("000002", 1))
		sim.cancel("000002")
		leader := sim.awaitLeader()
		leader.responseDelay.Store(int64(sim.settings.Tuning.LeaderLease))
		for _, n := range sim.nodes {
			if n == leader {
				continue
			}
			if a := sim.requestFrom(n, api.OpPoll, "000001", storage.Spec{}); a.Code != api.CodeUnavailable {
				t.Errorf("passed on late: %+v", a)
			}
			if a := sim.requestFrom(n, api.OpPoll, "000002", storage.Spec{}); !a.Final() {
				t.Errorf("a final state isn't passed on: %+v", a)
			}
		}
	})
}

// Every path on which a worker's lease can be renewed, as an inequality: the last
// renewal, a lease on a slow clock after it, and the moment that a worker takes to
// end its tasks come before cancel_s after the earliest cancel that the renewer
// can't know of. docs/design.md has the argument.
func TestRenewalsEndBeforeCancelTimeout(t *testing.T) {
	for _, s := range []config.Settings{clustertest.Settings(), {HeartbeatInterval: 2 * time.Second, WorkerLease: 12 * time.Second, CancelTimeout: 42 * time.Second},
		{HeartbeatInterval: 5 * time.Second, WorkerLease: 26500 * time.Millisecond, CancelTimeout: 56500 * time.Millisecond}} {
		s.Peers = []config.Peer{{Name: "n1", Zone: "a"}}
		s.Tuning = s.DefaultTuning()
		// endOf is when a lease renewed then has ended on any worker's clock.
		endOf := func(renewed time.Time) time.Time { return renewed.Add(clock.Scale(s.WorkerLease, 1.0005)) }
		due := func(confirmed time.Time) time.Time { return confirmed.Add(clock.Scale(s.CancelTimeout, 1/1.0005)) }
		t.Run("the leader's own answers", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, s)
				certain := time.Now()
				sched.setRole(leadership.Role{Leading: true, Term: 2, LeaseValidUntil: certain, RenewUntil: certain.Add(s.RenewalGrace())})
				last := time.Time{}
				for seq := uint64(1); time.Since(certain) < 2*s.CancelTimeout; seq++ {
					r := &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: seq, Token: 2}
					if sched.handleHeartbeat(r).Accepted {
						last = time.Now()
					}
					time.Sleep(100 * time.Millisecond)
				}
				if last.IsZero() || !endOf(last).Before(due(certain)) {
					t.Errorf("last renewed %v after the lead may have ended", last.Sub(certain))
				}
			})
		})
		t.Run("a peer on loan", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sched := newTestScheduler(t, s)
				certain := time.Now()
				sched.setRole(leadership.Role{Leading: true, Term: 2, LeaseValidUntil: certain, RenewUntil: certain.Add(s.RenewalGrace())})
				c := newForwarder(&Node{settings: &s})
				words := &fakeNode{sim: &simulation{}, statuses: make(map[string]peer.ObservedStatus)}
				c.node.deps.Peers = words
				for time.Since(certain) < s.CancelTimeout {
					sched.publishDelegation(time.Now())
					span, excluded := sched.delegator.delegate("n1")
					words.statuses["n1"] = peer.ObservedStatus{Status: peer.Status{DelegatesFor: span, DelegationTerm: 2, Excluded: excluded}, Sent: time.Now(), Received: time.Now()}
					c.refreshDelegation()
					time.Sleep(100 * time.Millisecond)
				}
				if c.delegation.until.IsZero() || !endOf(c.delegation.until).Before(due(certain)) {
					t.Errorf("lent until %v after the lead may have ended", c.delegation.until.Sub(certain))
				}
			})
		})
		t.Run("prolonged by the peers' word", func(t *testing.T) {
			// What a peer does after its status it does after we asked for it.
			asked := time.Now()
			if !endOf(asked.Add(s.RenewalGrace())).Before(due(asked)) {
				t.Error("beyond a cancel that is confirmed right after the word")
			}
		})
	}
}

// A machine that has tasks of a cancelled job is left out of a delegation.
func TestDelegationDoesNotRenewExcludedMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Zone = "a"
		c := newForwarder(&Node{settings: &s})
		c.delegation = delegation{tokens: fencing.TermTokens(2), until: time.Now().Add(time.Minute), excluded: []int{7}}
		for machine, renewed := range map[int]bool{7: false, 8: true} {
			c.workers[machine] = &knownWorker{incarnation: 1, seq: 1, lastAcknowledged: time.Now()}
			r := &worker.Report{Machine: machine, Zone: "a", Incarnation: 1, Seq: 2, Token: 2}
			p := pendingReport{report: r, digest: c.workers[machine].digest}
			if a := c.decideDelegated(p, time.Now()); a.Accepted != renewed {
				t.Errorf("machine %d: %+v", machine, a)
			}
		}
	})
}

// A session that is first heard of directly has its own lease, whenever the one
// before was last answered. The scenario of it no longer places work there, since
// such a machine isn't ready; the bound must hold all the same.
func TestLeaseBoundOfNewIncarnationStartsAtFirstReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		sched := newTestScheduler(t, s)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		time.Sleep(s.WorkerLease)
		heard := time.Now()
		sched.applyReport(m, &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 2, Seq: 1, Token: sched.term}, false, heard)
		if by := sched.provenEmptyAt(m); by.Before(heard.Add(s.WorkerLease)) {
			t.Errorf("called empty %v after the session's first word", by.Sub(heard))
		}
	})
}

// An earlier leader may have gone on renewing leases for its whole hold: a machine
// that this term hasn't heard isn't called empty before the last of them has ended.
func TestLeaseBoundAfterFailoverCoversEarlierLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		sched := newTestScheduler(t, s)
		spec := clustertest.Service("000001", 1)
		if err := sched.load([]storage.Record{newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 1, Spec: &spec}),
			newRecord(t, storage.PageKey("000001", 0), storage.PageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 1, Incarnation: 1}}})}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(s.RenewalGrace() + s.WorkerLease)
		if sched.expireLeases(time.Now()); len(sched.state.Jobs.Get("000001").Attempts) != 1 {
			t.Error("called empty while an earlier leader's last lease may last")
		}
		time.Sleep(time.Second)
		if sched.expireLeases(time.Now()); len(sched.state.Jobs.Get("000001").Attempts) != 0 {
			t.Error("never called empty")
		}
	})
}

// A worker that knows a later term ends this one at once, unless this lead is certain: then
// nobody can have led later, and a faulty worker must not end it for all others.
func TestLaterTermEndsExpiredLeadership(t *testing.T) {
	for _, certain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			sched := newTestScheduler(t, clustertest.Settings())
			resignations := 0
			sched.resign = func(leadership.Resignation) { resignations++ }
			sched.addReadyMachine(7, "cpu", "a", false)
			sched.addReadyMachine(8, "cpu", "a", false)
			if !certain {
				sched.role.LeaseValidUntil = time.Now()
			}
			later := &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 9, Token: sched.tokens.Last + 1}
			if a := sched.handleHeartbeat(later); a.Accepted {
				t.Errorf("certain %v: answered under the earlier term", certain)
			}
			sched.handleDelivered(deliveredMessage{machine: 7, outcome: worker.Rejected, report: later})
			if leads := sched.leaseValid(time.Now()); leads != certain || resignations > 0 == certain {
				t.Errorf("certain %v: leads on %v, resigned %d", certain, leads, resignations)
			}
			other := sched.handleHeartbeat(&worker.Report{Machine: 8, Addr: "8", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 10, Token: sched.term})
			if other.Accepted != certain {
				t.Errorf("certain %v: another worker is answered %+v", certain, other)
			}
		})
	}
}
