package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciagateway"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
)

const maxRolloutsBytes = 16 << 20

func rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollouts",
		Usage: "show how far a gateway has moved services to other software versions, and why",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "gateway", Required: true, Usage: "the gateway's metrics address, as IP:port",
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			explanations, err := fetchRollouts(ctx, c.String("gateway"))
			if err != nil {
				return err
			}
			return writeRollouts(c.Root().Writer, explanations)
		},
	}
}

// fetchRollouts asks a gateway for the state of its orders.
func fetchRollouts(ctx context.Context, address string) ([]acaciarollout.Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+acaciagateway.RolloutsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, &acaciaroute.Error{Code: acaciaroute.CodePeerDown, Detail: "gateway " + address, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != "application/json" {
		return nil, acaciaroute.Errorf(acaciaroute.CodePeerDown, "gateway %s doesn't tell of rollouts: its settings have no exposeShare", address)
	}
	var explanations []acaciarollout.Explanation
	err = json.NewDecoder(io.LimitReader(response.Body, maxRolloutsBytes)).Decode(&explanations)
	return explanations, err
}

// writeRollouts writes a table of the orders and one of their evidence.
func writeRollouts(w io.Writer, explanations []acaciarollout.Explanation) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "SERVICE\tTARGET\tDECIDED\tIN STORE\tSTEP\tSHARE\tSENT THERE\tOF\tAGE\tDURATION\tREASON")
	for _, e := range explanations {
		age := "unknown"
		if e.Age >= 0 {
			age = e.Age.Round(100 * time.Millisecond).String()
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%.3f\t%d\t%d\t%s\t%v\t%s\n", e.Order.Service, e.Order.Target, stateName(e.Verdict), stateName(e.Status),
			e.Step, e.Share, e.SentTarget, e.SentAll, age, e.Order.Duration, e.Reason)
	}
	_, _ = fmt.Fprintln(table, "\nSERVICE\tROUTE\tSIDE\tANSWERS\tFAILED\tSLOW\tBASELINE\tSCORE\tWITHOUT WORST\tWORST ENDPOINT")
	for _, e := range explanations {
		for _, route := range e.Routes {
			name := route.Route
			if name == "" {
				name = "(all)"
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\told\t%d\t%d\t%d\n", e.Order.Service, name, route.Old.Answers, route.Old.Failed, route.Old.Slow)
			_, _ = fmt.Fprintf(table, "%s\t%s\ttarget\t%d\t%d\t%d\t%.3f\t%.2f\t%.2f\t%s\n", e.Order.Service, name, route.Target.Answers, route.Target.Failed, route.Target.Slow,
				route.Baseline, route.Score, route.ScoreWithoutWorst, route.Worst)
		}
	}
	return table.Flush()
}

// stateName returns the name of a state, also of one that isn't there.
func stateName(state acaciarollout.State) string {
	if state == acaciarollout.StateNone {
		return "-"
	}
	return state.String()
}
