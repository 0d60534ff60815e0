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
	engineCount = 6
	entryCount  = 2
	demoSeed    = 1
	closeTime   = 30 * time.Second
)

// Run starts a system, sends it load through several phases and writes the four
// measures; page, if not nil, gets the time line.
func Run(ctx context.Context, w io.Writer, page io.Writer) error {
	p, err := newPool(ctx, engineCount, entryCount)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "%d entries and %d engines of 3 generations on loopback\n", entryCount, engineCount)
	l := &load{pool: p, client: &http.Client{}, random: rand.New(rand.NewPCG(demoSeed, demoSeed))}
	var pending sync.WaitGroup
	for _, ph := range phases {
		_, _ = fmt.Fprintf(w, "%s: %.0f requests/s for %s\n", ph.name, ph.rate, ph.length)
		l.play(ctx, ph, &pending)
	}
	pending.Wait()
	events := acaciatimeline.Merge(p.events(), acaciatimeline.Window{})
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTime)
	defer cancel()
	err = p.close(closing)
	violations := acaciacheck.All(events)
	err = errors.Join(err, writeMeasures(w, l.outcomes, len(violations)))
	for _, v := range violations {
		_, _ = fmt.Fprintln(w, v)
	}
	if page != nil {
		err = errors.Join(err, acaciatimeline.WriteHTML(page, events))
	}
	return err
}

// writeMeasures writes the four measures by phase.
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
	_, _ = fmt.Fprintf(table, "\ngoodput: share of requests within their class's targets; wasted prefill: prompt tokens of requests\n"+
		"that ran and missed them; p99 first token: rescue and note; %d of %d invariants' checks were breached\n", violations, len(acaciacheck.Names()))
	return table.Flush()
}

func writePhase(w io.Writer, name string, outcomes []outcome) {
	good := make([]int, len(classes))
	all := make([]int, len(classes))
	var firsts []time.Duration
	requests, shed, failed, wasted, prefill := 0, 0, 0, 0, 0
	for _, o := range outcomes {
		if o.phase != name {
			continue
		}
		requests++
		all[o.class]++
		switch {
		case o.good():
			good[o.class]++
		case o.status == http.StatusServiceUnavailable:
			shed++
		case o.status != http.StatusOK || !o.whole:
			failed++
		}
		if o.status == http.StatusOK {
			prefill += o.prompt
			if !o.good() {
				wasted += o.prompt
			}
			if o.class < len(classes)-1 {
				firsts = append(firsts, o.first)
			}
		}
	}
	_, _ = fmt.Fprintf(w, "%s\t%d", name, requests)
	for i := range classes {
		_, _ = fmt.Fprintf(w, "\t%.3f", float64(good[i])/float64(max(all[i], 1)))
	}
	slices.Sort(firsts)
	tail := time.Duration(0)
	if len(firsts) > 0 {
		tail = firsts[len(firsts)*99/100]
	}
	_, _ = fmt.Fprintf(w, "\t%.3f\t%s\t%d\t%d\n", float64(wasted)/float64(max(prefill, 1)), tail.Round(time.Millisecond), shed, failed)
}
