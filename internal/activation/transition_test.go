package activation

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

var testPolicy = Policy{IdleWindow: 60 * time.Second, StartWithin: 30 * time.Second, StableAfter: 5 * time.Second, Attempts: 3, Backoff: 2 * time.Second, Cooldown: 100 * time.Second, DrainTimeout: 20 * time.Second}

// step is an event at a time, with the record and the action that follow.
type step struct {
	atS    int
	event  Event
	record string
	action Action
}

func TestLifecycles(t *testing.T) {
	demand := func(generation uint64) Event { return Demand{generation} }
	booked := func(generation, attempt uint64) Event { return Reserved{generation, attempt} }
	failed := func(attempt uint64) Event { return ReplicaGone{1, attempt, true} }
	up := []step{
		{0, demand(0), "starting, generation 1", Reserve},
		{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
		{9, Serving{1, 1}, "ready, generation 1, attempt 1", Nothing},
	}
	for name, steps := range map[string][]step{
		"demand of all nodes at once wakes once": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, demand(0), "starting, generation 1", Nothing},
			{0, demand(0), "starting, generation 1", Nothing},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Nothing},
		},
		"starts that fail are repeated under the same wake, then it cools down": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{1, failed(1), "starting, generation 1", Nothing},
			{2, Tick{}, "starting, generation 1", Nothing},
			{2, booked(1, 9), "starting, generation 1", Nothing},
			{3, Tick{}, "starting, generation 1", Reserve},
			{3, booked(1, 2), "starting, generation 1, attempt 2", Start},
			{4, failed(1), "starting, generation 1, attempt 2", Nothing},
			{4, failed(2), "starting, generation 1", Nothing},
			{7, Tick{}, "starting, generation 1", Nothing},
			{8, booked(1, 3), "starting, generation 1, attempt 3", Start},
			{9, failed(3), "failed, generation 1", Nothing},
			{108, demand(1), "failed, generation 1", Nothing},
			{109, demand(1), "starting, generation 2", Reserve},
		},
		"a start that takes too long is stopped, and another one waits for the proof": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{40, Tick{30 * time.Second}, "starting, generation 1, attempt 1", Nothing},
			{41, Tick{31 * time.Second}, "starting, generation 1, attempt 1", Stop},
			{41, Tick{31 * time.Second}, "starting, generation 1, attempt 1", Stop},
			{42, Serving{1, 1}, "starting, generation 1, attempt 1", Nothing},
			{43, ReplicaGone{1, 1, false}, "starting, generation 1", Nothing},
			{44, Tick{}, "starting, generation 1", Nothing},
			{45, Tick{}, "starting, generation 1", Reserve},
		},
		"a replica that is lost is replaced at once": append(up[:3:3],
			step{20, ReplicaGone{1, 1, false}, "starting, generation 1", Reserve},
			step{20, booked(1, 2), "starting, generation 1, attempt 2", Start},
			step{21, Serving{1, 1}, "starting, generation 1, attempt 2", Nothing},
		),
		"a machine that is lost during the start is no failure of the model": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{1, ReplicaGone{1, 1, false}, "starting, generation 1", Reserve},
		},
		"starts that failed before it answered don't count once it was stable": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{1, failed(1), "starting, generation 1", Nothing},
			{3, booked(1, 2), "starting, generation 1, attempt 2", Start},
			{4, failed(2), "starting, generation 1", Nothing},
			{8, booked(1, 3), "starting, generation 1, attempt 3", Start},
			{9, Serving{1, 3}, "ready, generation 1, attempt 3", Nothing},
			{14, failed(3), "starting, generation 1", Reserve},
			{14, booked(1, 4), "starting, generation 1, attempt 4", Start},
			{15, failed(4), "starting, generation 1", Nothing},
		},
		"a replica that ends soon after it answered, each time": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, booked(1, 1), "starting, generation 1, attempt 1", Start},
			{1, Serving{1, 1}, "ready, generation 1, attempt 1", Nothing},
			{2, failed(1), "starting, generation 1", Nothing},
			{4, booked(1, 2), "starting, generation 1, attempt 2", Start},
			{5, Serving{1, 2}, "ready, generation 1, attempt 2", Nothing},
			{6, failed(2), "starting, generation 1", Nothing},
			{10, booked(1, 3), "starting, generation 1, attempt 3", Start},
			{11, Serving{1, 3}, "ready, generation 1, attempt 3", Nothing},
			{12, failed(3), "failed, generation 1", Nothing},
			{13, demand(1), "failed, generation 1", Nothing},
		},
		"to zero and back": append(up[:3:3],
			step{68, Quiet{1, time.UnixMilli(0)}, "ready, generation 1, attempt 1", Nothing},
			step{70, Quiet{0, time.UnixMilli(0)}, "ready, generation 1, attempt 1", Nothing},
			step{70, Quiet{1, time.UnixMilli(11_000)}, "ready, generation 1, attempt 1", Nothing},
			step{71, Quiet{1, time.UnixMilli(11_000)}, "draining, generation 1, attempt 1", Drain},
			step{72, Drained{2}, "draining, generation 1, attempt 1", Nothing},
			step{72, Drained{1}, "stopping, generation 1, attempt 1", Stop},
			step{73, ReplicaGone{1, 1, false}, "idle, generation 1", Nothing},
			step{74, demand(0), "idle, generation 1", Nothing},
			step{74, demand(1), "starting, generation 2", Reserve},
		),
		"demand revives a drain, and its words don't count for the next": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, demand(1), "ready, generation 1, attempt 1", Nothing},
			step{72, Drained{1}, "ready, generation 1, attempt 1", Nothing},
			step{131, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{132, Drained{1}, "draining, generation 1, attempt 1", Nothing},
			step{152, Tick{}, "ready, generation 1, attempt 1", Nothing},
		),
		"demand while it stops begins the next generation after the proof": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, Drained{1}, "stopping, generation 1, attempt 1", Stop},
			step{72, demand(1), "stopping, generation 1, attempt 1", Nothing},
			step{73, demand(1), "stopping, generation 1, attempt 1", Nothing},
			step{74, ReplicaGone{1, 1, false}, "starting, generation 2", Reserve},
		),
		"a replica that is lost in a drain": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, ReplicaGone{1, 1, false}, "draining, generation 1", Nothing},
			step{72, Drained{1}, "idle, generation 1", Nothing},
		),
		"a replica that is lost in a drain, with demand": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, ReplicaGone{1, 1, false}, "draining, generation 1", Nothing},
			step{72, demand(1), "starting, generation 1", Reserve},
		),
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			for i, s := range steps {
				var action Action
				r, action = r.Apply(s.event, &testPolicy, time.UnixMilli(int64(s.atS)*1000))
				if r.String() != s.record || action != s.action {
					t.Fatalf("step %d, %T at %d s: %s, action %d; wanted %s, action %d", i, s.event, s.atS, r, action, s.record, s.action)
				}
			}
		})
	}
}

// A new leader goes on where the record stands.
func TestPendingFollowsFromTheRecord(t *testing.T) {
	now := time.UnixMilli(5000)
	for _, c := range []struct {
		record  Record
		replica uint64 // that the records of attempts hold
		want    Action
		then    string
	}{
		{Record{State: Idle}, 0, Nothing, "idle, generation 0"},
		{Record{State: Idle, Generation: 2}, 4, Stop, "idle, generation 2, attempt 4"},
		{Record{State: Starting, Generation: 1}, 0, Reserve, "starting, generation 1"},
		{Record{State: Starting, Generation: 1, NotBeforeMS: 6000}, 0, Nothing, "starting, generation 1"},
		{Record{State: Starting, Generation: 1}, 4, Start, "starting, generation 1, attempt 4"},
		{Record{State: Starting, Generation: 1, Abandoned: true}, 4, Stop, "starting, generation 1, attempt 4"},
		{Record{State: Starting, Generation: 1, Abandoned: true}, 0, Nothing, "starting, generation 1"},
		{Record{State: Ready, Generation: 1}, 4, Nothing, "ready, generation 1, attempt 4"},
		{Record{State: Ready, Generation: 1}, 0, Reserve, "starting, generation 1"},
		{Record{State: Draining, Generation: 1}, 4, Drain, "draining, generation 1, attempt 4"},
		{Record{State: Draining, Generation: 1}, 0, Drain, "draining, generation 1"},
		{Record{State: Stopping, Generation: 1}, 4, Stop, "stopping, generation 1, attempt 4"},
		{Record{State: Stopping, Generation: 1}, 0, Nothing, "idle, generation 1"},
		{Record{State: Stopping, Generation: 1, WakeWanted: true}, 0, Reserve, "starting, generation 2"},
		{Record{State: Failed, Generation: 1}, 0, Nothing, "failed, generation 1"},
		{Record{State: Failed, Generation: 1}, 4, Stop, "failed, generation 1, attempt 4"},
	} {
		restored, got := c.record.Restore(c.replica, &testPolicy, now)
		if got != c.want || restored.String() != c.then {
			t.Errorf("%s: %d, %s, wanted %d, %s", c.record, got, restored, c.want, c.then)
		}
	}
}

func TestPausesGrowToABound(t *testing.T) {
	for failures, want := range map[int]time.Duration{1: 2, 2: 4, 3: 8, 5: 32, 6: 32, 1000: 32} {
		if got := testPolicy.backoff(failures); got != want*time.Second {
			t.Errorf("after %d failures %v", failures, got)
		}
	}
}

func TestDamagedRecordsAreNamed(t *testing.T) {
	for text, reason := range map[string]string{
		`7`:                                 "no lifecycle record",
		`{"state":1}`:                       "no lifecycle record",
		`{"state":"stopping"}`:              "no generation",
		`{"state":"starting"}`:              "no generation",
		`{"state":"asleep","generation":1}`: `unknown state "asleep"`,
		`{"state":"starting","generation":1,"failures":-1}`:                   "counts failures wrongly",
		`{"state":"ready","generation":1,"abandoned":true}`:                   "without starting one",
		`{"state":"ready","generation":1,"wake_wanted":true,"unknown":[1,2]}`: "nothing is being stopped",
	} {
		_, err := Decode("models/a", []byte(text))
		var damaged *DamagedError
		if !errors.As(err, &damaged) || damaged.Key != "models/a" || !strings.Contains(err.Error(), reason) {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// Whatever is read as a record can be moved by every event, and written and read again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"state":"starting","generation":3,"failures":1,"abandoned":true,"since_ms":5}`), uint64(2))
	f.Add([]byte(`{"state":"draining","generation":3,"drain":9}`), uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, replica uint64) {
		r, err := Decode("key", data)
		if err != nil {
			return
		}
		now := time.UnixMilli(1e9)
		r, _ = r.Restore(replica, &testPolicy, now)
		for _, e := range []Event{Tick{}, Tick{time.Hour}, Demand{r.Generation}, Reserved{r.Generation, 1}, Serving{r.Generation, replica}, ReplicaGone{r.Generation, replica, true}, Quiet{r.Generation, now}, Drained{r.Drain}} {
			next, _ := r.Apply(e, &testPolicy, now)
			raw, err := json.Marshal(next)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := Decode("key", raw); err != nil && next.State != "" {
				t.Errorf("%s by %s is read as damaged: %v", r, fmt.Sprintf("%T", e), err)
			}
		}
	})
}
