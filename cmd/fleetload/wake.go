package main

import (
	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newWakeCommand returns the command that runs an experiment with models that scale from zero.
func newWakeCommand() *cobra.Command {
	config := fleetload.DefaultWakeConfig()
	var faults []string
	cmd := &cobra.Command{
		Use:   "wake",
		Short: "Scale models from zero by bursts of requests while controllers are killed",
		Long: `wake starts controllers, simulated workers and stand-in model servers, which count their own starts.
In each wake it sends a burst of requests to models that are scaled to zero, and waits until all
requests are answered and the models are scaled to zero again. It injects the faults in the first wake.
It exits with 1 if a model started more than once per wake, a request was not answered, or a rule was
violated.
Faults are as in run, but TIME counts from the first request.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cmd.Flags().Changed("fault") {
				var err error
				if config.Faults, err = parseFaults(faults); err != nil {
					return err
				}
			}
			return runWake(cmd, config)
		},
	}
	flags := cmd.Flags()
	flags.IntVar(&config.Models, "models", config.Models, "models, each a service of one task")
	flags.IntVar(&config.Requests, "requests", config.Requests, "requests to each model in each wake")
	flags.IntVar(&config.Wakes, "wakes", config.Wakes, "how many times all models scale from zero")
	addFleetFlags(cmd, &config.Config)
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "seed of the random choices of the requests")
	flags.DurationVar(&config.Idle, "idle", config.Idle, "time without requests after which a model scales to zero")
	flags.DurationVar(&config.Hold, "hold", config.Hold, "maximum time that a controller holds a request until the model runs; 0: it holds none")
	flags.DurationVar(&config.Patience, "patience", config.Patience, "timeout of a request including its retries, and of the scaling to zero")
	flags.StringArrayVar(&faults, "fault", nil, "fault to inject; may be repeated; without any, the leader is killed")
	return cmd
}

// runWake runs an experiment with models and prints the result.
func runWake(cmd *cobra.Command, config fleetload.WakeConfig) error {
	if err := config.Check(); err != nil {
		return err
	}
	if err := prepareDirAndBinary(cmd, &config.Config); err != nil {
		return err
	}
	result, err := fleetload.Wake(cmd.Context(), config, cmd.ErrOrStderr())
	if result == nil {
		return err
	}
	if writeErr := result.WriteText(cmd.OutOrStdout()); writeErr != nil {
		return writeErr
	}
	if err == nil && len(result.Broken) > 0 {
		err = errRuleViolations
	}
	return err
}
