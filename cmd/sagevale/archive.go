package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"sagevale/internal/coordination"
	"sagevale/internal/transport"
)

// newArchiveCommand makes the operators' commands on the archive of finished jobs.
func newArchiveCommand(load func(*cobra.Command) (*coordination.Settings, error)) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "archive",
		Short: "Tell where the archive of finished jobs stands",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("archive: a command is missing, such as %s status", cmd.CommandPath())
		},
	}
	cmd.AddCommand(&cobra.Command{
		Use:   "status --config FILE",
		Short: "Read the archive's pages, its backlog in the journal and its gate from the state service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := load(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			status, err := coordination.ReadArchiveStatus(ctx, transport.NewStateClient(settings.StateAddr), settings)
			if err != nil {
				return fmt.Errorf("archive status: %w", err)
			}
			return writeArchiveStatus(cmd.OutOrStdout(), status)
		},
	})
	return cmd
}

// writeArchiveStatus writes a status for people.
func writeArchiveStatus(out io.Writer, status coordination.ArchiveStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	phase := string(status.Gate.Phase)
	if phase == "" {
		phase = "closed"
	}
	stored := status.Stored
	fmt.Fprintf(w, "gate job-archive:\t%s, in use: %s\n", phase, yesNo(status.Gate.Used))
	fmt.Fprintf(w, "waits for:\t%s\n", orNothing(status.Waiting))
	fmt.Fprintf(w, "archived jobs:\t%d\n", stored.Jobs)
	fmt.Fprintf(w, "pages:\t%d (%d KB)\n", stored.Pages, stored.Bytes>>10)
	fmt.Fprintf(w, "backlog:\t%d finished jobs in the journal\n", status.Backlog)
	fmt.Fprintf(w, "open jobs:\t%d\n", status.Open)
	if len(stored.Damaged) == 0 {
		fmt.Fprintf(w, "damaged:\tnone\n")
	}
	for _, what := range stored.Damaged {
		fmt.Fprintf(w, "damaged:\t%s\n", what)
	}
	return w.Flush()
}
