package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/worker"
)

// idleJob is opportunistic work; a task takes half of a machine of the type cpu.
func idleJob(id string, tasks int) storage.Spec {
	s := arrayJob(id, tasks)
	s.Class, s.Priority, s.Spot, s.Resources.CPUs = "idle", storage.BestEffort, true, 4
	return s
}

func TestWhatIsOpportunistic(t *testing.T) {
	s := grownSettings()
	s.Teams = append(s.Teams, config.Team{Name: "guaranteed", Guarantee: storage.Resources{CPUs: 1}})
	s.Objectives = []config.Objective{{Kind: "finished", Class: "promised"}}
	for name, c := range map[string]struct {
		change func(*storage.Spec)
		want   bool
	}{
		"idle work":           {func(*storage.Spec) {}, true},
		"a priority":          {func(j *storage.Spec) { j.Priority = storage.Normal }, false},
		"a deadline":          {func(j *storage.Spec) { j.DeadlineS = 60 }, false},
		"a service":           {func(j *storage.Spec) { j.Service = true }, false},
		"a gang":              {func(j *storage.Spec) { j.Gang = true }, false},
		"a guarantee":         {func(j *storage.Spec) { j.Team = "guaranteed" }, false},
		"a stated aim":        {func(j *storage.Spec) { j.Class = "promised" }, false},
		"another class's aim": {func(j *storage.Spec) { j.Class = "other" }, true},
	} {
		spec := idleJob("000001", 1)
		c.change(&spec)
		if got := s.IsOpportunistic(&spec); got != c.want {
			t.Errorf("%s: opportunistic %v", name, got)
		}
	}
}

// Thousands of idle tasks had machines of any price rented, up to accelerators'.
func TestOpportunisticWorkRentsOnlyWhatIsCheapForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		j := d.accept(idleJob("000001", 40))
		wanted := func() (cheap, dear int) {
			for _, o := range d.trialPacking().desired {
				if o.Type == "cpu" && o.Spot {
					cheap++
				} else {
					dear++
				}
			}
			return cheap, dear
		}
		if cheap, dear := wanted(); cheap != 20 || dear != 0 {
			t.Errorf("%d cheap and %d dear machines for 20 machines' work", cheap, dear)
		}
		refuse := func() {
			for _, zone := range []string{"a", "b"} {
				d.rejectedOfferings[cloud.Offering{Type: "cpu", Zone: zone, Spot: true}] = time.Now()
			}
		}
		refuse()
		if cheap, dear := wanted(); cheap+dear != 0 {
			t.Errorf("%d machines while cheap ones are refused", cheap+dear)
		}
		time.Sleep(minimumAllocationLeases*d.settings.WorkerLease + time.Second)
		refuse()
		if cheap, dear := wanted(); cheap != 0 || dear != 1 {
			t.Errorf("%d and %d machines for a job that waits for its first place", cheap, dear)
		}
		m := d.up(1, "cpu", "a", false)
		d.reserve(j, 0, m, time.Now())
		m.Type = nil // its room isn't of interest here
		if cheap, dear := wanted(); cheap+dear != 0 {
			t.Errorf("%d machines for a job that has begun", cheap+dear)
		}
	})
}

// Idle work filled the room that is kept for services, and the processors beside accelerators.
func TestOpportunisticWorkLeavesRoomToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		d.up(1, "cpu", "a", false) // four of the service's tasks, or two idle ones
		d.up(2, "cpu", "a", false)
		d.up(3, "gpu", "a", false)
		training := service("000001", 1)
		training.Resources = storage.Resources{CPUs: 8, GPUs: 1, MemoryGB: 8}
		d.addAttempt(&cluster.Attempt{Job: d.accept(training), Task: 0, Number: 1, Machine: d.state.Machines.Get(3), Incarnation: 1, ThisTerm: true, Reported: true})
		d.perGPU, d.perGPUAt = storage.Resources{CPUs: 8}, time.Now()
		kept := cluster.NewJob(service("000002", 1), time.Now())
		d.keptHeadroom = []*demand{{job: kept, zones: newZoneCheck(kept), n: 2, headroom: true}}
		idle := d.accept(idleJob("000003", 100))
		for range 3 {
			d.placeRound(time.Now())
		}
		if on := len(d.state.Machines.Get(3).Attempts); on != 1 {
			t.Errorf("%d idle tasks beside accelerators that need the processors", on-1)
		}
		if idle.Allocated() != 3 {
			t.Errorf("%d idle tasks on two machines of two places each, one of which is kept", idle.Allocated())
		}
	})
}

// The idle tasks' wish for cheap machines had the fleet keep the dear ones, and rentals for them held up
// those of services.
func TestOpportunisticWishesNeitherKeepNorDelayOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		d.accept(idleJob("000001", 4000))
		m := d.up(1, "gpu", "a", false) // with nothing to do
		time.Sleep(clock.Seconds(cluster.IdlePerBoot*m.Type.BootS) + time.Second)
		d.up(1, "gpu", "a", false)
		v := d.snapshotFleet(time.Now())
		if len(v.desired) != config.MaxLaunchMachines || v.nonOpportunistic != 0 {
			t.Errorf("%d machines wanted, %d in a hurry", len(v.desired), v.nonOpportunistic)
		}
		if len(v.surplus) != 1 {
			t.Errorf("%d surplus machines beside wishes for cheap ones", len(v.surplus))
		}
		d.accept(service("000002", 40))
		if v := d.snapshotFleet(time.Now()); v.nonOpportunistic != len(v.desired)-config.MaxLaunchMachines || v.nonOpportunistic == 0 || len(v.surplus) != 0 {
			t.Errorf("%d of %d machines in a hurry, %d surplus", v.nonOpportunistic, len(v.desired), len(v.surplus))
		}
	})
}

// The first of several large jobs took all room, and the last began after minutes.
func TestOpportunisticJobsShareEvenly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		var jobs []*cluster.Job
		for i := range 4 {
			jobs = append(jobs, d.accept(idleJob(fmt.Sprintf("00000%d", i), 1000)))
			time.Sleep(time.Second)
		}
		late := arrayJob("000009", 1)
		late.Priority, late.Spot, late.DeadlineS = storage.BestEffort, true, 600
		hurried := d.accept(late)
		for batch := range 4 {
			for i := range 20 {
				d.up(batch*20+i+1, "cpu", "a", true)
			}
			for range 4 {
				d.placeRound(time.Now())
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
func TestGuaranteedWorkStopsOpportunisticWork(t *testing.T) {
	for name, guarantee := range map[string]float64{"guaranteed": 100, "beyond the guarantee": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := grownSettings()
				s.Teams = append(s.Teams, config.Team{Name: "home", Guarantee: storage.Resources{CPUs: guarantee, MemoryGB: 100}})
				d := newTestDispatcher(t, s)
				m := d.up(1, "cpu", "a", true)
				idle := d.accept(idleJob("000001", 2))
				for i := range 2 {
					d.addAttempt(&cluster.Attempt{Job: idle, Task: i, Number: uint64(i + 1), Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
				}
				spec := idleJob("000002", 1)
				spec.Team, spec.DeadlineS = "home", 600
				d.accept(spec)
				d.placeRound(time.Now())
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

// Idle work that could be saved kept the dear machines rented on which it had found room.
func TestOpportunisticWorkKeepsNoDearMachine(t *testing.T) {
	for _, spot := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestDispatcher(t, grownSettings())
			m := d.up(1, "cpu", "a", spot)
			spec := idleJob("000001", 1)
			spec.CheckpointS, spec.SaveS = 30, 3
			d.addAttempt(&cluster.Attempt{Job: d.accept(spec), Task: 0, Number: 1, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true, State: worker.Running, Started: time.Now()})
			p := d.trialPacking()
			if surplus := len(d.findSurplus(p, time.Now())) > 0; surplus == spot {
				t.Errorf("spot %v: surplus %v", spot, surplus)
			}
		})
	}
}
