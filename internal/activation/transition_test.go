package activation

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

var testPolicy = Policy{IdleWindow: 60 * time.Second, StartWithin: 30 * time.Second, Attempts: 3, Backoff: 2 * time.Second, Cooldown: 100 * time.Second, DrainTimeout: 20 * time.Second}

// step is an event at a time, with the record and the action that follow.
type step struct {
	atS    int
	event  Event
	record string
	action Action
}

func TestLifecycles(t *testing.T) {
	demand := func(generation uint64) Event { return Demand{generation} }
	booked := func(generation uint64) Event { return Booked{generation, 7, 1} }
	up := []step{
		{0, demand(0), "starting, generation 1", Book},
		{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Start},
		{9, Answering{1, 1}, "ready, generation 1, attempt 1 on machine 7", Nothing},
	}
	for name, steps := range map[string][]step{
		"demand of all nodes at once wakes once": {
			{0, demand(0), "starting, generation 1", Book},
			{0, demand(0), "starting, generation 1", Nothing},
			{0, demand(0), "starting, generation 1", Nothing},
			{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Start},
			{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Nothing},
		},
		"starts that fail are repeated under the same wake, then it cools down": {
			{0, demand(0), "starting, generation 1", Book},
			{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Start},
			{1, Gone{1, 1}, "starting, generation 1", Nothing},
			{2, Tick{}, "starting, generation 1", Nothing},
			{2, booked(1), "starting, generation 1", Nothing},
			{3, Tick{}, "starting, generation 1", Book},
			{3, booked(1), "starting, generation 1, attempt 2 on machine 7", Start},
			{4, Gone{1, 1}, "starting, generation 1, attempt 2 on machine 7", Nothing},
			{4, Gone{1, 2}, "starting, generation 1", Nothing},
			{7, Tick{}, "starting, generation 1", Nothing},
			{8, booked(1), "starting, generation 1, attempt 3 on machine 7", Start},
			{9, Gone{1, 3}, "failed, generation 1", Nothing},
			{108, demand(1), "failed, generation 1", Nothing},
			{109, demand(1), "starting, generation 2", Book},
		},
		"a start that takes too long is stopped, and another one waits for the proof": {
			{0, demand(0), "starting, generation 1", Book},
			{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Start},
			{30, Tick{}, "starting, generation 1, attempt 1 on machine 7", Nothing},
			{31, Tick{}, "starting, generation 1, attempt 1 on machine 7", Stop},
			{31, Tick{}, "starting, generation 1, attempt 1 on machine 7", Stop},
			{32, Answering{1, 1}, "starting, generation 1, attempt 1 on machine 7", Nothing},
			{33, Gone{1, 1}, "starting, generation 1", Nothing},
		},
		"a replica that is lost is replaced at once": append(up[:3:3],
			step{20, Gone{1, 1}, "starting, generation 1", Book},
			step{20, booked(1), "starting, generation 1, attempt 2 on machine 7", Start},
			step{21, Answering{1, 1}, "starting, generation 1, attempt 2 on machine 7", Nothing},
		),
		"starts that failed before it answered don't count after": {
			{0, demand(0), "starting, generation 1", Book},
			{0, booked(1), "starting, generation 1, attempt 1 on machine 7", Start},
			{1, Gone{1, 1}, "starting, generation 1", Nothing},
			{3, booked(1), "starting, generation 1, attempt 2 on machine 7", Start},
			{4, Gone{1, 2}, "starting, generation 1", Nothing},
			{8, booked(1), "starting, generation 1, attempt 3 on machine 7", Start},
			{9, Answering{1, 3}, "ready, generation 1, attempt 3 on machine 7", Nothing},
			{10, Gone{1, 3}, "starting, generation 1", Book},
			{10, booked(1), "starting, generation 1, attempt 4 on machine 7", Start},
			{11, Gone{1, 4}, "starting, generation 1", Nothing},
		},
		"to zero and back": append(up[:3:3],
			step{68, Quiet{1, time.UnixMilli(0)}, "ready, generation 1, attempt 1 on machine 7", Nothing},
			step{70, Quiet{0, time.UnixMilli(0)}, "ready, generation 1, attempt 1 on machine 7", Nothing},
			step{70, Quiet{1, time.UnixMilli(11_000)}, "ready, generation 1, attempt 1 on machine 7", Nothing},
			step{71, Quiet{1, time.UnixMilli(11_000)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{72, Drained{2}, "draining, generation 1, attempt 1 on machine 7", Nothing},
			step{72, Drained{1}, "stopping, generation 1, attempt 1 on machine 7", Stop},
			step{73, Gone{1, 1}, "idle, generation 1", Nothing},
			step{74, demand(0), "idle, generation 1", Nothing},
			step{74, demand(1), "starting, generation 2", Book},
		),
		"demand revives a drain, and its words don't count for the next": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{71, demand(1), "ready, generation 1, attempt 1 on machine 7", Nothing},
			step{72, Drained{1}, "ready, generation 1, attempt 1 on machine 7", Nothing},
			step{131, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{132, Drained{1}, "draining, generation 1, attempt 1 on machine 7", Nothing},
			step{152, Tick{}, "ready, generation 1, attempt 1 on machine 7", Nothing},
		),
		"demand while it stops begins the next generation after the proof": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{71, Drained{1}, "stopping, generation 1, attempt 1 on machine 7", Stop},
			step{72, demand(1), "stopping, generation 1, attempt 1 on machine 7", Nothing},
			step{73, demand(1), "stopping, generation 1, attempt 1 on machine 7", Nothing},
			step{74, Gone{1, 1}, "starting, generation 2", Book},
		),
		"a replica that is lost in a drain": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{71, Gone{1, 1}, "draining, generation 1", Nothing},
			step{72, Drained{1}, "idle, generation 1", Nothing},
		),
		"a replica that is lost in a drain, with demand": append(up[:3:3],
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1 on machine 7", Drain},
			step{71, Gone{1, 1}, "draining, generation 1", Nothing},
			step{72, demand(1), "starting, generation 1", Book},
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
	replica := &Replica{Attempt: 1, Machine: 7, Session: 1}
	for _, c := range []struct {
		record Record
		want   Action
	}{
		{Record{}, Nothing},
		{Record{State: Idle}, Nothing},
		{Record{State: Starting, Generation: 1}, Book},
		{Record{State: Starting, Generation: 1, NotBeforeMS: 6000}, Nothing},
		{Record{State: Starting, Generation: 1, Attempts: 1, Replica: replica}, Start},
		{Record{State: Starting, Generation: 1, Attempts: 1, Replica: replica, Abandoned: true}, Stop},
		{Record{State: Ready, Generation: 1, Attempts: 1, Replica: replica}, Nothing},
		{Record{State: Draining, Generation: 1, Attempts: 1, Replica: replica}, Drain},
		{Record{State: Stopping, Generation: 1, Attempts: 1, Replica: replica}, Stop},
		{Record{State: Failed, Generation: 1}, Nothing},
	} {
		if got := c.record.Pending(now); got != c.want {
			t.Errorf("%s: %d, wanted %d", c.record, got, c.want)
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
		`7`:                                "no lifecycle record",
		`{"state":1}`:                      "no lifecycle record",
		`{"state":"ready","generation":1}`: "ready without a replica",
		`{"state":"idle","generation":1,"attempts":1,"replica":{"attempt":1}}`: "idle with a replica",
		`{"state":"stopping"}`:              "stopping without a replica",
		`{"state":"starting"}`:              "no generation",
		`{"state":"asleep","generation":1}`: `unknown state "asleep"`,
		`{"state":"starting","generation":1,"attempts":2,"replica":{"attempt":1}}`:                                 "not the last attempt",
		`{"state":"starting","generation":1,"attempts":-1}`:                                                        "counts attempts wrongly",
		`{"state":"starting","generation":1,"abandoned":true}`:                                                     "abandoned no replica",
		`{"state":"ready","generation":1,"attempts":1,"replica":{"attempt":1},"wake_wanted":true,"unknown":[1,2]}`: "nothing is being stopped",
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
	f.Add([]byte(`{"state":"starting","generation":3,"attempts":2,"failures":1,"replica":{"attempt":2,"machine":7,"session":1},"abandoned":true,"since_ms":5}`))
	f.Add([]byte(`{"state":"draining","generation":3,"drain":9}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode("key", data)
		if err != nil {
			return
		}
		now := time.UnixMilli(1e9)
		for _, e := range []Event{Tick{}, Demand{r.Generation}, Booked{r.Generation, 1, 1}, Answering{r.Generation, r.Attempts}, Gone{r.Generation, r.Attempts}, Quiet{r.Generation, now}, Drained{r.Drain}} {
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
