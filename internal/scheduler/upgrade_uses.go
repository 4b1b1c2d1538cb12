package scheduler

import (
	"context"
	"fmt"
	"time"

	"sagevale/internal/upgrade"
)

// countsPerRelease is how often uses are counted within the time after which an unused
// gate is released.
const countsPerRelease = 20

// gateUsage is what the leader's other actors count of the gates' uses.
type gateUsage interface {
	// setGates publishes what is in force and returns what depends on it since.
	setGates(ctx context.Context, record upgrade.Record, count bool) (upgrade.Usage, error)
}

// requestUse asks for a gate to be taken into use; what can't be taken in is asked again.
func (c *upgradeController) requestUse(gate upgrade.GateName) {
	select {
	case c.uses <- gate:
	default:
	}
}

// use takes a gate into use, for what is about to depend on it.
func (c *upgradeController) use(ctx context.Context, gate upgrade.GateName) error {
	delete(c.unusedSince, gate)
	if c.inForce().Gate(gate).Usable() {
		return c.tolerate("gates not published", c.publish(ctx))
	}
	next, err := upgrade.MarkGateUsed(c.cluster.Record, gate, c.term)
	if err != nil {
		c.log.Debug("gate not used", "err", err)
		return nil
	}
	if err := c.store(ctx, next, nil); err != nil {
		return c.tolerate("use of a gate not stored", err)
	}
	c.log.Info("upgrade", "step", fmt.Sprintf("gate %s is in use", gate), "active", next.Active, "phase", next.Phase)
	return nil
}

// noteUsage takes in a count, and returns for how long each gate has been unused.
func (c *upgradeController) noteUsage(usage upgrade.Usage, now time.Time) map[upgrade.GateName]time.Duration {
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
func (c *upgradeController) inForce() upgrade.Record {
	if c.tentative != nil {
		return *c.tentative
	}
	return c.cluster.Record
}

// barUses has the other actors take a gate for unused before that is stored, and tells
// whether nothing depends on it then. From here on a use has to be stored anew, for the
// release may be carried out late.
func (c *upgradeController) barUses(ctx context.Context, step upgrade.Step) (unused bool, err error) {
	c.tentative = &step.Record
	usage, err := c.users.setGates(ctx, step.Record, true)
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
func (c *upgradeController) publish(ctx context.Context) error {
	_, err := c.users.setGates(ctx, c.inForce(), false)
	return err
}
