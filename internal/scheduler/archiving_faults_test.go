package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/upgrade"
)

// A job is moved to the archive in two steps: the leader writes the job's archive page, and then removes the job's records
// from the journal. Each case injects one fault into one of the steps. The leader is killed before or during the step, the
// response to the step's transaction is lost, or the transaction is delayed. Meanwhile users send requests for the job to
// every node.
func TestArchiveMoveSurvivesFaults(t *testing.T) {
	// delayFirst returns a hook that delays the first matching transaction.
	delayFirst := func(matches func(storagetest.Txn) bool, delay time.Duration) func(storagetest.Txn) time.Duration {
		var delayed atomic.Bool
		return func(txn storagetest.Txn) time.Duration {
			if matches(txn) && delayed.CompareAndSwap(false, true) {
				return delay
			}
			return 0
		}
	}
	for name, inject := range map[string]func(sim *simulation, s *storagetest.Service){
		"leader killed before archive write": func(sim *simulation, s *storagetest.Service) {
			s.DropTxn = func(txn storagetest.Txn) bool { return isArchiveWrite(txn) && sim.killLeaderOnce() }
		},
		"leader killed during archive write": func(sim *simulation, s *storagetest.Service) {
			s.BeforeApply = callOnce(isArchiveWrite, func() { go sim.leader().kill() })
		},
		"leader killed before removal": func(sim *simulation, s *storagetest.Service) {
			s.DropTxn = func(txn storagetest.Txn) bool {
				return isJournalRemoval("000001")(txn) && sim.killLeaderOnce()
			}
		},
		"leader killed during removal": func(sim *simulation, s *storagetest.Service) {
			s.BeforeApply = callOnce(isJournalRemoval("000001"), func() { go sim.leader().kill() })
		},
		"archive write response lost": func(_ *simulation, s *storagetest.Service) {
			s.LoseResponse = isArchiveWrite
		},
		"removal response lost": func(_ *simulation, s *storagetest.Service) { s.LoseResponse = isJournalRemoval("000001") },
		"archive write delayed": func(_ *simulation, s *storagetest.Service) { s.DelayTxn = delayFirst(isArchiveWrite, 9*time.Second) },
		"removal delayed": func(_ *simulation, s *storagetest.Service) {
			s.DelayTxn = delayFirst(isJournalRemoval("000001"), 9*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.submit(clustertest.Service("000009", 2))
				sim.runToCompletion("000007") // archiving it marks the archive gate as used and creates a page
				sim.awaitArchived(1)
				sim.store.Update(func(s *storagetest.Service) { inject(sim, s) })
				s := clustertest.Array("000001", 2)
				s.EstimateS = 3
				sim.submit(s)
				stop := sim.requestContinuously("000001", s)
				sim.awaitDone("000001")
				time.Sleep(20 * time.Second)
				sim.startStopped()
				sim.store.Update(func(s *storagetest.Service) { s.LoseResponse = nil })
				sim.awaitLeader()
				sim.awaitArchived(2)
				stop()
				sim.checkFinalState("000001", api.StateDone)
				sim.checkFinalState("000007", api.StateDone)
				sim.awaitRunning("000009", 2)
			})
		})
	}
}

// isArchiveWrite reports whether a transaction writes an archive page. This is the first step of moving a job to the archive.
func isArchiveWrite(txn storagetest.Txn) bool {
	return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, archivePagePrefix)
}

// isJournalRemoval returns a function that reports whether a transaction removes the records of a job from the journal. This
// is the second step of moving the job to the archive.
func isJournalRemoval(id string) func(storagetest.Txn) bool {
	return func(txn storagetest.Txn) bool {
		return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, "log/") && strings.Contains(string(txn.Ops[0].Data), `["j`+id+`"]`)
	}
}

// callOnce returns a hook that calls f for the first matching transaction.
func callOnce(matches func(storagetest.Txn) bool, f func()) func(storagetest.Txn) {
	var called atomic.Bool
	return func(txn storagetest.Txn) {
		if matches(txn) && called.CompareAndSwap(false, true) {
			f()
		}
	}
}

// killLeaderOnce kills the leader on the first call, and returns true so that the caller drops the transaction. Later calls do
// nothing and return false.
func (sim *simulation) killLeaderOnce() bool {
	if !sim.leaderKilled.CompareAndSwap(false, true) {
		return false
	}
	go sim.leader().kill()
	return true
}

// requestContinuously sends polls and repeated submissions of a job to every node, every few milliseconds until stop is called.
func (sim *simulation) requestContinuously(id string, spec storage.Spec) (stop func()) {
	var stopped atomic.Bool
	var wait sync.WaitGroup
	for _, n := range sim.nodes {
		for _, op := range []api.Op{api.OpPoll, api.OpSubmit} {
			wait.Go(func() {
				for !stopped.Load() {
					sim.requestFrom(n, op, id, spec)
					time.Sleep(7 * time.Millisecond)
				}
			})
		}
	}
	return func() { stopped.Store(true); wait.Wait() }
}

// During an outage of the key-value store, every node responds to requests for the archived jobs whose pages it has in
// memory. If a node doesn't know a job, it neither accepts a submission of the job nor reports a state.
func TestArchivedJobsAnsweredDuringStoreOutage(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001", "000002")
		sim.awaitArchived(2)
		time.Sleep(2 * sim.settings.WorkerLease) // until the followers have refreshed their index
		sim.store.SetOutage(true)
		defer sim.store.SetOutage(false)
		for range 30 {
			for _, n := range sim.nodes {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if response := sim.requestFrom(n, op, "000002", clustertest.Array("000002", 2)); response.Code != api.CodeOK || response.State != api.StateDone {
						t.Fatalf("%s: %v of an archived job: got %+v, want state %v", n.name, op, response, api.StateDone)
					}
					if response := sim.requestFrom(n, op, "000003", clustertest.Array("000003", 2)); response.Code == api.CodeCreated || response.Code == api.CodeOK {
						t.Fatalf("%s: %v of an unknown job: got %+v, want it neither accepted nor found", n.name, op, response)
					}
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// A new leader can't read the archive, and its index of the archive is stale. Its predecessor may have archived a job in a
// page that the new leader hasn't read. The new leader therefore neither reports a job as unknown nor accepts a submission of
// the job.
func TestNewLeaderWithStaleArchiveIndex(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.runToCompletion("000002")
		sim.awaitArchived(2)
		leader := sim.awaitLeader()
		// The new leader can read everything but the archive.
		sim.store.Update(func(s *storagetest.Service) {
			s.RefuseRead = func(key string) bool { return strings.HasPrefix(key, archivePagePrefix) }
		})
		leader.kill()
		newLeader := sim.awaitLeader()
		for range 10 {
			for _, id := range []string{"000002", "000003"} {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if response := sim.requestFrom(newLeader, op, id, clustertest.Array(id, 2)); response.HasResult() && !response.Final() {
						t.Fatalf("%v of job %s: got %+v, want a final state or no decision", op, id, response)
					}
				}
			}
			time.Sleep(time.Second)
		}
		sim.store.Update(func(s *storagetest.Service) { s.RefuseRead = nil })
		leader.start()
		sim.checkFinalState("000002", api.StateDone)
		sim.runToCompletion("000003")
	})
}

// Requests for jobs whose archive page is damaged fail as unavailable. The reason contains the key of the page, or says that
// there are too many requests to the archive. The jobs are neither reported as unknown nor accepted again.
func TestDamagedArchivePage(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		key := sim.store.Keys(archivePagePrefix)[0]
		sim.writeKey(key, "AAAA")
		for _, n := range sim.nodes {
			n.restart()
		}
		leader := sim.awaitLeader()
		for range 5 {
			for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
				for _, id := range []string{"000001", "000002"} {
					if response := sim.requestFrom(leader, op, id, clustertest.Array(id, 2)); response.Code != api.CodeUnavailable || response.RetrySeconds < 1 || !strings.Contains(response.Reason, key) && !strings.Contains(response.Reason, "too many") {
						t.Errorf("%v of job %s: got %+v, want unavailable for %s", op, id, response, key)
					}
				}
			}
			time.Sleep(time.Second)
		}
		if status := sim.archiveStatus(); len(status.Stored.Damaged) != 1 || !strings.Contains(status.Stored.Damaged[0], key) {
			t.Errorf("status %+v, want %s damaged", status, key)
		}
	})
}

// A leader that caches no archive pages receives many polls for unknown jobs, for which it has to read the archive. It still
// renews its lease and commits in time.
func TestUnknownPollsDoNotStarveLeader(t *testing.T) {
	runSimulationWithTuning(t, func(*config.Settings) {}, func(tuning *config.Tuning) {
		tuning.Archive = config.Archive{Enabled: true, MemoryBytes: 1}
	}, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		var rejected, notFound atomic.Int64
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Go(func() {
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					switch response := sim.requestFrom(leader, api.OpPoll, fmt.Sprintf("%09d", i), storage.Spec{}); response.Code {
					case api.CodeNotFound:
						notFound.Add(1)
					case api.CodeUnavailable:
						rejected.Add(1)
					default: // other responses aren't counted
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
			t.Errorf("accepted after %v, want at most 5s", took)
		}
		sim.awaitDone("000002")
		wait.Wait()
		if sim.awaitLeader() != leader || leader.node.view.Load().role.Term != term {
			t.Error("leadership was lost")
		}
		// Reads of the archive may use 5% of the request rate of the key-value store. The polls last about 21 seconds.
		if maxAnswered := sim.settings.State.RequestsPerS * 0.05 * 21; float64(notFound.Load()) > maxAnswered+5 || rejected.Load() == 0 {
			t.Errorf("%d polls answered and %d rejected, want at most %v answered and some rejected", notFound.Load(), rejected.Load(), maxAnswered)
		}
	})
}

// Users submit and cancel jobs at random while controllers crash, responses are lost, writes are delayed, the key-value store
// is down or one node is cut off from it. The simulation checks that every response is consistent with all responses
// before it.
func TestArchiveUnderRandomFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runArchiveSimulation(t, int(seed%2)*5, func(sim *simulation) { sim.runRandomFaults(rand.New(rand.NewPCG(seed, 26))) })
		})
	}
}

// runRandomFaults runs sixty random steps, and then checks the final state of every job.
func (sim *simulation) runRandomFaults(random *rand.Rand) {
	sim.awaitActive(upgrade.Current, time.Minute)
	sim.submit(clustertest.Service("900000", 3))
	nextJob := 1
	for range 60 {
		switch random.IntN(12) {
		case 0, 1, 2, 3:
			s := clustertest.Array(fmt.Sprintf("%06d", nextJob), 1+random.IntN(3))
			s.EstimateS = 1 + 3*random.Float64()
			sim.submit(s)
			nextJob++
		case 4:
			if id := fmt.Sprintf("%06d", 1+random.IntN(nextJob)); sim.wasReported(id) {
				sim.request(api.OpCancel, id, storage.Spec{})
			}
		case 5:
			sim.crash(sim.nodes[random.IntN(len(sim.nodes))], time.Duration(random.IntN(6000))*time.Millisecond)
		case 6:
			sim.store.Update(func(s *storagetest.Service) { s.LoseResponses = 1 + random.IntN(3) })
		case 7:
			sim.delayCommits(2+random.IntN(6), time.Duration(random.IntN(20_000))*time.Millisecond)
		case 8:
			sim.outage(time.Duration(random.IntN(15_000)) * time.Millisecond)
		case 9:
			n := sim.nodes[random.IntN(len(sim.nodes))]
			n.cutStore.Store(true)
			time.AfterFunc(time.Duration(random.IntN(20_000))*time.Millisecond, func() { n.cutStore.Store(false) })
		default:
			id := fmt.Sprintf("%06d", 1+random.IntN(nextJob+2))
			for _, n := range sim.nodes {
				sim.requestFrom(n, api.OpPoll, id, storage.Spec{})
			}
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	sim.store.Update(func(s *storagetest.Service) { s.LoseResponses, s.Delay = 0, nil })
	time.Sleep(time.Minute)
	sim.awaitLeader()
	for i := range nextJob - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.eventually(id+" is final", 3*time.Minute, func() bool { response := sim.poll(id); return response.Final() })
	}
	sim.eventually("finished jobs are archived", 2*time.Minute, func() bool { return sim.archiveStatus().FinishedInJournal <= sim.settings.Tuning.Archive.KeepInJournal })
	for i := range nextJob - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.checkFinalState(id, sim.poll(id).State)
	}
	sim.awaitRunning("900000", 3)
}

// wasReported reports whether any response has contained the job's state.
func (sim *simulation) wasReported(id string) bool {
	reported := false
	sim.withLock(func() { _, reported = sim.reportedStates[id] })
	return reported
}
