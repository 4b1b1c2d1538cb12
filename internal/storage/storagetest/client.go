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
	// minLatency is the minimum duration of a request.
	minLatency = 2 * time.Millisecond
	// maxListBytes and maxTxnBytes are the protocol's limits on the size of List responses and
	// of transactions.
	maxListBytes = 512 << 10
	maxTxnBytes  = 64 << 10
)

// Client is the connection of one controller to the store.
type Client struct {
	*Service
	// Disconnected makes the store refuse all requests of this client while it holds true. If it is
	// nil, the client is always connected.
	Disconnected *atomic.Bool
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
		if len(items) == limit || bytes > maxListBytes {
			return items, true, c.revision, nil
		}
		items = append(items, c.items[key])
	}
	return items, false, c.revision, nil
}

// Txn implements storage.KeyValueStore.
func (c *Client) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (revision uint64, err error) {
	if err := c.beginRequest(ctx); err != nil {
		return 0, err
	}
	if err := c.checkLimits(ops); err != nil {
		return 0, err
	}
	txn := Txn{guards, ops}
	faults := c.receiveTransaction(txn)
	if faults.beforeApply != nil {
		faults.beforeApply(txn)
	}
	if faults.delay > 0 && !faults.drop {
		time.AfterFunc(faults.delay, func() { _, _ = c.Apply(guards, ops) }) // nobody receives its result
	}
	if faults.drop || faults.delay > 0 {
		<-ctx.Done() // the connection stays open without a response
		return 0, storage.ErrOutcomeUnknown
	}
	revision, err = c.Apply(guards, ops)
	if faults.loseResponse {
		return 0, storage.ErrOutcomeUnknown
	}
	return revision, err
}

// Grant implements storage.KeyValueStore.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (id uint64, err error) {
	if err := c.beginRequest(ctx); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastLease++
	id = c.lastLease
	c.leases[id] = lease{ttl: ttl}
	c.renewLease(id)
	time.AfterFunc(ttl+time.Millisecond, func() { c.expireAndReschedule(id) })
	return id, nil
}

// expireAndReschedule ends all leases that have expired, so that watches return the deletion of
// their keys. If the given lease has been renewed meanwhile, it schedules the next call.
func (s *Service) expireAndReschedule(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if l, ok := s.leases[id]; ok && !s.closed {
		time.AfterFunc(max(time.Until(l.expires), 0)+time.Millisecond, func() { s.expireAndReschedule(id) })
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

// withLease calls f for a lease, or returns ErrNotFound if the lease has expired.
func (c *Client) withLease(ctx context.Context, id uint64, f func(id uint64)) error {
	if err := c.beginRequest(ctx); err != nil {
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
func (c *Client) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) (changes []storage.Item, revision uint64, err error) {
	if err := c.beginRead(ctx, prefix); err != nil {
		return nil, 0, err
	}
	timeout := time.After(maxWait)
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

// poll returns the changes of keys with the prefix whose revisions are greater than the argument
// after. It also returns the current revision, and a channel that is closed at the next change.
func (s *Service) poll(prefix string, after uint64) (changes []storage.Item, revision uint64, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compacted {
		return nil, 0, nil, storage.ErrCompacted
	}
	changes = s.changesAfter(after, prefix)
	if len(changes) == 0 && s.closed {
		return nil, s.revision, nil, storage.ErrRefused
	}
	return changes, s.revision, s.changed, nil
}

// beginRequest waits for the latency of a request. During an outage, or while Disconnected holds
// true, it returns ErrRefused.
func (c *Client) beginRequest(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, ctx.Err())
	case <-time.After(minLatency + c.addedLatency()):
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.outageSince.IsZero() || c.Disconnected != nil && c.Disconnected.Load() {
		return storage.ErrRefused
	}
	c.expireLeases()
	return nil
}

// beginRead begins a request that reads a key or prefix. In addition to the checks of beginRequest,
// it refuses the requests that Faults.RefuseRead selects.
func (c *Client) beginRead(ctx context.Context, key string) error {
	if err := c.beginRequest(ctx); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.RefuseRead != nil && c.RefuseRead(key) {
		return storage.ErrRefused
	}
	return nil
}

// addedLatency returns AddedLatency, the time that each request takes in addition to minLatency.
func (s *Service) addedLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.AddedLatency
}

// checkLimits returns ErrMalformed for transactions that exceed the limits or have invalid values.
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
	if len(ops) > txnOps || bytes > maxTxnBytes {
		return fmt.Errorf("%w: transaction of %d changes, %d bytes", storage.ErrMalformed, len(ops), bytes)
	}
	return nil
}
