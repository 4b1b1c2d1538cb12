// Package fleetload loads a fleet of real controllers with hollow workers and users, brings
// about faults, and measures what each role spends. It is the engine of cmd/fleetload.
package fleetload

import (
	"fmt"
	"syscall"
	"time"
)

// Config is one experiment.
type Config struct {
	Binary         string        `json:"-"` // the controller's program
	Dir            string        `json:"-"` // for settings and logs
	Controllers    int           `json:"controllers"`
	Workers        int           `json:"workers"`
	Running        int           `json:"running"`       // standing tasks
	PerStanding    int           `json:"per_standing"`  // standing tasks of one job
	StartsPerS     float64       `json:"starts_per_s"`  // of short tasks
	TasksPerJob    int           `json:"tasks_per_job"` // of the short ones
	TaskTime       time.Duration `json:"task_ns"`
	CancelShare    float64       `json:"cancel_share"` // of the short jobs
	UrgentShare    float64       `json:"urgent_share"`
	Teams          int           `json:"teams"`
	Finished       int           `json:"finished"`          // finished jobs that are stored before the start
	Archived       int           `json:"archived"`          // finished jobs that are archived before the start
	FinalPollsPerS float64       `json:"final_polls_per_s"` // polls a second for jobs that were over before the start
	Archive        bool          `json:"archive"`           // switch the archive of finished jobs on
	Fencing        bool          `json:"fencing"`           // have workers' tokens raised within a term
	// ArchiveKeep is how many finished jobs stay out of the archive; below 0: the default.
	ArchiveKeep int           `json:"archive_keep"`
	Report      time.Duration `json:"report_ns"`
	Lease       time.Duration `json:"lease_ns"`
	Fill        time.Duration `json:"fill_ns"` // the longest that the standing tasks may take to run
	Duration    time.Duration `json:"duration_ns"`
	Seed        uint64        `json:"seed"`
	MemoryMB    float64       `json:"memory_mb"` // of a controller, as it is told
	ChangesPerS float64       `json:"changes_per_s"`
	Faults      []Fault       `json:"faults"`
	LogLevel    string        `json:"-"`
}

// DefaultConfig is a small experiment.
func DefaultConfig() Config {
	return Config{
		Controllers: 3, Workers: 100, Running: 500, PerStanding: 200, StartsPerS: 20, TasksPerJob: 10, TaskTime: 5 * time.Second, UrgentShare: 0.1, Teams: 4, FinalPollsPerS: 10, ArchiveKeep: -1,
		Report: 3 * time.Second, Lease: 22 * time.Second, Fill: 5 * time.Minute, Duration: 30 * time.Second, Seed: 1, MemoryMB: 512, ChangesPerS: 500,
		LogLevel: "info",
	}
}

// FlagError names the flag whose value can't be used.
type FlagError struct{ Flag, Reason string }

func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %s", e.Flag, e.Reason) }

// taskSlots is how many tasks of one processor a machine holds.
const taskSlots = 16

// The machine's bounds: hollow workers share this process, and a worker takes up to so much of it.
const (
	workerBytes     = 160 << 10
	taskBytes       = 1 << 10
	filesPerWorker  = 2 // its connection to a controller, and the end of one for orders
	filesBeside     = 500
	memoryShare     = 0.5 // of the machine's
	mostControllers = 16
)

// Check tells the first flag that is wrong, before anything is started.
func (c *Config) Check() error {
	for _, rule := range []struct {
		bad          bool
		flag, reason string
	}{
		{c.Controllers < 1 || c.Controllers > mostControllers, "controllers", fmt.Sprintf("must be from 1 to %d", mostControllers)},
		{c.Workers < 1, "workers", "must be above 0"},
		{c.Running < 0, "running", "must not be negative"},
		{c.PerStanding < 1, "per-standing", "must be above 0"},
		{c.StartsPerS < 0, "starts", "must not be negative"},
		{c.TasksPerJob < 1, "tasks", "must be above 0"},
		{c.TaskTime <= 0, "task-time", "must be above 0"},
		{c.CancelShare < 0 || c.CancelShare > 1, "cancelled", "must be from 0 to 1"},
		{c.UrgentShare < 0 || c.UrgentShare > 1, "urgent", "must be from 0 to 1"},
		{c.Teams < 1, "teams", "must be above 0"},
		{c.Finished < 0, "finished", "must not be negative"},
		{c.Archived < 0, "archived", "must not be negative"},
		{c.Archived > 0 && !c.Archive, "archived", "needs --archive"},
		{c.FinalPollsPerS < 0, "final-polls", "must not be negative"},
		{c.Duration <= 0, "duration", "must be above 0"},
		{c.Report <= 0, "report", "must be above 0"},
		{c.Lease <= c.Report, "lease", "must be longer than --report"},
		{c.Fill <= 0, "fill", "must be above 0"},
		{c.MemoryMB < 16, "memory", "must be at least 16 MB"},
		{c.ChangesPerS <= 0, "changes", "must be above 0"},
		{c.standing()+c.churning() > c.Workers*taskSlots, "running", fmt.Sprintf("%d tasks don't fit on %d workers of %d slots", c.standing()+c.churning(), c.Workers, taskSlots)},
	} {
		if rule.bad {
			return &FlagError{rule.flag, rule.reason}
		}
	}
	for _, f := range c.Faults {
		if f.At+f.For > c.Duration {
			return &FlagError{"fault", fmt.Sprintf("%s lasts beyond --duration %v", f, c.Duration)}
		}
	}
	return c.checkMachine()
}

// standing is how many tasks run throughout, churning how many short ones at a time.
func (c *Config) standing() int { return c.Running }
func (c *Config) churning() int { return int(c.StartsPerS * c.TaskTime.Seconds()) }

// checkMachine tells what this machine can't hold.
func (c *Config) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		if most := (int(min(files.Max, 1<<30)) - filesBeside) / filesPerWorker; c.Workers > most {
			return &FlagError{"workers", fmt.Sprintf("%d open files allow %d workers", files.Max, most)}
		}
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return nil //nolint:nilerr // not known, so not checked
	}
	needed := int64(c.Workers)*workerBytes + int64(c.standing()+c.churning())*taskBytes + int64(c.Controllers)*int64(c.MemoryMB*(1<<20))
	if most := int64(float64(info.Totalram) * float64(info.Unit) * memoryShare); needed > most {
		return &FlagError{"workers", fmt.Sprintf("with --memory, needs %d MB: more than half of the machine's, %d MB", needed>>20, most>>20)}
	}
	return nil
}
