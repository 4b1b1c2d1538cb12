package main

import (
	"fmt"
	"io"

	"sagevale/internal/scheduler"
)

// archiveStatus is the command that shows the state of the archive of finished jobs.
var archiveStatus = statusCommand{
	name:        "archive",
	short:       "Show the state of the archive of finished jobs",
	statusShort: "Read the archive's pages, its backlog in the journal and its upgrade gate from the state service",
	report:      newStatusReport(scheduler.ReadArchiveStatus, writeArchiveStatus),
}

func writeArchiveStatus(out io.Writer, status scheduler.ArchiveStatus) error {
	stored := status.Stored
	table := newTable(out)
	fmt.Fprintf(table, "gate job-archive:\t%s\n", gateText(status.Gate))
	fmt.Fprintf(table, "waits for:\t%s\n", textOrDash(status.WaitsFor))
	fmt.Fprintf(table, "archived jobs:\t%d\n", stored.Jobs)
	fmt.Fprintf(table, "pages:\t%d (%d KB)\n", stored.Pages, stored.Bytes>>10)
	fmt.Fprintf(table, "backlog:\t%d finished jobs in the journal\n", status.FinishedInJournal)
	fmt.Fprintf(table, "open jobs:\t%d\n", status.Open)
	if len(stored.Damaged) == 0 {
		fmt.Fprintf(table, "damaged:\tnone\n")
	}
	for _, damage := range stored.Damaged {
		fmt.Fprintf(table, "damaged:\t%s\n", damage)
	}
	return table.Flush()
}
