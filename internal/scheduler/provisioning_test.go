package scheduler

import (
	"testing"
	"time"

	"sagevale/internal/cluster/clustertest"
)

// Machines that all boot four times as slowly as expected are waited for. They were terminated
// before they were up, and so were their replacements.
func TestSlowProvisioningIsAwaited(t *testing.T) {
	const opportunistic = "opportunistic work"
	for name, disturb := range map[string]func(sim *simulation){
		"undisturbed": func(*simulation) {},
		"leader crash": func(sim *simulation) {
			time.Sleep(40 * time.Second)
			sim.crash(sim.awaitLeader(), 3*time.Second)
		},
		"leader pause": func(sim *simulation) {
			time.Sleep(30 * time.Second)
			sim.awaitLeader().pause(8 * time.Second)
		},
		"failing job": func(sim *simulation) { sim.submitFailing("000002") },
		"cancellation": func(sim *simulation) {
			sim.submit(clustertest.Service("000002", 4))
			sim.cancel("000002")
		},
		opportunistic: func(sim *simulation) { sim.submit(clustertest.Opportunistic("000002", 40)) },
		"store outage": func(sim *simulation) {
			time.Sleep(5 * time.Second)
			sim.outage(10 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(sim *simulation) {
				sim.withLock(func() { sim.cloud.bootTime = 60 * time.Second })
				spec := clustertest.Service("000001", 24) // fills six machines
				spec.Types = []string{"cpu"}
				sim.submit(spec)
				disturb(sim)
				sim.awaitRunningWithin(3*time.Minute, "000001", 24)
				launched := 0
				sim.withLock(func() { launched = sim.cloud.next })
				if launched > 20 && name != opportunistic {
					t.Errorf("got %d launched machines for the work of six, want at most 20", launched)
				}
			})
		})
	}
}
