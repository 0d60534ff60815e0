package acaciaprocess

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaconfiguration"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Process is what every process of the system has.
	Process struct {
		Settings  acaciasetting.Settings
		Role      string
		Loop      *acacialoop.Process
		Recorder  *acaciaevent.Recorder
		Keeper    *acaciaconfiguration.Keeper
		Directory *Directory
		Clients   *Clients
		Registry  *prometheus.Registry
		Log       acaciaroute.Log
		// Weights is nil where no weight store is known.
		Weights acaciaroute.WeightStore

		server   *Server
		metrics  *Server
		stopping atomic.Bool
		// leaving tells that the platform calls the VM leaving.
		leaving atomic.Bool
	}

	// Platform is what a process meets of the platform.
	Platform struct {
		Log    acaciaroute.Log
		VMList acaciaroute.VMList
		// Weights may be nil.
		Weights acaciaroute.WeightStore
		// Metrics are the metrics of the client; nil for none.
		Metrics prometheus.Collector
	}

	// Role is what entries and agents do differently at the peer server.
	Role interface {
		// Ready reports whether the process can do its work.
		Ready() bool
		// Counts describes the work by class and organisation.
		Counts() []*acaciawire.StatusCount
		// FindRun looks for the run of an idempotency key.
		FindRun(ctx context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply
		// Handle registers the role's own handlers.
		Handle(mux *http.ServeMux)
	}
)

// New returns a process that has not started.
func New(ctx context.Context, settings acaciasetting.Settings, role string, platform Platform, log logr.Logger) *Process {
	clock := acaciaevent.NewClock(time.Now)
	recorder := acaciaevent.NewRecorder(settings.Process.ID, clock, log, acaciaevent.DefaultCapacity)
	directory := NewDirectory(platform.VMList, recorder)
	clients := NewClients()
	peers := NewConfigurationPeers(clients, directory, recorder, settings.Process.Address)
	times := acaciaconfiguration.Settings{
		Interval:  acaciaconfiguration.DefaultInterval,
		Retention: time.Duration(settings.Platform.LogRetention),
	}
	p := &Process{
		Settings:  settings,
		Role:      role,
		Loop:      acacialoop.New(ctx),
		Recorder:  recorder,
		Keeper:    acaciaconfiguration.New(platform.Log, peers, recorder, times),
		Directory: directory,
		Clients:   clients,
		Registry:  prometheus.NewRegistry(),
		Log:       platform.Log,
		Weights:   platform.Weights,
	}
	p.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.registerBeliefs()
	if platform.Metrics != nil {
		p.Registry.MustRegister(platform.Metrics)
	}
	return p
}

// registerBeliefs registers what the process believes of the outside, and since when.
func (p *Process) registerBeliefs() {
	gauge := func(name, help string, value func() float64) {
		p.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("acaciaroute_configuration_version", "Version of the targets in force.",
		func() float64 { return float64(p.Keeper.Current().Version) })
	gauge("acaciaroute_configuration_age_seconds", "Time since the log was last read for targets; -1 if it never was.",
		func() float64 { return ageSeconds(p.Keeper.ReadAt()) })
	gauge("acaciaroute_vm_list_age_seconds", "Time since the list of VMs was last read; -1 if it never was.",
		func() float64 { return ageSeconds(p.Directory.ReadAt()) })
	gauge("acaciaroute_vms", "VMs that the process reckons with.",
		func() float64 { return float64(len(p.Directory.VMs())) })
}

func ageSeconds(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}

// Start begins to serve peers and to follow the platform.
func (p *Process) Start(ctx context.Context, role Role) error {
	mux := http.NewServeMux()
	mux.Handle(acaciawire.NewPeerServiceHandler(&peerHandler{process: p, role: role}))
	metrics := promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{})
	mux.Handle("/metrics", metrics)
	role.Handle(mux)
	server, err := NewPeerServer(ctx, p.Settings.Process.Address, mux)
	if err != nil {
		return err
	}
	p.server = server
	if address := p.Settings.Process.Metrics; address != "" {
		metricsMux := http.NewServeMux()
		metricsMux.Handle("/metrics", metrics)
		if p.metrics, err = NewServer(ctx, address, metricsMux); err != nil {
			return errors.Join(err, server.Close(ctx))
		}
	}
	p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Detail: p.Role})
	p.Directory.Start(ctx)
	p.Keeper.Start(ctx)
	return nil
}

// BeginStop marks the process as stopping.
func (p *Process) BeginStop() {
	if !p.stopping.Swap(true) {
		p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopping})
	}
}

// FollowOwnVM notes what a list says of the process's own VM. It reports whether that has
// changed; Leaving tells to what.
func (p *Process) FollowOwnVM(vms []acaciaroute.VM) bool {
	for _, vm := range vms {
		if vm.ID != p.Settings.Process.ID {
			continue
		}
		leaving := vm.State == acaciaroute.VMLeaving
		if p.leaving.Swap(leaving) == leaving {
			return false
		}
		kind := acaciaevent.VMReturned
		if leaving {
			kind = acaciaevent.VMLeaving
		}
		p.Recorder.Record(acaciaevent.Event{Kind: kind})
		return true
	}
	return false
}

// Leaving reports whether the platform calls the VM leaving.
func (p *Process) Leaving() bool {
	return p.leaving.Load()
}

// Stopping reports whether BeginStop was called.
func (p *Process) Stopping() bool {
	return p.stopping.Load()
}

// Close ends the peer server and all that New and Start began.
func (p *Process) Close(ctx context.Context) error {
	p.BeginStop()
	err := p.server.Close(ctx)
	if p.metrics != nil {
		err = errors.Join(err, p.metrics.Close(ctx))
	}
	p.Keeper.Close()
	p.Directory.Close()
	p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopped})
	p.Loop.Close()
	p.Clients.Close()
	return err
}
