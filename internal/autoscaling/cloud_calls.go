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
	// callTimeoutPerLease is the timeout of one call of the cloud, in worker leases.
	callTimeoutPerLease = 0.5
	// listsPerLag is how many times the machine list is read within one Settings.ListLag, the time by which the
	// cloud's list lags behind. The list is read less often if its pages would take more than listRequestShare of
	// the autoscaler's request rate.
	listsPerLag      = 2
	listRequestShare = 0.5
	// listPageSize is the number of machines requested per page, the most that the cloud returns.
	listPageSize = 500
	// typesRefreshLeases is the interval between two reads of the machine types, in worker leases.
	typesRefreshLeases = 5
	// maxTerminationBatch is the protocol's limit on the number of machines in one termination request.
	maxTerminationBatch = 100
)

// NoMachine is the number that stands for no machine. The cloud numbers its machines from 0.
const NoMachine = -1

// Names of the cloud calls in log messages about failures.
const (
	callLaunch    = "launch"
	callTerminate = "terminate"
	callList      = "list"
	callTypes     = "machine types"
)

// backOff freezes scaling for a heartbeat interval after a failed call.
func (a *Autoscaler) backOff(call string, err error, now time.Time) {
	a.backOffUntil = now.Add(a.settings.HeartbeatInterval)
	a.healthySince = time.Time{}
	a.log.Info("cloud call failed", "call", call, "error", err)
}

// callCloud runs f, which makes one call of the cloud, in a goroutine that ends with ctx. The goroutine first waits
// for the rate limiter.
func (a *Autoscaler) callCloud(ctx context.Context, f func(ctx context.Context)) {
	a.cloudCalls.Go(func() {
		if err := a.limiter.Wait(ctx); err != nil {
			return // ctx has ended
		}
		callCtx, cancel := a.callContext(ctx)
		defer cancel()
		f(callCtx)
	})
}

// callContext returns a context with the timeout of one call of the cloud.
func (a *Autoscaler) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, clock.Scale(a.settings.WorkerLease, callTimeoutPerLease))
}

// pollCloud starts reads of the machine list and of the machine types when they are due.
func (a *Autoscaler) pollCloud(ctx context.Context, now time.Time) {
	if !a.listInFlight && now.Sub(a.lastListAt) >= a.listInterval() {
		a.listInFlight, a.lastListAt = true, now
		a.callCloud(ctx, func(context.Context) { // listMachines gives each page its own timeout
			machines, pages, err := a.listMachines(ctx)
			a.post(listResult{machines, pages, err})
		})
	}
	if !a.typesInFlight && now.Sub(a.lastTypesAt) >= typesRefreshLeases*a.settings.WorkerLease {
		a.typesInFlight, a.lastTypesAt = true, now
		a.callCloud(ctx, func(ctx context.Context) {
			types, err := a.cloud.MachineTypes(ctx)
			a.post(typesResult{types, err})
		})
	}
}

// listInterval returns the least time between the starts of two reads of the machine list. It grows with the number
// of pages, so that enough of the request rate is left for launches and terminations.
func (a *Autoscaler) listInterval() time.Duration {
	atShare := time.Duration(float64(a.lastListPages) / (float64(a.limiter.Limit()) * listRequestShare) * float64(time.Second))
	return max(a.settings.ListLag/listsPerLag, atShare)
}

// listMachines reads the whole machine list. Each page is a separate call with its own timeout, so that the timeout
// doesn't limit the length of the list.
func (a *Autoscaler) listMachines(ctx context.Context) (machines []cloud.Machine, pages int, err error) {
	after := NoMachine
	for {
		page, more, err := a.listMachinesPage(ctx, after)
		if err != nil {
			return nil, pages, err
		}
		pages++
		machines = append(machines, page...)
		if !more || len(page) == 0 {
			return machines, pages, nil
		}
		after = page[len(page)-1].ID
		if err := a.limiter.Wait(ctx); err != nil {
			return nil, pages, err
		}
	}
}

// listMachinesPage reads the page of the machine list that follows the machine with the given number.
func (a *Autoscaler) listMachinesPage(ctx context.Context, after int) (page []cloud.Machine, more bool, err error) {
	ctx, cancel := a.callContext(ctx)
	defer cancel()
	return a.cloud.List(ctx, after, listPageSize)
}

// listResult is the result of a read of the machine list.
type listResult struct {
	machines []cloud.Machine
	pages    int
	err      error
}

func (m listResult) handle(_ context.Context, a *Autoscaler, now time.Time) {
	a.listInFlight, a.lastListPages = false, m.pages
	if m.err != nil {
		a.backOff(callList, m.err, now)
		return
	}
	a.scheduler.HandleMachineList(m.machines)
}

// typesResult is the result of a read of the machine types.
type typesResult struct {
	types []storage.MachineType
	err   error
}

func (m typesResult) handle(_ context.Context, a *Autoscaler, now time.Time) {
	a.typesInFlight = false
	if m.err != nil {
		a.backOff(callTypes, m.err, now)
		a.lastTypesAt = now.Add(-typesRefreshLeases*a.settings.WorkerLease + a.settings.HeartbeatInterval)
		return
	}
	a.scheduler.HandleMachineTypes(m.types)
}

// sendLaunches sends the recorded launch requests. A request whose outcome is unknown is repeated under the same
// name, so that the cloud executes it only once.
func (a *Autoscaler) sendLaunches(ctx context.Context, now time.Time) {
	for name, l := range a.launches {
		if !l.durable || l.sending || now.Before(l.retryAt) {
			continue
		}
		l.sending = true
		record := l.LaunchRecord
		a.callCloud(ctx, func(ctx context.Context) {
			machines, err := a.cloud.Launch(ctx, name, record)
			a.post(launchResult{name, machines, err})
		})
	}
}

// launchResult is the result of one call for a launch request.
type launchResult struct {
	name     string
	machines []int
	err      error
}

func (m launchResult) handle(ctx context.Context, a *Autoscaler, now time.Time) {
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

// terminateMessage requests the termination of machines.
type terminateMessage struct{ machines []int }

func (m terminateMessage) handle(ctx context.Context, a *Autoscaler, _ time.Time) {
	for _, id := range m.machines {
		if !slices.Contains(a.toTerminate, id) {
			a.toTerminate = append(a.toTerminate, id)
		}
	}
	a.sendTerminations(ctx)
}

// sendTerminations sends one request to terminate machines of toTerminate, at most maxTerminationBatch of them. It does
// nothing while a termination request is in flight.
func (a *Autoscaler) sendTerminations(ctx context.Context) {
	if a.terminationInFlight || len(a.toTerminate) == 0 {
		return
	}
	a.terminationInFlight = true
	n := min(len(a.toTerminate), maxTerminationBatch)
	batch := a.toTerminate[:n:n]
	a.toTerminate = a.toTerminate[n:]
	a.callCloud(ctx, func(ctx context.Context) {
		a.post(terminateResult{batch, a.cloud.Terminate(ctx, batch)})
	})
}

// terminateResult is the result of a termination request.
type terminateResult struct {
	machines []int
	err      error
}

func (m terminateResult) handle(ctx context.Context, a *Autoscaler, now time.Time) {
	a.terminationInFlight = false
	if m.err != nil {
		a.backOff(callTerminate, m.err, now)
		return
	}
	a.scheduler.HandleTerminated(m.machines)
	a.sendTerminations(ctx)
}
