// Command standins-3 runs the cases 11 to 15 of the review: it starts gateways as separate processes, with the platform's
// store, replicas and clients in this process, and records what was sent, answered and run.
//
//	standins-3 CASE FOLDER
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// A caseRun plays a case and reports whether the rule was broken.
type caseRun func(f *fleet, trouble bool) (broken bool, err error)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// caseLimit ends a case that hangs, below the 120 s that a script may run.
	caseLimit = 110 * time.Second
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE FOLDER; cases:")
		for name := range cases {
			fmt.Fprintln(os.Stderr, " ", name)
		}
		return exitFailed
	}
	chosen := cases[os.Args[1]]
	record, err := openRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.close()
	f, err := newFleet(record, chosen.gateways)
	if err != nil {
		record.printf("could not start: %v", err)
		return exitFailed
	}
	defer f.close()
	timer := time.AfterFunc(caseLimit, func() {
		record.printf("the case did not end in time")
		f.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.printf("case %s, disruption %t", os.Args[1], trouble)
	broken, err := chosen.run(f, trouble)
	switch {
	case err != nil:
		record.printf("could not run: %v", err)
		return exitFailed
	case broken:
		record.printf("RULE BROKEN")
		return exitBroken
	}
	record.printf("rule held")
	return exitHeld
}
