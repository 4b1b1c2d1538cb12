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
	// writeShare of the state service's changes, and readShare of its requests, are the archive's:
	// it comes behind the journal.
	writeShare = 0.05
	readShare  = 0.05
	// leastBurst lets a page be split in one transaction, whatever the share.
	leastBurst = 4
	// queueSize bounds what waits for the keeper; beyond it callers are told so at once.
	queueSize = 64
	// loadRest is the least pause between two steps of a load, in durations of one.
	loadRest = 10
	// staleRefreshes is for how many refreshes changes are asked for: beyond that the answer could be larger than
	// all pages, and they are loaded again.
	staleRefreshes = 8
	// loadPages is how many pages one step of a load reads at the most, as the protocol has it.
	loadPages = 1000
)

// Errors of the keeper. None of them says anything of a job.
var (
	// ErrBusy: too much is asked; to be asked again later.
	ErrBusy = errors.New("too many questions to the archive")
	// ErrIncomplete: the pages, as this leader knows them, may be outdated.
	ErrIncomplete = errors.New("the archive's pages aren't all read yet")
	// ErrLeadershipLost: another controller leads.
	ErrLeadershipLost = errors.New("leadership has moved on")
)

// Settings are the keeper's.
type Settings struct {
	Refresh     time.Duration // how often a follower looks for changed pages
	CallTime    time.Duration // the longest that one request may take
	MemoryBytes int           // of the pages held in memory
	Follow      bool          // hold pages also while another controller leads
}

// Archiver is the actor of one controller that reads the archive's pages, and while the controller
// leads writes them.
type Archiver struct {
	Index *Index

	svc      storage.KeyValueStore
	limits   *storage.LimitTracker
	settings Settings
	log      *slog.Logger
	reads    *rate.Limiter
	writes   *rate.Limiter
	in       chan request

	lead       *Leadership // nil: another controller leads
	revision   uint64      // of the state service, up to which changes are known
	caughtUp   time.Time   // when that was
	loading    bool        // the pages are being read, after cursor
	cursor     string
	seen       map[JobNumber]bool // pages that the load has seen
	loadedFrom uint64             // the revision at which the load began
	wake       time.Time          // when the next step is due by itself
	reported   string             // the last trouble that was logged as an error
}

// Leadership is a term of leadership.
type Leadership struct {
	Term  uint64
	Guard storage.Guard // the leadership key
}

// request is what the keeper is asked; it answers by itself.
type request interface {
	serve(ctx context.Context, k *Archiver)
}

// NewArchiver makes a keeper; Run starts it.
func NewArchiver(svc storage.KeyValueStore, limits *storage.LimitTracker, settings Settings, log *slog.Logger) *Archiver {
	now := limits.Limits()
	return &Archiver{
		Index: NewIndex(settings.MemoryBytes), svc: svc, limits: limits, settings: settings, log: log,
		reads:  rate.NewLimiter(rate.Limit(now.RequestsPerS*readShare), max(leastBurst, int(now.RequestsPerS*readShare))),
		writes: rate.NewLimiter(rate.Limit(now.ChangesPerS*writeShare), max(leastBurst, int(now.ChangesPerS*writeShare))),
		in:     make(chan request, queueSize),
	}
}

// Run serves until ctx ends. Without a lead, and unless it follows, it asks the state service nothing.
func (k *Archiver) Run(ctx context.Context) {
	if k.settings.Follow {
		k.wake = time.Now()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-k.in:
			r.serve(ctx, k)
		case <-timer.C:
		}
		if !k.wake.IsZero() && !time.Now().Before(k.wake) {
			k.refresh(ctx)
		}
		if !k.wake.IsZero() {
			timer.Reset(time.Until(k.wake))
		}
	}
}

// ask hands a request to the keeper, or tells at once that it is too much.
func (k *Archiver) ask(r request) error {
	select {
	case k.in <- r:
		return nil
	default:
		return ErrBusy
	}
}

// call gives one request to the state service its time.
func (k *Archiver) call(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, k.settings.CallTime)
}

// applyLimits takes up what the state service's limits have become.
func (k *Archiver) applyLimits() storage.Limits {
	now := k.limits.Limits()
	k.reads.SetLimit(rate.Limit(now.RequestsPerS * readShare))
	k.writes.SetLimit(rate.Limit(now.ChangesPerS * writeShare))
	return now
}

// beginTerm and endTerm say who leads.
type beginTerm struct{ lead Leadership }

func (r beginTerm) serve(_ context.Context, k *Archiver) {
	k.lead = &r.lead
	k.wake = time.Now()
}

type endTerm struct{ term uint64 }

func (r endTerm) serve(_ context.Context, k *Archiver) {
	if k.lead == nil || k.lead.Term != r.term {
		return
	}
	k.lead, k.wake = nil, time.Time{}
	if k.settings.Follow {
		k.wake = time.Now()
	}
}

// BeginTerm says that this controller leads. What is asked from now on is read for the term. It doesn't wait for a
// request that is under way: a take-over has other things to do.
func (k *Archiver) BeginTerm(ctx context.Context, lead Leadership) {
	select {
	case k.in <- beginTerm{lead}:
	case <-ctx.Done():
	}
}

// EndTerm says that a term is over.
func (k *Archiver) EndTerm(ctx context.Context, term uint64) {
	select {
	case k.in <- endTerm{term}:
	case <-ctx.Done():
	}
}

// exact tells whether the index is known to be exact in the present term.
func (k *Archiver) exact() bool {
	return k.lead != nil && k.Index.CompleteFor(k.lead.Term)
}

// doubt has the index be brought up to date again before anything rests on it.
func (k *Archiver) doubt() {
	k.Index.edit(func(s *snapshot) { s.term = 0 })
	k.wake = time.Now()
}

// report logs a damaged page once.
func (k *Archiver) report(err error) {
	if err.Error() != k.reported {
		k.reported = err.Error()
		k.log.Error("archive", "err", err)
	}
}
