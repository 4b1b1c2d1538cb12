package upgradecontrol

import (
	"context"
	"fmt"
	"time"

	"sagevale/internal/upgrade"
)

// RequestUse asks for a gate to be marked as used. It may be called from any goroutine and never blocks: who needs
// the gate asks again.
func (c *Controller) RequestUse(gate upgrade.GateName) {
	select {
	case c.uses <- gate:
	default:
	}
}

// use marks a gate as used, for what is about to depend on it.
func (c *Controller) use(ctx context.Context, gate upgrade.GateName) error {
	delete(c.unusedSince, gate)
	if c.inForce().Gate(gate).Usable() {
		return c.tolerate("publish gates", c.publish(ctx))
	}
	next, err := upgrade.MarkGateUsed(c.cluster.Record, gate, c.term)
	if err != nil {
		c.log.Debug("gate use rejected", "gate", gate, "error", err)
		return nil
	}
	if err := c.write(ctx, next, nil); err != nil {
		return c.tolerate("write gate use", err)
	}
	c.log.Info("upgrade step", "step", fmt.Sprintf("gate %s is in use", gate), "active", next.Active, "phase", next.Phase)
	return nil
}

// noteUsage notes a count, and returns for how long each gate has been unused.
func (c *Controller) noteUsage(usage upgrade.Usage, now time.Time) map[upgrade.GateName]time.Duration {
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

// inForce is what the other actors go by.
func (c *Controller) inForce() upgrade.Record {
	if c.tentative != nil {
		return *c.tentative
	}
	return c.cluster.Record
}

// barUses has the other actors take a gate for unused before that is stored, and reports whether nothing depends
// on it then. From here on a use has to be stored anew, for the release may be carried out late.
func (c *Controller) barUses(ctx context.Context, step upgrade.Step) (unused bool, err error) {
	c.tentative = &step.Record
	usage, err := c.users.CountGateUses(ctx, step.Record)
	if err != nil {
		return false, err
	}
	if usage[step.Releases] == 0 {
		return true, nil
	}
	c.tentative = nil
	delete(c.unusedSince, step.Releases)
	return false, c.publish(ctx)
}

// publish tells the leader's other actors what is in force.
func (c *Controller) publish(ctx context.Context) error {
	return c.users.PublishGates(ctx, c.inForce())
}
