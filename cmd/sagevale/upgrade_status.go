package main

import (
	"fmt"
	"io"
	"strings"

	"sagevale/internal/scheduler"
)

// upgradeStatus reports the state of a rolling upgrade.
var upgradeStatus = statusCommand{
	name:        "upgrade",
	short:       "Tell where an upgrade of the controllers stands",
	statusShort: "Read the active version, the gates and each controller's versions from the state service",
	report:      newStatusReport(scheduler.ReadUpgradeStatus, writeUpgradeStatus),
}

// writeUpgradeStatus writes the status, its gates and its controllers as a table each.
func writeUpgradeStatus(out io.Writer, status scheduler.UpgradeStatus) error {
	table := newTable(out)
	row := func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = fmt.Sprint(cell)
		}
		fmt.Fprintln(table, strings.Join(texts, "\t"))
	}
	record := status.Record
	row("active version:", record.Active)
	row("finalized version:", orNone(uint64(record.Minimum)))
	row("phase:", record.Phase)
	row("fenced below:", orNone(uint64(record.Fence)))
	row("leader:", leaderText(status))
	row("waits for:", orDash(status.Waiting))
	row()
	row("GATE", "SINCE", "PHASE", "IN USE")
	for _, name := range record.GateNames() {
		gate := record.Gate(name)
		row(name, gate.Since, gate.Phase, yesNo(gate.Used))
	}
	row()
	row("NODE", "VERSIONS", "SESSION", "ALIVE")
	for _, node := range status.Nodes {
		row(node.Node, versionsText(node), orDash(node.Session), yesNo(node.Alive))
	}
	return table.Flush()
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
