package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sagevale/internal/config"
	"sagevale/internal/storage"
	"sagevale/internal/transport"
	"sagevale/internal/upgrade"
)

// statusTimeout is how long a status command may take to read the key-value store.
const statusTimeout = 10 * time.Second

// statusCommand is a command with the one subcommand status, which reads the key-value store and writes nothing there.
type statusCommand struct {
	name        string
	short       string // description of the command
	statusShort string // description of its status
	report      statusReport
}

// statusReport reads a status and writes it for people. Its error is that of reading the store or of writing to out.
type statusReport func(ctx context.Context, store storage.KeyValueStore, settings *config.Settings, out io.Writer) error

// newStatusReport returns the report that writes what read returns.
func newStatusReport[S any](
	read func(context.Context, storage.KeyValueStore, *config.Settings) (S, error),
	write func(io.Writer, S) error,
) statusReport {
	return func(ctx context.Context, store storage.KeyValueStore, settings *config.Settings, out io.Writer) error {
		status, err := read(ctx, store, settings)
		if err != nil {
			return err
		}
		return write(out, status)
	}
}

// command returns the command.
func (s statusCommand) command(flags *settingsFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:   s.name,
		Short: s.short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("%s: a command is missing, such as %s status", s.name, cmd.CommandPath())
		},
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "status --config FILE",
		Short: s.statusShort,
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return s.run(cmd, flags) },
	})
	return cmd
}

// run writes the status to the command's output.
func (s statusCommand) run(cmd *cobra.Command, flags *settingsFlags) error {
	settings, err := flags.load(cmd)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
	defer cancel()
	if err := s.report(ctx, transport.NewKeyValueClient(settings.StateAddr), settings, cmd.OutOrStdout()); err != nil {
		return fmt.Errorf("%s status: %w", s.name, err)
	}
	return nil
}

// newTable returns a writer that aligns cells, which end with tabs. Its Flush returns the error of any write.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// gateText describes the state of an upgrade gate.
func gateText(gate upgrade.GateState) string {
	phase := string(gate.Phase)
	if phase == "" {
		phase = "closed"
	}
	return fmt.Sprintf("%s, in use: %s", phase, yesNo(gate.Used))
}

// orNone returns a number, or none for 0.
func orNone(n uint64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

// orDash returns a text, or a dash for an empty one.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
