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

// errRulesBroken reports that an experiment broke a rule, which the result names.
var errRulesBroken = errors.New("a rule was broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "fleetload:", err)
		os.Exit(1) //nolint:gocritic // stop is not needed at exit
	}
}

func newCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:           "fleetload",
		Short:         "Try and measure a fleet of controllers on this machine",
		Long:          "fleetload starts real controllers, stand-ins of the state service and the cloud, hollow\nworkers and users, all on the loopback, and measures what each role spends.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	cmd.AddCommand(newRunCommand(), newFitCommand(), newDemoCommand(), newWakeCommand())
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
