package storage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Limits are the state service's limits, from the settings.
type Limits struct {
	RequestsPerS float64
	ChangesPerS  float64
	ValueBytes   int
	TxnOps       int
	// RequestTimeout is how long the journal waits for one answer before it asks
	// again; a request may never get one. 0: for ever.
	RequestTimeout time.Duration
	// Next are the limits that the service will have from some moment on; nil:
	// not said. A figure of 0 stays as it is.
	Next *Limits
}

// Item is a key of the state service with its value and version.
type Item struct {
	Key     string
	Data    json.RawMessage
	Version uint64
	Lease   uint64
}

// Guard demands that a key has a version; 0 means that it doesn't exist.
type Guard struct {
	Key     string
	Version uint64
}

// Op is one change of a transaction.
type Op struct {
	Key    string
	Data   json.RawMessage
	Lease  uint64
	Delete bool
}

// Errors of the state service.
var (
	// ErrNotFound: the key or the lease doesn't exist.
	ErrNotFound = errors.New("not found")
	// ErrRefused: the request was not executed and may be sent again (429, 503).
	ErrRefused = errors.New("refused for now")
	// ErrOutcomeUnknown: no answer; the request may have been executed, or may be later.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrLeaseExpired: a change names a lease that has ended.
	ErrLeaseExpired = errors.New("no such lease")
	// ErrRateLimited: refused, for requests or changes come too fast.
	ErrRateLimited = fmt.Errorf("too many: %w", ErrRefused)
	// ErrMalformed: not executed, and won't be as it is.
	ErrMalformed = errors.New("state service calls the request malformed")
	// ErrCompacted: the changes asked for are no longer kept.
	ErrCompacted = errors.New("changes no longer kept")
)

// ConflictError tells which guards of a transaction failed.
type ConflictError struct{ Failed []string }

func (e *ConflictError) Error() string { return "guards failed" }

// KeyValueStore is the small consistent store that outlives the controllers.
type KeyValueStore interface {
	Get(ctx context.Context, key string) (Item, error)
	List(ctx context.Context, prefix, after string, limit int) (items []Item, more bool, revision uint64, err error)
	Txn(ctx context.Context, guards []Guard, ops []Op) (revision uint64, err error)
	Grant(ctx context.Context, life time.Duration) (lease uint64, err error)
	Touch(ctx context.Context, lease uint64) error
	Revoke(ctx context.Context, lease uint64) error
	// Watch waits until a key under prefix changes after the revision, or
	// until hold has passed; it returns what changed. Removed keys come
	// without data.
	Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (changes []Item, revision uint64, err error)
}
