package main

import (
	"fmt"
	"io"
	"strings"

	"sagevale/internal/upgradecontrol"
)

// upgradeStatus is the command that shows the state of a rolling upgrade.
var upgradeStatus = statusCommand{
	name:        "upgrade",
	short:       "Show the state of a rolling upgrade of the controllers",
	statusShort: "Read the active version, the gates and each controller's versions from the state service",
	report:      newStatusReport(upgradecontrol.ReadStatus, writeUpgradeStatus),
}

// writeUpgradeStatus writes three tables: the upgrade's state, its gates and its controllers.
func writeUpgradeStatus(out io.Writer, status upgradecontrol.Status) error {
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
	row("finalized version:", numberOrNone(uint64(record.Minimum)))
	row("phase:", record.Phase)
	row("fenced below:", numberOrNone(uint64(record.Fence)))
	row("leader:", leaderText(status))
	row("waits for:", textOrDash(status.Waiting))
	row()
	row("GATE", "SINCE", "PHASE", "IN USE")
	for _, name := range record.GateNames() {
		gate := record.Gate(name)
		row(name, gate.Since, gate.Phase, yesNo(gate.Used))
	}
	row()
	row("NODE", "VERSIONS", "SESSION", "ALIVE")
	for _, controller := range status.Controllers {
		row(controller.Name, versionsText(controller), textOrDash(controller.Session), yesNo(controller.Alive))
	}
	return table.Flush()
}

func leaderText(status upgradecontrol.Status) string {
	if status.Leader == "" {
		return "none"
	}
	return fmt.Sprintf("%s (term %d)", status.Leader, status.Term)
}

func versionsText(controller upgradecontrol.ControllerVersions) string {
	switch {
	case controller.Damaged:
		return "damaged"
	case controller.Versions.Max == 0:
		return "not registered"
	}
	return controller.Versions.String()
}
