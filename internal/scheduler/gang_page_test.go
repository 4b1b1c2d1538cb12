package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// What the page on gangs says, line by line, where the scenarios of gang_test.go don't
// show it: docs/design.md has the list.

// rivalGangs are two gangs of three tasks that run, each with two tasks that fill a
// machine and one elsewhere; the machine of the first one's third task is returned.
func rivalGangs(d *scheduler, now time.Time) (first, second *cluster.Job, elsewhere *cluster.Machine) {
	for m := 1; m <= 4; m++ {
		d.addReadyMachine(m, "cpu", "a", false)
	}
	enter := func(id string, try uint64, machines ...int) *cluster.Job {
		spec := gangSpec(id, 3)
		spec.Resources, spec.Priority = storage.Resources{CPUs: 4, MemoryGB: 8}, storage.Normal
		j := d.addAcceptedJob(spec)
		for i, m := range machines {
			d.addAttempt(&cluster.Attempt{Job: j, Task: i, Number: try, Machine: d.state.Machines.Get(m), Incarnation: 1, ThisTerm: true, Durable: true, Reported: true,
				State: worker.Running, ReservedAt: now, Started: now.Add(-time.Minute)})
		}
		j.Gang.Started = true
		return j
	}
	first, second = enter("000001", 8, 1, 1, 3), enter("000002", 9, 2, 2, 4)
	return first, second, d.state.Machines.Get(3)
}

func urgentService() storage.Spec {
	s := clustertest.Service("000009", 1)
	s.Resources = storage.Resources{CPUs: 8, MemoryGB: 8}
	return s
}

// stops counts a job's attempts that are to be stopped, and those that may save.
func stops(j *cluster.Job) (stopped, saving int) {
	for _, a := range j.Attempts {
		if a.Stopping {
			stopped++
			if a.GraceSeconds > 0 {
				saving++
			}
		}
	}
	return stopped, saving
}

// All tasks of a gang must be told to stop within gang_peer_s, or what it would have
// saved is lost: another victim is found where there is one.
func TestPreemptionSparesGangThatCannotSave(t *testing.T) {
	for _, c := range []struct {
		name    string
		trouble func(d *scheduler, m *cluster.Machine)
	}{
		{"its machine is silent", func(d *scheduler, m *cluster.Machine) {
			m.LastContact = m.LastContact.Add(-2 * d.settings.HeartbeatInterval)
		}},
		{"its machine leaves orders unanswered", func(_ *scheduler, m *cluster.Machine) { m.InFlight = maxInFlightCommands }},
		{"its machine reports and can't be reached", func(d *scheduler, m *cluster.Machine) { d.commandsFailing[m.ID] = true }},
		{"its machine doesn't do as it is told", func(_ *scheduler, m *cluster.Machine) { m.Unresponsive = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestScheduler(t, clustertest.Settings())
				first, second, elsewhere := rivalGangs(d, time.Now())
				c.trouble(d, elsewhere)
				d.addAcceptedJob(urgentService())
				d.placeRound(time.Now())
				if n, _ := stops(first); n != 0 {
					t.Errorf("%d tasks are stopped of the gang that can't save", n)
				}
				if n, saving := stops(second); n != 3 || saving != 3 {
					t.Errorf("%d tasks are stopped of the gang that can, %d with time to save", n, saving)
				}
			})
		})
	}
}

// Where none other is left the gang goes at once: waiting for a save that fails would
// only hold its room.
func TestGangThatCannotSaveIsStoppedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		first, second, elsewhere := rivalGangs(d, time.Now())
		elsewhere.InFlight = maxInFlightCommands
		d.state.Machines.Get(4).InFlight = maxInFlightCommands
		d.addAcceptedJob(urgentService())
		d.placeRound(time.Now())
		n1, saving1 := stops(first)
		n2, saving2 := stops(second)
		if n1+n2 != 3 || saving1+saving2 != 0 {
			t.Errorf("stopped %d and %d tasks, %d and %d with time to save", n1, n2, saving1, saving2)
		}
	})
}

// A gang that could not save all the same runs on when one of its machines is to be
// taken: it may reach another checkpoint.
func TestSpotNoticeStopsOnlyGangThatCanSave(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestScheduler(t, clustertest.Settings())
			first, _, elsewhere := rivalGangs(d, time.Now())
			first.Spec.EstimateS = 1000
			if !reachable {
				elsewhere.InFlight = maxInFlightCommands
			}
			m := d.state.Machines.Get(1)
			m.PreemptionAt = time.Now().Add(10 * time.Second)
			d.drain(m, "spot notice")
			if n, saving := stops(first); (n == 3 && saving == 3) != reachable || !reachable && n != 0 {
				t.Errorf("reachable %v: %d tasks are stopped, %d with time to save", reachable, n, saving)
			}
		})
	}
}

// `alone` and `peers` are the gang's failure: its machine isn't left alone for them.
func TestGangFailureIsNotMachineFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		one, two := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 2), worker.Gathering, one, two)
		d.applyTaskReport(one, &worker.Report{Incarnation: 1}, worker.TaskReport{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 9, State: worker.Exited, Cause: worker.CausePeers}, time.Now())
		if one.Failures.Suspected() || !one.QuarantinedUntil.IsZero() || len(j.Failures.Machines()) != 0 {
			t.Errorf("failures of the machine %+v, of the job %+v", one.Failures, j.Failures)
		}
		if a := j.Attempts[1]; a == nil || !a.Stopping {
			t.Error("the rest of an attempt that can't be completed goes on")
		}
	})
}

// A replacement joins the zone that the others hold, and a new attempt too stays out
// of other zones until the earlier one is gone everywhere.
func TestGangStaysInZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		full, other := d.addReadyMachine(1, "cpu", "a", false), d.addReadyMachine(2, "cpu", "b", false)
		spec := gangSpec("000001", 2)
		spec.Resources.CPUs = 4
		j := d.gangOn(spec, worker.Gathering, full, full)
		d.removeAttempt(j.Attempts[0], "its machine is gone")
		blocker := clustertest.Service("000002", 1)
		blocker.Resources.CPUs = 4
		d.Reserve(d.addAcceptedJob(blocker), 0, full, time.Now())
		d.placeRound(time.Now())
		if a := j.Attempts[0]; a != nil {
			t.Errorf("replaced on machine %d of another zone", a.Machine.ID)
		}
		d.removeAttempt(j.Attempts[1], "ended")
		d.placeRound(time.Now())
		if len(j.Attempts) != 2 || j.Attempts[0].Machine != other {
			t.Errorf("begun anew with %d tasks", len(j.Attempts))
		}
	})
}

// Users are told tasks as running until they exit, also those of a gang that is
// being stopped or has lost a task.
func TestStoppingGangTasksCountAsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 3), worker.Running, m, m, m)
		d.stopGang(j)
		if a := responseOf(j); a.Running != 3 || a.State != api.StateRunning {
			t.Errorf("told %+v", a)
		}
		d.removeAttempt(j.Attempts[0], "ended")
		if a := responseOf(j); a.Running != 2 || a.State != api.StateRunning {
			t.Errorf("told %+v", a)
		}
	})
}

// For arrays and services the number only tells one start from another: none is used
// twice.
func TestAttemptNumbersAreUnique(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for i := range 4 {
			d.addReadyMachine(i, "cpu", "a", false)
		}
		array, replicas := d.addAcceptedJob(clustertest.Array("000001", 4)), d.addAcceptedJob(clustertest.Service("000002", 3))
		used := make(map[uint64]worker.TaskID)
		for range 3 {
			d.placeRound(time.Now())
			for _, j := range []*cluster.Job{array, replicas} {
				for _, a := range j.GangAttempts() {
					if id, taken := used[a.Number]; taken {
						t.Errorf("%v starts under the number of %v", a.ID(), id)
					}
					used[a.Number] = a.ID()
					d.removeAttempt(a, "lost")
				}
			}
		}
		if len(used) != 3*7 {
			t.Errorf("%d starts", len(used))
		}
	})
}

// A repeat of the submission or of the cancel of a gang that is over is told how it
// ended.
func TestRepeatedRequestAfterGangIsDone(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.submit(gangSpec("000001", 2))
		sim.awaitDone("000001")
		for _, op := range []api.Op{api.OpSubmit, api.OpCancel, api.OpPoll} {
			if a := sim.request(op, "000001", gangSpec("000001", 2)); a.Code != api.CodeOK || a.State != api.StateDone || a.Done != 2 {
				t.Errorf("request %d is answered %+v", op, a)
			}
		}
	})
}

// A report of states that a gang can't be in changes nothing: tasks that the job
// doesn't have, a gang that waits again after it ran, an end of an attempt that isn't
// the present one.
func TestImpossibleGangReportsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		m := d.addReadyMachine(1, "cpu", "a", false)
		j := d.gangOn(gangSpec("000001", 2), worker.Running, m, m)
		for _, r := range []worker.TaskReport{
			{ID: worker.TaskID{Job: "000001", Task: 7}, Attempt: 9, State: worker.Exited, Cause: worker.CauseDone},
			{ID: worker.TaskID{Job: "000001", Task: 0}, Attempt: 3, State: worker.Exited, Cause: worker.CausePeers},
			{ID: worker.TaskID{Job: "000001", Task: 1}, Attempt: 9, State: worker.Gathering},
			{ID: worker.TaskID{Job: "999999", Task: 0}, Attempt: 9, State: worker.Running},
		} {
			d.applyTaskReport(m, &worker.Report{Incarnation: 1}, r, time.Now())
		}
		if n, _ := stops(j); j.Done != 0 || len(j.Attempts) != 2 || n != 0 || !j.Gang.Started || j.Gang.Failed {
			t.Errorf("%d done, %d attempts, %d stopped, %+v", j.Done, len(j.Attempts), n, j.Gang)
		}
	})
}
