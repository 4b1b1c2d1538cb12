package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// startWorkload submits services and arrays, and waits until they run.
func (sim *simulation) startWorkload() {
	sim.submit(clustertest.Service("000001", 3))
	sim.submit(arrayWithRuntime("000002", 3, 2*time.Minute))
	sim.submit(withLimitedTeam(arrayWithRuntime("000003", 2, 2*time.Minute)))
	sim.awaitRunning("000001", 3)
	sim.awaitRunning("000003", 2)
}

// awaitWorkload checks that the work of a scenario goes on, and ends.
func (sim *simulation) awaitWorkload() {
	sim.t.Helper()
	sim.awaitRunning("000001", 3)
	sim.awaitDone("000002")
	sim.awaitDone("000003")
}

// pauseScenarios are scenarios in which a controller stands still while its clocks run on.
func pauseScenarios() []scenario {
	var out []scenario
	for _, c := range []struct {
		name string
		span time.Duration
	}{{"within a grant", time.Second}, {"for seconds", 4 * time.Second}, {"beyond the lease", 35 * time.Second}, {"beyond cancel_s", 70 * time.Second}} {
		out = append(out,
			scenario{"the leader " + c.name + ", cancels meanwhile", func(sim *simulation) {
				sim.startWorkload()
				sim.submit(clustertest.Service("000004", 2))
				sim.awaitRunning("000004", 2)
				old := sim.awaitLeader()
				old.pause(c.span)
				go sim.requestFrom(old, api.OpPoll, "000004", storage.Spec{})
				go sim.requestFrom(old, api.OpCancel, "000004", storage.Spec{})
				sim.cancel("000004")
				sim.requestFromAll("000004")
				time.Sleep(c.span)
				sim.requestFromAll("000004")
				sim.awaitStopped("000004")
				sim.awaitWorkload()
			}},
			scenario{"the leader " + c.name + " with starts on their way", func(sim *simulation) {
				sim.startWorkload()
				for i := range 8 {
					sim.submit(arrayWithRuntime(fmt.Sprintf("1%05d", i), 2, 3*time.Minute))
				}
				sim.awaitLeader().pause(c.span)
				time.Sleep(c.span / 2)
				sim.cancel("100000")
				time.Sleep(c.span)
				sim.awaitStopped("100000")
				for i := range 7 {
					sim.awaitDone(fmt.Sprintf("1%05d", i+1))
				}
				sim.awaitWorkload()
			}},
			scenario{"two controllers in turn " + c.name, func(sim *simulation) {
				sim.startWorkload()
				sim.awaitLeader().pause(c.span)
				time.Sleep(2*sim.settings.Tuning.LeaderLease + time.Second)
				if n := sim.leader(); n != nil {
					n.pause(c.span)
				}
				sim.submit(clustertest.Service("000004", 1))
				sim.cancel("000004")
				time.Sleep(2 * c.span)
				sim.awaitStopped("000004")
				sim.awaitWorkload()
			}},
			scenario{"the leader " + c.name + " in an outage", func(sim *simulation) {
				sim.startWorkload()
				sim.awaitLeader().pause(c.span)
				sim.outage(c.span / 2)
				sim.cancel("000002")
				time.Sleep(c.span)
				sim.awaitStopped("000002")
				sim.awaitRunning("000001", 3)
				sim.awaitDone("000003")
			}},
			scenario{"a follower " + c.name + " while the leader ends", func(sim *simulation) {
				sim.startWorkload()
				leader := sim.awaitLeader()
				for _, n := range sim.nodes {
					if n != leader {
						n.pause(c.span)
						break
					}
				}
				sim.crash(leader, 4*time.Second)
				sim.submit(arrayWithRuntime("000004", 2, 20*time.Second))
				time.Sleep(c.span)
				sim.awaitDone("000004")
				sim.awaitWorkload()
			}})
	}
	return out
}

func TestProcessPauses(t *testing.T) {
	for _, c := range pauseScenarios() {
		t.Run(c.name, func(t *testing.T) { runSimulation(t, c.run) })
	}
}
