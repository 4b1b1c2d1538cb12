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
	// writeShare of the store's changes and readShare of its requests belong to the archive: it
	// has a lower priority than the journal.
	writeShare = 0.05
	readShare  = 0.05
	// minBurst lets a page be split in one transaction, whatever the share.
	minBurst = 4
	// queueSize bounds the requests that wait for the archiver. Beyond it they fail with ErrBusy.
	queueSize = 64
)

// Errors of an Archiver. None of them says anything about a job.
var (
	// ErrBusy means that there are too many requests. They may be retried later.
	ErrBusy = errors.New("too many questions to the archive")
	// ErrIncomplete means that the pages that this controller holds may be outdated.
	ErrIncomplete = errors.New("the archive's pages aren't all read yet")
	// ErrLeadershipLost means that another controller leads.
	ErrLeadershipLost = errors.New("leadership has moved on")
)

// Settings are the settings of an Archiver.
type Settings struct {
	RefreshInterval time.Duration // how often a follower reads the changes of pages
	RequestTimeout  time.Duration // the timeout of one request to the store
	MemoryBytes     int           // of the packed pages held in memory
	Follow          bool          // hold pages also while another controller leads
}

// Leadership is one term of leadership.
type Leadership struct {
	Term  uint64
	Guard storage.Guard // the leadership key
}

// Archiver is the actor that reads the pages of the archive and, while its controller leads,
// writes them.
type Archiver struct {
	Index *Index

	store    storage.KeyValueStore
	limits   *storage.LimitTracker
	settings Settings
	log      *slog.Logger
	reads    *rate.Limiter
	writes   *rate.Limiter
	requests chan request

	// The fields below belong to the goroutine of Run.

	leadership   *Leadership // nil: another controller leads
	refreshed    time.Time   // when the pages were last up to date
	revision     uint64      // of the store at that time
	load         *load       // reads all pages; nil: none is in progress
	nextRefresh  time.Time   // zero: none is due
	lastReported string      // the last damage that was logged
}

// request is carried out by the archiver's goroutine.
type request func(ctx context.Context)

// NewArchiver returns an Archiver that serves requests once Run is called.
func NewArchiver(store storage.KeyValueStore, limits *storage.LimitTracker, settings Settings, log *slog.Logger) *Archiver {
	l := limits.Limits()
	readRate, writeRate := l.RequestsPerS*readShare, l.ChangesPerS*writeShare
	return &Archiver{
		Index: NewIndex(settings.MemoryBytes), store: store, limits: limits, settings: settings, log: log,
		reads:    rate.NewLimiter(rate.Limit(readRate), max(minBurst, int(readRate))),
		writes:   rate.NewLimiter(rate.Limit(writeRate), max(minBurst, int(writeRate))),
		requests: make(chan request, queueSize),
	}
}

// Run serves requests until ctx ends. While another controller leads, it makes no requests to the
// store unless it follows.
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

// BeginTerm begins a term of this controller: requests from now on are served for it. It doesn't
// wait for the request in progress, because a failover must not be delayed.
func (a *Archiver) BeginTerm(ctx context.Context, leadership Leadership) {
	a.notify(ctx, func(context.Context) {
		a.leadership = &leadership
		a.nextRefresh = time.Now()
	})
}

// EndTerm ends a term, unless a later one has begun.
func (a *Archiver) EndTerm(ctx context.Context, term uint64) {
	a.notify(ctx, func(context.Context) { a.endTerm(term) })
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

// notify hands over a request without a reply, and waits as long as the queue is full.
func (a *Archiver) notify(ctx context.Context, r request) {
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

func replyOf[T any](value T, err error) reply[T] { return reply[T]{value, err} }

// call hands over a request and waits for its reply. If the queue is full it fails with ErrBusy at
// once. The request may still be served after ctx has ended.
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

// withTimeout bounds one request to the store.
func (a *Archiver) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, a.settings.RequestTimeout)
}

// applyLimits applies what the limits of the store have become, and returns them.
func (a *Archiver) applyLimits() storage.Limits {
	l := a.limits.Limits()
	a.reads.SetLimit(rate.Limit(l.RequestsPerS * readShare))
	a.writes.SetLimit(rate.Limit(l.ChangesPerS * writeShare))
	return l
}

// exact reports whether the whole index is exact in the term of this controller.
func (a *Archiver) exact() bool {
	return a.leadership != nil && a.Index.ExactFor(a.leadership.Term)
}

// invalidate has the index refreshed before it counts as exact again.
func (a *Archiver) invalidate() {
	a.Index.edit(func(s *snapshot) { s.term = 0 })
	a.nextRefresh = time.Now()
}

// report logs damage, but not the same twice in a row.
func (a *Archiver) report(err error) {
	if message := err.Error(); message != a.lastReported {
		a.lastReported = message
		a.log.Error("archive request failed", "error", err)
	}
}
