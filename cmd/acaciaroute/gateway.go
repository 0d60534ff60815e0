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

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagateway"
	"github.com/acaciaroute/acaciaroute/acacialog"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaresponse"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// stopMargin is the time left between the end of a gateway's graceful stop and the time
	// when the platform kills it.
	stopMargin = 400 * time.Millisecond
	// memoryShare is the share of a process's memory that is set as the Go runtime's limit. What requests, answers and
	// connections may hold (acaciamemory.Divide) is less, so that it is the last safeguard.
	memoryShare = 0.6
	// gatewayEventCapacity is the number of events that a gateway keeps in memory.
	gatewayEventCapacity = 2000
)

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway, which forwards requests directly to the endpoints of the platform",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "settings", Required: true, Sources: cli.EnvVars(acaciaplatform.SettingsVariable),
			Usage: "the platform's settings file",
		}},
		Action: runGateway,
	}
}

func runGateway(ctx context.Context, c *cli.Command) error {
	// A reader that closes standard output must not end the process by SIGPIPE. SIGHUP doesn't end it either, at
	// no time: it makes the gateway read its settings file.
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	file, fileSettings, err := acaciaplatform.OpenSettings(c.String("settings"))
	if err != nil {
		return err
	}
	settings := completeSettings(fileSettings)
	lines := acacialog.NewWriter(os.Stdout, acacialog.DefaultBufferBytes)
	defer flushLog(lines)
	log := logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{}))
	recorder := acaciaevent.NewRecorder(settings.Name, acaciaevent.NewClock(time.Now), log, gatewayEventCapacity)
	client := newStoreClient(settings.StoreURL)
	metrics := acaciagateway.NewMetrics(client)
	gateway := acaciagateway.New(context.Background(), settings, client.Store(), recorder, metrics)
	if err := gateway.Start(context.Background()); err != nil {
		return err
	}
	follower := &acaciagateway.SettingsFollower{Gateway: gateway, File: file, Settings: fileSettings, Hangups: hangups, Complete: completeSettings}
	following := acacialoop.NewWorker()
	following.Start(context.Background(), follower.Run)
	select {
	case <-ctx.Done():
	case err = <-gateway.ServerErrors():
	}
	stopBegan := time.Now()
	following.Close()
	closeCtx, cancel := context.WithDeadline(context.Background(), stopBegan.Add(follower.Settings.GraceTime-stopMargin))
	defer cancel()
	if closeErr := gateway.Close(closeCtx); err == nil {
		return closeErr
	}
	return err
}

// newStoreClient returns a client of the store at a URL.
func newStoreClient(storeURL string) *acaciaplatform.Client {
	transport := acaciaresponse.NewTransport(&http.Transport{DialContext: acaciaupstream.NewDialer().DialContext})
	return acaciaplatform.New(acaciaplatform.Settings{Store: storeURL}, transport)
}

// completeSettings returns settings with the limits that the file leaves to the system, and sets the limit of the Go runtime.
func completeSettings(settings acaciaplatform.ProcessSettings) acaciaplatform.ProcessSettings {
	settings.MemoryBytes = acaciamemory.ProcessBytes(settings.MemoryBytes)
	settings.MaxFDs = acaciaconnection.ProcessFDs(settings.MaxFDs)
	setMemoryLimit(settings.MemoryBytes)
	return settings
}

// setMemoryLimit sets the limit of the Go runtime for a process that may use a number of bytes, zero if that is not known.
func setMemoryLimit(processBytes int64) {
	if processBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(processBytes)))
	}
}

// flushLog writes the remaining log lines, for up to flushTimeout.
func flushLog(lines *acacialog.Writer) {
	flushCtx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	lines.Close(flushCtx)
}
