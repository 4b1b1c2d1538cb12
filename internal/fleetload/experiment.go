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

// conditionPollInterval is the interval at which await polls a condition.
const conditionPollInterval = 20 * time.Millisecond

// Experiment is one run of a Config. Its functions must not be called concurrently.
type Experiment struct {
	config Config
	out    io.Writer // for progress messages
	fleet  *loopbacktest.Fleet
	users  *users
	result *Result
}

// Run runs an experiment. If ctx ends early, all that was started is stopped and the result has what was
// measured so far. Progress is written to out.
func Run(ctx context.Context, config Config, out io.Writer) (*Result, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	e := &Experiment{config: config, out: out, result: &Result{Config: config}}
	fleet, err := loopbacktest.NewFleet(config.Dir, config.fleetOptions())
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	e.fleet, e.users = fleet, newUsers(fleet, &e.config)
	if err := e.storeFinished(); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	err = e.awaitStanding(ctx)
	if err == nil {
		e.measure(ctx)
	}
	e.collectResults(context.WithoutCancel(ctx)) // also after an interruption
	if err != nil && !errors.Is(err, context.Canceled) {
		return e.result, err
	}
	return e.result, nil
}

// fleetOptions returns the options of the fleet.
func (c *Config) fleetOptions() loopbacktest.Options {
	o := loopbacktest.DefaultOptions()
	o.Controllers, o.Workers, o.MachineLimit, o.MachineCPUs = c.Controllers, c.Workers, c.Workers, taskSlots
	o.Timing = loopbacktest.Timing{
		Heartbeat: c.HeartbeatInterval, Change: min(500*time.Millisecond, c.HeartbeatInterval/4), Lease: c.Lease, Cancel: 2*c.Lease + 8*time.Second,
		Boot: 2 * time.Second, Fetch: 100 * time.Millisecond,
	}
	o.Teams = nil
	for i := range c.Teams {
		o.Teams = append(o.Teams, loopbacktest.Team{Name: teamName(i), CPULimit: c.teamLimit()})
	}
	o.RequestsPerS, o.ChangesPerS = 4*c.ChangesPerS, c.ChangesPerS
	o.MemoryMB, o.Sockets, o.LogLevel = c.MemoryMB, c.Workers+2000, c.LogLevel
	return o
}

// teamLimit returns the limit of a team: a quarter above its even share of all tasks.
func (c *Config) teamLimit() float64 {
	even := float64(c.standingTasks()+c.shortTasks()) / float64(c.Teams)
	return math.Ceil(1.25*even) + float64(c.TasksPerStandingJob)
}

// properties returns the controllers' properties: they keep the size of the fleet, and enable the features of
// the experiment.
func (c *Config) properties() string {
	text := "fleet.down.window = 24h\nfleet.cooldown = 24h\n"
	if c.Fencing {
		text += "fencing.enabled = true\n"
	}
	if c.Archive {
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

// start starts all controllers.
func (e *Experiment) start() error {
	program := loopbacktest.Program{Name: "sagevale", Binary: e.config.Binary, Properties: e.config.properties()}
	for _, c := range e.fleet.Controllers {
		if err := e.fleet.Start(c, program); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	return nil
}

// awaitStanding submits the standing jobs and waits until their tasks run.
func (e *Experiment) awaitStanding(ctx context.Context) error {
	began := time.Now()
	if err := e.users.submitStanding(ctx); err != nil {
		return err
	}
	for {
		counts := e.fleet.Workers.Counts()
		if counts.Running >= e.config.standingTasks() {
			e.result.FillS = time.Since(began).Seconds()
			e.logf("%d tasks run on %d workers after %.1f s", counts.Running, counts.Machines, e.result.FillS)
			return nil
		}
		if time.Since(began) > e.config.FillTimeout {
			return fmt.Errorf("only %d of %d standing tasks run after %v", counts.Running, e.config.standingTasks(), e.config.FillTimeout)
		}
		if !sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
}

// collectResults adds to the result what the users and workers have recorded.
func (e *Experiment) collectResults(ctx context.Context) {
	r, u := e.result, e.users
	u.update(func() {
		r.Submitted, r.DoneJobs, r.CancelledJobs, r.SkippedJobs, r.FailedRequests = u.submitted, u.doneJobs, u.cancelled, u.skipped, u.failed
		r.Broken = append(r.Broken, u.violations...)
		r.Latencies = map[string]Quantiles{
			"submit to accepted":          u.submitLatency.quantiles(),
			"poll":                        u.pollLatency.quantiles(),
			"poll, finished before":       u.finalPollLatency.quantiles(),
			"burst, submit to accepted":   u.bursts.accepted.quantiles(),
			"burst, told to return after": u.bursts.retryAfter.quantiles(),
		}
		r.Bursts = u.bursts.BurstFigures
	})
	for class, h := range e.fleet.Workers.StartLatencies() {
		r.Latencies["accepted to start, "+string(class)] = quantiles(h)
	}
	r.Latencies["report to answer"] = quantiles(e.fleet.Workers.HeartbeatLatencies())
	for _, fault := range e.fleet.Workers.Violations() {
		r.Broken = append(r.Broken, fault.String())
	}
	r.RunningTasks = e.fleet.Workers.Counts().Running
	r.LeaderHeapMB = leaderHeapMB(ctx, e.fleet)
	r.FailoverLoadMS = stateLoadTimes(e.fleet)
	r.State.StoredKB, r.State.StoredKeys = e.fleet.Store.Stored()
}

// Program builds the controllers' program of this source into dir and returns its path.
func Program(ctx context.Context, dir string) (string, error) {
	return loopbacktest.Build(ctx, dir, os.Stderr)
}

// sleep waits for a duration and reports whether it was not interrupted by ctx.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// await polls a condition until it holds. It returns an error after the timeout, or if ctx ends.
func await(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); {
		if condition() {
			return nil
		}
		if !sleep(ctx, conditionPollInterval) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not seen within %v: %s", timeout, what)
}
