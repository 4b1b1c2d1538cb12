// Command fleetload tests and measures a fleet of real controllers on one machine, with simulated
// workers, users and faults, over HTTP on the loopback interface.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// errRuleViolations reports that an experiment found rule violations, which the printed result lists.
var errRuleViolations = errors.New("the experiment found rule violations")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fleetload:", err)
		os.Exit(1) //nolint:gocritic // stop is not needed at exit
	}
}

// newCommand returns the root command.
func newCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "fleetload",
		Short:         "Test and measure a fleet of controllers on this machine",
		Long:          "fleetload starts real controllers, stand-ins for the key-value store and the cloud, and simulated\nworkers and users, all on the loopback interface, and measures the resource usage of each role.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newRunCommand(), newFitCommand(), newDemoCommand(), newWakeCommand())
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
