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

// A controller goes back: the archive is brought back into the journal in steps, whoever leads, and the older one leads then and
// knows all jobs. Afterwards the fleet is upgraded again.
func TestRollbackRestoresArchive(t *testing.T) {
	for kills := range 3 {
		t.Run(fmt.Sprint(kills), func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.seedArchive(2000)
				sim.runToCompletion("000001")
				sim.submit(clustertest.Service("000002", 2))
				sim.cancel("000002")
				sim.awaitArchived(2002)
				back := sim.nodes[0]
				if sim.awaitLeader() == back {
					back = sim.nodes[1]
				}
				back.restartWithVersion(upgrade.Version3)
				for range kills {
					time.Sleep(900 * time.Millisecond)
					if lead := sim.leader(); lead != nil {
						if lead == back {
							t.Error("it leads beside the archive")
						}
						lead.restart()
					}
					sim.awaitLeader()
				}
				sim.awaitActive(upgrade.Version3, 5*time.Minute)
				if status := sim.archiveStatus(); status.Stored.Pages != 0 || status.Backlog != 2002 {
					t.Errorf("%+v", status)
				}
				sim.restartAllWithVersion(upgrade.Version3)
				sim.awaitLeader()
				sim.checkFinalState("000001", api.StateDone)
				sim.checkFinalState("000002", api.StateCancelled)
				sim.checkFinalState(archivedJobID(1234), api.StateDone)
				if a := sim.poll(archivedJobID(1234)); a.Done != 1234%50 {
					t.Errorf("%+v", a)
				}
				sim.restartAllWithVersion(upgrade.Current)
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.awaitArchived(2002)
				sim.checkFinalState("000001", api.StateDone)
			})
		})
	}
}

// A withdrawal that is halted halfway, and taken back: jobs are in the journal, in the archive, or in both, and are told
// as ever.
func TestHaltedArchiveWithdrawal(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(3000)
		back := sim.nodes[0]
		if sim.awaitLeader() == back {
			back = sim.nodes[1]
		}
		back.restartWithVersion(upgrade.Version3)
		sim.eventually("some are back", time.Minute, func() bool { s := sim.archiveStatus(); return s.Backlog > 0 && s.Stored.Jobs > 0 })
		back.restartWithVersion(upgrade.Current)
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

// An archive that doesn't fit into the leader's memory isn't brought back, and operators are told why.
func TestArchiveTooLargeToRestore(t *testing.T) {
	runSimulationWithTuning(t, func(s *config.Settings) { s.MemoryMB = 16 }, func(tuning *config.Tuning) { tuning.Archive.Enabled = true }, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(sim.settings.MaxRestoredJobs() + 1000)
		back := sim.nodes[0]
		if sim.awaitLeader() == back {
			back = sim.nodes[1]
		}
		back.restartWithVersion(upgrade.Version3)
		sim.eventually("told why", time.Minute, func() bool { return strings.Contains(sim.archiveStatus().Waiting, "fit in memory") })
		if s := sim.archiveStatus(); s.Backlog > 0 || !strings.Contains(s.Waiting, "gate job-archive can't be withdrawn for node "+back.name) {
			t.Errorf("%+v", s)
		}
		sim.checkFinalState(archivedJobID(77), api.StateDone)
	})
}

// 3661d31 and af96c21 come back beside an archive: neither takes the lead, though nobody else holds it.
func TestUnregisteredVersionsCannotLeadWithArchive(t *testing.T) {
	for _, told := range []int{0, 2} {
		t.Run(fmt.Sprint(told), func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.runToCompletion("000001")
				sim.awaitArchived(1)
				lead := sim.awaitLeader()
				back := sim.nodes[0]
				if lead == back {
					back = sim.nodes[1]
				}
				old := back.startUnregistered(told)
				for _, n := range sim.nodes {
					if n != back {
						n.kill()
					}
				}
				time.Sleep(time.Minute)
				if n := old.terms.Load(); n > 0 {
					t.Errorf("it led %d times", n)
				}
				back.kill()
				for _, n := range sim.nodes {
					n.start()
				}
				sim.awaitLeader()
				sim.checkFinalState("000001", api.StateDone)
			})
		})
	}
}

// What an archived job's record becomes when it is brought back is read by earlier versions as a final job.
func TestRestoredJobRecord(t *testing.T) {
	rank, _ := archive.ParseJobNumber("000412")
	for _, final := range []archive.FinalState{{Done: 12}, {Cancelled: true, Done: 3}} {
		data, err := json.Marshal(cluster.RestoredJob(archive.Entry{Number: rank, FinalState: final}).Record())
		if err != nil {
			t.Fatal(err)
		}
		var r storage.JobRecord
		if err := json.Unmarshal(data, &r); err != nil || r.Phase != final.Phase() || r.DoneTasks != final.Done || r.Spec != nil {
			t.Errorf("%s: %+v %v", data, r, err)
		}
	}
}

// A page isn't dropped unless its jobs are durable in the journal.
func TestArchivePageRemovedAfterJobsAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d := newTestScheduler(t, clustertest.Settings())
		service := storagetest.NewService()
		defer service.Close()
		rank, _ := archive.ParseJobNumber("000001")
		ops, err := archive.Build([]archive.Entry{{Number: rank, FinalState: archive.FinalState{Done: 1}}}, &d.settings.State)
		if err != nil {
			t.Fatal(err)
		}
		ops = append(ops, storage.Op{Key: leadership.LeaderKey, Data: json.RawMessage(`{}`)})
		version, err := service.Apply(nil, ops)
		if err != nil {
			t.Fatal(err)
		}
		d.archive = newArchive(d.settings, Dependencies{State: &storagetest.Client{Service: service}, Log: d.log}, storage.NewLimitTracker(d.settings.State))
		go d.archive.Run(ctx)
		d.archive.BeginTerm(ctx, archive.Leadership{Term: d.term, Guard: storage.Guard{Key: leadership.LeaderKey, Version: version}})
		time.Sleep(time.Minute)
		answer := make(chan error, 1) // of the journal
		go func() {
			for m := range d.mailbox {
				m.(restoreMessage).reply <- <-answer
			}
		}()
		defer close(d.mailbox)
		for _, c := range []struct {
			committed error
			pages     int
		}{{errArchivingInProgress, 1}, {storage.ErrLeadershipLost, 1}, {nil, 0}} {
			answer <- c.committed
			if err := (termGates{d, d.journal}).restoreFirst(ctx); !errors.Is(err, c.committed) || len(service.Keys(archivePrefix)) != c.pages {
				t.Errorf("%v: %d pages left, %v", c.committed, len(service.Keys(archivePrefix)), err)
			}
		}
	})
}
