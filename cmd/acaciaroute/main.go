package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
)

// The exit codes of the program.
const (
	// exitFailed stands for every failure that has no exit code of its own.
	exitFailed = 1
	// exitBadFile means that a settings or targets file is invalid.
	exitBadFile = 2
	// exitRefused means that a publication was refused because a newer version is in force
	// than the one on which it was based.
	exitRefused = 3
	// exitUnknown means that it is unknown whether a publication was accepted.
	exitUnknown = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acaciaroute:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code for an error, from which a script can decide how to
// proceed; docs/ERRORS.md lists the codes.
func exitCode(err error) int {
	var coded *acaciaroute.Error
	if !errors.As(err, &coded) {
		return exitFailed
	}
	switch coded.Code {
	case acaciaroute.CodeBadSettings, acaciaroute.CodeBadTargets:
		return exitBadFile
	case acaciaroute.CodePublicationStale:
		return exitRefused
	case acaciaroute.CodePublicationUnknown:
		return exitUnknown
	}
	return exitFailed
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "acaciaroute",
		Usage: "a request scheduler for heterogeneous engines",
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			gatewayCommand(),
			checkCommand(),
			publishCommand(),
			statusCommand(),
			rolloutsCommand(),
			explainCommand(),
			timelineCommand(),
			demoCommand(),
		},
	}
}
