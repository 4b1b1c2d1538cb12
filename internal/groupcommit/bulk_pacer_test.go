package groupcommit

import (
	"math"
	"testing"
	"time"
)

// Beside a backlog each commit waited for the journal's rate, and an acceptance for two of them.
func TestBulkLeavesSavedChangesToTheOthers(t *testing.T) {
	const burst, rate = 32.0, 28.0
	now := time.Now()
	p := NewBulkPacer(300 * time.Millisecond)
	for _, c := range []struct{ saved, want float64 }{{32, 16}, {20, 4}, {19.9, 0}, {16, 0}, {0, 0}} {
		if got := p.Allow(now, c.saved, burst); got != c.want {
			t.Errorf("with %v saved %v changes are allowed, not %v", c.saved, got, c.want)
		}
	}
	if due := p.Due(now, 16, burst, rate); due <= 0 || due > 150*time.Millisecond {
		t.Errorf("four changes are looked for in %v", due)
	}
	if due := p.Due(now, 20, burst, rate); due < leastPause {
		t.Errorf("looked at again in %v", due)
	}
	// What the others use up doesn't hold bulk back for good.
	if got := p.Allow(now.Add(299*time.Millisecond), 1, burst); got != 0 {
		t.Errorf("%v changes are allowed too soon", got)
	}
	if got := p.Allow(now.Add(300*time.Millisecond), 1, burst); !math.IsInf(got, 1) {
		t.Errorf("%v changes are allowed after the longest wait", got)
	}
	if got := p.Allow(now.Add(301*time.Millisecond), 1, burst); got != 0 {
		t.Errorf("%v changes are allowed at once again", got)
	}
}

func TestHeldBulkWaitsWhileTheOthersAreWritten(t *testing.T) {
	q := New()
	q.LimitBulk(0)
	calls := 0
	q.Mark(Bulk, "page", value(100))
	q.OnAllDurable(func(error) { calls++ })
	if _, ok := q.Next(1000, unencodable); ok {
		t.Error("held bulk is committed")
	}
	q.Mark(Interactive, "job", value(100))
	records, _ := q.Next(1000, unencodable)
	if got := keys(records); len(got) != 1 || got[0] != "job" {
		t.Errorf("committed %v", got)
	}
	q.Committed(nil)
	if calls != 0 {
		t.Error("called before all is durable")
	}
	q.LimitBulk(1)
	records, _ = q.Next(1000, unencodable)
	q.Committed(nil)
	if got := keys(records); len(got) != 1 || got[0] != "page" || calls != 1 {
		t.Errorf("committed %v, %d calls", got, calls)
	}
	q.LimitBulk(0)
	q.OnAllDurable(func(error) { calls++ })
	if _, ok := q.Next(1000, unencodable); !ok {
		t.Error("a call that waits for nothing isn't made")
	}
}
