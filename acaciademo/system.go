package acaciademo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaagent"
	"github.com/acaciaroute/acaciaroute/acaciaconfiguration"
	"github.com/acaciaroute/acaciaroute/acaciaengine"
	"github.com/acaciaroute/acaciaroute/acaciaentry"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

type (
	// system is a complete system with stand-ins in one process.
	system struct {
		log       *acaciastandin.Log
		vms       *acaciastandin.VMList
		engines   []*engineNode
		entries   []string
		processes []*acaciaprocess.Process
		closers   []func(context.Context) error
	}

	// engineNode is a stand-in engine with an HTTP server of its own. server is nil after
	// a crash; served receives the error with which the server ended.
	engineNode struct {
		engine *acaciastandin.EngineServer
		server *http.Server
		served chan error
	}

	// runner is an entry or agent that can be started and closed.
	runner interface {
		Start(ctx context.Context) error
		Close(ctx context.Context) error
	}
)

const (
	dataCentre        = "ost-wien"
	region            = "ost"
	service           = "zeichner"
	model             = "passage-plan"
	readyTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
	headerTimeout     = 5 * time.Second
	maxBodyBytes      = 1 << 20
)

// targetsText returns the targets of the demonstration as TOML text.
func targetsText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[service]]\nname = %q\nkind = \"model\"\nmodels = [%q]\n", service, model)
	for _, c := range classes {
		fmt.Fprintf(&text, "\n[[class]]\nname = %q\nservices = [%q]\nyield_order = %d\nserved_share = 0.9\nfirst_token = %q\ntoken_gap = %q\nwhole_time = \"60s\"\n",
			c.name, service, c.yieldOrder, c.firstToken, c.tokenGap)
	}
	for _, o := range organisations {
		sum := sha256.Sum256([]byte(apiKey(o.name)))
		fmt.Fprintf(&text, "\n[[organisation]]\nname = %q\nkey_hashes = [%q]\nclasses = [\"note\", \"rescue\", \"survey\"]\n", o.name, hex.EncodeToString(sum[:]))
	}
	return text.String()
}

// apiKey returns the API key of an organisation.
func apiKey(organisation string) string {
	return "demo-key-of-" + organisation
}

// newSystem starts the given number of engines, each with an agent, and of entries, and
// waits until all processes are ready.
func newSystem(ctx context.Context, engines, entries int) (*system, error) {
	s := &system{log: acaciastandin.NewLog(), vms: acaciastandin.NewVMList()}
	verdict, err := acaciaconfiguration.Publish(ctx, s.log, 0, targetsText())
	if err != nil {
		return nil, err
	}
	if !verdict.Accepted {
		return nil, verdict.Reason
	}
	for i := range engines {
		if err := s.addEndpoint(ctx, i); err != nil {
			return nil, errors.Join(err, s.close(ctx))
		}
	}
	for i := range entries {
		if err := s.addEntry(ctx, i); err != nil {
			return nil, errors.Join(err, s.close(ctx))
		}
	}
	return s, s.awaitReady(ctx)
}

func (s *system) addEndpoint(ctx context.Context, index int) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	generation := acaciastandin.Generations[index%len(acaciastandin.Generations)]
	node := &engineNode{engine: acaciastandin.NewEngineServer(ctx, generation, true), served: make(chan error, 1)}
	node.server = &http.Server{Handler: node.engine, ReadHeaderTimeout: headerTimeout}
	go func() { node.served <- node.server.Serve(listener) }()
	s.engines = append(s.engines, node)
	s.closers = append(s.closers, func(context.Context) error { return node.crash() })

	settings := acaciasetting.Settings{Agent: &acaciasetting.Agent{Kind: acaciasetting.KindModel, AnswerBytes: 64 << 20}}
	process, err := s.newProcess(ctx, fmt.Sprintf("agent-%d", index), acaciaroute.RoleEndpoint, settings)
	if err != nil {
		return err
	}
	endpoint := acaciaengine.NewModelEngine("http://"+listener.Addr().String(), acaciaengine.NewClient())
	return s.start(ctx, process, acaciaagent.New(process, endpoint))
}

func (s *system) addEntry(ctx context.Context, index int) error {
	address, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	settings := acaciasetting.Settings{Entry: &acaciasetting.Entry{Listen: address, MaxBodyBytes: maxBodyBytes}}
	settings.Entry.BodyTimeout.Set(headerTimeout)
	process, err := s.newProcess(ctx, fmt.Sprintf("entry-%d", index), acaciaroute.RoleEntry, settings)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, address)
	return s.start(ctx, process, acaciaentry.New(ctx, process))
}

func (s *system) newProcess(ctx context.Context, id, role string, settings acaciasetting.Settings) (*acaciaprocess.Process, error) {
	address, err := freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	settings.Process = acaciasetting.Process{ID: id, Address: address, DataCentre: dataCentre, Region: region}
	settings.Platform.LogRetention.Set(acaciaconfiguration.DefaultRetention)
	platform := acaciaprocess.Platform{Log: s.log, VMList: s.vms}
	process := acaciaprocess.New(ctx, settings, role, platform, logr.Discard())
	s.processes = append(s.processes, process)
	return process, nil
}

// start starts a process and adds its VM to the VM list.
func (s *system) start(ctx context.Context, process *acaciaprocess.Process, r runner) error {
	if err := r.Start(ctx); err != nil {
		return err
	}
	s.closers = append(s.closers, r.Close)
	vm := acaciaroute.VM{
		ID:         process.Settings.Process.ID,
		Role:       process.Role,
		Address:    process.Settings.Process.Address,
		DataCentre: dataCentre,
		Region:     region,
		State:      acaciaroute.VMLive,
	}
	if process.Role == acaciaroute.RoleEndpoint {
		vm.Service = service
		vm.Models = []string{model}
	}
	s.vms.Set(vm)
	return nil
}

// awaitReady waits until every process knows the targets and all VMs.
func (s *system) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, process := range s.processes {
		for process.Configuration.Current().Version == 0 || len(process.Directory.VMs()) < len(s.processes) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// events returns the events that all processes have recorded.
func (s *system) events() []acaciaevent.Event {
	var events []acaciaevent.Event
	for _, process := range s.processes {
		events = append(events, process.Recorder.EventsAfter(0)...)
	}
	return events
}

// close closes everything in reverse order of starting.
func (s *system) close(ctx context.Context) error {
	var err error
	for i := len(s.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, s.closers[i](ctx))
	}
	return err
}

// crash closes the engine and its connections at once, as if it had crashed; further calls
// have no effect.
func (n *engineNode) crash() error {
	if n.server == nil {
		return nil
	}
	err := n.server.Close()
	<-n.served
	n.engine.Close()
	n.server = nil
	return err
}

// freeAddress returns a loopback address with a port that is free at the time.
func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
