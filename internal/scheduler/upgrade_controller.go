package scheduler

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
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

const (
	// upgradeTicks is how often a leader looks at an upgrade under way, within the life
	// of its grant; one that is settled is looked at once a report interval.
	upgradeTicks = leadership.RenewalsPerLease
)

// upgradeController is the leader's actor that moves the cluster record. Only it writes
// the record, so what it holds is exact: the take-over was guarded by the record that the
// term began with.
type upgradeController struct {
	svc      storage.KeyValueStore
	settings *config.Settings
	peers    PeerLink
	log      *slog.Logger
	leader   storage.Guard
	term     uint64
	users    gateUsage

	cluster       leadership.ClusterRecord
	registrations map[string]registrationState
	outdated      bool                           // the registrations, or the record, have to be read again
	nextCount     time.Time                      // when uses of gates are counted next
	unusedSince   map[upgrade.GateName]time.Time // since when nothing has depended on a gate
	// tentative is in force for the other actors instead of the record, while the release
	// of a gate is on its way and may yet be carried out; nil: the record itself is.
	tentative *upgrade.Record
	waiting   string

	uses    chan upgrade.GateName
	changed chan struct{}
}

func newUpgradeController(s *config.Settings, deps Dependencies, role leadership.Role, users gateUsage, log *slog.Logger) *upgradeController {
	return &upgradeController{
		svc: deps.State, settings: s, peers: deps.Peers, log: log, leader: role.Guard, term: role.Term, users: users,
		cluster: role.Cluster, outdated: true, unusedSince: make(map[upgrade.GateName]time.Time),
		uses: make(chan upgrade.GateName, len(s.Tuning.Upgrade.Known)+1), changed: make(chan struct{}, 1),
	}
}

// run moves the record until the term ends.
func (c *upgradeController) run(ctx context.Context) error {
	timer := time.NewTimer(c.firstLook())
	defer timer.Stop()
	watch := sync.OnceFunc(func() { go c.watchRegistrations(ctx) })
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

// firstLook is when a term first looks at an upgrade: where all is in force that this
// version has, not in the moments in which a take-over needs the processor.
func (c *upgradeController) firstLook() time.Duration {
	if c.cluster.Record.Active < c.settings.Tuning.Upgrade.Versions.Max || c.cluster.Record.Phase == upgrade.Withdrawing {
		return 0
	}
	return c.settings.HeartbeatInterval
}

// pause is how long nothing needs to be looked at.
func (c *upgradeController) pause() time.Duration {
	if c.outdated || c.cluster.Record.Phase == upgrade.Withdrawing {
		return c.settings.Tuning.LeaderLease / upgradeTicks
	}
	return c.settings.HeartbeatInterval
}

// advance takes the steps that can be taken now. An error ends the term.
func (c *upgradeController) advance(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.outdated {
			if err := c.read(ctx); err != nil {
				return c.tolerate("upgrade not looked at", err)
			}
		}
		situation, err := c.situation(ctx)
		if err != nil {
			return c.tolerate("uses of gates not counted", err)
		}
		step := upgrade.Next(situation)
		if !step.Changed {
			c.publishWaiting(ctx, step.Waiting)
			return nil
		}
		if step.Releases != "" {
			unused, err := c.barUses(ctx, step)
			if err != nil || !unused {
				return c.tolerate("gate not released", err)
			}
		}
		if err := c.store(ctx, step.Record, situation.Members); err != nil {
			return c.tolerate("upgrade step not stored", err)
		}
		c.log.Info("upgrade", "step", step.What, "active", step.Record.Active, "phase", step.Record.Phase)
	}
	return nil
}

// tolerate sorts troubles: those that pass are tried again, those that end the term are
// returned.
func (c *upgradeController) tolerate(what string, err error) error {
	var damaged *upgrade.DamagedError
	if err == nil || errors.Is(err, storage.ErrLeadershipLost) || errors.As(err, &damaged) {
		return err
	}
	c.outdated = true
	c.log.Debug(what, "err", err)
	return nil
}

// read reads the record and the registrations. The record is nobody else's to write, but
// an answer may have been lost.
func (c *upgradeController) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	items, _, _, err := c.svc.List(ctx, leadership.UpgradePrefix, "", upgradeKeysMost)
	if err != nil {
		return err
	}
	cluster, registrations, err := parseUpgradeKeys(items)
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
func (c *upgradeController) situation(ctx context.Context) (upgrade.Situation, error) {
	own := &c.settings.Tuning.Upgrade
	s := upgrade.Situation{
		Record: c.cluster.Record, Members: c.members(), Versions: own.Versions, Known: own.Known,
		Policy: own.Policy, Now: time.Now(), Term: c.term,
	}
	if s.Now.Before(c.nextCount) && s.Record.Phase != upgrade.Withdrawing {
		return s, nil
	}
	usage, err := c.users.setGates(ctx, c.inForce(), true)
	if err != nil && !errors.As(err, &s.Blocked) {
		return s, err
	}
	c.nextCount = s.Now.Add(own.Policy.ReleaseAfter / countsPerRelease)
	s.Usage, s.Unused = usage, c.noteUsage(usage, s.Now)
	return s, nil
}

// store writes a step in one transaction. It is guarded by the lead, the record and every
// registration that the step rests on: an older process that has registered meanwhile
// bars it, as does a later leader.
func (c *upgradeController) store(ctx context.Context, next upgrade.Record, members []upgrade.Member) error {
	guards := []storage.Guard{c.leader, {Key: leadership.ClusterKey, Version: c.cluster.Version}}
	for _, m := range members {
		guards = append(guards, storage.Guard{Key: leadership.RegistrationPrefix + m.Node, Version: c.registrations[m.Node].version})
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode cluster record: %w", err)
	}
	ops := []storage.Op{{Key: leadership.ClusterKey, Data: data}}
	if next.Fence != c.cluster.Record.Fence {
		term, err := json.Marshal(upgrade.Term{Number: fencing.TermTokens(c.term).Last, Fence: next.Fence})
		if err != nil {
			return fmt.Errorf("encode term: %w", err)
		}
		ops = append(ops, storage.Op{Key: leadership.TermKey, Data: term})
	}
	tctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	version, err := c.svc.Txn(tctx, guards, ops)
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

// waitingRecord tells operators what the leader waits for.
type waitingRecord struct {
	Term    uint64 `json:"term"`
	Waiting string `json:"waiting"`
}

// publishWaiting notes what the upgrade waits for, where it has changed.
func (c *upgradeController) publishWaiting(ctx context.Context, waiting string) {
	if waiting == c.waiting {
		return
	}
	data, err := json.Marshal(waitingRecord{Term: c.term, Waiting: waiting})
	if err != nil {
		c.log.Error("waiting not encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout())
	defer cancel()
	if _, err := c.svc.Txn(ctx, []storage.Guard{c.leader}, []storage.Op{{Key: waitingKey, Data: data}}); err != nil {
		c.log.Debug("waiting not told", "err", err)
		return
	}
	c.waiting = waiting
	c.log.Info("upgrade", "waiting", waiting, "active", c.cluster.Record.Active, "phase", c.cluster.Record.Phase)
}

const waitingKey = leadership.UpgradePrefix + "waiting" // what the leader waits for, for operators
