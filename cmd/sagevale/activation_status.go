package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"sagevale/internal/activation"
	"sagevale/internal/config"
	"sagevale/internal/scheduler"
	"sagevale/internal/storage"
)

// activationStatus is the operators' command on services that may be at zero.
var activationStatus = statusCommand{
	subject: "activation",
	short:   "Tell where services stand that hold no machine without demand",
	status:  "Read the gate and each service's state, generation and place from the state service",
	write: func(ctx context.Context, svc storage.KeyValueStore, settings *config.Settings, out io.Writer) error {
		status, err := scheduler.ReadActivationStatus(ctx, svc, settings)
		if err != nil {
			return err
		}
		return writeActivationStatus(out, status)
	},
}

// writeActivationStatus writes a status for people.
func writeActivationStatus(out io.Writer, status scheduler.ActivationStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	phase := string(status.Gate.Phase)
	if phase == "" {
		phase = "closed"
	}
	fmt.Fprintf(w, "gate activation:\t%s, in use: %s\n", phase, yesNo(status.Gate.Used))
	fmt.Fprintf(w, "waits for:\t%s\n\n", orNothing(status.Waiting))
	fmt.Fprintln(w, "SERVICE\tCLASS\tSTATE\tGENERATION\tFAILURES\tATTEMPT\tMACHINE\tWHY")
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
		fmt.Fprintf(w, "job-%s\t%s\t%s\t%d\t%d\t%s\t%s\t%s\n", s.ID, s.Class, state, s.Record.Generation, s.Record.Failures, orNone(s.Record.Replica), machine, orNothing(s.Why))
	}
	return w.Flush()
}
