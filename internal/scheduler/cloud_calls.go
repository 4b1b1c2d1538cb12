package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/cloud"
	"sagevale/internal/config"
	"sagevale/internal/storage"
)

// backOff freezes resizing for a while after a cloud failure.
func (c *autoscaler) backOff(what string, err error, now time.Time) {
	c.backOffUntil = now.Add(c.settings.HeartbeatInterval)
	c.healthySince = time.Time{}
	c.log.Info("cloud failure", "call", what, "err", err)
}

// call runs one cloud call within the budget; done gets its context.
func (c *autoscaler) call(f func(ctx context.Context)) {
	go func() {
		if err := c.limiter.Wait(c.ctx); err != nil {
			return
		}
		ctx, cancel := c.callContext()
		defer cancel()
		f(ctx)
	}()
}

// callPerLease is how long one cloud call may take, in leases.
const callPerLease = 0.5

func (c *autoscaler) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, clock.Scale(c.settings.WorkerLease, callPerLease))
}

// listEvery is how long after one reading of the machine list the next one begins: a long list
// must leave requests for rentals and returns.
func (c *autoscaler) listEvery() time.Duration {
	atShare := time.Duration(float64(c.listPages) / (float64(c.limiter.Limit()) * listShare) * float64(time.Second))
	return max(c.settings.ListLag/listsPerLag, atShare)
}

// poll reads the machine list and the catalogue when they are due.
func (c *autoscaler) poll(now time.Time) {
	if !c.listing && now.Sub(c.lastList) >= c.listEvery() {
		c.listing, c.lastList = true, now
		c.call(func(context.Context) {
			machines, pages, err := c.listAll()
			c.post(listAnswer{machines, pages, err})
		})
	}
	if !c.pricing && now.Sub(c.lastPrices) >= machineTypesLeases*c.settings.WorkerLease {
		c.pricing, c.lastPrices = true, now
		c.call(func(ctx context.Context) {
			types, err := c.cloud.MachineTypes(ctx)
			c.post(typesAnswer{types, err})
		})
	}
}

// listAll reads the whole machine list. Each page is a call of its own, so that the list may be of
// any length.
func (c *autoscaler) listAll() (all []cloud.Machine, pages int, err error) {
	after := noMachine
	for {
		page, more, err := c.listOne(after)
		if err != nil {
			return nil, pages, err
		}
		pages++
		all = append(all, page...)
		if !more || len(page) == 0 {
			return all, pages, nil
		}
		after = page[len(page)-1].ID
		if err := c.limiter.Wait(c.ctx); err != nil {
			return nil, pages, err
		}
	}
}

func (c *autoscaler) listOne(after int) (page []cloud.Machine, more bool, err error) {
	ctx, cancel := c.callContext()
	defer cancel()
	return c.cloud.List(ctx, after, listPage)
}

// launchesFor gathers the wanted machines into rentals, in the order of their
// first mention, none larger than the cloud takes.
func launchesFor(wanted []cloud.Offering) []storage.LaunchRecord {
	var out []storage.LaunchRecord
	last := make(map[cloud.Offering]int)
	for _, o := range wanted {
		i, ok := last[o]
		if !ok || out[i].Count == config.MaxLaunchMachines {
			i = len(out)
			last[o] = i
			out = append(out, storage.LaunchRecord{Type: o.Type, Zone: o.Zone, Spot: o.Spot})
		}
		out[i].Count++
	}
	return out
}

// sendLaunches sends the recorded rentals; one without an answer is repeated under
// its own name, so that it rents once.
func (c *autoscaler) sendLaunches(now time.Time) {
	for name, h := range c.launches {
		if !h.durable || h.asking || now.Before(h.retryAt) {
			continue
		}
		h.asking = true
		rec := h.LaunchRecord
		c.call(func(ctx context.Context) {
			machines, err := c.cloud.Launch(ctx, name, rec)
			c.post(launchAnswer{name, machines, err})
		})
	}
}

func (c *autoscaler) handleLaunch(m launchAnswer, now time.Time) {
	h := c.launches[m.name]
	if h == nil {
		return
	}
	h.asking = false
	o := cloud.Offering{Type: h.Type, Zone: h.Zone, Spot: h.Spot}
	switch {
	case m.err == nil:
		c.log.Info("rented", "rental", m.name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(m.machines))
		c.scheduler.post(launchedMsg{h.LaunchRecord, m.machines})
		if len(m.machines) < h.Count {
			c.scheduler.post(rejectedMsg{o})
		}
	case errors.Is(m.err, cloud.ErrNoCapacity), errors.Is(m.err, cloud.ErrMalformed):
		c.log.Info("rental refused", "rental", m.name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "err", m.err)
		c.scheduler.post(rejectedMsg{o})
	default:
		c.backOff("hire", m.err, now)
		h.retryAt = now.Add(c.settings.HeartbeatInterval / 2)
		return
	}
	delete(c.launches, m.name)
	rec := storage.Record{Key: storage.LaunchKey(m.name)}
	c.journal.Append(c.ctx, storage.Batch{Records: []storage.Record{rec}})
}

// terminate asks the cloud to take machines whose return is durable, all that
// have gathered at once.
func (c *autoscaler) terminate(ids []int) {
	for _, id := range ids {
		if !slices.Contains(c.toTerminate, id) {
			c.toTerminate = append(c.toTerminate, id)
		}
	}
	if c.terminating || len(c.toTerminate) == 0 {
		return
	}
	c.terminating = true
	n := min(len(c.toTerminate), maxTerminate)
	batch := c.toTerminate[:n:n]
	c.toTerminate = c.toTerminate[n:]
	c.call(func(ctx context.Context) {
		c.post(terminateAnswer{batch, c.cloud.Terminate(ctx, batch)})
	})
}
