package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	testMaxWait = 2 * time.Second
	testTeams   = 5
)

// newTestLimiter returns a limiter that assumes a throughput in submissions per second.
func newTestLimiter(throughput float64) *Limiter {
	return NewLimiter(testMaxWait, throughput, testTeams)
}

// admitUntilRejected submits for four teams in turn until a submission is rejected, and returns how many
// submissions were admitted. atOnce is the number of submissions that can be recorded immediately,
// independent of the throughput.
func admitUntilRejected(l *Limiter, atOnce int) (admitted int) {
	for l.Admit(fmt.Sprint(l.total%4), atOnce) {
		admitted++
	}
	return admitted
}

func TestLimiterCapacityFollowsMeasuredThroughput(t *testing.T) {
	l := newTestLimiter(100)
	admitted := admitUntilRejected(l, 0)
	if admitted != 200 {
		t.Errorf("at 100/s within 2 s: got %d admitted, want 200", admitted)
	}
	for range 40 {
		l.RecordThroughput(100, 500*time.Millisecond)
	}
	admitted += admitUntilRejected(l, 0)
	if capacity := l.capacity(0); admitted < 390 || admitted > 400 || capacity > 400 {
		t.Errorf("at 200/s within 2 s: got %d admitted of a capacity of %d, want 390 to 400 of at most 400", admitted, capacity)
	}
}

func TestLimiterIgnoresEmptyMeasurements(t *testing.T) {
	l := newTestLimiter(100)
	want := l.capacity(0)
	l.RecordThroughput(0, time.Second)
	l.RecordThroughput(1, 0)
	if got := l.capacity(0); got != want {
		t.Errorf("capacity after empty measurements: got %d, want %d", got, want)
	}
}

func TestLimiterAddsImmediatelyRecordableSubmissionsToCapacity(t *testing.T) {
	if admitted := admitUntilRejected(newTestLimiter(100), 300); admitted != 500 {
		t.Errorf("300 at once and 200 within 2 s: got %d admitted, want 500", admitted)
	}
}

func TestLimiterLeavesCapacityToOtherTeams(t *testing.T) {
	l := newTestLimiter(100)
	for range 1000 {
		l.Admit("flood", 0)
	}
	if got := l.waiting["flood"]; got > 150 {
		t.Errorf("one team of several: got %d of 200 admitted, want at most 150", got)
	}
	for range 20 {
		if !l.Admit("quiet", 0) {
			t.Fatal("a submission of another team was rejected")
		}
	}
}

func TestLimiterGivesSingleTeamWholeCapacity(t *testing.T) {
	l := NewLimiter(testMaxWait, 100, 1)
	for range 1000 {
		l.Admit("only", 0)
	}
	if l.total != 200 {
		t.Errorf("the only team: got %d admitted, want 200", l.total)
	}
}

// The retry times of rejected submissions must be spread so that, in each second, about as many submissions are
// retried as can be recorded in a second.
func TestLimiterSpacesRetriesAtThroughput(t *testing.T) {
	const throughput = 10
	l, now := newTestLimiter(throughput), time.Now()
	retries := make(map[int]int) // number of retries, by the seconds from now
	for range 20 * throughput {
		retries[l.RetryAfterSeconds(now)]++
	}
	for s := 1; s <= 20; s++ {
		if retries[s] < throughput-1 || retries[s] > throughput+1 {
			t.Errorf("retries after %d s: got %d, want %d", s, retries[s], throughput)
		}
	}
	if s := l.RetryAfterSeconds(now.Add(15 * time.Second)); s < 5 || s > 6 {
		t.Errorf("retry 15 s later, with 5 s of earlier retries left: got %d s, want 5 or 6", s)
	}
	for range 1000 {
		l.RetryAfterSeconds(now)
	}
	if s := l.RetryAfterSeconds(now); s != maxRetrySeconds {
		t.Errorf("retry after 1000 other retries: got %d s, want %d", s, maxRetrySeconds)
	}
	if s := l.RetryAfterSeconds(now.Add(time.Hour)); s != 1 {
		t.Errorf("retry an hour later, after all earlier retries: got %d s, want 1", s)
	}
}

// In any sequence of admissions, records and measurements no submission is admitted beyond the
// capacity, and none counts as waiting after all have been recorded.
func TestLimiterNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestLimiter(rapid.Float64Range(0.1, 1000).Draw(t, "throughput"))
		var admitted []string
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				team := rapid.StringMatching("[a-e]").Draw(t, "team")
				for range rapid.IntRange(1, 50).Draw(t, "times") {
					capacity, total := l.capacity(0), l.total
					if l.Admit(team, 0) {
						admitted = append(admitted, team)
						if total >= capacity {
							t.Fatalf("admitted with %d waiting, capacity %d", total, capacity)
						}
					}
				}
			},
			"record": func(*rapid.T) {
				if len(admitted) > 0 {
					l.MarkRecorded(admitted[0])
					admitted = admitted[1:]
				}
			},
			"measure": func(t *rapid.T) {
				recorded := rapid.IntRange(0, 500).Draw(t, "recorded")
				took := time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
				l.RecordThroughput(recorded, took)
			},
			"": func(t *rapid.T) {
				if s := l.RetryAfterSeconds(time.Now()); s < 1 || s > maxRetrySeconds {
					t.Fatalf("retry after %d s, want 1 to %d", s, maxRetrySeconds)
				}
				if l.total != len(admitted) {
					t.Fatalf("got %d waiting, want %d", l.total, len(admitted))
				}
			},
		})
		for _, team := range admitted {
			l.MarkRecorded(team)
		}
		if l.total != 0 || len(l.waiting) != 0 {
			t.Fatalf("after all were recorded: got %d waiting, by team %v, want none", l.total, l.waiting)
		}
	})
}
