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
	exitFailed  = 1
	exitBadFile = 2
	exitRefused = 3
	exitUnknown = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acaciaroute:", err)
		os.Exit(exitCode(err))
	}
}

// exitCode tells scripts what to do about an error; docs/ERRORS.md lists the codes.
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

func command() *cli.Command {
	return &cli.Command{
		Name:  "acaciaroute",
		Usage: "a request scheduler for unlike engines",
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			gatewayCommand(),
			checkCommand(),
			publishCommand(),
			statusCommand(),
			timelineCommand(),
			demoCommand(),
		},
	}
}
