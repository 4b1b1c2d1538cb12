package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// A worker that has the current leader's token rejects the start commands of earlier leaders. If a report under this
// token doesn't list an attempt of an earlier leader, the attempt doesn't run and can't start any more, so its
// reservation ends. Other checks guard against the same fault, so no scenario fails without this check.
func TestReportUnderCurrentTokenDisprovesEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := clustertest.Array("000001", 1)
		sched := newTestScheduler(t, clustertest.Settings())
		if err := sched.loadRecords([]storage.Record{
			newRecord(t, storage.JobKey("000001"), storage.JobRecord{Phase: storage.PhaseCancelled, Tasks: 1, Spec: &spec}),
			newRecord(t, storage.TaskPageKey("000001", 0), storage.TaskPageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 7, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		m := sched.state.Machines.Get(7)
		for i, token := range []uint64{sched.term - 1, sched.term - 1, sched.term} {
			if len(m.Attempts) != 1 {
				t.Fatalf("reservation ended before the report under token %d, want it kept until the report under token %d", token, sched.term)
			}
			sched.handleHeartbeat(cpuReport(7, uint64(i+1), token))
		}
		if len(m.Attempts) != 0 || *m.Reserved != (storage.Resources{}) {
			t.Errorf("got %d attempts with %+v reserved, want none", len(m.Attempts), *m.Reserved)
		}
	})
}

// For an attempt of an earlier leader, a new leader sends the start command again in a heartbeat response. Before
// this command arrives, the worker responds to the new leader's token announcement. This response can't list the
// attempt yet. An earlier version took the response as proof that the attempt would never run. It started the task
// on another machine, and the task ran twice.
func TestResponseBeforeReissuedStartDoesNotProveAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		m := sched.state.EnsureMachine(1, time.Now())
		m.Addr, m.Incarnation = "1", 1
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		a := &cluster.Attempt{Job: j, Task: 0, Number: 1, Machine: m, Incarnation: 1, Durable: true} // as loaded from the store
		sched.addAttempt(a)
		report := func(seq, token uint64) *worker.Report {
			return cpuReport(1, seq, token)
		}
		if got := sched.handleHeartbeat(report(1, sched.term-1)); len(got.Commands) != 1 || got.Commands[0].Verb != worker.Start {
			t.Fatalf("first heartbeat: got %+v, want one start command", got)
		}
		sched.handleCommandOutcome(commandOutcomeMessage{machine: 1, announcement: true, outcome: worker.Executed, report: report(2, sched.term)})
		if j.Attempts[0] != a {
			t.Errorf("attempt while its start is in flight: got %+v, want it unchanged", j.Attempts[0])
		}
		if got := sched.handleHeartbeat(report(3, sched.term)); len(got.Commands) != 1 {
			t.Errorf("next heartbeat: got %+v, want the start command again", got)
		}
	})
}
