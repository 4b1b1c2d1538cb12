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

// Two attempts of a task may have been started directly on one machine. The worker must retain both, because the start command
// of either may be delivered again late.
func TestBothAttemptsOfTaskAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 1))
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Token: d.term}
		for number := uint64(1); number <= 2; number++ {
			a := &cluster.Attempt{Job: j, Task: 0, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Durable: true, Delivery: cluster.DeliverySettled, DeliveryToken: d.term}
			d.addAttempt(a)
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: a.ID(), Attempt: number, State: worker.Exited, Cause: worker.CauseStopped})
			r.Seq = m.Seq + 1
			d.applyReport(m, r, true, time.Now())
		}
		d.discardPending()
		for _, c := range d.commandsFor(m, r, time.Now()) {
			if c.Verb == worker.Forget {
				t.Errorf("the worker is commanded to forget attempt %d", c.Attempt)
			}
		}
	})
}

// After a failover the token is announced to a limited number of workers at a time. Announcing it to all at once took every
// socket that their heartbeats need.
func TestTokenAnnouncementsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for i := range 400 {
			m := d.state.EnsureMachine(i+1, time.Now())
			m.Addr, m.Incarnation = fmt.Sprint(i+1), 1
		}
		d.tokenPending = append(d.tokenPending, d.state.Machines.InOrder()...)
		announced := 0
		for d.announceTokens(); d.announcements > 0; {
			if d.announcements > d.settings.MaxTokenAnnouncements() {
				t.Fatalf("%d announcements at a time, want at most %d", d.announcements, d.settings.MaxTokenAnnouncements())
			}
			(<-d.mailbox).handle(d)
			announced++
		}
		if announced != 400 {
			t.Errorf("token announced to %d workers, want 400", announced)
		}
	})
}

// A machine that hangs leaves each direct command waiting, and a hundred of them once held all sockets for commands. Each may hold
// a few; further commands are sent with the responses to its heartbeats.
func TestInFlightCommandsAreLimitedPerMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.addAcceptedJob(clustertest.Array("000001", 10))
		sent := 0
		for i := range 10 {
			a := &cluster.Attempt{Job: j, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1, ThisTerm: true, Durable: true}
			d.addAttempt(a)
			d.sendCommands(m, []worker.Command{{Verb: worker.Start, ID: a.ID(), Attempt: a.Number}}, []*cluster.Attempt{a})
			if a.Delivery == cluster.DeliveryInFlight {
				sent++
			}
		}
		if sent != maxInFlightCommands {
			t.Errorf("%d commands in flight, want %d", sent, maxInFlightCommands)
		}
		for range sent {
			(<-d.mailbox).handle(d)
		}
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: d.term}
		if got := d.handleHeartbeat(r); len(got.Commands) != 10 {
			t.Errorf("%d starts in the response to the heartbeat, want 10", len(got.Commands))
		}
	})
}
