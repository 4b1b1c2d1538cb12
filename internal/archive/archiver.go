package archive

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"sagevale/internal/storage"
)

const (
	// writeRateShare is the share of the store's limit on the rate of changes that the archive may use,
	// and readRateShare is its share of the limit on the rate of requests. The shares are small because
	// the journal has priority.
	writeRateShare = 0.05
	readRateShare  = 0.05
	// minBurst is the smallest burst of the rate limiters. It allows a page to be split in one
	// transaction, however low the rate is.
	minBurst = 4
	// queueSize is how many requests may wait for the Archiver's goroutine. While the queue is full,
	// BeginTerm and EndTerm block, and all other methods that queue a request fail with ErrBusy.
	queueSize = 64
)

// Errors of an Archiver. None of them implies that a job is archived or that it isn't.
var (
	// ErrBusy means that there are too many requests. They may be retried later.
	ErrBusy = errors.New("too many questions to the archive")
	// ErrIncomplete means that this controller's copies of pages may be missing or outdated.
	ErrIncomplete = errors.New("the archive's pages aren't all read yet")
	// ErrLeadershipLost means that another controller is the leader.
	ErrLeadershipLost = errors.New("another controller is the leader")
)

// Settings configures an Archiver.
type Settings struct {
	RefreshInterval time.Duration // interval at which a follower reads the changes of pages; see Follow
	RequestTimeout  time.Duration // timeout of one request to the store
	MemoryBytes     int           // maximum total size of the packed pages in memory
	Follow          bool          // also hold pages while another controller is the leader
}

// Leadership identifies a term in which this controller is the leader.
type Leadership struct {
	Term  uint64
	Guard storage.Guard // requires that this term still owns the leadership key
}

// Archiver is the actor that reads the pages of the archive and, while its controller is the leader,
// writes them.
type Archiver struct {
	Index *Index

	store        storage.KeyValueStore
	limits       *storage.LimitTracker
	settings     Settings
	log          *slog.Logger
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
	requests     chan request

	// Only the goroutine of Run accesses the fields below.

	leadership      *Leadership // nil: this controller is not the leader
	refreshedAt     time.Time   // when all pages or their changes were last read
	refreshRevision uint64      // revision of the store up to which changes were applied to the index
	loadState       *fullLoad   // progress of the full load; nil: no full load is in progress
	nextRefresh     time.Time   // time of the next refresh; zero: none is scheduled
	lastLoggedError string      // message of the last error that was logged
}

// request is a function that the goroutine of Run calls.
type request func(ctx context.Context)

// NewArchiver returns an Archiver that serves requests once Run is called.
func NewArchiver(store storage.KeyValueStore, limits *storage.LimitTracker, settings Settings, log *slog.Logger) *Archiver {
	l := limits.Limits()
	readRate, writeRate := l.RequestsPerS*readRateShare, l.ChangesPerS*writeRateShare
	return &Archiver{
		Index: NewIndex(settings.MemoryBytes), store: store, limits: limits, settings: settings, log: log,
		readLimiter:  rate.NewLimiter(rate.Limit(readRate), max(minBurst, int(readRate))),
		writeLimiter: rate.NewLimiter(rate.Limit(writeRate), max(minBurst, int(writeRate))),
		requests:     make(chan request, queueSize),
	}
}

// Run serves requests and refreshes the index until ctx ends. While another controller is the leader, the
// Archiver sends requests to the store only if Settings.Follow is set.
func (a *Archiver) Run(ctx context.Context) {
	if a.settings.Follow {
		a.nextRefresh = time.Now()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case serve := <-a.requests:
			serve(ctx)
		case <-timer.C:
		}
		if !a.nextRefresh.IsZero() && !time.Now().Before(a.nextRefresh) {
			a.refresh(ctx)
		}
		if !a.nextRefresh.IsZero() {
			timer.Reset(time.Until(a.nextRefresh))
		}
	}
}

// BeginTerm starts a term in which this controller is the leader. Requests that are queued afterwards
// are served in this term. BeginTerm doesn't wait for the request in progress, because that would
// delay the failover.
func (a *Archiver) BeginTerm(ctx context.Context, leadership Leadership) {
	a.enqueue(ctx, func(context.Context) {
		a.leadership = &leadership
		a.nextRefresh = time.Now()
	})
}

// EndTerm ends a term. It has no effect if a later term has started.
func (a *Archiver) EndTerm(ctx context.Context, term uint64) {
	a.enqueue(ctx, func(context.Context) { a.endTerm(term) })
}

func (a *Archiver) endTerm(term uint64) {
	if a.leadership == nil || a.leadership.Term != term {
		return
	}
	a.leadership, a.nextRefresh = nil, time.Time{}
	if a.settings.Follow {
		a.nextRefresh = time.Now()
	}
}

// enqueue queues a request and doesn't wait until the request is served. It blocks while the queue is full.
func (a *Archiver) enqueue(ctx context.Context, r request) {
	select {
	case a.requests <- r:
	case <-ctx.Done():
	}
}

// reply holds the result of a request, or the error with which it failed.
type reply[T any] struct {
	value T
	err   error
}

func newReply[T any](value T, err error) reply[T] { return reply[T]{value, err} }

// call queues a request and waits for its reply. It fails with ErrBusy at once if the queue is full.
// The request may still be served after ctx has ended.
func call[T any](ctx context.Context, a *Archiver, replies <-chan reply[T], r request) (value T, err error) {
	select {
	case a.requests <- r:
	default:
		return value, ErrBusy
	}
	select {
	case r := <-replies:
		return r.value, r.err
	case <-ctx.Done():
		return value, ctx.Err()
	}
}

// withTimeout returns a context with the timeout of one request to the store.
func (a *Archiver) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.settings.RequestTimeout)
}

// applyLimits sets the rate limiters according to the store's current limits, and returns these limits.
func (a *Archiver) applyLimits() storage.Limits {
	l := a.limits.Limits()
	a.readLimiter.SetLimit(rate.Limit(l.RequestsPerS * readRateShare))
	a.writeLimiter.SetLimit(rate.Limit(l.ChangesPerS * writeRateShare))
	return l
}

// indexIsExact reports whether this controller is the leader and the whole index is exact for its term (see
// the package comment). A job that is in none of the pages of an exact index is certainly not archived.
func (a *Archiver) indexIsExact() bool {
	return a.leadership != nil && a.Index.ExactFor(a.leadership.Term)
}

// invalidate marks the index as exact for no term, because it may be outdated, and schedules a refresh at
// once.
func (a *Archiver) invalidate() {
	a.Index.update(func(s *snapshot) { s.term = 0 })
	a.nextRefresh = time.Now()
}

// logError logs an error unless the error that was logged last has the same message.
func (a *Archiver) logError(err error) {
	if message := err.Error(); message != a.lastLoggedError {
		a.lastLoggedError = message
		a.log.Error("archive request failed", "error", err)
	}
}
