package scheduler

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/worker"
)

// What bounds the size of a fleet: at 6,000 machines nothing that was fixed stands in the way.

const manyMachines = 6000

// All workers may report at once: none is turned away before users are, and submissions go first.
func TestMailboxReservesCapacityForHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.Sockets = manyMachines
		sched := newTestScheduler(t, s) // it takes nothing in
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		report := func(n int) {
			for range n {
				go sched.HandleHeartbeats(ctx, nil)
			}
			synctest.Wait()
		}
		busy := func(op api.Op) bool { return !sched.admits(op) }
		if report(manyMachines*3/4 - 1); busy(api.OpSubmit) || busy(api.OpPoll) || busy(api.OpCancel) {
			t.Error("users are turned away from a mailbox a quarter empty")
		}
		if report(2); !busy(api.OpSubmit) || busy(api.OpPoll) || busy(api.OpCancel) {
			t.Error("submissions don't leave room for questions and cancellations")
		}
		if report(manyMachines / 8); !busy(api.OpPoll) || !busy(api.OpCancel) {
			t.Error("users don't leave room for reports")
		}
		if a := sched.HandleUserRequest(ctx, api.Request{Op: api.OpPoll, ID: "000001"}); a.Code != api.CodeBusy || a.RetrySeconds < 1 || a.RetrySeconds > busySpread {
			t.Errorf("answered %+v", a)
		}
		if report(manyMachines/8 - 1); len(sched.mailbox) != manyMachines {
			t.Errorf("%d of %d reports wait", len(sched.mailbox), manyMachines)
		}
	})
}

// A worker that reports more unknown tasks than an answer holds orders for is told a part at a time.
func TestHeartbeatResponseLimitsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sched.addReadyMachine(1, "cpu", "a", false)
		r := &worker.Report{Machine: 1, Addr: "1", Type: "cpu", Zone: "a", Incarnation: 1, Seq: 5, Token: sched.term}
		for i := range 3 * maxCommands / 2 {
			r.Tasks = append(r.Tasks, worker.TaskReport{ID: worker.TaskID{Job: fmt.Sprintf("%06d", i), Task: 0}, Attempt: uint64(i), State: worker.Running})
		}
		if a := sched.handleHeartbeat(r); !a.Accepted || len(a.Commands) != maxCommands || slices.ContainsFunc(a.Commands, func(o worker.Command) bool { return o.Verb != worker.Stop }) {
			t.Errorf("%d orders", len(a.Commands))
		}
		r.Seq++
		r.Tasks = r.Tasks[maxCommands:]
		if a := sched.handleHeartbeat(r); len(a.Commands) != maxCommands/2 {
			t.Errorf("%d orders for the rest", len(a.Commands))
		}
	})
}

// A flood of submissions is refused beyond what is recorded in time, in turns, and what is known
// already is answered all the same.
func TestSubmissionFloodIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		submit := func(i int) (api.Response, bool) {
			reply := make(chan api.Response, 1)
			spec := clustertest.Array(fmt.Sprintf("%06d", i), 1)
			sched.handleUser(userMessage{req: api.Request{Op: api.OpSubmit, ID: spec.ID, Spec: spec}, reply: reply})
			select {
			case a := <-reply:
				return a, true
			default:
				return api.Response{}, false
			}
		}
		admitted, longest := 0, 0
		for i := range 20000 {
			a, refused := submit(i)
			switch {
			case !refused:
				admitted++
			case a.Code != api.CodeBusy || a.RetrySeconds < 1:
				t.Fatalf("answered %+v", a)
			default:
				longest = max(longest, a.RetrySeconds)
			}
		}
		if admitted == 0 || admitted > 10000 || longest < 10 {
			t.Errorf("%d of 20,000 admitted at once, the rest within %d s", admitted, longest)
		}
		sched.commitPending(nil)
		if a, told := submit(0); !told || a.Code != api.CodeOK {
			t.Errorf("a repeat is answered %+v", a)
		}
		if _, refused := submit(30000); refused {
			t.Error("refused with nothing waiting")
		}
	})
}

// A flood of other work doesn't hold up the start of an urgent task, nor a flood of acceptances.
func TestUrgentStartBypassesBulkRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.addReadyMachine(1, "cpu", "a", false)
		for i := range 5000 {
			j := sched.addAcceptedJob(clustertest.Array(fmt.Sprintf("%06d", i), 1))
			sched.markJob(j)
			sched.markPage(j, 0)
		}
		urgent := sched.addAcceptedJob(clustertest.Service("900000", 1))
		a := sched.Reserve(urgent, 0, m, time.Now())
		sched.startWhenDurable([]*cluster.Attempt{a})
		for range 2 {
			if _, ok := sched.queue.BeginCommit(sched.settings.CommitBytes(), func(key string, err error) { t.Error(key, err) }); ok {
				sched.handleCommitted(nil)
			}
		}
		if !a.Durable || a.Delivery != cluster.DeliveryInFlight {
			t.Error("an urgent task waits for what isn't")
		}
	})
}

// A cancellation doesn't wait behind a flood of acceptances, also where the job's record waits among them.
func TestCancellationBypassesBulkRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Array("900000", 1))
		for i := range 5000 {
			sched.markJob(sched.addAcceptedJob(clustertest.Array(fmt.Sprintf("%06d", i), 1)))
		}
		sched.markJob(j) // for something else, at the end of the lane
		reply := make(chan api.Response, 1)
		sched.handleUser(userMessage{req: api.Request{Op: api.OpCancel, ID: "900000"}, reply: reply})
		if _, ok := sched.queue.BeginCommit(sched.settings.CommitBytes(), func(key string, err error) { t.Error(key, err) }); !ok {
			t.Fatal("nothing to write")
		}
		sched.handleCommitted(nil)
		select {
		case a := <-reply:
			if a.State != api.StateCancelled {
				t.Errorf("answered %+v", a)
			}
		default:
			t.Error("the cancellation waits for the flood")
		}
	})
}
