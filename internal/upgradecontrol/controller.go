// Package upgradecontrol moves the cluster record: it carries out the steps of package upgrade, which decides them
// purely. Its Controller is the leader's actor that alone writes the cluster record, guarded by the leader's key,
// the record's own version and the registrations that a step rests on. The other actors of the leader learn what
// is in force from it, and count what depends on gates for it, through GateUsers.
package upgradecontrol

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/leadership"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

const (
	// looksPerLease is how often a leader looks at an upgrade under way, within the time to live of its
	// lease; one that is settled is looked at once a heartbeat interval.
	looksPerLease = leadership.RenewalsPerLease
	// countsPerRelease is how often uses are counted within the time after which an unused gate is
	// released.
	countsPerRelease = 20
)

// Peers are the links to the other controllers, as far as upgrades need them.
type Peers interface {
	// Status is the named controller's latest status; ok is false if there is none.
	Status(name string) (status peer.ObservedStatus, ok bool)
}

// GateUsers are the leader's other actors, which make new things that depend on gates.
type GateUsers interface {
	// PublishGates tells them what is in force, and returns once they go by it.
	PublishGates(ctx context.Context, record upgrade.Record) error
	// CountGateUses does the same, and then counts what depends on each gate.
	CountGateUses(ctx context.Context, record upgrade.Record) (upgrade.Usage, error)
}

// Config is what a Controller is made of.
type Config struct {
	Store    storage.KeyValueStore
	Settings *config.Settings
	Peers    Peers
	Role     leadership.Role // of the leader, with the cluster record that the failover was guarded by
	Users    GateUsers
	Log      *slog.Logger
}

// Controller is the leader's actor that moves the cluster record.
type Controller struct {
	store    storage.KeyValueStore
	settings *config.Settings
	peers    Peers
	log      *slog.Logger
	leader   storage.Guard
	term     uint64
	users    GateUsers

	cluster       leadership.ClusterRecord
	registrations map[string]registration
	outdated      bool                           // the registrations, or the record, have to be read again
	nextCount     time.Time                      // when uses of gates are counted next
	unusedSince   map[upgrade.GateName]time.Time // since when nothing has depended on a gate
	// tentative is in force for the other actors instead of the record, while the release of a gate is on
	// its way and may yet be carried out; nil: the record itself is.
	tentative *upgrade.Record
	waiting   string // what operators were last told that the upgrade waits for

	uses    chan upgrade.GateName
	changed chan struct{} // a registration may have changed
}

// New makes the controller of a term; Run starts it.
func New(c Config) *Controller {
	return &Controller{
		store:       c.Store,
		settings:    c.Settings,
		peers:       c.Peers,
		log:         c.Log,
		leader:      c.Role.Guard,
		term:        c.Role.Term,
		users:       c.Users,
		cluster:     c.Role.Cluster,
		outdated:    true,
		unusedSince: make(map[upgrade.GateName]time.Time),
		uses:        make(chan upgrade.GateName, len(c.Settings.Tuning.Upgrade.Known)+1),
		changed:     make(chan struct{}, 1),
	}
}

// Run moves the record until the term ends.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTimer(c.firstLook())
	defer timer.Stop()
	var watcher sync.WaitGroup
	defer watcher.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // before the watcher is waited for
	watch := sync.OnceFunc(func() { watcher.Go(func() { c.watchRegistrations(ctx) }) })
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case gate := <-c.uses:
			err = c.use(ctx, gate)
		case <-c.changed:
			c.outdated = true
			err = c.advance(ctx)
		case <-timer.C:
			watch()
			err = c.advance(ctx)
		}
		if err != nil {
			return err
		}
		timer.Reset(c.pause())
	}
}

// firstLook is when a term first looks at an upgrade: where all is in force that this version has, not in the
// moments in which a failover needs the processor.
func (c *Controller) firstLook() time.Duration {
	if c.cluster.Record.Active < c.settings.Tuning.Upgrade.Versions.Max || c.cluster.Record.Phase == upgrade.Withdrawing {
		return 0
	}
	return c.settings.HeartbeatInterval
}

// pause is how long nothing needs to be looked at.
func (c *Controller) pause() time.Duration {
	if c.outdated || c.cluster.Record.Phase == upgrade.Withdrawing {
		return c.settings.Tuning.LeaderLease / looksPerLease
	}
	return c.settings.HeartbeatInterval
}

// advance takes the steps that can be taken now. An error ends the term.
func (c *Controller) advance(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.outdated {
			if err := c.read(ctx); err != nil {
				return c.tolerate("read upgrade keys", err)
			}
		}
		situation, err := c.situation(ctx)
		if err != nil {
			return c.tolerate("count gate uses", err)
		}
		step := upgrade.Next(situation)
		if !step.Changed {
			c.publishWaiting(ctx, step.Waiting)
			return nil
		}
		if step.Releases != "" {
			unused, err := c.barUses(ctx, step)
			if err != nil || !unused {
				return c.tolerate("release gate", err)
			}
		}
		if err := c.write(ctx, step.Record, situation.Members); err != nil {
			return c.tolerate("write step", err)
		}
		c.log.Info("upgrade step", "step", step.Description, "active", step.Record.Active, "phase", step.Record.Phase)
	}
	return nil
}

// tolerate returns errors that end the term; after others the records are read again, and what was tried is
// tried again.
func (c *Controller) tolerate(action string, err error) error {
	var damaged *upgrade.DamagedError
	if err == nil || errors.Is(err, storage.ErrLeadershipLost) || errors.As(err, &damaged) {
		return err
	}
	c.outdated = true
	c.log.Debug("upgrade step failed", "action", action, "error", err)
	return nil
}

// read reads the record and the registrations. The record is nobody else's to write, but an answer may have been
// lost.
func (c *Controller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	items, _, _, err := c.store.List(ctx, leadership.UpgradePrefix, "", maxUpgradeKeys)
	if err != nil {
		return err
	}
	cluster, registrations, err := parseKeys(items)
	if err != nil {
		return err
	}
	if cluster.Version != c.cluster.Version {
		c.cluster, c.tentative = cluster, nil
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	c.registrations, c.outdated = registrations, false
	return nil
}

// situation gathers what the next step rests on.
func (c *Controller) situation(ctx context.Context) (upgrade.Situation, error) {
	own := &c.settings.Tuning.Upgrade
	s := upgrade.Situation{
		Record: c.cluster.Record, Members: c.members(), Versions: own.Versions, Known: own.Known,
		Policy: own.Policy, Now: time.Now(), Term: c.term,
	}
	if s.Now.Before(c.nextCount) && s.Record.Phase != upgrade.Withdrawing {
		return s, nil
	}
	usage, err := c.users.CountGateUses(ctx, c.inForce())
	if err != nil && !errors.As(err, &s.Blocked) {
		return s, err
	}
	c.nextCount = s.Now.Add(own.Policy.ReleaseAfter / countsPerRelease)
	s.Usage, s.Unused = usage, c.noteUsage(usage, s.Now)
	return s, nil
}

// write writes a step in one transaction. It is guarded by the leader's key, the record and every registration that
// the step rests on: an older process that has registered meanwhile bars it, as does a later leader.
func (c *Controller) write(ctx context.Context, next upgrade.Record, members []upgrade.Member) error {
	guards := []storage.Guard{c.leader, {Key: leadership.ClusterKey, Version: c.cluster.Version}}
	for _, m := range members {
		guards = append(guards, storage.Guard{Key: leadership.RegistrationPrefix + m.Node, Version: c.registrations[m.Node].version})
	}
	ops, err := c.stepOps(next)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	version, err := c.store.Txn(callCtx, guards, ops)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, c.leader.Key) {
		return storage.ErrLeadershipLost
	}
	if err != nil {
		return err
	}
	c.cluster, c.tentative = leadership.ClusterRecord{Record: next, Version: version}, nil
	return c.publish(ctx)
}

// stepOps are the changes that write a record, and the term's fence where that changes.
func (c *Controller) stepOps(next upgrade.Record) ([]storage.Op, error) {
	record, err := json.Marshal(next)
	if err != nil {
		return nil, fmt.Errorf("encode cluster record: %w", err)
	}
	ops := []storage.Op{{Key: leadership.ClusterKey, Data: record}}
	if next.Fence == c.cluster.Record.Fence {
		return ops, nil
	}
	term, err := json.Marshal(upgrade.Term{Number: fencing.TermTokens(c.term).Last, Fence: next.Fence})
	if err != nil {
		return nil, fmt.Errorf("encode term: %w", err)
	}
	return append(ops, storage.Op{Key: leadership.TermKey, Data: term}), nil
}

// waitingKey tells operators what the leader waits for.
const waitingKey = leadership.UpgradePrefix + "waiting"

// waitingRecord is the value of waitingKey.
type waitingRecord struct {
	Term    uint64 `json:"term"`
	Waiting string `json:"waiting"`
}

// publishWaiting notes what the upgrade waits for, where it has changed.
func (c *Controller) publishWaiting(ctx context.Context, waiting string) {
	if waiting == c.waiting {
		return
	}
	data, err := json.Marshal(waitingRecord{Term: c.term, Waiting: waiting})
	if err != nil {
		c.log.Error("record encoding failed", "key", waitingKey, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	if _, err := c.store.Txn(ctx, []storage.Guard{c.leader}, []storage.Op{{Key: waitingKey, Data: data}}); err != nil {
		c.log.Debug("upgrade step failed", "action", "write what is waited for", "error", err)
		return
	}
	c.waiting = waiting
	c.log.Info("upgrade waiting", "reason", waiting, "active", c.cluster.Record.Active, "phase", c.cluster.Record.Phase)
}
