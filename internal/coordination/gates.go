package coordination

import (
	"context"
	"errors"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// mayUse tells whether something new may depend on a gate. An open gate is taken into use
// before its first dependant is made, so that no version that lacks it can lead then.
func (d *dispatcher) mayUse(name upgrade.GateName) bool {
	gate := d.gates.Gate(name)
	if gate.Phase == upgrade.GateOpen && !gate.Used {
		d.requestGate(name)
	}
	return gate.Usable()
}

// openGangs counts the gang jobs that aren't over, or still have tasks somewhere.
func (d *dispatcher) openGangs() int {
	gangs := 0
	for _, j := range d.open {
		if j.spec.Gang {
			gangs++
		}
	}
	return gangs
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
	dispatcher *dispatcher
	journal    *storage.Journal
}

// setGates publishes a record; with count it also returns what depends on each gate.
func (t termGates) setGates(ctx context.Context, record upgrade.Record, count bool) (upgrade.Usage, error) {
	t.journal.SetEncoding(encodingOf(record))
	reply := make(chan int, 1)
	t.dispatcher.post(gatesMsg{record, reply})
	var gangs int
	select {
	case gangs = <-reply:
	case <-t.dispatcher.closed:
		return nil, errTermEnded
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if !count {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.dispatcher.settings.callTime())
	defer cancel()
	encoded, err := t.journal.MigrateStep(ctx)
	if err != nil {
		return nil, err
	}
	usage := upgrade.Usage{upgrade.GangJobs: gangs, upgrade.CompressedChunks: encoded}
	return usage, nil
}
