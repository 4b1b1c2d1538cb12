package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"sagevale/internal/config"
	"sagevale/internal/scheduler"
	"sagevale/internal/storage"
)

// upgradeStatus is the operators' command on upgrades.
var upgradeStatus = statusCommand{
	subject: "upgrade",
	short:   "Tell where an upgrade of the controllers stands",
	status:  "Read the active version, the gates and each controller's versions from the state service",
	write: func(ctx context.Context, svc storage.KeyValueStore, settings *config.Settings, out io.Writer) error {
		status, err := scheduler.ReadUpgradeStatus(ctx, svc, settings)
		if err != nil {
			return err
		}
		return writeStatus(out, status)
	},
}

// writeStatus writes a status for people.
func writeStatus(out io.Writer, status scheduler.UpgradeStatus) error {
	record := status.Record
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(cells ...any) {
		text := make([]string, len(cells))
		for i, cell := range cells {
			text[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(w, strings.Join(text, "\t"))
	}
	line("active version:", record.Active)
	line("finalized version:", orNone(uint64(record.Minimum)))
	line("phase:", record.Phase)
	line("fenced below:", orNone(uint64(record.Fence)))
	line("leader:", leaderText(status))
	line("waits for:", orNothing(status.Waiting))
	line()
	line("GATE", "SINCE", "PHASE", "IN USE")
	for _, name := range record.GateNames() {
		gate := record.Gate(name)
		line(name, gate.Since, gate.Phase, yesNo(gate.Used))
	}
	line()
	line("NODE", "VERSIONS", "SESSION", "ALIVE")
	for _, node := range status.Nodes {
		line(node.Node, versionsText(node), orNothing(node.Session), yesNo(node.Alive))
	}
	return w.Flush()
}

func orNone(n uint64) string {
	if n == 0 {
		return "none"
	}
	return fmt.Sprint(n)
}

func orNothing(text string) string {
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

func leaderText(status scheduler.UpgradeStatus) string {
	if status.Leader == "" {
		return "none"
	}
	return fmt.Sprintf("%s (term %d)", status.Leader, status.Term)
}

func versionsText(node scheduler.NodeVersions) string {
	switch {
	case node.Damaged:
		return "damaged"
	case node.Versions.Max == 0:
		return "not registered"
	}
	return node.Versions.String()
}
