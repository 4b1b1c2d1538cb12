package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// mayUse tells whether something new may depend on a gate. An open gate is taken into use
// before its first dependant is made, so that no version that lacks it can lead then.
func (d *scheduler) mayUse(name upgrade.GateName) bool {
	gate := d.gates.Gate(name)
	if gate.Phase == upgrade.GateOpen && !gate.Used {
		d.requestGate(name)
	}
	return gate.Usable()
}

// gateWaiter is a submission whose acceptance hangs on the use of a gate being durable.
type gateWaiter struct {
	msg   userMessage
	since time.Time
}

// awaitGate keeps a submission until the use of an open gate is durable, as it would wait
// for a commit. Where the gate is closed its user is told at once to come back.
func (d *scheduler) awaitGate(m userMessage, name upgrade.GateName, now time.Time) {
	if d.gates.Gate(name).Phase != upgrade.GateOpen {
		m.reply <- api.Unavailable(m.req.ID, "not every controller is known to have what it needs yet")
		return
	}
	d.gateWaiters = append(d.gateWaiters, gateWaiter{m, now})
}

// setGates takes in what is in force, and goes on with what waited for it.
func (d *scheduler) setGates(record upgrade.Record) {
	d.gates = record
	d.useArchive()
	d.activation.setGate(record.Gate(upgrade.Activation))
	waiting := d.gateWaiters
	d.gateWaiters = nil
	for _, w := range waiting {
		kept := len(d.gateWaiters)
		d.handleUser(w.msg)
		if len(d.gateWaiters) > kept {
			d.gateWaiters[kept].since = w.since // it waits on
		}
	}
}

// failGateWaiters tells those to come back who have waited for a gate for too long; all of
// them if the lead isn't certain.
func (d *scheduler) failGateWaiters(now time.Time) {
	d.gateWaiters = slices.DeleteFunc(d.gateWaiters, func(w gateWaiter) bool {
		late := !d.leaseValid(now) || now.Sub(w.since) > clock.Scale(d.settings.HeartbeatInterval, stallPerHeartbeat)
		if late {
			w.msg.reply <- api.Unavailable(w.msg.req.ID, "state service slow or out of reach")
		}
		return late
	})
}

// encodingOf is what the journal may write under a cluster record.
func encodingOf(record upgrade.Record) storage.Encoding {
	gate := record.Gate(upgrade.CompressedChunks)
	switch {
	case gate.Usable():
		return storage.AnyEncoding
	case gate.Used:
		return storage.PlainWherePossible
	}
	return storage.PlainOnly
}

// errTermEnded says that the leader's actors have stopped.
var errTermEnded = errors.New("the term has ended")

// termGates publishes what is in force to one term's actors. Each confirms it before
// what depends on a gate is counted, so nothing can be missed.
type termGates struct {
	scheduler *scheduler
	journal   *storage.Journal
}

// PublishGates has the term's actors go by a cluster record.
func (t termGates) PublishGates(ctx context.Context, record upgrade.Record) error {
	_, err := t.publish(ctx, record)
	return err
}

// publish returns what the scheduler knows to depend on gates, once it goes by the record.
func (t termGates) publish(ctx context.Context, record upgrade.Record) (gateUses, error) {
	t.journal.SetEncoding(encodingOf(record))
	reply := make(chan gateUses, 1)
	t.scheduler.post(gatesMessage{record, reply})
	select {
	case uses := <-reply:
		return uses, nil
	case <-t.scheduler.closed:
		return gateUses{}, errTermEnded
	case <-ctx.Done():
		return gateUses{}, ctx.Err()
	}
}

// CountGateUses publishes a cluster record and then counts what depends on each gate.
func (t termGates) CountGateUses(ctx context.Context, record upgrade.Record) (upgrade.Usage, error) {
	uses, err := t.publish(ctx, record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.scheduler.settings.CallTimeout())
	defer cancel()
	encoded, err := t.journal.MigrateStep(ctx)
	if err != nil {
		return nil, err
	}
	usage := upgrade.Usage{
		upgrade.GangJobs:         uses.openGangs,
		upgrade.CompressedChunks: encoded,
		upgrade.Activation:       uses.lifecycles,
	}
	if uses.archive {
		usage[upgrade.JobArchive], err = t.countArchived(ctx, record)
	}
	if uses.archiving { // what is offered may not be counted yet
		usage[upgrade.JobArchive]++
	}
	return usage, err
}

// gatesMessage tells what is in force.
type gatesMessage struct {
	record upgrade.Record
	reply  chan gateUses
}

// gateUses is what the scheduler knows to depend on gates.
type gateUses struct {
	openGangs  int
	archive    bool // jobs may be archived: the archive itself is to be counted
	archiving  bool // jobs are on their way there
	lifecycles int  // records of services that scale to zero
}

func (m gatesMessage) handle(d *scheduler) {
	d.setGates(m.record)
	m.reply <- gateUses{
		openGangs:  d.state.Jobs.OpenGangs(),
		archive:    d.archiveUsed,
		archiving:  d.archiving,
		lifecycles: d.activation.uses(),
	}
}
