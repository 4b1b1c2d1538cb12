// Package activator takes requests for models at each controller: it tells the leader of demand for
// models that don't answer, and passes requests on to those that do.
package activator

import (
	"context"
	"math/rand/v2"
	"time"

	"sagevale/internal/activation"
)

// Waker is the scheduler's side: it tells the leader of demand.
type Waker interface {
	Wake(ctx context.Context, req activation.WakeRequest) activation.WakeResponse
}

// Pace is how a tracker spares the leader. All of it follows from the workers' report interval.
type Pace struct {
	Retry    time.Duration // pause after the first wake request that wasn't decided; doubled after each, and jittered
	Timeout  time.Duration // the longest that one wake request may take
	Remember time.Duration // how long demand is repeated that nobody has decided on
}

const (
	// longestRetryShift doubles the pause between two wake requests to the longest.
	longestRetryShift = 4
	// mailboxLength is how many requests may wait for the tracker; more wait before it.
	mailboxLength = 256
	// askedTwice: the first answer for a model tells its generation, the second wakes it.
	askedTwice = 2
)

// Tracker knows where models stand, as of the leader's latest answers. It is an actor: Run owns its
// state. However many requests wait for a model, one wake request is on its way for it.
type Tracker struct {
	waker   Waker
	pace    Pace
	rand    *rand.Rand
	lookups chan lookup
	answers chan answer
	models  map[string]*model
}

// lookup asks where a model stands.
type lookup struct {
	model string
	reply chan activation.WakeResponse
}

// answer is what a wake request came to.
type answer struct {
	model    string
	sent     time.Time
	asked    uint64 // the generation that it named
	response activation.WakeResponse
}

// model is what a tracker knows of a model.
type model struct {
	known    activation.WakeResponse
	until    time.Time // known may be gone by until then
	asking   bool
	inARow   int // wake requests since the first lookup that waits
	failures int // wake requests in a row that weren't decided
	retryAt  time.Time
	wanted   time.Time // there was demand that isn't decided on; it is repeated until then
	waiting  []chan activation.WakeResponse
}

// NewTracker makes a tracker; Run starts it.
func NewTracker(waker Waker, pace Pace, random *rand.Rand) *Tracker {
	return &Tracker{
		waker: waker, pace: pace, rand: random,
		lookups: make(chan lookup, mailboxLength), answers: make(chan answer, mailboxLength), models: make(map[string]*model),
	}
}

// Lookup returns where a model stands, and tells the leader of demand for it if it doesn't answer. It
// waits for the leader's word, but not for the model.
func (t *Tracker) Lookup(ctx context.Context, name string) activation.WakeResponse {
	reply := make(chan activation.WakeResponse, 1)
	select {
	case t.lookups <- lookup{name, reply}:
	case <-ctx.Done():
		return activation.WakeResponse{Reason: "not decided in time"}
	}
	select {
	case response := <-reply:
		return response
	case <-ctx.Done():
		return activation.WakeResponse{Reason: "not decided in time"}
	}
}

// Run serves lookups until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	tick := time.NewTicker(t.pace.Retry)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-t.lookups:
			t.lookup(ctx, l, time.Now())
		case a := <-t.answers:
			t.answered(ctx, a, time.Now())
		case <-tick.C:
			t.tick(ctx, time.Now())
		}
	}
}

func (t *Tracker) lookup(ctx context.Context, l lookup, now time.Time) {
	m := t.models[l.model]
	if m == nil {
		m = &model{}
		t.models[l.model] = m
	}
	if now.Before(m.until) {
		l.reply <- m.known
		return
	}
	m.wanted = now.Add(t.pace.Remember)
	if !m.asking && now.Before(m.retryAt) {
		l.reply <- activation.WakeResponse{Reason: m.known.Reason, Expected: m.retryAt.Sub(now)}
		return
	}
	m.waiting = append(m.waiting, l.reply)
	if !m.asking {
		m.inARow = 0
		t.ask(ctx, l.model, m, now)
	}
}

// ask sends a wake request that names the generation that is known.
func (t *Tracker) ask(ctx context.Context, name string, m *model, now time.Time) {
	m.asking = true
	m.inARow++
	req := activation.WakeRequest{Model: name, Generation: m.known.Generation}
	go func() {
		actx, cancel := context.WithTimeout(ctx, t.pace.Timeout)
		defer cancel()
		a := answer{model: name, sent: now, asked: req.Generation, response: t.waker.Wake(actx, req)}
		select {
		case t.answers <- a:
		case <-ctx.Done():
		}
	}()
}

func (t *Tracker) answered(ctx context.Context, a answer, now time.Time) {
	m := t.models[a.model]
	m.asking = false
	if a.response.Verdict == activation.Undecided {
		t.undecided(m, a.response, now)
		return
	}
	m.failures = 0
	m.known, m.until = a.response, a.sent.Add(a.response.Holds)
	if m.known.Asleep() && m.known.Generation != a.asked && m.inARow < askedTwice {
		t.ask(ctx, a.model, m, now) // this demand named an earlier generation, and had no effect
		return
	}
	m.wanted = time.Time{}
	m.answer(m.known)
}

// undecided takes in that nobody could tell: the demand is sent again after a pause.
func (t *Tracker) undecided(m *model, response activation.WakeResponse, now time.Time) {
	pause := t.pace.Retry << min(m.failures, longestRetryShift)
	pause = pause/2 + time.Duration(t.rand.Int64N(int64(pause/2)+1))
	m.failures++
	m.retryAt = now.Add(pause)
	m.known.Reason = response.Reason
	response.Expected = pause
	m.answer(response)
}

func (m *model) answer(response activation.WakeResponse) {
	for _, reply := range m.waiting {
		reply <- response
	}
	m.waiting = nil
}

// tick repeats demand that nobody has decided on, and forgets what nobody asks about any more.
func (t *Tracker) tick(ctx context.Context, now time.Time) {
	for name, m := range t.models {
		switch {
		case m.asking:
		case now.Before(m.wanted):
			if !now.Before(m.retryAt) {
				m.inARow = 0
				t.ask(ctx, name, m, now)
			}
		case !now.Before(m.until):
			delete(t.models, name)
		}
	}
}
