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

// The first of several large jobs took all room, and the last began after minutes.
func TestOpportunisticJobsShareEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sched := newTestScheduler(t, clustertest.Settings())
		var jobs []*cluster.Job
		for i := range 4 {
			jobs = append(jobs, sched.addAcceptedJob(clustertest.Opportunistic(fmt.Sprintf("00000%d", i), 1000)))
			time.Sleep(time.Second)
		}
		late := clustertest.Array("000009", 1)
		late.Priority, late.Spot, late.DeadlineS = storage.BestEffort, true, 600
		hurried := sched.addAcceptedJob(late)
		for batch := range 4 {
			for i := range 20 {
				sched.addReadyMachine(batch*20+i+1, "cpu", "a", true)
			}
			for range 4 {
				sched.placeRound(time.Now())
			}
		}
		if hurried.Allocated() != 1 {
			t.Error("a job with a deadline waits behind opportunistic work")
		}
		for _, j := range jobs {
			if n := j.Allocated(); n < 30 || n > 60 {
				t.Errorf("job %s has %d of some 160 places", j.Spec.ID, n)
			}
		}
	})
}

// Who may stop opportunistic work of its own priority: what its team is guaranteed.
func TestGuaranteedWorkPreemptsOpportunisticWork(t *testing.T) {
	for name, guarantee := range map[string]float64{"guaranteed": 100, "beyond the guarantee": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := clustertest.Settings()
				s.Teams = append(s.Teams, config.Team{Name: "home", Guarantee: storage.Resources{CPUs: guarantee, MemoryGB: 100}})
				sched := newTestScheduler(t, s)
				m := sched.addReadyMachine(1, "cpu", "a", true)
				idle := sched.addAcceptedJob(clustertest.Opportunistic("000001", 2))
				for i := range 2 {
					sched.addAttempt(&cluster.Attempt{Job: idle, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
				}
				spec := clustertest.Opportunistic("000002", 1)
				spec.Team, spec.DeadlineS = "home", 600
				sched.addAcceptedJob(spec)
				sched.placeRound(time.Now())
				stopped := 0
				for _, a := range idle.Attempts {
					if a.Stopping {
						stopped++
					}
				}
				want := 0
				if name == "guaranteed" {
					want = 1
				}
				if stopped != want {
					t.Errorf("%d idle tasks are stopped, not %d", stopped, want)
				}
			})
		})
	}
}
