package activation

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var testPolicy = Policy{
	IdleWindow:   60 * time.Second,
	StartTimeout: 30 * time.Second,
	StableAfter:  5 * time.Second,
	MaxAttempts:  3,
	Backoff:      2 * time.Second,
	Cooldown:     100 * time.Second,
	DrainTimeout: 20 * time.Second,
}

// step is one event of a lifecycle, with the time of the event in seconds, and the record and the action that
// are expected after the event.
type step struct {
	atS        int
	event      Event
	wantRecord string
	wantAction Action
}

func TestLifecycles(t *testing.T) {
	demand := func(generation uint64) Event { return Demand{generation} }
	reserved := func(generation, attempt uint64) Event { return Reserved{generation, attempt} }
	failed := func(attempt uint64) Event { return ReplicaGone{1, attempt, true} }
	untilReady := []step{
		{0, demand(0), "starting, generation 1", Reserve},
		{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
		{9, Serving{1, 1}, "ready, generation 1, attempt 1", NoAction},
	}
	afterReady := func(steps ...step) []step { return append(slices.Clone(untilReady), steps...) }
	for name, steps := range map[string][]step{
		"simultaneous demand from all controllers wakes the model once": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, demand(0), "starting, generation 1", NoAction},
			{0, demand(0), "starting, generation 1", NoAction},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", NoAction},
		},
		"failed starts are retried within the same wake, and the cooldown follows": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{1, failed(1), "starting, generation 1", NoAction},
			{2, Tick{}, "starting, generation 1", NoAction},
			{2, reserved(1, 9), "starting, generation 1", NoAction},
			{3, Tick{}, "starting, generation 1", Reserve},
			{3, reserved(1, 2), "starting, generation 1, attempt 2", Start},
			{4, failed(1), "starting, generation 1, attempt 2", NoAction},
			{4, failed(2), "starting, generation 1", NoAction},
			{7, Tick{}, "starting, generation 1", NoAction},
			{8, reserved(1, 3), "starting, generation 1, attempt 3", Start},
			{9, failed(3), "failed, generation 1", NoAction},
			{108, demand(1), "failed, generation 1", NoAction},
			{109, demand(1), "starting, generation 2", Reserve},
		},
		"a start that takes too long is stopped, and the next start waits until the replica is proved gone": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{40, Tick{30 * time.Second}, "starting, generation 1, attempt 1", NoAction},
			{41, Tick{31 * time.Second}, "starting, generation 1, attempt 1", Stop},
			{41, Tick{31 * time.Second}, "starting, generation 1, attempt 1", Stop},
			{42, Serving{1, 1}, "starting, generation 1, attempt 1", NoAction},
			{43, ReplicaGone{1, 1, false}, "starting, generation 1", NoAction},
			{44, Tick{}, "starting, generation 1", NoAction},
			{45, Tick{}, "starting, generation 1", Reserve},
		},
		"a lost replica is replaced immediately": afterReady(
			step{20, ReplicaGone{1, 1, false}, "starting, generation 1", Reserve},
			step{20, reserved(1, 2), "starting, generation 1, attempt 2", Start},
			step{21, Serving{1, 1}, "starting, generation 1, attempt 2", NoAction},
		),
		"a machine lost during the start doesn't count as a failed start": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{1, ReplicaGone{1, 1, false}, "starting, generation 1", Reserve},
		},
		"failed starts don't count any more once the replica was stable": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{1, failed(1), "starting, generation 1", NoAction},
			{3, reserved(1, 2), "starting, generation 1, attempt 2", Start},
			{4, failed(2), "starting, generation 1", NoAction},
			{8, reserved(1, 3), "starting, generation 1, attempt 3", Start},
			{9, Serving{1, 3}, "ready, generation 1, attempt 3", NoAction},
			{14, failed(3), "starting, generation 1", Reserve},
			{14, reserved(1, 4), "starting, generation 1, attempt 4", Start},
			{15, failed(4), "starting, generation 1", NoAction},
		},
		"replicas that fail soon after they became ready count as failed starts": {
			{0, demand(0), "starting, generation 1", Reserve},
			{0, reserved(1, 1), "starting, generation 1, attempt 1", Start},
			{1, Serving{1, 1}, "ready, generation 1, attempt 1", NoAction},
			{2, failed(1), "starting, generation 1", NoAction},
			{4, reserved(1, 2), "starting, generation 1, attempt 2", Start},
			{5, Serving{1, 2}, "ready, generation 1, attempt 2", NoAction},
			{6, failed(2), "starting, generation 1", NoAction},
			{10, reserved(1, 3), "starting, generation 1, attempt 3", Start},
			{11, Serving{1, 3}, "ready, generation 1, attempt 3", NoAction},
			{12, failed(3), "failed, generation 1", NoAction},
			{13, demand(1), "failed, generation 1", NoAction},
		},
		"scale to zero and back": afterReady(
			step{68, Quiet{1, time.UnixMilli(0)}, "ready, generation 1, attempt 1", NoAction},
			step{70, Quiet{0, time.UnixMilli(0)}, "ready, generation 1, attempt 1", NoAction},
			step{70, Quiet{1, time.UnixMilli(11_000)}, "ready, generation 1, attempt 1", NoAction},
			step{71, Quiet{1, time.UnixMilli(11_000)}, "draining, generation 1, attempt 1", Drain},
			step{72, Drained{2}, "draining, generation 1, attempt 1", NoAction},
			step{72, Drained{1}, "stopping, generation 1, attempt 1", Stop},
			step{73, ReplicaGone{1, 1, false}, "idle, generation 1", NoAction},
			step{74, demand(0), "idle, generation 1", NoAction},
			step{74, demand(1), "starting, generation 2", Reserve},
		),
		"demand cancels a drain, and the acknowledgments of this drain don't count for the next one": afterReady(
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, demand(1), "ready, generation 1, attempt 1", NoAction},
			step{72, Drained{1}, "ready, generation 1, attempt 1", NoAction},
			step{131, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{132, Drained{1}, "draining, generation 1, attempt 1", NoAction},
			step{152, Tick{}, "ready, generation 1, attempt 1", NoAction},
		),
		"demand during a stop wakes the model once the replica is gone": afterReady(
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, Drained{1}, "stopping, generation 1, attempt 1", Stop},
			step{72, demand(1), "stopping, generation 1, attempt 1", NoAction},
			step{73, demand(1), "stopping, generation 1, attempt 1", NoAction},
			step{74, ReplicaGone{1, 1, false}, "starting, generation 2", Reserve},
		),
		"a replica lost during a drain": afterReady(
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, ReplicaGone{1, 1, false}, "draining, generation 1", NoAction},
			step{72, Drained{1}, "idle, generation 1", NoAction},
		),
		"a replica lost during a drain, with demand": afterReady(
			step{70, Quiet{1, time.UnixMilli(0)}, "draining, generation 1, attempt 1", Drain},
			step{71, ReplicaGone{1, 1, false}, "draining, generation 1", NoAction},
			step{72, demand(1), "starting, generation 1", Reserve},
		),
	} {
		t.Run(name, func(t *testing.T) {
			var r Record
			for i, s := range steps {
				var action Action
				r, action = r.Apply(s.event, &testPolicy, time.UnixMilli(int64(s.atS)*1000))
				if r.String() != s.wantRecord || action != s.wantAction {
					t.Fatalf("step %d, %T at %d s: got %s, action %d, want %s, action %d", i, s.event, s.atS, r, action, s.wantRecord, s.wantAction)
				}
			}
		})
	}
}

func TestRestoreContinuesFromRecordAndAttempts(t *testing.T) {
	now := time.UnixMilli(5000)
	for _, c := range []struct {
		record     Record
		replica    uint64 // the attempt whose replica may be on a machine, according to the store
		wantAction Action
		wantRecord string
	}{
		{Record{State: Idle}, 0, NoAction, "idle, generation 0"},
		{Record{State: Idle, Generation: 2}, 4, Stop, "idle, generation 2, attempt 4"},
		{Record{State: Starting, Generation: 1}, 0, Reserve, "starting, generation 1"},
		{Record{State: Starting, Generation: 1, NotBeforeMS: 6000}, 0, NoAction, "starting, generation 1"},
		{Record{State: Starting, Generation: 1}, 4, Start, "starting, generation 1, attempt 4"},
		{Record{State: Starting, Generation: 1, Abandoned: true}, 4, Stop, "starting, generation 1, attempt 4"},
		{Record{State: Starting, Generation: 1, Abandoned: true}, 0, NoAction, "starting, generation 1"},
		{Record{State: Ready, Generation: 1}, 4, NoAction, "ready, generation 1, attempt 4"},
		{Record{State: Ready, Generation: 1}, 0, Reserve, "starting, generation 1"},
		{Record{State: Draining, Generation: 1}, 4, Drain, "draining, generation 1, attempt 4"},
		{Record{State: Draining, Generation: 1}, 0, Drain, "draining, generation 1"},
		{Record{State: Stopping, Generation: 1}, 4, Stop, "stopping, generation 1, attempt 4"},
		{Record{State: Stopping, Generation: 1}, 0, NoAction, "idle, generation 1"},
		{Record{State: Stopping, Generation: 1, WakeWanted: true}, 0, Reserve, "starting, generation 2"},
		{Record{State: Failed, Generation: 1}, 0, NoAction, "failed, generation 1"},
		{Record{State: Failed, Generation: 1}, 4, Stop, "failed, generation 1, attempt 4"},
	} {
		t.Run(fmt.Sprintf("%s, stored attempt %d", c.record, c.replica), func(t *testing.T) {
			restored, action := c.record.Restore(c.replica, &testPolicy, now)
			if action != c.wantAction || restored.String() != c.wantRecord {
				t.Errorf("got %s, action %d, want %s, action %d", restored, action, c.wantRecord, c.wantAction)
			}
		})
	}
}
