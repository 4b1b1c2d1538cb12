// Package leadership elects one leader among the controllers. Leadership is a key in the key-value store
// that is attached to a lease. The controller that creates the key leads a new term until the lease
// expires, the lease is revoked, or the controller observes a later term. Each term has a number and a
// range of fencing tokens above those of all earlier terms. A fencing token is a number that commands to a
// worker carry; the worker rejects late commands with a lower token than it has seen. The transaction that
// creates the key also reserves the term's range.
//
// The package owns the keys LeaderKey and TermKey, which Election writes, and the registrations of
// processes, which Registrar writes. It reads the cluster record to decide whether this process may
// lead, and publishes this controller's view of the leadership as Role values. It doesn't depend on jobs or
// machines.
//
// A controller keeps its name when it is restarted, but every restart starts a new process of the
// controller.
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
	// LeaderKey holds a LeaderRecord and is attached to the leader's lease.
	LeaderKey = "lead"
	// TermKey holds an upgrade.Term, whose number is the last fencing token of the latest term.
	TermKey = "term"
)

const (
	// RenewalsPerLease is the number of times that a leader renews its lease within the lease's time to
	// live.
	RenewalsPerLease = 5
	// retriesPerLease is the number of times that a controller without leadership retries a failed
	// request, or competes again, within the lease's time to live.
	retriesPerLease = 4 * RenewalsPerLease
	// watchLeases is the duration of one watch of the leader's key, as a multiple of the lease's time to
	// live.
	watchLeases = 4
	// standDownLeases is how long a controller doesn't compete for leadership after a resignation with
	// Resignation.StandDown, as a multiple of the lease's time to live.
	standDownLeases = 4
	// resignationQueue is the capacity of the resignation channel. It has room for all resignations of
	// one term: those that the term's actors send, and the one that is sent when the term has ended.
	resignationQueue = 4
)

// LeaderRecord is the value of LeaderKey.
type LeaderRecord struct {
	Node    string `json:"n"`
	Process string `json:"r"` // the process that leads
	Term    uint64 `json:"t"`
}

// Peers represents the connections to the other controllers, with only the methods that an election needs.
type Peers interface {
	// Ping requests the named controller's status. It returns an error if no response arrives.
	Ping(ctx context.Context, name string) (peer.Status, error)
	// KnownLeader returns the leader with the latest term that any reachable peer has reported, and
	// that term. Term 0 means that no peer has reported a leader.
	KnownLeader() (leader string, term uint64)
}

// Config holds the dependencies and settings of an Election.
type Config struct {
	Store      storage.KeyValueStore
	Settings   *config.Settings
	Peers      Peers
	Process    string      // identifies this process among all processes of its controller
	Registered func() bool // reports whether this process has registered the versions that it supports
	Log        *slog.Logger
}

// Election is the actor that competes for leadership and renews the lease while it leads.
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
	standDownUntil time.Time    // this process doesn't compete for leadership before then
	lastContact    atomic.Int64 // when the key-value store last answered, in nanoseconds since started
	lastLogged     string       // the last error that was logged at level error
}

// New returns an election. Run starts it.
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

// Process returns the identifier of this process among all processes of its controller.
func (e *Election) Process() string { return e.process }

// Status returns a status with only the fields that the election maintains: Uptime and SinceStoreContact.
func (e *Election) Status() peer.Status {
	uptime := time.Since(e.started)
	return peer.Status{Uptime: uptime, SinceStoreContact: uptime - time.Duration(e.lastContact.Load())}
}

// Resign requests the end of a term. It never blocks: if the queue is full, the term is ending already
// and further resignations may be dropped. It may be called from any goroutine.
func (e *Election) Resign(r Resignation) {
	select {
	case e.resignations <- r:
	default:
	}
}

// Run competes for leadership and leads until ctx ends. It calls publish with each change of the role;
// publish must not block for long. Run returns an error if the cluster record refuses this process: see
// upgrade.Admit.
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
			e.pauseBeforeRetry(ctx)
		default:
			e.followLeader(ctx, item)
		}
	}
	return nil
}

// compete tries to acquire leadership while there is no leader. It returns an error only if the cluster
// record refuses this process.
func (e *Election) compete(ctx context.Context) error {
	if time.Now().Before(e.standDownUntil) {
		e.pauseBeforeRetry(ctx)
		return nil
	}
	err := e.acquireLeadership(ctx)
	if upgrade.IsRefusal(err) {
		return err
	}
	if err != nil {
		e.logNotAcquired(err)
		e.pauseBeforeRetry(ctx)
	}
	return nil
}

// logNotAcquired logs why leadership was not acquired. Operators must solve two of the problems: damaged
// stored data, and a gate that this process can't read. These two are logged at level error, and only
// once if the same error repeats.
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

// leaderItem reads LeaderKey.
func (e *Election) leaderItem(ctx context.Context) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	defer cancel()
	item, err := e.store.Get(ctx, LeaderKey)
	if err == nil || errors.Is(err, storage.ErrNotFound) {
		e.markContact()
	}
	return item, err
}

// markContact records that the key-value store has answered now.
func (e *Election) markContact() { e.lastContact.Store(int64(time.Since(e.started))) }

func (e *Election) pauseBeforeRetry(ctx context.Context) {
	clock.Sleep(ctx, e.settings.Tuning.LeaderLease/retriesPerLease)
}

// followLeader publishes which controller leads, and waits until the leader record changes.
//
// If the leader record names this controller, followLeader publishes nothing and doesn't wait. It revokes
// the lease that the leader record is attached to, so that the record is deleted. Such a record has one of
// two causes. Either an earlier process of this controller has written the record; that process must have
// ended, because this process runs in its place. Or this process itself has written the record, but the
// response to the transaction that acquired leadership was lost.
func (e *Election) followLeader(ctx context.Context, item storage.Item) {
	var record LeaderRecord
	if err := json.Unmarshal(item.Data, &record); err != nil {
		e.log.Error("leader record decoding failed", "error", err)
		e.pauseBeforeRetry(ctx)
		return
	}
	if record.Node == e.settings.NodeName {
		e.log.Info("revoking the lease of an earlier process", "term", record.Term)
		if err := e.revokeLease(ctx, item.Lease); err != nil {
			e.pauseBeforeRetry(ctx)
		}
		return
	}
	e.publish(Role{Leader: record.Node, Term: record.Term})
	e.awaitLeaderChange(ctx, item.Version)
}

// awaitLeaderChange waits until LeaderKey has another version than the given one. It returns early if the
// watch fails.
func (e *Election) awaitLeaderChange(ctx context.Context, version uint64) {
	maxWait := watchLeases * e.settings.Tuning.LeaderLease
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, maxWait+e.settings.Tuning.LeaderLease)
		changes, revision, err := e.store.Watch(watchCtx, LeaderKey, version, maxWait)
		cancel()
		if err != nil {
			e.pauseBeforeRetry(ctx)
			return
		}
		if len(changes) > 0 {
			return
		}
		version = revision
	}
}

// revokeLease ends a lease. It is not an error if the lease has ended already.
func (e *Election) revokeLease(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	defer cancel()
	err := e.store.Revoke(ctx, lease)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	return err
}

// errNotRegistered reports that this process may not lead yet, because it isn't registered.
var errNotRegistered = errors.New("this process has not registered its versions yet")

// checkEligibility reads the cluster record and returns an error if this process may not lead under it.
func (e *Election) checkEligibility(ctx context.Context) (ClusterRecord, error) {
	if !e.registered() {
		return ClusterRecord{}, errNotRegistered
	}
	ctx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	defer cancel()
	cluster, err := ReadClusterRecord(ctx, e.store)
	if err != nil {
		return ClusterRecord{}, err
	}
	// The zero policy leaves out the target version that operators have set. If the active version is
	// above the target, a process may not start, but a process that already runs must not stop.
	upgradeSettings := &e.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.Record, upgradeSettings.Versions, upgrade.Policy{}); err != nil {
		return ClusterRecord{}, err
	}
	return cluster, upgrade.MayLead(cluster.Record, upgradeSettings.Versions, upgradeSettings.KnownGates)
}

// acquireLeadership tries to become the leader and, if it succeeds, leads until the term ends.
func (e *Election) acquireLeadership(ctx context.Context) error {
	cluster, err := e.checkEligibility(ctx)
	if err != nil {
		return err
	}
	callCtx, cancel := context.WithTimeout(ctx, e.settings.StoreCallTimeout())
	defer cancel()
	held := heldLease{cluster: cluster, renewedAt: time.Now()}
	held.id, err = e.store.Grant(callCtx, e.settings.Tuning.LeaderLease)
	if err != nil {
		return fmt.Errorf("grant leadership lease: %w", err)
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
		// The transaction may have been committed, if the response was lost, or may still be committed
		// later. Revoking the lease deletes the key in the first case and makes the transaction fail in
		// the second.
		if revokeErr := e.revokeLease(ctx, held.id); revokeErr != nil {
			e.log.Debug("lease revocation failed", "error", revokeErr)
		}
		return fmt.Errorf("acquire leadership: %w", err)
	}
	held.guard = storage.Guard{Key: LeaderKey, Version: version}
	// Record the contact, so that this controller's status shows peers that it may have led, even if
	// the term ends at once: see PeersConfirmNoLeader.
	e.markContact()
	e.log.Info("leadership acquired", "term", held.term)
	e.holdLeadership(ctx, held)
	return nil
}

// readTerm reads the latest term and the version of TermKey.
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
		return upgrade.Term{}, 0, &upgrade.DamagedError{Key: TermKey, Reason: "its number leaves no tokens and attempt numbers for another term"}
	}
	return term, item.Version, nil
}

// writeLeader creates LeaderKey and reserves the term in one transaction. The transaction fails if there
// is a leader, or if the term or the cluster record has changed since it was read. writeLeader returns
// the version of LeaderKey.
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
