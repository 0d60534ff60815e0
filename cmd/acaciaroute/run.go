package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaagent"
	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciaengine"
	"github.com/acaciaroute/acaciaroute/acaciaentry"
	"github.com/acaciaroute/acaciaroute/acacialog"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciaresponse"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

// runner is a process of the system that can be started and closed.
type runner interface {
	Start(ctx context.Context) error
	Close(ctx context.Context) error
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Required: true, Usage: "settings file of the process"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:   "entry",
		Usage:  "run an entry, which accepts requests from callers",
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

// loadSettings loads the settings of an entry or an agent, fills in the limits that they leave to the system, and sets the
// limit of the Go runtime.
func loadSettings(c *cli.Command) (acaciasetting.Settings, error) {
	settings, err := acaciasetting.Load(c.String("settings"))
	if err != nil {
		return settings, err
	}
	memoryBytes := acaciamemory.ProcessBytes(settings.Process.MemoryMB << 20)
	settings.Process.MemoryMB = memoryBytes >> 20
	settings.Process.MaxFDs = acaciaconnection.ProcessFDs(settings.Process.MaxFDs)
	setMemoryLimit(memoryBytes)
	return settings, nil
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	if settings.Entry == nil {
		return acaciaroute.Errorf(acaciaroute.CodeBadSettings, "line 1: entry: table is missing")
	}
	lines := acacialog.NewWriter(os.Stdout, acacialog.DefaultBufferBytes)
	process := newProcess(settings, acaciaroute.RoleEntry, newLogger(lines, settings))
	return runUntilDone(ctx, acaciaentry.New(context.Background(), process), settings, lines)
}

func runAgent(ctx context.Context, c *cli.Command) error {
	settings, err := loadSettings(c)
	if err != nil {
		return err
	}
	if settings.Agent == nil {
		return acaciaroute.Errorf(acaciaroute.CodeBadSettings, "line 1: agent: table is missing")
	}
	lines := acacialog.NewWriter(os.Stdout, acacialog.DefaultBufferBytes)
	process := newProcess(settings, acaciaroute.RoleEndpoint, newLogger(lines, settings))
	return runUntilDone(ctx, acaciaagent.New(process, newEndpoint(settings)), settings, lines)
}

func newEndpoint(settings acaciasetting.Settings) acaciaroute.Endpoint {
	client := acaciaengine.NewClient()
	if settings.Agent.Kind == acaciasetting.KindPlain {
		return acaciaengine.NewPlainService(settings.Agent.Endpoint, client)
	}
	return acaciaengine.NewModelEngine(settings.Agent.Endpoint, client)
}

func newProcess(settings acaciasetting.Settings, role string, log logr.Logger) *acaciaprocess.Process {
	client := newPlatform(acaciaplatform.Settings{
		Log:         settings.Platform.Log,
		VMList:      settings.Platform.VMList,
		WeightStore: settings.Platform.WeightStore,
	})
	platform := acaciaprocess.Platform{Log: client.Log(), VMList: client.VMList(), WeightStore: client.WeightStore(), Metrics: client}
	return acaciaprocess.New(context.Background(), settings, role, platform, log)
}

// flushTimeout is the maximum time for writing the last log lines when a process stops.
const flushTimeout = time.Second

// newPlatform returns a client of the platform.
func newPlatform(settings acaciaplatform.Settings) *acaciaplatform.Client {
	return acaciaplatform.New(settings, acaciaresponse.NewTransport(http.DefaultTransport.(*http.Transport)))
}

// newLogger returns a logger that limits the lines with the same message in each second to
// the number in the settings.
func newLogger(lines *acacialog.Writer, settings acaciasetting.Settings) logr.Logger {
	return logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{LinesPerSecond: settings.Process.LogLinesPerSecond}))
}

// runUntilDone runs a process until ctx ends, and then closes it within its drain time.
func runUntilDone(ctx context.Context, r runner, settings acaciasetting.Settings, lines *acacialog.Writer) error {
	// A reader that closes standard output must not end the process by SIGPIPE.
	signal.Ignore(syscall.SIGPIPE)
	defer flushLog(lines)
	if err := r.Start(context.Background()); err != nil {
		return err
	}
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.Background(), time.Duration(settings.Process.DrainTime))
	defer cancel()
	return r.Close(closeCtx)
}
