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

// mayUse reports whether something new may depend on a gate. An open gate is marked as used before anything depends on it,
// so that no version without the feature can lead from then on.
func (s *scheduler) mayUse(name upgrade.GateName) bool {
	gate := s.gates.Gate(name)
	if gate.Phase == upgrade.GateOpen && !gate.Used {
		s.requestGateUse(name)
	}
	return gate.Usable()
}

// gateWaiter is a submission that waits for the use of a gate to be durable.
type gateWaiter struct {
	msg   userMessage
	since time.Time
}

// awaitGate has a submission wait until the use of an open gate is durable, as it would wait for a commit. If the gate is
// closed its user is told at once to retry.
func (s *scheduler) awaitGate(m userMessage, name upgrade.GateName, now time.Time) {
	if s.gates.Gate(name).Phase != upgrade.GateOpen {
		m.reply <- api.Unavailable(m.req.ID, "not every controller is known to have what it needs yet")
		return
	}
	s.gateWaiters = append(s.gateWaiters, gateWaiter{m, now})
}

// setGates updates the gates in force, and handles the submissions that waited for them.
func (s *scheduler) setGates(record upgrade.Record) {
	s.gates = record
	s.useArchive()
	s.activation.setGate(record.Gate(upgrade.Activation))
	waiting := s.gateWaiters
	s.gateWaiters = nil
	for _, w := range waiting {
		kept := len(s.gateWaiters)
		s.handleUser(w.msg)
		if len(s.gateWaiters) > kept {
			s.gateWaiters[kept].since = w.since // it keeps waiting
		}
	}
}

// failGateWaiters tells users to retry who have waited for a gate for too long, or all of them if this controller isn't
// certainly the leader.
func (s *scheduler) failGateWaiters(now time.Time) {
	s.gateWaiters = slices.DeleteFunc(s.gateWaiters, func(w gateWaiter) bool {
		late := !s.leaseValid(now) || now.Sub(w.since) > clock.Scale(s.settings.HeartbeatInterval, stallPerHeartbeat)
		if late {
			w.msg.reply <- api.Unavailable(w.msg.req.ID, "state service slow or out of reach")
		}
		return late
	})
}

// encodingOf is the encoding that the journal may write under a cluster record.
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

// errTermEnded: the leader's actors have stopped.
var errTermEnded = errors.New("the term has ended")

// termGates publishes the gates in force to one term's actors. Each confirms them before uses are counted, so that no use
// is missed. It implements upgradecontrol.GateUsers.
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
	if uses.archiving { // the batch may not be counted yet
		usage[upgrade.JobArchive]++
	}
	return usage, err
}

// gatesMessage is a change of the gates in force.
type gatesMessage struct {
	record upgrade.Record
	reply  chan gateUses
}

// gateUses is what the scheduler knows to depend on gates.
type gateUses struct {
	openGangs  int
	archive    bool // jobs may be archived, so the archive has to be counted
	archiving  bool // a batch of jobs is being archived
	lifecycles int  // records of services that scale to zero
}

func (m gatesMessage) handle(s *scheduler) {
	s.setGates(m.record)
	m.reply <- gateUses{
		openGangs:  s.state.Jobs.OpenGangs(),
		archive:    s.archiveInUse,
		archiving:  s.archiving,
		lifecycles: s.activation.uses(),
	}
}
