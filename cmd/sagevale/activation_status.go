package main

import (
	"fmt"
	"io"

	"sagevale/internal/activation"
	"sagevale/internal/scheduler"
)

// activationStatus reports the state of services that scale to zero.
var activationStatus = statusCommand{
	name:        "activation",
	short:       "Tell where services stand that hold no machine without demand",
	statusShort: "Read the gate and each service's state, generation and place from the state service",
	report:      newStatusReport(scheduler.ReadActivationStatus, writeActivationStatus),
}

func writeActivationStatus(out io.Writer, status scheduler.ActivationStatus) error {
	table := newTable(out)
	fmt.Fprintf(table, "gate activation:\t%s\n", gateText(status.Gate))
	fmt.Fprintf(table, "waits for:\t%s\n\n", orDash(status.Waiting))
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
			s.ID, s.Class, state, s.Record.Generation, s.Record.Failures, orNone(s.Record.Replica), machine, orDash(s.Why))
	}
	return table.Flush()
}
