package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// When one controller is rolled back to a version without the archive, the leader moves the archived jobs back to the journal
// page by page. If the leader restarts meanwhile, the next leader continues. Then controllers of the older version lead, and
// find all jobs in the journal. After another upgrade the jobs are archived again.
func TestRollbackRestoresArchive(t *testing.T) {
	for kills := range 3 {
		t.Run(fmt.Sprintf("%d leader restarts", kills), func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.seedArchive(2000)
				sim.runToCompletion("000001")
				sim.submit(clustertest.Service("000002", 2))
				sim.cancel("000002")
				sim.awaitArchived(2002)
				rolledBack := sim.follower()
				rolledBack.restartWithVersion(upgrade.Version3)
				for range kills {
					time.Sleep(900 * time.Millisecond)
					if leader := sim.leader(); leader != nil {
						if leader == rolledBack {
							t.Error("the older version leads while jobs are archived")
						}
						leader.restart()
					}
					sim.awaitLeader()
				}
				sim.awaitActive(upgrade.Version3, 5*time.Minute)
				if status := sim.archiveStatus(); status.Stored.Pages != 0 || status.FinishedInJournal != 2002 {
					t.Errorf("status %+v, want no pages and a backlog of 2002 jobs", status)
				}
				sim.restartAllWithVersion(upgrade.Version3)
				sim.awaitLeader()
				sim.checkFinalState("000001", api.StateDone)
				sim.checkFinalState("000002", api.StateCancelled)
				sim.checkFinalState(archivedJobID(1234), api.StateDone)
				if response := sim.poll(archivedJobID(1234)); response.Done != 1234%50 {
					t.Errorf("poll returns %+v, want %d tasks done", response, 1234%50)
				}
				sim.restartAllWithVersion(upgrade.Current)
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.awaitArchived(2002)
				sim.checkFinalState("000001", api.StateDone)
			})
		})
	}
}

// While the archive's feature gate is being withdrawn, the leader moves the archived jobs back to the journal. If the
// withdrawal is canceled halfway, each job is in the journal, in the archive, or in both. All jobs keep their final states.
func TestHaltedArchiveWithdrawal(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(3000)
		rolledBack := sim.follower()
		rolledBack.restartWithVersion(upgrade.Version3)
		sim.eventually("some jobs are restored", time.Minute, func() bool {
			status := sim.archiveStatus()
			return status.FinishedInJournal > 0 && status.Stored.Jobs > 0
		})
		rolledBack.restartWithVersion(upgrade.Current)
		for i := range 5 {
			sim.checkFinalState(archivedJobID(i*700), api.StateDone)
		}
		sim.awaitLeader().restart()
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.awaitArchived(3000)
		for i := range 5 {
			sim.checkFinalState(archivedJobID(i*700), api.StateDone)
		}
	})
}

// If the archived jobs don't fit into the leader's memory, they aren't moved back to the journal. The status contains the
// reason.
func TestArchiveTooLargeToRestore(t *testing.T) {
	runSimulationWithTuning(t, func(s *config.Settings) { s.MemoryMB = 16 }, func(tuning *config.Tuning) { tuning.Archive.Enabled = true }, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(sim.settings.MaxRestoredJobs() + 1000)
		rolledBack := sim.follower()
		rolledBack.restartWithVersion(upgrade.Version3)
		sim.eventually("the status contains the reason", time.Minute, func() bool { return strings.Contains(sim.archiveStatus().WaitsFor, "fit in memory") })
		if status := sim.archiveStatus(); status.FinishedInJournal > 0 || !strings.Contains(status.WaitsFor, "gate job-archive can't be withdrawn for node "+rolledBack.name) {
			t.Errorf("status %+v, want no backlog and %s named", status, rolledBack.name)
		}
		sim.checkFinalState(archivedJobID(77), api.StateDone)
	})
}

// Two earlier versions don't store a registration with the range of versions that they can read and write: commit 3661d31,
// with peer version 0, and commit af96c21, with peer version 2. While jobs are archived, a controller of such a version
// never becomes leader, even if no other controller runs.
func TestUnregisteredVersionsCannotLeadWithArchive(t *testing.T) {
	for _, version := range []int{0, 2} {
		t.Run(fmt.Sprintf("peer version %d", version), func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.runToCompletion("000001")
				sim.awaitArchived(1)
				rolledBack := sim.follower()
				olderProcess := rolledBack.startUnregistered(version)
				sim.killAllBut(rolledBack)
				time.Sleep(time.Minute)
				if n := olderProcess.termsLed.Load(); n > 0 {
					t.Errorf("the older version became leader %d times, want never", n)
				}
				rolledBack.kill()
				sim.startAll()
				sim.awaitLeader()
				sim.checkFinalState("000001", api.StateDone)
			})
		})
	}
}

// The journal record of a job that was restored from the archive has the encoding that earlier versions read: they decode it
// as the record of a finished job.
func TestRestoredJobRecord(t *testing.T) {
	number := jobNumber(t, "000412")
	for _, final := range []archive.FinalState{{Done: 12}, {Cancelled: true, Done: 3}} {
		data, err := json.Marshal(cluster.RestoredJob(archive.Entry{Number: number, FinalState: final}).Record())
		if err != nil {
			t.Fatal(err)
		}
		var r storage.JobRecord
		if err := json.Unmarshal(data, &r); err != nil || r.Phase != final.Phase() || r.DoneTasks != final.Done || r.Spec != nil {
			t.Errorf("%s is read as %+v, %v; want %+v", data, r, err, final)
		}
	}
}

// When archived jobs are moved back to the journal, an archive page is removed only after its jobs are durable in the journal.
func TestArchivePageRemovedAfterJobsAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		sched := newTestScheduler(t, clustertest.Settings())
		service := storagetest.NewService()
		defer service.Close()
		ops, err := archive.Build([]archive.Entry{{Number: jobNumber(t, "000001"), FinalState: archive.FinalState{Done: 1}}}, &sched.settings.State)
		if err != nil {
			t.Fatal(err)
		}
		ops = append(ops, storage.Op{Key: leadership.LeaderKey, Data: json.RawMessage(`{}`)})
		version, err := service.Apply(nil, ops)
		if err != nil {
			t.Fatal(err)
		}
		sched.archive = newArchiver(sched.settings, Dependencies{State: &storagetest.Client{Service: service}, Log: sched.log}, storage.NewLimitTracker(sched.settings.State))
		go sched.archive.Run(ctx)
		sched.archive.BeginTerm(ctx, archive.Leadership{Term: sched.term, Guard: storage.Guard{Key: leadership.LeaderKey, Version: version}})
		time.Sleep(time.Minute)
		result := make(chan error, 1) // outcome of the journal's commit
		go func() {
			for m := range sched.mailbox {
				m.(restoreMessage).reply <- <-result
			}
		}()
		defer close(sched.mailbox)
		for _, c := range []struct {
			commitErr error
			wantPages int
		}{{errArchivingInProgress, 1}, {storage.ErrLeadershipLost, 1}, {nil, 0}} {
			result <- c.commitErr
			if err := (termGates{sched, sched.journal}).restoreFirstPage(ctx); !errors.Is(err, c.commitErr) || len(service.Keys(archivePagePrefix)) != c.wantPages {
				t.Errorf("restoreFirstPage() = %v with %d pages left, want %v with %d", err, len(service.Keys(archivePagePrefix)), c.commitErr, c.wantPages)
			}
		}
	})
}
