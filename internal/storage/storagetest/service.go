// Package storagetest holds a stand-in of the state service for tests. It
// follows the protocol: revisions, guards, leases, watches and outages.
package storagetest

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sagevale/internal/storage"
)

// Txn is a transaction as it was sent, to be sent again late.
type Txn struct {
	Guards []storage.Guard
	Ops    []storage.Op
}

// changesKept is how many changes watches may go back, by the protocol.
const changesKept = 10_000

// Service is the store itself.
type Service struct {
	mu      sync.Mutex
	rev     uint64
	items   map[string]storage.Item
	leases  map[uint64]time.Time
	lives   map[uint64]time.Duration
	changes []storage.Item // the latest
	dropped uint64         // the revision of the latest change that is no longer kept
	changed chan struct{}
	closed  bool
	out     time.Time // when the outage began; zero: none

	Sent []Txn // every transaction that arrived
	// ForgetSent keeps none of them: a long run's would fill the memory.
	ForgetSent bool
	// LoseAnswers makes so many transactions be executed without an answer.
	LoseAnswers int
	// Delay, if set, tells for each transaction after how long it is carried out;
	// one for which that isn't 0 gets no answer.
	Delay func() time.Duration
	// Slow is added to the time that each request takes.
	Slow time.Duration
	// ValueBytes and TxnOps are the service's limits, which may fall.
	ValueBytes, TxnOps int
	// Drop, if set, tells which transactions are never carried out.
	Drop func(Txn) bool
	// Lose, if set, tells which are carried out without an answer.
	Lose func(Txn) bool
	// Before, if set, is called before each transaction is carried out.
	Before func(Txn)
	// Refuse, if set, tells which keys or prefixes aren't read.
	Refuse func(key string) bool
	// Late, if set, tells of each after how long it is carried out, without an answer.
	Late func(Txn) time.Duration
}

// Trouble changes how the store serves, under its lock.
func (s *Service) Trouble(f func(s *Service)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// NewService returns an empty store.
func NewService() *Service {
	return &Service{items: make(map[string]storage.Item), leases: make(map[uint64]time.Time), lives: make(map[uint64]time.Duration), changed: make(chan struct{}), ValueBytes: 8192, TxnOps: 32}
}

// Outage begins or ends an outage; afterwards leases have their full time.
func (s *Service) Outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.expire()
		s.out = time.Now()
		return
	}
	s.out = time.Time{}
	for id := range s.leases {
		s.leases[id] = time.Now().Add(s.lives[id])
	}
}

// Restore fills the store with keys, but those under a lease, which has ended
// meanwhile; to be called within Trouble.
func (s *Service) Restore(items []storage.Item) {
	s.items = make(map[string]storage.Item)
	items = append([]storage.Item(nil), items...)
	sort.SliceStable(items, func(a, b int) bool { return items[a].Version < items[b].Version })
	for _, it := range items {
		if it.Lease != 0 {
			continue
		}
		s.items[it.Key] = it
		s.rev = max(s.rev, it.Version)
		s.note(it)
	}
}

// Close ends all watches.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	close(s.changed)
}

// Keys lists the keys under a prefix.
func (s *Service) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

// Each calls f for every key, in no order.
func (s *Service) Each(f func(storage.Item)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, it := range s.items {
		f(it)
	}
}

func (s *Service) expire() {
	if !s.out.IsZero() {
		return
	}
	for id, at := range s.leases {
		if time.Now().After(at) {
			s.end(id)
		}
	}
}

func (s *Service) end(id uint64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.rev++
			delete(s.items, k)
			s.note(storage.Item{Key: k, Version: s.rev})
		}
	}
}

func (s *Service) note(it storage.Item) {
	s.changes = append(s.changes, it)
	if len(s.changes) >= 2*changesKept {
		s.dropped = s.changes[len(s.changes)-changesKept-1].Version
		s.changes = append([]storage.Item(nil), s.changes[len(s.changes)-changesKept:]...)
	}
	if !s.closed {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Apply executes a transaction, as if it had just arrived.
func (s *Service) Apply(guards []storage.Guard, ops []storage.Op) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var failed []string
	for _, g := range guards {
		if s.items[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if failed != nil {
		return 0, &storage.ConflictError{Failed: failed}
	}
	for _, o := range ops {
		if _, ok := s.leases[o.Lease]; o.Lease != 0 && !ok {
			return 0, storage.ErrLeaseExpired
		}
	}
	s.rev++
	for _, o := range ops {
		it := storage.Item{Key: o.Key, Data: o.Data, Version: s.rev, Lease: o.Lease}
		if o.Delete {
			delete(s.items, o.Key)
			it.Data = nil
		} else {
			s.items[o.Key] = it
		}
		s.note(it)
	}
	return s.rev, nil
}

// Client is one node's way to the store; Cut makes it alone be refused.
type Client struct {
	*Service
	Cut *atomic.Bool
}

var _ storage.KeyValueStore = (*Client)(nil)

// enter waits the latency and refuses during an outage or cut.
func (c *Client) enter(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	case <-time.After(2*time.Millisecond + c.slow()):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.out.IsZero() || c.Cut != nil && c.Cut.Load() {
		return storage.ErrRefused
	}
	c.expire()
	return nil
}

// mayRead tells whether a key or prefix may be read.
func (c *Client) mayRead(key string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Refuse != nil && c.Refuse(key) {
		return storage.ErrRefused
	}
	return nil
}

func (s *Service) slow() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Slow
}

// Get reads one key.
func (c *Client) Get(ctx context.Context, key string) (storage.Item, error) {
	if err := c.enter(ctx); err != nil {
		return storage.Item{}, err
	}
	if err := c.mayRead(key); err != nil {
		return storage.Item{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	it, ok := c.items[key]
	if !ok {
		return it, storage.ErrNotFound
	}
	return it, nil
}

// List reads a page of keys.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storage.Item, bool, uint64, error) {
	if err := c.enter(ctx); err != nil {
		return nil, false, 0, err
	}
	if err := c.mayRead(prefix); err != nil {
		return nil, false, 0, err
	}
	keys := c.Keys(prefix)
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []storage.Item
	size := 0
	for _, k := range keys {
		if k <= after {
			continue
		}
		size += len(c.items[k].Data)
		if len(out) == limit || size > 512<<10 {
			return out, true, c.rev, nil
		}
		out = append(out, c.items[k])
	}
	return out, false, c.rev, nil
}

// Txn sends a transaction and checks the store's limits.
func (c *Client) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (uint64, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	valueBytes, txnOps := c.ValueBytes, c.TxnOps
	c.mu.Unlock()
	total := 0
	for _, o := range ops {
		total += len(o.Data)
		if len(o.Data) > valueBytes || o.Data != nil && !json.Valid(o.Data) {
			return 0, fmt.Errorf("%w: value of %d bytes for %s", storage.ErrMalformed, len(o.Data), o.Key)
		}
	}
	if len(ops) > txnOps || total > 64<<10 {
		return 0, fmt.Errorf("%w: transaction of %d changes, %d bytes", storage.ErrMalformed, len(ops), total)
	}
	c.mu.Lock()
	if !c.ForgetSent {
		c.Sent = append(c.Sent, Txn{guards, ops})
	}
	drop := c.Drop != nil && c.Drop(Txn{guards, ops})
	lose := c.LoseAnswers > 0
	if lose {
		c.LoseAnswers--
	}
	lose = lose || c.Lose != nil && c.Lose(Txn{guards, ops})
	var late time.Duration
	if c.Delay != nil {
		late = c.Delay()
	}
	if c.Late != nil {
		late = max(late, c.Late(Txn{guards, ops}))
	}
	before := c.Before
	c.mu.Unlock()
	if before != nil {
		before(Txn{guards, ops})
	}
	if drop {
		<-ctx.Done()
		return 0, storage.ErrOutcomeUnknown
	}
	if late > 0 {
		time.AfterFunc(late, func() { _, _ = c.Apply(guards, ops) })
		<-ctx.Done() // the connection stays open, without an answer
		return 0, storage.ErrOutcomeUnknown
	}
	rev, err := c.Apply(guards, ops)
	if lose {
		return 0, storage.ErrOutcomeUnknown
	}
	return rev, err
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	if err := c.enter(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := uint64(len(c.lives) + 1)
	c.leases[id], c.lives[id] = time.Now().Add(life), life
	// The end of the lease must wake the watches.
	var watch func()
	watch = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.expire()
		if at, ok := c.leases[id]; ok && !c.closed {
			time.AfterFunc(max(time.Until(at), 0)+time.Millisecond, watch)
		}
	}
	time.AfterFunc(life+time.Millisecond, watch)
	return id, nil
}

// Touch renews a lease.
func (c *Client) Touch(ctx context.Context, lease uint64) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leases[lease]; !ok {
		return storage.ErrNotFound
	}
	c.leases[lease] = time.Now().Add(c.lives[lease])
	return nil
}

// Revoke ends a lease.
func (c *Client) Revoke(ctx context.Context, lease uint64) error {
	if err := c.enter(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leases[lease]; !ok {
		return storage.ErrNotFound
	}
	c.end(lease)
	return nil
}

// Watch waits for changes.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) ([]storage.Item, uint64, error) {
	if err := c.enter(ctx); err != nil {
		return nil, 0, err
	}
	if err := c.mayRead(prefix); err != nil {
		return nil, 0, err
	}
	end := time.After(hold)
	for {
		c.mu.Lock()
		if after < c.dropped {
			c.mu.Unlock()
			return nil, 0, storage.ErrCompacted
		}
		var out []storage.Item
		first := sort.Search(len(c.changes), func(i int) bool { return c.changes[i].Version > after })
		for _, it := range c.changes[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				out = append(out, it)
			}
		}
		rev, changed, closed := c.rev, c.changed, c.closed
		c.mu.Unlock()
		if len(out) > 0 {
			return out, rev, nil
		}
		if closed {
			return nil, rev, storage.ErrRefused
		}
		select {
		case <-changed:
		case <-end:
			return nil, rev, nil
		case <-ctx.Done():
			return nil, 0, storage.ErrOutcomeUnknown
		}
	}
}
