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

// largeFleetSize is the number of machines in a large fleet. No fixed limit may be too low for this size.
const largeFleetSize = 6000

// All workers may send heartbeats at the same time. As the scheduler's mailbox fills up, submissions are rejected first,
// then polls and cancellations, and heartbeats last.
func TestMailboxReservesCapacityForHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Sockets = largeFleetSize
		sched := newTestScheduler(t, settings) // not started, so messages stay in its mailbox
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		report := func(n int) {
			for range n {
				go sched.HandleHeartbeats(ctx, nil)
			}
			synctest.Wait()
		}
		busy := func(op api.Op) bool { return !sched.acceptsRequest(op) }
		if report(largeFleetSize*3/4 - 1); busy(api.OpSubmit) || busy(api.OpPoll) || busy(api.OpCancel) {
			t.Error("a request is rejected while a quarter of the mailbox is free")
		}
		if report(2); !busy(api.OpSubmit) || busy(api.OpPoll) || busy(api.OpCancel) {
			t.Error("beyond three quarters: want submissions rejected, polls and cancellations admitted")
		}
		if report(largeFleetSize / 8); !busy(api.OpPoll) || !busy(api.OpCancel) {
			t.Error("beyond seven eighths: want polls and cancellations rejected")
		}
		got := sched.HandleUserRequest(ctx, api.Request{Op: api.OpPoll, ID: "000001"})
		if got.Code != api.CodeBusy || got.RetrySeconds < 1 || got.RetrySeconds > maxBusyRetrySeconds {
			t.Errorf("poll: got %+v, want code %v with a retry interval of 1 to %d s", got, api.CodeBusy, maxBusyRetrySeconds)
		}
		if report(largeFleetSize/8 - 1); len(sched.mailbox) != largeFleetSize {
			t.Errorf("got %d waiting heartbeats, want %d", len(sched.mailbox), largeFleetSize)
		}
	})
}

// If a worker reports more unknown tasks than fit into one response, their stop commands are spread over several responses.
func TestHeartbeatResponseLimitsCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sched.addReadyMachine(1, "cpu", "a", false)
		report := cpuReport(1, 5, sched.term)
		for i := range 3 * maxCommands / 2 {
			id := worker.TaskID{Job: fmt.Sprintf("%06d", i), Task: 0}
			report.Tasks = append(report.Tasks, worker.TaskReport{ID: id, Attempt: uint64(i), State: worker.Running})
		}
		notStop := func(c worker.Command) bool { return c.Verb != worker.Stop }
		if got := sched.handleHeartbeat(report); !got.Accepted || len(got.Commands) != maxCommands || slices.ContainsFunc(got.Commands, notStop) {
			t.Errorf("first response: got accepted %v with %d commands, want %d stop commands", got.Accepted, len(got.Commands), maxCommands)
		}
		report.Seq++
		report.Tasks = report.Tasks[maxCommands:]
		if got := sched.handleHeartbeat(report); len(got.Commands) != maxCommands/2 {
			t.Errorf("second response: got %d commands, want %d", len(got.Commands), maxCommands/2)
		}
	})
}

// Submissions are rejected with increasing retry intervals if they can't be committed in time. A repeated submission of an
// accepted job is still answered.
func TestSubmissionFloodIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		submit := func(i int) (api.Response, bool) {
			return sched.requestWithoutCommit(api.OpSubmit, clustertest.Array(fmt.Sprintf("%06d", i), 1))
		}
		admitted, longest := 0, 0
		for i := range 20000 {
			got, rejected := submit(i)
			switch {
			case !rejected:
				admitted++
			case got.Code != api.CodeBusy || got.RetrySeconds < 1:
				t.Fatalf("submission %d: got %+v, want it admitted or code %v with a retry interval", i, got, api.CodeBusy)
			default:
				longest = max(longest, got.RetrySeconds)
			}
		}
		if admitted == 0 || admitted > 10000 || longest < 10 {
			t.Errorf("got %d of 20,000 submissions admitted and retry intervals up to %d s, want 1 to 10,000 and at least 10 s", admitted, longest)
		}
		sched.commitPending(nil)
		if got, responded := submit(0); !responded || got.Code != api.CodeOK {
			t.Errorf("repeated submission: got %+v, want code %v", got, api.CodeOK)
		}
		if got, rejected := submit(30000); rejected {
			t.Errorf("submission after the commit: got %+v, want it admitted", got)
		}
	})
}

// failOnRecordError returns a callback that fails the test if a record can't be encoded.
func failOnRecordError(t *testing.T) func(key string, err error) {
	t.Helper()
	return func(key string, err error) { t.Errorf("record %s: %v", key, err) }
}

// An urgent task starts although many records of other jobs still wait to be committed.
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
			if _, ok := sched.queue.BeginCommit(sched.settings.CommitBytes(), failOnRecordError(t)); ok {
				sched.handleCommitted(nil)
			}
		}
		if !a.Durable || a.Delivery != cluster.DeliveryInFlight {
			t.Errorf("urgent attempt after two commits: got durable %v, delivery %v, want it in flight", a.Durable, a.Delivery)
		}
	})
}

// A cancellation is committed before the waiting records of many accepted jobs. This holds even if the record of the cancelled
// job is already queued behind the other records.
func TestCancellationBypassesBulkRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Array("900000", 1))
		for i := range 5000 {
			sched.markJob(sched.addAcceptedJob(clustertest.Array(fmt.Sprintf("%06d", i), 1)))
		}
		sched.markJob(j) // queues the job's record behind the other jobs' records
		reply := make(chan api.Response, 1)
		sched.handleUser(userMessage{req: api.Request{Op: api.OpCancel, ID: "900000"}, reply: reply})
		if _, ok := sched.queue.BeginCommit(sched.settings.CommitBytes(), failOnRecordError(t)); !ok {
			t.Fatal("no record is queued to be written")
		}
		sched.handleCommitted(nil)
		select {
		case got := <-reply:
			if got.State != api.StateCancelled {
				t.Errorf("cancellation: got %+v, want state %v", got, api.StateCancelled)
			}
		default:
			t.Error("the cancellation has no response after one commit")
		}
	})
}
