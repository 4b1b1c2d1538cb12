package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"sagevale/internal/coordination"
	"sagevale/internal/transport"
)

// statusTimeout is how long the state service may take for all of a status.
const statusTimeout = 10 * time.Second

// newUpgradeCommand makes the operators' commands on upgrades.
func newUpgradeCommand(load func(*cobra.Command) (*coordination.Settings, error)) *cobra.Command {
	upgrade := &cobra.Command{
		Use:   "upgrade",
		Short: "Tell where an upgrade of the controllers stands",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return fmt.Errorf("upgrade: a command is missing, such as %s status", cmd.CommandPath())
		},
	}
	upgrade.AddCommand(&cobra.Command{
		Use:   "status --config FILE",
		Short: "Read the active version, the gates and each controller's versions from the state service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := load(cmd)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), statusTimeout)
			defer cancel()
			status, err := coordination.ReadUpgradeStatus(ctx, transport.NewStateClient(settings.StateAddr), settings)
			if err != nil {
				return fmt.Errorf("upgrade status: %w", err)
			}
			return writeStatus(cmd.OutOrStdout(), status)
		},
	})
	return upgrade
}

// writeStatus writes a status for people.
func writeStatus(out io.Writer, status coordination.UpgradeStatus) error {
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

func leaderText(status coordination.UpgradeStatus) string {
	if status.Leader == "" {
		return "none"
	}
	return fmt.Sprintf("%s (term %d)", status.Leader, status.Term)
}

func versionsText(node coordination.NodeVersions) string {
	switch {
	case node.Damaged:
		return "damaged"
	case node.Versions.Max == 0:
		return "not registered"
	}
	return node.Versions.String()
}
