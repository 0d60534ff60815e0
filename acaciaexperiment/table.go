package acaciaexperiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes measures as a table with one row for each scenario and policy.
func WriteTable(w io.Writer, workload Workload, rows []Measures) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "%s\tpolicy", workload.Name)
	for _, class := range workload.Classes {
		_, _ = fmt.Fprintf(table, "\t%s", class.Name)
	}
	_, _ = fmt.Fprintln(table, "\twasted\tcrest\tp99 first\tsmall share\tlag\tjain\torder\tunknown\tlink MB\tshed/cut/late/slow")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s", row.Scenario, row.Policy)
		for _, goodput := range row.Goodput {
			_, _ = fmt.Fprintf(table, "\t%.3f", goodput)
		}
		_, _ = fmt.Fprintf(table, "\t%.4f\t%.3f\t%s\t%.2f\t%.2f\t%.3f\t%d\t%d\t%.1f\t%v\n", row.WastedPrefill, row.SwingGoodput,
			row.FirstTokenP99.Round(time.Millisecond), row.SmallShare, row.SmallLag, row.JainIndex, row.ShedOrderViolations, row.UnknownOutcomes, float64(row.LinkBytes)/1e6, row.Failures)
	}
	return table.Flush()
}
