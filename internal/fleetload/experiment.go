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
	"sagevale/internal/storage/storagetest"
)

// Experiment is one run of a Config.
type Experiment struct {
	config Config
	out    io.Writer // what is going on, for people
	fleet  *loopbacktest.Fleet
	load   *load
	result *Result
}

// Run carries an experiment out. An interruption by ctx ends all that was started and still
// returns what has been measured.
func Run(ctx context.Context, config Config, out io.Writer) (*Result, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	e := &Experiment{config: config, out: out, result: &Result{Config: config}}
	fleet, err := loopbacktest.NewFleetOf(config.Dir, config.options())
	if err != nil {
		return nil, fmt.Errorf("stand-ins: %w", err)
	}
	defer fleet.Close()
	e.fleet, e.load = fleet, newLoad(fleet, &e.config)
	if err := e.seed(); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	err = e.fill(ctx)
	if err == nil {
		e.measure(ctx)
	}
	e.collect()
	if err != nil && !errors.Is(err, context.Canceled) {
		return e.result, err
	}
	return e.result, nil
}

// options are the fleet's.
func (c *Config) options() loopbacktest.Options {
	o := loopbacktest.DefaultOptions()
	o.Controllers, o.Workers, o.MachineLimit, o.MachineCPUs = c.Controllers, c.Workers, c.Workers, taskSlots
	o.Timing = loopbacktest.Timing{
		Report: c.Report, Change: min(500*time.Millisecond, c.Report/4), Lease: c.Lease, Cancel: 2*c.Lease + 8*time.Second,
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

// teamLimit leaves each team a quarter more than its even share of what is to run.
func (c *Config) teamLimit() float64 {
	even := float64(c.standing()+c.churning()) / float64(c.Teams)
	return math.Ceil(1.25*even) + float64(c.PerStanding)
}

// properties keep the fleet at its size, and switch on what the experiment asks for.
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

func (e *Experiment) say(format string, args ...any) {
	fmt.Fprintf(e.out, "%s  %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, args...))
}

func (e *Experiment) start() error {
	program := loopbacktest.Program{Name: "sagevale", Binary: e.config.Binary, Properties: e.config.properties()}
	for _, c := range e.fleet.Controllers {
		if err := e.fleet.Start(c, program); err != nil {
			return fmt.Errorf("start %s: %w", c.Name, err)
		}
	}
	return nil
}

// fill waits until the standing tasks run.
func (e *Experiment) fill(ctx context.Context) error {
	began := time.Now()
	if err := e.load.stand(ctx); err != nil {
		return err
	}
	for {
		counts := e.fleet.Workers.Counts()
		if counts.Present >= e.config.standing() {
			e.result.FillS = time.Since(began).Seconds()
			e.say("%d tasks run on %d workers after %.1f s", counts.Present, counts.Machines, e.result.FillS)
			return nil
		}
		if time.Since(began) > e.config.Fill {
			return fmt.Errorf("only %d of %d standing tasks run after %v", counts.Present, e.config.standing(), e.config.Fill)
		}
		if !sleep(ctx, time.Second) {
			return ctx.Err()
		}
	}
}

// settleTime is how long the fleet rests before it is measured, in report intervals.
const settleTime = 2

// measure runs the load and the faults for the duration.
func (e *Experiment) measure(ctx context.Context) {
	if !sleep(ctx, settleTime*e.config.Report) {
		return
	}
	e.fleet.Traffic.Reset()
	e.fleet.Workers.ResetDelays()
	requests, bytes, changes := e.fleet.State.Requests.Load(), e.fleet.State.Bytes.Load(), e.fleet.State.Changes.Load()
	starts := e.fleet.Workers.Counts().Starts
	before := e.usage()
	began := time.Now()
	lctx, stop := context.WithTimeout(ctx, e.config.Duration)
	defer stop()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		e.bringAbout(lctx, began)
	}()
	go e.load.pollFinished(lctx)
	go e.sampleWorkers(lctx)
	e.load.churn(lctx)
	<-faults
	took := time.Since(began).Seconds()
	r := e.result
	r.MeasuredS = took
	r.StartsPerS = float64(e.fleet.Workers.Counts().Starts-starts) / took
	r.State = StateFigures{
		RequestsPerS: float64(e.fleet.State.Requests.Load()-requests) / took,
		ChangesPerS:  float64(e.fleet.State.Changes.Load()-changes) / took,
		KBPerS:       float64(e.fleet.State.Bytes.Load()-bytes) / 1024 / took,
	}
	r.Roles = e.roles(before, took)
	r.Traffic = trafficFigures(e.fleet.Traffic.Snapshot(), took, e.config.Workers)
	e.load.wait.Wait()
}

// samples is into how many parts the measured time is divided.
const samples = 10

// sampleWorkers notes what workers send and receive over time, until ctx ends.
func (e *Experiment) sampleWorkers(ctx context.Context) {
	last := 0.0
	for {
		began := time.Now()
		if !sleep(ctx, e.config.Duration/samples) {
			return
		}
		total := 0.0
		for _, kind := range []loopbacktest.Kind{loopbacktest.Reports, loopbacktest.DirectOrders} {
			flow := e.fleet.Traffic.Snapshot()[kind]
			total += float64(flow.RequestBytes + flow.ResponseBytes)
		}
		rate := (total - last) / time.Since(began).Seconds() / float64(e.config.Workers)
		last = total
		e.load.note(func() { e.result.WorkerBPerS = append(e.result.WorkerBPerS, rate) })
	}
}

// usage is what each controller's process has used; nil entries aren't running.
func (e *Experiment) usage() []*loopbacktest.ProcessUsage {
	var all []*loopbacktest.ProcessUsage
	for _, c := range e.fleet.Controllers {
		u, err := c.Usage()
		if err != nil {
			all = append(all, nil)
			continue
		}
		all = append(all, &u)
	}
	own, err := loopbacktest.OwnUsage()
	if err != nil {
		return append(all, nil)
	}
	return append(all, &own)
}

// bringAbout carries out the faults at their times.
func (e *Experiment) bringAbout(ctx context.Context, began time.Time) {
	for _, f := range e.config.Faults {
		if !sleep(ctx, time.Until(began.Add(f.At))) {
			return
		}
		e.say("fault %s", f)
		e.carryOut(ctx, f)
	}
}

func (e *Experiment) carryOut(ctx context.Context, f Fault) {
	store := e.fleet.State.Store
	switch f.Kind {
	case LeaderEnds:
		if leader := e.fleet.Leader(); leader != nil {
			e.end(ctx, leader)
		}
	case AllEnd:
		e.end(ctx, e.fleet.Controllers...)
	case Silent:
		e.say("%d workers are silent", e.fleet.Workers.Silence(f.Amount, true))
		sleep(ctx, f.For)
		e.fleet.Workers.Silence(f.Amount, false)
	case StateOut:
		store.Outage(true)
		sleep(ctx, f.For)
		store.Outage(false)
	case StateSlow:
		store.Trouble(func(s *storagetest.Service) { s.Slow = time.Duration(f.Amount * float64(time.Second)) })
		sleep(ctx, f.For)
		store.Trouble(func(s *storagetest.Service) { s.Slow = 0 })
	case Burst:
		e.load.burst(int(f.Amount))
	case ZoneLost:
		e.say("%d workers are lost", e.fleet.Workers.LoseZone("a"))
	}
}

// end kills controllers, measures until another answers for a job, and starts them again.
func (e *Experiment) end(ctx context.Context, controllers ...*loopbacktest.Controller) {
	for _, c := range controllers {
		c.Kill()
	}
	killed := time.Now()
	if len(controllers) == len(e.fleet.Controllers) {
		e.restart(controllers)
	}
	probe := "/v1/jobs/job-" + submittedID(firstJob)
	for ctx.Err() == nil {
		if _, err := e.fleet.Insist("GET", probe, nil, time.Second); err == nil {
			break
		}
	}
	took := time.Since(killed).Seconds()
	e.result.TakeOverS = append(e.result.TakeOverS, took)
	e.say("answered again after %.3f s", took)
	if len(controllers) < len(e.fleet.Controllers) {
		e.restart(controllers)
	}
}

func (e *Experiment) restart(controllers []*loopbacktest.Controller) {
	for _, c := range controllers {
		if err := e.fleet.Start(c, c.Program); err != nil {
			e.say("%s not started: %v", c.Name, err)
		}
	}
}

// collect takes in what the users and workers have seen.
func (e *Experiment) collect() {
	r, l := e.result, e.load
	l.note(func() {
		r.Submitted, r.DoneJobs, r.CancelledJobs, r.NotOffered, r.FailedRequests = l.submitted, l.doneJobs, l.cancelled, l.notOffered, l.failed
		r.Broken = append(r.Broken, l.broken...)
		r.Latencies = map[string]Quantiles{"submit to accepted": quantiles(l.submitTime), "poll": quantiles(l.pollTime), "poll, finished before": quantiles(l.finalPollTime),
			"burst, submit to accepted": quantiles(l.bursts.accepted), "burst, told to return after": quantiles(l.bursts.told)}
		r.Bursts = BurstFigures{Refusals: l.bursts.refusals, Refused: l.bursts.refused, AtReturn: l.bursts.atReturn, Abandoned: l.bursts.abandoned}
	})
	for class, h := range e.fleet.Workers.StartDelays() {
		r.Latencies["accepted to start, "+string(class)] = quantiles(h)
	}
	r.Latencies["report to answer"] = quantiles(e.fleet.Workers.ReportDelays())
	for _, fault := range e.fleet.Workers.Faults() {
		r.Broken = append(r.Broken, fault.String())
	}
	r.Present = e.fleet.Workers.Counts().Present
	r.LeaderHeapMB = leaderHeapMB(e.fleet)
	r.TakeOverLoads = takeOverLoads(e.fleet)
	r.State.StoredKB, r.State.StoredKeys = e.fleet.State.Stored()
}

// Program builds the controllers' program of this source into dir.
func Program(ctx context.Context, dir string) (string, error) {
	return loopbacktest.Build(ctx, dir, os.Stderr)
}
