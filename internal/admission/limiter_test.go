package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newGate(pace float64) *Limiter { return NewLimiter(2*time.Second, pace, 5) }

// The gate admits what is recorded in time at the pace that is measured, and more once that rises.
func TestTheGateFollowsThePace(t *testing.T) {
	g := newGate(100)
	admitted := 0
	for g.Admit(fmt.Sprint(admitted%4), 0) {
		admitted++
	}
	if admitted != 200 {
		t.Errorf("%d admitted at 100 a second in 2 s", admitted)
	}
	for range 40 {
		g.Measured(100, 500*time.Millisecond)
	}
	for g.Admit(fmt.Sprint(admitted%4), 0) {
		admitted++
	}
	if room := g.room(0); admitted < 390 || admitted > 400 || room > 400 {
		t.Errorf("%d admitted at 200 a second in 2 s", admitted)
	}
	room := g.room(0)
	g.Measured(0, time.Second)
	g.Measured(1, 0)
	if g.room(0) != room {
		t.Error("what measures nothing changes the pace")
	}
}

// A team that floods the gate leaves room for the others.
func TestATeamThatFloodsLeavesRoom(t *testing.T) {
	g := newGate(100)
	for range 1000 {
		g.Admit("flood", 0)
	}
	if g.waiting["flood"] > 150 {
		t.Errorf("the flood holds %d of 200", g.waiting["flood"])
	}
	{
		alone := NewLimiter(2*time.Second, 100, 1)
		for range 1000 {
			alone.Admit("only", 0)
		}
		if alone.total != 200 {
			t.Errorf("the only team holds %d of 200", alone.total)
		}
	}
	for range 20 {
		if !g.Admit("quiet", 0) {
			t.Fatal("another team is refused")
		}
	}
}

// Those who are refused are told to return one after the other, at the pace at which room is made:
// at every moment no more return than find room.
func TestThoseWhoAreRefusedReturnInTurn(t *testing.T) {
	const pace = 10
	g, now := newGate(pace), time.Now()
	told := make(map[int]int)
	for range 20 * pace {
		told[g.RetryS(now)]++
	}
	for s := 1; s <= 20; s++ {
		if told[s] < pace-1 || told[s] > pace+1 {
			t.Errorf("%d return after %d s", told[s], s)
		}
	}
	later := now.Add(15 * time.Second)
	if s := g.RetryS(later); s < 5 || s > 6 {
		t.Errorf("told %d s where turns are given for 5 s", s)
	}
	for range 1000 {
		g.RetryS(now)
	}
	if s := g.RetryS(now); s != longestRetryS {
		t.Errorf("told %d s", s)
	}
	if s := g.RetryS(now.Add(time.Hour)); s != 1 {
		t.Errorf("told %d s when all turns are over", s)
	}
}

// What the journal may write at once is admitted beside what the pace allows for.
func TestWhatIsRecordedAtOnceIsAdmitted(t *testing.T) {
	g := newGate(100)
	admitted := 0
	for g.Admit(fmt.Sprint(admitted%4), 300) {
		admitted++
	}
	if admitted != 500 {
		t.Errorf("%d admitted: 300 at once, and 200 in 2 s", admitted)
	}
}

// Whatever is admitted, recorded and measured: never more than the room, and nothing is left over.
func TestTheGateNeverOverflows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGate(rapid.Float64Range(0.1, 1000).Draw(t, "pace"))
		var admitted []string
		t.Repeat(map[string]func(*rapid.T){
			"admit": func(t *rapid.T) {
				team := rapid.StringMatching("[a-e]").Draw(t, "team")
				for range rapid.IntRange(1, 50).Draw(t, "times") {
					room, total := g.room(0), g.total
					if g.Admit(team, 0) {
						admitted = append(admitted, team)
						if total >= room {
							t.Fatalf("%d admitted into room for %d", g.total, room)
						}
					}
				}
			},
			"record": func(*rapid.T) {
				if len(admitted) > 0 {
					g.Recorded(admitted[0])
					admitted = admitted[1:]
				}
			},
			"measure": func(t *rapid.T) {
				g.Measured(rapid.IntRange(0, 500).Draw(t, "recorded"), time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
			},
			"": func(t *rapid.T) {
				now := time.Now()
				if s := g.RetryS(now); s < 1 || s > longestRetryS || g.total != len(admitted) {
					t.Fatalf("told %d s, %d of %d wait", s, g.total, len(admitted))
				}
			},
		})
		for _, team := range admitted {
			g.Recorded(team)
		}
		if g.total != 0 || len(g.waiting) != 0 {
			t.Fatalf("%d left, %v", g.total, g.waiting)
		}
	})
}
