package main

import (
	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newDemoCommand returns the command that demonstrates a failover.
func newDemoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Demonstrate a failover of three controllers, in less than a minute",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			config := fleetload.DefaultConfig()
			if err := prepareDirAndBinary(cmd, &config); err != nil {
				return err
			}
			return fleetload.Demo(cmd.Context(), config, cmd.OutOrStdout())
		},
	}
}
