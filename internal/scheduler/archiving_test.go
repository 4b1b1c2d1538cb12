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

// archivePagePrefix is the prefix of the keys of archive pages.
const archivePagePrefix = "archive/page/"

// runArchiveSimulation runs a scenario with the archive enabled. While the journal has more than keepInJournal finished jobs,
// the leader archives finished jobs.
func runArchiveSimulation(t *testing.T, keepInJournal int, scenario func(sim *simulation)) {
	t.Helper()
	runSimulationWithTuning(t, func(*config.Settings) {}, enableArchive(keepInJournal), scenario)
}

// enableArchive returns a change of the tuning that enables the archive.
func enableArchive(keepInJournal int) func(*config.Tuning) {
	return func(tuning *config.Tuning) {
		tuning.Archive.Enabled, tuning.Archive.KeepInJournal = true, keepInJournal
	}
}

// archiveStatus returns the status of the archive as operators read it.
func (sim *simulation) archiveStatus() ArchiveStatus {
	sim.t.Helper()
	status, err := ReadArchiveStatus(context.Background(), &storagetest.Client{Service: sim.store}, &sim.settings)
	if err != nil {
		sim.t.Fatal(err)
	}
	return status
}

// awaitArchived waits until exactly the given number of jobs is archived and no finished job is left in the journal.
func (sim *simulation) awaitArchived(jobs int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d jobs archived", jobs), 2*time.Minute, func() bool {
		status := sim.archiveStatus()
		return status.Stored.Jobs == jobs && status.FinishedInJournal == 0 && len(status.Stored.Damaged) == 0
	})
}

// runToCompletion submits short jobs and waits until they are done.
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

// checkFinalState checks that every node responds to polls, submissions and cancellations of a finished job with the job's
// final state.
func (sim *simulation) checkFinalState(id string, want api.JobState) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
			var response api.Response
			for range 20 {
				if response = sim.requestFrom(n, op, id, clustertest.Array(id, 2)); response.HasResult() {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			if response.Code != api.CodeOK || response.State != want {
				sim.t.Errorf("%s: %v of job %s: got %+v, want state %v", n.name, op, id, response, want)
			}
		}
	}
}

// Every node responds to requests for archived jobs with the jobs' final states. This holds under the leader that archived
// the jobs, under the next leader, and after a restart of all controllers. The job IDs include both ends of the range of IDs.
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
			if response := sim.poll("000001"); response.Code != api.CodeNotFound {
				t.Errorf("poll of an unknown job returns %+v, want code %v", response, api.CodeNotFound)
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
		if response := sim.poll("000001"); response.State != api.StateDone || response.Done != 2 {
			t.Errorf("poll of the last job returns %+v, want it done with 2 tasks", response)
		}
	})
}

func TestDisabledArchiveStoresNothing(t *testing.T) {
	runSimulation(t, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		time.Sleep(2 * time.Minute)
		status := sim.archiveStatus()
		if len(sim.store.Keys("archive")) > 0 || status.FinishedInJournal != 1 || status.Gate.Used {
			t.Errorf("stored keys %v, status %+v; want no keys and a backlog of one job", sim.store.Keys("archive"), status)
		}
		for _, n := range sim.nodes {
			if n.node.archive.Index.Stats().Complete {
				t.Errorf("%s has read the archive although it is disabled", n.name)
			}
		}
	})
}

// The last response to a user reported a job as pending. After the job is archived, every node reports it as done, even a
// node that has never responded to a request for this job.
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

// If a job is open in the journal but finished in the archive, the archive takes precedence: the job counts as finished, and
// its tasks are stopped.
func TestArchivedStateOverridesJournal(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		sim.submit(clustertest.Service("000002", 2))
		sim.awaitRunning("000002", 2)
		sim.killAll()
		ops, err := archive.Build([]archive.Entry{
			{Number: jobNumber(t, "000001"), FinalState: archive.FinalState{Done: 2}},
			{Number: jobNumber(t, "000002"), FinalState: archive.FinalState{Cancelled: true}},
		}, &sim.settings.State)
		if err != nil || len(ops) != 1 {
			t.Fatalf("Build() = %v, %v, want one operation", ops, err)
		}
		if _, err := sim.store.Apply(nil, ops); err != nil {
			t.Fatal(err)
		}
		sim.withLock(func() { sim.cancelRequested["000002"] = true })
		sim.startAll()
		sim.awaitLeader()
		sim.eventually("job 000002 is cancelled", 20*time.Second, func() bool { return sim.poll("000002").State == api.StateCancelled })
		sim.awaitStopped("000002")
		sim.awaitArchived(2)
		sim.checkFinalState("000002", api.StateCancelled)
	})
}

// After the limits of the key-value store are lowered, archive pages that exceed the new limits remain readable, and further
// jobs are archived.
func TestArchiveAfterLimitsAreLowered(t *testing.T) {
	next := &storage.Limits{ChangesPerS: 30, ValueBytes: 2048, TxnOps: 8}
	runSimulationWithTuning(t, func(s *config.Settings) { s.State.Next = next }, enableArchive(0), func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(1500)
		sim.store.Update(func(s *storagetest.Service) { s.ValueBytes, s.TxnOps = next.ValueBytes, next.TxnOps })
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

// archivedJobID returns the ID of the i-th job of a seeded archive.
func archivedJobID(i int) string { return fmt.Sprintf("%018d", (i+1)*1_000_003) }

// jobNumber parses a job ID.
func jobNumber(tb testing.TB, id string) archive.JobNumber {
	tb.Helper()
	number, ok := archive.ParseJobNumber(id)
	if !ok {
		tb.Fatalf("job ID %q is invalid", id)
	}
	return number
}

// seedArchive stops the controllers, stores an archive and marks the archive's feature gate as used, as if an earlier
// leader had archived the jobs. Then it starts the controllers again.
func (sim *simulation) seedArchive(jobs int) {
	sim.t.Helper()
	sim.killAll()
	time.Sleep(time.Minute)
	entries := make([]archive.Entry, 0, jobs)
	for i := range jobs {
		number := jobNumber(sim.t, archivedJobID(i))
		entries = append(entries, archive.Entry{Number: number, FinalState: archive.FinalState{Done: i % 50}})
	}
	ops, err := archive.Build(entries, &sim.settings.State)
	if err == nil {
		_, err = sim.store.Apply(nil, ops)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	record, err := upgrade.MarkGateUsed(sim.clusterRecord(), upgrade.JobArchive, sim.clusterRecord().Term)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.writeKey(leadership.ClusterKey, record)
	sim.startAll()
	sim.awaitLeader()
}

// A failover with a million archived jobs is compared to a failover with one archived job. With a million, the time until the
// new leader responds to a poll is at most 10% longer, and the time until it accepts a job is at most a second longer.
func TestFailoverWithMillionArchivedJobs(t *testing.T) {
	failover := func(jobs int) (answered, accepted time.Duration) {
		runArchiveSimulation(t, 0, func(sim *simulation) {
			sim.awaitActive(upgrade.Current, time.Minute)
			sim.submit(clustertest.Service("000001", 2))
			sim.seedArchive(jobs)
			leader := sim.awaitLeader()
			leader.kill()
			began := time.Now()
			for decided := false; !decided; time.Sleep(10 * time.Millisecond) {
				if leader := sim.leader(); leader != nil {
					response := sim.requestFrom(leader, api.OpPoll, "000001", storage.Spec{})
					decided = response.HasResult()
				}
			}
			answered = time.Since(began)
			sim.submit(clustertest.Array("000002", 2))
			accepted = time.Since(began)
			leader.start()
			sim.checkFinalState(archivedJobID(jobs-1), api.StateDone)
		})
		return answered, accepted
	}
	answered, accepted := failover(1)
	answeredMillion, acceptedMillion := failover(1_000_000)
	t.Logf("answered after %v, accepted after %v; with a million jobs %v, %v", answered, accepted, answeredMillion, acceptedMillion)
	if answeredMillion > answered+answered/10 || acceptedMillion > accepted+time.Second {
		t.Errorf("answered after %v with a million archived jobs, %v with one; accepted after %v, %v", answeredMillion, answered, acceptedMillion, accepted)
	}
}

// No job is archived until the journal has more finished jobs than it should keep.
func TestJournalKeepsLatestFinishedJobs(t *testing.T) {
	runArchiveSimulation(t, 2, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001", "000002")
		time.Sleep(time.Minute)
		if status := sim.archiveStatus(); status.FinishedInJournal != 2 || status.Stored.Jobs != 0 || status.Gate.Used {
			t.Errorf("status %+v, want a backlog of two jobs and nothing archived", status)
		}
		sim.runToCompletion("000003")
		sim.eventually("finished jobs are archived", time.Minute, func() bool {
			status := sim.archiveStatus()
			return status.Stored.Jobs > 0 && status.FinishedInJournal <= 2
		})
	})
}

// If the removal of a job from the journal is interrupted, the job's task page records may remain there without a job record.
// The next leader removes these page records, and creates no job for them.
func TestOrphanPageRecordsAreRemoved(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		sim.killAll()
		chunks := sim.store.Keys("log/")
		var lastChunk uint64
		if _, err := fmt.Sscanf(chunks[len(chunks)-1], "log/%d", &lastChunk); err != nil {
			t.Fatal(err)
		}
		page, err := storage.NewRecord(storage.TaskPageKey("000001", 0), storage.TaskPageRecord{Done: []int{0, 1}})
		if err != nil {
			t.Fatal(err)
		}
		data, err := storage.EncodeChunk([]storage.Record{page})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := sim.store.Apply(nil, []storage.Op{{Key: storage.ChunkKey(lastChunk + 1), Data: data}}); err != nil {
			t.Fatal(err)
		}
		sim.startAll()
		sim.awaitLeader()
		sim.eventually("the page record is removed", 20*time.Second, func() bool {
			journal, err := storage.OpenJournal(context.Background(), &storagetest.Client{Service: sim.store}, storage.NewLimitTracker(sim.settings.State), storage.Guard{})
			if err != nil {
				return false
			}
			for _, r := range journal.Records() {
				if r.Key[0] == storage.KindTaskPage {
					return false
				}
			}
			return true
		})
		sim.checkFinalState("000001", api.StateDone)
	})
}
