package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/worker"
)

// Direct commands, which aren't sent in a heartbeat response, may have started two attempts of a task on one machine.
// The worker must retain both attempts after they have ended, because a late duplicate of either start command may still
// arrive.
func TestBothAttemptsOfTaskAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		report := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Token: sched.term}
		for number := uint64(1); number <= 2; number++ {
			a := &cluster.Attempt{Job: j, Task: 0, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: sched.term}
			sched.addAttempt(a)
			report.Tasks = append(report.Tasks, worker.TaskReport{ID: a.ID(), Attempt: number, State: worker.Exited, Cause: worker.CauseStopped})
			report.Seq = m.Seq + 1
			sched.applyReport(m, report, true, time.Now())
		}
		sched.discardPending()
		for _, c := range sched.commandsFor(m, report, time.Now()) {
			if c.Verb == worker.Forget {
				t.Errorf("the worker is commanded to forget attempt %d", c.Attempt)
			}
		}
	})
}

// After a failover, the new leader announces its fencing token to a limited number of workers at a time. When the
// token was announced to all workers at once, the announcements took every socket that the workers' heartbeats need.
func TestTokenAnnouncementsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		for i := range 400 {
			m := sched.state.EnsureMachine(i+1, time.Now())
			m.Addr, m.Incarnation = fmt.Sprint(i+1), 1
		}
		sched.machinesAwaitingToken = append(sched.machinesAwaitingToken, sched.state.Machines.InOrder()...)
		announced := 0
		for sched.announceTokens(); sched.announcements > 0; {
			if sched.announcements > sched.settings.MaxTokenAnnouncements() {
				t.Fatalf("%d announcements at a time, want at most %d", sched.announcements, sched.settings.MaxTokenAnnouncements())
			}
			(<-sched.mailbox).handle(sched)
			announced++
		}
		if announced != 400 {
			t.Errorf("token announced to %d workers, want 400", announced)
		}
	})
}

// A direct command to a hung machine holds a socket until the command times out. A hundred hung machines once held all
// sockets for commands. Each machine may therefore have only a few direct commands in flight. Further commands are
// sent in the responses to the machine's heartbeats.
func TestInFlightCommandsAreLimitedPerMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		j := sched.addAcceptedJob(clustertest.Array("000001", 10))
		sent := 0
		for i := range 10 {
			a := &cluster.Attempt{Job: j, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1, ThisTerm: true, Durable: true}
			sched.addAttempt(a)
			sched.sendCommands(m, []worker.Command{{Verb: worker.Start, ID: a.ID(), Attempt: a.Number}}, []*cluster.Attempt{a})
			if a.Delivery == cluster.DeliveryInFlight {
				sent++
			}
		}
		if sent != maxInFlightCommands {
			t.Errorf("%d commands in flight, want %d", sent, maxInFlightCommands)
		}
		for range sent {
			(<-sched.mailbox).handle(sched)
		}
		report := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}
		if got := sched.handleHeartbeat(report); len(got.Commands) != 10 {
			t.Errorf("%d starts in the response to the heartbeat, want 10", len(got.Commands))
		}
	})
}
