package main

import (
	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newDemoCommand returns the command that demonstrates a failover.
func newDemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Show three controllers at work, one of them ended, within a minute",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config := fleetload.DefaultConfig()
			if err := prepare(cmd, &config); err != nil {
				return err
			}
			return fleetload.Demo(cmd.Context(), config, cmd.OutOrStdout())
		},
	}
}
