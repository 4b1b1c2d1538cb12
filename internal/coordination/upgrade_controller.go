package coordination

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

const (
	// upgradeTicks is how often a leader looks at an upgrade under way, within the life
	// of its grant; one that is settled is looked at once a report interval.
	upgradeTicks = touchesPerLease
	// firstUnregistered is the least that a process which registers tells its peers.
	firstUnregistered = 3
	// countsPerRelease is how often uses are counted within the time after which an
	// unused gate is released.
	countsPerRelease = 20
)

// gateUsage is what the leader's other actors count of the gates' uses.
type gateUsage interface {
	// setGates publishes what is in force and returns what depends on it since.
	setGates(ctx context.Context, record upgrade.Record, count bool) (upgrade.Usage, error)
}

// upgradeController is the leader's actor that moves the cluster record. Only it writes
// the record, so what it holds is exact: the take-over was guarded by the record that the
// term began with.
type upgradeController struct {
	svc      storage.StateService
	settings *Settings
	peers    PeerLink
	log      *slog.Logger
	lead     storage.Guard
	term     uint64
	users    gateUsage

	cluster       clusterState
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

// registrationState is a registration as it is stored.
type registrationState struct {
	registration *upgrade.Registration // nil: none, or damaged
	damaged      bool
	version      uint64
}

func newUpgradeController(s *Settings, deps Deps, role Role, users gateUsage, log *slog.Logger) *upgradeController {
	return &upgradeController{
		svc: deps.State, settings: s, peers: deps.Peers, log: log, lead: role.Guard, term: role.Term, users: users,
		cluster: role.cluster, outdated: true, unusedSince: make(map[upgrade.GateName]time.Time),
		uses: make(chan upgrade.GateName, len(s.Tuning.Upgrade.Known)+1), changed: make(chan struct{}, 1),
	}
}

// requestUse asks for a gate to be taken into use; what can't be taken in is asked again.
func (c *upgradeController) requestUse(gate upgrade.GateName) {
	select {
	case c.uses <- gate:
	default:
	}
}

// run moves the record until the term ends.
func (c *upgradeController) run(ctx context.Context) error {
	go c.watchRegistrations(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
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
			err = c.advance(ctx)
		}
		if err != nil {
			return err
		}
		timer.Reset(c.pause())
	}
}

// pause is how long nothing needs to be looked at.
func (c *upgradeController) pause() time.Duration {
	if c.outdated || c.cluster.record.Phase == upgrade.Withdrawing {
		return c.settings.Tuning.LeaderLease / upgradeTicks
	}
	return c.settings.Report
}

// watchRegistrations tells the actor of each change of a registration.
func (c *upgradeController) watchRegistrations(ctx context.Context) {
	hold := c.settings.Lease
	revision := c.lead.Version
	for ctx.Err() == nil {
		wctx, cancel := context.WithTimeout(ctx, hold+c.settings.Tuning.LeaderLease)
		changes, next, err := c.svc.Watch(wctx, registrationPrefix, revision, hold)
		cancel()
		switch {
		case errors.Is(err, storage.ErrCompacted):
			revision, _ = c.latestRevision(ctx)
		case err != nil:
			storage.Sleep(ctx, c.settings.Tuning.LeaderLease/touchesPerLease)
			continue
		case len(changes) == 0:
			revision = next
			continue
		default:
			revision = next
		}
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
}

func (c *upgradeController) latestRevision(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTime())
	defer cancel()
	_, _, revision, err := c.svc.List(ctx, registrationPrefix, "", 1)
	return revision, err
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
			c.tellWaiting(ctx, step.Waiting)
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
	if err == nil || errors.Is(err, storage.ErrDeposed) || errors.As(err, &damaged) {
		return err
	}
	c.outdated = true
	c.log.Debug(what, "err", err)
	return nil
}

// read reads the record and the registrations. The record is nobody else's to write, but
// an answer may have been lost.
func (c *upgradeController) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTime())
	defer cancel()
	items, _, _, err := c.svc.List(ctx, upgradePrefix, "", upgradeKeysMost)
	if err != nil {
		return err
	}
	cluster, registrations, err := parseUpgradeKeys(items)
	if err != nil {
		return err
	}
	if cluster.version != c.cluster.version {
		c.cluster, c.tentative = cluster, nil
		if err := c.publish(ctx); err != nil {
			return err
		}
	}
	c.registrations, c.outdated = registrations, false
	return nil
}

// upgradeKeysMost is more keys than upgrades ever have.
const upgradeKeysMost = 1000

// parseUpgradeKeys sorts the keys of upgrades. A damaged registration is no error, for only
// the node that it names is unknown then.
func parseUpgradeKeys(items []storage.Item) (clusterState, map[string]registrationState, error) {
	cluster := clusterState{record: upgrade.Initial()}
	registrations := make(map[string]registrationState)
	for _, item := range items {
		if item.Key == clusterKey {
			record, err := upgrade.DecodeRecord(item.Key, item.Data)
			if err != nil {
				return clusterState{}, nil, err
			}
			cluster = clusterState{record: record, version: item.Version}
		}
		if node, ok := strings.CutPrefix(item.Key, registrationPrefix); ok {
			registration, err := upgrade.DecodeRegistration(item.Key, node, item.Data)
			state := registrationState{damaged: err != nil, version: item.Version}
			if err == nil {
				state.registration = &registration
			}
			registrations[node] = state
		}
	}
	return cluster, registrations, nil
}

// situation gathers what the next step rests on.
func (c *upgradeController) situation(ctx context.Context) (upgrade.Situation, error) {
	own := &c.settings.Tuning.Upgrade
	s := upgrade.Situation{
		Record: c.cluster.record, Members: c.members(), Versions: own.Versions, Known: own.Known,
		Policy: own.Policy, Now: time.Now(), Term: c.term,
	}
	if s.Now.Before(c.nextCount) && s.Record.Phase != upgrade.Withdrawing {
		return s, nil
	}
	usage, err := c.users.setGates(ctx, c.inForce(), true)
	if err != nil {
		return s, err
	}
	c.nextCount = s.Now.Add(own.Policy.ReleaseAfter / countsPerRelease)
	s.Usage, s.Unused = usage, c.noteUsage(usage, s.Now)
	return s, nil
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
	return c.cluster.record
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

// members lists all controllers with what is known of their versions.
func (c *upgradeController) members() []upgrade.Member {
	members := []upgrade.Member{c.member(c.settings.Node)}
	for _, p := range c.settings.Peers {
		m := c.member(p.Name)
		if status, ok := c.peers.Status(p.Name); ok {
			m.Unregistered = unregisteredVersion(status.Version)
		}
		members = append(members, m)
	}
	return members
}

func (c *upgradeController) member(node string) upgrade.Member {
	state := c.registrations[node]
	return upgrade.Member{Node: node, Registered: state.registration, Damaged: state.damaged}
}

// unregisteredVersion is the version of a process that doesn't register, by what it tells
// its peers; 0: it registers.
func unregisteredVersion(told int) upgrade.Version {
	switch {
	case told >= firstUnregistered:
		return 0
	case told == int(upgrade.Version2):
		return upgrade.Version2
	}
	return upgrade.Version1
}

// store writes a step in one transaction. It is guarded by the lead, the record and every
// registration that the step rests on: an older process that has registered meanwhile
// bars it, as does a later leader.
func (c *upgradeController) store(ctx context.Context, next upgrade.Record, members []upgrade.Member) error {
	guards := []storage.Guard{c.lead, {Key: clusterKey, Version: c.cluster.version}}
	for _, m := range members {
		guards = append(guards, storage.Guard{Key: registrationPrefix + m.Node, Version: c.registrations[m.Node].version})
	}
	data, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode cluster record: %w", err)
	}
	ops := []storage.Op{{Key: clusterKey, Data: data}}
	if next.Fence != c.cluster.record.Fence {
		term, err := json.Marshal(upgrade.Term{Number: c.term, Fence: next.Fence})
		if err != nil {
			return fmt.Errorf("encode term: %w", err)
		}
		ops = append(ops, storage.Op{Key: termKey, Data: term})
	}
	tctx, cancel := context.WithTimeout(ctx, c.settings.callTime())
	defer cancel()
	version, err := c.svc.Txn(tctx, guards, ops)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) && slices.Contains(conflict.Failed, c.lead.Key) {
		return storage.ErrDeposed
	}
	if err != nil {
		return err
	}
	c.cluster, c.tentative = clusterState{record: next, version: version}, nil
	return c.publish(ctx)
}

// use takes a gate into use, for what is about to depend on it.
func (c *upgradeController) use(ctx context.Context, gate upgrade.GateName) error {
	delete(c.unusedSince, gate)
	if c.inForce().Gate(gate).Usable() {
		return c.tolerate("gates not published", c.publish(ctx))
	}
	next, err := upgrade.Use(c.cluster.record, gate, c.term)
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

// publish tells the leader's other actors what is in force.
func (c *upgradeController) publish(ctx context.Context) error {
	_, err := c.users.setGates(ctx, c.inForce(), false)
	return err
}

// waitingRecord tells operators what the leader waits for.
type waitingRecord struct {
	Term    uint64 `json:"term"`
	Waiting string `json:"waiting"`
}

// tellWaiting notes what the upgrade waits for, where it has changed.
func (c *upgradeController) tellWaiting(ctx context.Context, waiting string) {
	if waiting == c.waiting {
		return
	}
	data, err := json.Marshal(waitingRecord{Term: c.term, Waiting: waiting})
	if err != nil {
		c.log.Error("waiting not encoded", "err", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.callTime())
	defer cancel()
	if _, err := c.svc.Txn(ctx, []storage.Guard{c.lead}, []storage.Op{{Key: waitingKey, Data: data}}); err != nil {
		c.log.Debug("waiting not told", "err", err)
		return
	}
	c.waiting = waiting
	c.log.Info("upgrade", "waiting", waiting, "active", c.cluster.record.Active, "phase", c.cluster.record.Phase)
}
