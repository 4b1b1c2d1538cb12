package loopbacktest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sagevale/internal/upgrade"
)

// highest is the longest time that is told apart, in microseconds.
const highest = int64(time.Minute / time.Microsecond)

// distribution is a histogram of one figure.
type distribution struct {
	what, unit string
	values     *hdrhistogram.Histogram
}

// measurement is all figures of one version, in the order of their first value.
type measurement struct {
	figures map[string]*distribution
	order   []string
}

func newMeasurement() *measurement { return &measurement{figures: make(map[string]*distribution)} }

func (m *measurement) add(what, unit string, value int64) error {
	d := m.figures[what]
	if d == nil {
		d = &distribution{what: what, unit: unit, values: hdrhistogram.New(0, highest, 3)}
		m.figures[what] = d
		m.order = append(m.order, what)
	}
	return d.values.RecordValue(value)
}

// table writes the distributions for the documents.
func (m *measurement) table(name string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n| %s | n | mean | median | 90%% | most |\n| --- | --- | --- | --- | --- | --- |\n", name)
	for _, what := range m.order {
		d := m.figures[what]
		h := d.values
		fmt.Fprintf(&b, "| %s, %s | %d | %.0f | %d | %d | %d |\n", what, d.unit, h.TotalCount(), h.Mean(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.Max())
	}
	return b.String()
}

// prober is a user behind a load balancer that asks for a job again and again.
type prober struct {
	fleet   *Fleet
	stop    chan struct{}
	stopped chan struct{}
	gap     time.Duration // the longest without an answer
}

func (f *Fleet) probe(id string) *prober {
	p := &prober{fleet: f, stop: make(chan struct{}), stopped: make(chan struct{})}
	go func() {
		defer close(p.stopped)
		last := time.Now()
		for i := 0; ; i++ {
			select {
			case <-p.stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			if _, err := f.Ask(f.Controllers[i%len(f.Controllers)], "GET", "/v1/jobs/"+id, nil); err == nil {
				p.gap = max(p.gap, time.Since(last))
				last = time.Now()
			}
		}
	}()
	return p
}

func (p *prober) end() time.Duration {
	close(p.stop)
	<-p.stopped
	return p.gap
}

const (
	restTime = 4 * time.Second // for which a fleet at rest is counted
	stepTime = 3 * time.Second // for which a step is watched
)

// measured is one run: a fleet that is upgraded one by one, at rest, and rolled back.
type measured struct {
	*drill
	into *measurement
}

func (d *measured) record(what, unit string, value int64) {
	d.t.Helper()
	if err := d.into.add(what, unit, value); err != nil {
		d.t.Fatalf("%s: %v", what, err)
	}
}

// watched restarts a controller and records what users and the state service notice.
func (d *measured) watched(what string, c *Controller, p Program) {
	requests, sent := d.State.Requests.Load(), d.State.Bytes.Load()
	probe := d.probe("job-000001")
	began := time.Now()
	d.start(c, p)
	time.Sleep(stepTime - time.Since(began))
	d.record(what+": longest without an answer", "ms", probe.end().Milliseconds())
	d.record(what+": requests to the state service", "in 3 s", d.State.Requests.Load()-requests)
	d.record(what+": bytes to the state service", "in 3 s", d.State.Bytes.Load()-sent)
}

func (d *measured) atRest() {
	requests, sent := d.State.Requests.Load(), d.State.Bytes.Load()
	time.Sleep(restTime)
	d.record("at rest: requests to the state service", "in 4 s", d.State.Requests.Load()-requests)
	d.record("at rest: bytes to the state service", "in 4 s", d.State.Bytes.Load()-sent)
}

// serves tells whether a controller answers a user by itself or by the leader.
func (d *measured) serves(c *Controller) bool {
	_, err := d.Ask(c, "GET", "/v1/jobs/job-000001", nil)
	return err == nil
}

// BenchmarkUpgradeSteps prints distributions for docs/rolling-upgrade.md: run it with
// -benchtime 15x. With -older it also measures the same restarts of that binary, which
// knows nothing of registrations.
func BenchmarkUpgradeSteps(b *testing.B) {
	now, before := newMeasurement(), newMeasurement()
	seed := uint64(0)
	for b.Loop() {
		seed++
		if *olderBinary != "" {
			measureRestarts(b, seed, Program{Name: "older", Binary: *olderBinary}, before)
		}
		measureUpgrade(b, seed, now)
	}
	fmt.Println(now.table("loopback, this version") + before.table("loopback, the version before")) // b.Log cuts it short
}

func measureRestarts(t testing.TB, seed uint64, p Program, into *measurement) {
	d := &measured{newDrill(t, seed), into}
	for _, c := range d.Controllers {
		d.start(c, p)
	}
	d.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	d.check()
	for _, c := range d.Controllers {
		d.watched("a restart", c, p)
	}
	d.atRest()
	d.Close()
}

func measureUpgrade(t testing.TB, seed uint64, into *measurement) {
	d := &measured{newDrill(t, seed), into}
	for _, c := range d.Controllers {
		d.start(c, capped(upgrade.Version1))
	}
	d.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	d.check()
	for _, c := range d.Controllers[:2] {
		d.watched("a restart", c, newer)
	}
	began := time.Now()
	d.start(d.Controllers[2], newer)
	d.eventually("activated", 20*time.Second, func() bool { return d.active(upgrade.Current) })
	d.record("from the last process's start to activation", "ms", time.Since(began).Milliseconds())
	time.Sleep(time.Second)
	d.atRest()
	back := d.Controllers[d.random.IntN(3)]
	began = time.Now()
	d.start(back, capped(upgrade.Version1))
	d.eventually("serves", 20*time.Second, func() bool { return d.serves(back) })
	d.record("rollback: until the older process serves", "ms", time.Since(began).Milliseconds())
	d.eventually("withdrawn", 20*time.Second, func() bool { return d.active(upgrade.Version1) })
	d.record("rollback: until version 1 is active again", "ms", time.Since(began).Milliseconds())
	d.Close()
}
