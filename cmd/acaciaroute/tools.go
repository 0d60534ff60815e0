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
	publishTimeout          = 10 * time.Second
	propagationTimeout      = 10 * time.Second
	propagationPollInterval = 200 * time.Millisecond
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
		Usage: "check a settings or targets file without starting a process",
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
		Usage: "publish a new version of the targets",
		Flags: append(platformFlags(),
			&cli.StringFlag{Name: "targets", Required: true, Usage: "targets file"},
			&cli.Int64Flag{Name: "based-on", Value: -1, Usage: "version on which the file is based; by default the version in force"},
		),
		Action: runPublish,
	}
}

func runCheck(_ context.Context, c *cli.Command) error {
	if path := c.String("settings"); path != "" {
		if _, err := acaciasetting.Load(path); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer, path+": settings are valid")
	}
	if path := c.String("targets"); path != "" {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if _, err := acaciatarget.Parse(text); err != nil {
			return err
		}
		_, _ = fmt.Fprintln(c.Root().Writer, path+": targets are valid")
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
	return reportPropagation(c, verdict.Version)
}

// reportPropagation waits until a version is in force at every process, or half of
// propagationTimeout has passed, and prints at how many processes it is in force.
func reportPropagation(c *cli.Command, version acaciaroute.Offset) error {
	ctx, cancel := context.WithTimeout(context.Background(), propagationTimeout)
	defer cancel()
	began := time.Now()
	for {
		statuses, err := fetchStatuses(ctx, c.String("vm-list"))
		if err != nil {
			return err
		}
		inForce := 0
		for _, status := range statuses {
			if status.reply != nil && acaciaroute.Offset(status.reply.ConfigurationVersion) >= version {
				inForce++
			}
		}
		if inForce == len(statuses) || time.Since(began) > propagationTimeout/2 {
			_, err := fmt.Fprintf(c.Root().Writer, "in force at %d of %d processes after %s\n",
				inForce, len(statuses), time.Since(began).Round(time.Millisecond))
			return err
		}
		time.Sleep(propagationPollInterval)
	}
}
