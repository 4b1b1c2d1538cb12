package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/transport"
)

// statusTimeout is how long the state service may take for all of a status.
const statusTimeout = 10 * time.Second

// loader reads the settings that a command was given.
type loader func(*cobra.Command) (*config.Settings, error)

// statusCommand is a subject of the operators with the one command status, which reads the state service and
// writes nothing there.
type statusCommand struct {
	subject string
	short   string // of the subject
	status  string // of its status
	write   func(ctx context.Context, svc storage.KeyValueStore, settings *config.Settings, out io.Writer) error
}

// build makes the commands.
func (s statusCommand) build(load loader) *cobra.Command {
	cmd := &cobra.Command{
		Use:   s.subject,
		Short: s.short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("%s: a command is missing, such as %s status", s.subject, cmd.CommandPath())
		},
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "status --config FILE",
		Short: s.status,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := load(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			if err := s.write(ctx, transport.NewKeyValueClient(settings.StateAddr), settings, cmd.OutOrStdout()); err != nil {
				return fmt.Errorf("%s status: %w", s.subject, err)
			}
			return nil
		},
	})
	return cmd
}
