package storagetest

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"sagevale/internal/storage"
)

const (
	// latency is the time that each request takes at the least.
	latency = 2 * time.Millisecond
	// listBytes and txnBytes bound the pages of List and the transactions, by the protocol.
	listBytes = 512 << 10
	txnBytes  = 64 << 10
)

// Client is one controller's connection to the store.
type Client struct {
	*Service
	// Cut, if set and true, has all requests of this client refused.
	Cut *atomic.Bool
}

var _ storage.KeyValueStore = (*Client)(nil)

// Get implements storage.KeyValueStore.
func (c *Client) Get(ctx context.Context, key string) (storage.Item, error) {
	if err := c.beginRead(ctx, key); err != nil {
		return storage.Item{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	item, ok := c.items[key]
	if !ok {
		return item, storage.ErrNotFound
	}
	return item, nil
}

// List implements storage.KeyValueStore.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (items []storage.Item, more bool, revision uint64, err error) {
	if err := c.beginRead(ctx, prefix); err != nil {
		return nil, false, 0, err
	}
	keys := c.Keys(prefix)
	c.mu.Lock()
	defer c.mu.Unlock()
	bytes := 0
	for _, key := range keys {
		if key <= after {
			continue
		}
		bytes += len(c.items[key].Data)
		if len(items) == limit || bytes > listBytes {
			return items, true, c.rev, nil
		}
		items = append(items, c.items[key])
	}
	return items, false, c.rev, nil
}

// Txn implements storage.KeyValueStore.
func (c *Client) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (revision uint64, err error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	if err := c.checkLimits(ops); err != nil {
		return 0, err
	}
	txn := Txn{guards, ops}
	faults := c.receive(txn)
	if faults.before != nil {
		faults.before(txn)
	}
	if faults.late > 0 && !faults.drop {
		time.AfterFunc(faults.late, func() { _, _ = c.Apply(guards, ops) }) // its conflicts have no receiver
	}
	if faults.drop || faults.late > 0 {
		<-ctx.Done() // the connection stays open, without an answer
		return 0, storage.ErrOutcomeUnknown
	}
	revision, err = c.Apply(guards, ops)
	if faults.loseAnswer {
		return 0, storage.ErrOutcomeUnknown
	}
	return revision, err
}

// Grant implements storage.KeyValueStore.
func (c *Client) Grant(ctx context.Context, life time.Duration) (id uint64, err error) {
	if err := c.begin(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.granted++
	id = c.granted
	c.leases[id] = lease{life: life}
	c.renewLease(id)
	time.AfterFunc(life+time.Millisecond, func() { c.expireLater(id) })
	return id, nil
}

// expireLater expires leases once this one may have run out, so that watches are woken.
func (s *Service) expireLater(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if l, ok := s.leases[id]; ok && !s.closed {
		time.AfterFunc(max(time.Until(l.expires), 0)+time.Millisecond, func() { s.expireLater(id) })
	}
}

// Renew implements storage.KeyValueStore.
func (c *Client) Renew(ctx context.Context, id uint64) error {
	return c.withLease(ctx, id, c.renewLease)
}

// Revoke implements storage.KeyValueStore.
func (c *Client) Revoke(ctx context.Context, id uint64) error {
	return c.withLease(ctx, id, c.endLease)
}

// withLease calls f for a lease that hasn't expired.
func (c *Client) withLease(ctx context.Context, id uint64, f func(id uint64)) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.leases[id]; !ok {
		return storage.ErrNotFound
	}
	f(id)
	return nil
}

// Watch implements storage.KeyValueStore.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (changes []storage.Item, revision uint64, err error) {
	if err := c.beginRead(ctx, prefix); err != nil {
		return nil, 0, err
	}
	timeout := time.After(hold)
	for {
		changes, revision, changed, err := c.poll(prefix, after)
		if len(changes) > 0 || err != nil {
			return changes, revision, err
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, storage.ErrOutcomeUnknown
		}
	}
}

// poll returns the changes so far, and a channel that is closed at the next one.
func (s *Service) poll(prefix string, after uint64) (changes []storage.Item, revision uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, storage.ErrCompacted
	}
	changes = s.changesAfter(after, prefix)
	if len(changes) == 0 && s.closed {
		return nil, s.rev, nil, storage.ErrRefused
	}
	return changes, s.rev, s.changed, nil
}

// begin waits the time of a request, and refuses it during an outage or if the client is cut.
func (c *Client) begin(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	case <-time.After(latency + c.slowness()):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.outageSince.IsZero() || c.Cut != nil && c.Cut.Load() {
		return storage.ErrRefused
	}
	c.expireLeases()
	return nil
}

// beginRead begins a request that reads a key or prefix.
func (c *Client) beginRead(ctx context.Context, key string) error {
	if err := c.begin(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Refuse != nil && c.Refuse(key) {
		return storage.ErrRefused
	}
	return nil
}

func (s *Service) slowness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Slow
}

// checkLimits refuses transactions beyond the limits.
func (s *Service) checkLimits(ops []storage.Op) error {
	s.mu.Lock()
	valueBytes, txnOps := s.ValueBytes, s.TxnOps
	s.mu.Unlock()
	bytes := 0
	for _, op := range ops {
		bytes += len(op.Data)
		if len(op.Data) > valueBytes || op.Data != nil && !json.Valid(op.Data) {
			return fmt.Errorf("%w: value of %d bytes for %s", storage.ErrMalformed, len(op.Data), op.Key)
		}
	}
	if len(ops) > txnOps || bytes > txnBytes {
		return fmt.Errorf("%w: transaction of %d changes, %d bytes", storage.ErrMalformed, len(ops), bytes)
	}
	return nil
}
