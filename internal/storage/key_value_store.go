package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// KeyValueStore is the client of the consensus-backed key-value store, whose data survives the loss
// of all controllers. Every change has a revision, and the version of a key is the revision of its
// last change. The methods may return the errors that are declared below.
type KeyValueStore interface {
	// Get reads one key. It returns ErrNotFound if the key doesn't exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads at most limit keys with the prefix, in key order, starting with the first key
	// greater than after. It reports whether more keys follow, and the store's revision.
	List(ctx context.Context, prefix, after string, limit int) (items []Item, more bool, revision uint64, err error)
	// Txn applies all operations atomically if all guards hold. Otherwise it applies none and
	// returns a ConflictError.
	Txn(ctx context.Context, guards []Guard, ops []Op) (revision uint64, err error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// Renew renews a lease. It returns ErrNotFound if the lease has expired.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease uint64) error
	// Watch returns the changes of keys with the prefix whose revisions are greater than the argument
	// after. If there are no such changes yet, it waits up to maxWait for one. A deleted key is
	// returned as an Item without data. To continue, the caller passes the returned revision as after
	// in the next call. Watch returns ErrCompacted if the store no longer keeps all changes since the
	// revision after.
	Watch(ctx context.Context, prefix string, after uint64, maxWait time.Duration) (changes []Item, revision uint64, err error)
}

// Item is a key of the store with its value, version and lease.
type Item struct {
	Key     string
	Data    json.RawMessage
	Version uint64 // revision of the key's last change
	Lease   uint64 // lease that the key is attached to; 0: none
}

// Guard is a condition of a transaction: the key must have the given version. Version 0 means
// that the key must not exist.
type Guard struct {
	Key     string
	Version uint64
}

// Op is one operation of a transaction: it puts or deletes a key.
type Op struct {
	Key    string
	Data   json.RawMessage
	Lease  uint64 // lease to attach the key to; 0: none
	Delete bool
}

// Errors of the key-value store.
var (
	// ErrNotFound means that the key or the lease doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the request was not executed and may be retried (HTTP status 429 or 503).
	ErrRefused = errors.New("request refused for now, retry later")
	// ErrOutcomeUnknown means that no response was received: the request may have been
	// executed, or may still be executed later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseExpired means that an operation attaches a key to a lease that has expired.
	ErrLeaseExpired = errors.New("lease has expired")
	// ErrRateLimited means that requests or changes exceed the rate limit of the store. It
	// wraps ErrRefused.
	ErrRateLimited = fmt.Errorf("rate limit exceeded: %w", ErrRefused)
	// ErrMalformed means that the store rejected the request as invalid or too large. The
	// request was not executed, and a retry would fail too.
	ErrMalformed = errors.New("state service rejected the request as malformed")
	// ErrCompacted means that the store no longer keeps all changes that a Watch request covers.
	ErrCompacted = errors.New("state service no longer keeps the requested changes")
)

// ConflictError means that guards of a transaction failed, so that none of its operations was
// applied.
type ConflictError struct {
	Failed []string // keys of the guards that failed
}

// Error implements the error interface.
func (e *ConflictError) Error() string { return "transaction guards failed" }
