// Command standins-2 plays the scripted cases of the second review: it starts gateways as processes, and the store, the
// replicas and the clients that they need.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case couldn't be played.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is a case: it returns how often the rule was broken.
type play func(b *bed) (broken int, err error)

var plays = map[string]play{
	"refused": playRefused,
	"options": playOptions,
	// The part stands behind the first 32 of a long conversation.
	"deadly-late": deadly{partsBefore: 36, soundRate: 4, deadlyRate: 2}.play,
	// A replica crashes when it has written two events.
	"deadly-begun": deadly{partsBefore: 5, eventsBefore: 2, soundRate: 20, deadlyRate: 1}.play,
	// Neither: this one is expected to hold.
	"deadly": deadly{partsBefore: 5, soundRate: 4, deadlyRate: 2}.play,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "", "the project's program")
	record := flag.String("record", "record.txt", "the file that tells what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*name, *program, *record))
}

func run(name, program, record string) int {
	play, known := plays[name]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	b, err := newBed(program, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer b.close()
	// A script that is stopped must not leave its processes behind.
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stops
		b.close()
		os.Exit(exitFailed)
	}()
	b.store.put("keyed.op", "config", []byte(configuration))
	broken, err := play(b)
	if err != nil {
		b.note("the case couldn't be played: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	b.note("the rule was broken %d times", broken)
	fmt.Printf("the rule was broken %d times\n", broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
