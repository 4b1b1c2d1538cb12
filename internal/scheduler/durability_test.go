package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/groupcommit"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// A machine whose reports don't come through loses its lease, however well
// direct commands reach it.
func TestDirectResponsesDoNotMakeMachineReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		sched := newTestScheduler(t, s)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		answer := func() {
			sched.applyReport(m, &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, false, time.Now())
		}
		for range 2 * config.FreshIntervals {
			time.Sleep(s.HeartbeatInterval)
			answer()
		}
		if m.Ready(time.Now(), s.ReportFreshness()) {
			t.Error("ready without a report")
		}
		sched.addReadyMachine(7, "cpu", "a", false)
		if !m.Ready(time.Now(), s.ReportFreshness()) {
			t.Error("not ready after a report")
		}
	})
}

// Between a cancel and its commit no start may leave: it would come after the
// user was told.
func TestNoStartIsSentDuringCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Service("000001", 1))
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(j, 0, m, time.Now())
		j.Phase = storage.Cancelled
		sched.startReserved([]*cluster.Attempt{a})
		if a.Delivery != cluster.DeliveryNone {
			t.Error("started directly")
		}
		a.Durable = true
		for _, o := range sched.commandsFor(m, &worker.Report{Machine: 7, Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, time.Now()) {
			if o.Verb == worker.Start {
				t.Error("started with the answer to a report")
			}
		}
	})
}

// What a successor finds when a leader ended between the commits of a job's last
// page and of the job itself.
func TestLoadCompletesJobWhoseTasksAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := clustertest.Array("000001", 3)
		records := []storage.Record{newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
			newRecord(t, storage.PageKey("000001", 0), storage.PageRecord{Done: []int{0, 2}})}
		sched := newTestScheduler(t, clustertest.Settings())
		if err := sched.load(records); err != nil {
			t.Fatal(err)
		}
		if j := sched.state.Jobs.Get("000001"); j.Phase != storage.Done || sched.queue.Waiting(groupcommit.Interactive) == 0 {
			t.Errorf("phase %v", j.Phase)
		}
	})
}

func newRecord(t *testing.T, key string, data any) storage.Record {
	t.Helper()
	r, err := storage.NewRecord(key, data)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The journal asks again what stays unanswered, and settles it once.
func TestJournalRetriesUnansweredCommit(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		time.Sleep(5 * time.Second)
		n := 0
		sim.state.Update(func(s *storagetest.Service) {
			s.Delay = func() time.Duration {
				if n++; n == 1 {
					return time.Hour // never, as far as the scenario goes
				}
				return 0
			}
		})
		began := time.Now()
		sim.submit(clustertest.Service("000001", 1))
		took := time.Since(began)
		sim.state.Update(func(s *storagetest.Service) {
			if took > 2*time.Second || n < 2 {
				t.Errorf("accepted after %v, with %d transactions", took, n)
			}
		})
	})
}

// Neither a start nor a forget may come before what it rests on is durable: a
// successor would start the task a second time, or miss that it is done.
func TestCommandsWaitForDurableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(j, 0, m, time.Now())
		orders := func() []worker.Command {
			return sched.commandsFor(m, &worker.Report{Machine: 7, Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, time.Now())
		}
		if o := orders(); len(o) != 0 {
			t.Errorf("ordered %+v before the booking is durable", o)
		}
		a.Durable = true
		sched.discardPending()
		if o := orders(); len(o) != 1 || o[0].Verb != worker.Start {
			t.Errorf("ordered %+v", o)
		}
		sched.applyReport(m, &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: sched.term,
			Tasks: []worker.TaskReport{{ID: a.ID(), Attempt: a.Number, State: worker.Exited, Cause: worker.CauseDone}}}, true, time.Now())
		if o := orders(); len(o) != 0 {
			t.Errorf("ordered %+v before the end is durable", o)
		}
		sched.discardPending()
		if o := orders(); len(o) != 1 || o[0].Verb != worker.Forget {
			t.Errorf("ordered %+v", o)
		}
	})
}

// Nothing is told before it is durable: a successor would not know of it.
func TestResponsesWaitForDurableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		tell := func(op api.Op, spec storage.Spec) (api.Response, bool) {
			reply := make(chan api.Response, 1)
			sched.handleUser(userMessage{req: api.Request{Op: op, ID: spec.ID, Spec: spec}, reply: reply})
			select {
			case a := <-reply:
				return a, true
			default:
				return api.Response{}, false
			}
		}
		commit := func(err error) {
			sched.commitPending(err)
		}
		a, b := clustertest.Array("000001", 1), clustertest.Array("000002", 1)
		if got, told := tell(api.OpSubmit, a); told {
			t.Errorf("accepted before it is durable: %+v", got)
		}
		if got, _ := tell(api.OpPoll, a); got.Code != api.CodeUnavailable {
			t.Errorf("told before it is durable: %+v", got)
		}
		tell(api.OpSubmit, b)
		commit(nil)
		if got, _ := tell(api.OpPoll, a); got.Code != api.CodeOK {
			t.Errorf("not told: %+v", got)
		}
		if got, told := tell(api.OpCancel, a); told {
			t.Errorf("cancelled before it is durable: %+v", got)
		}
		if got, _ := tell(api.OpPoll, a); got.Final() {
			t.Errorf("cancelled before it is durable: %+v", got)
		}
		j := sched.state.Jobs.Get(b.ID)
		j.SetTask(0, cluster.TaskDone)
		sched.finish(j)
		if got, _ := tell(api.OpPoll, b); got.Final() {
			t.Errorf("done before it is durable: %+v", got)
		}
		commit(nil)
		for _, spec := range []storage.Spec{a, b} {
			if got, _ := tell(api.OpPoll, spec); !got.Final() {
				t.Errorf("not told: %+v", got)
			}
		}
		// A cancel of a done job tells that it is done; a repeat, what it is.
		if got, _ := tell(api.OpCancel, b); got.Code != api.CodeOK || got.State != api.StateDone {
			t.Errorf("a done job's cancel is answered %+v", got)
		}
		if got, _ := tell(api.OpSubmit, a); got.Code != api.CodeOK || got.State != api.StateCancelled {
			t.Errorf("a cancelled job's repeat is answered %+v", got)
		}
	})
}

// Work must not wait long beside a machine's room, whatever it did in trouble.
func TestQuarantineIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		sched := newTestScheduler(t, s)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		for i := range 12 {
			sched.failed(sched.addAcceptedJob(clustertest.Array(fmt.Sprintf("%06d", i+1), 1)), m, time.Now(), time.Now())
			sched.incarnationEnded(m, &worker.Report{Machine: 7, Incarnation: uint64(i + 2)}, time.Now())
			if pause := time.Until(m.QuarantinedUntil); pause > 2*s.WorkerLease {
				t.Fatalf("left alone for %v", pause)
			}
		}
	})
}

// A start leaves only once its record is durable: a successor would not know where
// the task is.
func TestStartWaitsForDurableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		jobs := []*cluster.Job{sched.addAcceptedJob(clustertest.Service("000001", 1)), sched.addAcceptedJob(gangSpec("000002", 2))}
		sched.addReadyMachine(7, "cpu", "a", false)
		sched.placeRound(time.Now())
		left := func() (n int) {
			for _, j := range jobs {
				for _, a := range j.Attempts {
					if a.Delivery != cluster.DeliveryNone {
						n++
					}
				}
			}
			return n
		}
		if left() != 0 || len(jobs[0].Attempts) != 1 || len(jobs[1].Attempts) != 2 {
			t.Errorf("%d starts left before their records", left())
		}
		sched.commitPending(nil)
		if left() != 3 {
			t.Errorf("%d of 3 starts left after their records", left())
		}
	})
}
