package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciademo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a small system with stand-ins through an overload, a slow engine and an engine crash",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "html", Usage: "write the timeline to this file as an HTML page"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	var page io.Writer
	if path := c.String("html"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		page = file
	}
	return acaciademo.Run(ctx, c.Root().Writer, page)
}
