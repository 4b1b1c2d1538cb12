package scheduler

import (
	"testing"
	"time"

	"sagevale/internal/cluster/clustertest"
)

// If all machines take four times as long to boot as expected, the leader waits for them. An
// earlier version terminated the machines before they were up, and then their replacements, too.
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
				spec := clustertest.Service("000001", 24) // its tasks fill six machines
				spec.Types = []string{"cpu"}
				sim.submit(spec)
				disturb(sim)
				sim.awaitRunningWithin(3*time.Minute, "000001", 24)
				launched := 0
				sim.withLock(func() { launched = sim.cloud.nextMachineID })
				if launched > 20 && name != opportunistic {
					t.Errorf("got %d launched machines for tasks that fill six, want at most 20", launched)
				}
			})
		})
	}
}
