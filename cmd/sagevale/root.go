package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"sagevale/internal/config"
	"sagevale/internal/protocol"
)

// settingsFlags holds the flags that all commands have.
type settingsFlags struct {
	configPath, propertiesPath string
}

// load reads the settings from the files that the flags name, and prints warnings about the settings to standard error.
func (f *settingsFlags) load(cmd *cobra.Command) (*config.Settings, error) {
	settings, err := protocol.LoadSettings(f.configPath, f.propertiesPath)
	if err != nil {
		return nil, err
	}
	for _, warning := range settings.Warnings {
		fmt.Fprintln(cmd.ErrOrStderr(), "sagevale: warning:", warning)
	}
	return settings, nil
}

// newRootCommand returns the command that runs a controller, with its subcommands.
func newRootCommand() *cobra.Command {
	var flags settingsFlags
	var check bool
	cmd := &cobra.Command{
		Use:           "sagevale --config FILE",
		Short:         "Schedule fleets of rented machines that serve language models",
		Long:          "sagevale takes jobs from users, rents machines from a cloud, and decides what\nruns where. LOG_LEVEL (error, info, debug) sets how much is logged.",
		Args:          cobra.NoArgs,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := flags.load(cmd)
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
	cmd.PersistentFlags().StringVar(&flags.configPath, "config", "", "the platform's settings (TOML)")
	cmd.PersistentFlags().StringVar(&flags.propertiesPath, "properties", "", "the operators' own settings (Java-style properties, optional)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	if err := cmd.MarkPersistentFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
	for _, status := range []statusCommand{upgradeStatus, archiveStatus, activationStatus} {
		cmd.AddCommand(status.command(&flags))
	}
	cmd.CompletionOptions.DisableDefaultCmd = true
	return cmd
}
