package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/groupcommit"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Guards that stand behind another one, each alone: the scenarios don't fail where
// either is taken out.

// Nothing is decided by a node whose lead may have ended, whoever passes its answers
// on.
func TestNoRequestIsDecidedAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sched.addAcceptedJob(clustertest.Service("000001", 1))
		r := sched.role
		r.LeaseValidUntil = time.Now()
		sched.setRole(r)
		sched.discardPending()
		for op, id := range map[api.Op]string{api.OpSubmit: "000002", api.OpPoll: "000001", api.OpCancel: "000001"} {
			reply := make(chan api.Response, 1)
			sched.handleUser(userMessage{req: api.Request{Op: op, ID: id, Spec: clustertest.Service(id, 1)}, reply: reply})
			if a := <-reply; a.Code != api.CodeUnavailable || a.RetrySeconds == 0 {
				t.Errorf("request %d is answered %+v", op, a)
			}
		}
		if sched.state.Jobs.Count() != 1 || sched.queue.Waiting(groupcommit.Interactive) != 0 || sched.state.Jobs.Get("000001").Phase != storage.Open {
			t.Errorf("%d jobs, %d records to write", sched.state.Jobs.Count(), sched.queue.Waiting(groupcommit.Interactive))
		}
	})
}

// What an earlier leader started can't come any more where our token is known: a
// report without it proves its place empty, and a cancelled job lets go of it.
func TestReportUnderCurrentTokenDisprovesEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := clustertest.Array("000001", 1)
		sched := newTestScheduler(t, clustertest.Settings())
		if err := sched.load([]storage.Record{
			newRecord(t, storage.JobKey("000001"), storage.JobRecord{Phase: storage.Cancelled, Tasks: 1, Spec: &spec}),
			newRecord(t, storage.PageKey("000001", 0), storage.PageRecord{Attempts: []storage.AttemptRecord{{Task: 0, Number: 5, Machine: 7, Incarnation: 1}}}),
		}); err != nil {
			t.Fatal(err)
		}
		m := sched.state.Machines.Get(7)
		for seq, token := range []uint64{sched.term - 1, sched.term - 1, sched.term} {
			if len(m.Attempts) != 1 {
				t.Fatalf("freed by a report under token %d", token)
			}
			sched.handleHeartbeat(&worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: uint64(seq + 1), Token: token})
		}
		if len(m.Attempts) != 0 || *m.Reserved != (storage.Resources{}) {
			t.Errorf("%d attempts and %+v are still booked", len(m.Attempts), *m.Reserved)
		}
	})
}
