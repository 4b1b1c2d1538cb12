package loopbacktest

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

var (
	olderBinary  = flag.String("older", "", "path of a binary of an earlier commit, from which the fleet is upgraded; if empty, this source, capped at version 1")
	seeds        = flag.Int("seeds", 2, "number of random orders of upgrades")
	firstSeed    = flag.Uint64("seed", 1, "seed of the first random order")
	stepsPerSeed = flag.Int("steps", 8, "steps per random order")
)

// currentProgram is the program that is built from this source, once for all tests.
var currentProgram Program

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds currentProgram, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "sagevale-loopback")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary, err := Build(context.Background(), dir, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	currentProgram = Program{Name: "newer", Binary: binary}
	return m.Run()
}

// cappedAt returns the program of this source, limited to the behavior of an earlier version. It registers the versions
// that it supports, even if the program of that earlier version didn't.
func cappedAt(version upgrade.Version) Program {
	return Program{Name: fmt.Sprintf("capped at %d", version), Binary: currentProgram.Binary, Properties: fmt.Sprintf("upgrade.test.cap = %d\n", version)}
}

// olderProgram returns the program that the fleet is upgraded from.
func olderProgram() Program {
	if *olderBinary == "" {
		return cappedAt(upgrade.Version1)
	}
	return Program{Name: "older", Binary: *olderBinary}
}

// testFleet is a fleet with the jobs that were submitted to it. Its methods fail the test on errors.
type testFleet struct {
	*Fleet
	tb     testing.TB
	random *rand.Rand
	jobs   []Job
}

// newTestFleet starts the stand-ins for the services that a fleet needs, but not the controllers. When the test ends, the
// fleet is closed. If the test has failed, the last lines of the controllers' logs are printed first.
func newTestFleet(tb testing.TB, seed uint64) *testFleet {
	tb.Helper()
	fleet, err := NewFleet(tb.TempDir(), DefaultOptions())
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if tb.Failed() {
			for _, c := range fleet.Controllers {
				tb.Logf("log of %s:\n%s", c.Name, lastLines(fleet.Log(c), 25))
			}
		}
		fleet.Close()
	})
	return &testFleet{Fleet: fleet, tb: tb, random: rand.New(rand.NewPCG(seed, 77))}
}

func lastLines(text string, n int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

func (f *testFleet) start(c *Controller, p Program) {
	f.tb.Helper()
	if err := f.Start(c, p); err != nil {
		f.tb.Fatal(err)
	}
}

func (f *testFleet) submit(j Job) {
	f.tb.Helper()
	if err := f.Submit(j, 40*time.Second); err != nil {
		f.tb.Fatalf("%s: %v", j.ID, err)
	}
	f.jobs = append(f.jobs, j)
}

// eventually waits until a condition holds, and fails the test after the timeout.
func (f *testFleet) eventually(what string, timeout time.Duration, condition func() bool) {
	f.tb.Helper()
	began := time.Now()
	for time.Since(began) < timeout {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	record, err := f.ClusterRecord(f.tb.Context())
	f.tb.Fatalf("not seen within %v: %s; cluster record %+v, %v", timeout, what, record, err)
}

// versionActive reports whether a version is active and is not being withdrawn.
func (f *testFleet) versionActive(version upgrade.Version) bool {
	record, err := f.ClusterRecord(f.tb.Context())
	return err == nil && record.Active == version && record.Phase != upgrade.Withdrawing
}

// exited reports whether the process that was last started for the controller has exited.
func (f *testFleet) exited(c *Controller) bool {
	f.tb.Helper()
	select {
	case <-c.exited:
		return true
	default:
		return false
	}
}

// canDowngrade reports whether a controller may be downgraded. One of two conditions must hold: no feature gate of a
// version after the baseline version is in use, or another controller runs the current program, which supports all gates.
func (f *testFleet) canDowngrade(c *Controller) bool {
	record, err := f.ClusterRecord(f.tb.Context())
	if err != nil {
		f.tb.Fatal(err)
	}
	inUse := false
	for _, name := range record.GateNames() {
		inUse = inUse || record.Gate(name).Used && record.Gate(name).Since > upgrade.Baseline
	}
	othersSupportGates := slices.ContainsFunc(f.Controllers, func(other *Controller) bool {
		return other != c && other.Program.Name == currentProgram.Name
	})
	return !inUse || othersSupportGates
}

// restartAndSubmit upgrades, downgrades or kills a random controller and submits a job.
func (f *testFleet) restartAndSubmit(step int, older Program) {
	f.tb.Helper()
	c := f.Controllers[f.random.IntN(len(f.Controllers))]
	switch action := f.random.IntN(6); {
	case action < 3:
		f.start(c, currentProgram)
	case action < 5 && f.canDowngrade(c):
		f.start(c, older)
	default:
		f.start(c, c.Program) // kill and restart
	}
	job := Job{Shape: "sweep"}
	if record, err := f.ClusterRecord(f.tb.Context()); err == nil && record.Gate(upgrade.GangJobs).Phase == upgrade.GateOpen && f.random.IntN(2) == 0 {
		job.Shape = gangShape
	}
	job.ID, job.Tasks, job.RunTime = fmt.Sprintf("job-%06d", 100+step), 2+f.random.IntN(4), 300*time.Millisecond
	if !job.isGang() {
		f.submit(job)
	} else if f.Submit(job, time.Second) == nil { // an older controller in the fleet may refuse a gang job
		f.jobs = append(f.jobs, job)
	}
	time.Sleep(time.Duration(f.random.IntN(1500)) * time.Millisecond) // up to 1.5 s between two steps
}

// checkJobs checks that services run all tasks, that other jobs complete, and that the audit log has found no violation of
// its rules.
func (f *testFleet) checkJobs() {
	f.tb.Helper()
	for _, j := range f.jobs {
		if j.isService() {
			f.eventually(j.ID+" runs all tasks exactly once", 40*time.Second, func() bool { return f.runsOnce(j) })
			continue
		}
		f.eventually(j.ID+" done", 60*time.Second, func() bool {
			s, err := f.Poll(j.ID)
			return err == nil && s.State == "done"
		})
		if !f.Workers.JobDone(j.ID) {
			f.tb.Errorf("%s is reported as done, but not all of its tasks have completed", j.ID)
		}
	}
	for _, violation := range f.Workers.Violations() {
		f.tb.Errorf("broken rule: %v", violation)
	}
}

// runsOnce reports whether each task of a job runs on exactly one machine.
func (f *testFleet) runsOnce(j Job) bool {
	running := f.Workers.Running(j.ID)
	for _, attempts := range running {
		if attempts != 1 {
			return false
		}
	}
	return len(running) == j.Tasks
}

// TestUpgradesInRandomOrder upgrades, kills and rolls back three controllers in random order while
// jobs are submitted. No task may be lost, and none may run twice at the same time.
func TestUpgradesInRandomOrder(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t, seed)
			for _, c := range f.Controllers {
				f.start(c, olderProgram())
			}
			f.submit(Job{ID: "job-000001", Shape: "service", Tasks: 4})
			for i := range *stepsPerSeed {
				f.restartAndSubmit(i, olderProgram())
			}
			for _, c := range f.Controllers {
				if c.Program.Name != currentProgram.Name {
					f.start(c, currentProgram)
				}
			}
			f.eventually("this version active", 40*time.Second, func() bool { return f.versionActive(upgrade.Current) })
			f.submit(Job{ID: "job-000002", Shape: "group", Tasks: 3, RunTime: 300 * time.Millisecond})
			f.checkJobs()
		})
	}
}

// TestFinalizedClusterRefusesOlderController finalizes the current version, so that no controller may run an earlier
// version any more. A controller of an earlier version must exit with an error. The last line of its log must name the
// required version. The other controllers must continue to serve.
func TestFinalizedClusterRefusesOlderController(t *testing.T) {
	f := newTestFleet(t, 1)
	finalizing := currentProgram
	finalizing.Properties = "upgrade.finalize = auto\nupgrade.soak = 200ms\n"
	for _, c := range f.Controllers {
		f.start(c, finalizing)
	}
	f.submit(Job{ID: "job-000001", Shape: "service", Tasks: 3})
	f.eventually("finalized", 20*time.Second, func() bool {
		record, err := f.ClusterRecord(f.tb.Context())
		return err == nil && record.Minimum == upgrade.Current
	})
	older := f.Controllers[1]
	f.start(older, cappedAt(upgrade.Version2))
	f.eventually("refused", 20*time.Second, func() bool { return f.exited(older) })
	want := fmt.Sprintf("version %d or later is needed", upgrade.Current)
	if got := lastLines(f.Log(older), 1); !strings.HasPrefix(got, "sagevale: ") || !strings.Contains(got, want) {
		t.Errorf("got last line %q, want a line of sagevale with %q", got, want)
	}
	if code := older.process.ProcessState.ExitCode(); code == 0 {
		t.Errorf("got exit code %d, want a nonzero code", code)
	}
	f.submit(Job{ID: "job-000002", Shape: "sweep", Tasks: 3, RunTime: 200 * time.Millisecond})
	f.checkJobs()
}

// upgradeStatus runs the command "upgrade status" with the settings of a controller and returns its output.
func (f *testFleet) upgradeStatus(c *Controller) (string, error) {
	out, err := exec.CommandContext(f.tb.Context(), currentProgram.Binary, "upgrade", "status", "--config", f.settingsPath(c)).CombinedOutput()
	return string(out), err
}

// TestUpgradeStatus checks the output of "upgrade status" in three cases: a controller has not registered its versions yet,
// the current version is active, and the cluster record is damaged. The command needs only the key-value store.
func TestUpgradeStatus(t *testing.T) {
	f := newTestFleet(t, 1)
	for _, c := range f.Controllers[:2] {
		f.start(c, currentProgram)
	}
	f.eventually("waiting for the third node", 20*time.Second, func() bool {
		out, err := f.upgradeStatus(f.Controllers[0])
		return err == nil && strings.Contains(out, "version 2: the versions of node node-2 are not known") && strings.Contains(out, "not registered")
	})
	f.start(f.Controllers[2], currentProgram)
	f.eventually("active", 20*time.Second, func() bool { return f.versionActive(upgrade.Current) })
	f.submit(Job{ID: "job-000001", Shape: "group", Tasks: 2, RunTime: 100 * time.Millisecond})
	out, err := f.upgradeStatus(f.Controllers[1])
	if err != nil {
		t.Fatalf("upgrade status: %v\n%s", err, out)
	}
	t.Log("\n" + out)
	for _, want := range []string{"active version:", "soaking", "gang-jobs", "fenced-term", "node-2", upgrade.Supported.String(), "held back by upgrade.finalize"} {
		if !strings.Contains(out, want) {
			t.Errorf("got status\n%s\nwant it to contain %q", out, want)
		}
	}
	if _, err := f.Store.Service.Apply(nil, []storage.Op{{Key: clusterKey, Data: []byte(`{"schema":1}`)}}); err != nil {
		t.Fatal(err)
	}
	if out, err := f.upgradeStatus(f.Controllers[1]); err == nil || !strings.Contains(out, "key upgrade/cluster is damaged") || strings.Count(out, "\n") != 1 {
		t.Errorf("got error %v and output %q, want an error and one line that names the damaged key", err, out)
	}
}
