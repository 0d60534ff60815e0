package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagateway"
	"github.com/acaciaroute/acaciaroute/acacialog"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// stopMargin is how long before the platform kills a stopping process it ends.
	stopMargin = 400 * time.Millisecond
	// memoryShare is the part of its memory that a gateway lets the runtime use.
	memoryShare = 0.6
	// gatewayEvents is how many events a gateway keeps in memory.
	gatewayEvents = 2000
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway, which passes requests straight to the endpoints of the platform",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Required: true, Sources: cli.EnvVars(acaciaplatform.SettingsVariable),
			Usage: "the platform's settings file",
		}},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, c *cli.Command) error {
	settings, err := acaciaplatform.LoadSettings(c.String("settings"))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	// A reader that closes standard output must not end the process, and a changed
	// settings file is read at the next start.
	signal.Ignore(syscall.SIGPIPE, syscall.SIGHUP)
	lines := acacialog.NewWriter(os.Stdout, acacialog.DefaultBufferBytes)
	defer flush(lines)
	log := logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{}))
	recorder := acaciaevent.NewRecorder(settings.Name, acaciaevent.NewClock(time.Now), log, gatewayEvents)
	transport := &http.Transport{DialContext: acaciaupstream.NewDialer().DialContext}
	client := acaciaplatform.New(acaciaplatform.Settings{Store: settings.StoreURL}, transport)
	metrics := acaciagateway.NewMetrics(client)
	gateway := acaciagateway.New(context.Background(), settings, client.Store(), recorder, metrics)
	if err := gateway.Start(context.Background()); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-gateway.Ended():
	}
	stopping, cancel := context.WithTimeout(context.Background(), settings.GraceTime-stopMargin)
	defer cancel()
	if closeErr := gateway.Close(stopping); err == nil {
		return closeErr
	}
	return err
}

// flush writes the last lines.
func flush(lines *acacialog.Writer) {
	flushing, cancel := context.WithTimeout(context.Background(), flushTime)
	defer cancel()
	lines.Close(flushing)
}
