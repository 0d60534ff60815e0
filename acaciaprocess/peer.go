package acaciaprocess

import (
	"context"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// peerHandler serves the peer service, which every process offers to its peers and to
// operators.
type peerHandler struct {
	process *Process
	role    Role
}

const (
	// maxReplyEvents bounds the events in a reply: with the largest texts it has 1 MB.
	maxReplyEvents = 500
	// maxEventCalls bounds how many replies with events are made or read at once.
	maxEventCalls = 2
	// maxMetricsReplies bounds how many replies with metrics are made or read at once at the peer server, whose clients
	// may make maxConcurrentStreams calls on one connection.
	maxMetricsReplies = 8
	// eventRetryInterval is the time after which a refused call for events is made again.
	eventRetryInterval = 50 * time.Millisecond
)

// limitEventCalls wraps a handler so that it gets maxEventCalls calls at once, and refuses others.
func limitEventCalls(next http.Handler) http.Handler {
	running := make(chan struct{}, maxEventCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
			next.ServeHTTP(w, r)
		default:
			refusal := acaciaroute.Errorf(acaciaroute.CodeNoMemory, "%d calls are reading events", maxEventCalls)
			_ = errorWriter.Write(w, r, refusalError(refusal))
		}
	})
}

// FetchEvents returns the events that the process of a client holds. If a call fails, it returns those that came before.
func FetchEvents(ctx context.Context, client acaciawire.PeerServiceClient) ([]acaciaevent.Event, error) {
	var events []acaciaevent.Event
	for after := uint64(0); ; {
		reply, err := client.Events(ctx, &acaciawire.EventsRequest{After: after})
		if RefusalCode(err) == acaciaroute.CodeNoMemory && ctx.Err() == nil {
			time.Sleep(eventRetryInterval)
			continue
		}
		if err != nil {
			return events, err
		}
		after = reply.Last
		for _, data := range reply.Events {
			event, err := acaciaevent.Decode(data)
			if err != nil {
				return nil, err
			}
			events = append(events, event)
		}
		if len(reply.Events) < maxReplyEvents {
			return events, nil
		}
	}
}

// Configuration implements acaciawire.PeerServiceHandler.
func (h *peerHandler) Configuration(context.Context, *acaciawire.ConfigurationRequest) (*acaciawire.ConfigurationReply, error) {
	current := h.process.Configuration.Current()
	return &acaciawire.ConfigurationReply{Version: int64(current.Version), Data: []byte(current.Text)}, nil
}

// Status implements acaciawire.PeerServiceHandler.
func (h *peerHandler) Status(context.Context, *acaciawire.StatusRequest) (*acaciawire.StatusReply, error) {
	settings := h.process.Settings.Process
	return &acaciawire.StatusReply{
		Process:              settings.ID,
		Role:                 h.process.Role,
		DataCentre:           settings.DataCentre,
		Region:               settings.Region,
		ConfigurationVersion: int64(h.process.Configuration.Current().Version),
		Ready:                h.role.Ready(),
		Stopping:             h.process.Stopping(),
		Counts:               h.role.Counts(),
	}, nil
}

// Events implements acaciawire.PeerServiceHandler. A reply has maxReplyEvents at most; its sender asks for those after the
// last of them until one has fewer.
func (h *peerHandler) Events(_ context.Context, request *acaciawire.EventsRequest) (*acaciawire.EventsReply, error) {
	reply := &acaciawire.EventsReply{Last: request.After}
	for _, event := range h.process.Recorder.FirstEventsAfter(acaciaevent.Stamp(request.After), maxReplyEvents) {
		data, err := event.Encode()
		if err != nil {
			return nil, err
		}
		reply.Events = append(reply.Events, data)
		reply.Last = uint64(event.Stamp)
	}
	return reply, nil
}

// FindRun implements acaciawire.PeerServiceHandler.
func (h *peerHandler) FindRun(ctx context.Context, request *acaciawire.FindRunRequest) (*acaciawire.FindRunReply, error) {
	return h.role.FindRun(ctx, request), nil
}
