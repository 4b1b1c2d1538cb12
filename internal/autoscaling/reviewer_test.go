package autoscaling

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/placement"
	"sagevale/internal/storage"
)

// newTestReviewer returns a reviewer of an empty fleet with the default settings.
func newTestReviewer() (*Reviewer, *clustertest.Fleet) {
	return newTestReviewerOf(clustertest.Settings())
}

// newTestReviewerOf returns a reviewer of an empty fleet.
func newTestReviewerOf(settings config.Settings) (*Reviewer, *clustertest.Fleet) {
	fleet := clustertest.NewFleet(settings)
	log := slog.New(slog.DiscardHandler)
	planner := placement.New(&fleet.Settings, fleet.State, fleet, rand.New(rand.NewPCG(7, 7)), log)
	return NewReviewer(&fleet.Settings, fleet.State, planner, log), fleet
}

// trialPacking packs the waiting tasks and the headroom into the free resources of the ready machines, and adds desired
// machines as Snapshot does.
func (r *Reviewer) trialPacking() *packing {
	now := time.Now()
	p := &packing{exhausted: make(placement.ExhaustedShapes), candidates: r.planner.ReadyCandidates(now)}
	r.packDemands(p, r.demands(now), r.state.Machines.Count(), now)
	return p
}

// snapshot returns the snapshot of a leader whose lease is valid.
func (r *Reviewer) snapshot() Snapshot {
	return r.Snapshot(time.Now(), Conditions{LeaseValid: true, MachinesListed: true})
}

// At most half of the tasks of a spread job, rounded up, may run in one zone. In a former version headroom was kept in
// one zone only, and every spread job had to wait for machines in the other zone.
func TestHeadroomIsKeptInEachZoneThatSpreadJobsNeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		r.state.Classes.FirstArrival = time.Now().Add(-3 * fleet.Settings.WorkerLease)
		for i := range 4 {
			fleet.ReportMachine(i+1, "cpu", "a", false) // ample free resources, all in one zone
		}
		// For each free GPU the planner keeps as many CPUs free as this service uses per GPU. The GPU machines of
		// zone b therefore have no spare CPUs for tasks without GPUs.
		training := clustertest.Service("000009", 1)
		training.Resources = storage.Resources{CPUs: 8, GPUs: 1}
		fleet.Reserve(fleet.AddJob(training), 0, fleet.ReportMachine(20, "gpu", "b", false), time.Now())
		r.planner.UpdateMaxPerGPU(time.Now())
		j := fleet.AddJob(clustertest.Spread("000001", 4))
		for task := range 4 {
			fleet.Reserve(j, task, fleet.ReportMachine(10+task, "gpu", "b", false), time.Now())
		}
		inB := 0
		for _, o := range r.trialPacking().desired {
			if o.Zone == "b" {
				inB++
			}
		}
		if inB == 0 {
			t.Error("no headroom is kept in the zone that has none")
		}
	})
}

// A job without GPUs allows only GPU machines. Its tasks must fill the machines that are launched for them. In a former
// version a machine was launched for each task.
func TestCPUOnlyTasksFillTheMachineLaunchedForThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		spec := clustertest.Service("000001", 40)
		spec.Types = []string{"gpu"}
		fleet.AddJob(spec)
		if got := len(r.trialPacking().desired); got != 2 {
			t.Errorf("%d machines with room for 32 tasks each are desired for 40 tasks, want 2", got)
		}
	})
}

// The time to save a checkpoint and to fetch the image must not make a moved task miss a deadline that it would
// otherwise meet. Tasks that are late anyway or have ample time may move.
func TestMoveMustNotCostADeadline(t *testing.T) {
	for _, c := range []struct {
		name      string
		deadlineS float64
		want      bool
	}{
		{"late anyway", 40, false},
		{"just in time", 62, true},
		{"ample time", 200, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, fleet := newTestReviewer()
				spec := clustertest.Array("000001", 1)
				spec.EstimateS, spec.DeadlineS, spec.CheckpointS, spec.SaveS, spec.ImageGB = 60, c.deadlineS, 10, 4, 5
				a := &cluster.Attempt{Job: cluster.NewJob(spec, time.Now()), Machine: fleet.ReportMachine(1, "cpu", "a", false), Reported: true, Started: time.Now()}
				if got := r.moveMissesDeadline(a, time.Now()); got != c.want {
					t.Errorf("moveMissesDeadline() = %v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against launching machines of any price, even GPU machines, for thousands of opportunistic tasks.
func TestOpportunisticWorkLaunchesOnlyAffordableMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		j := fleet.AddJob(clustertest.Opportunistic("000001", 40))
		desired := func() (affordable, expensive int) {
			for _, o := range r.trialPacking().desired {
				if o.Type == "cpu" && o.Spot {
					affordable++
				} else {
					expensive++
				}
			}
			return affordable, expensive
		}
		if affordable, expensive := desired(); affordable != 20 || expensive != 0 {
			t.Errorf("%d affordable and %d expensive machines for work that fills 20 machines, want 20 and 0", affordable, expensive)
		}
		reject := func() {
			for _, zone := range []string{"a", "b"} {
				r.RecordRejected(cloud.Offering{Type: "cpu", Zone: zone, Spot: true}, time.Now())
			}
		}
		reject()
		if affordable, expensive := desired(); affordable+expensive != 0 {
			t.Errorf("%d machines while affordable ones are rejected, want none", affordable+expensive)
		}
		time.Sleep(minimumAllocationLeases*fleet.Settings.WorkerLease + time.Second)
		reject()
		if affordable, expensive := desired(); affordable != 0 || expensive != 1 {
			t.Errorf("%d affordable and %d expensive machines for a job that still has no machine, want 0 and 1", affordable, expensive)
		}
		m := fleet.ReportMachine(1, "cpu", "a", false)
		fleet.Reserve(j, 0, m, time.Now())
		m.Type = nil // excludes its free resources from the packing
		if affordable, expensive := desired(); affordable+expensive != 0 {
			t.Errorf("%d machines for a job that has its first machine, want none", affordable+expensive)
		}
	})
}

// Guards against two faults: demand of opportunistic work made the fleet keep expensive machines, and launches for
// opportunistic work delayed launches for services.
func TestOpportunisticDemandNeitherKeepsMachinesNorDelaysOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		fleet.AddJob(clustertest.Opportunistic("000001", 4000))
		m := fleet.ReportMachine(1, "gpu", "a", false) // idle
		time.Sleep(clock.Seconds(cluster.BrieflyIdleBootTimes*m.Type.BootS) + time.Second)
		fleet.ReportMachine(1, "gpu", "a", false)
		s := r.snapshot()
		if len(s.Desired) != config.MaxLaunchMachines || s.NonOpportunistic != 0 {
			t.Errorf("%d machines desired, %d for other work; want %d and none", len(s.Desired), s.NonOpportunistic, config.MaxLaunchMachines)
		}
		if len(s.Surplus) != 1 {
			t.Errorf("%d surplus machines beside demand for affordable ones, want 1", len(s.Surplus))
		}
		fleet.AddJob(clustertest.Service("000002", 40))
		if s := r.snapshot(); s.NonOpportunistic != len(s.Desired)-config.MaxLaunchMachines || s.NonOpportunistic == 0 || len(s.Surplus) != 0 {
			t.Errorf("%d of %d desired machines are for other work, %d surplus", s.NonOpportunistic, len(s.Desired), len(s.Surplus))
		}
	})
}

// Guards against keeping expensive machines because opportunistic work with checkpoints runs on them.
func TestOpportunisticWorkKeepsNoExpensiveMachine(t *testing.T) {
	for name, spot := range map[string]bool{"on-demand": false, "spot": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r, fleet := newTestReviewer()
				m := fleet.ReportMachine(1, "cpu", "a", spot)
				spec := clustertest.Opportunistic("000001", 1)
				spec.CheckpointS, spec.SaveS = 30, 3
				fleet.AddRunningAttempt(fleet.AddJob(spec), 0, m)
				p := r.trialPacking()
				if got, want := len(r.findSurplus(p, time.Now())) > 0, !spot; got != want {
					t.Errorf("surplus %v, want %v", got, want)
				}
			})
		})
	}
}

// Batch tasks may wait until running tasks end, instead of getting a new machine. A gang that lacks resources for one
// of its tasks would wait forever in this way, so a machine must be launched for the gang.
func TestGangGetsMachinesForAllItsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		for i, zone := range []string{"a", "a", "b"} {
			fleet.ReportMachine(i, "cpu", zone, false)
		}
		fleet.AddJob(gang("000001", 9)) // eight fit in zone a, four in b
		if desired := r.trialPacking().desired; len(desired) != 1 || desired[0].Zone != "a" {
			t.Errorf("desired %+v, want one machine in zone a", desired)
		}
	})
}

func TestGangBeyondItsTeamsLimitIsNoDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		settings.Teams = append(settings.Teams, config.Team{Name: "small", Limit: storage.Resources{GPUs: 2}})
		r, fleet := newTestReviewerOf(settings)
		other, waiting := withTeamLimit(gang("000001", 1)), withTeamLimit(gang("000002", 2))
		fleet.AddRunningAttempt(fleet.AddJob(other), 0, fleet.ReportMachine(1, "gpu", "a", false))
		j := fleet.AddJob(waiting)
		if got := r.demandedTasks(j, fleet.Settings.Team("small"), make(map[string]storage.Resources)); got != 0 {
			t.Errorf("demandedTasks() = %d beyond the limit, want none", got)
		}
	})
}

// gang returns the specification of a gang whose tasks must be in one zone.
func gang(id string, tasks int) storage.Spec {
	s := clustertest.Array(id, tasks)
	s.Class, s.Gang, s.SameZone, s.CheckpointS, s.SaveS = "gang", true, true, 10, 3
	return s
}

// withTeamLimit returns the specification with one GPU per task and with the team "small", whose limit is two GPUs.
func withTeamLimit(spec storage.Spec) storage.Spec {
	spec.Team, spec.Resources.GPUs = "small", 1
	return spec
}

// A machine that doesn't come up in time while others do is replaced and terminated. An offering whose machines mostly
// don't come up is avoided for a while.
func TestMachinesThatNeverComeAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, fleet := newTestReviewer()
		offering := cloud.Offering{Type: "cpu", Zone: "a"}
		launch := func(ids ...int) {
			for _, id := range ids {
				m := fleet.State.EnsureMachine(id, time.Now())
				m.ProvisioningObserved, m.ListedAt = true, time.Now()
				m.TypeName, m.Zone, m.Type = offering.Type, offering.Zone, fleet.State.Types.Get(offering.Type)
			}
		}
		launch(1, 2, 3, 4, 5, 6)
		time.Sleep(15 * time.Second)
		for id := range 4 {
			r.RecordProvisioned(fleet.ReportMachine(id+3, "cpu", "a", false), time.Now())
		}
		time.Sleep(15 * time.Second)
		s := r.snapshot()
		if overdue := r.Overdue(fleet.State.Machines.Get(1), time.Now()); len(s.Lost) != 0 || !overdue {
			t.Errorf("after two boot times %v are lost, overdue %v; want none and true", s.Lost, overdue)
		}
		time.Sleep(6 * time.Second)
		if s := r.snapshot(); len(s.Lost) != 2 {
			t.Errorf("%v are terminated, want two", s.Lost)
		}
		if r.failsToProvision(offering, time.Now()) {
			t.Error("an offering whose machines mostly come up is avoided")
		}
		for _, id := range []int{1, 2} {
			fleet.State.Machines.Get(id).Terminating = true
		}
		launch(7, 8, 9)
		time.Sleep(2 * time.Minute)
		r.snapshot()
		fleet.AddJob(clustertest.Service("000001", 400))
		if !r.failsToProvision(offering, time.Now()) {
			t.Error("an offering whose machines mostly don't come up isn't avoided")
		}
		for _, o := range r.trialPacking().desired {
			if o.Zone == "a" {
				t.Errorf("%+v is desired though its machines mostly don't come up", o)
				break
			}
		}
		time.Sleep(6 * time.Minute)
		if r.failsToProvision(offering, time.Now()) {
			t.Error("an offering is still avoided after its failures have expired")
		}
	})
}
