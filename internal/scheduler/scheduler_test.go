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

// newTestScheduler returns the scheduler of a leader of term 2 that doesn't run: tests call its handlers directly.
func newTestScheduler(tb testing.TB, s config.Settings) *scheduler {
	tb.Helper()
	service := storagetest.NewService()
	tb.Cleanup(service.Close)
	client := &storagetest.Client{Service: service, Cut: new(atomic.Bool)}
	journal, err := storage.OpenJournal(context.Background(), client, storage.NewLimitTracker(s.State), storage.Guard{Key: leadership.LeaderKey})
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Now()
	role := leadership.Role{Leading: true, Term: 2, LeaseValidUntil: now.Add(time.Hour), RenewWorkersUntil: now.Add(time.Hour)}
	deps := Dependencies{Workers: silentWorkers{}, Rand: rand.New(rand.NewPCG(7, 7))}
	log := slog.New(slog.NewTextHandler(io.Discard, nil)) //nolint:sloglint // benchmarks include the cost of formatting
	d, err := newScheduler(&s, deps, role, journal, func(leadership.Resignation) {}, log)
	if err != nil {
		tb.Fatal(err)
	}
	d.state.SetTypes(clustertest.Types)
	d.machinesListed = true
	return d
}

// commitPending completes the commit of all pending records, with an error or without.
func (d *scheduler) commitPending(err error) {
	d.queue.BeginCommit(math.MaxInt, func(key string, _ error) { panic(key) })
	d.handleCommitted(err)
}

// addReadyMachine adds a machine that has just sent a heartbeat under the present token.
func (d *scheduler) addReadyMachine(id int, typeName, zone string, spot bool) *cluster.Machine {
	m := d.state.EnsureMachine(id, time.Now())
	r := &worker.Report{Machine: id, Addr: fmt.Sprint(id), Type: typeName, Zone: zone, Spot: spot, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}
	d.applyReport(m, r, true, time.Now())
	return m
}

// addAcceptedJob adds a job as if its acceptance were durable.
func (d *scheduler) addAcceptedJob(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	d.state.Jobs.AddOpen(j)
	d.state.Classes.RecordArrival(j)
	return j
}

// addRunningAttempt adds an attempt that its machine has reported as running.
func (d *scheduler) addRunningAttempt(j *cluster.Job, task int, number uint64, m *cluster.Machine) {
	d.addAttempt(&cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true,
		State: worker.Running, Started: time.Now(),
	})
}

// discardPending drops all pending records and those who wait for their commit.
func (d *scheduler) discardPending() { d.queue = groupcommit.New() }

// silentWorkers are workers to which no command is sent directly.
type silentWorkers struct{}

func (silentWorkers) SendCommands(context.Context, string, uint64, uint64, []worker.Command, time.Time) (worker.CommandOutcome, *worker.Report) {
	return worker.NotSent, nil
}
