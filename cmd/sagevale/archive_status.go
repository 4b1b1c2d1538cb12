package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"sagevale/internal/config"
	"sagevale/internal/scheduler"
	"sagevale/internal/storage"
)

// archiveStatus is the operators' command on the archive of finished jobs.
var archiveStatus = statusCommand{
	subject: "archive",
	short:   "Tell where the archive of finished jobs stands",
	status:  "Read the archive's pages, its backlog in the journal and its gate from the state service",
	write: func(ctx context.Context, svc storage.KeyValueStore, settings *config.Settings, out io.Writer) error {
		status, err := scheduler.ReadArchiveStatus(ctx, svc, settings)
		if err != nil {
			return err
		}
		return writeArchiveStatus(out, status)
	},
}

// writeArchiveStatus writes a status for people.
func writeArchiveStatus(out io.Writer, status scheduler.ArchiveStatus) error {
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
