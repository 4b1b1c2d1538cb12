// Package storagetest provides an in-memory key-value store for tests. It follows the protocol
// of the consensus-backed store: revisions, guarded transactions, leases, watches and limits.
// Tests may inject faults: outages, lost and late transactions, lost answers, slow requests.
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
	// changesKept is how many changes watches may go back, by the protocol.
	changesKept = 10_000
	// defaultValueBytes and defaultTxnOps are the limits of a new store.
	defaultValueBytes = 8192
	defaultTxnOps     = 32
)

// Service is the store itself. Clients are its connections. Its exported fields may be set
// before the first request, and within Trouble afterwards.
type Service struct {
	mu      sync.Mutex
	rev     uint64 // of the last change
	items   map[string]storage.Item
	leases  map[uint64]lease
	granted uint64 // how many leases were granted

	changes     []storage.Item // the latest, for watches
	compacted   uint64         // the revision of the latest change that is no longer kept
	changed     chan struct{}  // closed at the next change
	closed      bool
	outageSince time.Time // zero: no outage

	// ValueBytes and TxnOps are the limits, which may fall.
	ValueBytes, TxnOps int

	Faults
}

// lease is a lease that hasn't expired.
type lease struct {
	life    time.Duration
	expires time.Time
}

// NewService returns an empty store.
func NewService() *Service {
	return &Service{
		items: make(map[string]storage.Item), leases: make(map[uint64]lease),
		changed: make(chan struct{}), ValueBytes: defaultValueBytes, TxnOps: defaultTxnOps,
	}
}

// Close ends all watches, which are refused from then on. It must be called only once.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
}

// Keys returns the keys under a prefix, in order.
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

// Each calls f for every key, in no particular order, under the lock of the store.
func (s *Service) Each(f func(storage.Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.items {
		f(item)
	}
}

// Restore replaces the content of the store by the items, except those that are attached to a
// lease, which has expired meanwhile. It must be called within Trouble.
func (s *Service) Restore(items []storage.Item) {
	s.items = make(map[string]storage.Item)
	items = slices.Clone(items)
	slices.SortStableFunc(items, func(a, b storage.Item) int { return cmp.Compare(a.Version, b.Version) })
	for _, item := range items {
		if item.Lease != 0 {
			continue
		}
		s.items[item.Key] = item
		s.rev = max(s.rev, item.Version)
		s.addChange(item)
	}
}

// Apply applies a transaction as if it had just arrived, whatever the limits and faults are.
func (s *Service) Apply(guards []storage.Guard, ops []storage.Op) (revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if err := s.check(guards, ops); err != nil {
		return 0, err
	}
	s.rev++
	for _, op := range ops {
		s.applyOp(op)
	}
	return s.rev, nil
}

// check checks the guards, and the leases that operations name.
func (s *Service) check(guards []storage.Guard, ops []storage.Op) error {
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

func (s *Service) applyOp(op storage.Op) {
	item := storage.Item{Key: op.Key, Data: op.Data, Version: s.rev, Lease: op.Lease}
	if op.Delete {
		delete(s.items, op.Key)
		item.Data = nil
	} else {
		s.items[op.Key] = item
	}
	s.addChange(item)
}

// addChange keeps a change for watches and wakes them.
func (s *Service) addChange(item storage.Item) {
	s.changes = append(s.changes, item)
	if drop := len(s.changes) - changesKept; drop >= changesKept {
		s.compacted = s.changes[drop-1].Version
		s.changes = slices.Clone(s.changes[drop:])
	}
	if !s.closed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// changesAfter returns the kept changes under a prefix after a revision.
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

// expireLeases ends the leases that have run out. During an outage none does.
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
			s.rev++
			delete(s.items, key)
			s.addChange(storage.Item{Key: key, Version: s.rev})
		}
	}
}

// renewLease gives a lease its full life again.
func (s *Service) renewLease(id uint64) {
	l := s.leases[id]
	l.expires = time.Now().Add(l.life)
	s.leases[id] = l
}
