package loopbacktest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagevale/internal/upgrade"
)

// maxRecordedValue is the largest value that a histogram accepts, in the unit of the distribution.
const maxRecordedValue = int64(time.Minute / time.Microsecond)

// distribution is the histogram of one quantity.
type distribution struct {
	name, unit string
	values     *hdrhistogram.Histogram
}

// measurements holds the distributions that were measured with one version of the program.
type measurements struct {
	byName map[string]*distribution
	order  []string // names of the distributions, in the order in which their first values were added
}

func newMeasurements() *measurements { return &measurements{byName: make(map[string]*distribution)} }

func (m *measurements) add(name, unit string, value int64) error {
	d := m.byName[name]
	if d == nil {
		d = &distribution{name: name, unit: unit, values: hdrhistogram.New(0, maxRecordedValue, 3)}
		m.byName[name] = d
		m.order = append(m.order, name)
	}
	return d.values.RecordValue(value)
}

// table returns the distributions as a Markdown table.
func (m *measurements) table(title string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| %s | n | mean | median | 90%% | most |\n| --- | --- | --- | --- | --- | --- |\n", title)
	for _, name := range m.order {
		d := m.byName[name]
		h := d.values
		fmt.Fprintf(&b, "| %s, %s | %d | %.0f | %d | %d | %d |\n", name, d.unit, h.TotalCount(), h.Mean(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
	}
	return b.String()
}

// availabilityProbe polls a job through all controllers in turn, like a user behind a load balancer.
type availabilityProbe struct {
	stop       chan struct{}
	stopped    chan struct{}
	longestGap time.Duration // longest wait for a response, since the previous response or the probe's start
}

// startProbe starts a probe that polls a job until stopAndWait is called.
func (f *Fleet) startProbe(id string) *availabilityProbe {
	p := &availabilityProbe{stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(p.stopped)
		last := time.Now()
		for i := 0; ; i++ {
			select {
			case <-p.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if _, err := f.request(f.Controllers[i%len(f.Controllers)], "GET", "/v1/jobs/"+id, nil); err == nil {
				p.longestGap = max(p.longestGap, time.Since(last))
				last = time.Now()
			}
		}
	}()
	return p
}

// stopAndWait stops the probe, waits until it has stopped and returns its longestGap.
func (p *availabilityProbe) stopAndWait() time.Duration {
	close(p.stop)
	<-p.stopped
	return p.longestGap
}

const (
	idleDuration    = 4 * time.Second // how long measureIdle measures
	restartDuration = 3 * time.Second // how long measureRestart measures
)

// measuredFleet is a fleet whose restarts, upgrade, idle load and rollback are measured.
type measuredFleet struct {
	*testFleet
	results *measurements
}

func (f *measuredFleet) record(name, unit string, value int64) {
	f.tb.Helper()
	if err := f.results.add(name, unit, value); err != nil {
		f.tb.Fatalf("record %s: %v", name, err)
	}
}

// measureRestart restarts a controller and records the effects on users and the key-value store.
func (f *measuredFleet) measureRestart(name string, c *Controller, p Program) {
	requests, sent := f.Store.Requests.Load(), f.Store.RequestBytes.Load()
	probe := f.startProbe("job-000001")
	began := time.Now()
	f.start(c, p)
	time.Sleep(restartDuration - time.Since(began))
	f.record(name+": longest without an answer", "ms", probe.stopAndWait().Milliseconds())
	f.record(name+": requests to the state service", "in 3 s", f.Store.Requests.Load()-requests)
	f.record(name+": bytes to the state service", "in 3 s", f.Store.RequestBytes.Load()-sent)
}

// measureIdle records the load on the key-value store while no jobs are submitted and no controller is restarted.
func (f *measuredFleet) measureIdle() {
	requests, sent := f.Store.Requests.Load(), f.Store.RequestBytes.Load()
	time.Sleep(idleDuration)
	f.record("at rest: requests to the state service", "in 4 s", f.Store.Requests.Load()-requests)
	f.record("at rest: bytes to the state service", "in 4 s", f.Store.RequestBytes.Load()-sent)
}

// serves reports whether a controller responds to a user, either itself or by forwarding to the leader.
func (f *measuredFleet) serves(c *Controller) bool {
	_, err := f.request(c, "GET", "/v1/jobs/job-000001", nil)
	return err == nil
}

// BenchmarkUpgradeSteps measures restarts, an upgrade and a rollback, and prints the distributions for
// docs/rolling-upgrade.md. Run it with -benchtime 15x. The flag -older names the binary of an earlier commit that does not
// register the versions that it supports. If the flag is set, the benchmark also measures restarts of this binary.
func BenchmarkUpgradeSteps(b *testing.B) {
	current, older := newMeasurements(), newMeasurements()
	seed := uint64(0)
	for b.Loop() {
		seed++
		if *olderBinary != "" {
			measureRestarts(b, seed, Program{Name: "older", Binary: *olderBinary}, older)
		}
		measureUpgrade(b, seed, current)
	}
	// b.Log would truncate the tables.
	fmt.Println(current.table("loopback, this version") + older.table("loopback, the version before"))
}

// measureRestarts restarts each controller of a fleet with the same program, and then measures the idle load.
func measureRestarts(tb testing.TB, seed uint64, p Program, results *measurements) {
	tb.Helper()
	f := &measuredFleet{newTestFleet(tb, seed), results}
	for _, c := range f.Controllers {
		f.start(c, p)
	}
	f.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	f.checkJobs()
	for _, c := range f.Controllers {
		f.measureRestart("a restart", c, p)
	}
	f.measureIdle()
	f.Close()
}

// measureUpgrade upgrades a fleet from version 1 to the current version. It then downgrades one controller and waits until
// version 1 is active again.
func measureUpgrade(tb testing.TB, seed uint64, results *measurements) {
	tb.Helper()
	f := &measuredFleet{newTestFleet(tb, seed), results}
	for _, c := range f.Controllers {
		f.start(c, cappedAt(upgrade.Version1))
	}
	f.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	f.checkJobs()
	for _, c := range f.Controllers[:2] {
		f.measureRestart("a restart", c, currentProgram)
	}
	began := time.Now()
	f.start(f.Controllers[2], currentProgram)
	f.eventually("activated", 20*time.Second, func() bool { return f.versionActive(upgrade.Current) })
	f.record("from the last process's start to activation", "ms", time.Since(began).Milliseconds())
	time.Sleep(time.Second)
	f.measureIdle()
	downgraded := f.Controllers[f.random.IntN(3)]
	began = time.Now()
	f.start(downgraded, cappedAt(upgrade.Version1))
	f.eventually("serves", 20*time.Second, func() bool { return f.serves(downgraded) })
	f.record("rollback: until the older process serves", "ms", time.Since(began).Milliseconds())
	f.eventually("withdrawn", 20*time.Second, func() bool { return f.versionActive(upgrade.Version1) })
	f.record("rollback: until version 1 is active again", "ms", time.Since(began).Milliseconds())
	f.Close()
}
