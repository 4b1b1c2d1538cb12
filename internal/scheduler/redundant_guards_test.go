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

// A leader whose lease may have expired decides no request. withValidity holds its responses
// back too, so no scenario fails without this guard; here it is tested alone.
func TestNoRequestIsDecidedAfterLeaseExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		sched.addAcceptedJob(clustertest.Service("000001", 1))
		role := sched.role
		role.LeaseValidUntil = time.Now()
		sched.setRole(role)
		sched.discardPending()
		for op, id := range map[api.Op]string{api.OpSubmit: "000002", api.OpPoll: "000001", api.OpCancel: "000001"} {
			reply := make(chan api.Response, 1)
			sched.handleUser(userMessage{req: api.Request{Op: op, ID: id, Spec: clustertest.Service(id, 1)}, reply: reply})
			if got := <-reply; got.Code != api.CodeUnavailable || got.RetrySeconds == 0 {
				t.Errorf("request %v: got %+v, want code %v with a retry interval", op, got, api.CodeUnavailable)
			}
		}
		if n := sched.state.Jobs.Count(); n != 1 {
			t.Errorf("got %d jobs, want 1", n)
		}
		if n := sched.queue.Waiting(groupcommit.Interactive); n != 0 {
			t.Errorf("got %d records to write, want none", n)
		}
		if phase := sched.state.Jobs.Get("000001").Phase; phase != storage.Open {
			t.Errorf("got phase %v, want %v", phase, storage.Open)
		}
	})
}

// A start command of an earlier leader can't take effect any more at a worker that knows the
// current token: a report without the attempt proves that it doesn't run, and its reservation
// ends. Other guards stand before this one, so no scenario fails without it.
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
		for i, token := range []uint64{sched.term - 1, sched.term - 1, sched.term} {
			if len(m.Attempts) != 1 {
				t.Fatalf("reservation ended before the report under token %d, want it kept until token %d is known", token, sched.term)
			}
			sched.handleHeartbeat(&worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: uint64(i + 1), Token: token})
		}
		if len(m.Attempts) != 0 || *m.Reserved != (storage.Resources{}) {
			t.Errorf("got %d attempts with %+v reserved, want none", len(m.Attempts), *m.Reserved)
		}
	})
}
