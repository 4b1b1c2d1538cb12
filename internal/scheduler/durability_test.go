package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/groupcommit"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// Between the cancellation of a job and the commit of this change, no start command is sent for the job's tasks.
// Such a command could arrive after the user got the response that the job is cancelled.
func TestNoStartIsSentDuringCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Service("000001", 1))
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(j, 0, m, time.Now())
		j.Phase = storage.PhaseCancelled
		sched.startReserved([]*cluster.Attempt{a})
		if a.Delivery != cluster.DeliveryNone {
			t.Errorf("direct start of a cancelled job: got delivery %v, want none", a.Delivery)
		}
		a.Durable = true
		for _, command := range sched.commandsFor(m, &worker.Report{Machine: 7, Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, time.Now()) {
			if command.Verb == worker.Start {
				t.Errorf("heartbeat response for a cancelled job: got %+v, want no start", command)
			}
		}
	})
}

// A leader may fail after it has committed that a job's last task is done, and before it commits that the job is
// done. The next leader then loads an open job whose tasks are all done, and must complete the job.
func TestLoadCompletesJobWhoseTasksAreDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spec := clustertest.Array("000001", 3)
		records := []storage.Record{
			newRecord(t, storage.JobKey("000001"), storage.JobRecord{Tasks: 3, Spec: &spec}),
			newRecord(t, storage.TaskPageKey("000001", 0), storage.TaskPageRecord{Done: []int{0, 2}}),
		}
		sched := newTestScheduler(t, clustertest.Settings())
		if err := sched.loadRecords(records); err != nil {
			t.Fatal(err)
		}
		if j := sched.state.Jobs.Get("000001"); j.Phase != storage.PhaseDone {
			t.Errorf("got phase %v, want %v", j.Phase, storage.PhaseDone)
		}
		if sched.queue.Waiting(groupcommit.Interactive) == 0 {
			t.Error("the new phase isn't queued to be written")
		}
	})
}

// newRecord returns a record with the given key and data.
func newRecord(t *testing.T, key string, data any) storage.Record {
	t.Helper()
	record, err := storage.NewRecord(key, data)
	if err != nil {
		t.Fatalf("record %s: %v", key, err)
	}
	return record
}

// The journal retries a commit whose response doesn't arrive. The commit takes effect once.
func TestJournalRetriesUnansweredCommit(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitLeader()
		time.Sleep(5 * time.Second)
		transactions := 0
		sim.store.Update(func(s *storagetest.Service) {
			s.Delay = func() time.Duration {
				if transactions++; transactions == 1 {
					return time.Hour // beyond the end of the scenario
				}
				return 0
			}
		})
		start := time.Now()
		sim.submit(clustertest.Service("000001", 1))
		duration := time.Since(start)
		sim.store.Update(func(*storagetest.Service) {
			if duration > 2*time.Second || transactions < 2 {
				t.Errorf("accepted after %v with %d transactions, want at most 2s and at least 2", duration, transactions)
			}
		})
	})
}

// A start command is sent only after the reservation of the machine is durable. Otherwise the next leader would
// start the task a second time. A forget command is sent only after the end of the task is durable. Otherwise the
// next leader would load the task as not done.
func TestCommandsWaitForDurableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		j := sched.addAcceptedJob(clustertest.Array("000001", 1))
		m := sched.addReadyMachine(7, "cpu", "a", false)
		a := sched.Reserve(j, 0, m, time.Now())
		commands := func() []worker.Command {
			return sched.commandsFor(m, &worker.Report{Machine: 7, Incarnation: 1, Seq: m.Seq + 1, Token: sched.term}, time.Now())
		}
		if got := commands(); len(got) != 0 {
			t.Errorf("before the reservation is durable: got commands %+v, want none", got)
		}
		a.Durable = true
		sched.discardPending()
		if got := commands(); len(got) != 1 || got[0].Verb != worker.Start {
			t.Errorf("after the reservation is durable: got commands %+v, want one start", got)
		}
		sched.applyReport(m, &worker.Report{Machine: 7, Addr: "7", Type: "cpu", Zone: "a", Incarnation: 1, Seq: m.Seq + 1, Token: sched.term,
			Tasks: []worker.TaskReport{{ID: a.ID(), Attempt: a.Number, State: worker.Exited, Cause: worker.CauseDone}}}, true, time.Now())
		if got := commands(); len(got) != 0 {
			t.Errorf("before the task's end is durable: got commands %+v, want none", got)
		}
		sched.discardPending()
		if got := commands(); len(got) != 1 || got[0].Verb != worker.Forget {
			t.Errorf("after the task's end is durable: got commands %+v, want one forget", got)
		}
	})
}

// requestWithoutCommit handles a user's request. It returns the response if the scheduler responds without waiting
// for a commit.
func (s *scheduler) requestWithoutCommit(op api.Op, spec storage.Spec) (response api.Response, responded bool) {
	reply := make(chan api.Response, 1)
	s.handleUser(userMessage{req: api.Request{Op: op, ID: spec.ID, Spec: spec}, reply: reply})
	select {
	case response = <-reply:
		return response, true
	default:
		return api.Response{}, false
	}
}

// A response reports a job's state only after this state is durable. Otherwise the next leader could report the
// state before it.
func TestResponsesWaitForDurableRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		request := sched.requestWithoutCommit
		cancelledSpec, doneSpec := clustertest.Array("000001", 1), clustertest.Array("000002", 1)
		if got, responded := request(api.OpSubmit, cancelledSpec); responded {
			t.Errorf("submission before the commit: got %+v, want no response", got)
		}
		if got, _ := request(api.OpPoll, cancelledSpec); got.Code != api.CodeUnavailable {
			t.Errorf("poll before the submission's commit: got %+v, want code %v", got, api.CodeUnavailable)
		}
		request(api.OpSubmit, doneSpec)
		sched.commitPending(nil)
		if got, _ := request(api.OpPoll, cancelledSpec); got.Code != api.CodeOK {
			t.Errorf("poll after the submission's commit: got %+v, want code %v", got, api.CodeOK)
		}
		if got, responded := request(api.OpCancel, cancelledSpec); responded {
			t.Errorf("cancellation before the commit: got %+v, want no response", got)
		}
		if got, _ := request(api.OpPoll, cancelledSpec); got.Final() {
			t.Errorf("poll before the cancellation's commit: got %+v, want an open state", got)
		}
		j := sched.state.Jobs.Get(doneSpec.ID)
		j.SetTask(0, cluster.TaskDone)
		sched.finishIfDone(j)
		if got, _ := request(api.OpPoll, doneSpec); got.Final() {
			t.Errorf("poll before the completion's commit: got %+v, want an open state", got)
		}
		sched.commitPending(nil)
		for _, spec := range []storage.Spec{cancelledSpec, doneSpec} {
			if got, _ := request(api.OpPoll, spec); !got.Final() {
				t.Errorf("poll after the commit: got %+v, want a final state", got)
			}
		}
		// The response to any request for a finished job contains the job's final state.
		if got, _ := request(api.OpCancel, doneSpec); got.Code != api.CodeOK || got.State != api.StateDone {
			t.Errorf("cancellation of a done job: got %+v, want state %v", got, api.StateDone)
		}
		if got, _ := request(api.OpSubmit, cancelledSpec); got.Code != api.CodeOK || got.State != api.StateCancelled {
			t.Errorf("repeated submission of a cancelled job: got %+v, want state %v", got, api.StateCancelled)
		}
	})
}

// A start command is sent only once the attempt's record is durable. Without this record the next leader could not
// find out which machine runs the task.
func TestStartWaitsForDurableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		jobs := []*cluster.Job{sched.addAcceptedJob(clustertest.Service("000001", 1)), sched.addAcceptedJob(gangSpec("000002", 2))}
		sched.addReadyMachine(7, "cpu", "a", false)
		sched.placeRound(time.Now())
		sent := func() (n int) {
			for _, j := range jobs {
				for _, a := range j.Attempts {
					if a.Delivery != cluster.DeliveryNone {
						n++
					}
				}
			}
			return n
		}
		if n := sent(); n != 0 {
			t.Errorf("before the commit: got %d starts sent, want none", n)
		}
		if a, b := len(jobs[0].Attempts), len(jobs[1].Attempts); a != 1 || b != 2 {
			t.Errorf("got %d and %d attempts, want 1 and 2", a, b)
		}
		sched.commitPending(nil)
		if n := sent(); n != 3 {
			t.Errorf("after the commit: got %d starts sent, want 3", n)
		}
	})
}
