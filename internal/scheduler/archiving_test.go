package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
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

const archivePrefix = "archive/page/"

// inArchiving runs a scenario whose finished jobs are archived, but for so many.
func inArchiving(t *testing.T, keep int, story func(sim *simulation)) {
	t.Helper()
	runSimulationWithTuning(t, func(*config.Settings) {}, func(tuning *config.Tuning) { tuning.Archive.Enabled, tuning.Archive.KeepInJournal = true, keep }, story)
}

// status is what an operator is told of the archive.
func (sim *simulation) status() ArchiveStatus {
	sim.t.Helper()
	status, err := ReadArchiveStatus(context.Background(), &storagetest.Client{Service: sim.state}, &sim.settings)
	if err != nil {
		sim.t.Fatal(err)
	}
	return status
}

// archivedAll waits until so many jobs are archived, and none of the finished ones is left in the journal.
func (sim *simulation) archivedAll(jobs int) {
	sim.t.Helper()
	sim.eventually(fmt.Sprintf("%d jobs archived", jobs), 2*time.Minute, func() bool {
		status := sim.status()
		return status.Stored.Jobs == jobs && status.Backlog == 0 && len(status.Stored.Damaged) == 0
	})
}

// finish has short jobs be run to their end.
func (sim *simulation) finish(ids ...string) {
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

// told checks what every node tells of a job that is over, whatever is asked.
func (sim *simulation) told(id string, want api.JobState) {
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
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.submit(clustertest.Service("000000", 2))
		sim.awaitRunning("000000", 2)
		sim.cancel("000000")
		sim.finish("999999999999999999", "0000000", "555555")
		sim.archivedAll(4)
		check := func() {
			sim.t.Helper()
			sim.told("000000", api.StateCancelled)
			for _, id := range []string{"999999999999999999", "0000000", "555555"} {
				sim.told(id, api.StateDone)
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
		sim.finish("000001")
		sim.archivedAll(5)
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
		sim.finish("000001")
		time.Sleep(2 * time.Minute)
		status := sim.status()
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

// isArchiveWrite and isRemoval tell the two steps of a move by their transactions.
func isArchiveWrite(txn storagetest.Txn) bool {
	return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, archivePrefix)
}

func isRemoval(id string) func(storagetest.Txn) bool {
	return func(txn storagetest.Txn) bool {
		return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, "log/") && strings.Contains(string(txn.Ops[0].Data), `["j`+id+`"]`)
	}
}

// once calls f for the first transaction that is of the kind.
func once(kind func(storagetest.Txn) bool, f func()) func(storagetest.Txn) {
	var happened atomic.Bool
	return func(txn storagetest.Txn) {
		if kind(txn) && happened.CompareAndSwap(false, true) {
			f()
		}
	}
}

// The leader ends before, between and after the two steps of a move, or their answers are lost or their requests come
// late, while users ask at every node all the time.
func TestArchiveMoveSurvivesFaults(t *testing.T) {
	first := func(kind func(storagetest.Txn) bool, d time.Duration) func(storagetest.Txn) time.Duration {
		var happened atomic.Bool
		return func(txn storagetest.Txn) time.Duration {
			if kind(txn) && happened.CompareAndSwap(false, true) {
				return d
			}
			return 0
		}
	}
	for name, trouble := range map[string]func(sim *simulation, s *storagetest.Service){
		"ends before the archive's write": func(sim *simulation, s *storagetest.Service) {
			s.Drop = func(txn storagetest.Txn) bool { return isArchiveWrite(txn) && sim.dropOnce(sim.leader) }
		},
		"ends with the archive's write": func(sim *simulation, s *storagetest.Service) {
			s.Before = once(isArchiveWrite, func() { go sim.leader().kill() })
		},
		"ends before the removal": func(sim *simulation, s *storagetest.Service) {
			s.Drop = func(txn storagetest.Txn) bool { return isRemoval("000001")(txn) && sim.dropOnce(sim.leader) }
		},
		"ends with the removal": func(sim *simulation, s *storagetest.Service) {
			s.Before = once(isRemoval("000001"), func() { go sim.leader().kill() })
		},
		"the write's answer is lost": func(_ *simulation, s *storagetest.Service) {
			s.Lose = func(txn storagetest.Txn) bool { return isArchiveWrite(txn) }
		},
		"the removal's answer is lost": func(_ *simulation, s *storagetest.Service) { s.Lose = isRemoval("000001") },
		"the write comes late":         func(_ *simulation, s *storagetest.Service) { s.Late = first(isArchiveWrite, 9*time.Second) },
		"the removal comes late":       func(_ *simulation, s *storagetest.Service) { s.Late = first(isRemoval("000001"), 9*time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			inArchiving(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.submit(clustertest.Service("000009", 2))
				sim.finish("000007") // the gate is in use, and a page is there
				sim.archivedAll(1)
				sim.state.Update(func(s *storagetest.Service) { trouble(sim, s) })
				s := clustertest.Array("000001", 2)
				s.EstimateS = 3
				sim.submit(s)
				stop := sim.askAll("000001", s)
				sim.awaitDone("000001")
				time.Sleep(20 * time.Second)
				for _, n := range sim.nodes {
					if n.cancelRun == nil {
						n.start()
					}
				}
				sim.state.Update(func(s *storagetest.Service) { s.Lose = nil })
				sim.awaitLeader()
				sim.archivedAll(2)
				stop()
				sim.told("000001", api.StateDone)
				sim.told("000007", api.StateDone)
				sim.awaitRunning("000009", 2)
			})
		})
	}
}

// dropOnce kills the leader the first time, and has what it sent be lost.
func (sim *simulation) dropOnce(leader func() *fakeNode) bool {
	if !sim.messagesDropped.CompareAndSwap(false, true) {
		return false
	}
	go leader().kill()
	return true
}

// askAll has users poll for a job and submit it again at every node, within milliseconds of each other, until stopped.
func (sim *simulation) askAll(id string, spec storage.Spec) (stop func()) {
	var over atomic.Bool
	var wait sync.WaitGroup
	for _, n := range sim.nodes {
		for _, op := range []api.Op{api.OpPoll, api.OpSubmit} {
			wait.Go(func() {
				for !over.Load() {
					sim.requestFrom(n, op, id, spec)
					time.Sleep(7 * time.Millisecond)
				}
			})
		}
	}
	return func() { over.Store(true); wait.Wait() }
}

// A user who was told only that the job is pending is told that it is done, once it is archived: by a node that has never heard of it before.
func TestPollAfterPendingReturnsArchivedState(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		s := clustertest.Array("000001", 2)
		s.EstimateS = 3
		sim.submit(s)
		sim.archivedAll(1)
		sim.told("000001", api.StateDone)
	})
}

// While the state service is out archived jobs are told by every node that held their pages, and what isn't known isn't accepted
// nor called unknown.
func TestArchivedJobsAnsweredDuringStoreOutage(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001", "000002")
		sim.archivedAll(2)
		time.Sleep(2 * sim.settings.WorkerLease) // the followers look
		sim.state.Outage(true)
		defer sim.state.Outage(false)
		for range 30 {
			for _, n := range sim.nodes {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if a := sim.requestFrom(n, op, "000002", clustertest.Array("000002", 2)); a.Code != api.CodeOK || a.State != api.StateDone {
						t.Fatalf("%s answers %v by %+v", n.name, op, a)
					}
					if a := sim.requestFrom(n, op, "000003", clustertest.Array("000003", 2)); a.Code == api.CodeCreated || a.Code == api.CodeOK {
						t.Fatalf("%s answers %v of an unknown job by %+v", n.name, op, a)
					}
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// A new leader whose view of the archive is old, and who can't read it, calls no job unknown and accepts none: the jobs that the
// leader before it archived last are in pages that it hasn't seen.
func TestNewLeaderWithStaleArchiveIndex(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001")
		sim.archivedAll(1)
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.finish("000002")
		sim.archivedAll(2)
		lead := sim.awaitLeader()
		// Reads of the archive fail for the new leader; all else is answered.
		sim.state.Update(func(s *storagetest.Service) {
			s.Refuse = func(key string) bool { return strings.HasPrefix(key, archivePrefix) }
		})
		lead.kill()
		next := sim.awaitLeader()
		for range 10 {
			for _, id := range []string{"000002", "000003"} {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if a := sim.requestFrom(next, op, id, clustertest.Array(id, 2)); a.Decided() && !a.Final() {
						t.Fatalf("%v of job %s is answered %+v", op, id, a)
					}
				}
			}
			time.Sleep(time.Second)
		}
		sim.state.Update(func(s *storagetest.Service) { s.Refuse = nil })
		lead.start()
		sim.told("000002", api.StateDone)
		sim.finish("000003")
	})
}

// A damaged page is told by 503 with its key, never by 404, and its ids are not accepted anew; others go on.
func TestDamagedArchivePage(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001")
		sim.archivedAll(1)
		key := sim.state.Keys(archivePrefix)[0]
		sim.apply(key, "AAAA")
		for _, n := range sim.nodes {
			n.restart()
		}
		lead := sim.awaitLeader()
		for range 5 {
			for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
				for _, id := range []string{"000001", "000002"} {
					if a := sim.requestFrom(lead, op, id, clustertest.Array(id, 2)); a.Code != api.CodeUnavailable || a.RetrySeconds < 1 || !strings.Contains(a.Reason, key) && !strings.Contains(a.Reason, "too many") {
						t.Errorf("%v of job %s is answered %+v", op, id, a)
					}
				}
			}
			time.Sleep(time.Second)
		}
		if status := sim.status(); len(status.Stored.Damaged) != 1 || !strings.Contains(status.Stored.Damaged[0], key) {
			t.Errorf("%+v", status)
		}
	})
}

// A burst of polls for jobs that nobody submitted, at a leader that holds no pages, starves neither its lease nor commits.
func TestUnknownPollsDoNotStarveLeader(t *testing.T) {
	runSimulationWithTuning(t, func(*config.Settings) {}, func(tuning *config.Tuning) {
		tuning.Archive = config.Archive{Enabled: true, MemoryBytes: 1}
	}, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001")
		sim.archivedAll(1)
		lead := sim.awaitLeader()
		term := lead.node.view.Load().role.Term
		var busy, unknown atomic.Int64
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Go(func() {
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					switch a := sim.requestFrom(lead, api.OpPoll, fmt.Sprintf("%09d", i), storage.Spec{}); a.Code {
					case api.CodeNotFound:
						unknown.Add(1)
					case api.CodeUnavailable:
						busy.Add(1)
					}
				}
			})
		}
		time.Sleep(5 * time.Second)
		began := time.Now()
		s := clustertest.Array("000002", 2)
		s.EstimateS = 3
		sim.submit(s)
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("accepted after %v", took)
		}
		sim.awaitDone("000002")
		wait.Wait()
		if sim.awaitLeader() != lead || lead.node.view.Load().role.Term != term {
			t.Error("the lead was lost")
		}
		if most := sim.settings.State.RequestsPerS * 0.05 * 21; float64(unknown.Load()) > most+5 || busy.Load() == 0 {
			t.Errorf("%d answered of at most %v, %d refused", unknown.Load(), most, busy.Load())
		}
	})
}

// A job that is open in the journal and final in the archive is final: its tasks are stopped.
func TestArchivedStateOverridesJournal(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001")
		sim.archivedAll(1)
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
		sim.archivedAll(2)
		sim.told("000002", api.StateCancelled)
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
		sim.finish(ids...)
		sim.archivedAll(1520)
		sim.told(ids[3], api.StateDone)
		sim.told(archivedID(700), api.StateDone)
	})
}

// archivedID is the id of a job of a seeded archive.
func archivedID(i int) string { return fmt.Sprintf("%018d", (i+1)*1_000_003) }

// seedArchive stores an archive, as an earlier leader left it: its gate is in use.
func (sim *simulation) seedArchive(jobs int) {
	sim.t.Helper()
	for _, n := range sim.nodes {
		n.kill()
	}
	time.Sleep(time.Minute)
	entries := make([]archive.Entry, 0, jobs)
	for i := range jobs {
		rank, _ := archive.ParseJobNumber(archivedID(i))
		entries = append(entries, archive.Entry{Number: rank, FinalState: archive.FinalState{Done: i % 50}})
	}
	ops, err := archive.Build(entries, &sim.settings.State)
	if err == nil {
		_, err = sim.state.Apply(nil, ops)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	record, err := upgrade.MarkGateUsed(sim.cluster(), upgrade.JobArchive, sim.cluster().Term)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.apply(leadership.ClusterKey, record)
	for _, n := range sim.nodes {
		n.start()
	}
	sim.awaitLeader()
}

// A take-over beside an archive of a million jobs takes no longer than beside none, and a job is accepted at once by
// a leader that has just been started.
func TestFailoverWithMillionArchivedJobs(t *testing.T) {
	takeOver := func(jobs int) (answered, accepted time.Duration) {
		inArchiving(t, 0, func(sim *simulation) {
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
			sim.told(archivedID(jobs-1), api.StateDone)
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

// A controller goes back: the archive is brought back into the journal in steps, whoever leads, and the older one leads then and
// knows all jobs. Afterwards the fleet is upgraded again.
func TestRollbackRestoresArchive(t *testing.T) {
	for kills := range 3 {
		t.Run(fmt.Sprint(kills), func(t *testing.T) {
			inArchiving(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.seedArchive(2000)
				sim.finish("000001")
				sim.submit(clustertest.Service("000002", 2))
				sim.cancel("000002")
				sim.archivedAll(2002)
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
				if status := sim.status(); status.Stored.Pages != 0 || status.Backlog != 2002 {
					t.Errorf("%+v", status)
				}
				sim.allAt(upgrade.Version3)
				sim.awaitLeader()
				sim.told("000001", api.StateDone)
				sim.told("000002", api.StateCancelled)
				sim.told(archivedID(1234), api.StateDone)
				if a := sim.poll(archivedID(1234)); a.Done != 1234%50 {
					t.Errorf("%+v", a)
				}
				sim.allAt(upgrade.Current)
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.archivedAll(2002)
				sim.told("000001", api.StateDone)
			})
		})
	}
}

// A withdrawal that is halted halfway, and taken back: jobs are in the journal, in the archive, or in both, and are told
// as ever.
func TestHaltedArchiveWithdrawal(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.seedArchive(3000)
		back := sim.nodes[0]
		if sim.awaitLeader() == back {
			back = sim.nodes[1]
		}
		back.restartWithVersion(upgrade.Version3)
		sim.eventually("some are back", time.Minute, func() bool { s := sim.status(); return s.Backlog > 0 && s.Stored.Jobs > 0 })
		back.restartWithVersion(upgrade.Current)
		for i := range 5 {
			sim.told(archivedID(i*700), api.StateDone)
		}
		sim.awaitLeader().restart()
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.archivedAll(3000)
		for i := range 5 {
			sim.told(archivedID(i*700), api.StateDone)
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
		sim.eventually("told why", time.Minute, func() bool { return strings.Contains(sim.status().Waiting, "fit in memory") })
		if s := sim.status(); s.Backlog > 0 || !strings.Contains(s.Waiting, "gate job-archive can't be withdrawn for node "+back.name) {
			t.Errorf("%+v", s)
		}
		sim.told(archivedID(77), api.StateDone)
	})
}

// 3661d31 and af96c21 come back beside an archive: neither takes the lead, though nobody else holds it.
func TestUnregisteredVersionsCannotLeadWithArchive(t *testing.T) {
	for _, told := range []int{0, 2} {
		t.Run(fmt.Sprint(told), func(t *testing.T) {
			inArchiving(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.finish("000001")
				sim.archivedAll(1)
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
				if n := old.led.Load(); n > 0 {
					t.Errorf("it led %d times", n)
				}
				back.kill()
				for _, n := range sim.nodes {
					n.start()
				}
				sim.awaitLeader()
				sim.told("000001", api.StateDone)
			})
		})
	}
}

// Two finished jobs stay in the journal if they are to be kept.
func TestJournalKeepsLatestFinishedJobs(t *testing.T) {
	inArchiving(t, 2, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001", "000002")
		time.Sleep(time.Minute)
		if s := sim.status(); s.Backlog != 2 || s.Stored.Jobs != 0 || s.Gate.Used {
			t.Errorf("%+v", s)
		}
		sim.finish("000003")
		sim.eventually("archived", time.Minute, func() bool { s := sim.status(); return s.Stored.Jobs > 0 && s.Backlog <= 2 })
	})
}

// Page records of a job whose removal was cut short are cleaned up, and what they say of unknown jobs counts for nothing.
func TestOrphanPageRecordsAreRemoved(t *testing.T) {
	inArchiving(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.finish("000001")
		sim.archivedAll(1)
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
		sim.told("000001", api.StateDone)
	})
}

// Random days: submissions, cancels, ends of leaders, writes that are lost, late or unanswered, outages, cuts of one node, and
// controllers that go back and forth. Every answer is held against what any node told before.
func TestArchiveUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inArchiving(t, int(seed%2)*5, func(sim *simulation) { sim.randomDay(rand.New(rand.NewPCG(seed, 26))) })
		})
	}
}

func (sim *simulation) randomDay(random *rand.Rand) {
	sim.awaitActive(upgrade.Current, time.Minute)
	sim.submit(clustertest.Service("900000", 3))
	next := 1
	for range 60 {
		switch random.IntN(12) {
		case 0, 1, 2, 3:
			s := clustertest.Array(fmt.Sprintf("%06d", next), 1+random.IntN(3))
			s.EstimateS = 1 + 3*random.Float64()
			sim.submit(s)
			next++
		case 4:
			if id := fmt.Sprintf("%06d", 1+random.IntN(next)); sim.knows(id) {
				sim.request(api.OpCancel, id, storage.Spec{})
			}
		case 5:
			sim.crash(sim.nodes[random.IntN(len(sim.nodes))], time.Duration(random.IntN(6000))*time.Millisecond)
		case 6:
			sim.state.Update(func(s *storagetest.Service) { s.LoseAnswers = 1 + random.IntN(3) })
		case 7:
			sim.delayCommits(2+random.IntN(6), time.Duration(random.IntN(20_000))*time.Millisecond)
		case 8:
			sim.outage(time.Duration(random.IntN(15_000)) * time.Millisecond)
		case 9:
			n := sim.nodes[random.IntN(len(sim.nodes))]
			n.cutStore.Store(true)
			time.AfterFunc(time.Duration(random.IntN(20_000))*time.Millisecond, func() { n.cutStore.Store(false) })
		default:
			id := fmt.Sprintf("%06d", 1+random.IntN(next+2))
			for _, n := range sim.nodes {
				sim.requestFrom(n, api.OpPoll, id, storage.Spec{})
			}
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	sim.state.Update(func(s *storagetest.Service) { s.LoseAnswers, s.Delay = 0, nil })
	time.Sleep(time.Minute)
	sim.awaitLeader()
	for i := range next - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.eventually(id+" over", 3*time.Minute, func() bool { a := sim.poll(id); return a.Final() })
	}
	sim.eventually("archived", 2*time.Minute, func() bool { return sim.status().Backlog <= sim.settings.Tuning.Archive.KeepInJournal })
	for i := range next - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.told(id, sim.poll(id).State)
	}
	sim.awaitRunning("900000", 3)
}

// knows tells whether a user was told of a job.
func (sim *simulation) knows(id string) bool {
	known := false
	sim.withLock(func() { _, known = sim.reportedStates[id] })
	return known
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

// A page that was read in another term, or not at all, is no proof that a job isn't archived: the term of whoever asks may
// be over.
func TestArchiveReadOfAnotherTermIsInconclusive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		for _, c := range []struct {
			result archive.Result
			want   api.Code
		}{
			{archive.Result{Knowledge: archive.Absent, Term: d.term + 1}, api.CodeUnavailable},
			{archive.Result{Knowledge: archive.Absent}, api.CodeUnavailable},
			{archive.Result{}, api.CodeUnavailable},
			{archive.Result{Knowledge: archive.Absent, Term: d.term}, api.CodeNotFound},
			{archive.Result{Knowledge: archive.Found, Final: archive.FinalState{Done: 1}}, api.CodeOK},
		} {
			reply := make(chan api.Response, 1)
			d.handleArchiveRead(archiveReadMessage{user: userMessage{req: api.Request{Op: api.OpPoll, ID: "000001"}, reply: reply}, result: c.result})
			if a := <-reply; a.Code != c.want {
				t.Errorf("%+v is answered %+v", c.result, a)
			}
		}
	})
}

// While an offer to the archive is under way its answer may still remove jobs from the journal: nothing is brought back
// then, and the gate counts as used though no page holds anything yet.
func TestArchivingInProgressCountsAsGateUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		rank, _ := archive.ParseJobNumber("000001")
		restore := func() error {
			reply := make(chan error, 1)
			d.restoreArchived(restoreMessage{[]archive.Entry{{Number: rank}}, reply})
			d.commitPending(nil)
			return <-reply
		}
		uses := func() int {
			go func() { (<-d.mailbox).handle(d) }()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			go func() { _ = d.journal.Run(ctx) }()
			usage, err := termGates{d, d.journal}.CountGateUses(ctx, d.gates)
			if err != nil {
				t.Fatal(err)
			}
			return usage[upgrade.JobArchive]
		}
		if uses() != 0 {
			t.Error("an idle leader uses the gate")
		}
		d.archiving = true
		if err := restore(); !errors.Is(err, errArchivingInProgress) || d.state.Jobs.Get("000001") != nil {
			t.Errorf("brought back: %v", err)
		}
		if uses() == 0 {
			t.Error("an offer under way is no use")
		}
		d.archiving = false
		if err := restore(); err != nil || d.state.Jobs.Get("000001") == nil {
			t.Errorf("not brought back: %v", err)
		}
	})
}

// What was archived in a term stays to be looked for in it, though the gate's release is on its way and may be taken back.
func TestArchiveStaysInUseUntilTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestScheduler(t, clustertest.Settings())
		if d.archiveUsed {
			t.Error("used from the start")
		}
		used := upgrade.Initial()
		used.Gates = map[upgrade.GateName]upgrade.GateState{upgrade.JobArchive: {Since: upgrade.Version4, Phase: upgrade.GateOpen, Used: true}}
		d.setGates(used)
		d.setGates(upgrade.Initial())
		if !d.archiveUsed {
			t.Error("no longer used")
		}
	})
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
