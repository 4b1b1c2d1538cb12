package main

import (
	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newWakeCommand returns the command that wakes models from zero.
func newWakeCommand() *cobra.Command {
	config := fleetload.DefaultWakeConfig()
	var faults []string
	cmd := &cobra.Command{
		Use:   "wake",
		Short: "Wake models from zero by bursts of requests while controllers end",
		Long: `wake starts controllers, hollow workers and stand-in model servers that count their own starts,
has a burst of requests come for models at zero, brings the faults about as of the first wake's
first demand, and waits until the models are at zero again, so many times. It exits with 1 on
a second start in a wake, a request without an answer, or a broken rule. Faults are as in run.`,
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
	flags.IntVar(&config.Wakes, "wakes", config.Wakes, "how often all models wake")
	addFleetFlags(cmd, &config.Config)
	flags.Uint64Var(&config.Seed, "seed", config.Seed, "of the requests' random numbers")
	flags.DurationVar(&config.Idle, "idle", config.Idle, "how long without requests until a model goes back to zero")
	flags.DurationVar(&config.Hold, "hold", config.Hold, "the longest that a request is held; 0: none is")
	flags.DurationVar(&config.Patience, "patience", config.Patience, "the longest that a request, or a way back to zero, may take")
	flags.StringArrayVar(&faults, "fault", nil, "a fault; may be given several times; without any the leader ends")
	return cmd
}

// runWake runs an experiment with models and prints the result.
func runWake(cmd *cobra.Command, config fleetload.WakeConfig) error {
	if err := config.Check(); err != nil {
		return err
	}
	if err := prepare(cmd, &config.Config); err != nil {
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
		err = errRulesBroken
	}
	return err
}
