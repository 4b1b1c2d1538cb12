// Package leadership elects one leader among the controllers. Leadership is a key under a lease in the
// key-value store; whoever creates the key leads a new term until the lease expires, is revoked, or a
// later term is seen. Each term has a number and a range of fencing tokens above those of all earlier
// terms, reserved by the transaction that creates the key.
//
// The package owns the keys LeaderKey and TermKey, which Election writes, and the registrations of
// processes, which Registrar writes. It reads the cluster record to tell whether this process may lead,
// and hands out roles as values; it knows nothing of jobs or machines.
package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// The keys of leadership in the key-value store.
const (
	// LeaderKey holds a LeaderRecord, under the leader's lease.
	LeaderKey = "lead"
	// TermKey holds an upgrade.Term: the last fencing token of the latest term.
	TermKey = "term"
)

const (
	// RenewalsPerLease is how often a leader renews its lease within its time to live.
	RenewalsPerLease = 5
	// retriesPerLease is how often a follower looks again for a leader within that time.
	retriesPerLease = 4 * RenewalsPerLease
	// watchLeases is how long one watch of the leader's key lasts, in times to live of a lease.
	watchLeases = 4
	// standDownLeases is how long a leader that stands down leaves leadership to others, in times to
	// live of a lease.
	standDownLeases = 4
	// resignationQueue holds the resignations of a term: of its actors, and of its end.
	resignationQueue = 4
)

// LeaderRecord is the value of LeaderKey.
type LeaderRecord struct {
	Node    string `json:"n"`
	Process string `json:"r"` // the process that leads
	Term    uint64 `json:"t"`
}

// Peers are the links to the other controllers, as far as an election needs them.
type Peers interface {
	// Ping asks the named controller for its status. An error means that no answer came.
	Ping(ctx context.Context, name string) (peer.Status, error)
	// KnownLeader is the latest leader that peers in reach have told of, and its term; 0: none.
	KnownLeader() (leader string, term uint64)
}

// Config is what an Election is made of.
type Config struct {
	Store      storage.KeyValueStore
	Settings   *config.Settings
	Peers      Peers
	Process    string      // identifies this process among all processes of its controller
	Registered func() bool // reports whether this process has registered the versions that it supports
	Log        *slog.Logger
}

// Election is the actor that competes for leadership, and keeps it.
type Election struct {
	store        storage.KeyValueStore
	settings     *config.Settings
	peers        Peers
	process      string
	registered   func() bool
	publish      func(Role)
	resignations chan Resignation
	log          *slog.Logger

	started        time.Time
	standDownUntil time.Time    // leadership is left to others until then
	lastContact    atomic.Int64 // when the key-value store last answered, in ns after started
	lastLogged     string       // the last error that was logged at level error
}

// New makes an election; Run starts it.
func New(c Config) *Election {
	return &Election{
		store:        c.Store,
		settings:     c.Settings,
		peers:        c.Peers,
		process:      c.Process,
		registered:   c.Registered,
		publish:      func(Role) {},
		resignations: make(chan Resignation, resignationQueue),
		log:          c.Log,
		started:      time.Now(),
	}
}

// Process identifies this process among all processes of its controller.
func (e *Election) Process() string { return e.process }

// Status is the part of a controller's status that its election knows.
func (e *Election) Status() peer.Status {
	uptime := time.Since(e.started)
	return peer.Status{Uptime: uptime, SinceStoreContact: uptime - time.Duration(e.lastContact.Load())}
}

// Resign asks for the end of a term. It never blocks: a term that is ending anyway needs no more
// resignations. It may be called from any goroutine.
func (e *Election) Resign(r Resignation) {
	select {
	case e.resignations <- r:
	default:
	}
}

// Run competes and leads until ctx ends, and publishes each change of role; publish must not block
// for long. It returns an error if this process must not serve beside what is in force.
func (e *Election) Run(ctx context.Context, publish func(Role)) error {
	e.publish = publish
	for ctx.Err() == nil {
		item, err := e.leaderItem(ctx)
		switch {
		case errors.Is(err, storage.ErrNotFound):
			if err := e.compete(ctx); err != nil {
				return err
			}
		case err != nil:
			e.publish(Role{})
			e.pause(ctx)
		default:
			e.follow(ctx, item)
		}
	}
	return nil
}

// compete tries to lead while nobody does. It returns an error only if this process must not serve.
func (e *Election) compete(ctx context.Context) error {
	if time.Now().Before(e.standDownUntil) {
		e.pause(ctx)
		return nil
	}
	err := e.acquire(ctx)
	if upgrade.IsRefusal(err) {
		return err
	}
	if err != nil {
		e.logNotAcquired(err)
		e.pause(ctx)
	}
	return nil
}

// logNotAcquired logs why leadership was not acquired. Stored data that operators must repair is logged
// at level error, once.
func (e *Election) logNotAcquired(err error) {
	var damaged *upgrade.DamagedError
	var unreadable *upgrade.UnreadableGateError
	if !errors.As(err, &damaged) && !errors.As(err, &unreadable) {
		e.log.Debug("leadership not acquired", "error", err)
		return
	}
	if err.Error() != e.lastLogged {
		e.lastLogged = err.Error()
		e.log.Error("leadership not acquired", "error", err)
	}
}

// leaderItem reads the leader's key.
func (e *Election) leaderItem(ctx context.Context) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout())
	defer cancel()
	item, err := e.store.Get(ctx, LeaderKey)
	if err == nil || errors.Is(err, storage.ErrNotFound) {
		e.markContact()
	}
	return item, err
}

// markContact notes an answer of the key-value store.
func (e *Election) markContact() { e.lastContact.Store(int64(time.Since(e.started))) }

func (e *Election) pause(ctx context.Context) {
	clock.Sleep(ctx, e.settings.Tuning.LeaderLease/retriesPerLease)
}

// follow waits for the end of another controller's leadership. A record of an earlier process of this
// very controller proves that process dead, so its lease is revoked at once. A record of our own is
// a failover whose answer was lost.
func (e *Election) follow(ctx context.Context, item storage.Item) {
	var record LeaderRecord
	if err := json.Unmarshal(item.Data, &record); err != nil {
		e.log.Error("leader record decoding failed", "error", err)
		e.pause(ctx)
		return
	}
	if record.Node == e.settings.NodeName {
		e.log.Info("revoking the lease of an earlier process", "term", record.Term)
		if err := e.revoke(ctx, item.Lease); err != nil {
			e.pause(ctx)
		}
		return
	}
	e.publish(Role{Leader: record.Node, Term: record.Term})
	e.awaitChange(ctx, item.Version)
}

// awaitChange waits until the leader's key has changed after a version.
func (e *Election) awaitChange(ctx context.Context, version uint64) {
	hold := watchLeases * e.settings.Tuning.LeaderLease
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, hold+e.settings.Tuning.LeaderLease)
		changes, revision, err := e.store.Watch(watchCtx, LeaderKey, version, hold)
		cancel()
		if err != nil {
			e.pause(ctx)
			return
		}
		if len(changes) > 0 {
			return
		}
		version = revision
	}
}

// revoke ends a lease. One that has ended already is no error.
func (e *Election) revoke(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout())
	defer cancel()
	err := e.store.Revoke(ctx, lease)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	return err
}

// errNotRegistered says that this process may not lead yet.
var errNotRegistered = errors.New("not registered yet")

// checkEligibility reads the cluster record and returns an error if this process may not lead beside it.
func (e *Election) checkEligibility(ctx context.Context) (ClusterRecord, error) {
	if !e.registered() {
		return ClusterRecord{}, errNotRegistered
	}
	ctx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout())
	defer cancel()
	cluster, err := ReadClusterRecord(ctx, e.store)
	if err != nil {
		return ClusterRecord{}, err
	}
	// That the operators' target has been passed refuses a process that starts, and ends none that serves.
	own := &e.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.Record, own.Versions, upgrade.Policy{}); err != nil {
		return ClusterRecord{}, err
	}
	return cluster, upgrade.MayLead(cluster.Record, own.Versions, own.Known)
}

// acquire tries to become the leader and, if it succeeds, leads until the term ends.
func (e *Election) acquire(ctx context.Context) error {
	cluster, err := e.checkEligibility(ctx)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, e.settings.CallTimeout())
	defer cancel()
	held := heldLease{cluster: cluster, renewedAt: time.Now()}
	held.id, err = e.store.Grant(callCtx, e.settings.Tuning.LeaderLease)
	if err != nil {
		return fmt.Errorf("grant: %w", err)
	}
	e.markContact()
	term, termVersion, err := e.readTerm(callCtx)
	if err != nil {
		return err
	}
	tokens := fencing.TermTokens(term.Number + 1)
	held.term = tokens.First
	term.Number, term.Fence = tokens.Last, cluster.Record.Fence
	version, err := e.writeLeader(callCtx, &held, term, termVersion)
	if err != nil {
		// A transaction whose answer was lost, or that is carried out late, must not stand: without
		// its lease the key is removed, or the transaction fails.
		if revokeErr := e.revoke(ctx, held.id); revokeErr != nil {
			e.log.Debug("lease revocation failed", "error", revokeErr)
		}
		return fmt.Errorf("acquire leadership: %w", err)
	}
	held.guard = storage.Guard{Key: LeaderKey, Version: version}
	// From here on peers are told that this process may have led, whatever becomes of the term.
	e.markContact()
	e.log.Info("leadership acquired", "term", held.term)
	e.keep(ctx, held)
	return nil
}

// readTerm reads the latest term and the version of its key.
func (e *Election) readTerm(ctx context.Context) (term upgrade.Term, version uint64, err error) {
	item, err := e.store.Get(ctx, TermKey)
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return upgrade.Term{}, 0, nil
	case err != nil:
		return upgrade.Term{}, 0, fmt.Errorf("read term: %w", err)
	}
	if term, err = upgrade.DecodeTerm(TermKey, item.Data); err != nil {
		return upgrade.Term{}, 0, err
	}
	if term.Number >= fencing.LastTerm {
		return upgrade.Term{}, 0, &upgrade.DamagedError{Key: TermKey, Reason: "its number leaves no room for another term"}
	}
	return term, item.Version, nil
}

// writeLeader creates the leader's key and reserves the term, unless the term or the cluster record has
// changed since they were read. It returns the version of the leader's key.
func (e *Election) writeLeader(ctx context.Context, held *heldLease, term upgrade.Term, termVersion uint64) (uint64, error) {
	record, err := json.Marshal(LeaderRecord{Node: e.settings.NodeName, Process: e.process, Term: held.term})
	if err != nil {
		return 0, fmt.Errorf("encode leader record: %w", err)
	}
	next, err := json.Marshal(term)
	if err != nil {
		return 0, fmt.Errorf("encode term: %w", err)
	}
	guards := []storage.Guard{
		{Key: LeaderKey},
		{Key: TermKey, Version: termVersion},
		{Key: ClusterKey, Version: held.cluster.Version},
	}
	ops := []storage.Op{
		{Key: LeaderKey, Data: record, Lease: held.id},
		{Key: TermKey, Data: next},
	}
	return e.store.Txn(ctx, guards, ops)
}
