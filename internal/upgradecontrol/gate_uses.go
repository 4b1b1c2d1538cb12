package upgradecontrol

import (
	"context"
	"fmt"
	"time"

	"sagevale/internal/upgrade"
)

// RequestUse requests that a gate be marked as used. It may be called from any goroutine and never blocks. A request
// may be dropped, so a caller that still needs the gate must request it again.
func (c *Controller) RequestUse(gate upgrade.GateName) {
	select {
	case c.useRequests <- gate:
	default:
	}
}

// markGateUsed marks a gate as used in the cluster record. This must happen before any job or record depends on the
// gate. If the record in force already allows new uses of the gate, markGateUsed only publishes that record again.
func (c *Controller) markGateUsed(ctx context.Context, gate upgrade.GateName) error {
	delete(c.unusedSince, gate)
	if c.recordInForce().Gate(gate).Usable() {
		return c.retryUnlessFatal("publish gates", c.publishRecordInForce(ctx))
	}
	next, err := upgrade.MarkGateUsed(c.cluster.Record, gate, c.term)
	if err != nil {
		c.log.Debug("gate use rejected", "gate", gate, "error", err)
		return nil
	}
	if err := c.writeStep(ctx, next, nil); err != nil {
		return c.retryUnlessFatal("write gate use", err)
	}
	c.log.Info("upgrade step", "step", fmt.Sprintf("gate %s is in use", gate), "active", next.Active, "phase", next.Phase)
	return nil
}

// recordUsage records the result of counting the uses of gates. It returns how long each unused gate has been unused,
// but omits gates that are unused for the first time in this count.
func (c *Controller) recordUsage(usage upgrade.Usage, now time.Time) map[upgrade.GateName]time.Duration {
	unused := make(map[upgrade.GateName]time.Duration)
	for name, uses := range usage {
		since, noted := c.unusedSince[name]
		switch {
		case uses > 0:
			delete(c.unusedSince, name)
		case !noted:
			c.unusedSince[name] = now
		default:
			unused[name] = now.Sub(since)
		}
	}
	return unused
}

// recordInForce returns the record that the other actors must obey: the tentative record, if there is one, or else the
// stored record.
func (c *Controller) recordInForce() upgrade.Record {
	if c.tentative != nil {
		return *c.tentative
	}
	return c.cluster.Record
}

// preventNewUses prepares a step that releases a gate. It publishes the record of the step before that record is stored,
// so that the other actors make no new use of the gate. It then reports whether the gate has no uses.
//
// If the gate has no uses, the published record stays in force, and the caller writes the step. This write may be
// committed late, so a new use of the gate has to be written to the cluster record first: see markGateUsed. If the
// gate has uses, the stored record is in force again.
func (c *Controller) preventNewUses(ctx context.Context, step upgrade.Step) (unused bool, err error) {
	c.tentative = &step.Record
	usage, err := c.gateUsers.CountGateUses(ctx, step.Record)
	if err != nil {
		return false, err
	}
	if usage[step.ReleasedGate] == 0 {
		return true, nil
	}
	c.tentative = nil
	delete(c.unusedSince, step.ReleasedGate)
	return false, c.publishRecordInForce(ctx)
}

// publishRecordInForce publishes the record in force to the leader's other actors.
func (c *Controller) publishRecordInForce(ctx context.Context) error {
	return c.gateUsers.PublishGates(ctx, c.recordInForce())
}
