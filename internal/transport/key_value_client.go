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

// KeyValueClient is a client of the key-value store's HTTP API. Its methods return errors of package storage, possibly
// wrapped, with one exception: if the body of a conflict response (status 409) can't be decoded, they return the decoding
// error. The methods may be called from several goroutines.
type KeyValueClient struct {
	baseURL string
	client  *jsonClient
}

var _ storage.KeyValueStore = (*KeyValueClient)(nil)

// NewKeyValueClient returns a client of the key-value store at addr, which is an IP address with a port.
func NewKeyValueClient(addr string) *KeyValueClient {
	return &KeyValueClient{"http://" + addr, newServerClient()}
}

// send sends one request and decodes a successful response into out, unless out is nil. It maps other outcomes to
// errors of package storage.
func (c *KeyValueClient) send(ctx context.Context, method, path string, in, out any) error {
	resp, sent, err := c.client.do(ctx, method, c.baseURL+path, in)
	switch {
	case err != nil && sent:
		return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, err)
	case err != nil:
		return fmt.Errorf("%w: %w", storage.ErrRefused, err)
	}
	switch resp.status {
	case http.StatusOK:
		if err := resp.decode(out); err != nil {
			return fmt.Errorf("%w: %w", storage.ErrOutcomeUnknown, err)
		}
		return nil
	case http.StatusNotFound:
		return storage.ErrNotFound
	case http.StatusConflict:
		var conflict protocol.TxnResponse
		if err := resp.decode(&conflict); err != nil {
			return err
		}
		return &storage.ConflictError{Failed: conflict.Failed}
	case http.StatusGone:
		return storage.ErrCompacted
	case http.StatusTooManyRequests:
		return storage.ErrRateLimited
	case http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", storage.ErrRefused, resp.status)
	case http.StatusBadRequest:
		return fmt.Errorf("%w: %.200s", storage.ErrMalformed, resp.body)
	}
	return fmt.Errorf("%w: status %d", storage.ErrOutcomeUnknown, resp.status)
}

// Get reads one key.
func (c *KeyValueClient) Get(ctx context.Context, key string) (storage.Item, error) {
	var item protocol.StoredItem
	if err := c.send(ctx, http.MethodGet, "/store/"+key, nil, &item); err != nil {
		return storage.Item{}, err
	}
	return item.Item(), nil
}

// List reads a page of at most limit items whose keys start with prefix. If after is empty, the page starts with the first
// such key. If after is a key, the page starts with the first such key that follows it. List also returns whether more
// such keys follow the page, and the store's revision.
func (c *KeyValueClient) List(ctx context.Context, prefix, after string, limit int) (items []storage.Item, more bool, revision uint64, err error) {
	query := url.Values{"Under": {prefix}, "Page": {strconv.Itoa(limit)}}
	if after != "" {
		query.Set("From", after)
	}
	var page protocol.ItemPage
	if err := c.send(ctx, http.MethodGet, "/store?"+query.Encode(), nil, &page); err != nil {
		return nil, false, 0, err
	}
	items = make([]storage.Item, 0, len(page.Items))
	for _, item := range page.Items {
		items = append(items, item.Item())
	}
	return items, page.More, page.Revision, nil
}

// Txn executes a transaction if all guards hold, and returns the store's revision after the transaction. A guard holds if
// its key has the version that the guard names; version 0 means that the key must not exist. If a guard doesn't hold, Txn
// returns a *storage.ConflictError.
func (c *KeyValueClient) Txn(ctx context.Context, guards []storage.Guard, ops []storage.Op) (uint64, error) {
	var result protocol.TxnResponse
	if err := c.send(ctx, http.MethodPost, "/txn", protocol.NewTxn(guards, ops), &result); err != nil {
		return 0, err
	}
	return result.Revision, nil
}

// Grant creates a lease and returns its ID. The lease expires after ttl unless it is renewed. ttl is truncated to whole
// milliseconds.
func (c *KeyValueClient) Grant(ctx context.Context, ttl time.Duration) (uint64, error) {
	var lease protocol.LeaseGrantResponse
	if err := c.send(ctx, http.MethodPost, "/grants", protocol.LeaseGrantRequest{TTLMS: ttl.Milliseconds()}, &lease); err != nil {
		return 0, err
	}
	return lease.ID, nil
}

// Renew renews a lease. It returns storage.ErrNotFound if the lease has expired.
func (c *KeyValueClient) Renew(ctx context.Context, lease uint64) error {
	return c.send(ctx, http.MethodPost, fmt.Sprintf("/grants/%d/touch", lease), struct{}{}, nil)
}

// Revoke ends a lease. The store then deletes the keys that are attached to the lease.
func (c *KeyValueClient) Revoke(ctx context.Context, lease uint64) error {
	return c.send(ctx, http.MethodDelete, fmt.Sprintf("/grants/%d", lease), nil, nil)
}

// Watch returns the changes that were made after the given revision to keys that start with prefix. If there are none yet,
// it waits up to maxWait for one. It also returns the revision up to which the changes are complete.
func (c *KeyValueClient) Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) ([]storage.Item, uint64, error) {
	query := url.Values{"Under": {prefix}, "From": {strconv.FormatUint(after, 10)}, "HoldMs": {strconv.FormatInt(maxWait.Milliseconds(), 10)}}
	var changes protocol.WatchResponse
	if err := c.send(ctx, http.MethodGet, "/changes?"+query.Encode(), nil, &changes); err != nil {
		return nil, 0, err
	}
	return changes.Items(), changes.Revision, nil
}
