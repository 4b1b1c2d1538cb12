// Command sagevale schedules fleets of rented machines that serve language
// models.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"sagevale/internal/config"
	"sagevale/internal/protocol"
)

// version is the program's version.
const version = "0.1.0"

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sagevale:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var configPath, propertiesPath string
	var check bool
	load := func(cmd *cobra.Command) (*config.Settings, error) {
		settings, err := protocol.LoadSettings(configPath, propertiesPath)
		if err != nil {
			return nil, err
		}
		for _, warning := range settings.Warnings {
			fmt.Fprintln(cmd.ErrOrStderr(), "sagevale: warning:", warning)
		}
		return settings, nil
	}
	cmd := &cobra.Command{
		Use:           "sagevale --config FILE",
		Short:         "Schedule fleets of rented machines that serve language models",
		Long:          "sagevale takes jobs from users, rents machines from a cloud, and decides what\nruns where. LOG_LEVEL (error, info, debug) sets how much is logged.",
		Args:          cobra.NoArgs,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := load(cmd)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are fine")
				return nil
			}
			return serve(cmd.Context(), settings)
		},
	}
	cmd.PersistentFlags().StringVar(&configPath, "config", "", "the platform's settings (TOML)")
	cmd.PersistentFlags().StringVar(&propertiesPath, "properties", "", "the operators' own settings (Java-style properties, optional)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if err := cmd.MarkPersistentFlagRequired("config"); err != nil {
		panic(err)
	}
	cmd.AddCommand(upgradeStatus.build(load), archiveStatus.build(load), activationStatus.build(load))
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
