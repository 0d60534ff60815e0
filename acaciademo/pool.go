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
	// pool is a system with stand-ins in one process.
	pool struct {
		log       *acaciastandin.Log
		vms       *acaciastandin.VMList
		engines   []*engineNode
		entries   []string
		processes []*acaciaprocess.Process
		closers   []func(context.Context) error
	}

	// engineNode is an engine behind its own HTTP server.
	engineNode struct {
		engine *acaciastandin.EngineServer
		server *http.Server
		served chan error
	}

	runner interface {
		Start(ctx context.Context) error
		Close(ctx context.Context) error
	}
)

const (
	dataCentre   = "ost-wien"
	region       = "ost"
	service      = "zeichner"
	model        = "passage-plan"
	readyTime    = 10 * time.Second
	readyPoll    = 20 * time.Millisecond
	headerTime   = 5 * time.Second
	maxBodyBytes = 1 << 20
)

// targetsText returns the targets of the demonstration.
func targetsText() string {
	var text strings.Builder
	fmt.Fprintf(&text, "[[service]]\nname = %q\nkind = \"model\"\nmodels = [%q]\n", service, model)
	for _, c := range classes {
		fmt.Fprintf(&text, "\n[[class]]\nname = %q\nservices = [%q]\nyield_order = %d\nserved_share = 0.9\nfirst_token = %q\ntoken_gap = %q\nwhole_time = \"60s\"\n",
			c.name, service, c.order, c.firstToken, c.tokenGap)
	}
	for _, o := range organisations {
		sum := sha256.Sum256([]byte(keyOf(o.name)))
		fmt.Fprintf(&text, "\n[[organisation]]\nname = %q\nkey_hashes = [%q]\nclasses = [\"note\", \"rescue\", \"survey\"]\n", o.name, hex.EncodeToString(sum[:]))
	}
	return text.String()
}

func keyOf(organisation string) string {
	return "demo-key-of-" + organisation
}

// newPool starts engines with an agent each, and entries, and waits until they
// are ready.
func newPool(ctx context.Context, engines, entries int) (*pool, error) {
	p := &pool{log: acaciastandin.NewLog(), vms: acaciastandin.NewVMList()}
	verdict, err := acaciaconfiguration.Publish(ctx, p.log, 0, targetsText())
	if err != nil {
		return nil, err
	}
	if !verdict.Accepted {
		return nil, verdict.Reason
	}
	for i := range engines {
		if err := p.addEndpoint(ctx, i); err != nil {
			return nil, errors.Join(err, p.close(ctx))
		}
	}
	for i := range entries {
		if err := p.addEntry(ctx, i); err != nil {
			return nil, errors.Join(err, p.close(ctx))
		}
	}
	return p, p.awaitReady(ctx)
}

func (p *pool) addEndpoint(ctx context.Context, index int) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	generation := acaciastandin.Generations[index%len(acaciastandin.Generations)]
	node := &engineNode{engine: acaciastandin.NewEngineServer(ctx, generation, true), served: make(chan error, 1)}
	node.server = &http.Server{Handler: node.engine, ReadHeaderTimeout: headerTime}
	go func() { node.served <- node.server.Serve(listener) }()
	p.engines = append(p.engines, node)
	p.closers = append(p.closers, func(context.Context) error { return node.die() })

	settings := acaciasetting.Settings{Agent: &acaciasetting.Agent{Kind: acaciasetting.KindModel, AnswerBytes: 64 << 20}}
	process, err := p.newProcess(ctx, fmt.Sprintf("agent-%d", index), acaciaroute.RoleEndpoint, settings)
	if err != nil {
		return err
	}
	endpoint := acaciaengine.NewModel("http://"+listener.Addr().String(), acaciaengine.NewClient())
	return p.start(ctx, process, acaciaagent.New(process, endpoint))
}

func (p *pool) addEntry(ctx context.Context, index int) error {
	address, err := freeAddress(ctx)
	if err != nil {
		return err
	}
	settings := acaciasetting.Settings{Entry: &acaciasetting.Entry{Listen: address, MaxBodyBytes: maxBodyBytes}}
	settings.Entry.BodyTimeout.Set(headerTime)
	process, err := p.newProcess(ctx, fmt.Sprintf("entry-%d", index), acaciaroute.RoleEntry, settings)
	if err != nil {
		return err
	}
	p.entries = append(p.entries, address)
	return p.start(ctx, process, acaciaentry.New(ctx, process))
}

func (p *pool) newProcess(ctx context.Context, id, role string, settings acaciasetting.Settings) (*acaciaprocess.Process, error) {
	address, err := freeAddress(ctx)
	if err != nil {
		return nil, err
	}
	settings.Process = acaciasetting.Process{ID: id, Address: address, DataCentre: dataCentre, Region: region}
	settings.Platform.LogRetention.Set(acaciaconfiguration.DefaultRetention)
	platform := acaciaprocess.Platform{Log: p.log, VMList: p.vms}
	process := acaciaprocess.New(ctx, settings, role, platform, logr.Discard())
	p.processes = append(p.processes, process)
	return process, nil
}

// start starts a process and puts its VM on the list.
func (p *pool) start(ctx context.Context, process *acaciaprocess.Process, r runner) error {
	if err := r.Start(ctx); err != nil {
		return err
	}
	p.closers = append(p.closers, r.Close)
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
	p.vms.Set(vm)
	return nil
}

// awaitReady waits until every process knows the targets and all VMs.
func (p *pool) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	for _, process := range p.processes {
		for process.Keeper.Current().Version == 0 || len(process.Directory.VMs()) < len(p.processes) {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// events returns what all processes have recorded.
func (p *pool) events() []acaciaevent.Event {
	var events []acaciaevent.Event
	for _, process := range p.processes {
		events = append(events, process.Recorder.After(0)...)
	}
	return events
}

// close stops everything, the newest first.
func (p *pool) close(ctx context.Context) error {
	var err error
	for i := len(p.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, p.closers[i](ctx))
	}
	return err
}

// die ends the engine as a crash does.
func (n *engineNode) die() error {
	if n.server == nil {
		return nil
	}
	err := n.server.Close()
	<-n.served
	n.engine.Close()
	n.server = nil
	return err
}

func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
