package fleetload

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// checkFlagError checks that err is a FlagError for the flag. The error's message must be one line that begins with the flag.
func checkFlagError(t *testing.T, err error, flag string) {
	t.Helper()
	var flagError *FlagError
	if !errors.As(err, &flagError) {
		t.Fatalf("got error %v, want a FlagError of --%s", err, flag)
	}
	if flagError.Flag != flag || !strings.HasPrefix(err.Error(), "--"+flag+": ") || strings.Contains(err.Error(), "\n") {
		t.Errorf("got error %q of --%s, want one line about --%s", err, flagError.Flag, flag)
	}
}

func TestConfigCheckNamesFlag(t *testing.T) {
	for _, tt := range []struct {
		name, flag string
		change     func(*Config)
	}{
		{"no workers", "workers", func(c *Config) { c.Workers = 0 }},
		{"more workers than the machine holds", "workers", func(c *Config) { c.Workers = 50_000_000 }},
		{"no controllers", "controllers", func(c *Config) { c.Controllers = 0 }},
		{"jobs without tasks", "tasks", func(c *Config) { c.TasksPerJob = 0 }},
		{"no duration", "duration", func(c *Config) { c.Duration = 0 }},
		{"more tasks than slots", "running", func(c *Config) { c.StandingTasks = 1 << 20 }},
		{"lease as short as the heartbeat interval", "lease", func(c *Config) { c.Lease = c.HeartbeatInterval }},
		{"share above 1", "cancelled", func(c *Config) { c.CancelShare = 2 }},
		{"negative finished jobs", "finished", func(c *Config) { c.FinishedJobs = -1 }},
		{"fault after the end", "fault", func(c *Config) { c.Faults = []Fault{{Kind: LeaderKilled, Start: time.Hour}} }},
		{"too little memory", "memory", func(c *Config) { c.MemoryMB = 1 }},
		{"no teams", "teams", func(c *Config) { c.Teams = 0 }},
		{"no changes", "changes", func(c *Config) { c.StoreChangesPerS = 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := DefaultConfig()
			tt.change(&c)
			checkFlagError(t, c.Check(), tt.flag)
		})
	}
}

func TestDefaultConfigIsValid(t *testing.T) {
	c := DefaultConfig()
	if err := c.Check(); err != nil {
		t.Errorf("got error %v, want none", err)
	}
}

func TestWakeConfigCheckNamesFlag(t *testing.T) {
	for _, tt := range []struct {
		name, flag string
		change     func(*WakeConfig)
	}{
		{"no models", "models", func(c *WakeConfig) { c.Models = 0 }},
		{"no requests", "requests", func(c *WakeConfig) { c.Requests = 0 }},
		{"no wakes", "wakes", func(c *WakeConfig) { c.Wakes = 0 }},
		{"idle time below the heartbeat interval", "idle", func(c *WakeConfig) { c.Idle = time.Millisecond }},
		{"patience below the idle time", "patience", func(c *WakeConfig) { c.Patience = time.Second }},
		{"no workers", "workers", func(c *WakeConfig) { c.Workers = 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := DefaultWakeConfig()
			tt.change(&c)
			checkFlagError(t, c.Check(), tt.flag)
		})
	}
}
