package main

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"sagevale/internal/fleetload"
)

// newFitCommand returns the command that reads several results and fits each of their figures against the figure x.
func newFitCommand() *cobra.Command {
	var x string
	var only []string
	cmd := &cobra.Command{
		Use:   "fit --x FIGURE FILE...",
		Short: "Fit every figure of several results against one figure",
		Long:  "fit reads files written by run --json that differ in one figure, such as config.workers. It prints each\nfigure's slope, its value at 0, and the largest residual as a share of the largest value.",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, files []string) error {
			var results []map[string]float64
			for _, file := range files {
				raw, err := os.ReadFile(file)
				if err != nil {
					return err
				}
				figures, err := fleetload.ParseFigures(raw)
				if err != nil {
					return fmt.Errorf("%s: %w", file, err)
				}
				results = append(results, figures)
			}
			lines, err := fleetload.FitFigures(results, x)
			if err != nil {
				return &fleetload.FlagError{Flag: "x", Reason: err.Error()}
			}
			return printLines(cmd, lines, results, only)
		},
	}
	cmd.Flags().StringVar(&x, "x", "config.workers", "the figure that differs between the results")
	cmd.Flags().StringSliceVar(&only, "only", nil, "print only figures whose names contain one of these texts")
	return cmd
}

// printLines prints the fitted lines as a table. It omits figures that the flag --only does not select.
func printLines(cmd *cobra.Command, lines map[string]fleetload.Line, results []map[string]float64, only []string) error {
	w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "FIGURE\tSLOPE\tAT 0\tRESIDUAL\tMEASURED")
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		if !isSelected(name, only) {
			continue
		}
		var measured []string
		for _, r := range results {
			measured = append(measured, fmt.Sprintf("%.4g", r[name]))
		}
		line := lines[name]
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%.0f%%\t%s\n", name, line.Slope, line.Intercept, 100*line.Residual, strings.Join(measured, " "))
	}
	return w.Flush()
}

// isSelected reports whether a name contains one of the texts of the flag --only. Without such texts, it returns true.
func isSelected(name string, only []string) bool {
	return len(only) == 0 || slices.ContainsFunc(only, func(text string) bool { return strings.Contains(name, text) })
}
