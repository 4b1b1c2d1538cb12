// Package storagetest provides an in-memory key-value store for tests. It implements the protocol
// of the consensus-backed store: revisions, guarded transactions, leases, watches and limits.
// Tests can inject faults: outages, lost and delayed transactions, lost responses, slow requests.
package storagetest

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"sagevale/internal/storage"
)

const (
	// keptChanges is the minimum number of past changes that a store of this protocol keeps for
	// watches.
	keptChanges = 10_000
	// defaultValueBytes and defaultTxnOps are the limits of a new store.
	defaultValueBytes = 8192
	defaultTxnOps     = 32
)

// Service is the store. Each Client is a connection to it. The exported fields may be set directly
// before the first request, and only by a function passed to Update afterwards.
type Service struct {
	mu        sync.Mutex
	revision  uint64 // revision of the last change
	items     map[string]storage.Item
	leases    map[uint64]lease
	lastLease uint64 // ID of the last granted lease; IDs count up from 1

	changes     []storage.Item // latest changes, for watches
	compacted   uint64         // revision of the latest change that is no longer kept
	changed     chan struct{}  // closed at the next change
	closed      bool
	outageSince time.Time // zero: no outage

	// ValueBytes is the maximum size of a value, and TxnOps the maximum number of operations of
	// a transaction. Tests may lower both.
	ValueBytes, TxnOps int

	Faults
}

// lease is a lease that hasn't expired.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewService returns an empty store.
func NewService() *Service {
	return &Service{
		items: make(map[string]storage.Item), leases: make(map[uint64]lease),
		changed: make(chan struct{}), ValueBytes: defaultValueBytes, TxnOps: defaultTxnOps,
	}
}

// Close ends all watches and refuses watches from then on. It must be called only once.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
}

// Keys returns the keys with a prefix, in order.
func (s *Service) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// ForEachItem calls f for every key, in unspecified order, while it holds the lock of the store.
func (s *Service) ForEachItem(f func(storage.Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.items {
		f(item)
	}
}

// Restore replaces all keys of the store with the given items. It omits items that are attached to a
// lease, as if the lease had expired meanwhile. It must be called by a function passed to Update.
func (s *Service) Restore(items []storage.Item) {
	s.items = make(map[string]storage.Item)
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b storage.Item) int { return cmp.Compare(a.Version, b.Version) })
	for _, item := range items {
		if item.Lease != 0 {
			continue
		}
		s.items[item.Key] = item
		s.revision = max(s.revision, item.Version)
		s.addChange(item)
	}
}

// Apply applies a transaction as if it had just been received, regardless of limits and faults.
func (s *Service) Apply(guards []storage.Guard, ops []storage.Op) (revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if err := s.checkTransaction(guards, ops); err != nil {
		return 0, err
	}
	s.revision++
	for _, op := range ops {
		s.applyOp(op)
	}
	return s.revision, nil
}

// checkTransaction checks the guards of a transaction and the leases that its operations name.
func (s *Service) checkTransaction(guards []storage.Guard, ops []storage.Op) error {
	var failed []string
	for _, g := range guards {
		if s.items[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return &storage.ConflictError{Failed: failed}
	}
	for _, op := range ops {
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return storage.ErrLeaseExpired
		}
	}
	return nil
}

// applyOp applies one operation at the present revision.
func (s *Service) applyOp(op storage.Op) {
	item := storage.Item{Key: op.Key, Data: op.Data, Version: s.revision, Lease: op.Lease}
	if op.Delete {
		delete(s.items, op.Key)
		item.Data = nil
	} else {
		s.items[op.Key] = item
	}
	s.addChange(item)
}

// addChange records a change for watches and wakes the waiting watches.
func (s *Service) addChange(item storage.Item) {
	s.changes = append(s.changes, item)
	if drop := len(s.changes) - keptChanges; drop >= keptChanges {
		s.compacted = s.changes[drop-1].Version
		s.changes = slices.Clone(s.changes[drop:])
	}
	if !s.closed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// changesAfter returns the changes that are newer than the revision and whose keys have the prefix.
// It omits changes that the store no longer keeps.
func (s *Service) changesAfter(revision uint64, prefix string) []storage.Item {
	var changes []storage.Item
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > revision })
	for _, item := range s.changes[first:] {
		if strings.HasPrefix(item.Key, prefix) {
			changes = append(changes, item)
		}
	}
	return changes
}

// expireLeases ends the leases that have expired. No lease expires during an outage.
func (s *Service) expireLeases() {
	if !s.outageSince.IsZero() {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and the keys that are attached to it.
func (s *Service) endLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.revision++
			delete(s.items, key)
			s.addChange(storage.Item{Key: key, Version: s.revision})
		}
	}
}

// renewLease extends a lease to its full TTL from now.
func (s *Service) renewLease(id uint64) {
	l := s.leases[id]
	l.expires = time.Now().Add(l.ttl)
	s.leases[id] = l
}
