package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"sagevale/internal/api"
	"sagevale/internal/clock"
	"sagevale/internal/config"
	"sagevale/internal/fencing"
	"sagevale/internal/peer"
	"sagevale/internal/storage"
	"sagevale/internal/upgrade"
)

// The keys of leadership in the state service.
const (
	leaderKey = "lead"
	termKey   = "term"
)

const (
	// renewalsPerLease is how often a leader renews its grant within its life.
	renewalsPerLease = 5

	// watchLeases is how many grant lives one watch is held.
	watchLeases = 4
)

// leaderRecord is the value of the leadership key.
type leaderRecord struct {
	Node    string `json:"n"`
	Process string `json:"r"` // the process that holds it
	Term    uint64 `json:"t"`
}

// Role tells who leads, as this node knows it.
type Role struct {
	Leading         bool
	Leader          string // name of the leader, if known
	Term            uint64
	Guard           storage.Guard
	LeaseValidUntil time.Time    // until when this node's own grant surely holds
	RenewUntil      time.Time    // until when it may still renew workers' leases
	cluster         clusterState // as the take-over was guarded by it
}

// leadership is the actor that competes for the lead and keeps it. It tells
// each change of role through tell, which must not block for long.
type leadership struct {
	svc            storage.KeyValueStore
	settings       *config.Settings
	process        string // unlike any other process's
	publish        func(Role)
	resign         chan resignation
	peers          PeerLink
	registered     func() bool // this process has told which versions it reads and writes
	began          time.Time
	standDownUntil time.Time    // the lead is left to others until then
	lastContact    atomic.Int64 // when the state service last answered, after began
	lastLogged     string       // the last trouble that was logged as an error
	log            *slog.Logger
}

// status is what this node tells its peers.
func (l *leadership) status() peer.Status {
	up := time.Since(l.began)
	return peer.Status{Uptime: up, SinceStoreContact: up - time.Duration(l.lastContact.Load())}
}

// markContact notes an answer of the state service.
func (l *leadership) markContact() { l.lastContact.Store(int64(time.Since(l.began))) }

// leaderless tells whether all peers confirm that they can't have led since
// cut, the earliest end of our own grant: each has been up since before it and
// hasn't heard the state service after it. A peer that has restarted can't
// know what it did before, so it can't confirm, whatever else it says.
func (l *leadership) leaderless(ctx context.Context, term uint64, cut time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
	defer cancel()
	answers := make(chan bool, len(l.settings.Peers))
	for _, p := range l.settings.Peers {
		go func() {
			a, err := l.peers.Forward(ctx, p.Name, api.Request{Op: api.OpPing})
			since := clock.Scale(time.Since(cut), clock.DriftBound)
			peer := a.Peer
			answers <- err == nil && peer.Term <= term && peer.Uptime > since && peer.SinceStoreContact > since
		}()
	}
	for range l.settings.Peers {
		if !<-answers {
			return false
		}
	}
	return true
}

// Run competes and leads until ctx ends. It returns an error if this process must not
// serve beside what is in force.
func (l *leadership) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		item, err := l.get(ctx, leaderKey)
		switch {
		case errors.Is(err, storage.ErrNotFound) && time.Now().Before(l.standDownUntil):
			l.pause(ctx)
		case errors.Is(err, storage.ErrNotFound):
			err := l.acquire(ctx)
			if upgrade.IsRefusal(err) {
				return err
			}
			if err != nil {
				l.logNotAcquired(err)
				l.pause(ctx)
			}
		case err != nil:
			l.publish(Role{})
			l.pause(ctx)
		default:
			l.follow(ctx, item)
		}
	}
	return nil
}

// logNotAcquired logs why no lead was taken; what operators must mend, once as an error.
func (l *leadership) logNotAcquired(err error) {
	var damaged *upgrade.DamagedError
	var unreadable *upgrade.UnreadableGateError
	if !errors.As(err, &damaged) && !errors.As(err, &unreadable) {
		l.log.Debug("no lead taken", "err", err)
		return
	}
	if err.Error() != l.lastLogged {
		l.lastLogged = err.Error()
		l.log.Error("no lead taken", "err", err)
	}
}

func (l *leadership) get(ctx context.Context, key string) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
	defer cancel()
	item, err := l.svc.Get(ctx, key)
	if err == nil || errors.Is(err, storage.ErrNotFound) {
		l.markContact()
	}
	return item, err
}

func (l *leadership) pause(ctx context.Context) {
	clock.Sleep(ctx, l.settings.Tuning.LeaderLease/(4*renewalsPerLease))
}

// follow waits for the end of another's lead. A record of an earlier process
// of this very node proves that process dead, so its grant is ended at once.
// A record of our own is a take-over whose answer was lost.
func (l *leadership) follow(ctx context.Context, item storage.Item) {
	var rec leaderRecord
	if err := json.Unmarshal(item.Data, &rec); err != nil {
		l.log.Error("unreadable leadership record", "err", err)
		l.pause(ctx)
		return
	}
	if rec.Node == l.settings.NodeName {
		l.log.Info("ending the grant of an earlier run", "term", rec.Term)
		if err := l.revoke(ctx, item.Lease); err != nil {
			l.pause(ctx)
		}
		return
	}
	l.publish(Role{Leader: rec.Node, Term: rec.Term})
	after := item.Version
	for ctx.Err() == nil {
		hold := watchLeases * l.settings.Tuning.LeaderLease
		wctx, cancel := context.WithTimeout(ctx, hold+l.settings.Tuning.LeaderLease)
		changes, rev, err := l.svc.Watch(wctx, leaderKey, after, hold)
		cancel()
		if err != nil {
			l.pause(ctx)
			return
		}
		if len(changes) > 0 {
			return
		}
		after = rev
	}
}

func (l *leadership) revoke(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
	defer cancel()
	err := l.svc.Revoke(ctx, lease)
	if errors.Is(err, storage.ErrNotFound) {
		return nil
	}
	return err
}

// eligible reads the cluster record and tells whether this process may lead beside it.
func (l *leadership) eligible(ctx context.Context) (clusterState, error) {
	if !l.registered() {
		return clusterState{}, errUnregistered
	}
	ctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
	defer cancel()
	cluster, err := readCluster(ctx, l.svc)
	if err != nil {
		return clusterState{}, err
	}
	// A target that was overtaken is told to a process that begins, and ends none that serves.
	own := &l.settings.Tuning.Upgrade
	if err := upgrade.Admit(cluster.record, own.Versions, upgrade.Policy{}); err != nil {
		return clusterState{}, err
	}
	return cluster, upgrade.MayLead(cluster.record, own.Versions, own.Known)
}

// acquire tries to take the lead and, if it succeeds, leads until deposed.
func (l *leadership) acquire(ctx context.Context) error {
	life := l.settings.Tuning.LeaderLease
	cluster, err := l.eligible(ctx)
	if err != nil {
		return err
	}
	sent := time.Now()
	cctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
	defer cancel()
	lease, err := l.svc.Grant(cctx, life)
	if err != nil {
		return fmt.Errorf("grant: %w", err)
	}
	l.markContact()
	var term upgrade.Term
	termItem, err := l.svc.Get(cctx, termKey)
	switch {
	case errors.Is(err, storage.ErrNotFound):
	case err != nil:
		return fmt.Errorf("read term: %w", err)
	default:
		if term, err = upgrade.DecodeTerm(termKey, termItem.Data); err != nil {
			return err
		}
	}
	if term.Number >= fencing.LastTerm {
		return &upgrade.DamagedError{Key: termKey, Reason: "its number leaves no room for another term"}
	}
	tokens := fencing.TermTokens(term.Number + 1)
	term.Number, term.Fence = tokens.Last, cluster.record.Fence
	rec, err := json.Marshal(leaderRecord{Node: l.settings.NodeName, Process: l.process, Term: tokens.First})
	if err != nil {
		return fmt.Errorf("encode lead: %w", err)
	}
	next, err := json.Marshal(term)
	if err != nil {
		return fmt.Errorf("encode term: %w", err)
	}
	version, err := l.svc.Txn(cctx,
		[]storage.Guard{{Key: leaderKey}, {Key: termKey, Version: termItem.Version}, {Key: clusterKey, Version: cluster.version}},
		[]storage.Op{{Key: leaderKey, Data: rec, Lease: lease}, {Key: termKey, Data: next}})
	if err != nil {
		// A take-over whose answer was lost, or that comes late, must not
		// stand: ending the grant removes the key or bars the transaction.
		if rerr := l.revoke(ctx, lease); rerr != nil {
			l.log.Debug("grant not ended", "err", rerr)
		}
		return fmt.Errorf("take the lead: %w", err)
	}
	// Peers are told that we may have led, whatever comes of this lead.
	l.markContact()
	l.log.Info("took the lead", "term", tokens.First)
	l.renew(ctx, lease, tokens.First, cluster, storage.Guard{Key: leaderKey, Version: version}, sent)
	return nil
}

// renew renews the grant until it is lost, given up, or without the state
// service for longer than the hold allows.
func (l *leadership) renew(ctx context.Context, lease, term uint64, cluster clusterState, guard storage.Guard, sent time.Time) {
	life := l.settings.Tuning.LeaderLease
	var confirmed time.Time // when all peers last confirmed that nobody leads
	role := func() Role {
		certain := sent.Add(clock.Scale(life, 1/clock.DriftBound))
		alone := certain
		if confirmed.After(alone) {
			alone = confirmed
		}
		return Role{
			Leading: true, Leader: l.settings.NodeName, Term: term, Guard: guard,
			LeaseValidUntil: certain, RenewUntil: alone.Add(l.settings.RenewalGrace()),
			cluster: cluster,
		}
	}
	l.publish(role())
	reason := "stopped"
	for ctx.Err() == nil {
		select {
		case t := <-l.resign:
			if t.term == term {
				reason = "resigned"
				if t.standDown {
					l.standDownUntil = time.Now().Add(standDownLeases * life)
				}
				if err := l.revoke(ctx, lease); err != nil {
					l.log.Debug("grant not ended", "err", err)
				}
				l.lost(term, reason)
				return
			}
			continue
		case <-ctx.Done():
		case <-time.After(life / renewalsPerLease):
		}
		at := time.Now()
		tctx, cancel := context.WithTimeout(ctx, l.settings.CallTimeout())
		err := l.svc.Touch(tctx, lease)
		cancel()
		if err == nil {
			l.markContact()
			sent = at
			l.publish(role())
			continue
		}
		if errors.Is(err, storage.ErrNotFound) {
			reason = "grant ended"
			break
		}
		if _, later := l.peers.KnownLeader(); later > term {
			reason = "a peer knows a later leader"
			break
		}
		if at := time.Now(); at.After(role().LeaseValidUntil) && l.leaderless(ctx, term, role().LeaseValidUntil) {
			confirmed = at
			l.publish(role())
		}
		if time.Now().After(role().RenewUntil) {
			reason = "state service out of reach for too long"
			break
		}
	}
	l.lost(term, reason)
}

func (l *leadership) lost(term uint64, reason string) {
	l.log.Info("lost the lead", "term", term, "reason", reason)
	l.publish(Role{})
}
