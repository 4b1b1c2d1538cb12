package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// Opportunistic jobs, which are best-effort jobs without a deadline, share the capacity evenly. A job
// with a deadline is placed before them. An earlier version gave all capacity to the first of several
// large jobs, and the last job started minutes later.
func TestOpportunisticJobsShareEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		var jobs []*cluster.Job
		for i := range 4 {
			jobs = append(jobs, sched.addAcceptedJob(clustertest.Opportunistic(fmt.Sprintf("00000%d", i), 1000)))
			time.Sleep(time.Second)
		}
		spec := clustertest.Array("000009", 1)
		spec.Priority, spec.Spot, spec.DeadlineS = storage.PriorityBestEffort, true, 600
		withDeadline := sched.addAcceptedJob(spec)
		for batch := range 4 {
			for i := range 20 {
				sched.addReadyMachine(batch*20+i+1, "cpu", "a", true)
			}
			for range 4 {
				sched.placeRound(time.Now())
			}
		}
		if n := withDeadline.AllocatedTasks(); n != 1 {
			t.Errorf("job with a deadline: got %d allocated tasks, want 1", n)
		}
		for _, j := range jobs {
			if n := j.AllocatedTasks(); n < 30 || n > 60 {
				t.Errorf("job %s: got %d of about 160 allocated tasks, want 30 to 60", j.Spec.ID, n)
			}
		}
	})
}

// Work within its team's guarantee preempts opportunistic work of the same priority; work beyond
// the guarantee doesn't.
func TestGuaranteedWorkPreemptsOpportunisticWork(t *testing.T) {
	for name, c := range map[string]struct {
		guaranteedCPUs float64
		wantStopped    int
	}{
		"within the guarantee": {guaranteedCPUs: 100, wantStopped: 1},
		"beyond the guarantee": {guaranteedCPUs: 1, wantStopped: 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				settings := clustertest.Settings()
				settings.Teams = append(settings.Teams, config.Team{Name: "guaranteed", Guarantee: storage.Resources{CPUs: c.guaranteedCPUs, MemoryGB: 100}})
				sched := newTestScheduler(t, settings)
				m := sched.addReadyMachine(1, "cpu", "a", true)
				opportunistic := sched.addAcceptedJob(clustertest.Opportunistic("000001", 2))
				for i := range 2 {
					sched.addAttempt(&cluster.Attempt{
						Job: opportunistic, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1,
						ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now(),
					})
				}
				spec := clustertest.Opportunistic("000002", 1)
				spec.Team, spec.DeadlineS = "guaranteed", 600
				sched.addAcceptedJob(spec)
				sched.placeRound(time.Now())
				stopped := 0
				for _, a := range opportunistic.Attempts {
					if a.Stopping {
						stopped++
					}
				}
				if stopped != c.wantStopped {
					t.Errorf("got %d opportunistic tasks stopped, want %d", stopped, c.wantStopped)
				}
			})
		})
	}
}
