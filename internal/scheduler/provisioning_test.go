package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

// When all machines booted four times as slowly, each was returned before it was up, and its
// replacement too.
func TestMachinesThatAllBootSlowlyAreWaitedFor(t *testing.T) {
	for name, trouble := range map[string]func(sim *simulation){
		"alone":          func(*simulation) {},
		"a leader's end": func(sim *simulation) { time.Sleep(40 * time.Second); sim.crash(sim.awaitLeader(), 3*time.Second) },
		"a standstill":   func(sim *simulation) { time.Sleep(30 * time.Second); sim.awaitLeader().freeze(8 * time.Second) },
		"a mistaken job": func(sim *simulation) { sim.mistake("000002") },
		"a cancellation": func(sim *simulation) { sim.submit(service("000002", 4)); sim.cancel("000002") },
		"opportunistic":  func(sim *simulation) { sim.submit(idleJob("000002", 40)) },
		"an outage":      func(sim *simulation) { time.Sleep(5 * time.Second); sim.outage(10 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			inSimulation(t, func(sim *simulation) {
				sim.locked(func() { sim.cloud.boot = 60 * time.Second })
				six := service("000001", 24) // six machines
				six.Types = []string{"cpu"}
				sim.submit(six)
				trouble(sim)
				sim.eventually("the service runs", 3*time.Minute, func() bool { return len(sim.running("000001")) == 24 })
				rented := 0
				sim.locked(func() { rented = sim.cloud.next })
				if rented > 20 && name != "opportunistic" {
					t.Errorf("%d machines rented for six machines' work", rented)
				}
			})
		})
	}
}

// mistake submits a job that fails wherever it runs.
func (sim *simulation) mistake(id string) {
	sim.locked(func() { sim.mistaken[id] = true })
	sim.submit(lasting(id, 4, 2*time.Second))
}

// A machine that never comes is replaced and returned at its time beside others that boot as they
// should, and an offer that doesn't deliver is avoided for a while.
func TestMachinesThatNeverComeAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDispatcher(t, grownSettings())
		rental := storage.LaunchRecord{Type: "cpu", Zone: "a"}
		d.handleLaunched(launchedMsg{rental, []int{1, 2, 3, 4, 5, 6}})
		time.Sleep(15 * time.Second)
		for id := range 4 {
			d.up(id+3, "cpu", "a", false)
		}
		time.Sleep(15 * time.Second)
		v := d.snapshotFleet(time.Now())
		if len(v.lost) != 0 || !d.provisioningOverdue(d.state.Machines.Get(1), time.Now()) {
			t.Errorf("after two boots %v are lost; overdue %v", v.lost, d.provisioningOverdue(d.state.Machines.Get(1), time.Now()))
		}
		time.Sleep(6 * time.Second)
		if v := d.snapshotFleet(time.Now()); len(v.lost) != 2 {
			t.Errorf("%v are returned, not two", v.lost)
		}
		if d.failsToProvision(cloud.Offering{Type: "cpu", Zone: "a", Spot: false}, time.Now()) {
			t.Error("an offer that mostly delivers is avoided")
		}
		d.terminateMachines([]int{1, 2})
		d.handleLaunched(launchedMsg{rental, []int{7, 8, 9}})
		time.Sleep(2 * time.Minute)
		d.snapshotFleet(time.Now())
		d.accept(service("000001", 400))
		if !d.failsToProvision(cloud.Offering{Type: "cpu", Zone: "a", Spot: false}, time.Now()) {
			t.Error("an offer that doesn't deliver isn't avoided")
		}
		for _, o := range d.trialPacking().desired {
			if o.Zone == "a" {
				t.Errorf("%+v is rented though it doesn't deliver", o)
				break
			}
		}
		time.Sleep(6 * time.Minute)
		if d.failsToProvision(cloud.Offering{Type: "cpu", Zone: "a", Spot: false}, time.Now()) {
			t.Error("an offer is avoided for good")
		}
	})
}
