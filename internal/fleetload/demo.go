package fleetload

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"sagevale/internal/loopbacktest"
)

// demoWait is the longest that a step of the demonstration may take.
const demoWait = 15 * time.Second

// demo is a demonstration under way.
type demo struct {
	*Experiment
	jobs []loopbacktest.Job
}

// Demo brings up three controllers and a few hollow workers, submits jobs, ends the leader and shows
// that the work goes on. It ends by itself within a minute.
func Demo(ctx context.Context, config Config, out io.Writer) error {
	config.Controllers, config.Workers, config.Running, config.Teams = 3, 6, 0, 1
	options := loopbacktest.DefaultOptions()
	options.Workers, options.Teams = config.Workers, []loopbacktest.Team{{Name: teamName(0), CPULimit: 64}}
	fleet, err := loopbacktest.NewFleetOf(config.Dir, options)
	if err != nil {
		return fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	d := &demo{Experiment: &Experiment{config: config, out: out, fleet: fleet, result: &Result{}}}
	for _, step := range []func(context.Context) error{d.begin, d.work, d.endLeader, d.finish} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) begin(ctx context.Context) error {
	d.say("starting %d controllers and %d hollow workers", len(d.fleet.Controllers), d.config.Workers)
	if err := d.start(); err != nil {
		return err
	}
	return d.until(ctx, "a leader", func() bool { return d.fleet.Leader() != nil })
}

func (d *demo) work(ctx context.Context) error {
	d.say("%s leads", d.fleet.Leader().Name)
	d.jobs = []loopbacktest.Job{
		{ID: "job-000001", Shape: "service", Tasks: 4},
		{ID: "job-000002", Shape: "sweep", Tasks: 12, Run: 2 * time.Second},
		{ID: "job-000003", Shape: "sweep", Tasks: 6, Run: 8 * time.Second, Urgent: true},
	}
	for _, j := range d.jobs {
		if err := d.fleet.Submit(j, demoWait); err != nil {
			return err
		}
		d.say("submitted %s: %s of %d tasks", j.ID, j.Shape, j.Tasks)
	}
	if err := d.until(ctx, "the service whole", func() bool { return len(d.fleet.Workers.Running("job-000001")) == 4 }); err != nil {
		return err
	}
	d.show()
	return nil
}

func (d *demo) endLeader(ctx context.Context) error {
	leader := d.fleet.Leader()
	if leader == nil {
		return errors.New("nobody leads")
	}
	d.say("ending %s", leader.Name)
	d.end(ctx, leader)
	if err := d.until(ctx, "another leader", func() bool { l := d.fleet.Leader(); return l != nil && l != leader }); err != nil {
		return err
	}
	d.say("%s leads", d.fleet.Leader().Name)
	return nil
}

func (d *demo) finish(ctx context.Context) error {
	for _, j := range d.jobs[1:] {
		done := func() bool {
			s, err := d.fleet.Poll(j.ID)
			return err == nil && s.Standing == "done"
		}
		if err := d.until(ctx, j.ID+" done", done); err != nil {
			return err
		}
	}
	d.show()
	counts := d.fleet.Workers.Counts()
	d.say("%d starts, %d rules broken", counts.Starts, counts.Faults)
	if counts.Faults > 0 {
		return fmt.Errorf("%v", d.fleet.Workers.Faults())
	}
	return nil
}

// show prints each job as its user sees it.
func (d *demo) show() {
	for _, j := range d.jobs {
		s, err := d.fleet.Poll(j.ID)
		if err != nil {
			d.say("%s: %v", j.ID, err)
			continue
		}
		d.say("%s: %s, %d running, %d done", j.ID, s.Standing, s.Running, s.Done)
	}
}

func (d *demo) until(ctx context.Context, what string, ok func() bool) error {
	for end := time.Now().Add(demoWait); time.Now().Before(end); {
		if ok() {
			return nil
		}
		if !sleep(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("not seen within %v: %s", demoWait, what)
}
