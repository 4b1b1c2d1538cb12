package fleetload

import (
	"context"
	"net/http"
	"time"

	"sagevale/internal/loopbacktest"
	"sagevale/internal/storage/storagetest"
)

// lostZone is the zone whose machines the fault ZoneLost deletes.
const lostZone = "a"

// injectFaults injects the configured faults one after another, until ctx ends. A fault is due when its Start time has
// passed since began. If the previous fault is not over by then, the fault is injected right after the previous one.
func (e *Experiment) injectFaults(ctx context.Context, began time.Time) {
	for _, f := range e.config.Faults {
		if !sleep(ctx, time.Until(began.Add(f.Start))) {
			return
		}
		e.logf("injecting fault %s", f)
		e.injectFault(ctx, f)
	}
}

// injectFault injects one fault and waits until it is over or ctx ends.
func (e *Experiment) injectFault(ctx context.Context, f Fault) {
	store := e.fleet.Store.Service
	switch f.Kind {
	case LeaderKilled:
		if leader := e.fleet.Leader(ctx); leader != nil {
			e.killAndRestart(ctx, leader)
		}
	case AllKilled:
		e.killAndRestart(ctx, e.fleet.Controllers...)
	case WorkersUnresponsive:
		e.logf("%d workers are unresponsive", e.fleet.Workers.SetUnresponsive(f.Amount, true))
		sleep(ctx, f.Duration)
		e.fleet.Workers.SetUnresponsive(f.Amount, false)
	case StoreOutage:
		store.SetOutage(true)
		sleep(ctx, f.Duration)
		store.SetOutage(false)
	case StoreSlow:
		store.Update(func(s *storagetest.Service) { s.AddedLatency = time.Duration(f.Amount * float64(time.Second)) })
		sleep(ctx, f.Duration)
		store.Update(func(s *storagetest.Service) { s.AddedLatency = 0 })
	case Burst:
		e.users.submitBurst(int(f.Amount))
	case ZoneLost:
		e.logf("%d workers are deleted", e.fleet.Workers.DeleteZone(lostZone))
	}
}

// killAndRestart kills controllers, and records the time until a user's request is answered. It restarts the killed
// controllers after that response, or immediately if it has killed all controllers.
func (e *Experiment) killAndRestart(ctx context.Context, controllers ...*loopbacktest.Controller) {
	for _, c := range controllers {
		c.Kill()
	}
	killed := time.Now()
	allKilled := len(controllers) == len(e.fleet.Controllers)
	if allKilled {
		e.restart(controllers)
	}
	path := "/v1/jobs/job-" + submittedID(firstSubmittedJob)
	for ctx.Err() == nil {
		if _, err := e.fleet.RequestWithRetry(http.MethodGet, path, nil, time.Second); err == nil {
			break
		}
	}
	seconds := time.Since(killed).Seconds()
	e.result.FailoverS = append(e.result.FailoverS, seconds)
	e.logf("a user's request was answered %.3f s after the kill", seconds)
	if !allKilled {
		e.restart(controllers)
	}
}

// restart starts controllers with the programs that they ran before.
func (e *Experiment) restart(controllers []*loopbacktest.Controller) {
	for _, c := range controllers {
		if err := e.fleet.Start(c, c.Program); err != nil {
			e.logf("failed to restart %s: %v", c.Name, err)
		}
	}
}
