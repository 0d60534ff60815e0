package acaciademo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciacheck"
	"github.com/acaciaroute/acaciaroute/acaciatimeline"
)

const (
	engineCount  = 6
	entryCount   = 2
	demoSeed     = 1
	closeTimeout = 30 * time.Second
)

// Run starts a system, sends it load in several phases and writes four measures to w:
// goodput, wasted prefill, the 99th percentile of the time to the first token, and the
// number of violated invariants. If page is not nil, the timeline is written to it as an
// HTML page.
func Run(ctx context.Context, w io.Writer, page io.Writer) error {
	s, err := newSystem(ctx, engineCount, entryCount)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%d entries and %d engines of 3 generations on loopback\n", entryCount, engineCount)
	l := &loadGenerator{system: s, client: &http.Client{}, random: rand.New(rand.NewPCG(demoSeed, demoSeed))}
	var pending sync.WaitGroup
	for _, ph := range phases {
		_, _ = fmt.Fprintf(w, "%s: %.0f requests/s for %s\n", ph.name, ph.rate, ph.length)
		l.runPhase(ctx, ph, &pending)
	}
	pending.Wait()
	events := acaciatimeline.Merge(s.events(), acaciatimeline.Filter{})
	closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	err = s.close(closeCtx)
	violations := acaciacheck.CheckAll(events)
	err = errors.Join(err, writeMeasures(w, l.outcomes, len(violations)))
	for _, v := range violations {
		_, _ = fmt.Fprintln(w, v)
	}
	if page != nil {
		err = errors.Join(err, acaciatimeline.WriteHTML(page, events))
	}
	return err
}

// writeMeasures writes the measures of each phase as a table.
func writeMeasures(w io.Writer, outcomes []outcome, violations int) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "\nphase\trequests")
	for _, c := range classes {
		_, _ = fmt.Fprintf(table, "\t%s", c.name)
	}
	_, _ = fmt.Fprintln(table, "\twasted prefill\tp99 first token\tshed\tfailed")
	for _, ph := range phases {
		writePhase(table, ph.name, outcomes)
	}
	_, _ = fmt.Fprintf(table, "\ncolumns named after classes: goodput, the share of requests within the class's targets; wasted prefill: share of\n"+
		"prompt tokens whose requests ran and missed them; p99 first token: rescue and note; %d violations found by the checks of %d invariants\n", violations, len(acaciacheck.InvariantNames()))
	return table.Flush()
}

// writePhase writes the table row of one phase. The time to the first token covers all
// classes but the last.
func writePhase(w io.Writer, name string, outcomes []outcome) {
	withinTargets := make([]int, len(classes))
	byClass := make([]int, len(classes))
	var firstTokens []time.Duration
	requests, shed, failed, wastedPrefill, totalPrefill := 0, 0, 0, 0, 0
	for _, o := range outcomes {
		if o.phase != name {
			continue
		}
		requests++
		byClass[o.class]++
		switch {
		case o.metTargets():
			withinTargets[o.class]++
		case o.status == http.StatusServiceUnavailable:
			shed++
		case o.status != http.StatusOK || !o.complete:
			failed++
		}
		if o.status == http.StatusOK {
			totalPrefill += o.promptTokens
			if !o.metTargets() {
				wastedPrefill += o.promptTokens
			}
			if o.class < len(classes)-1 {
				firstTokens = append(firstTokens, o.firstToken)
			}
		}
	}
	_, _ = fmt.Fprintf(w, "%s\t%d", name, requests)
	for i := range classes {
		_, _ = fmt.Fprintf(w, "\t%.3f", float64(withinTargets[i])/float64(max(byClass[i], 1)))
	}
	slices.Sort(firstTokens)
	p99FirstToken := time.Duration(0)
	if len(firstTokens) > 0 {
		p99FirstToken = firstTokens[len(firstTokens)*99/100]
	}
	_, _ = fmt.Fprintf(w, "\t%.3f\t%s\t%d\t%d\n", float64(wastedPrefill)/float64(max(totalPrefill, 1)), p99FirstToken.Round(time.Millisecond), shed, failed)
}
