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
		Short: "Carry out one experiment and print what each role spends",
		Long: `run starts controllers and hollow workers, waits until the standing tasks run, and measures
while short jobs come and go. It exits with 1 if a task ran twice, a team was beyond its
limit, a cancelled job's task stayed too long, or an answer broke a rule.

Faults are KIND[:AMOUNT]@TIME[+DURATION], from the beginning of the measured part:
  leader@10s            the leader's process ends, and is started again
  all@10s               all controllers' processes likewise
  silent:0.1@10s+5s     a tenth of the workers is silent for 5 s
  state-out@10s+5s      the state service refuses everything for 5 s
  state-slow:0.2@10s+5s it takes 0.2 s longer for 5 s
  zone@10s              all workers of a zone are gone
  burst:1500@10s        so many jobs of one task are submitted at once`,
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
	flags.IntVar(&config.StandingTasks, "running", config.StandingTasks, "standing tasks")
	flags.IntVar(&config.TasksPerStandingJob, "per-standing", config.TasksPerStandingJob, "standing tasks of one job")
	flags.Float64Var(&config.StartsPerS, "starts", config.StartsPerS, "starts of short tasks a second")
	flags.IntVar(&config.TasksPerJob, "tasks", config.TasksPerJob, "tasks of a short job")
	flags.DurationVar(&config.TaskTime, "task-time", config.TaskTime, "how long a short task runs")
	flags.Float64Var(&config.CancelShare, "cancelled", config.CancelShare, "share of the short jobs that is cancelled")
	flags.Float64Var(&config.UrgentShare, "urgent", config.UrgentShare, "share of the short jobs that is urgent")
	flags.IntVar(&config.Teams, "teams", config.Teams, "teams, each with a limit")
	flags.IntVar(&config.Finished, "finished", config.Finished, "finished jobs that are stored before the start")
	flags.IntVar(&config.Archived, "archived", config.Archived, "finished jobs that are archived before the start")
	flags.Float64Var(&config.FinalPollsPerS, "final-polls", config.FinalPollsPerS, "polls a second for jobs that were finished before the start")
	flags.BoolVar(&config.Archive, "archive", config.Archive, "switch the archive of finished jobs on")
	flags.BoolVar(&config.Fencing, "fencing", config.Fencing, "have workers' tokens raised within a term")
	flags.IntVar(&config.ArchiveKeep, "archive-keep", config.ArchiveKeep, "finished jobs that stay out of the archive; below 0: the default")
	flags.DurationVar(&config.FillTimeout, "fill", config.FillTimeout, "the longest that the standing tasks may take to run")
	flags.DurationVar(&config.Duration, "duration", config.Duration, "how long is measured")
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "of the load's random numbers")
	flags.Float64Var(&config.MemoryMB, "memory", config.MemoryMB, "MB that a controller is told it has")
	flags.Float64Var(&config.ChangesPerS, "changes", config.ChangesPerS, "changes a second that the state service is said to take")
	flags.StringArrayVar(&faults, "fault", nil, "a fault; may be given several times")
	flags.StringVar(&jsonFile, "json", "", "file for the result as JSON")
	return cmd
}

// addFleetFlags adds the flags of all commands that run experiments.
func addFleetFlags(cmd *cobra.Command, config *fleetload.Config) {
	flags := cmd.Flags()
	flags.IntVar(&config.Controllers, "controllers", config.Controllers, "controllers")
	flags.IntVar(&config.Workers, "workers", config.Workers, "hollow workers of 16 processors each")
	flags.DurationVar(&config.HeartbeatInterval, "report", config.HeartbeatInterval, "a worker's report interval")
	flags.DurationVar(&config.Lease, "lease", config.Lease, "a worker's lease")
	flags.StringVar(&config.LogLevel, "log", config.LogLevel, "the controllers' log level")
	flags.StringVar(&config.Binary, "binary", "", "the controllers' program; empty: built from this source")
	flags.StringVar(&config.Dir, "dir", "", "folder for settings and logs; empty: a new one, removed at the end")
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

// runExperiment runs an experiment, prints the result and writes it to jsonFile, unless that is empty.
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
	if err := prepare(cmd, &config); err != nil {
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
	if err == nil && len(result.Broken) > 0 {
		err = errRulesBroken
	}
	return err
}

// prepare creates the directory and builds the program if the configuration names none. The directory is
// removed at the end of the command.
func prepare(cmd *cobra.Command, config *fleetload.Config) error {
	if config.Dir == "" {
		dir, err := os.MkdirTemp("", "fleetload")
		if err != nil {
			return fmt.Errorf("make a folder: %w", err)
		}
		config.Dir = dir
		cobra.OnFinalize(func() { _ = os.RemoveAll(dir) })
	}
	if config.Binary == "" {
		binary, err := fleetload.Program(cmd.Context(), config.Dir)
		if err != nil {
			return err
		}
		config.Binary = binary
	}
	return nil
}
