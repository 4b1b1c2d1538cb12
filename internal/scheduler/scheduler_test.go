package scheduler

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"sagevale/internal/cluster"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/groupcommit"
	"sagevale/internal/leadership"
	"sagevale/internal/storage"
	"sagevale/internal/storage/storagetest"
	"sagevale/internal/worker"
)

// newTestScheduler returns the scheduler of a leader in term 2. Its event loop doesn't run; tests call its
// handlers directly.
func newTestScheduler(tb testing.TB, settings config.Settings) *scheduler {
	tb.Helper()
	service := storagetest.NewService()
	tb.Cleanup(service.Close)
	client := &storagetest.Client{Service: service, Disconnected: new(atomic.Bool)}
	journal, err := storage.OpenJournal(context.Background(), client, storage.NewLimitTracker(settings.State), storage.Guard{Key: leadership.LeaderKey})
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Now()
	role := leadership.Role{Leading: true, Term: 2, LeaseValidUntil: now.Add(time.Hour), RenewWorkersUntil: now.Add(time.Hour)}
	deps := Dependencies{Workers: unreachableWorkers{}, Rand: rand.New(rand.NewPCG(7, 7))}
	log := slog.New(slog.NewTextHandler(io.Discard, nil)) //nolint:sloglint // benchmarks include the cost of formatting
	sched, err := newScheduler(&settings, deps, role, journal, func(leadership.Resignation) {}, log)
	if err != nil {
		tb.Fatal(err)
	}
	sched.state.SetTypes(clustertest.Types)
	sched.machinesListed = true
	return sched
}

// commitPending commits all pending records. If err isn't nil, the commit fails with this error.
func (s *scheduler) commitPending(err error) {
	s.queue.BeginCommit(math.MaxInt, func(key string, _ error) { panic(key) })
	s.handleCommitted(err)
}

// addReadyMachine adds a machine that has just sent a heartbeat with the current token.
func (s *scheduler) addReadyMachine(id int, typeName, zone string, spot bool) *cluster.Machine {
	m := s.state.EnsureMachine(id, time.Now())
	report := &worker.Report{Machine: id, Addr: fmt.Sprint(id), Type: typeName, Zone: zone, Spot: spot, Incarnation: 1, Seq: m.Seq + 1, Token: s.term}
	s.applyReport(m, report, true, time.Now())
	return m
}

// addAcceptedJob adds an open job as if the record of its acceptance were already durable.
func (s *scheduler) addAcceptedJob(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	s.state.Jobs.AddOpen(j)
	s.state.Classes.RecordArrival(j)
	return j
}

// addRunningAttempt adds an attempt that its machine has reported as running.
func (s *scheduler) addRunningAttempt(j *cluster.Job, task int, number uint64, m *cluster.Machine) {
	s.addAttempt(&cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true,
		State: worker.Running, Started: time.Now(),
	})
}

// discardPending drops all pending records and the callbacks that wait for their commit. Dropped records count
// as durable.
func (s *scheduler) discardPending() { s.queue = groupcommit.New() }

// unreachableWorkers is a WorkerLink that sends no commands.
type unreachableWorkers struct{}

func (unreachableWorkers) SendCommands(context.Context, string, uint64, uint64, []worker.Command, time.Time) (worker.CommandOutcome, *worker.Report) {
	return worker.NotSent, nil
}
