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
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "acaciaexperiment",
		Usage: "compare scheduling policies",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the trace"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "only these scenarios"},
			&cli.StringSliceFlag{Name: "policy", Usage: "only these policies"},
			&cli.StringSliceFlag{Name: "workload", Usage: "only these workloads"},
			&cli.StringFlag{Name: "plots", Usage: "draw the share within targets over time into this directory"},
			&cli.Float64Flag{Name: "capacity", Usage: "use this capacity in requests per second"},
		},
		Action: compare,
	}
}

func compare(_ context.Context, c *cli.Command) error {
	workloads := pick(c, "workload", acaciaexperiment.Workloads, func(w acaciaexperiment.Workload) string { return w.Name })
	for _, workload := range workloads {
		if capacity := c.Float64("capacity"); capacity > 0 {
			workload.Capacity = capacity
		}
		scenarios := pick(c, "scenario", acaciaexperiment.Scenarios, func(s acaciaexperiment.Scenario) string { return s.Name })
		contenders := pick(c, "policy", acaciaexperiment.Contenders, func(p acaciaexperiment.Contender) string { return p.Name })
		rows := acaciaexperiment.Compare(workload, scenarios, contenders, c.Uint64("seed"))
		if err := acaciaexperiment.WriteTable(os.Stdout, workload, rows); err != nil {
			return err
		}
		if dir := c.String("plots"); dir != "" {
			if err := acaciaplot.WriteAll(dir, workload, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

// pick returns the items whose names pass a flag that lists names.
func pick[T any](c *cli.Command, flag string, items []T, name func(T) string) []T {
	names := c.StringSlice(flag)
	if len(names) == 0 {
		return items
	}
	return slices.DeleteFunc(slices.Clone(items), func(item T) bool { return !slices.Contains(names, name(item)) })
}
