package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newRunCommand returns the command that runs one experiment.
func newRunCommand() *cobra.Command {
	config := fleetload.DefaultConfig()
	var jsonFile string
	var faults []string
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run one experiment and print the resource usage of each role",
		Long: `run starts controllers and simulated workers, submits standing tasks, which run for the whole
experiment, and measures while short jobs are submitted, completed or cancelled. It exits with 1 if a
task ran twice at the same time, a team exceeded its limit, a task ran too long after its job was
cancelled, or a response violated a rule.

Faults are KIND[:AMOUNT]@TIME[+DURATION]. TIME counts from the beginning of the measurement:
  leader@10s            kills and restarts the leader's process
  all@10s               kills and restarts the processes of all controllers
  silent:0.1@10s+5s     makes a tenth of the workers unresponsive for 5 s
  state-out@10s+5s      makes the key-value store refuse all requests for 5 s
  state-slow:0.2@10s+5s delays each request to the key-value store by 0.2 s for 5 s
  zone@10s              deletes all workers of a zone
  burst:1500@10s        submits 1500 jobs of one task each at the same time`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if config.Faults, err = parseFaults(faults); err != nil {
				return err
			}
			return runExperiment(cmd, config, jsonFile)
		},
	}
	flags := cmd.Flags()
	addFleetFlags(cmd, &config)
	flags.IntVar(&config.StandingTasks, "running", config.StandingTasks, "standing tasks, which run for the whole experiment")
	flags.IntVar(&config.TasksPerStandingJob, "per-standing", config.TasksPerStandingJob, "standing tasks per job")
	flags.Float64Var(&config.StartsPerS, "starts", config.StartsPerS, "short tasks to start per second")
	flags.IntVar(&config.TasksPerJob, "tasks", config.TasksPerJob, "tasks per short job")
	flags.DurationVar(&config.TaskTime, "task-time", config.TaskTime, "run time of a short task")
	flags.Float64Var(&config.CancelShare, "cancelled", config.CancelShare, "share of the short jobs that are cancelled")
	flags.Float64Var(&config.UrgentShare, "urgent", config.UrgentShare, "share of the short jobs that are urgent")
	flags.IntVar(&config.Teams, "teams", config.Teams, "teams, each with a processor limit")
	flags.IntVar(&config.FinishedJobs, "finished", config.FinishedJobs, "finished jobs that are stored in the journal before the controllers start")
	flags.IntVar(&config.ArchivedJobs, "archived", config.ArchivedJobs, "finished jobs that are stored in the archive before the controllers start")
	flags.Float64Var(&config.FinishedJobPollsPerS, "final-polls", config.FinishedJobPollsPerS, "polls per second for all jobs that are stored before the controllers start")
	flags.BoolVar(&config.EnableArchive, "archive", config.EnableArchive, "enable the archive of finished jobs")
	flags.BoolVar(&config.EnableFencing, "fencing", config.EnableFencing, "let the leader raise a worker's fencing token during the leader's term")
	flags.IntVar(&config.ArchiveKeep, "archive-keep", config.ArchiveKeep, "finished jobs that stay in the journal instead of the archive; negative: the controllers' default")
	flags.DurationVar(&config.FillTimeout, "fill", config.FillTimeout, "maximum time until all standing tasks run")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "duration of the measurement")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the random choices of the load")
	flags.Float64Var(&config.MemoryMB, "memory", config.MemoryMB, "memory limit in a controller's settings, in MB")
	flags.Float64Var(&config.StoreChangesPerS, "changes", config.StoreChangesPerS, "write limit of the key-value store in the controllers' settings, in changes per second")
	flags.StringArrayVar(&faults, "fault", nil, "fault to inject; may be repeated")
	flags.StringVar(&jsonFile, "json", "", "file to write the result to, as JSON")
	return cmd
}

// addFleetFlags adds the flags that the commands run and wake share.
func addFleetFlags(cmd *cobra.Command, config *fleetload.Config) {
	flags := cmd.Flags()
	flags.IntVar(&config.Controllers, "controllers", config.Controllers, "number of controllers")
	flags.IntVar(&config.Workers, "workers", config.Workers, "simulated workers of 16 processors each")
	flags.DurationVar(&config.HeartbeatInterval, "report", config.HeartbeatInterval, "heartbeat interval of a worker")
	flags.DurationVar(&config.Lease, "lease", config.Lease, "duration of a worker's lease")
	flags.StringVar(&config.LogLevel, "log", config.LogLevel, "log level of the controllers")
	flags.StringVar(&config.Binary, "binary", "", "path of the controllers' executable; empty: built from this source tree")
	flags.StringVar(&config.Dir, "dir", "", "directory for settings and logs; empty: a new one, removed at the end")
}

// parseFaults parses the values of --fault.
func parseFaults(texts []string) ([]fleetload.Fault, error) {
	var faults []fleetload.Fault
	for _, text := range texts {
		f, err := fleetload.ParseFault(text)
		if err != nil {
			return nil, err
		}
		faults = append(faults, f)
	}
	return faults, nil
}

// runExperiment runs an experiment, prints the result and writes it to jsonFile, unless jsonFile is empty.
func runExperiment(cmd *cobra.Command, config fleetload.Config, jsonFile string) (err error) {
	if err := config.Check(); err != nil {
		return err
	}
	var out *os.File
	if jsonFile != "" {
		if out, err = os.Create(jsonFile); err != nil {
			return &fleetload.FlagError{Flag: "json", Reason: err.Error()}
		}
		defer func() {
			if closeErr := out.Close(); err == nil {
				err = closeErr
			}
		}()
	}
	if err := prepareDirAndBinary(cmd, &config); err != nil {
		return err
	}
	result, err := fleetload.Run(cmd.Context(), config, cmd.ErrOrStderr())
	if result == nil {
		return err
	}
	if writeErr := result.WriteText(cmd.OutOrStdout()); writeErr != nil {
		return writeErr
	}
	if out != nil {
		if writeErr := result.WriteJSON(out); writeErr != nil {
			return fmt.Errorf("write result: %w", writeErr)
		}
	}
	if err == nil && len(result.Violations) > 0 {
		err = errRuleViolations
	}
	return err
}

// prepareDirAndBinary creates a directory if config.Dir is empty, and builds the controllers' program if config.Binary is
// empty. The created directory is removed at the end of the command.
func prepareDirAndBinary(cmd *cobra.Command, config *fleetload.Config) error {
	if config.Dir == "" {
		dir, err := os.MkdirTemp("", "fleetload")
		if err != nil {
			return fmt.Errorf("create a directory for the experiment: %w", err)
		}
		config.Dir = dir
		cobra.OnFinalize(func() { _ = os.RemoveAll(dir) })
	}
	if config.Binary == "" {
		binary, err := fleetload.BuildProgram(cmd.Context(), config.Dir)
		if err != nil {
			return err
		}
		config.Binary = binary
	}
	return nil
}
