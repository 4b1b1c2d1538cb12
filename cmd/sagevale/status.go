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

// statusTimeout is the time within which a status command must read the key-value store.
const statusTimeout = 10 * time.Second

// statusCommand describes a command whose only subcommand is status. The subcommand reads the key-value store and
// writes nothing to it.
type statusCommand struct {
	name        string
	short       string // description of the command
	statusShort string // description of the status subcommand
	report      statusReport
}

// statusReport reads a status from store and writes it to out in human-readable form. It returns the error of reading or
// writing.
type statusReport func(ctx context.Context, store storage.KeyValueStore, settings *config.Settings, out io.Writer) error

// newStatusReport returns a statusReport that calls read and passes the result to write.
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

// command returns the command with its status subcommand.
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

// newTable returns a writer that aligns cells in columns. The caller separates the cells of a line with tabs. Flush returns
// the error of any earlier write.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// gateText describes the state of an upgrade gate, which is open when every controller supports the gate's feature.
func gateText(gate upgrade.GateState) string {
	phase := string(gate.Phase)
	if phase == "" {
		phase = "closed"
	}
	return fmt.Sprintf("%s, in use: %s", phase, yesNo(gate.Used))
}

// numberOrNone returns a number as text, or "none" for 0.
func numberOrNone(n uint64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

// textOrDash returns text, or a dash if it is empty.
func textOrDash(text string) string {
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
