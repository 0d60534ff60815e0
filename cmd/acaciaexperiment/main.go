package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciaexperiment"
	"github.com/acaciaroute/acaciaroute/acaciaplot"
)

func main() {
	if err := newCommand().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "acaciaexperiment",
		Usage: "compare scheduling policies on fixed workloads",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only these scenarios"},
			&cli.StringSliceFlag{Name: "policy", Usage: "run only these policies"},
			&cli.StringSliceFlag{Name: "workload", Usage: "run only these workloads"},
			&cli.StringFlag{Name: "plots", Usage: "write plots of the share of requests within targets over time to this directory"},
			&cli.Float64Flag{Name: "capacity", Usage: "use this capacity in requests per second instead of the workload's own"},
		},
		Action: runComparison,
	}
}

func runComparison(_ context.Context, c *cli.Command) error {
	workloads := selectByFlag(c, "workload", acaciaexperiment.Workloads, func(w acaciaexperiment.Workload) string { return w.Name })
	for _, workload := range workloads {
		if capacity := c.Float64("capacity"); capacity > 0 {
			workload.Capacity = capacity
		}
		scenarios := selectByFlag(c, "scenario", acaciaexperiment.Scenarios, func(s acaciaexperiment.Scenario) string { return s.Name })
		variants := selectByFlag(c, "policy", acaciaexperiment.PolicyVariants, func(p acaciaexperiment.PolicyVariant) string { return p.Name })
		rows := acaciaexperiment.Compare(workload, scenarios, variants, c.Uint64("seed"))
		if err := acaciaexperiment.WriteTable(os.Stdout, workload, rows); err != nil {
			return err
		}
		if dir := c.String("plots"); dir != "" {
			if err := acaciaplot.WriteScenarioPlots(dir, workload, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// selectByFlag returns the items whose names are listed in the flag, or all items if the
// flag is not set.
func selectByFlag[T any](c *cli.Command, flag string, items []T, name func(T) string) []T {
	names := c.StringSlice(flag)
	if len(names) == 0 {
		return items
	}
	return slices.DeleteFunc(slices.Clone(items), func(item T) bool { return !slices.Contains(names, name(item)) })
}
