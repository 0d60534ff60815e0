package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

const (
	shutdownTime = 2 * time.Second
	// weightInterval is the time between two transfers that the weight store allows.
	weightInterval = time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP:port"}
	return &cli.Command{
		Name:  "acaciastandin",
		Usage: "stand-ins for the systems outside acaciaroute",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "a log service, a VM list and a weight store",
				Flags:  []cli.Flag{listen},
				Action: runPlatform,
			},
			{
				Name:  "engine",
				Usage: "a model engine",
				Flags: []cli.Flag{
					listen,
					&cli.IntFlag{Name: "generation", Usage: "hardware generation: 0, 1 or 2"},
					&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with old fencing numbers"},
				},
				Action: runEngine,
			},
			{
				Name:   "plain",
				Usage:  "a plain service",
				Flags:  []cli.Flag{listen},
				Action: runPlain,
			},
		},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, acaciastandin.NewPlatformHandler(acaciastandin.NewLog(), acaciastandin.NewVMList(), acaciastandin.NewWeightStore(weightInterval)))
}

func runEngine(ctx context.Context, c *cli.Command) error {
	generation := c.Int("generation")
	if generation < 0 || generation >= len(acaciastandin.Generations) {
		return fmt.Errorf("generation %d does not exist", generation)
	}
	engine := acaciastandin.NewEngineServer(ctx, acaciastandin.Generations[generation], c.Bool("fenced"))
	defer engine.Close()
	return serve(ctx, c, engine)
}

func runPlain(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, acaciastandin.NewPlainServer())
}

func serve(ctx context.Context, c *cli.Command, handler http.Handler) error {
	server := &http.Server{Addr: c.String("listen"), Handler: handler, ReadHeaderTimeout: shutdownTime}
	served := make(chan error, 1)
	go func() { served <- server.ListenAndServe() }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}
