package main

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaagent"
	"github.com/acaciaroute/acaciaroute/acaciaengine"
	"github.com/acaciaroute/acaciaroute/acaciaentry"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// runner is a process of the system that can be started and stopped.
type runner interface {
	Start(ctx context.Context) error
	Close(ctx context.Context) error
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "settings file"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:   "entry",
		Usage:  "run an entry",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runEntry,
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:   "agent",
		Usage:  "run the agent beside an endpoint",
		Flags:  []cli.Flag{settingsFlag()},
		Action: runAgent,
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := acaciasetting.Load(c.String("settings"))
	if err != nil {
		return err
	}
	if settings.Entry == nil {
		return acaciaroute.Errorf(acaciaroute.CodeBadSettings, "line 1: entry: table is missing")
	}
	process := newProcess(settings, acaciaroute.RoleEntry)
	return runUntil(ctx, acaciaentry.New(context.Background(), process), settings)
}

func runAgent(ctx context.Context, c *cli.Command) error {
	settings, err := acaciasetting.Load(c.String("settings"))
	if err != nil {
		return err
	}
	if settings.Agent == nil {
		return acaciaroute.Errorf(acaciaroute.CodeBadSettings, "line 1: agent: table is missing")
	}
	process := newProcess(settings, acaciaroute.RoleEndpoint)
	return runUntil(ctx, acaciaagent.New(process, newEndpoint(settings)), settings)
}

func newEndpoint(settings acaciasetting.Settings) acaciaroute.Endpoint {
	client := acaciaengine.NewClient()
	if settings.Agent.Kind == acaciasetting.KindPlain {
		return acaciaengine.NewPlain(settings.Agent.Endpoint, client)
	}
	return acaciaengine.NewModel(settings.Agent.Endpoint, client)
}

func newProcess(settings acaciasetting.Settings, role string) *acaciaprocess.Process {
	client := newPlatform(acaciaplatform.Settings{
		Log:         settings.Platform.Log,
		VMList:      settings.Platform.VMList,
		WeightStore: settings.Platform.WeightStore,
	})
	platform := acaciaprocess.Platform{Log: client.Log(), VMList: client.VMList(), Weights: client.WeightStore()}
	return acaciaprocess.New(context.Background(), settings, role, platform, newLogger(settings.Process.Verbose))
}

// newPlatform returns the client of the platform.
func newPlatform(settings acaciaplatform.Settings) *acaciaplatform.Client {
	return acaciaplatform.New(settings, http.DefaultTransport)
}

// newLogger writes structured lines to standard error.
func newLogger(verbose bool) logr.Logger {
	level := slog.LevelInfo
	if verbose {
		level = slog.LevelDebug
	}
	return logr.FromSlogHandler(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// runUntil runs a process until ctx ends, and then stops it gracefully.
func runUntil(ctx context.Context, r runner, settings acaciasetting.Settings) error {
	if err := r.Start(context.Background()); err != nil {
		return err
	}
	<-ctx.Done()
	stopping, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Process.DrainTime))
	defer cancel()
	return r.Close(stopping)
}
