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
	Binary               string        `json:"-"` // path of the controllers' executable
	Dir                  string        `json:"-"` // directory for the controllers' settings and logs
	Controllers          int           `json:"controllers"`
	Workers              int           `json:"workers"`
	StandingTasks        int           `json:"running"`       // number of standing tasks, which run for the whole experiment
	TasksPerStandingJob  int           `json:"per_standing"`  // standing tasks per job
	StartsPerS           float64       `json:"starts_per_s"`  // short tasks to start per second
	TasksPerJob          int           `json:"tasks_per_job"` // tasks per short job
	TaskTime             time.Duration `json:"task_ns"`       // run time of a short task
	CancelShare          float64       `json:"cancel_share"`  // share of the short jobs that users cancel
	UrgentShare          float64       `json:"urgent_share"`  // share of the short jobs that are urgent
	Teams                int           `json:"teams"`
	FinishedJobs         int           `json:"finished"`          // finished jobs stored in the journal before the controllers start
	ArchivedJobs         int           `json:"archived"`          // finished jobs stored in the archive before the controllers start
	FinishedJobPollsPerS float64       `json:"final_polls_per_s"` // polls per second for the jobs of FinishedJobs and ArchivedJobs
	EnableArchive        bool          `json:"archive"`           // enables the archive of finished jobs
	EnableFencing        bool          `json:"fencing"`           // the leader raises workers' fencing tokens during its term
	// ArchiveKeep is the number of finished jobs that the controllers keep in the journal; negative: their default.
	ArchiveKeep       int           `json:"archive_keep"`
	HeartbeatInterval time.Duration `json:"report_ns"`
	Lease             time.Duration `json:"lease_ns"`    // duration of a worker's lease
	FillTimeout       time.Duration `json:"fill_ns"`     // how long the experiment waits until all standing tasks run
	Duration          time.Duration `json:"duration_ns"` // duration of the measurement
	Seed              uint64        `json:"seed"`
	MemoryMB          float64       `json:"memory_mb"`     // memory limit in a controller's settings
	StoreChangesPerS  float64       `json:"changes_per_s"` // write limit of the store in the controllers' settings, in changes per second
	Faults            []Fault       `json:"faults"`
	LogLevel          string        `json:"-"` // log level of the controllers
}

// DefaultConfig returns the configuration of a small experiment.
func DefaultConfig() Config {
	return Config{
		Controllers: 3, Workers: 100, StandingTasks: 500, TasksPerStandingJob: 200,
		StartsPerS: 20, TasksPerJob: 10, TaskTime: 5 * time.Second, UrgentShare: 0.1, Teams: 4,
		FinishedJobPollsPerS: 10, ArchiveKeep: -1,
		HeartbeatInterval: 3 * time.Second, Lease: 22 * time.Second, FillTimeout: 5 * time.Minute, Duration: 30 * time.Second,
		Seed: 1, MemoryMB: 512, StoreChangesPerS: 500, LogLevel: "info",
	}
}

// FlagError reports an unusable value of a command-line flag.
type FlagError struct{ Flag, Reason string }

func (e *FlagError) Error() string { return fmt.Sprintf("--%s: %s", e.Flag, e.Reason) }

// slotsPerWorker is the number of one-processor tasks that a worker can run at a time.
const slotsPerWorker = 16

// The resources that an experiment takes, and its limits on this machine. All simulated workers run in this process.
const (
	workerBytes    = 160 << 10 // memory per worker
	taskBytes      = 1 << 10   // memory per task
	filesPerWorker = 2         // connections: one for heartbeats, one for direct commands
	reservedFiles  = 500       // open files of this process that are not connections of workers
	maxMemoryShare = 0.5       // of this machine's memory
	maxControllers = 16
)

// flagRule is a rule for a flag's value, with the result of checking the value.
type flagRule struct {
	violated     bool
	flag, reason string // fields of the FlagError that is returned if the rule is violated
}

// checkFlags returns a FlagError for the first violated rule, and nil if no rule is violated.
func checkFlags(rules []flagRule) error {
	for _, rule := range rules {
		if rule.violated {
			return &FlagError{rule.flag, rule.reason}
		}
	}
	return nil
}

// Check returns a FlagError for the first unusable value, and nil if the experiment can run on this machine.
func (c *Config) Check() error {
	tasks := c.standingTasks() + c.concurrentShortTasks()
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
		{c.FinishedJobs < 0, "finished", "must not be negative"},
		{c.ArchivedJobs < 0, "archived", "must not be negative"},
		{c.ArchivedJobs > 0 && !c.EnableArchive, "archived", "needs --archive"},
		{c.FinishedJobPollsPerS < 0, "final-polls", "must not be negative"},
		{c.Duration <= 0, "duration", "must be above 0"},
		{c.HeartbeatInterval <= 0, "report", "must be above 0"},
		{c.Lease <= c.HeartbeatInterval, "lease", "must be longer than --report"},
		{c.FillTimeout <= 0, "fill", "must be above 0"},
		{c.MemoryMB < 16, "memory", "must be at least 16 MB"},
		{c.StoreChangesPerS <= 0, "changes", "must be above 0"},
		{tasks > c.Workers*slotsPerWorker, "running", fmt.Sprintf("%d tasks do not fit on %d workers with %d slots each", tasks, c.Workers, slotsPerWorker)},
	}); err != nil {
		return err
	}
	for _, f := range c.Faults {
		if f.Start+f.Duration > c.Duration {
			return &FlagError{"fault", fmt.Sprintf("%s does not end within --duration %v", f, c.Duration)}
		}
	}
	return c.checkMachine()
}

// standingTasks returns the number of tasks that run for the whole experiment.
func (c *Config) standingTasks() int { return c.StandingTasks }

// concurrentShortTasks returns the expected number of short tasks that run at the same time.
func (c *Config) concurrentShortTasks() int { return int(c.StartsPerS * c.TaskTime.Seconds()) }

// checkMachine returns a FlagError if the experiment exceeds the limits of this machine.
func (c *Config) checkMachine() error {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		if limit := (int(min(files.Max, 1<<30)) - reservedFiles) / filesPerWorker; c.Workers > limit {
			return &FlagError{"workers", fmt.Sprintf("the limit of %d open files allows at most %d workers", files.Max, limit)}
		}
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return nil //nolint:nilerr // the memory is not checked if its size is unknown
	}
	needed := int64(c.Workers)*workerBytes + int64(c.standingTasks()+c.concurrentShortTasks())*taskBytes + int64(c.Controllers)*int64(c.MemoryMB*(1<<20))
	if limit := int64(float64(info.Totalram) * float64(info.Unit) * maxMemoryShare); needed > limit {
		return &FlagError{"workers", fmt.Sprintf("needs %d MB together with --memory; the limit is half of this machine's memory, %d MB", needed>>20, limit>>20)}
	}
	return nil
}
