package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/worker"
)

// Only heartbeats renew the lease of a machine. If they are lost, the lease expires, even while direct commands
// reach the machine. Responses to direct commands therefore don't make a machine ready.
func TestDirectResponsesDoNotMakeMachineReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		sched := newTestScheduler(t, settings)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		for range 2 * config.FreshIntervals {
			time.Sleep(settings.HeartbeatInterval)
			report := cpuReport(7, m.Seq+1, sched.term)
			sched.applyReport(m, report, false, time.Now())
		}
		if m.Ready(time.Now(), settings.ReportFreshness()) {
			t.Error("machine is ready after direct responses alone")
		}
		sched.addReadyMachine(7, "cpu", "a", false)
		if !m.Ready(time.Now(), settings.ReportFreshness()) {
			t.Error("machine isn't ready after a heartbeat")
		}
	})
}

// The quarantine of a machine ends within two worker leases, however often tasks have failed on the machine or its
// lease has expired. A longer quarantine would keep work waiting although there is free capacity.
func TestQuarantineIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := clustertest.Settings()
		sched := newTestScheduler(t, settings)
		m := sched.addReadyMachine(7, "cpu", "a", false)
		for i := range 12 {
			sched.recordTaskFailure(sched.addAcceptedJob(clustertest.Array(fmt.Sprintf("%06d", i+1), 1)), m, time.Now(), time.Now())
			sched.handleNewIncarnation(m, &worker.Report{Machine: 7, Incarnation: uint64(i + 2)}, time.Now())
			if pause := time.Until(m.QuarantinedUntil); pause > 2*settings.WorkerLease {
				t.Fatalf("got a quarantine of %v, want at most %v", pause, 2*settings.WorkerLease)
			}
		}
	})
}
