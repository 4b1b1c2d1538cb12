package autoscaling

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/storage"
)

const (
	// callPerLease is how long one call of the cloud may take, in workers' leases.
	callPerLease = 0.5
	// listsPerLag is how often the machine list is read within its lag, as far as listShare of the
	// requests allows.
	listsPerLag = 2
	listShare   = 0.5
	// listPage is the cloud's largest page.
	listPage = 500
	// typesLeases is how often the machine types are read again, in workers' leases.
	typesLeases = 5
	// maxTerminate is how many machines one termination request may name, by the protocol.
	maxTerminate = 100
)

// NoMachine stands for none: the cloud numbers its machines from 0.
const NoMachine = -1

// The names of calls, as failures are logged.
const (
	callLaunch    = "launch"
	callTerminate = "terminate"
	callList      = "list"
	callTypes     = "machine types"
)

// backOff freezes scaling for a while after a call that failed.
func (a *Autoscaler) backOff(call string, err error, now time.Time) {
	a.backOffUntil = now.Add(a.settings.HeartbeatInterval)
	a.healthySince = time.Time{}
	a.log.Info("cloud call failed", "call", call, "error", err)
}

// call makes one call of the cloud within its request budget, in a goroutine that ends with ctx.
func (a *Autoscaler) call(ctx context.Context, f func(ctx context.Context)) {
	a.calls.Go(func() {
		if err := a.limiter.Wait(ctx); err != nil {
			return // the term ends
		}
		callCtx, cancel := a.callContext(ctx)
		defer cancel()
		f(callCtx)
	})
}

func (a *Autoscaler) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, clock.Scale(a.settings.WorkerLease, callPerLease))
}

// pollCloud reads the machine list and the machine types when they are due.
func (a *Autoscaler) pollCloud(ctx context.Context, now time.Time) {
	if !a.listing && now.Sub(a.lastList) >= a.listInterval() {
		a.listing, a.lastList = true, now
		a.call(ctx, func(context.Context) { // each page has its own time
			machines, pages, err := a.listAll(ctx)
			a.post(listAnswer{machines, pages, err})
		})
	}
	if !a.readingTypes && now.Sub(a.lastTypes) >= typesLeases*a.settings.WorkerLease {
		a.readingTypes, a.lastTypes = true, now
		a.call(ctx, func(ctx context.Context) {
			types, err := a.cloud.MachineTypes(ctx)
			a.post(typesAnswer{types, err})
		})
	}
}

// listInterval is how long after one reading of the machine list the next one begins: a long list must leave
// requests for launches and terminations.
func (a *Autoscaler) listInterval() time.Duration {
	atShare := time.Duration(float64(a.listPages) / (float64(a.limiter.Limit()) * listShare) * float64(time.Second))
	return max(a.settings.ListLag/listsPerLag, atShare)
}

// listAll reads the whole machine list. Each page is a call of its own, so that the list may be of any length.
func (a *Autoscaler) listAll(ctx context.Context) (all []cloud.Machine, pages int, err error) {
	after := NoMachine
	for {
		page, more, err := a.listOne(ctx, after)
		if err != nil {
			return nil, pages, err
		}
		pages++
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, pages, nil
		}
		after = page[len(page)-1].ID
		if err := a.limiter.Wait(ctx); err != nil {
			return nil, pages, err
		}
	}
}

func (a *Autoscaler) listOne(ctx context.Context, after int) (page []cloud.Machine, more bool, err error) {
	ctx, cancel := a.callContext(ctx)
	defer cancel()
	return a.cloud.List(ctx, after, listPage)
}

type listAnswer struct {
	machines []cloud.Machine
	pages    int
	err      error
}

func (m listAnswer) handle(_ context.Context, a *Autoscaler, now time.Time) {
	a.listing, a.listPages = false, m.pages
	if m.err != nil {
		a.backOff(callList, m.err, now)
		return
	}
	a.scheduler.HandleMachineList(m.machines)
}

type typesAnswer struct {
	types []storage.MachineType
	err   error
}

func (m typesAnswer) handle(_ context.Context, a *Autoscaler, now time.Time) {
	a.readingTypes = false
	if m.err != nil {
		a.backOff(callTypes, m.err, now)
		a.lastTypes = now.Add(-typesLeases*a.settings.WorkerLease + a.settings.HeartbeatInterval)
		return
	}
	a.scheduler.HandleMachineTypes(m.types)
}

// sendLaunches sends the recorded launch requests. One without an answer is repeated under its own name, so that
// it launches once.
func (a *Autoscaler) sendLaunches(ctx context.Context, now time.Time) {
	for name, l := range a.launches {
		if !l.durable || l.sending || now.Before(l.retryAt) {
			continue
		}
		l.sending = true
		record := l.LaunchRecord
		a.call(ctx, func(ctx context.Context) {
			machines, err := a.cloud.Launch(ctx, name, record)
			a.post(launchAnswer{name, machines, err})
		})
	}
}

type launchAnswer struct {
	name     string
	machines []int
	err      error
}

func (m launchAnswer) handle(ctx context.Context, a *Autoscaler, now time.Time) {
	l := a.launches[m.name]
	if l == nil {
		return
	}
	l.sending = false
	offering := cloud.Offering{Type: l.Type, Zone: l.Zone, Spot: l.Spot}
	switch {
	case m.err == nil:
		a.log.Info("scale-out completed", "launch", m.name, "type", l.Type, "zone", l.Zone, "spot", l.Spot, "requested", l.Count, "launched", len(m.machines))
		a.scheduler.HandleLaunched(l.LaunchRecord, m.machines)
		if len(m.machines) < l.Count {
			a.scheduler.HandleRejected(offering)
		}
	case errors.Is(m.err, cloud.ErrNoCapacity), errors.Is(m.err, cloud.ErrMalformed):
		a.log.Info("scale-out rejected", "launch", m.name, "type", l.Type, "zone", l.Zone, "spot", l.Spot, "error", m.err)
		a.scheduler.HandleRejected(offering)
	default:
		a.backOff(callLaunch, m.err, now)
		l.retryAt = now.Add(a.settings.HeartbeatInterval / 2)
		return
	}
	delete(a.launches, m.name)
	done := storage.Record{Key: storage.LaunchKey(m.name)}
	a.journal.Append(ctx, storage.Batch{Records: []storage.Record{done}})
}

type terminateMessage struct{ machines []int }

func (m terminateMessage) handle(ctx context.Context, a *Autoscaler, _ time.Time) {
	for _, id := range m.machines {
		if !slices.Contains(a.toTerminate, id) {
			a.toTerminate = append(a.toTerminate, id)
		}
	}
	a.sendTerminations(ctx)
}

// sendTerminations asks the cloud to terminate machines, all that have gathered at once.
func (a *Autoscaler) sendTerminations(ctx context.Context) {
	if a.terminating || len(a.toTerminate) == 0 {
		return
	}
	a.terminating = true
	n := min(len(a.toTerminate), maxTerminate)
	batch := a.toTerminate[:n:n]
	a.toTerminate = a.toTerminate[n:]
	a.call(ctx, func(ctx context.Context) {
		a.post(terminateAnswer{batch, a.cloud.Terminate(ctx, batch)})
	})
}

type terminateAnswer struct {
	machines []int
	err      error
}

func (m terminateAnswer) handle(ctx context.Context, a *Autoscaler, now time.Time) {
	a.terminating = false
	if m.err != nil {
		a.backOff(callTerminate, m.err, now)
		return
	}
	a.scheduler.HandleTerminated(m.machines)
	a.sendTerminations(ctx)
}
