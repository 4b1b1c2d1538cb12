// Package fleetload runs experiments with a fleet of real controllers: it simulates workers
// and users, injects faults, and measures the resource usage of each role. It is the engine
// of cmd/fleetload.
package fleetload

import (
	"fmt"
	"syscall"
	"time"
)

// Config describes one experiment.
type Config struct {
	Binary              string        `json:"-"` // path of the controllers' program
	Dir                 string        `json:"-"` // for the controllers' settings and logs
	Controllers         int           `json:"controllers"`
	Workers             int           `json:"workers"`
	StandingTasks       int           `json:"running"`       // tasks that run throughout
	TasksPerStandingJob int           `json:"per_standing"`  // such tasks of one job
	StartsPerS          float64       `json:"starts_per_s"`  // of short tasks
	TasksPerJob         int           `json:"tasks_per_job"` // of the short jobs
	TaskTime            time.Duration `json:"task_ns"`
	CancelShare         float64       `json:"cancel_share"` // of the short jobs
	UrgentShare         float64       `json:"urgent_share"`
	Teams               int           `json:"teams"`
	Finished            int           `json:"finished"`          // finished jobs that are stored in the journal before the start
	Archived            int           `json:"archived"`          // finished jobs that are stored in the archive before the start
	FinalPollsPerS      float64       `json:"final_polls_per_s"` // polls per second of jobs that were stored before the start
	Archive             bool          `json:"archive"`           // enable the archive of finished jobs
	Fencing             bool          `json:"fencing"`           // raise the workers' fencing tokens within a term
	// ArchiveKeep is the number of finished jobs that stay out of the archive; negative: the default.
	ArchiveKeep       int           `json:"archive_keep"`
	HeartbeatInterval time.Duration `json:"report_ns"`
	Lease             time.Duration `json:"lease_ns"`
	FillTimeout       time.Duration `json:"fill_ns"` // limit of the time until the standing tasks run
	Duration          time.Duration `json:"duration_ns"`
	Seed              uint64        `json:"seed"`
	MemoryMB          float64       `json:"memory_mb"` // that a controller is configured with
	ChangesPerS       float64       `json:"changes_per_s"`
	Faults            []Fault       `json:"faults"`
	LogLevel          string        `json:"-"`
}

// DefaultConfig returns a small experiment.
func DefaultConfig() Config {
	return Config{
		Controllers: 3, Workers: 100, StandingTasks: 500, TasksPerStandingJob: 200,
		StartsPerS: 20, TasksPerJob: 10, TaskTime: 5 * time.Second, UrgentShare: 0.1, Teams: 4,
		FinalPollsPerS: 10, ArchiveKeep: -1,
		HeartbeatInterval: 3 * time.Second, Lease: 22 * time.Second, FillTimeout: 5 * time.Minute, Duration: 30 * time.Second,
		Seed: 1, MemoryMB: 512, ChangesPerS: 500, LogLevel: "info",
	}
}

// FlagError is an unusable value of a command line flag.
type FlagError struct{ Flag, Reason string }

func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %s", e.Flag, e.Reason) }

// taskSlots is the number of tasks of one processor that a machine can run.
const taskSlots = 16

// Limits of this machine. All hollow workers share this process.
const (
	workerBytes    = 160 << 10 // memory of a worker
	taskBytes      = 1 << 10   // memory of a task
	filesPerWorker = 2         // connections: one for heartbeats, one for direct commands
	reservedFiles  = 500       // for all but the workers
	memoryShare    = 0.5       // of the machine's memory that may be used
	maxControllers = 16
)

// flagRule is a condition under which the value of a flag is unusable.
type flagRule struct {
	violated     bool
	flag, reason string
}

// checkFlags returns a FlagError for the first violated rule.
func checkFlags(rules []flagRule) error {
	for _, rule := range rules {
		if rule.violated {
			return &FlagError{rule.flag, rule.reason}
		}
	}
	return nil
}

// Check returns a FlagError for the first unusable value. It starts nothing.
func (c *Config) Check() error {
	tasks := c.standingTasks() + c.shortTasks()
	if err := checkFlags([]flagRule{
		{c.Controllers < 1 || c.Controllers > maxControllers, "controllers", fmt.Sprintf("must be from 1 to %d", maxControllers)},
		{c.Workers < 1, "workers", "must be above 0"},
		{c.StandingTasks < 0, "running", "must not be negative"},
		{c.TasksPerStandingJob < 1, "per-standing", "must be above 0"},
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
		{c.HeartbeatInterval <= 0, "report", "must be above 0"},
		{c.Lease <= c.HeartbeatInterval, "lease", "must be longer than --report"},
		{c.FillTimeout <= 0, "fill", "must be above 0"},
		{c.MemoryMB < 16, "memory", "must be at least 16 MB"},
		{c.ChangesPerS <= 0, "changes", "must be above 0"},
		{tasks > c.Workers*taskSlots, "running", fmt.Sprintf("%d tasks don't fit on %d workers of %d slots", tasks, c.Workers, taskSlots)},
	}); err != nil {
		return err
	}
	for _, f := range c.Faults {
		if f.Start+f.Duration > c.Duration {
			return &FlagError{"fault", fmt.Sprintf("%s lasts beyond --duration %v", f, c.Duration)}
		}
	}
	return c.checkMachine()
}

// standingTasks returns the number of tasks that run throughout, shortTasks that of short tasks at a time.
func (c *Config) standingTasks() int { return c.StandingTasks }
func (c *Config) shortTasks() int    { return int(c.StartsPerS * c.TaskTime.Seconds()) }

// checkMachine returns a FlagError if the experiment exceeds the limits of this machine.
func (c *Config) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		if limit := (int(min(files.Max, 1<<30)) - reservedFiles) / filesPerWorker; c.Workers > limit {
			return &FlagError{"workers", fmt.Sprintf("%d open files allow %d workers", files.Max, limit)}
		}
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return nil //nolint:nilerr // the memory is not known, so it is not checked
	}
	needed := int64(c.Workers)*workerBytes + int64(c.standingTasks()+c.shortTasks())*taskBytes + int64(c.Controllers)*int64(c.MemoryMB*(1<<20))
	if limit := int64(float64(info.Totalram) * float64(info.Unit) * memoryShare); needed > limit {
		return &FlagError{"workers", fmt.Sprintf("with --memory, needs %d MB: more than half of the machine's, %d MB", needed>>20, limit>>20)}
	}
	return nil
}
