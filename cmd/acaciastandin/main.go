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
	// shutdownTimeout limits the time for open requests to end when the program stops,
	// and the time in which a caller must send a request header.
	shutdownTimeout = 2 * time.Second
	// weightTransferInterval is the minimum time between two transfers that the weight
	// store allows.
	weightTransferInterval = time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func newCommand() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Required: true, Usage: "IP:port"}
	return &cli.Command{
		Name:  "acaciastandin",
		Usage: "run stand-ins for the external systems that acaciaroute uses",
		Commands: []*cli.Command{
			{
				Name:   "platform",
				Usage:  "run a platform: a log service, a VM list and a weight store",
				Flags:  []cli.Flag{listen},
				Action: runPlatform,
			},
			{
				Name:  "engine",
				Usage: "run a model engine",
				Flags: []cli.Flag{
					listen,
					&cli.IntFlag{Name: "generation", Usage: "hardware generation of the engine: 0, 1 or 2"},
					&cli.BoolFlag{Name: "fenced", Usage: "refuse orders with outdated fencing numbers"},
				},
				Action: runEngine,
			},
			{
				Name:   "plain",
				Usage:  "run a plain service",
				Flags:  []cli.Flag{listen},
				Action: runPlain,
			},
		},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, acaciastandin.NewPlatformHandler(acaciastandin.NewLog(), acaciastandin.NewVMList(), acaciastandin.NewWeightStore(weightTransferInterval)))
}

func runEngine(ctx context.Context, c *cli.Command) error {
	generation := c.Int("generation")
	if generation < 0 || generation >= len(acaciastandin.Generations) {
		return fmt.Errorf("unknown hardware generation %d", generation)
	}
	engine := acaciastandin.NewEngineServer(ctx, acaciastandin.Generations[generation], c.Bool("fenced"))
	defer engine.Close()
	return serve(ctx, c, engine)
}

func runPlain(ctx context.Context, c *cli.Command) error {
	return serve(ctx, c, acaciastandin.NewPlainServer())
}

func serve(ctx context.Context, c *cli.Command, handler http.Handler) error {
	server := &http.Server{Addr: c.String("listen"), Handler: handler, ReadHeaderTimeout: shutdownTimeout}
	served := make(chan error, 1)
	go func() { served <- server.ListenAndServe() }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Join(err, server.Close())
	}
	return nil
}
