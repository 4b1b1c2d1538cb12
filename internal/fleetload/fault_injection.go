package fleetload

import (
	"context"
	"net/http"
	"time"

	"sagevale/internal/loopbacktest"
	"sagevale/internal/storage/storagetest"
)

// lostZone is the zone of ZoneLost.
const lostZone = "a"

// injectFaults injects the configured faults one after the other, each at its time after began, until ctx ends.
func (e *Experiment) injectFaults(ctx context.Context, began time.Time) {
	for _, f := range e.config.Faults {
		if !sleep(ctx, time.Until(began.Add(f.Start))) {
			return
		}
		e.logf("fault %s", f)
		e.inject(ctx, f)
	}
}

// inject injects one fault and waits until it is over.
func (e *Experiment) inject(ctx context.Context, f Fault) {
	store := e.fleet.Store.Service
	switch f.Kind {
	case LeaderKilled:
		if leader := e.fleet.Leader(ctx); leader != nil {
			e.killAndRestart(ctx, leader)
		}
	case AllKilled:
		e.killAndRestart(ctx, e.fleet.Controllers...)
	case WorkersUnresponsive:
		e.logf("%d workers are silent", e.fleet.Workers.SetUnresponsive(f.Amount, true))
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
		e.users.burst(int(f.Amount))
	case ZoneLost:
		e.logf("%d workers are lost", e.fleet.Workers.DeleteZone(lostZone))
	}
}

// killAndRestart kills controllers, records the time until a user's request is answered, and restarts them. If
// all are killed they are restarted at once.
func (e *Experiment) killAndRestart(ctx context.Context, controllers ...*loopbacktest.Controller) {
	for _, c := range controllers {
		c.Kill()
	}
	killed := time.Now()
	allKilled := len(controllers) == len(e.fleet.Controllers)
	if allKilled {
		e.restart(controllers)
	}
	path := "/v1/jobs/job-" + submittedID(firstJob)
	for ctx.Err() == nil {
		if _, err := e.fleet.RequestWithRetry(http.MethodGet, path, nil, time.Second); err == nil {
			break
		}
	}
	seconds := time.Since(killed).Seconds()
	e.result.FailoverS = append(e.result.FailoverS, seconds)
	e.logf("answered again after %.3f s", seconds)
	if !allKilled {
		e.restart(controllers)
	}
}

func (e *Experiment) restart(controllers []*loopbacktest.Controller) {
	for _, c := range controllers {
		if err := e.fleet.Start(c, c.Program); err != nil {
			e.logf("%s not started: %v", c.Name, err)
		}
	}
}
