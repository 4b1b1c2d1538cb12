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

// mayUse reports whether new state may depend on a feature gate. The gate must be open and durably marked as used. If an open
// gate isn't marked yet, mayUse requests the mark and returns false. Once a gate is marked, a controller whose version lacks
// the feature can't become the leader. No state may therefore depend on the gate before the mark is durable.
func (s *scheduler) mayUse(name upgrade.GateName) bool {
	gate := s.gates.Gate(name)
	if gate.Phase == upgrade.GateOpen && !gate.Used {
		s.requestGateUse(name)
	}
	return gate.Usable()
}

// gateWaiter is a submission that waits until a gate is durably marked as used.
type gateWaiter struct {
	msg   userMessage
	since time.Time
}

// awaitGate makes a submission wait until an open gate is durably marked as used. If the gate isn't open, it responds at once
// and asks the user to retry.
func (s *scheduler) awaitGate(m userMessage, name upgrade.GateName, now time.Time) {
	if s.gates.Gate(name).Phase != upgrade.GateOpen {
		m.reply <- api.Unavailable(m.req.ID, "not every controller is known to have what it needs yet")
		return
	}
	s.gateWaiters = append(s.gateWaiters, gateWaiter{m, now})
}

// setGates updates the gates in force, and then retries the submissions that wait for a gate.
func (s *scheduler) setGates(record upgrade.Record) {
	s.gates = record
	s.updateArchiveInUse()
	s.activation.setGate(record.Gate(upgrade.Activation))
	waiting := s.gateWaiters
	s.gateWaiters = nil
	for _, w := range waiting {
		waitingBefore := len(s.gateWaiters)
		s.handleUser(w.msg)
		if len(s.gateWaiters) > waitingBefore {
			s.gateWaiters[waitingBefore].since = w.since // the submission waits again, and its time limit isn't extended
		}
	}
}

// failGateWaiters ends the wait of submissions that have waited too long for a gate, and asks their users to retry. If this
// controller isn't certain to be the leader, it does so for all waiting submissions.
func (s *scheduler) failGateWaiters(now time.Time) {
	s.gateWaiters = slices.DeleteFunc(s.gateWaiters, func(w gateWaiter) bool {
		expired := !s.leaseValid(now) || now.Sub(w.since) > clock.Scale(s.settings.HeartbeatInterval, commitStallPerHeartbeat)
		if expired {
			w.msg.reply <- api.Unavailable(w.msg.req.ID, "state service slow or out of reach")
		}
		return expired
	})
}

// encodingOf returns the record encoding that the journal may write while the feature gates of a cluster record are in force.
// The cluster record, an upgrade.Record, stores the cluster's version and the states of its gates.
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

// errTermEnded reports that the actors of the leader's term have stopped.
var errTermEnded = errors.New("the term has ended")

// termGates publishes the gates in force to the actors of one term, and counts how much of their state depends on each gate.
// All actors apply new gates before the count, so that the count includes every use. termGates implements
// upgradecontrol.GateUsers.
type termGates struct {
	scheduler *scheduler
	journal   *storage.Journal
}

// PublishGates sends a cluster record to the term's actors, and returns once they apply its gates.
func (t termGates) PublishGates(ctx context.Context, record upgrade.Record) error {
	_, err := t.publish(ctx, record)
	return err
}

// publish sends a cluster record to the journal and the scheduler. Right after the scheduler has applied the record, it counts
// the parts of its state that depend on gates. publish returns these counts.
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

// CountGateUses publishes a cluster record, and then counts for each gate how much state depends on it. Each call also
// converts a part of the state that must no longer depend on a gate: it rewrites compressed chunks of the journal, and moves
// archived jobs back to the journal.
func (t termGates) CountGateUses(ctx context.Context, record upgrade.Record) (upgrade.Usage, error) {
	uses, err := t.publish(ctx, record)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, t.scheduler.settings.StoreCallTimeout())
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
		usage[upgrade.JobArchive], err = t.restoreAndCountArchived(ctx, record)
	}
	if uses.archiving { // the count may not include the batch that is being archived
		usage[upgrade.JobArchive]++
	}
	return usage, err
}

// gatesMessage sends the scheduler the gates that are in force from now on. The scheduler applies them, and replies with the
// state that depends on gates.
type gatesMessage struct {
	record upgrade.Record
	reply  chan gateUses
}

// gateUses describes which parts of the scheduler's state depend on gates.
type gateUses struct {
	openGangs  int  // number of gang jobs that are open or still have attempts
	archive    bool // the archive may contain jobs, so they have to be counted
	archiving  bool // a batch of jobs is being archived
	lifecycles int  // number of lifecycle records of services that scale to zero
}

func (m gatesMessage) handle(s *scheduler) {
	s.setGates(m.record)
	m.reply <- gateUses{
		openGangs:  s.state.Jobs.OpenGangs(),
		archive:    s.archiveInUse,
		archiving:  s.archiving,
		lifecycles: s.activation.gateUseCount(),
	}
}
