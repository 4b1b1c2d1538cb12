package scheduler

import (
	"context"
	"fmt"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/archive"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

const archivePrefix = "archive/page/"

// runArchiveSimulation runs a scenario whose finished jobs are archived, but for so many.
func runArchiveSimulation(t *testing.T, keep int, story func(sim *simulation)) {
	t.Helper()
	runSimulationWithTuning(t, func(*config.Settings) {}, func(tuning *config.Tuning) { tuning.Archive.Enabled, tuning.Archive.KeepInJournal = true, keep }, story)
}

// archiveStatus is what an operator is told of the archive.
func (sim *simulation) archiveStatus() ArchiveStatus {
	sim.t.Helper()
	status, err := ReadArchiveStatus(context.Background(), &storagetest.Client{Service: sim.state}, &sim.settings)
	if err != nil {
		sim.t.Fatal(err)
	}
	return status
}

// awaitArchived waits until so many jobs are archived, and none of the finished ones is left in the journal.
func (sim *simulation) awaitArchived(jobs int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d jobs archived", jobs), 2*time.Minute, func() bool {
		status := sim.archiveStatus()
		return status.Stored.Jobs == jobs && status.Backlog == 0 && len(status.Stored.Damaged) == 0
	})
}

// runToCompletion has short jobs be run to their end.
func (sim *simulation) runToCompletion(ids ...string) {
	sim.t.Helper()
	for _, id := range ids {
		s := clustertest.Array(id, 2)
		s.EstimateS = 3
		sim.submit(s)
	}
	for _, id := range ids {
		sim.awaitDone(id)
	}
}

// checkFinalState checks what every node tells of a job that is over, whatever is asked.
func (sim *simulation) checkFinalState(id string, want api.JobState) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
			var a api.Response
			for range 20 {
				if a = sim.requestFrom(n, op, id, clustertest.Array(id, 2)); a.Decided() {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			if a.Code != api.CodeOK || a.State != want {
				sim.t.Errorf("%s answers %v of job %s by %+v", n.name, op, id, a)
			}
		}
	}
}

// A done and a cancelled job are archived: polls, repeated submissions and cancels are answered at every node by their final states, by those that
// led when they ended, by a new leader, and by one node after a restart of all. Ids are at the ends of the range too.
func TestArchivedJobsKeepFinalStates(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000000", 2))
		sim.awaitRunning("000000", 2)
		sim.cancel("000000")
		sim.runToCompletion("999999999999999999", "0000000", "555555")
		sim.awaitArchived(4)
		check := func() {
			sim.t.Helper()
			sim.checkFinalState("000000", api.StateCancelled)
			for _, id := range []string{"999999999999999999", "0000000", "555555"} {
				sim.checkFinalState(id, api.StateDone)
			}
			if a := sim.poll("000001"); a.Code != api.CodeNotFound {
				t.Errorf("a job that nobody submitted: %+v", a)
			}
		}
		check()
		sim.awaitLeader().restart()
		sim.awaitLeader()
		check()
		for _, n := range sim.nodes {
			n.restart()
		}
		sim.awaitLeader()
		check()
		sim.runToCompletion("000001")
		sim.awaitArchived(5)
		check2 := sim.poll("000001")
		if check2.State != api.StateDone || check2.Done != 2 {
			t.Errorf("%+v", check2)
		}
	})
}

// With the archive off nothing of it is stored, and a job that is over stays in the journal.
func TestDisabledArchiveStoresNothing(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		time.Sleep(2 * time.Minute)
		status := sim.archiveStatus()
		if len(sim.state.Keys("archive")) > 0 || status.Backlog != 1 || status.Gate.Used {
			t.Errorf("%v, %+v", sim.state.Keys("archive"), status)
		}
		for _, n := range sim.nodes {
			if n.node.archive.Index.Stats().Complete {
				t.Errorf("%s has read an archive", n.name)
			}
		}
	})
}

// A user who was told only that the job is pending is told that it is done, once it is archived: by a node that has never heard of it before.
func TestPollAfterPendingReturnsArchivedState(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		s := clustertest.Array("000001", 2)
		s.EstimateS = 3
		sim.submit(s)
		sim.awaitArchived(1)
		sim.checkFinalState("000001", api.StateDone)
	})
}

// A job that is open in the journal and final in the archive is final: its tasks are stopped.
func TestArchivedStateOverridesJournal(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunning("000002", 2)
		for _, n := range sim.nodes {
			n.kill()
		}
		rank, _ := archive.ParseJobNumber("000002")
		one, _ := archive.ParseJobNumber("000001")
		ops, err := archive.Build([]archive.Entry{{Number: one, FinalState: archive.FinalState{Done: 2}}, {Number: rank, FinalState: archive.FinalState{Cancelled: true}}}, &sim.settings.State)
		if err != nil || len(ops) != 1 {
			t.Fatal(ops, err)
		}
		if _, err := sim.state.Apply(nil, ops); err != nil {
			t.Fatal(err)
		}
		sim.withLock(func() { sim.cancelRequested["000002"] = true })
		for _, n := range sim.nodes {
			n.start()
		}
		sim.awaitLeader()
		sim.eventually("cancelled", 20*time.Second, func() bool { return sim.poll("000002").State == api.StateCancelled })
		sim.awaitStopped("000002")
		sim.awaitArchived(2)
		sim.checkFinalState("000002", api.StateCancelled)
	})
}

// The limits fall below the pages that are stored: they are told as ever, and further jobs are archived.
func TestArchiveAfterLimitsAreLowered(t *testing.T) {
	next := &storage.Limits{ChangesPerS: 30, ValueBytes: 2048, TxnOps: 8}
	runSimulationWithTuning(t, func(s *config.Settings) { s.State.Next = next }, func(tuning *config.Tuning) { tuning.Archive.Enabled, tuning.Archive.KeepInJournal = true, 0 }, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(1500)
		sim.state.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = next.ValueBytes, next.TxnOps })
		var ids []string
		for i := range 20 {
			ids = append(ids, fmt.Sprintf("%09d", 1_000_000+i))
		}
		sim.runToCompletion(ids...)
		sim.awaitArchived(1520)
		sim.checkFinalState(ids[3], api.StateDone)
		sim.checkFinalState(archivedJobID(700), api.StateDone)
	})
}

// archivedJobID is the id of a job of a seeded archive.
func archivedJobID(i int) string { return fmt.Sprintf("%018d", (i+1)*1_000_003) }

// seedArchive stores an archive, as an earlier leader left it: its gate is in use.
func (sim *simulation) seedArchive(jobs int) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
	entries := make([]archive.Entry, 0, jobs)
	for i := range jobs {
		rank, _ := archive.ParseJobNumber(archivedJobID(i))
		entries = append(entries, archive.Entry{Number: rank, FinalState: archive.FinalState{Done: i % 50}})
	}
	ops, err := archive.Build(entries, &sim.settings.State)
	if err == nil {
		_, err = sim.state.Apply(nil, ops)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	record, err := upgrade.MarkGateUsed(sim.clusterRecord(), upgrade.JobArchive, sim.clusterRecord().Term)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.writeKey(leadership.ClusterKey, record)
	for _, n := range sim.nodes {
		n.start()
	}
	sim.awaitLeader()
}

// A take-over beside an archive of a million jobs takes no longer than beside none, and a job is accepted at once by
// a leader that has just been started.
func TestFailoverWithMillionArchivedJobs(t *testing.T) {
	takeOver := func(jobs int) (answered, accepted time.Duration) {
		runArchiveSimulation(t, 0, func(sim *simulation) {
			sim.awaitActive(upgrade.Current, time.Minute)
			sim.submit(clustertest.Service("000001", 2))
			sim.seedArchive(jobs)
			lead := sim.awaitLeader()
			lead.kill()
			began := time.Now()
			for decided := false; !decided; time.Sleep(10 * time.Millisecond) {
				if lead := sim.leader(); lead != nil {
					a := sim.requestFrom(lead, api.OpPoll, "000001", storage.Spec{})
					decided = a.Decided()
				}
			}
			answered = time.Since(began)
			sim.submit(clustertest.Array("000002", 2))
			accepted = time.Since(began)
			lead.start()
			sim.checkFinalState(archivedJobID(jobs-1), api.StateDone)
		})
		return answered, accepted
	}
	answered, accepted := takeOver(1)
	answeredMillion, acceptedMillion := takeOver(1_000_000)
	t.Log(answered, accepted, answeredMillion, acceptedMillion)
	if answeredMillion > answered+answered/10 || acceptedMillion > accepted+time.Second {
		t.Errorf("answered after %v beside none, %v beside a million; accepted after %v, %v", answered, answeredMillion, accepted, acceptedMillion)
	}
}

// Two finished jobs stay in the journal if they are to be kept.
func TestJournalKeepsLatestFinishedJobs(t *testing.T) {
	runArchiveSimulation(t, 2, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001", "000002")
		time.Sleep(time.Minute)
		if s := sim.archiveStatus(); s.Backlog != 2 || s.Stored.Jobs != 0 || s.Gate.Used {
			t.Errorf("%+v", s)
		}
		sim.runToCompletion("000003")
		sim.eventually("archived", time.Minute, func() bool { s := sim.archiveStatus(); return s.Stored.Jobs > 0 && s.Backlog <= 2 })
	})
}

// Page records of a job whose removal was cut short are cleaned up, and what they say of unknown jobs counts for nothing.
func TestOrphanPageRecordsAreRemoved(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		for _, n := range sim.nodes {
			n.kill()
		}
		chunks := sim.state.Keys("log/")
		var next uint64
		if _, err := fmt.Sscanf(chunks[len(chunks)-1], "log/%d", &next); err != nil {
			t.Fatal(err)
		}
		page, err := storage.NewRecord(storage.PageKey("000001", 0), storage.PageRecord{Done: []int{0, 1}})
		if err != nil {
			t.Fatal(err)
		}
		data, err := storage.EncodeChunk([]storage.Record{page})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sim.state.Apply(nil, []storage.Op{{Key: storage.ChunkKey(next + 1), Data: data}}); err != nil {
			t.Fatal(err)
		}
		for _, n := range sim.nodes {
			n.start()
		}
		sim.awaitLeader()
		sim.eventually("removed", 20*time.Second, func() bool {
			journal, err := storage.OpenJournal(context.Background(), &storagetest.Client{Service: sim.state}, storage.NewLimitTracker(sim.settings.State), storage.Guard{})
			if err != nil {
				return false
			}
			for _, r := range journal.Records() {
				if r.Key[0] == storage.KindPage {
					return false
				}
			}
			return true
		})
		sim.checkFinalState("000001", api.StateDone)
	})
}
