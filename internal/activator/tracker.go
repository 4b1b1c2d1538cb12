package activator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sagevale/internal/activation"
)

// Scheduler is the leader, as a controller reaches it. Its methods are called from several goroutines, and return
// soon after ctx has ended.
type Scheduler interface {
	// Wake sends a wake request for a model and returns the response.
	Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
	// ReportUsage sends the usage of models at this controller and returns the response.
	ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse
}

// Pace is how often a tracker sends requests to the leader.
type Pace struct {
	Retry    time.Duration // pause after the first wake request that is undecided; doubled after each, with jitter
	Timeout  time.Duration // of one request
	Wait     time.Duration // for how long the leader may delay a response while requests are held
	Usage    time.Duration // between two usage reports; 0: none are sent
	Repeat   time.Duration // for how long demand that is undecided is repeated
	Remember time.Duration // for how long an unused model is reported; longer than the idle window
}

// Limits bound the requests that a tracker holds and grants.
type Limits struct {
	HoldTimeout   time.Duration // the longest that a request is held; 0: none is held
	MaxHeld       int           // requests held at a time, of all models
	MaxConcurrent int           // requests in flight to one model at a time
}

const (
	// maxRetryShift bounds the doubling of Pace.Retry.
	maxRetryShift = 4
	// mailboxLength is how many messages may wait for the tracker before their senders wait.
	mailboxLength = 256
)

// Tracker decides on requests for models by the leader's latest responses, and holds requests for models that start.
// It is an actor: Run owns its state, which other methods reach through the mailbox. However many requests wait for a
// model, the tracker sends one wake request at a time for it.
type Tracker struct {
	scheduler Scheduler
	pace      Pace
	limits    Limits
	rand      *rand.Rand
	mailbox   chan message
	done      chan struct{}  // closed once Run handles no more messages
	senders   sync.WaitGroup // of wake requests and usage reports

	started      time.Time
	models       map[string]*model
	held         int    // requests held, of all models
	usageSerial  uint64 // of the latest usage report
	usagePending bool   // a usage report has no response yet
}

// Outcome is the decision on a request.
type Outcome int

// The outcomes.
const (
	Refused  Outcome = iota // it may be sent again after RetryAfter
	Granted                 // it may be forwarded once; Release must be called after it
	Unknown                 // there is no such model
	TimedOut                // it was held until its deadline
)

// Decision is the decision on a request, with its reasons.
type Decision struct {
	Outcome    Outcome
	Response   activation.WakeResponse // the leader's response that the decision is based on
	RetryAfter time.Duration           // 0: not known
	Reason     string
}

// NewTracker returns a tracker. Its methods wait until Run is called. random must not be used elsewhere.
func NewTracker(scheduler Scheduler, pace Pace, limits Limits, random *rand.Rand) *Tracker {
	return &Tracker{
		scheduler: scheduler, pace: pace, limits: limits, rand: random, started: time.Now(),
		mailbox: make(chan message, mailboxLength), done: make(chan struct{}), models: make(map[string]*model),
	}
}

// Run handles requests until ctx ends; it must be called once.
func (t *Tracker) Run(ctx context.Context) {
	defer t.senders.Wait()
	defer close(t.done)
	ticker := time.NewTicker(t.pace.Retry)
	defer ticker.Stop()
	var usageTicks <-chan time.Time
	if t.pace.Usage > 0 {
		usageTicker := time.NewTicker(t.pace.Usage)
		defer usageTicker.Stop()
		usageTicks = usageTicker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.mailbox:
			t.handle(ctx, m, time.Now())
		case <-ticker.C:
			t.tick(ctx, time.Now())
		case <-usageTicks:
			t.reportUsage(ctx, time.Now())
		}
	}
}

func (t *Tracker) handle(ctx context.Context, m message, now time.Time) {
	switch m := m.(type) {
	case *request:
		t.handleRequest(ctx, m, now)
	case canceledMsg:
		t.handleCanceled(m.request, now)
	case releasedMsg:
		t.handleReleased(ctx, m.model, now)
	case wakeResponseMsg:
		t.handleWakeResponse(ctx, m, now)
	case usageResponseMsg:
		t.handleUsageResponse(m.response, now)
	}
}

// tick times out held requests, sends wake requests again where requests wait or demand is undecided, and removes
// models that are no longer used.
func (t *Tracker) tick(ctx context.Context, now time.Time) {
	for name, m := range t.models {
		t.timeOutHeld(m, now)
		switch {
		case m.wakePending:
		case len(m.waiting) > 0 && !m.responseValid(now) || now.Before(m.demandUntil):
			if !now.Before(m.retryAt) {
				t.sendWake(ctx, name, m, now)
			}
		case m.unused(now, t.pace.Remember):
			delete(t.models, name)
		}
	}
}

// post puts a message into the mailbox and reports whether it has.
func (t *Tracker) post(ctx context.Context, m message) bool {
	select {
	case t.mailbox <- m:
		return true
	case <-t.done:
		return false
	case <-ctx.Done():
		return false
	}
}
