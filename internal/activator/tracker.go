package activator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"sagevale/internal/activation"
)

// LeaderClient sends requests to the leader. Its methods are called from several goroutines and must return soon after
// ctx has ended.
type LeaderClient interface {
	// Wake sends a wake request for a model and returns the response.
	Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
	// ReportUsage sends the usage of models at this controller and returns the response.
	ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse
}

// Timing configures when a Tracker sends requests to the leader.
type Timing struct {
	// RetryPause is the pause after the first wake request without a usable response. A response isn't usable if the
	// leader couldn't decide, or if the response may describe the state before a drain. The pause is doubled after each
	// further such request, at most maxRetryShift times, and has jitter.
	RetryPause       time.Duration
	RequestTimeout   time.Duration // timeout of one request
	MaxResponseDelay time.Duration // how long the leader may delay a response while a model with waiting requests starts
	UsageInterval    time.Duration // interval of usage reports; 0: none are sent
	// RepeatDemandFor is how long wake requests for a model are repeated after a request for this model, if the leader
	// sends no usable response.
	RepeatDemandFor time.Duration
	ReportUnusedFor time.Duration // how long an unused model stays in usage reports; must be longer than the idle window
}

// Limits holds the limits on the requests that a Tracker holds and grants.
type Limits struct {
	HoldTimeout   time.Duration // maximum time for which a request is held; 0: no request is held
	MaxHeld       int           // maximum number of requests held at a time, for all models together
	MaxConcurrent int           // maximum number of requests in flight to one model at a time
}

const (
	// maxRetryShift is how many times Timing.RetryPause is doubled at most.
	maxRetryShift = 4
	// mailboxLength is how many messages the mailbox buffers. Senders block while it is full.
	mailboxLength = 256
)

// Tracker decides on requests for models according to the leader's latest responses, and holds requests for models that
// are starting. It is an actor: the goroutine of Run owns its state, and other methods send messages to the mailbox. A
// Tracker sends one wake request at a time for a model, however many requests wait for the model.
type Tracker struct {
	leader      LeaderClient
	timing      Timing
	limits      Limits
	rand        *rand.Rand
	mailbox     chan message
	done        chan struct{}  // closed when Run stops handling messages
	leaderCalls sync.WaitGroup // goroutines that send wake requests and usage reports

	started      time.Time
	models       map[string]*model
	heldCount    int    // number of requests held, for all models together
	usageSerial  uint64 // serial number of the latest usage report
	usagePending bool   // a usage report is in flight
}

// Outcome classifies the decision on a request.
type Outcome int

// The outcomes.
const (
	Refused  Outcome = iota // the client may send the request again after RetryAfter
	Granted                 // the request may be forwarded once; the caller must call Release afterwards
	Unknown                 // there is no such model
	TimedOut                // the request was held until its deadline
)

// Decision is the decision on a request, with the reason for the decision.
type Decision struct {
	Outcome    Outcome
	Response   activation.WakeResponse // the leader's response that the decision is based on
	RetryAfter time.Duration           // time after which the client may send the request again; 0: unknown
	Reason     string
}

// NewTracker returns a Tracker. Acquire and AcquireBy block until Run is called. random must not be used elsewhere.
func NewTracker(leader LeaderClient, timing Timing, limits Limits, random *rand.Rand) *Tracker {
	return &Tracker{
		leader: leader, timing: timing, limits: limits, rand: random, started: time.Now(),
		mailbox: make(chan message, mailboxLength), done: make(chan struct{}), models: make(map[string]*model),
	}
}

// Run handles messages, and sends wake requests and usage reports, until ctx ends. It must be called exactly once.
func (t *Tracker) Run(ctx context.Context) {
	defer t.leaderCalls.Wait()
	defer close(t.done)
	ticker := time.NewTicker(t.timing.RetryPause)
	defer ticker.Stop()
	var usageTicks <-chan time.Time
	if t.timing.UsageInterval > 0 {
		usageTicker := time.NewTicker(t.timing.UsageInterval)
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

// handle handles one message from the mailbox.
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

// tick replies to held requests whose deadline has passed, and removes the state of models that are no longer used. It
// repeats wake requests for models with waiting requests and, until model.demandUntil, also for models without any.
func (t *Tracker) tick(ctx context.Context, now time.Time) {
	for name, m := range t.models {
		t.timeOutHeldRequests(m, now)
		switch {
		case m.wakePending:
		case len(m.waiting) > 0 && !m.responseValid(now) || now.Before(m.demandUntil):
			if !now.Before(m.retryAt) {
				t.sendWake(ctx, name, m, now)
			}
		case m.canBeRemoved(now, t.timing.ReportUnusedFor):
			delete(t.models, name)
		}
	}
}

// post sends a message to the mailbox. It returns false if ctx ends or Run stops before the mailbox accepts the message.
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
