package transport

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"sagevale/internal/protocol"
	"sagevale/internal/storage"
)

// KeyValueClient speaks to the state service.
type KeyValueClient struct {
	base string
	c    *client
}

var _ storage.KeyValueStore = (*KeyValueClient)(nil)

// NewKeyValueClient makes a client of the state service at addr.
func NewKeyValueClient(addr string) *KeyValueClient {
	return &KeyValueClient{"http://" + addr, newClient(4, 8, time.Minute)}
}

// send makes one request and sorts its outcome into the errors of storage.
func (s *KeyValueClient) send(ctx context.Context, method, path string, in, out any) error {
	ex, sent, err := s.c.do(ctx, method, s.base+path, in)
	if err != nil {
		if sent {
			return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, err)
		}
		return fmt.Errorf("%w: %w", storage.ErrRefused, err)
	}
	switch ex.status {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if err := decode(ex.body, out); err != nil {
			return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusNotFound:
		return storage.ErrNotFound
	case http.StatusConflict:
		var a protocol.TxnAnswer
		if err := decode(ex.body, &a); err != nil {
			return err
		}
		return &storage.ConflictError{Failed: a.Failed}
	case http.StatusGone:
		return storage.ErrCompacted
	case http.StatusTooManyRequests:
		return storage.ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", storage.ErrRefused, ex.status)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", storage.ErrMalformed, ex.body)
	}
	return fmt.Errorf("%w: status %d", storage.ErrOutcomeUnknown, ex.status)
}

// Get reads one key.
func (s *KeyValueClient) Get(ctx context.Context, key string) (storage.Item, error) {
	var it protocol.StoredItem
	if err := s.send(ctx, http.MethodGet, "/store/"+key, nil, &it); err != nil {
		return storage.Item{}, err
	}
	return it.Item(), nil
}

// List reads a page of keys.
func (s *KeyValueClient) List(ctx context.Context, prefix, after string, limit int) ([]storage.Item, bool, uint64, error) {
	q := url.Values{"Under": {prefix}, "Page": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("From", after)
	}
	var page protocol.StoredItems
	if err := s.send(ctx, http.MethodGet, "/store?"+q.Encode(), nil, &page); err != nil {
		return nil, false, 0, err
	}
	items := make([]storage.Item, 0, len(page.Items))
	for _, it := range page.Items {
		items = append(items, it.Item())
	}
	return items, page.More, page.Revision, nil
}

// Txn sends a transaction.
func (s *KeyValueClient) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (uint64, error) {
	var a protocol.TxnAnswer
	if err := s.send(ctx, http.MethodPost, "/txn", protocol.NewTxn(guards, ops), &a); err != nil {
		return 0, err
	}
	return a.Revision, nil
}

// Grant asks for a lease.
func (s *KeyValueClient) Grant(ctx context.Context, life time.Duration) (uint64, error) {
	var l protocol.Lease
	if err := s.send(ctx, http.MethodPost, "/grants", protocol.Life{LifeMS: life.Milliseconds()}, &l); err != nil {
		return 0, err
	}
	return l.ID, nil
}

// Touch renews a lease.
func (s *KeyValueClient) Touch(ctx context.Context, lease uint64) error {
	return s.send(ctx, http.MethodPost, fmt.Sprintf("/grants/%d/touch", lease), struct{}{}, nil)
}

// Revoke ends a lease.
func (s *KeyValueClient) Revoke(ctx context.Context, lease uint64) error {
	return s.send(ctx, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, nil)
}

// Watch waits for changes under prefix.
func (s *KeyValueClient) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) ([]storage.Item, uint64, error) {
	q := url.Values{"Under": {prefix}, "From": {strconv.FormatUint(after, 10)}, "HoldMs": {strconv.FormatInt(hold.Milliseconds(), 10)}}
	var ch protocol.Changes
	if err := s.send(ctx, http.MethodGet, "/changes?"+q.Encode(), nil, &ch); err != nil {
		return nil, 0, err
	}
	return ch.Items(), ch.Revision, nil
}
