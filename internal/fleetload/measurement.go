package fleetload

import (
	"context"
	"sync"
	"time"

	"sagevale/internal/loopbacktest"
)

const (
	// warmUpIntervals is the pause before the measurement, in heartbeat intervals.
	warmUpIntervals = 2
	// sampleCount is the number of values in Result.WorkerBPerS, each for an equal part of the measured time.
	sampleCount = 10
)

// The roles of the measured processes. The stand-ins, the simulated users and the simulated workers share one
// process.
const (
	leaderRole   = "leader"
	followerRole = "follower"
	standInRole  = "stand-ins and workers"
)

// storeCounters holds the values of the key-value store's counters at one time.
type storeCounters struct{ requests, bytes, changes int64 }

// storeCounters returns the current values of the key-value store's counters.
func (e *Experiment) storeCounters() storeCounters {
	s := e.fleet.Store
	return storeCounters{requests: s.Requests.Load(), bytes: s.RequestBytes.Load(), changes: s.Changes.Load()}
}

// ratesSince returns the mean rates at which the counters have grown from the earlier values to c. seconds is the time
// between the two. The stored size is not set.
func (c storeCounters) ratesSince(earlier storeCounters, seconds float64) StoreFigures {
	return StoreFigures{
		RequestsPerS: float64(c.requests-earlier.requests) / seconds,
		ChangesPerS:  float64(c.changes-earlier.changes) / seconds,
		KBPerS:       float64(c.bytes-earlier.bytes) / 1024 / seconds,
	}
}

// measure submits jobs and injects faults for the configured duration, and records the rates in that time.
func (e *Experiment) measure(ctx context.Context) {
	if !sleep(ctx, warmUpIntervals*e.config.HeartbeatInterval) {
		return
	}
	e.fleet.Traffic.Reset()
	e.fleet.Workers.ResetLatencies()
	storeBefore, startsBefore, usageBefore := e.storeCounters(), e.fleet.Workers.Counts().Starts, e.processUsages()
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, e.config.Duration)
	defer stop()
	var faults, background sync.WaitGroup
	faults.Go(func() { e.injectFaults(ctx, began) })
	background.Go(func() { e.users.pollFinishedJobs(ctx) })
	background.Go(func() { e.sampleWorkerTraffic(ctx) })
	e.users.submitShortJobs(ctx)
	faults.Wait()
	seconds := time.Since(began).Seconds()
	r := e.result
	r.MeasuredS = seconds
	r.StartsPerS = float64(e.fleet.Workers.Counts().Starts-startsBefore) / seconds
	r.Store = e.storeCounters().ratesSince(storeBefore, seconds)
	r.Roles = e.roleFigures(context.WithoutCancel(ctx), usageBefore, seconds) // ctx has ended
	r.Traffic = trafficFigures(e.fleet.Traffic.Snapshot(), seconds, e.config.Workers)
	e.users.background.Wait()
	background.Wait()
}

// sampleWorkerTraffic divides the measured time into sampleCount equal parts. For each part it records the mean traffic per
// worker, in bytes per second. It returns when ctx ends.
func (e *Experiment) sampleWorkerTraffic(ctx context.Context) {
	previousBytes := 0.0
	for {
		began := time.Now()
		if !sleep(ctx, e.config.Duration/sampleCount) {
			return
		}
		totalBytes := 0.0
		for _, kind := range []loopbacktest.MessageKind{loopbacktest.Heartbeats, loopbacktest.DirectCommands} {
			counts := e.fleet.Traffic.Snapshot()[kind]
			totalBytes += float64(counts.RequestBytes + counts.ResponseBytes)
		}
		rate := (totalBytes - previousBytes) / time.Since(began).Seconds() / float64(e.config.Workers)
		previousBytes = totalBytes
		e.users.update(func() { e.result.WorkerBPerS = append(e.result.WorkerBPerS, rate) })
	}
}

// processUsages returns the usage of each controller's process, followed by that of this process. The entry of a
// process that does not run is nil.
func (e *Experiment) processUsages() []*loopbacktest.ProcessUsage {
	var usages []*loopbacktest.ProcessUsage
	for _, c := range e.fleet.Controllers {
		usages = append(usages, usageOrNil(c.Usage()))
	}
	return append(usages, usageOrNil(loopbacktest.OwnUsage()))
}

// usageOrNil returns the usage, or nil if reading it failed.
func usageOrNil(usage loopbacktest.ProcessUsage, err error) *loopbacktest.ProcessUsage {
	if err != nil {
		return nil // the process does not run
	}
	return &usage
}

// roleFigures returns the resource usage of each role's process. before holds the usages at the start of the measurement,
// and seconds is the time since then. Processes that were started during the measurement are left out. If there are several
// followers, the result contains the follower that used the most CPU time.
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

// trafficFigures returns the rate and the mean sizes of each kind of message.
func trafficFigures(counts map[loopbacktest.MessageKind]loopbacktest.MessageCounts, seconds float64, workers int) map[loopbacktest.MessageKind]TrafficFigures {
	out := make(map[loopbacktest.MessageKind]TrafficFigures)
	for kind, f := range counts {
		messages := float64(max(f.Messages, 1))
		out[kind] = TrafficFigures{
			PerS: float64(f.Messages) / seconds, RequestBytes: float64(f.RequestBytes) / messages, ResponseBytes: float64(f.ResponseBytes) / messages,
			WorkerBPerS: float64(f.RequestBytes+f.ResponseBytes) / seconds / float64(workers),
		}
	}
	return out
}
