// Package upgradecontrol carries out rolling upgrades. Package upgrade only decides on each step and does no input or
// output. This package stores the result of the step in the cluster record, which holds the active version and the
// states of the feature gates. A feature gate, or gate for short, keeps a feature off until all controllers support
// it.
//
// The Controller is an actor of the leader and the only writer of the cluster record. Each write is guarded by the
// leader's key, the record's version and the registrations that the step relies on.
//
// Through GateUsers the Controller publishes the record in force to the leader's other actors, which also count what
// depends on each gate. The record in force is the stored cluster record, with one exception: the record of a step that
// releases a gate, that is, marks the gate as no longer used, is in force before it is stored.
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
	// checksPerLease is the number of times that a leader checks an upgrade in progress within the time to live
	// of its lease. If no upgrade is in progress, it checks once per heartbeat interval.
	checksPerLease = leadership.RenewalsPerLease
	// countsPerRelease is the number of times that the uses of gates are counted within Policy.ReleaseAfter, which is
	// how long a gate must be unused before it is released.
	countsPerRelease = 20
)

// Peers represents the connections to the other controllers, with only the methods that upgrades need.
type Peers interface {
	// Status returns the latest status that the named controller has reported. ok is false if it has reported none.
	Status(name string) (status peer.ObservedStatus, ok bool)
}

// GateUsers represents the leader's other actors, which create jobs and records that depend on gates.
type GateUsers interface {
	// PublishGates sends the actors the record in force, and returns once all of them obey it.
	PublishGates(ctx context.Context, record upgrade.Record) error
	// CountGateUses does what PublishGates does, and then counts the jobs and records that depend on each gate.
	CountGateUses(ctx context.Context, record upgrade.Record) (upgrade.Usage, error)
}

// Config holds the dependencies and settings of a Controller.
type Config struct {
	Store     storage.KeyValueStore
	Settings  *config.Settings
	Peers     Peers
	Role      leadership.Role // the leader's role at the start of the term, with the cluster record
	GateUsers GateUsers
	Log       *slog.Logger
}

// Controller is the leader's actor that carries out upgrades: it decides on the steps and writes the cluster record.
type Controller struct {
	store     storage.KeyValueStore
	settings  *config.Settings
	peers     Peers
	log       *slog.Logger
	leader    storage.Guard // guards every write of the term
	term      uint64
	gateUsers GateUsers

	cluster       leadership.ClusterRecord
	registrations map[string]registration
	outdated      bool                           // the registrations or the record must be read again
	nextCount     time.Time                      // when the uses of gates are counted next
	unusedSince   map[upgrade.GateName]time.Time // gates without uses, and when each was first counted as unused
	// tentative is the record that the other actors obey instead of the stored record; nil: they obey the stored record.
	// It is set before the release of a gate is written, and kept while that write may still be committed.
	tentative        *upgrade.Record
	publishedWaiting string // the reason for waiting that was last stored for operators

	useRequests         chan upgrade.GateName // gates to be marked as used
	registrationChanged chan struct{}         // a registration may have changed
}

// New returns the controller of a term. Run starts it.
func New(c Config) *Controller {
	return &Controller{
		store:               c.Store,
		settings:            c.Settings,
		peers:               c.Peers,
		log:                 c.Log,
		leader:              c.Role.Guard,
		term:                c.Role.Term,
		gateUsers:           c.GateUsers,
		cluster:             c.Role.Cluster,
		outdated:            true,
		unusedSince:         make(map[upgrade.GateName]time.Time),
		useRequests:         make(chan upgrade.GateName, len(c.Settings.Tuning.Upgrade.KnownGates)+1),
		registrationChanged: make(chan struct{}, 1),
	}
}

// Run carries out the steps of upgrades until ctx ends or an error ends the term: see retryUnlessFatal.
func (c *Controller) Run(ctx context.Context) error {
	timer := time.NewTimer(c.firstCheckDelay())
	defer timer.Stop()
	var watcher sync.WaitGroup
	defer watcher.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // runs before watcher.Wait, so that the watcher stops
	watch := sync.OnceFunc(func() { watcher.Go(func() { c.watchRegistrations(ctx) }) })
	for {
		var err error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case gate := <-c.useRequests:
			err = c.markGateUsed(ctx, gate)
		case <-c.registrationChanged:
			c.outdated = true
			err = c.advanceUpgrade(ctx)
		case <-timer.C:
			watch()
			err = c.advanceUpgrade(ctx)
		}
		if err != nil {
			return err
		}
		timer.Reset(c.nextCheckDelay())
	}
}

// firstCheckDelay returns the delay of a term's first check of the upgrade. There is no delay if this program supports
// a later version than the active one, or if gates are being withdrawn. Otherwise the check waits for one heartbeat
// interval, because the other work of a failover needs the CPU.
func (c *Controller) firstCheckDelay() time.Duration {
	if c.cluster.Record.Active < c.settings.Tuning.Upgrade.Versions.Max || c.cluster.Record.Phase == upgrade.Withdrawing {
		return 0
	}
	return c.settings.HeartbeatInterval
}

// nextCheckDelay returns the delay until the next check of the upgrade.
func (c *Controller) nextCheckDelay() time.Duration {
	if c.outdated || c.cluster.Record.Phase == upgrade.Withdrawing {
		return c.settings.Tuning.LeaderLease / checksPerLease
	}
	return c.settings.HeartbeatInterval
}

// advanceUpgrade takes all steps of the upgrade that are possible now. If it returns an error, the term ends.
func (c *Controller) advanceUpgrade(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.outdated {
			if err := c.readUpgradeKeys(ctx); err != nil {
				return c.retryUnlessFatal("read upgrade keys", err)
			}
		}
		situation, err := c.buildSituation(ctx)
		if err != nil {
			return c.retryUnlessFatal("count gate uses", err)
		}
		step := upgrade.NextStep(situation)
		if !step.Changed {
			c.publishWaiting(ctx, step.Waiting)
			return nil
		}
		if step.ReleasedGate != "" {
			unused, err := c.preventNewUses(ctx, step)
			if err != nil || !unused {
				return c.retryUnlessFatal("release gate", err)
			}
		}
		if err := c.writeStep(ctx, step.Record, situation.Members); err != nil {
			return c.retryUnlessFatal("write step", err)
		}
		c.log.Info("upgrade step", "step", step.Description, "active", step.Record.Active, "phase", step.Record.Phase)
	}
	return nil
}

// retryUnlessFatal returns err if it ends the term, because leadership is lost or stored data is damaged. It logs other
// errors and marks the record and the registrations as outdated, so that the next check reads them again and retries
// the action.
func (c *Controller) retryUnlessFatal(action string, err error) error {
	var damaged *upgrade.DamagedError
	if err == nil || errors.Is(err, storage.ErrLeadershipLost) || errors.As(err, &damaged) {
		return err
	}
	c.outdated = true
	c.log.Debug("upgrade step failed", "action", action, "error", err)
	return nil
}

// readUpgradeKeys reads the cluster record and the registrations. No other actor writes the cluster record in this term,
// but this actor may not know the record's current version, because the response to one of its writes was lost.
func (c *Controller) readUpgradeKeys(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.StoreCallTimeout())
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
		if err := c.publishRecordInForce(ctx); err != nil {
			return err
		}
	}
	c.registrations, c.outdated = registrations, false
	return nil
}

// buildSituation returns the input of upgrade.NextStep. It counts the uses of gates if a count is due or gates are being
// withdrawn.
func (c *Controller) buildSituation(ctx context.Context) (upgrade.Situation, error) {
	upgradeSettings := &c.settings.Tuning.Upgrade
	s := upgrade.Situation{
		Record: c.cluster.Record, Members: c.members(), Versions: upgradeSettings.Versions, KnownGates: upgradeSettings.KnownGates,
		Policy: upgradeSettings.Policy, Now: time.Now(), Term: c.term,
	}
	if s.Now.Before(c.nextCount) && s.Record.Phase != upgrade.Withdrawing {
		return s, nil
	}
	usage, err := c.gateUsers.CountGateUses(ctx, c.recordInForce())
	if err != nil && !errors.As(err, &s.Blocked) {
		return s, err
	}
	c.nextCount = s.Now.Add(upgradeSettings.Policy.ReleaseAfter / countsPerRelease)
	s.Usage, s.Unused = usage, c.recordUsage(usage, s.Now)
	return s, nil
}

// writeStep writes a step in one transaction, which is guarded by the leader's key, the record and every registration
// that the step relies on. So the transaction fails if another controller has become the leader, or if one of these
// registrations has changed since it was read, for example because a process of an older program has registered.
func (c *Controller) writeStep(ctx context.Context, next upgrade.Record, members []upgrade.Member) error {
	guards := []storage.Guard{c.leader, {Key: leadership.ClusterKey, Version: c.cluster.Version}}
	for _, m := range members {
		guards = append(guards, storage.Guard{Key: leadership.RegistrationPrefix + m.Node, Version: c.registrations[m.Node].version})
	}
	ops, err := c.stepOps(next)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.settings.StoreCallTimeout())
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
	return c.publishRecordInForce(ctx)
}

// stepOps returns the operations that write the cluster record. If the step changes the record's Fence, the operations
// also write the term record.
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

// waitingKey is the key under which operators find what the upgrade waits for.
const waitingKey = leadership.UpgradePrefix + "waiting"

// waitingRecord is the value of waitingKey.
type waitingRecord struct {
	Term    uint64 `json:"term"`
	Waiting string `json:"waiting"`
}

// publishWaiting stores and logs what the upgrade waits for, if that has changed.
func (c *Controller) publishWaiting(ctx context.Context, waiting string) {
	if waiting == c.publishedWaiting {
		return
	}
	data, err := json.Marshal(waitingRecord{Term: c.term, Waiting: waiting})
	if err != nil {
		c.log.Error("record encoding failed", "key", waitingKey, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.StoreCallTimeout())
	defer cancel()
	if _, err := c.store.Txn(ctx, []storage.Guard{c.leader}, []storage.Op{{Key: waitingKey, Data: data}}); err != nil {
		c.log.Debug("upgrade step failed", "action", "write waiting reason", "error", err)
		return
	}
	c.publishedWaiting = waiting
	c.log.Info("upgrade waiting", "reason", waiting, "active", c.cluster.Record.Active, "phase", c.cluster.Record.Phase)
}
