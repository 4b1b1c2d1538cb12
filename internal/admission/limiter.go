// Package admission limits how many submissions may wait to be recorded durably. This limit is called the
// capacity. A submission that can't be recorded soon is rejected at once, with the time after which to retry.
// When much of the capacity is in use, each team may use only its fair share. The times to retry are spaced at
// the measured throughput. Rejected submissions therefore don't all return at the same time, and each is likely
// to be admitted when it returns.
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
	// contendedShare is a share of the capacity. Once this share is used, the capacity counts as contended,
	// and each team is admitted only up to its fair share of the whole capacity.
	contendedShare = 0.5
	// minCapacity is the least number of submissions that may wait, however low the throughput is,
	// because the throughput can be measured only while submissions are recorded.
	minCapacity = 32
	// maxRetrySeconds is the longest delay before a retry that a response may state. By the protocol, users
	// wait no longer than this.
	maxRetrySeconds = 30
)

// Limiter decides which submissions are admitted. It is not safe for concurrent use.
type Limiter struct {
	maxWait    time.Duration  // how long a submission may wait to be recorded
	throughput float64        // moving average of the submissions recorded per second at saturation
	waiting    map[string]int // number of admitted submissions that aren't recorded yet, by team; no entry is zero
	total      int            // the sum of waiting
	teams      int            // number of configured teams
	nextRetry  time.Time      // time to retry that was assigned to the last rejected submission
}

// NewLimiter returns a limiter that admits submissions expected to be recorded within maxWait.
// throughput is the number of submissions recorded per second that is assumed until it is measured,
// and teams is the number of configured teams.
func NewLimiter(maxWait time.Duration, throughput float64, teams int) *Limiter {
	return &Limiter{maxWait: maxWait, throughput: throughput, waiting: make(map[string]int), teams: teams}
}

// capacity returns how many submissions may wait, if atOnce of them can be recorded immediately.
func (l *Limiter) capacity(atOnce int) int {
	return max(minCapacity, atOnce+int(l.throughput*l.maxWait.Seconds()))
}

// Admit reports whether a submission of the team may wait to be recorded. An admitted submission
// counts as waiting until MarkRecorded is called for it. atOnce is the number of submissions that can be
// recorded immediately, independent of the throughput.
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

// fairShare returns how much of the capacity a team may use when the capacity is contended. It divides the
// capacity evenly among this team and the other teams with waiting submissions. If several teams are
// configured, it divides the capacity by at least two, so that a single active team leaves capacity for
// another team.
func (l *Limiter) fairShare(team string, capacity int) int {
	active := len(l.waiting)
	if l.waiting[team] == 0 {
		active++
	}
	return max(1, capacity/max(active, min(2, l.teams)))
}

// MarkRecorded marks an admitted submission of the team as no longer waiting. It must be called exactly once
// for each admitted submission.
func (l *Limiter) MarkRecorded(team string) {
	l.total--
	if l.waiting[team]--; l.waiting[team] <= 0 {
		delete(l.waiting, team)
	}
}

// RecordThroughput updates the throughput with one measurement: the number of submissions recorded within
// the duration took. Callers must pass only measurements at saturation, that is while further submissions
// were left waiting. Measurements without submissions or duration are ignored.
func (l *Limiter) RecordThroughput(recorded int, took time.Duration) {
	if recorded <= 0 || took <= 0 {
		return
	}
	l.throughput += throughputWeight * (float64(recorded)/took.Seconds() - l.throughput)
}

// RetryAfterSeconds assigns a time to retry to a submission that is rejected now. It returns how many whole seconds
// the submission must wait until that time, from 1 to maxRetrySeconds.
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
