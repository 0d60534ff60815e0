package main

import (
	"bufio"
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciatimeline"
	"github.com/acaciaroute/acaciaroute/acaciawire"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	eventsTimeout = 5 * time.Second
	maxLine       = 1 << 20
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes into one ordered view",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm-list", Usage: "URL of the platform's VM list: ask every process"},
			&cli.StringSliceFlag{Name: "file", Usage: "log file of a process, may be repeated"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.BoolFlag{Name: "context", Usage: "with --request: also what happened around it to processes, endpoints and the platform"},
			&cli.TimestampFlag{Name: "from", Usage: "only events from this time on", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "to", Usage: "only events up to this time", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.StringFlag{Name: "html", Usage: "write a self-contained page to this file"},
		},
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	var events []acaciaevent.Event
	for _, path := range c.StringSlice("file") {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		events = append(events, read...)
	}
	if address := c.String("vm-list"); address != "" {
		asked, err := askEvents(ctx, address)
		if err != nil {
			return err
		}
		events = append(events, asked...)
	}
	window := acaciatimeline.Window{
		RequestID: c.String("request"),
		From:      c.Timestamp("from"),
		To:        c.Timestamp("to"),
		Context:   c.Bool("context"),
	}
	merged := acaciatimeline.Merge(events, window)
	if path := c.String("html"); path != "" {
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer func() { _ = file.Close() }()
		return acaciatimeline.WriteHTML(file, merged)
	}
	return acaciatimeline.WriteText(c.Root().Writer, merged)
}

// readLog reads the events in a process's structured log.
func readLog(path string) ([]acaciaevent.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var events []acaciaevent.Event
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var line struct {
			Event *acaciaevent.Event `json:"event"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line.Event != nil {
			events = append(events, *line.Event)
		}
	}
	return events, scanner.Err()
}

// askEvents asks every process in the VM list for the events that it holds.
func askEvents(ctx context.Context, vmList string) ([]acaciaevent.Event, error) {
	vms, err := newPlatform(acaciaplatform.Settings{VMList: vmList}).VMList().VMs(ctx)
	if err != nil {
		return nil, err
	}
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	var events []acaciaevent.Event
	for _, vm := range vms {
		asked, cancel := context.WithTimeout(ctx, eventsTimeout)
		reply, err := clients.Peer(vm.Address).Events(asked, &acaciawire.EventsRequest{})
		cancel()
		if err != nil {
			continue
		}
		for _, data := range reply.Events {
			event, err := acaciaevent.Decode(data)
			if err != nil {
				return nil, err
			}
			events = append(events, event)
		}
	}
	return events, nil
}
