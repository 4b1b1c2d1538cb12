package fleetload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"sagevale/internal/loopbacktest"
)

// demoStepTimeout bounds each step of the demonstration.
const demoStepTimeout = 15 * time.Second

// demonstration is a running demonstration.
type demonstration struct {
	*Experiment
	jobs []loopbacktest.Job
}

// Demo starts three controllers and a few hollow workers, submits jobs, kills the leader and shows that
// the work continues. It takes less than a minute. Its progress is written to out.
func Demo(ctx context.Context, config Config, out io.Writer) error {
	config.Controllers, config.Workers, config.StandingTasks, config.Teams = 3, 6, 0, 1
	options := loopbacktest.DefaultOptions()
	options.Workers, options.Teams = config.Workers, []loopbacktest.Team{{Name: teamName(0), CPULimit: 64}}
	fleet, err := loopbacktest.NewFleet(config.Dir, options)
	if err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	d := &demonstration{Experiment: &Experiment{config: config, out: out, fleet: fleet, result: &Result{}}}
	for _, step := range []func(context.Context) error{d.startFleet, d.runJobs, d.killLeader, d.awaitJobs} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startFleet starts the controllers and waits for a leader.
func (d *demonstration) startFleet(ctx context.Context) error {
	d.logf("starting %d controllers and %d hollow workers", len(d.fleet.Controllers), d.config.Workers)
	if err := d.start(); err != nil {
		return err
	}
	return await(ctx, demoStepTimeout, "a leader", func() bool { return d.fleet.Leader(ctx) != nil })
}

// runJobs submits the jobs and waits until the service runs.
func (d *demonstration) runJobs(ctx context.Context) error {
	d.logf("%s leads", d.fleet.Leader(ctx).Name)
	d.jobs = []loopbacktest.Job{
		{ID: "job-000001", Shape: serviceShape, Tasks: 4},
		{ID: "job-000002", Shape: sweepShape, Tasks: 12, Run: 2 * time.Second},
		{ID: "job-000003", Shape: sweepShape, Tasks: 6, Run: 8 * time.Second, Urgent: true},
	}
	for _, j := range d.jobs {
		if err := d.fleet.Submit(j, demoStepTimeout); err != nil {
			return err
		}
		d.logf("submitted %s: %s of %d tasks", j.ID, j.Shape, j.Tasks)
	}
	if err := await(ctx, demoStepTimeout, "the service whole", func() bool { return len(d.fleet.Workers.Running("job-000001")) == 4 }); err != nil {
		return err
	}
	d.printJobs()
	return nil
}

// killLeader kills and restarts the leader, and waits until another controller leads.
func (d *demonstration) killLeader(ctx context.Context) error {
	leader := d.fleet.Leader(ctx)
	if leader == nil {
		return errors.New("nobody leads")
	}
	d.logf("ending %s", leader.Name)
	d.killAndRestart(ctx, leader)
	if err := await(ctx, demoStepTimeout, "another leader", func() bool { l := d.fleet.Leader(ctx); return l != nil && l != leader }); err != nil {
		return err
	}
	d.logf("%s leads", d.fleet.Leader(ctx).Name)
	return nil
}

// awaitJobs waits until the jobs other than the service are done, and checks that no rule was broken.
func (d *demonstration) awaitJobs(ctx context.Context) error {
	for _, j := range d.jobs[1:] {
		done := func() bool {
			s, err := d.fleet.Poll(j.ID)
			return err == nil && s.State == doneState
		}
		if err := await(ctx, demoStepTimeout, j.ID+" done", done); err != nil {
			return err
		}
	}
	d.printJobs()
	counts := d.fleet.Workers.Counts()
	d.logf("%d starts, %d rules broken", counts.Starts, counts.Violations)
	if counts.Violations > 0 {
		return fmt.Errorf("%v", d.fleet.Workers.Violations())
	}
	return nil
}

// printJobs prints the state of each job as its user sees it.
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
