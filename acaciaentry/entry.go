package acaciaentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Entry is the process that callers reach.
	Entry struct {
		process *acaciaprocess.Process
		chooser *acaciachoice.Chooser
		link    *link
		keys    *acaciakey.Registry
		keyed   *keyedBook
		seen    *agentHistory
		poison  *acaciapoison.Registry
		tally   *acaciaprocess.Tally
		metrics *metrics
		// issuer is nil without a weight store.
		issuer *acaciaorder.Issuer

		background context.Context
		stop       context.CancelFunc
		server     *acaciaprocess.Server
	}
)

// drainNotice is how long a stopping entry still takes connections, so that the
// balancer sees first that it is not ready.
const drainNotice = 2 * time.Second

// New returns an entry that has not started.
func New(ctx context.Context, process *acaciaprocess.Process) *Entry {
	ctx, stop := context.WithCancel(ctx)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &Entry{
		process:    process,
		link:       newLink(ctx, process),
		keys:       acaciakey.New(process.Log, process.Recorder),
		keyed:      newKeyedBook(),
		seen:       newAgentHistory(),
		poison:     acaciapoison.New(process.Log, process.Recorder),
		tally:      acaciaprocess.NewTally(),
		metrics:    newMetrics(),
		issuer:     newIssuer(process),
		background: ctx,
		stop:       stop,
	}
	policy := acaciachoice.NewLateBinding(random)
	e.chooser = acaciachoice.New(process.Loop, policy, e.link, process.Settings.Process.Region, random)
	process.Registry.MustRegister(e.tally)
	e.metrics.register(process.Registry)
	process.Directory.OnChange(e.followList)
	return e
}

// Start begins to serve callers.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.process.Start(ctx, e); err != nil {
		return err
	}
	server, err := acaciaprocess.NewServer(ctx, e.process.Settings.Entry.Listen, e.routes())
	if err != nil {
		return err
	}
	e.server = server
	e.keys.Start(ctx)
	e.poison.Start(ctx)
	if e.issuer != nil {
		e.issuer.Start(ctx)
	}
	return nil
}

// Close tells the balancer, finishes the requests in flight and ends the
// process; when ctx ends first, the rest is cut.
func (e *Entry) Close(ctx context.Context) error {
	e.process.BeginStop()
	select {
	case <-time.After(drainNotice):
	case <-ctx.Done():
	}
	err := e.server.Close(ctx)
	if e.issuer != nil {
		e.issuer.Close()
	}
	e.keys.Close()
	e.poison.Close()
	e.stop()
	return errors.Join(err, e.process.Close(ctx))
}

// Ready implements acaciaprocess.Role.
func (e *Entry) Ready() bool {
	return !e.closing() && e.process.Keeper.Current().Version > 0 && e.process.Directory.Read()
}

// closing reports whether callers should go to other entries.
func (e *Entry) closing() bool {
	return e.process.Stopping() || e.process.Leaving()
}

// Counts implements acaciaprocess.Role.
func (e *Entry) Counts() []*acaciawire.StatusCount {
	return e.tally.Counts()
}

// FindRun implements acaciaprocess.Role.
func (e *Entry) FindRun(_ context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
	run := e.keyed.find(request.RequestId)
	return &acaciawire.FindRunReply{
		State:     int32(run.state),
		RequestId: request.RequestId,
		Address:   run.address,
		LogDown:   e.keys.Down(),
	}
}

// Handle implements acaciaprocess.Role.
func (e *Entry) Handle(*http.ServeMux) {}

func (e *Entry) followList(vms []acaciaroute.VM) {
	e.process.FollowOwnVM(vms)
	e.seen.note(vms, time.Now())
	var endpoints []acaciachoice.Endpoint
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEndpoint {
			endpoints = append(endpoints, acaciachoice.Endpoint{VM: vm})
		}
	}
	rate := e.linkRate(vms)
	e.process.Loop.Post(func() {
		e.chooser.SetEndpoints(endpoints)
		e.chooser.SetLink(rate)
	})
}

// linkRate returns this entry's part of the link to other regions, which all live
// entries of its region share.
func (e *Entry) linkRate(vms []acaciaroute.VM) float64 {
	entries := 0
	for _, vm := range vms {
		if vm.Role == acaciaroute.RoleEntry && vm.State == acaciaroute.VMLive && vm.Region == e.process.Settings.Process.Region {
			entries++
		}
	}
	return float64(e.process.Settings.Platform.LinkBytesPerSecond) / float64(max(entries, 1))
}
