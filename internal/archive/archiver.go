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
	// writeRateShare and readRateShare are the archive's shares of the store's change rate and request
	// rate. They are small because the journal has priority.
	writeRateShare = 0.05
	readRateShare  = 0.05
	// minBurst is the smallest burst of the rate limiters. It allows splitting a page in one
	// transaction at any rate.
	minBurst = 4
	// queueSize is how many requests may wait for the Archiver's goroutine. While the queue is full,
	// requests with a reply fail with ErrBusy, and the start and end of a term wait.
	queueSize = 64
)

// Errors of an Archiver. None of them implies that a job is archived or that it isn't.
var (
	// ErrBusy means that there are too many requests. They may be retried later.
	ErrBusy = errors.New("too many questions to the archive")
	// ErrIncomplete means that this controller's copies of pages may be outdated.
	ErrIncomplete = errors.New("the archive's pages aren't all read yet")
	// ErrLeadershipLost means that another controller is the leader.
	ErrLeadershipLost = errors.New("another controller is the leader")
)

// Settings configures an Archiver.
type Settings struct {
	RefreshInterval time.Duration // how often a follower reads the changes of pages
	RequestTimeout  time.Duration // of one request to the store
	MemoryBytes     int           // limit of the packed pages held in memory
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
	refreshRevision uint64      // revision of the store up to which changes were applied
	loadState       *fullLoad   // the load in progress; nil: none
	nextRefresh     time.Time   // zero: none is scheduled
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

// Run serves requests and refreshes the index until ctx ends. While another controller is the leader,
// it sends no requests to the store unless Settings.Follow is set.
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

// EndTerm ends a term, unless a later one has started.
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

// enqueue queues a request without a reply. It blocks while the queue is full.
func (a *Archiver) enqueue(ctx context.Context, r request) {
	select {
	case a.requests <- r:
	case <-ctx.Done():
	}
}

// reply is the result of a request.
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

// applyLimits applies the store's current limits to the rate limiters and returns them.
func (a *Archiver) applyLimits() storage.Limits {
	l := a.limits.Limits()
	a.readLimiter.SetLimit(rate.Limit(l.RequestsPerS * readRateShare))
	a.writeLimiter.SetLimit(rate.Limit(l.ChangesPerS * writeRateShare))
	return l
}

// indexIsExact reports whether this controller is the leader and the whole index is exact for its term.
func (a *Archiver) indexIsExact() bool {
	return a.leadership != nil && a.Index.ExactFor(a.leadership.Term)
}

// invalidate marks the index as not exact and schedules a refresh at once.
func (a *Archiver) invalidate() {
	a.Index.update(func(s *snapshot) { s.term = 0 })
	a.nextRefresh = time.Now()
}

// logError logs an error unless it has the same message as the last one that was logged.
func (a *Archiver) logError(err error) {
	if message := err.Error(); message != a.lastLoggedError {
		a.lastLoggedError = message
		a.log.Error("archive request failed", "error", err)
	}
}
