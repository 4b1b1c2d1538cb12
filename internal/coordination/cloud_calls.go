package coordination

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/storage"
)

// freeze freezes resizing for a while after a cloud failure.
func (c *capacity) freeze(what string, err error, now time.Time) {
	c.frozenTill = now.Add(c.settings.HeartbeatInterval)
	c.healthySince = time.Time{}
	c.log.Info("cloud failure", "call", what, "err", err)
}

// call runs one cloud call within the budget; done gets its context.
func (c *capacity) call(f func(ctx context.Context)) {
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

func (c *capacity) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.ctx, scale(c.settings.WorkerLease, callPerLease))
}

// listEvery is how long after one reading of the machine list the next one begins: a long list
// must leave requests for rentals and returns.
func (c *capacity) listEvery() time.Duration {
	atShare := time.Duration(float64(c.listPages) / (float64(c.limiter.Limit()) * listShare) * float64(time.Second))
	return max(c.settings.ListLag/listsPerLag, atShare)
}

// poll reads the machine list and the catalogue when they are due.
func (c *capacity) poll(now time.Time) {
	if !c.listing && now.Sub(c.lastList) >= c.listEvery() {
		c.listing, c.lastList = true, now
		c.call(func(context.Context) {
			machines, pages, err := c.listAll()
			c.post(listAnswer{machines, pages, err})
		})
	}
	if !c.pricing && now.Sub(c.lastPrices) >= catalogueLeases*c.settings.WorkerLease {
		c.pricing, c.lastPrices = true, now
		c.call(func(ctx context.Context) {
			types, err := c.cloud.MachineTypes(ctx)
			c.post(pricesAnswer{types, err})
		})
	}
}

// listAll reads the whole machine list. Each page is a call of its own, so that the list may be of
// any length.
func (c *capacity) listAll() (all []ListedMachine, pages int, err error) {
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
		after = page[len(page)-1].Machine
		if err := c.limiter.Wait(c.ctx); err != nil {
			return nil, pages, err
		}
	}
}

func (c *capacity) listOne(after int) (page []ListedMachine, more bool, err error) {
	ctx, cancel := c.callContext()
	defer cancel()
	return c.cloud.List(ctx, after, listPage)
}

// rentalsFor gathers the wanted machines into rentals, in the order of their
// first mention, none larger than the cloud takes.
func rentalsFor(wanted []offer) []storage.LaunchRecord {
	var out []storage.LaunchRecord
	last := make(map[offer]int)
	for _, o := range wanted {
		i, ok := last[o]
		if !ok || out[i].Count == maxRental {
			i = len(out)
			last[o] = i
			out = append(out, storage.LaunchRecord{Type: o.kind, Zone: o.zone, Spot: o.spot})
		}
		out[i].Count++
	}
	return out
}

// sendRentals sends the recorded rentals; one without an answer is repeated under
// its own name, so that it rents once.
func (c *capacity) sendRentals(now time.Time) {
	for name, h := range c.rentals {
		if !h.durable || h.asking || now.Before(h.retryAt) {
			continue
		}
		h.asking = true
		rec := h.LaunchRecord
		c.call(func(ctx context.Context) {
			machines, err := c.cloud.Launch(ctx, name, rec)
			c.post(rentalAnswer{name, machines, err})
		})
	}
}

func (c *capacity) handleRental(m rentalAnswer, now time.Time) {
	h := c.rentals[m.name]
	if h == nil {
		return
	}
	h.asking = false
	o := offer{h.Type, h.Zone, h.Spot}
	switch {
	case m.err == nil:
		c.log.Info("rented", "rental", m.name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "asked", h.Count, "got", len(m.machines))
		c.dispatch.post(rentedMsg{h.LaunchRecord, m.machines})
		if len(m.machines) < h.Count {
			c.dispatch.post(refusedMsg{o})
		}
	case errors.Is(m.err, ErrNoCapacity), errors.Is(m.err, ErrMalformed):
		c.log.Info("rental refused", "rental", m.name, "type", h.Type, "zone", h.Zone, "spot", h.Spot, "err", m.err)
		c.dispatch.post(refusedMsg{o})
	default:
		c.freeze("hire", m.err, now)
		h.retryAt = now.Add(c.settings.HeartbeatInterval / 2)
		return
	}
	delete(c.rentals, m.name)
	rec := storage.Record{Key: storage.LaunchKey(m.name)}
	c.journal.Append(c.ctx, storage.Batch{Records: []storage.Record{rec}})
}

// returnMachines asks the cloud to take machines whose return is durable, all that
// have gathered at once.
func (c *capacity) returnMachines(ids []int) {
	for _, id := range ids {
		if !slices.Contains(c.toReturn, id) {
			c.toReturn = append(c.toReturn, id)
		}
	}
	if c.returning || len(c.toReturn) == 0 {
		return
	}
	c.returning = true
	n := min(len(c.toReturn), returnBatch)
	batch := c.toReturn[:n:n]
	c.toReturn = c.toReturn[n:]
	c.call(func(ctx context.Context) {
		c.post(returnAnswer{batch, c.cloud.Terminate(ctx, batch)})
	})
}
