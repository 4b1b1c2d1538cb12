package autoscaling

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/cloud"
	"sagevale/internal/cluster/clustertest"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// Guards against launch requests for more than 50 machines. The cloud rejects such requests as malformed. In a former
// version the autoscaler took this error for missing capacity.
func TestLaunchesStayWithinTheCloudsLimit(t *testing.T) {
	var desired []cloud.Offering
	for i := range 173 {
		desired = append(desired, cloud.Offering{Type: "gpu", Zone: []string{"a", "b"}[i%2], Spot: i%5 == 0})
	}
	total := 0
	for _, l := range launchesFor(desired) {
		if l.Count < 1 || l.Count > config.MaxLaunchMachines {
			t.Errorf("a request for %d machines, want 1 to %d", l.Count, config.MaxLaunchMachines)
		}
		total += l.Count
	}
	if total != len(desired) {
		t.Errorf("%d machines requested, want %d", total, len(desired))
	}
}

// manyMachines is a number of machines whose list has many pages.
const manyMachines = 6000

// slowCloud takes a second to return each page of the machine list.
type slowCloud struct{ machines int }

func (c slowCloud) MachineTypes(context.Context) ([]storage.MachineType, error) { return nil, nil }

func (c slowCloud) Launch(context.Context, string, storage.LaunchRecord) ([]int, error) {
	return nil, nil
}

func (c slowCloud) Terminate(context.Context, []int) error { return nil }

func (c slowCloud) List(ctx context.Context, after, limit int) (page []cloud.Machine, more bool, err error) {
	select {
	case <-time.After(time.Second):
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
	for id := after + 1; id < c.machines && len(page) < limit; id++ {
		page = append(page, cloud.Machine{ID: id})
	}
	return page, after+1+len(page) < c.machines, nil
}

// Reading a machine list of many pages takes longer than the timeout of one call. The list must still be read
// completely, and must leave a share of the cloud's request rate to the other calls.
func TestLongMachineListIsReadWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := clustertest.Settings()
		s.WorkerLease, s.CloudRPS = 12*time.Second, 3
		a := &Autoscaler{settings: &s, cloud: slowCloud{manyMachines}, limiter: rate.NewLimiter(rate.Limit(s.CloudRPS*cloudRequestShare), 1)}
		machines, pages, err := a.listMachines(t.Context())
		if err != nil || len(machines) != manyMachines || pages != manyMachines/listPageSize {
			t.Fatalf("%d machines on %d pages: %v", len(machines), pages, err)
		}
		a.lastListPages = pages
		if share := float64(pages) / a.listInterval().Seconds() / s.CloudRPS; share > listRequestShare*cloudRequestShare+0.01 {
			t.Errorf("lists take %.2f of the requests, want at most %.2f", share, listRequestShare*cloudRequestShare)
		}
		if a.lastListPages = 1; a.listInterval() != s.ListLag/listsPerLag {
			t.Errorf("a short list is read every %v, want %v", a.listInterval(), s.ListLag/listsPerLag)
		}
	})
}

// fakeJournal acknowledges every batch at once, with err.
type fakeJournal struct{ err error }

func (j *fakeJournal) Append(_ context.Context, b storage.Batch) {
	if b.Ack != nil {
		go b.Ack(j.err)
	}
}

// fakeScheduler records the calls of the autoscaler.
type fakeScheduler struct {
	launched   []storage.LaunchRecord
	rejected   []cloud.Offering
	terminated []int
	surplus    []SurplusMachine
}

func (f *fakeScheduler) HandleMachineTypes([]storage.MachineType) {}
func (f *fakeScheduler) HandleMachineList([]cloud.Machine)        {}
func (f *fakeScheduler) HandleLaunched(l storage.LaunchRecord, _ []int) {
	f.launched = append(f.launched, l)
}
func (f *fakeScheduler) HandleRejected(o cloud.Offering) { f.rejected = append(f.rejected, o) }
func (f *fakeScheduler) HandleTerminated(machines []int) {
	f.terminated = append(f.terminated, machines...)
}
func (f *fakeScheduler) HandleSurplus(m SurplusMachine) { f.surplus = append(f.surplus, m) }

// fakeCloud launches one machine per request, or fails with launchErr.
type fakeCloud struct {
	slowCloud
	launchErr error
	requests  map[string]int // number of calls of Launch by request name
}

func (c *fakeCloud) Launch(_ context.Context, name string, _ storage.LaunchRecord) ([]int, error) {
	c.requests[name]++
	return []int{1}, c.launchErr
}

// runAutoscaler runs an autoscaler of term 2 until the test ends. At the start of a term, an autoscaler waits until
// the machines have had time to report to the new leader. runAutoscaler returns after this time.
func runAutoscaler(t *testing.T, c *fakeCloud, journal Journal) (*Autoscaler, *fakeScheduler) {
	t.Helper()
	settings := clustertest.Settings()
	scheduler := &fakeScheduler{}
	ctx, cancel := context.WithCancel(t.Context())
	c.requests = make(map[string]int)
	a := New(Config{
		Settings: &settings, Cloud: c, Journal: journal, Scheduler: scheduler, Term: 2,
		Done: ctx.Done(), Log: slog.New(slog.DiscardHandler),
	})
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("Run() = %v, want %v", err, context.Canceled)
		}
	})
	time.Sleep(settings.HeartbeatInterval + time.Second)
	return a, scheduler
}

// snapshotDesiring returns a snapshot in which one machine of the offering is desired.
func snapshotDesiring(o cloud.Offering) Snapshot {
	return Snapshot{Healthy: true, MachinesListed: true, Desired: []cloud.Offering{o}, NonOpportunistic: 1, Size: 1}
}

var testOffering = cloud.Offering{Type: "cpu", Zone: "a", Spot: true}

// sendSnapshots sends the autoscaler a snapshot every half second for the given time.
func sendSnapshots(a *Autoscaler, s Snapshot, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		a.HandleSnapshot(s)
	}
	synctest.Wait()
}

func TestScaleOutAfterSustainedDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, scheduler := runAutoscaler(t, &fakeCloud{}, &fakeJournal{})
		a.HandleSnapshot(snapshotDesiring(testOffering))
		synctest.Wait()
		if len(scheduler.launched) != 0 {
			t.Error("scales out before demand has lasted for the window")
		}
		sendSnapshots(a, snapshotDesiring(testOffering), a.settings.Tuning.ScaleOutWindow+time.Second)
		want := storage.LaunchRecord{Type: "cpu", Zone: "a", Spot: true, Count: 1}
		if len(scheduler.launched) != 1 || scheduler.launched[0] != want {
			t.Errorf("launched %+v, want one of %+v", scheduler.launched, want)
		}
	})
}

// A launch request without a response may have been executed. Retrying it under another name could launch the
// machines twice.
func TestUnansweredLaunchIsRepeatedUnderItsName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeCloud{launchErr: cloud.ErrUnknownOutcome}
		a, scheduler := runAutoscaler(t, c, &fakeJournal{})
		sendSnapshots(a, snapshotDesiring(testOffering), time.Minute)
		if len(c.requests) != 1 || len(scheduler.launched) != 0 {
			t.Errorf("requests by name %v, %d launched; want one name and no launch", c.requests, len(scheduler.launched))
		}
		for name, n := range c.requests {
			if n < 2 {
				t.Errorf("%s was requested %d times, want it repeated", name, n)
			}
		}
	})
}

func TestRejectedLaunchIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, scheduler := runAutoscaler(t, &fakeCloud{launchErr: cloud.ErrNoCapacity}, &fakeJournal{})
		sendSnapshots(a, snapshotDesiring(testOffering), a.settings.Tuning.ScaleOutWindow+time.Second)
		if len(scheduler.rejected) == 0 || scheduler.rejected[0] != testOffering {
			t.Errorf("rejected %+v, want %+v", scheduler.rejected, testOffering)
		}
	})
}

func TestLaunchIsNotRequestedUnlessRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeCloud{}
		a, _ := runAutoscaler(t, c, &fakeJournal{err: storage.ErrLeadershipLost})
		sendSnapshots(a, snapshotDesiring(testOffering), time.Minute)
		if len(c.requests) != 0 {
			t.Errorf("requests %v though nothing was recorded", c.requests)
		}
	})
}

func TestScaleInDrainsOneMachineAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, scheduler := runAutoscaler(t, &fakeCloud{}, &fakeJournal{})
		surplus := []SurplusMachine{{Machine: 1}, {Machine: 2}}
		idle := Snapshot{Healthy: true, MachinesListed: true, Surplus: surplus, Size: 3}
		sendSnapshots(a, idle, a.settings.Tuning.ScaleInWindow-time.Second)
		if len(scheduler.surplus) != 0 {
			t.Error("scales in before all machines have been healthy for the window")
		}
		time.Sleep(2 * time.Second)
		a.HandleSnapshot(idle)
		time.Sleep(time.Minute) // the first drain isn't over yet, so no second one may begin
		synctest.Wait()
		if len(scheduler.surplus) != 1 || scheduler.surplus[0].Machine != 1 {
			t.Fatalf("drained %+v, want machine 1 alone", scheduler.surplus)
		}
		a.DrainCompleted()
		time.Sleep(a.settings.Tuning.Cooldown + time.Second)
		synctest.Wait()
		if len(scheduler.surplus) != 2 || scheduler.surplus[1].Machine != 2 {
			t.Errorf("drained %+v, want machine 2 next", scheduler.surplus)
		}
	})
}
