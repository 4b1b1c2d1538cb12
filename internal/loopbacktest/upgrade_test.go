package loopbacktest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

var (
	olderBinary = flag.String("older", "", "a binary of an earlier commit, to upgrade from; empty: this source, capped at version 1")
	olderTold   = flag.String("older.registers", "no", "whether that binary registers: yes or no")
	seeds       = flag.Int("seeds", 2, "random orders to play")
	firstSeed   = flag.Uint64("seed", 1, "the first of them")
	stepsEach   = flag.Int("steps", 8, "steps of each")
)

// newer is this source, built once for all tests.
var newer Program

func TestMain(m *testing.M) {
	flag.Parse()
	dir, err := os.MkdirTemp("", "sagevale-loopback")
	if err != nil {
		panic(err)
	}
	newer = Program{Name: "newer", Binary: filepath.Join(dir, "sagevale"), Registers: true}
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", newer.Binary, "sagevale/cmd/sagevale")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err, string(out))
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// capped is this source acting as an earlier version that registers.
func capped(version upgrade.Version) Program {
	return Program{Name: fmt.Sprintf("capped at %d", version), Binary: newer.Binary, Properties: fmt.Sprintf("upgrade.test.cap = %d\n", version), Registers: true}
}

// older is what the fleet is upgraded from.
func older() Program {
	if *olderBinary == "" {
		return capped(upgrade.Version1)
	}
	return Program{Name: "older", Binary: *olderBinary, Registers: *olderTold == "yes"}
}

// drill is one fleet under a steady stream of jobs.
type drill struct {
	*Fleet
	t      testing.TB
	random *rand.Rand
	jobs   []Job
}

func newDrill(t testing.TB, seed uint64) *drill {
	t.Helper()
	f, err := NewFleet(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	d := &drill{Fleet: f, t: t, random: rand.New(rand.NewPCG(seed, 77))}
	t.Cleanup(func() {
		if t.Failed() {
			for _, c := range f.Controllers {
				t.Logf("log of %s:\n%s", c.Name, lastLines(f.Log(c), 25))
			}
		}
		f.Close()
	})
	return d
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (d *drill) start(c *Controller, p Program) {
	d.t.Helper()
	if err := d.Start(c, p); err != nil {
		d.t.Fatal(err)
	}
}

func (d *drill) submit(j Job) {
	d.t.Helper()
	if err := d.Submit(j, 40*time.Second); err != nil {
		d.t.Fatalf("%s: %v", j.ID, err)
	}
	d.jobs = append(d.jobs, j)
}

func (d *drill) eventually(what string, within time.Duration, ok func() bool) time.Duration {
	d.t.Helper()
	began := time.Now()
	for time.Since(began) < within {
		if ok() {
			return time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	record, err := d.Cluster()
	d.t.Fatalf("within %v not seen: %s; cluster record %+v, %v", within, what, record, err)
	return 0
}

func (d *drill) active(version upgrade.Version) bool {
	r, err := d.Cluster()
	return err == nil && r.Active == version && r.Phase != upgrade.Withdrawing
}

// mayGoBack tells whether a controller may go back without leaving a gate in use to none
// that knows it.
func (d *drill) mayGoBack(c *Controller) bool {
	record, err := d.Cluster()
	if err != nil {
		d.t.Fatal(err)
	}
	inUse := false
	for _, name := range record.GateNames() {
		inUse = inUse || record.Gate(name).Used && record.Gate(name).Since > upgrade.Baseline
	}
	others := 0
	for _, o := range d.Controllers {
		if o != c && o.Program.Name == newer.Name {
			others++
		}
	}
	return !inUse || others > 0
}

// step does one thing to one controller.
func (d *drill) step(i int, old Program) {
	c := d.Controllers[d.random.IntN(len(d.Controllers))]
	switch what := d.random.IntN(6); {
	case what < 3:
		d.start(c, newer)
	case what < 5 && d.mayGoBack(c):
		d.start(c, old)
	default:
		d.start(c, c.Program) // a kill
	}
	shape := "sweep"
	if record, err := d.Cluster(); err == nil && record.Gate(upgrade.GangJobs).Phase == upgrade.GateOpen && d.random.IntN(2) == 0 {
		shape = "group"
	}
	job := Job{ID: fmt.Sprintf("job-%06d", 100+i), Shape: shape, Tasks: 2 + d.random.IntN(4), Run: 300 * time.Millisecond}
	if shape == "group" {
		// It may be refused for as long as an older controller is there.
		if d.Submit(job, time.Second) == nil {
			d.jobs = append(d.jobs, job)
		}
	} else {
		d.submit(job)
	}
	time.Sleep(time.Duration(d.random.IntN(1500)) * time.Millisecond) // a halt of any length
}

// check holds the workers' own logs against what was asked.
func (d *drill) check() {
	d.t.Helper()
	for _, j := range d.jobs {
		if j.Shape == "service" {
			d.eventually(j.ID+" runs whole", 40*time.Second, func() bool {
				running := d.Workers.Running(j.ID)
				for _, n := range running {
					if n != 1 {
						return false
					}
				}
				return len(running) == j.Tasks
			})
			continue
		}
		d.eventually(j.ID+" done", 60*time.Second, func() bool {
			s, err := d.Poll(j.ID)
			return err == nil && s.Standing == "done"
		})
		if !d.Workers.Done(j.ID) {
			d.t.Errorf("not_done: %s is called done", j.ID)
		}
	}
	for _, fault := range d.Workers.Faults() {
		d.t.Error(fault)
	}
}

// Three controllers are upgraded, halted, killed and rolled back in random order under a
// steady stream of jobs: no replica is lost, and none runs twice.
func TestUpgradesInRandomOrder(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			d := newDrill(t, seed)
			for _, c := range d.Controllers {
				d.start(c, older())
			}
			d.submit(Job{ID: "job-000001", Shape: "service", Tasks: 4})
			for i := range *stepsEach {
				d.step(i, older())
			}
			for _, c := range d.Controllers {
				if c.Program.Name != newer.Name {
					d.start(c, newer)
				}
			}
			d.eventually("this version active", 40*time.Second, func() bool { return d.active(upgrade.Current) })
			d.submit(Job{ID: "job-000002", Shape: "group", Tasks: 3, Run: 300 * time.Millisecond})
			d.check()
		})
	}
}

// After finalization an older controller ends with one line that names the version it
// needs, and the others serve on.
func TestAnOlderControllerIsRefusedAfterFinalization(t *testing.T) {
	d := newDrill(t, 1)
	finalizing := newer
	finalizing.Properties = "upgrade.finalize = auto\nupgrade.soak = 200ms\n"
	for _, c := range d.Controllers {
		d.start(c, finalizing)
	}
	d.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	d.eventually("finalized", 20*time.Second, func() bool { r, err := d.Cluster(); return err == nil && r.Minimum == upgrade.Current })
	back := d.Controllers[1]
	d.start(back, capped(upgrade.Version2))
	d.eventually("refused", 20*time.Second, back.Ended)
	if last := lastLines(d.Log(back), 1); !strings.HasPrefix(last, "sagevale: ") || !strings.Contains(last, fmt.Sprintf("version %d or later is needed", upgrade.Current)) {
		t.Errorf("it ends with %q", last)
	}
	if code := back.process.ProcessState.ExitCode(); code == 0 {
		t.Error("it exits with 0")
	}
	d.submit(Job{ID: "job-000002", Shape: "sweep", Tasks: 3, Run: 200 * time.Millisecond})
	d.check()
}

// upgradeStatus runs the operators' command.
func (d *drill) upgradeStatus(c *Controller) (string, error) {
	out, err := exec.Command(newer.Binary, "upgrade", "status", "--config", filepath.Join(d.dir, c.Name+".toml")).CombinedOutput()
	return string(out), err
}

// The status is read from the state service alone, and a damaged record is named.
func TestUpgradeStatus(t *testing.T) {
	d := newDrill(t, 1)
	for _, c := range d.Controllers[:2] {
		d.start(c, newer)
	}
	d.eventually("waiting for the third node", 20*time.Second, func() bool {
		out, err := d.upgradeStatus(d.Controllers[0])
		return err == nil && strings.Contains(out, "version 2: the versions of node node-2 are not known") && strings.Contains(out, "not registered")
	})
	d.start(d.Controllers[2], newer)
	d.eventually("active", 20*time.Second, func() bool { return d.active(upgrade.Current) })
	d.submit(Job{ID: "job-000001", Shape: "group", Tasks: 2, Run: 100 * time.Millisecond})
	out, err := d.upgradeStatus(d.Controllers[1])
	if err != nil {
		t.Fatal(err, out)
	}
	t.Log("\n" + out)
	for _, want := range []string{"active version:", "soaking", "gang-jobs", "fenced-term", "node-2", upgrade.Supported.String(), "held back by upgrade.finalize"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in:\n%s", want, out)
		}
	}
	if _, err := d.State.Store.Apply(nil, []storage.Op{{Key: "upgrade/cluster", Data: []byte(`{"schema":1}`)}}); err != nil {
		t.Fatal(err)
	}
	if out, err := d.upgradeStatus(d.Controllers[1]); err == nil || !strings.Contains(out, "key upgrade/cluster is damaged") || strings.Count(out, "\n") != 1 {
		t.Errorf("%v: %s", err, out)
	}
}
