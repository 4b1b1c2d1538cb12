// Package admission limits how many submissions may wait to be recorded. A submission that can't
// be recorded soon is rejected at once, fairly between teams, with the time after which to retry.
// Retries are spaced at the measured throughput, so that rejected submissions don't return
// together and each is likely to be admitted when it does.
//
// The package does no input or output.
package admission

import (
	"math"
	"time"
)

const (
	// throughputWeight is the weight of one measurement in the moving average of the throughput.
	throughputWeight = 0.3
	// contendedShare is the share of the capacity that is open to every team. Beyond it a team is
	// admitted only up to its fair share of the whole capacity.
	contendedShare = 0.5
	// minCapacity is how many submissions may wait at least, however low the throughput: it can
	// be measured only while some are recorded.
	minCapacity = 32
	// maxRetrySeconds bounds the time after which a submission is told to retry. By the protocol
	// users wait no longer.
	maxRetrySeconds = 30
)

// Limiter decides on the admission of submissions. It is not safe for concurrent use.
type Limiter struct {
	maxWait    time.Duration  // how long a submission may wait to be recorded
	throughput float64        // submissions recorded a second while others wait
	waiting    map[string]int // admitted submissions that aren't recorded yet, by team
	total      int            // the sum of waiting
	teams      int            // number of teams that are configured
	nextRetry  time.Time      // when the submission that was rejected last is to retry
}

// NewLimiter returns a limiter that admits what is expected to be recorded within maxWait.
// throughput is the number of submissions recorded a second that is assumed until it is measured;
// teams is the number of teams.
func NewLimiter(maxWait time.Duration, throughput float64, teams int) *Limiter {
	return &Limiter{maxWait: maxWait, throughput: throughput, waiting: make(map[string]int), teams: teams}
}

// capacity returns how many submissions may wait if atOnce of them can be recorded immediately.
func (l *Limiter) capacity(atOnce int) int {
	return max(minCapacity, atOnce+int(l.throughput*l.maxWait.Seconds()))
}

// Admit reports whether a submission of the team may wait to be recorded. If so the submission
// counts as waiting until Recorded is called. atOnce is the number of submissions that can be
// recorded immediately, whatever the throughput.
func (l *Limiter) Admit(team string, atOnce int) bool {
	capacity := l.capacity(atOnce)
	switch {
	case l.total >= capacity:
		return false
	case float64(l.total) >= contendedShare*float64(capacity) && l.waiting[team] >= l.fairShare(team, capacity):
		return false
	}
	l.waiting[team]++
	l.total++
	return true
}

// fairShare returns the part of the capacity that one team may use: an even share among the team and
// the others with waiting submissions. If there are several teams, at least two are counted, so that
// a single one leaves capacity to the next.
func (l *Limiter) fairShare(team string, capacity int) int {
	active := len(l.waiting)
	if l.waiting[team] == 0 {
		active++
	}
	return max(1, capacity/max(active, min(2, l.teams)))
}

// Recorded ends the wait of an admitted submission of the team. It must be called once for each
// admitted submission.
func (l *Limiter) Recorded(team string) {
	l.total--
	if l.waiting[team]--; l.waiting[team] <= 0 {
		delete(l.waiting, team)
	}
}

// RecordThroughput updates the throughput with one measurement: the number of submissions recorded within
// the duration took. Only measurements at saturation count, that is with submissions left waiting.
func (l *Limiter) RecordThroughput(recorded int, took time.Duration) {
	if recorded <= 0 || took <= 0 {
		return
	}
	l.throughput += throughputWeight * (float64(recorded)/took.Seconds() - l.throughput)
}

// RetryAfterSeconds reserves a time to retry for a submission that is rejected now. It returns the time until
// then in whole seconds, from 1 to 30.
func (l *Limiter) RetryAfterSeconds(now time.Time) int {
	if l.nextRetry.Before(now) {
		l.nextRetry = now
	}
	if latest := now.Add(maxRetrySeconds * time.Second); l.nextRetry.After(latest) {
		return maxRetrySeconds
	}
	l.nextRetry = l.nextRetry.Add(time.Duration(float64(time.Second) / l.throughput))
	return min(maxRetrySeconds, max(1, int(math.Ceil(l.nextRetry.Sub(now).Seconds()))))
}
