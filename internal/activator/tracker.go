// Package activator takes requests for models at each controller: it tells the leader of demand for
// models that don't answer, holds requests while a model starts, and passes them on once it answers.
package activator

import (
	"context"
	"math/rand/v2"
	"time"

	"sagevale/internal/activation"
)

// Scheduler is the leader, as a controller reaches it.
type Scheduler interface {
	// Wake tells of demand for a model.
	Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
	// ReportUsage tells how models are used here.
	ReportUsage(ctx context.Context, report activation.UsageReport) activation.UsageResponse
}

// Pace is how often a tracker speaks to the leader.
type Pace struct {
	Retry    time.Duration // pause after the first message that wasn't decided; doubled after each, and jittered
	Timeout  time.Duration // the longest that one message may take
	Wait     time.Duration // how long the leader may put an answer off while requests are held
	Usage    time.Duration // how often usage is reported; 0: never
	Repeat   time.Duration // how long demand is repeated that nobody has decided on
	Remember time.Duration // how long a model that nobody uses is told of; longer than the idle window
}

// Limits bound what a tracker holds.
type Limits struct {
	Hold       time.Duration // the longest that a request is held; 0: none is
	Held       int           // requests held at a time, of all models
	Concurrent int           // requests that are passed on to one model at a time
}

const (
	// longestRetryShift doubles the pause between two messages to the longest.
	longestRetryShift = 4
	// mailboxLength is how many messages may wait for the tracker; more wait before it.
	mailboxLength = 256
)

// Tracker knows where models stand, as of the leader's latest answers, and holds requests for those
// that start. It is an actor: Run owns its state. However many requests wait for a model, one wake
// request is on its way for it.
type Tracker struct {
	scheduler Scheduler
	pace      Pace
	limits    Limits
	rand      *rand.Rand
	mailbox   chan any
	done      chan struct{} // closed once Run has ended
	began     time.Time
	models    map[string]*model
	held      int    // requests held, of all models
	reports   uint64 // of usage
	reporting bool
}

// Messages to the tracker.
type (
	// request asks for a model.
	request struct {
		model    string
		deadline time.Time // until when it may be held
		reply    chan Decision
		held     bool
		over     bool // its client has gone, or it is answered
	}
	departedMsg struct{ request *request }
	releasedMsg struct{ model string }
	// wokenMsg is what a wake request came to.
	wokenMsg struct {
		model    string
		sent     time.Time
		req      activation.WakeRequest
		response activation.WakeResponse
	}
	usageMsg struct{ response activation.UsageResponse }
)

// Outcome is what becomes of a request.
type Outcome int

// The outcomes.
const (
	Refused  Outcome = iota // it is to come again after RetryAfter
	Granted                 // it may be passed on, once; Release is to be called after it
	Unknown                 // there is no such model
	TimedOut                // it was held until its deadline
)

// Decision tells what becomes of a request.
type Decision struct {
	Outcome    Outcome
	Response   activation.WakeResponse // the leader's, that it rests on
	RetryAfter time.Duration           // 0: not known
	Reason     string
}

// NewTracker makes a tracker; Run starts it.
func NewTracker(scheduler Scheduler, pace Pace, limits Limits, random *rand.Rand) *Tracker {
	return &Tracker{
		scheduler: scheduler, pace: pace, limits: limits, rand: random, began: time.Now(),
		mailbox: make(chan any, mailboxLength), done: make(chan struct{}), models: make(map[string]*model),
	}
}

// Acquire decides on a request for a model: the leader is told of the demand if the model doesn't
// answer, and the request may be held meanwhile. One that is granted counts as in flight until Release.
func (t *Tracker) Acquire(ctx context.Context, name string) Decision {
	return t.AcquireBy(ctx, name, t.Deadline())
}

// Deadline is until when a request that comes now may be held.
func (t *Tracker) Deadline() time.Time { return time.Now().Add(t.limits.Hold) }

// AcquireBy is Acquire for a request that came earlier, and may be held until its deadline.
func (t *Tracker) AcquireBy(ctx context.Context, name string, deadline time.Time) Decision {
	r := &request{model: name, deadline: deadline, reply: make(chan Decision, 1)}
	if !t.post(ctx, r) {
		return Decision{Reason: "too much is asked at once"}
	}
	select {
	case decision := <-r.reply:
		return decision
	case <-t.done:
		return Decision{Reason: "the controller ends"}
	case <-ctx.Done():
		t.post(context.Background(), departedMsg{r})
		return Decision{Reason: "its client has gone"}
	}
}

// Release ends a request that was granted.
func (t *Tracker) Release(name string) { t.post(context.Background(), releasedMsg{name}) }

// post hands the tracker a message, and tells whether it has taken it.
func (t *Tracker) post(ctx context.Context, m any) bool {
	select {
	case t.mailbox <- m:
		return true
	case <-t.done:
		return false
	case <-ctx.Done():
		return false
	}
}

// Run serves until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(t.pace.Retry)
	defer tick.Stop()
	usage := make(<-chan time.Time)
	if t.pace.Usage > 0 {
		ticker := time.NewTicker(t.pace.Usage)
		defer ticker.Stop()
		usage = ticker.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-t.mailbox:
			t.handle(ctx, m, time.Now())
		case <-tick.C:
			t.tick(ctx, time.Now())
		case <-usage:
			t.reportUsage(ctx, time.Now())
		}
	}
}

func (t *Tracker) handle(ctx context.Context, m any, now time.Time) {
	switch m := m.(type) {
	case *request:
		t.requested(ctx, m, now)
	case departedMsg:
		t.departed(m.request, now)
	case releasedMsg:
		t.released(ctx, m.model, now)
	case wokenMsg:
		t.woken(ctx, m, now)
	case usageMsg:
		t.drain(m.response, now)
	}
}

// tick asks again for models whose last word has run out while requests wait, repeats demand that
// nobody has decided on, and forgets what nobody asks about any more.
func (t *Tracker) tick(ctx context.Context, now time.Time) {
	for name, m := range t.models {
		t.expireHeld(m, now)
		switch {
		case m.asking:
		case len(m.waiting) > 0 && !now.Before(m.until) || now.Before(m.wanted):
			if !now.Before(m.retryAt) {
				t.ask(ctx, name, m, now)
			}
		case m.forgettable(now, t.pace.Remember):
			delete(t.models, name)
		}
	}
}

// ask sends a wake request that names the generation that is known.
func (t *Tracker) ask(ctx context.Context, name string, m *model, now time.Time) {
	req := activation.WakeRequest{Model: name, Generation: m.known.Generation}
	if m.known.State == activation.Starting && len(m.waiting) > 0 {
		req.Wait = t.pace.Wait
	}
	m.asking = true
	go func() {
		asked, cancel := context.WithTimeout(ctx, t.pace.Timeout)
		defer cancel()
		t.post(ctx, wokenMsg{name, now, req, t.scheduler.Wake(asked, req)})
	}()
}

// woken takes in what a wake request came to.
func (t *Tracker) woken(ctx context.Context, msg wokenMsg, now time.Time) {
	m := t.models[msg.model]
	m.asking = false
	// What was asked before a drain began may tell of the time before it.
	if msg.response.Verdict == activation.Undecided || msg.response.Ready() && msg.sent.Before(m.drainedAt) {
		t.undecided(m, msg.response, now)
		return
	}
	m.failures = 0
	m.known, m.until = msg.response, msg.sent.Add(msg.response.Holds)
	if m.known.Asleep() && m.known.Generation != msg.req.Generation {
		t.ask(ctx, msg.model, m, now) // this demand named an earlier generation, and had no effect
		return
	}
	m.wanted = time.Time{}
	t.decideWaiting(m, now)
	putOff := msg.req.Wait == 0 || now.Sub(msg.sent) >= t.pace.Wait/2
	if len(m.waiting) > 0 && m.known.State == activation.Starting && putOff {
		t.ask(ctx, msg.model, m, now) // whose answer the leader puts off until something changes
	}
}

// undecided takes in that nobody could tell: the demand is sent again after a pause.
func (t *Tracker) undecided(m *model, response activation.WakeResponse, now time.Time) {
	pause := t.pace.Retry << min(m.failures, longestRetryShift)
	pause = pause/2 + time.Duration(t.rand.Int64N(int64(pause/2)+1))
	m.failures++
	m.retryAt, m.until = now.Add(pause), time.Time{}
	m.reason = response.Reason
	t.decideWaiting(m, now)
}
