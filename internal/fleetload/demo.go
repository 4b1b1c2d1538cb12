package fleetload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"sagevale/internal/loopbacktest"
)

// demoStepTimeout limits each submission and each wait for a condition in the demonstration.
const demoStepTimeout = 15 * time.Second

// demonstration is one run of Demo.
type demonstration struct {
	*Experiment
	jobs []loopbacktest.Job // jobs to submit; the first one is the service
}

// Demo starts three controllers and a few simulated workers, submits jobs, kills the leader and checks that the jobs
// complete without a rule violation. It takes less than a minute. Progress messages are written to out.
func Demo(ctx context.Context, config Config, out io.Writer) error {
	config.Controllers, config.Workers, config.StandingTasks, config.Teams = 3, 6, 0, 1
	options := loopbacktest.DefaultOptions()
	options.Workers, options.Teams = config.Workers, []loopbacktest.Team{{Name: teamName(0), CPULimit: 64}}
	fleet, err := loopbacktest.NewFleet(config.Dir, options)
	if err != nil {
		return fmt.Errorf("start the stand-ins: %w", err)
	}
	defer fleet.Close()
	d := &demonstration{Experiment: &Experiment{config: config, out: out, fleet: fleet, result: &Result{}}}
	for _, step := range []func(context.Context) error{d.startFleet, d.submitJobs, d.killLeader, d.awaitJobs} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startFleet starts the controllers and waits for a leader.
func (d *demonstration) startFleet(ctx context.Context) error {
	d.logf("starting %d controllers and %d simulated workers", len(d.fleet.Controllers), d.config.Workers)
	if err := d.start(); err != nil {
		return err
	}
	return waitUntil(ctx, demoStepTimeout, "a controller is the leader", func() bool { return d.fleet.Leader(ctx) != nil })
}

// submitJobs submits the jobs and waits until all tasks of the service run.
func (d *demonstration) submitJobs(ctx context.Context) error {
	d.logf("%s is the leader", d.fleet.Leader(ctx).Name)
	d.jobs = []loopbacktest.Job{
		{ID: "job-000001", Shape: serviceShape, Tasks: 4},
		{ID: "job-000002", Shape: sweepShape, Tasks: 12, RunTime: 2 * time.Second},
		{ID: "job-000003", Shape: sweepShape, Tasks: 6, RunTime: 8 * time.Second, Urgent: true},
	}
	for _, j := range d.jobs {
		if err := d.fleet.Submit(j, demoStepTimeout); err != nil {
			return err
		}
		d.logf("submitted %s: %s with %d tasks", j.ID, j.Shape, j.Tasks)
	}
	if err := waitUntil(ctx, demoStepTimeout, "all tasks of the service run", func() bool { return len(d.fleet.Workers.Running("job-000001")) == 4 }); err != nil {
		return err
	}
	d.printJobs()
	return nil
}

// killLeader kills and restarts the leader, and waits until another controller is the leader.
func (d *demonstration) killLeader(ctx context.Context) error {
	leader := d.fleet.Leader(ctx)
	if leader == nil {
		return errors.New("no controller is the leader")
	}
	d.logf("killing the leader %s", leader.Name)
	d.killAndRestart(ctx, leader)
	if err := waitUntil(ctx, demoStepTimeout, "another controller is the leader", func() bool { l := d.fleet.Leader(ctx); return l != nil && l != leader }); err != nil {
		return err
	}
	d.logf("%s is the leader", d.fleet.Leader(ctx).Name)
	return nil
}

// awaitJobs waits until all jobs except the service are done, and returns an error if a rule was violated.
func (d *demonstration) awaitJobs(ctx context.Context) error {
	for _, j := range d.jobs[1:] {
		done := func() bool {
			s, err := d.fleet.Poll(j.ID)
			return err == nil && s.State == doneState
		}
		if err := waitUntil(ctx, demoStepTimeout, j.ID+" is done", done); err != nil {
			return err
		}
	}
	d.printJobs()
	counts := d.fleet.Workers.Counts()
	d.logf("%d task starts, %d rule violations", counts.Starts, counts.Violations)
	if counts.Violations > 0 {
		return fmt.Errorf("rule violations: %v", d.fleet.Workers.Violations())
	}
	return nil
}

// printJobs polls each job and prints the returned state.
func (d *demonstration) printJobs() {
	for _, j := range d.jobs {
		s, err := d.fleet.Poll(j.ID)
		if err != nil {
			d.logf("%s: %v", j.ID, err)
			continue
		}
		d.logf("%s: %s, %d running, %d done", j.ID, s.State, s.Running, s.Done)
	}
}
