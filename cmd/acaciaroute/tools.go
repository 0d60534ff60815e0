package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaconfiguration"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	publishTimeout = 10 * time.Second
	spreadTimeout  = 10 * time.Second
	spreadInterval = 200 * time.Millisecond
)

func platformFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "log", Required: true, Usage: "URL of the platform's log service"},
		&cli.StringFlag{Name: "vm-list", Required: true, Usage: "URL of the platform's VM list"},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a file without running anything",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file"},
			&cli.StringFlag{Name: "targets", Usage: "targets file"},
		},
		Action: runCheck,
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:  "publish",
		Usage: "publish targets",
		Flags: append(platformFlags(),
			&cli.StringFlag{Name: "targets", Required: true, Usage: "targets file"},
			&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "version that the file was made from; the one in force if left out"},
		),
		Action: runPublish,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if path := c.String("settings"); path != "" {
		if _, err := acaciasetting.Load(path); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer, path+": settings are good")
	}
	if path := c.String("targets"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if _, err := acaciatarget.Parse(text); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer, path+": targets are good")
	}
	return nil
}

func runPublish(ctx context.Context, c *cli.Command) error {
	text, err := os.ReadFile(c.String("targets"))
	if err != nil {
		return err
	}
	log := newPlatform(acaciaplatform.Settings{Log: c.String("log")}).Log()
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	basedOn := acaciaroute.Offset(c.Int64("based-on"))
	if basedOn < 0 {
		current, err := acaciaconfiguration.InForce(ctx, log)
		if err != nil {
			return err
		}
		basedOn = current.Version
	}
	verdict, err := acaciaconfiguration.Publish(ctx, log, basedOn, string(text))
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return verdict.Reason
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "accepted as version %d\n", verdict.Version)
	return reportSpread(c, verdict.Version)
}

// reportSpread waits until a version is in force at every process.
func reportSpread(c *cli.Command, version acaciaroute.Offset) error {
	ctx, cancel := context.WithTimeout(context.Background(), spreadTimeout)
	defer cancel()
	began := time.Now()
	for {
		statuses, err := askAll(ctx, c.String("vm-list"))
		if err != nil {
			return err
		}
		inForce := 0
		for _, status := range statuses {
			if status.reply != nil && acaciaroute.Offset(status.reply.ConfigurationVersion) >= version {
				inForce++
			}
		}
		if inForce == len(statuses) || time.Since(began) > spreadTimeout/2 {
			_, err := fmt.Fprintf(c.Root().Writer, "in force at %d of %d processes after %s\n",
				inForce, len(statuses), time.Since(began).Round(time.Millisecond))
			return err
		}
		time.Sleep(spreadInterval)
	}
}
