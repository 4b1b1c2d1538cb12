package fleetload

import (
	"context"
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
)

const (
	// settleHeartbeats is the pause before the measurement, in heartbeat intervals.
	settleHeartbeats = 2
	// sampleCount is the number of parts of the measured time for WorkerBPerS.
	sampleCount = 10
)

// The roles of the measured processes. The stand-ins, users and hollow workers share one.
const (
	leaderRole   = "leader"
	followerRole = "follower"
	standInRole  = "stand-ins and workers"
)

// stateCounters are the counters of the key-value store at one time.
type stateCounters struct{ requests, bytes, changes int64 }

func (e *Experiment) stateCounters() stateCounters {
	s := e.fleet.Store
	return stateCounters{requests: s.Requests.Load(), bytes: s.Bytes.Load(), changes: s.Changes.Load()}
}

// ratesSince returns the rates since earlier counters, as figures of the key-value store.
func (c stateCounters) ratesSince(earlier stateCounters, seconds float64) StateFigures {
	return StateFigures{
		RequestsPerS: float64(c.requests-earlier.requests) / seconds,
		ChangesPerS:  float64(c.changes-earlier.changes) / seconds,
		KBPerS:       float64(c.bytes-earlier.bytes) / 1024 / seconds,
	}
}

// measure applies the load and the faults for the configured duration, and records the rates.
func (e *Experiment) measure(ctx context.Context) {
	if !sleep(ctx, settleHeartbeats*e.config.HeartbeatInterval) {
		return
	}
	e.fleet.Traffic.Reset()
	e.fleet.Workers.ResetLatencies()
	stateBefore, startsBefore, usageBefore := e.stateCounters(), e.fleet.Workers.Counts().Starts, e.processUsages()
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, e.config.Duration)
	defer stop()
	var faults, background sync.WaitGroup
	faults.Go(func() { e.injectFaults(ctx, began) })
	background.Go(func() { e.users.pollFinished(ctx) })
	background.Go(func() { e.sampleWorkers(ctx) })
	e.users.submitShortJobs(ctx)
	faults.Wait()
	seconds := time.Since(began).Seconds()
	r := e.result
	r.MeasuredS = seconds
	r.StartsPerS = float64(e.fleet.Workers.Counts().Starts-startsBefore) / seconds
	r.State = e.stateCounters().ratesSince(stateBefore, seconds)
	r.Roles = e.roleFigures(context.WithoutCancel(ctx), usageBefore, seconds) // ctx has ended
	r.Traffic = trafficFigures(e.fleet.Traffic.Snapshot(), seconds, e.config.Workers)
	e.users.background.Wait()
	background.Wait()
}

// sampleWorkers records the bytes per second of a worker in each part of the measured time, until ctx ends.
func (e *Experiment) sampleWorkers(ctx context.Context) {
	previous := 0.0
	for {
		began := time.Now()
		if !sleep(ctx, e.config.Duration/sampleCount) {
			return
		}
		total := 0.0
		for _, kind := range []loopbacktest.Kind{loopbacktest.Heartbeats, loopbacktest.DirectCommands} {
			flow := e.fleet.Traffic.Snapshot()[kind]
			total += float64(flow.RequestBytes + flow.ResponseBytes)
		}
		rate := (total - previous) / time.Since(began).Seconds() / float64(e.config.Workers)
		previous = total
		e.users.update(func() { e.result.WorkerBPerS = append(e.result.WorkerBPerS, rate) })
	}
}

// processUsages returns the usage of each controller's process and of this process, which is the last. Entries of
// processes that don't run are nil.
func (e *Experiment) processUsages() []*loopbacktest.ProcessUsage {
	var usages []*loopbacktest.ProcessUsage
	for _, c := range e.fleet.Controllers {
		usages = append(usages, usageOrNil(c.Usage()))
	}
	return append(usages, usageOrNil(loopbacktest.OwnUsage()))
}

func usageOrNil(usage loopbacktest.ProcessUsage, err error) *loopbacktest.ProcessUsage {
	if err != nil {
		return nil // the process does not run
	}
	return &usage
}

// roleFigures returns the usage of each role's process since earlier usages. Processes that were started since
// then are left out, and of several followers the busiest counts.
func (e *Experiment) roleFigures(ctx context.Context, before []*loopbacktest.ProcessUsage, seconds float64) map[string]RoleFigures {
	leader := e.fleet.Leader(ctx)
	figures := make(map[string]RoleFigures)
	for i, after := range e.processUsages() {
		if after == nil || before[i] == nil || after.CPU < before[i].CPU {
			continue
		}
		role := standInRole
		if i < len(e.fleet.Controllers) {
			role = followerRole
			if e.fleet.Controllers[i] == leader {
				role = leaderRole
			}
		}
		f := RoleFigures{
			Cores:    (after.CPU - before[i].CPU).Seconds() / seconds,
			MemoryMB: float64(after.MemoryKB) / 1024, PeakMB: float64(after.PeakKB) / 1024, OpenFiles: after.OpenFiles,
		}
		if figures[role].Cores <= f.Cores {
			figures[role] = f
		}
	}
	return figures
}

// trafficFigures returns the rates and mean sizes of each kind of message.
func trafficFigures(flows map[loopbacktest.Kind]loopbacktest.Flow, seconds float64, workers int) map[loopbacktest.Kind]TrafficFigures {
	out := make(map[loopbacktest.Kind]TrafficFigures)
	for kind, f := range flows {
		messages := float64(max(f.Messages, 1))
		out[kind] = TrafficFigures{
			PerS: float64(f.Messages) / seconds, RequestBytes: float64(f.RequestBytes) / messages, ResponseBytes: float64(f.ResponseBytes) / messages,
			WorkerBPerS: float64(f.RequestBytes+f.ResponseBytes) / seconds / float64(workers),
		}
	}
	return out
}
