package acaciaagent

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acacialimit"
	"github.com/acaciaroute/acaciaroute/acaciaorder"
	"github.com/acaciaroute/acaciaroute/acaciapoison"
	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciarun"
	"github.com/acaciaroute/acaciaroute/acaciasetting"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Agent is the process that runs beside an endpoint.
	Agent struct {
		process        *acaciaprocess.Process
		endpoint       acaciaroute.Endpoint
		granter        *acaciagrant.Granter
		runStore       *acaciarun.Store
		requestCounts  *acaciaprocess.RequestCounts
		metrics        *metrics
		started        time.Time
		poisonRegistry *acaciapoison.Registry
		crashDetector  *crashDetector
		// orderGuard is nil for plain services, which accept no orders.
		orderGuard *acaciaorder.Guard
		// executions holds the requests that are running at the endpoint, by request ID. It
		// is only accessed on the loop.
		executions map[string]*execution

		runContext       context.Context
		cancelRuns       context.CancelFunc
		executionChanges chan *execution
		closing          chan struct{}
		supervisorDone   chan struct{}
	}
)

const (
	// KeyedAnswerLifetime is how long an agent keeps the answer to a request with an
	// idempotency key.
	KeyedAnswerLifetime = 40 * time.Minute

	// answerLifetime is how long an agent keeps any other answer.
	answerLifetime = 30 * time.Second
	// maxUnreadBytes bounds the unread bytes of an answer without an idempotency key.
	maxUnreadBytes = 1 << 20
	sweepInterval  = time.Second
	// unreadTimeout is how long a run continues while no entry reads its answer, and
	// keyedUnreadTimeout is the same for a request with an idempotency key.
	unreadTimeout      = 15 * time.Second
	keyedUnreadTimeout = 2 * time.Minute
	drainPollInterval  = 20 * time.Millisecond

	cachePollInterval = 2 * time.Second

	// minKeyedUptime is how long after its start an agent refuses requests with
	// idempotency keys, so that by then every entry lists it and asks it for locks.
	minKeyedUptime = 3 * time.Second
)

// New returns an agent for an endpoint. The agent does not run until Start is called.
func New(process *acaciaprocess.Process, endpoint acaciaroute.Endpoint) *Agent {
	settings := process.Settings.Agent
	executions := map[string]*execution{}
	granterSettings := acaciagrant.Settings{
		Plain:       settings.Kind == acaciasetting.KindPlain,
		PlainLimit:  settings.PlainLimit,
		CacheTokens: settings.CacheTokens,
		GrantBase:   rand.Uint64() &^ grantCounterMask,
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
	storeSettings := acaciarun.Settings{
		KeyedRetention: KeyedAnswerLifetime,
		Retention:      answerLifetime,
		MaxBytes:       answerBytes(settings.AnswerBytes, process.Memory.Answers),
		MaxUnreadBytes: maxUnreadBytes,
		ReplayBytes:    acaciaprocess.StreamWindow,

		UnreadTimeout:      unreadTimeout,
		KeyedUnreadTimeout: keyedUnreadTimeout,
	}
	a := &Agent{
		process:        process,
		endpoint:       endpoint,
		granter:        acaciagrant.New(process.Loop, granterSettings),
		runStore:       acaciarun.NewStore(storeSettings, time.Now),
		requestCounts:  acaciaprocess.NewRequestCounts(),
		metrics:        newMetrics(),
		started:        time.Now(),
		poisonRegistry: acaciapoison.New(process.Log, process.Recorder),

		executions: executions,

		executionChanges: make(chan *execution),
		closing:          make(chan struct{}),
		supervisorDone:   make(chan struct{}),
	}
	if engine, ok := endpoint.(acaciaroute.Engine); ok {
		a.orderGuard = acaciaorder.NewGuard(process.Log, engine, process.Recorder, process.Settings.Process.ID, settings.ChecksFencing)
	}
	a.crashDetector = newCrashDetector(a.addPoisonReport)
	process.Registry.MustRegister(a.requestCounts, acacialimit.New(acacialimit.Settings{
		Prefix: "acaciaroute_agent", Answers: a.runStore.Memory(), Messages: process.Messages, Servers: []acacialimit.Server{{Name: "peers", Guard: process.PeerGuard, Peers: true}},
	}))
	a.metrics.register(process.Registry)
	process.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "acaciaroute_agent_evicted_answers_total",
		Help: "Answers that were dropped, or no longer kept for repeats, for others.",
	}, func() float64 { return float64(a.runStore.Memory().Counts().Evicted) }))
	process.Directory.OnChange(a.followVMList)
	return a
}

// answerBytes returns how much answers may hold: what the settings say, but no more than their share of the memory.
func answerBytes(configured, share int64) int64 {
	if share > 0 {
		return min(configured, share)
	}
	return configured
}

// grantCounterMask selects the bits of a grant's number that count the grants; the other
// bits identify the agent's incarnation. It must cover as many bits as incarnationShift of
// acaciagrant states.
const grantCounterMask = 1<<32 - 1

// Start starts the agent's services for entries; ctx bounds all its runs.
func (a *Agent) Start(ctx context.Context) error {
	a.runContext, a.cancelRuns = context.WithCancel(ctx)
	if err := a.process.Start(ctx, a); err != nil {
		return err
	}
	a.poisonRegistry.Start(ctx)
	go a.superviseExecutions()
	a.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessReady})
	return nil
}

// Close refuses new reservations, waits until all running requests have ended and their
// answers have been read, and then closes the process. If ctx ends first, the remaining
// runs are cancelled.
func (a *Agent) Close(ctx context.Context) error {
	a.process.BeginStop()
	a.process.Loop.Do(a.granter.Stop)
	drained := a.drain(ctx)
	a.cancelRuns()
	close(a.closing)
	<-a.supervisorDone
	a.poisonRegistry.Close()
	return errors.Join(drained, a.process.Close(ctx))
}

// addPoisonReport publishes the contents of the requests that were running when the
// endpoint crashed, or the content of a request that completed alone without a crash.
func (a *Agent) addPoisonReport(report acaciapoison.Report) {
	if !report.Cleared {
		a.process.Recorder.Record(acaciaevent.Event{Kind: acaciaevent.EndpointDied, Count: int64(len(report.Contents))})
	}
	a.poisonRegistry.AddReport(report)
}

func (a *Agent) uptime() time.Duration {
	return time.Since(a.started)
}

// drain waits until no request is running, no grant is held and every answer has been
// read.
func (a *Agent) drain(ctx context.Context) error {
	for {
		idle := false
		a.process.Loop.Do(func() { idle = a.granter.Idle() })
		if idle && a.runStore.AllDelivered() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(drainPollInterval):
		}
	}
}

// Ready implements acaciaprocess.Role.
func (a *Agent) Ready() bool {
	return !a.process.Stopping()
}

// Counts implements acaciaprocess.Role.
func (a *Agent) Counts() []*acaciawire.StatusCount {
	return a.requestCounts.Counts()
}

// FindRun implements acaciaprocess.Role.
func (a *Agent) FindRun(_ context.Context, request *acaciawire.FindRunRequest) *acaciawire.FindRunReply {
	run := a.runStore.FindKey(request.KeyHash)
	if run == nil {
		state := acaciawire.RunUnknown
		if a.runStore.KeyDropped(request.KeyHash) {
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

// superviseExecutions counts the running executions, sweeps unread runs and expired
// answers, and polls the engine's cache evictions. It returns when the agent is
// closing and the last execution has ended.
func (a *Agent) superviseExecutions() {
	defer close(a.supervisorDone)
	sweepTicker := time.NewTicker(sweepInterval)
	defer sweepTicker.Stop()
	cacheTicker := time.NewTicker(cachePollInterval)
	defer cacheTicker.Stop()
	running := 0
	closing := a.closing
	cacheEvictions := cacheFollower{agent: a, engineDependency: acaciaevent.NewDependency(a.process.Recorder, "cache events of the engine")}
	for closing != nil || running > 0 {
		select {
		case e := <-a.executionChanges:
			running += e.runningDelta()
		case <-sweepTicker.C:
			a.runStore.Sweep()
		case <-cacheTicker.C:
			cacheEvictions.poll()
		case <-closing:
			closing = nil
		}
	}
}

// followVMList stops granting while the platform lists the agent's VM as leaving.
func (a *Agent) followVMList(vms []acaciaroute.VM) {
	if !a.process.UpdateOwnVM(vms) {
		return
	}
	a.process.Loop.Post(func() {
		if a.process.VMLeaving() || a.process.Stopping() {
			a.granter.Stop()
			return
		}
		a.granter.Resume()
	})
}
