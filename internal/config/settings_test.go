package config

import (
	"testing"
	"time"

	"sagevale/internal/storage"
)

// Each batch of reports wakes a follower and the leader, so a controller with a smaller share of a core must send
// fewer batches.
func TestBatchWindowWidensAsCPUShareFalls(t *testing.T) {
	if got := (&Settings{HeartbeatInterval: time.Minute, CPUShare: 0.001}).BatchWindow(); got > WorkerResponseTimeout/8 {
		t.Errorf("the batch window is %v, want at most an eighth of the %v that a worker waits", got, WorkerResponseTimeout)
	}
	for _, c := range []struct {
		share float64
		want  time.Duration
	}{
		{0, 31250 * time.Microsecond}, {1, 31250 * time.Microsecond}, {0.25, 31250 * time.Microsecond},
		{0.125, 62500 * time.Microsecond}, {0.03125, 250 * time.Millisecond}, {0.001, 250 * time.Millisecond},
	} {
		s := Settings{HeartbeatInterval: 4 * time.Second, CPUShare: c.share}
		if got := s.BatchWindow(); got != c.want {
			t.Errorf("at a CPU share of %v the batch window is %v", c.share, got)
		}
	}
}

// With an ample share of a core, links between controllers are tested at the shortest interval. With a smaller share, the
// interval is longer, but at most twice as long.
func TestLinkTestIntervalFollowsCPUShare(t *testing.T) {
	for share, want := range map[float64]time.Duration{0: minLinkTestInterval, 1: minLinkTestInterval, 0.25: minLinkTestInterval, 0.2: 5 * minLinkTestInterval / 4, 0.036: maxLinkTestInterval} {
		if got := (&Settings{CPUShare: share}).LinkTestInterval(); got != want {
			t.Errorf("at a CPU share of %v links are tested every %v", share, got)
		}
	}
}

func TestMaxScaleOutIsStepOrFleetSize(t *testing.T) {
	tuning := Tuning{ScaleOutStep: 50}
	for size, want := range map[int]int{0: 50, 30: 50, 51: 51, 400: 400} {
		if got := tuning.MaxScaleOut(size); got != want {
			t.Errorf("a fleet of %d may grow by %d, not %d", size, got, want)
		}
	}
}

// Machines are terminated one at a time, with a cooldown before the next one. In a large fleet, the cooldown must be shorter,
// so that removing many machines doesn't take hours.
func TestCooldownShrinksWithFleetSize(t *testing.T) {
	s := Settings{WorkerLease: 22 * time.Second}
	s.Tuning = s.DefaultTuning()
	small, large := s.Tuning.CooldownFor(CooldownFleetSize/2), s.Tuning.CooldownFor(8*CooldownFleetSize)
	if small != s.Tuning.Cooldown || large != s.Tuning.Cooldown/8 {
		t.Errorf("cooldowns of %v and %v", small, large)
	}
}

// opportunisticSpec returns the specification of a job that Settings.IsOpportunistic accepts.
func opportunisticSpec() storage.Spec {
	return storage.Spec{ID: "000001", Class: "idle", Team: "team", Tasks: 1, Priority: storage.PriorityBestEffort, Spot: true}
}

func TestIsOpportunistic(t *testing.T) {
	s := Settings{
		Teams:      []Team{{Name: "team"}, {Name: "guaranteed", Guarantee: storage.Resources{CPUs: 1}}},
		Objectives: []Objective{{Kind: "finished", Class: "promised"}},
	}
	for _, c := range []struct {
		name   string
		change func(*storage.Spec)
		want   bool
	}{
		{"best effort", func(*storage.Spec) {}, true},
		{"a priority", func(j *storage.Spec) { j.Priority = storage.PriorityNormal }, false},
		{"a deadline", func(j *storage.Spec) { j.DeadlineS = 60 }, false},
		{"a service", func(j *storage.Spec) { j.Service = true }, false},
		{"a gang", func(j *storage.Spec) { j.Gang = true }, false},
		{"a guarantee", func(j *storage.Spec) { j.Team = "guaranteed" }, false},
		{"an objective", func(j *storage.Spec) { j.Class = "promised" }, false},
		{"another class's objective", func(j *storage.Spec) { j.Class = "other" }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := opportunisticSpec()
			c.change(&spec)
			if got := s.IsOpportunistic(&spec); got != c.want {
				t.Errorf("IsOpportunistic() = %v, want %v", got, c.want)
			}
		})
	}
}
