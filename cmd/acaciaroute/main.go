package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "acaciaroute:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "acaciaroute",
		Usage: "a request scheduler for unlike engines",
		Commands: []*cli.Command{
			entryCommand(),
			agentCommand(),
			checkCommand(),
			publishCommand(),
			statusCommand(),
			timelineCommand(),
			demoCommand(),
		},
	}
}
