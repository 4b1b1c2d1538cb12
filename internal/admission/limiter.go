// Package admission decides how many submissions may wait to be recorded. What can't be
// recorded soon is refused at once, fairly between teams, with when to come back: those who
// are refused are given turns one after the other, at the measured pace, so that each finds
// room and they don't return together.
package admission

import (
	"math"
	"time"
)

const (
	// paceWeight is what one measurement counts in the pace.
	paceWeight = 0.3
	// contendedShare of what may wait is open to every team; beyond it a team may hold its even
	// share of the whole.
	contendedShare = 0.5
	// least is how many submissions may wait at the least, however slow the pace: the first
	// measurements have to come from somewhere.
	least = 32
	// longestRetryS is the longest that a user is told to stay away, in seconds: the protocol
	// has users wait no longer.
	longestRetryS = 30
)

// Limiter is the admission of submissions. It is not safe for concurrent use.
type Limiter struct {
	longest time.Duration // the longest that a submission may wait to be recorded
	pace    float64       // submissions recorded a second while others wait
	waiting map[string]int
	total   int
	teams   int       // how many there are
	turn    time.Time // when the one who was refused last is to return
}

// NewLimiter returns a gate that admits what is expected to be recorded within longest. pace is how
// many submissions a second are expected to be recorded before that is measured, and teams how
// many teams there are.
func NewLimiter(longest time.Duration, pace float64, teams int) *Limiter {
	return &Limiter{longest: longest, pace: pace, waiting: make(map[string]int), teams: teams}
}

// room is how many submissions may wait, if so many can be recorded at once.
func (g *Limiter) room(atOnce int) int { return max(least, atOnce+int(g.pace*g.longest.Seconds())) }

// Admit tells whether a team's submission may wait to be recorded, and counts it then. atOnce
// is how many submissions can be recorded without regard to the pace.
func (g *Limiter) Admit(team string, atOnce int) bool {
	room := g.room(atOnce)
	switch {
	case g.total >= room:
		return false
	case float64(g.total) >= contendedShare*float64(room) && g.waiting[team] >= g.share(team, room):
		return false
	}
	g.waiting[team]++
	g.total++
	return true
}

// share is how much of the room is a team's, beside the others that have submissions waiting, and
// one that may have some soon.
func (g *Limiter) share(team string, room int) int {
	active := len(g.waiting)
	if g.waiting[team] == 0 {
		active++
	}
	return max(1, room/max(active, min(2, g.teams)))
}

// Recorded takes in that a submission which was admitted waits no longer.
func (g *Limiter) Recorded(team string) {
	g.total--
	if g.waiting[team]--; g.waiting[team] <= 0 {
		delete(g.waiting, team)
	}
}

// Measured takes in that so many submissions were recorded in a time, as many as could be: others
// had to be left behind.
func (g *Limiter) Measured(recorded int, took time.Duration) {
	if recorded <= 0 || took <= 0 {
		return
	}
	g.pace += paceWeight * (float64(recorded)/took.Seconds() - g.pace)
}

// RetrySeconds gives a submission that is refused now a turn, and returns when it should come again, in
// whole seconds from 1.
func (g *Limiter) RetryS(now time.Time) int {
	if g.turn.Before(now) {
		g.turn = now
	}
	if latest := now.Add(longestRetryS * time.Second); g.turn.After(latest) {
		return longestRetryS
	}
	g.turn = g.turn.Add(time.Duration(float64(time.Second) / g.pace))
	return min(longestRetryS, max(1, int(math.Ceil(g.turn.Sub(now).Seconds()))))
}
