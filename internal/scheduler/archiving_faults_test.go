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

// A job moves to the archive in two steps: its page is written, then its records are removed from the journal. The leader
// is killed before, between and after them, or their responses are lost or their requests delayed, while users poll every node.
func TestArchiveMoveSurvivesFaults(t *testing.T) {
	delayFirst := func(matches func(storagetest.Txn) bool, d time.Duration) func(storagetest.Txn) time.Duration {
		var happened atomic.Bool
		return func(txn storagetest.Txn) time.Duration {
			if matches(txn) && happened.CompareAndSwap(false, true) {
				return d
			}
			return 0
		}
	}
	for name, inject := range map[string]func(sim *simulation, s *storagetest.Service){
		"leader killed before archive write": func(sim *simulation, s *storagetest.Service) {
			s.Drop = func(txn storagetest.Txn) bool { return isArchiveWrite(txn) && sim.killLeaderOnce() }
		},
		"leader killed during archive write": func(sim *simulation, s *storagetest.Service) {
			s.Before = callOnce(isArchiveWrite, func() { go sim.leader().kill() })
		},
		"leader killed before removal": func(sim *simulation, s *storagetest.Service) {
			s.Drop = func(txn storagetest.Txn) bool {
				return isJournalRemoval("000001")(txn) && sim.killLeaderOnce()
			}
		},
		"leader killed during removal": func(sim *simulation, s *storagetest.Service) {
			s.Before = callOnce(isJournalRemoval("000001"), func() { go sim.leader().kill() })
		},
		"archive write response lost": func(_ *simulation, s *storagetest.Service) {
			s.Lose = isArchiveWrite
		},
		"removal response lost": func(_ *simulation, s *storagetest.Service) { s.Lose = isJournalRemoval("000001") },
		"archive write delayed": func(_ *simulation, s *storagetest.Service) { s.Late = delayFirst(isArchiveWrite, 9*time.Second) },
		"removal delayed": func(_ *simulation, s *storagetest.Service) {
			s.Late = delayFirst(isJournalRemoval("000001"), 9*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runArchiveSimulation(t, 0, func(sim *simulation) {
				sim.awaitActive(upgrade.Current, time.Minute)
				sim.submit(clustertest.Service("000009", 2))
				sim.runToCompletion("000007") // so that the gate is in use and a page exists
				sim.awaitArchived(1)
				sim.state.Update(func(s *storagetest.Service) { inject(sim, s) })
				s := clustertest.Array("000001", 2)
				s.EstimateS = 3
				sim.submit(s)
				stop := sim.pollContinuously("000001", s)
				sim.awaitDone("000001")
				time.Sleep(20 * time.Second)
				sim.startKilled()
				sim.state.Update(func(s *storagetest.Service) { s.Lose = nil })
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

// isArchiveWrite reports whether a transaction is the first step of a move, the write of a page.
func isArchiveWrite(txn storagetest.Txn) bool {
	return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, archivePrefix)
}

// isJournalRemoval reports whether a transaction is the second step of a job's move, the removal of its records.
func isJournalRemoval(id string) func(storagetest.Txn) bool {
	return func(txn storagetest.Txn) bool {
		return len(txn.Ops) > 0 && strings.HasPrefix(txn.Ops[0].Key, "log/") && strings.Contains(string(txn.Ops[0].Data), `["j`+id+`"]`)
	}
}

// callOnce returns a hook that calls f for the first matching transaction.
func callOnce(matches func(storagetest.Txn) bool, f func()) func(storagetest.Txn) {
	var happened atomic.Bool
	return func(txn storagetest.Txn) {
		if matches(txn) && happened.CompareAndSwap(false, true) {
			f()
		}
	}
}

// killLeaderOnce kills the leader at the first call, and reports whether it has, so that the caller drops its transaction.
func (sim *simulation) killLeaderOnce() bool {
	if !sim.messagesDropped.CompareAndSwap(false, true) {
		return false
	}
	go sim.leader().kill()
	return true
}

// pollContinuously polls and resubmits a job at every node every few milliseconds, until stop is called.
func (sim *simulation) pollContinuously(id string, spec storage.Spec) (stop func()) {
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

// During an outage of the key-value store every node answers for the archived jobs whose pages it holds; a job it doesn't know is
// neither accepted nor reported unknown.
func TestArchivedJobsAnsweredDuringStoreOutage(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001", "000002")
		sim.awaitArchived(2)
		time.Sleep(2 * sim.settings.WorkerLease) // the followers refresh their index
		sim.state.Outage(true)
		defer sim.state.Outage(false)
		for range 30 {
			for _, n := range sim.nodes {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if a := sim.requestFrom(n, op, "000002", clustertest.Array("000002", 2)); a.Code != api.CodeOK || a.State != api.StateDone {
						t.Fatalf("%s answers %v of an archived job by %+v, want state %v", n.name, op, a, api.StateDone)
					}
					if a := sim.requestFrom(n, op, "000003", clustertest.Array("000003", 2)); a.Code == api.CodeCreated || a.Code == api.CodeOK {
						t.Fatalf("%s answers %v of an unknown job by %+v, want no decision", n.name, op, a)
					}
				}
			}
			time.Sleep(3 * time.Second)
		}
	})
}

// A new leader with a stale index that can't read the archive neither reports a job unknown nor accepts one: the jobs that its
// predecessor archived last are in pages that it hasn't seen.
func TestNewLeaderWithStaleArchiveIndex(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		time.Sleep(2 * sim.settings.WorkerLease)
		sim.runToCompletion("000002")
		sim.awaitArchived(2)
		leader := sim.awaitLeader()
		// Only reads of the archive fail for the new leader.
		sim.state.Update(func(s *storagetest.Service) {
			s.Refuse = func(key string) bool { return strings.HasPrefix(key, archivePrefix) }
		})
		leader.kill()
		next := sim.awaitLeader()
		for range 10 {
			for _, id := range []string{"000002", "000003"} {
				for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
					if a := sim.requestFrom(next, op, id, clustertest.Array(id, 2)); a.Decided() && !a.Final() {
						t.Fatalf("%v of job %s is answered %+v, want a final state or no decision", op, id, a)
					}
				}
			}
			time.Sleep(time.Second)
		}
		sim.state.Update(func(s *storagetest.Service) { s.Refuse = nil })
		leader.start()
		sim.checkFinalState("000002", api.StateDone)
		sim.runToCompletion("000003")
	})
}

// Requests for jobs of a damaged page fail as unavailable with the page's key: they are neither reported unknown nor accepted again.
func TestDamagedArchivePage(t *testing.T) {
	runArchiveSimulation(t, 0, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		key := sim.state.Keys(archivePrefix)[0]
		sim.writeKey(key, "AAAA")
		for _, n := range sim.nodes {
			n.restart()
		}
		leader := sim.awaitLeader()
		for range 5 {
			for _, op := range []api.Op{api.OpPoll, api.OpSubmit, api.OpCancel} {
				for _, id := range []string{"000001", "000002"} {
					if a := sim.requestFrom(leader, op, id, clustertest.Array(id, 2)); a.Code != api.CodeUnavailable || a.RetrySeconds < 1 || !strings.Contains(a.Reason, key) && !strings.Contains(a.Reason, "too many") {
						t.Errorf("%v of job %s is answered %+v, want unavailable for %s", op, id, a, key)
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

// A burst of polls for unknown jobs, at a leader that caches no pages, delays neither its lease nor its commits.
func TestUnknownPollsDoNotStarveLeader(t *testing.T) {
	runSimulationWithTuning(t, func(*config.Settings) {}, func(tuning *config.Tuning) {
		tuning.Archive = config.Archive{Enabled: true, MemoryBytes: 1}
	}, func(sim *simulation) {
		sim.awaitActive(upgrade.Current, time.Minute)
		sim.runToCompletion("000001")
		sim.awaitArchived(1)
		leader := sim.awaitLeader()
		term := leader.node.view.Load().role.Term
		var busy, unknown atomic.Int64
		var wait sync.WaitGroup
		for i := range 60 {
			wait.Go(func() {
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
					switch a := sim.requestFrom(leader, api.OpPoll, fmt.Sprintf("%09d", i), storage.Spec{}); a.Code {
					case api.CodeNotFound:
						unknown.Add(1)
					case api.CodeUnavailable:
						busy.Add(1)
					default: // an unknown job has no other state
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
		if most := sim.settings.State.RequestsPerS * 0.05 * 21; float64(unknown.Load()) > most+5 || busy.Load() == 0 {
			t.Errorf("%d polls answered and %d rejected, want at most %v and some", unknown.Load(), busy.Load(), most)
		}
	})
}

// Random submissions and cancellations meet controller crashes, lost responses, delayed writes, outages and partitions of one
// node. The simulation checks every response against those before it.
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
	next := 1
	for range 60 {
		switch random.IntN(12) {
		case 0, 1, 2, 3:
			s := clustertest.Array(fmt.Sprintf("%06d", next), 1+random.IntN(3))
			s.EstimateS = 1 + 3*random.Float64()
			sim.submit(s)
			next++
		case 4:
			if id := fmt.Sprintf("%06d", 1+random.IntN(next)); sim.wasReported(id) {
				sim.request(api.OpCancel, id, storage.Spec{})
			}
		case 5:
			sim.crash(sim.nodes[random.IntN(len(sim.nodes))], time.Duration(random.IntN(6000))*time.Millisecond)
		case 6:
			sim.state.Update(func(s *storagetest.Service) { s.LoseResponses = 1 + random.IntN(3) })
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
	sim.state.Update(func(s *storagetest.Service) { s.LoseResponses, s.Delay = 0, nil })
	time.Sleep(time.Minute)
	sim.awaitLeader()
	for i := range next - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.eventually(id+" is final", 3*time.Minute, func() bool { a := sim.poll(id); return a.Final() })
	}
	sim.eventually("archived", 2*time.Minute, func() bool { return sim.archiveStatus().Backlog <= sim.settings.Tuning.Archive.KeepInJournal })
	for i := range next - 1 {
		id := fmt.Sprintf("%06d", i+1)
		sim.checkFinalState(id, sim.poll(id).State)
	}
	sim.awaitRunning("900000", 3)
}

// wasReported reports whether a response has named the job's state.
func (sim *simulation) wasReported(id string) bool {
	known := false
	sim.withLock(func() { _, known = sim.reportedStates[id] })
	return known
}
