package acaciaentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acacialimit"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Entry accepts callers' requests and dispatches them to agents.
	Entry struct {
		process      *acaciaprocess.Process
		chooser      *acaciachoice.Chooser
		agentLink    *agentLink
		keys         *acaciakey.Registry
		keyedRuns    *keyedRuns
		agentHistory *agentHistory
		poison       *acaciapoison.Registry
		// requests bounds the memory of callers' requests, guard their connections.
		requests      *acaciamemory.Requests
		guard         *acaciaconnection.Guard
		requestCounts *acaciaprocess.RequestCounts
		metrics       *metrics
		// orderIssuer is nil if no weight store is configured.
		orderIssuer *acaciaorder.Issuer

		// background is the context of work that outlives a request; Close cancels it.
		background       context.Context
		cancelBackground context.CancelFunc
		server           *acaciaprocess.Server
	}
)

// drainDelay is how long a stopping entry keeps accepting connections, so that the
// load balancer can notice first that it is not ready.
const drainDelay = 2 * time.Second

// New returns an entry that is not started yet.
func New(ctx context.Context, process *acaciaprocess.Process) *Entry {
	ctx, cancel := context.WithCancel(ctx)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &Entry{
		process:          process,
		agentLink:        newAgentLink(ctx, process),
		keys:             acaciakey.New(process.Log, process.Recorder),
		keyedRuns:        newKeyedRuns(process.Memory.Keys),
		agentHistory:     newAgentHistory(),
		poison:           acaciapoison.New(process.Log, process.Recorder),
		requestCounts:    acaciaprocess.NewRequestCounts(),
		metrics:          newMetrics(),
		orderIssuer:      newOrderIssuer(process),
		background:       ctx,
		cancelBackground: cancel,
	}
	e.requests = acaciamemory.NewRequests(process.Memory.Requests)
	e.guard = acaciaprocess.NewCallerGuard(process.Settings.Process.MaxFDs, process.Memory.Connections, func() { e.requests.EvictStalled(time.Now()) })
	process.Registry.MustRegister(acacialimit.New(acacialimit.Settings{
		Prefix: "acaciaroute_entry", Requests: e.requests, Messages: process.Messages,
		Holders: []acacialimit.Holder{{Name: "keys", Memory: e.keyedRuns.memory}},
		Servers: []acacialimit.Server{{Name: "callers", Guard: e.guard}, {Name: "peers", Guard: process.PeerGuard, Peers: true}},
	}))
	policy := acaciachoice.NewLateBinding(random)
	e.chooser = acaciachoice.New(process.Loop, policy, e.agentLink, process.Settings.Process.Region, random)
	process.Registry.MustRegister(e.requestCounts)
	e.metrics.register(process.Registry)
	process.Directory.OnChange(e.applyVMList)
	return e
}

// Start starts the entry's background work and begins to serve callers.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.process.Start(ctx, e); err != nil {
		return err
	}
	server, err := acaciaprocess.NewCallerServer(ctx, e.process.Settings.Entry.Listen, e.routes(), e.guard)
	if err != nil {
		return err
	}
	e.server = server
	e.keys.Start(ctx)
	e.poison.Start(ctx)
	if e.orderIssuer != nil {
		e.orderIssuer.Start(ctx)
	}
	return nil
}

// Close makes the entry report that it is not ready, waits for drainDelay, finishes the
// requests in flight and stops the process. Requests that are still in flight when ctx
// ends are aborted.
func (e *Entry) Close(ctx context.Context) error {
	e.process.BeginStop()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	err := e.server.Close(ctx)
	if e.orderIssuer != nil {
		e.orderIssuer.Close()
	}
	e.keys.Close()
	e.poison.Close()
	e.cancelBackground()
	return errors.Join(err, e.process.Close(ctx))
}

// Ready implements acaciaprocess.Role.
func (e *Entry) Ready() bool {
	return !e.draining() && !e.guard.Full() && e.process.Configuration.Current().Version > 0 && e.process.Directory.HasRead()
}

// draining reports whether callers should use other entries, because this one is
// stopping or leaving.
func (e *Entry) draining() bool {
	return e.process.Stopping() || e.process.VMLeaving()
}

// Counts implements acaciaprocess.Role.
func (e *Entry) Counts() []*acaciawire.StatusCount {
	return e.requestCounts.Counts()
}

// FindRun implements acaciaprocess.Role.
func (e *Entry) FindRun(_ context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
	run := e.keyedRuns.find(request.RequestId)
	return &acaciawire.FindRunReply{
		State:     int32(run.state),
		RequestId: request.RequestId,
		Address:   run.address,
		LogDown:   e.keys.LogDown(),
	}
}

// Handle implements acaciaprocess.Role.
func (e *Entry) Handle(*http.ServeMux) {}

// applyVMList passes a new VM list on to the agent history and the chooser.
func (e *Entry) applyVMList(vms []acaciaroute.VM) {
	e.process.UpdateOwnVM(vms)
	e.agentHistory.update(vms, time.Now())
	var endpoints []acaciachoice.Endpoint
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEndpoint {
			endpoints = append(endpoints, acaciachoice.Endpoint{VM: vm})
		}
	}
	rate := e.regionLinkRate(vms)
	e.process.Loop.Post(func() {
		e.chooser.SetEndpoints(endpoints)
		e.chooser.SetRegionLinkRate(rate)
	})
}

// regionLinkRate returns this entry's share, in bytes per second, of the link to other
// regions. All live entries of a region share the link equally.
func (e *Entry) regionLinkRate(vms []acaciaroute.VM) float64 {
	entries := 0
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEntry && vm.State == acaciaroute.VMLive && vm.Region == e.process.Settings.Process.Region {
			entries++
		}
	}
	return float64(e.process.Settings.Platform.LinkBytesPerSecond) / float64(max(entries, 1))
}
