package scheduler

import (
	"testing"
	"time"

	"sagevale/internal/cluster/clustertest"
)

// When all machines booted four times as slowly, each was returned before it was up, and its
// replacement too.
func TestSlowProvisioningIsAwaited(t *testing.T) {
	for name, trouble := range map[string]func(sim *simulation){
		"alone":          func(*simulation) {},
		"a leader's end": func(sim *simulation) { time.Sleep(40 * time.Second); sim.crash(sim.awaitLeader(), 3*time.Second) },
		"a standstill":   func(sim *simulation) { time.Sleep(30 * time.Second); sim.awaitLeader().pause(8 * time.Second) },
		"a mistaken job": func(sim *simulation) { sim.submitFailing("000002") },
		"a cancellation": func(sim *simulation) { sim.submit(clustertest.Service("000002", 4)); sim.cancel("000002") },
		"opportunistic":  func(sim *simulation) { sim.submit(clustertest.Opportunistic("000002", 40)) },
		"an outage":      func(sim *simulation) { time.Sleep(5 * time.Second); sim.outage(10 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			runSimulation(t, func(sim *simulation) {
				sim.withLock(func() { sim.cloud.bootTime = 60 * time.Second })
				six := clustertest.Service("000001", 24) // six machines
				six.Types = []string{"cpu"}
				sim.submit(six)
				trouble(sim)
				sim.eventually("the service runs", 3*time.Minute, func() bool { return len(sim.runningTasks("000001")) == 24 })
				rented := 0
				sim.withLock(func() { rented = sim.cloud.next })
				if rented > 20 && name != "opportunistic" {
					t.Errorf("%d machines rented for six machines' work", rented)
				}
			})
		})
	}
}
