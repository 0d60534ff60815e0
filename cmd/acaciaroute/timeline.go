package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciatimeline"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	eventsTimeout = 5 * time.Second
	// maxLineBytes is the maximum length of a line in a log file.
	maxLineBytes = 1 << 20
)

func timelineCommand() *cli.Command {
	return &cli.Command{
		Name:  "timeline",
		Usage: "merge the events of all processes into one timeline",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "vm-list", Usage: "URL of the platform's VM list; every process in it is asked for its events"},
			&cli.StringSliceFlag{Name: "file", Usage: "log file of a process; may be repeated"},
			&cli.StringFlag{Name: "request", Usage: "only events of this request"},
			&cli.BoolFlag{Name: "context", Usage: "with --request: also events of processes, endpoints and the platform around the time of the request"},
			&cli.TimestampFlag{Name: "from", Usage: "only events from this time on", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.TimestampFlag{Name: "to", Usage: "only events up to this time", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
			&cli.StringFlag{Name: "html", Usage: "write a self-contained HTML page to this file instead of a text table"},
		},
		Action: runTimeline,
	}
}

func runTimeline(ctx context.Context, c *cli.Command) error {
	var events []acaciaevent.Event
	for _, path := range c.StringSlice("file") {
		read, err := readLogEvents(path)
		if err != nil {
			return err
		}
		events = append(events, read...)
	}
	if address := c.String("vm-list"); address != "" {
		fetched, err := fetchEvents(ctx, address)
		if err != nil {
			return err
		}
		events = append(events, fetched...)
	}
	filter := acaciatimeline.Filter{
		RequestID:      c.String("request"),
		From:           c.Timestamp("from"),
		To:             c.Timestamp("to"),
		IncludeContext: c.Bool("context"),
	}
	merged := acaciatimeline.Merge(events, filter)
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

// readLogEvents returns the events in the structured log file of a process; lines without
// an event are skipped.
func readLogEvents(path string) ([]acaciaevent.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var events []acaciaevent.Event
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
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

// fetchEvents returns the events that the processes in the VM list hold; processes that do
// not answer are skipped.
func fetchEvents(ctx context.Context, vmList string) ([]acaciaevent.Event, error) {
	vms, err := newPlatform(acaciaplatform.Settings{VMList: vmList}).VMList().VMs(ctx)
	if err != nil {
		return nil, err
	}
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	var events []acaciaevent.Event
	for _, vm := range vms {
		callCtx, cancel := context.WithTimeout(ctx, eventsTimeout)
		fetched, err := acaciaprocess.FetchEvents(callCtx, clients.Peer(vm.Address))
		cancel()
		if connectErr := (*connect.Error)(nil); err != nil && !errors.As(err, &connectErr) {
			return nil, err
		}
		events = append(events, fetched...)
	}
	return events, nil
}
