package acaciaagent

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciarun"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Agent is the process beside an endpoint.
	Agent struct {
		process  *acaciaprocess.Process
		endpoint acaciaroute.Endpoint
		granter  *acaciagrant.Granter
		book     *acaciarun.Book
		tally    *acaciaprocess.Tally
		metrics  *metrics
		started  time.Time
		poison   *acaciapoison.Registry
		crashes  *crashDetector
		// guard is nil before plain services.
		guard *acaciaorder.Guard
		// executions holds the requests at the endpoint; it belongs to the loop.
		executions map[string]*execution

		runs     context.Context
		stopRuns context.CancelFunc
		reports  chan *execution
		closing  chan struct{}
		finished chan struct{}
	}
)

const (
	// KeyedLife is how long an agent keeps the answer of a request that carries
	// an idempotency key.
	KeyedLife = 40 * time.Minute

	answerLife    = 30 * time.Second
	answerWindow  = 1 << 20
	sweepInterval = time.Second
	// readerPatience is how long a run goes on while nobody reads its answer, and
	// keyedPatience the same for a request with an idempotency key.
	readerPatience = 15 * time.Second
	keyedPatience  = 2 * time.Minute
	drainPoll      = 20 * time.Millisecond

	cacheInterval = 2 * time.Second

	// minKeyedUptime is how long an agent runs no requests with idempotency keys, so that
	// every entry has it in its list by then and asks it for locks.
	minKeyedUptime = 3 * time.Second
)

// New returns an agent before an endpoint; it has not started.
func New(process *acaciaprocess.Process, endpoint acaciaroute.Endpoint) *Agent {
	settings := process.Settings.Agent
	executions := map[string]*execution{}
	limits := acaciagrant.Settings{
		Plain:       settings.Kind == acaciasetting.KindPlain,
		PlainLimit:  settings.PlainLimit,
		CacheTokens: settings.CacheTokens,
		GrantBase:   rand.Uint64() &^ grantCounter,
		TakeBack:    func(requestID string) { executions[requestID].takeBack() },
		OnStragglingChange: func(straggling bool, slowdown float64) {
			kind := acaciaevent.EndpointRecovered
			if straggling {
				kind = acaciaevent.EndpointSlowed
			}
			process.Recorder.Record(acaciaevent.Event{
				Kind:     kind,
				Endpoint: process.Settings.Process.ID,
				Inputs:   &acaciaevent.Inputs{Slowdown: math.Round(slowdown*100) / 100},
			})
		},
	}
	keep := acaciarun.Settings{
		KeyedLife: KeyedLife,
		Life:      answerLife,
		Bytes:     settings.AnswerBytes,
		Window:    answerWindow,
		Kept:      acaciaprocess.StreamWindow,

		Patience:      readerPatience,
		KeyedPatience: keyedPatience,
	}
	a := &Agent{
		process:  process,
		endpoint: endpoint,
		granter:  acaciagrant.New(process.Loop, limits),
		book:     acaciarun.NewBook(keep, time.Now),
		tally:    acaciaprocess.NewTally(),
		metrics:  newMetrics(),
		started:  time.Now(),
		poison:   acaciapoison.New(process.Log, process.Recorder),

		executions: executions,

		reports:  make(chan *execution),
		closing:  make(chan struct{}),
		finished: make(chan struct{}),
	}
	if engine, ok := endpoint.(acaciaroute.Engine); ok {
		a.guard = acaciaorder.NewGuard(process.Log, engine, process.Recorder, process.Settings.Process.ID, settings.ChecksFencing)
	}
	a.crashes = newCrashDetector(a.reportContents)
	process.Registry.MustRegister(a.tally)
	a.metrics.register(process.Registry)
	process.Directory.OnChange(a.followList)
	return a
}

// grantCounter is the part of a grant's number that counts; the rest names the
// agent's incarnation.
const grantCounter = 1<<32 - 1

// Start begins to serve entries.
func (a *Agent) Start(ctx context.Context) error {
	a.runs, a.stopRuns = context.WithCancel(ctx)
	if err := a.process.Start(ctx, a); err != nil {
		return err
	}
	a.poison.Start(ctx)
	go a.own()
	a.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessReady})
	return nil
}

// Close stops taking work, waits until what runs has been answered, and ends the
// process; when ctx ends first, the rest is cut.
func (a *Agent) Close(ctx context.Context) error {
	a.process.BeginStop()
	a.process.Loop.Do(a.granter.Stop)
	drained := a.drain(ctx)
	a.stopRuns()
	close(a.closing)
	<-a.finished
	a.poison.Close()
	return errors.Join(drained, a.process.Close(ctx))
}

// reportContents tells the other processes of contents that ran when the endpoint
// died, or that ran alone and did no harm.
func (a *Agent) reportContents(report acaciapoison.Report) {
	if !report.Cleared {
		a.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.EndpointDied, Count: int64(len(report.Contents))})
	}
	a.poison.Add(report)
}

func (a *Agent) uptime() time.Duration {
	return time.Since(a.started)
}

// drain waits until every answer has been read.
func (a *Agent) drain(ctx context.Context) error {
	for {
		idle := false
		a.process.Loop.Do(func() { idle = a.granter.Idle() })
		if idle && a.book.Delivered() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPoll):
		}
	}
}

// Ready implements acaciaprocess.Role.
func (a *Agent) Ready() bool {
	return !a.process.Stopping()
}

// Counts implements acaciaprocess.Role.
func (a *Agent) Counts() []*acaciawire.StatusCount {
	return a.tally.Counts()
}

// FindRun implements acaciaprocess.Role.
func (a *Agent) FindRun(_ context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
	run := a.book.FindKey(request.KeyHash)
	if run == nil {
		state := acaciawire.RunUnknown
		if a.book.KeyDropped(request.KeyHash) {
			state = acaciawire.RunFinished
		}
		return &acaciawire.FindRunReply{State: int32(state)}
	}
	state := acaciawire.RunRunning
	if run.Answer.Finished() {
		state = acaciawire.RunFinished
	}
	return &acaciawire.FindRunReply{
		State:     int32(state),
		RequestId: run.RequestID,
		Address:   a.process.Settings.Process.Address,
	}
}

// Handle implements acaciaprocess.Role.
func (a *Agent) Handle(mux *http.ServeMux) {
	mux.Handle(acaciawire.NewAgentServiceHandler(&handler{agent: a}))
}

// own reads the ends of all executions and tidies the book.
func (a *Agent) own() {
	defer close(a.finished)
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	cache := time.NewTicker(cacheInterval)
	defer cache.Stop()
	running := 0
	closing := a.closing
	events := cacheFollower{agent: a, engine: acaciaevent.NewDependency(a.process.Recorder, "cache events of the engine")}
	for closing != nil || running > 0 {
		select {
		case e := <-a.reports:
			running += e.change()
		case <-ticker.C:
			a.book.Sweep()
		case <-cache.C:
			events.poll()
		case <-closing:
			closing = nil
		}
	}
}

// followList stops the agent's grants while the platform calls its VM leaving.
func (a *Agent) followList(vms []acaciaroute.VM) {
	if !a.process.FollowOwnVM(vms) {
		return
	}
	a.process.Loop.Post(func() {
		if a.process.Leaving() || a.process.Stopping() {
			a.granter.Stop()
			return
		}
		a.granter.Resume()
	})
}
