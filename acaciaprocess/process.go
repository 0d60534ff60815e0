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
	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Process holds the parts that every process of the system has, whatever its role.
	Process struct {
		Settings      acaciasetting.Settings
		Role          string
		Loop          *acacialoop.Process
		Recorder      *acaciaevent.Recorder
		Configuration *acaciaconfiguration.Follower
		Directory     *Directory
		Clients       *Clients
		Registry      *prometheus.Registry
		Log           acaciaroute.Log
		// WeightStore is nil if no weight store is configured.
		WeightStore acaciaroute.WeightStore
		// Memory bounds the holders of memory of the process, Messages the messages that peers send, and PeerGuard
		// their connections.
		Memory    acaciamemory.Limits
		Messages  *acaciamemory.Requests
		PeerGuard *acaciaconnection.Guard

		peerServer    *Server
		metricsServer *Server
		stopping      atomic.Bool
		// vmLeaving reports whether the process's own VM is leaving according to the
		// VM list.
		vmLeaving atomic.Bool
	}

	// Platform holds the clients of the platform's services.
	Platform struct {
		Log    acaciaroute.Log
		VMList acaciaroute.VMList
		// WeightStore may be nil.
		WeightStore acaciaroute.WeightStore
		// Metrics collects the metrics of the platform client; nil for none.
		Metrics prometheus.Collector
	}

	// Role is the part of the peer server in which entries and agents differ.
	Role interface {
		// Ready reports whether the process can serve requests.
		Ready() bool
		// Counts returns the numbers of requests by class and organisation.
		Counts() []*acaciawire.StatusCount
		// FindRun looks up the run that belongs to an idempotency key.
		FindRun(ctx context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply
		// Handle registers the role's own handlers.
		Handle(mux *http.ServeMux)
	}
)

// New returns a process that serves nothing until Start.
func New(ctx context.Context, settings acaciasetting.Settings, role string, platform Platform, log logr.Logger) *Process {
	clock := acaciaevent.NewClock(time.Now)
	recorder := acaciaevent.NewRecorder(settings.Process.ID, clock, log, acaciaevent.DefaultCapacity)
	directory := NewDirectory(platform.VMList, recorder)
	clients := NewClients()
	peers := NewConfigurationPeers(clients, directory, recorder, settings.Process.Address)
	configurationSettings := acaciaconfiguration.Settings{
		Interval:  acaciaconfiguration.DefaultInterval,
		Retention: time.Duration(settings.Platform.LogRetention),
	}
	p := &Process{
		Settings:      settings,
		Role:          role,
		Loop:          acacialoop.New(ctx),
		Recorder:      recorder,
		Configuration: acaciaconfiguration.New(platform.Log, peers, recorder, configurationSettings),
		Directory:     directory,
		Clients:       clients,
		Registry:      prometheus.NewRegistry(),
		Log:           platform.Log,
		WeightStore:   platform.WeightStore,
	}
	p.setLimits()
	p.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	p.registerStateGauges()
	if platform.Metrics != nil {
		p.Registry.MustRegister(platform.Metrics)
	}
	return p
}

// setLimits sets the bounds of what peers' messages and connections may hold.
func (p *Process) setLimits() {
	memoryBytes, share := p.Settings.Process.MemoryMB<<20, agentPeerShare
	p.Memory = acaciamemory.DivideAgent(memoryBytes)
	if p.Role == acaciaroute.RoleEntry {
		p.Memory, share = acaciamemory.DivideEntry(memoryBytes), entryPeerShare
	}
	p.Messages = acaciamemory.NewRequests(p.Memory.PeerMessages)
	p.PeerGuard = newPeerGuard(p.Settings.Process.MaxFDs, share, p.Memory.PeerConnections, func() { p.Messages.EvictStalled(time.Now()) })
}

// registerStateGauges registers gauges of the targets and the VM list that the process
// works with, and of how long ago each was read.
func (p *Process) registerStateGauges() {
	gauge := func(name, help string, value func() float64) {
		p.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("acaciaroute_configuration_version", "Version of the targets in force.",
		func() float64 { return float64(p.Configuration.Current().Version) })
	gauge("acaciaroute_configuration_age_seconds", "Time since the log was last read for targets; -1 if it never was.",
		func() float64 { return secondsSince(p.Configuration.ReadAt()) })
	gauge("acaciaroute_vm_list_age_seconds", "Time since the list of VMs was last read; -1 if it never was.",
		func() float64 { return secondsSince(p.Directory.ReadAt()) })
	gauge("acaciaroute_vms", "VMs that the process reckons with.",
		func() float64 { return float64(len(p.Directory.VMs())) })
}

// secondsSince returns the time since at in seconds, or -1 if at is zero.
func secondsSince(at time.Time) float64 {
	if at.IsZero() {
		return -1
	}
	return time.Since(at).Seconds()
}

// Start starts the peer server and begins to read the VM list and the targets.
func (p *Process) Start(ctx context.Context, role Role) error {
	mux := http.NewServeMux()
	path, peers := acaciawire.NewPeerServiceHandler(&peerHandler{process: p, role: role})
	mux.Handle(path, peers)
	mux.Handle(acaciawire.PeerServiceEventsProcedure, limitEventCalls(peers))
	mux.Handle("/metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsReplies}))
	role.Handle(mux)
	server, err := NewPeerServer(ctx, p.Settings.Process.Address, p.limitMessages(mux), p.PeerGuard)
	if err != nil {
		return err
	}
	p.peerServer = server
	if address := p.Settings.Process.Metrics; address != "" {
		metricsMux := http.NewServeMux()
		metricsMux.Handle("/metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{}))
		if p.metricsServer, err = NewCallerServer(ctx, address, metricsMux, newMetricsGuard(p.Settings.Process.MaxFDs)); err != nil {
			return errors.Join(err, server.Close(ctx))
		}
	}
	p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Detail: p.Role})
	p.Directory.Start(ctx)
	p.Configuration.Start(ctx)
	return nil
}

// BeginStop marks the process as stopping.
func (p *Process) BeginStop() {
	if !p.stopping.Swap(true) {
		p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopping})
	}
}

// UpdateOwnVM reads from a VM list whether the process's own VM is leaving, and
// reports whether that has changed. VMLeaving returns the new value.
func (p *Process) UpdateOwnVM(vms []acaciaroute.VM) bool {
	for _, vm := range vms {
		if vm.ID != p.Settings.Process.ID {
			continue
		}
		leaving := vm.State == acaciaroute.VMLeaving
		if p.vmLeaving.Swap(leaving) == leaving {
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

// VMLeaving reports whether the process's own VM is leaving according to the VM list
// last passed to UpdateOwnVM.
func (p *Process) VMLeaving() bool {
	return p.vmLeaving.Load()
}

// Stopping reports whether BeginStop has been called.
func (p *Process) Stopping() bool {
	return p.stopping.Load()
}

// Close stops the servers and everything else that New and Start have started.
func (p *Process) Close(ctx context.Context) error {
	p.BeginStop()
	err := p.peerServer.Close(ctx)
	if p.metricsServer != nil {
		err = errors.Join(err, p.metricsServer.Close(ctx))
	}
	p.Configuration.Close()
	p.Directory.Close()
	p.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopped})
	p.Loop.Close()
	p.Clients.Close()
	return err
}
