package acaciaprocess

import (
	"context"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// peerHandler serves the peer service, which every process offers to its peers and to
// operators.
type peerHandler struct {
	process *Process
	role    Role
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

// Events implements acaciawire.PeerServiceHandler.
func (h *peerHandler) Events(_ context.Context, request *acaciawire.EventsRequest) (*acaciawire.EventsReply, error) {
	reply := &acaciawire.EventsReply{Last: request.After}
	for _, event := range h.process.Recorder.EventsAfter(acaciaevent.Stamp(request.After)) {
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
