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

// newTestScheduler makes a dispatcher without the actors around it, for what a snapshot or a
// round decides. Its clock stands still unless the test moves it.
func newTestScheduler(tb testing.TB, s config.Settings) *scheduler {
	tb.Helper()
	svc := storagetest.NewService()
	tb.Cleanup(svc.Close)
	client := &storagetest.Client{Service: svc, Cut: new(atomic.Bool)}
	journal, err := storage.OpenJournal(context.Background(), client, storage.NewLimitTracker(s.State), storage.Guard{Key: leadership.LeaderKey})
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Now()
	role := leadership.Role{Leading: true, Term: 2, LeaseValidUntil: now.Add(time.Hour), RenewUntil: now.Add(time.Hour)}
	d, err := newScheduler(&s, Dependencies{Workers: silentWorkers{}, Rand: rand.New(rand.NewPCG(7, 7))}, role, journal, func(leadership.Resignation) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		tb.Fatal(err)
	}
	d.state.SetTypes(clustertest.Types)
	d.machinesListed = true
	return d
}

// commitPending has all that is marked become durable, or fail.
func (d *scheduler) commitPending(err error) {
	d.queue.BeginCommit(math.MaxInt, func(key string, err error) { panic(key) })
	d.handleCommitted(err)
}

// addReadyMachine makes a machine that has just reported under the present token.
func (d *scheduler) addReadyMachine(id int, kind, zone string, spot bool) *cluster.Machine {
	m := d.state.EnsureMachine(id, time.Now())
	d.applyReport(m, &worker.Report{Machine: id, Addr: fmt.Sprint(id), Type: kind, Zone: zone, Spot: spot, Incarnation: 1, Seq: m.Seq + 1, Token: d.term}, true, time.Now())
	return m
}

// addAcceptedJob enters a job as if its acceptance were durable.
func (d *scheduler) addAcceptedJob(spec storage.Spec) *cluster.Job {
	j := cluster.NewJob(spec, time.Now())
	j.Acknowledged = true
	d.state.Jobs.AddOpen(j)
	d.state.Classes.NoteArrival(j)
	return j
}

// addRunningAttempt adds an attempt that its machine has reported as running.
func (d *scheduler) addRunningAttempt(j *cluster.Job, task int, number uint64, m *cluster.Machine) {
	d.addAttempt(&cluster.Attempt{
		Job: j, Task: task, Number: number, Machine: m, Incarnation: 1, ThisTerm: true, Reported: true,
		State: worker.Running, Started: time.Now(),
	})
}

// discardPending forgets what is to become durable, with those who wait for it.
func (d *scheduler) discardPending() { d.queue = groupcommit.New() }

// silentWorkers never get a direct order.
type silentWorkers struct{}

func (silentWorkers) SendCommands(context.Context, string, uint64, uint64, []worker.Command, time.Time) (worker.Outcome, *worker.Report) {
	return worker.NotSent, nil
}
