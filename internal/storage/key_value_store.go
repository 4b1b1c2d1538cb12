package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// KeyValueStore is the consensus-backed key-value store that outlives the controllers. Every
// change has a revision, and a key's version is the revision of its last change. Calls may
// fail with the errors of this package.
type KeyValueStore interface {
	// Get reads one key. It fails with ErrNotFound if the key doesn't exist.
	Get(ctx context.Context, key string) (Item, error)
	// List reads up to limit keys under prefix, in order, beginning behind the key after. It
	// reports whether more keys follow, and the store's revision.
	List(ctx context.Context, prefix, after string, limit int) (items []Item, more bool, revision uint64, err error)
	// Txn applies all operations in one guarded transaction if all guards hold, and otherwise
	// none of them: then it fails with a ConflictError.
	Txn(ctx context.Context, guards []Guard, ops []Op) (revision uint64, err error)
	// Grant creates a lease that expires after life unless it is renewed.
	Grant(ctx context.Context, life time.Duration) (lease uint64, err error)
	// Touch renews a lease. It fails with ErrNotFound if the lease has expired.
	Renew(ctx context.Context, lease uint64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease uint64) error
	// Watch waits until a key under prefix changes after the given revision, or until hold
	// has passed, and returns the changes. Deleted keys come without data. It fails with
	// ErrCompacted if the store no longer keeps all changes after that revision.
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (changes []Item, revision uint64, err error)
}

// Item is a key of the store with its value and version.
type Item struct {
	Key     string
	Data    json.RawMessage
	Version uint64 // the revision of the last change
	Lease   uint64 // the lease that the key is attached to; 0: none
}

// Guard is a condition of a transaction: the key has the version. Version 0 demands that the
// key doesn't exist.
type Guard struct {
	Key     string
	Version uint64
}

// Op is one change of a transaction: a put, or a deletion.
type Op struct {
	Key    string
	Data   json.RawMessage
	Lease  uint64 // attaches the key to a lease; 0: none
	Delete bool
}

// Errors of the key-value store.
var (
	// ErrNotFound means that the key or the lease doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused means that the request was not executed and may be retried (429, 503).
	ErrRefused = errors.New("refused for now")
	// ErrOutcomeUnknown means that there was no answer: the request may have been executed,
	// or may still be.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseExpired means that an operation names a lease that has expired.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrRateLimited means that requests or changes come too fast. It is an ErrRefused.
	ErrRateLimited = fmt.Errorf("too many: %w", ErrRefused)
	// ErrMalformed means that the request was not executed, and that a retry would fail too.
	ErrMalformed = errors.New("state service calls the request malformed")
	// ErrCompacted means that the store no longer keeps the requested changes.
	ErrCompacted = errors.New("changes no longer kept")
)

// ConflictError reports which guards of a transaction failed. Nothing of it was applied.
type ConflictError struct {
	Failed []string // keys
}

// Error implements error.
func (e *ConflictError) Error() string { return "guards failed" }
