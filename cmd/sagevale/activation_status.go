package main

import (
	"fmt"
	"io"

	"sagevale/internal/activation"
	"sagevale/internal/scheduler"
)

// activationStatus is the command that shows the state of services that scale to zero.
var activationStatus = statusCommand{
	name:        "activation",
	short:       "Show the state of the services that scale to zero",
	statusShort: "Read the upgrade gate and each service's state, generation and machine from the state service",
	report:      newStatusReport(scheduler.ReadActivationStatus, writeActivationStatus),
}

func writeActivationStatus(out io.Writer, status scheduler.ActivationStatus) error {
	table := newTable(out)
	fmt.Fprintf(table, "gate activation:\t%s\n", gateText(status.Gate))
	fmt.Fprintf(table, "waits for:\t%s\n\n", textOrDash(status.WaitsFor))
	fmt.Fprintln(table, "SERVICE\tCLASS\tSTATE\tGENERATION\tFAILURES\tATTEMPT\tMACHINE\tWHY")
	for _, s := range status.Services {
		state, machine := string(s.Record.State), "-"
		switch {
		case s.Damaged != "":
			state = "damaged"
		case !s.Managed:
			state = "always"
		}
		if s.Record.Replica != activation.NoReplica {
			machine = fmt.Sprint(s.Machine)
		}
		fmt.Fprintf(table, "job-%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n",
			s.ID, s.Class, state, s.Record.Generation, s.Record.Failures, numberOrNone(s.Record.Replica), machine, textOrDash(s.Reason))
	}
	return table.Flush()
}
