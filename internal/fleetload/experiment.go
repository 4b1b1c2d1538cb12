package fleetload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"sagevale/internal/loopbacktest"
)

// conditionPollInterval is the interval at which waitUntil checks a condition.
const conditionPollInterval = 20 * time.Millisecond

// Experiment is one run of a Config. Its methods must not be called concurrently.
type Experiment struct {
	config Config
	out    io.Writer // for progress messages
	fleet  *loopbacktest.Fleet
	users  *users
	result *Result
}

// Run runs an experiment. If ctx ends early, Run stops everything that it has started and returns the measurements
// made so far. Progress messages are written to out.
func Run(ctx context.Context, config Config, out io.Writer) (*Result, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	e := &Experiment{config: config, out: out, result: &Result{Config: config}}
	fleet, err := loopbacktest.NewFleet(config.Dir, config.fleetOptions())
	if err != nil {
		return nil, fmt.Errorf("start the stand-ins: %w", err)
	}
	defer fleet.Close()
	e.fleet, e.users = fleet, newUsers(fleet, &e.config)
	if err := e.storeFinishedJobs(); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	err = e.awaitStandingTasks(ctx)
	if err == nil {
		e.measure(ctx)
	}
	e.collectResults(context.WithoutCancel(ctx)) // the requests to the store must also work after ctx was cancelled
	if err != nil && !errors.Is(err, context.Canceled) {
		return e.result, err
	}
	return e.result, nil
}

// fleetOptions returns the options of the experiment's fleet.
func (c *Config) fleetOptions() loopbacktest.Options {
	o := loopbacktest.DefaultOptions()
	o.Controllers, o.Workers, o.MachineLimit, o.MachineCPUs = c.Controllers, c.Workers, c.Workers, slotsPerWorker
	o.Timing = loopbacktest.Timing{
		Heartbeat: c.HeartbeatInterval, MinHeartbeatInterval: min(500*time.Millisecond, c.HeartbeatInterval/4), Lease: c.Lease, CancelLimit: 2*c.Lease + 8*time.Second,
		Boot: 2 * time.Second, ImageFetch: 100 * time.Millisecond,
	}
	o.Teams = nil
	for i := range c.Teams {
		o.Teams = append(o.Teams, loopbacktest.Team{Name: teamName(i), CPULimit: c.teamLimit()})
	}
	o.RequestsPerS, o.ChangesPerS = 4*c.StoreChangesPerS, c.StoreChangesPerS
	o.MemoryMB, o.Sockets, o.LogLevel = c.MemoryMB, c.Workers+2000, c.LogLevel
	return o
}

// teamLimit returns the processor limit of each team. It is 1.25 times the team's even share of all tasks, plus the tasks
// of one standing job. Each task takes one processor.
func (c *Config) teamLimit() float64 {
	evenShare := float64(c.standingTasks()+c.concurrentShortTasks()) / float64(c.Teams)
	return math.Ceil(1.25*evenShare) + float64(c.TasksPerStandingJob)
}

// properties returns the controllers' properties. They prevent scale-in during the experiment, and enable the features that
// the configuration selects.
func (c *Config) properties() string {
	text := "fleet.down.window = 24h\nfleet.cooldown = 24h\n"
	if c.EnableFencing {
		text += "fencing.enabled = true\n"
	}
	if c.EnableArchive {
		text += "archive.enabled = true\n"
		if c.ArchiveKeep >= 0 {
			text += fmt.Sprintf("archive.keep = %d\n", c.ArchiveKeep)
		}
	}
	return text
}

// logf writes a progress message with the time.
func (e *Experiment) logf(format string, args ...any) {
	fmt.Fprintf(e.out, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
}

// start starts a process for each controller.
func (e *Experiment) start() error {
	program := loopbacktest.Program{Name: "sagevale", Binary: e.config.Binary, Properties: e.config.properties()}
	for _, c := range e.fleet.Controllers {
		if err := e.fleet.Start(c, program); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	return nil
}

// awaitStandingTasks submits the standing jobs and waits until all their tasks run.
func (e *Experiment) awaitStandingTasks(ctx context.Context) error {
	began := time.Now()
	if err := e.users.submitStandingJobs(ctx); err != nil {
		return err
	}
	for {
		counts := e.fleet.Workers.Counts()
		if counts.Running >= e.config.standingTasks() {
			e.result.FillS = time.Since(began).Seconds()
			e.logf("%d tasks are running on %d workers after %.1f s", counts.Running, counts.Machines, e.result.FillS)
			return nil
		}
		if time.Since(began) > e.config.FillTimeout {
			return fmt.Errorf("only %d of %d standing tasks are running after %v", counts.Running, e.config.standingTasks(), e.config.FillTimeout)
		}
		if !sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
}

// collectResults copies measurements to the result: those of the users, the workers and the key-value store, and those in
// the controllers' logs.
func (e *Experiment) collectResults(ctx context.Context) {
	r, u := e.result, e.users
	u.update(func() {
		r.AcceptedJobs, r.DoneJobs, r.CancelledJobs, r.SkippedJobs, r.FailedRequests = u.acceptedJobs, u.doneJobs, u.cancelledJobs, u.skippedJobs, u.failedRequests
		r.Violations = append(r.Violations, u.violations...)
		r.Latencies = map[string]Quantiles{
			"submit to accepted":          u.submitLatency.quantiles(),
			"poll":                        u.pollLatency.quantiles(),
			"poll, finished before":       u.finishedJobPollLatency.quantiles(),
			"burst, submit to accepted":   u.bursts.acceptLatency.quantiles(),
			"burst, told to return after": u.bursts.retryAfter.quantiles(),
		}
		r.Bursts = u.bursts.BurstFigures
	})
	for class, h := range e.fleet.Workers.StartLatencies() {
		r.Latencies["accepted to start, "+string(class)] = quantiles(h)
	}
	r.Latencies["report to answer"] = quantiles(e.fleet.Workers.HeartbeatLatencies())
	for _, violation := range e.fleet.Workers.Violations() {
		r.Violations = append(r.Violations, violation.String())
	}
	r.RunningTasks = e.fleet.Workers.Counts().Running
	r.LeaderHeapMB = leaderHeapMB(ctx, e.fleet)
	r.FailoverLoadMS = stateLoadTimes(e.fleet)
	r.Store.StoredKB, r.Store.StoredKeys = e.fleet.Store.StoredSize()
}

// BuildProgram builds the controllers' program from this source tree into dir and returns its path.
func BuildProgram(ctx context.Context, dir string) (string, error) {
	return loopbacktest.Build(ctx, dir, os.Stderr)
}

// sleep waits for a duration. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// waitUntil polls a condition until it holds. It returns an error after the timeout, or if ctx ends first.
func waitUntil(ctx context.Context, timeout time.Duration, description string, condition func() bool) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		if condition() {
			return nil
		}
		if !sleep(ctx, conditionPollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("timed out after %v waiting until %s", timeout, description)
}
