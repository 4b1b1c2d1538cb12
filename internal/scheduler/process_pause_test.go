package scheduler

import (
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/storage"
)

// startWorkload submits a service and two arrays, and waits until they run.
func (sim *simulation) startWorkload() {
	sim.submit(clustertest.Service("000001", 3))
	sim.submit(arrayWithRuntime("000002", 3, 2*time.Minute))
	sim.submit(withLimitedTeam(arrayWithRuntime("000003", 2, 2*time.Minute)))
	sim.awaitRunning("000001", 3)
	sim.awaitRunning("000003", 2)
}

// awaitWorkload waits until the service of startWorkload runs and its arrays are done.
func (sim *simulation) awaitWorkload() {
	sim.t.Helper()
	sim.awaitRunning("000001", 3)
	sim.awaitDone("000002")
	sim.awaitDone("000003")
}

// pauseScenarios returns scenarios in which a controller process is paused while its clocks keep running.
func pauseScenarios() []scenario {
	var scenarios []scenario
	for _, c := range []struct {
		name  string
		pause time.Duration
	}{
		{"within the leader lease", time.Second},
		{"for seconds", 4 * time.Second},
		{"beyond the worker lease", 35 * time.Second},
		{"beyond the cancel timeout", 70 * time.Second},
	} {
		scenarios = append(scenarios,
			scenario{"leader paused " + c.name + " during cancellations", func(sim *simulation) {
				sim.startWorkload()
				sim.submit(clustertest.Service("000004", 2))
				sim.awaitRunning("000004", 2)
				old := sim.awaitLeader()
				old.pause(c.pause)
				go sim.requestFrom(old, api.OpPoll, "000004", storage.Spec{})
				go sim.requestFrom(old, api.OpCancel, "000004", storage.Spec{})
				sim.cancel("000004")
				sim.requestFromAll("000004")
				time.Sleep(c.pause)
				sim.requestFromAll("000004")
				sim.awaitStopped("000004")
				sim.awaitWorkload()
			}},
			scenario{"leader paused " + c.name + " while start commands are sent", func(sim *simulation) {
				sim.startWorkload()
				for i := range 8 {
					sim.submit(arrayWithRuntime(fmt.Sprintf("1%05d", i), 2, 3*time.Minute))
				}
				sim.awaitLeader().pause(c.pause)
				time.Sleep(c.pause / 2)
				sim.cancel("100000")
				time.Sleep(c.pause)
				sim.awaitStopped("100000")
				for i := range 7 {
					sim.awaitDone(fmt.Sprintf("1%05d", i+1))
				}
				sim.awaitWorkload()
			}},
			scenario{"two leaders in turn paused " + c.name, func(sim *simulation) {
				sim.startWorkload()
				sim.awaitLeader().pause(c.pause)
				time.Sleep(2*sim.settings.Tuning.LeaderLease + time.Second)
				if n := sim.leader(); n != nil {
					n.pause(c.pause)
				}
				sim.submit(clustertest.Service("000004", 1))
				sim.cancel("000004")
				time.Sleep(2 * c.pause)
				sim.awaitStopped("000004")
				sim.awaitWorkload()
			}},
			scenario{"leader paused " + c.name + " in an outage", func(sim *simulation) {
				sim.startWorkload()
				sim.awaitLeader().pause(c.pause)
				sim.outage(c.pause / 2)
				sim.cancel("000002")
				time.Sleep(c.pause)
				sim.awaitStopped("000002")
				sim.awaitRunning("000001", 3)
				sim.awaitDone("000003")
			}},
			scenario{"follower paused " + c.name + " while the leader crashes", func(sim *simulation) {
				sim.startWorkload()
				leader := sim.awaitLeader()
				for _, n := range sim.nodes {
					if n != leader {
						n.pause(c.pause)
						break
					}
				}
				sim.crash(leader, 4*time.Second)
				sim.submit(arrayWithRuntime("000004", 2, 20*time.Second))
				time.Sleep(c.pause)
				sim.awaitDone("000004")
				sim.awaitWorkload()
			}})
	}
	return scenarios
}

func TestProcessPauses(t *testing.T) {
	for _, s := range pauseScenarios() {
		t.Run(s.name, func(t *testing.T) { runSimulation(t, s.run) })
	}
}
