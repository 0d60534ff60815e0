package acaciagateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	"github.com/acaciaroute/acaciaroute/acaciagossip"
	"github.com/acaciaroute/acaciaroute/acacialimit"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciaregistration"
	"github.com/acaciaroute/acaciaroute/acaciaresponse"
	"github.com/acaciaroute/acaciaroute/acaciaretry"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Gateway accepts callers' requests and forwards them to endpoints.
	Gateway struct {
		settings acaciaplatform.ProcessSettings
		store    *acaciaplatform.Store
		era      *acaciafollow.EraWatch
		// storeRetries says when failed calls of the store are repeated.
		storeRetries *acaciaretry.Schedule
		recorder     *acaciaevent.Recorder
		metrics      *Metrics
		upstream     *acaciaupstream.Pool
		// requests bounds the memory of callers' requests, answers that of answers until callers have them.
		requests *acaciamemory.Requests
		answers  *acaciamemory.Answers
		// guards keep the connections of the servers within their limits; the first one is that of callers.
		guards []acacialimit.Server

		// configuration is the newest version; nil until one has been loaded.
		configuration   atomic.Pointer[loadedConfiguration]
		endpointsLoaded atomic.Bool
		// configurationBound is the time within which a published configuration must be in force, in nanoseconds.
		configurationBound atomic.Int64
		// listReadAt is when the last successful read of changes of the list of endpoints began, in Unix
		// nanoseconds; zero before.
		listReadAt atomic.Int64
		stopping   atomic.Bool
		inFlight   *inFlight
		// explaining holds an element while an explanation is built.
		explaining chan struct{}
		// requestsEnd is done when a stop ends the requests that are still unanswered, by
		// endRequests.
		requestsEnd context.Context
		endRequests context.CancelFunc
		// endpointsRefresher asks for reads of the list of endpoints, originsRefresher for those
		// of the records of streams.
		endpointsRefresher *acaciafollow.Refresher
		originsRefresher   *acaciafollow.Refresher

		// The fields from scheduler to startedAt are accessed only on the loop; so are those of settings that
		// can change.
		loop        *acacialoop.Process
		scheduler   *acaciaschedule.Scheduler
		quota       *acaciabudget.Quota
		retryBudget *acaciabudget.RetryBudget
		members     *acaciapeer.Members
		// registeredPeers holds the addresses that gateways have registered in the store.
		registeredPeers map[string]bool
		// inbox holds messages of other gateways that have not been applied yet.
		inbox        *acaciapeer.Inbox
		crashes      *acaciacrash.Table
		origins      *acaciaorigin.Table
		aware        *acaciaorigin.AwareGateways
		rollouts     *rollouts
		runningCalls map[*exchange]*runningCall
		endpoints    *acaciaregistration.List
		// listReadBegan is when the last successful read of the list of endpoints began.
		listReadBegan time.Time
		// starts holds what shows that the listed starts of endpoints are the current ones.
		starts *acaciaorigin.Starts
		// listEra tells whether the list shows the current starts.
		listEra acaciaorigin.ListEra
		// attester asks endpoints for their starts.
		attester *acaciaregistration.Attester
		// listChanged reports whether origins may not know yet which versions are listed.
		listChanged           bool
		waiters               map[*acaciaschedule.Request]waiter
		tickScheduled         bool
		runScheduled          bool
		broadcastScheduled    bool
		fetchingConfiguration bool
		// peerSender sends messages to the other gateways.
		peerSender *acaciagossip.Sender
		startedAt  int64

		peerSocket *acaciagossip.Socket
		// peerClient fetches the configuration from other gateways.
		peerClient   *http.Client
		servers      []*server
		workers      []*acacialoop.Worker
		serverErrors chan error
	}

	// waiter is a request that waits for the scheduler.
	waiter struct {
		exchange *exchange
		results  chan waitResult
	}

	// waitResult is the scheduler's decision, or why the request must not run.
	waitResult struct {
		decision    acaciaschedule.Decision
		rolloutCall rolloutCall
		err         error
	}

	// loadedConfiguration is a configuration together with its encoded form, which is served
	// to peers.
	loadedConfiguration struct {
		*acaciasite.Configuration
		encoded  []byte
		loadedAt time.Time
	}
)

const (
	// tickInterval is how often the scheduler runs for waiting requests when no other event
	// triggers it.
	tickInterval = 20 * time.Millisecond
	// prefetch is how many requests an endpoint may be sent beyond its number of slots.
	prefetch = 1
	// guaranteedShare is the share of a service's slot time that each class gets even while
	// more urgent classes could use all of it: enough that callers of no class are turned away
	// for good, and too little to be missed by the others.
	guaranteedShare = 0.05
	// drainDelay is how long a stopping gateway accepts all requests before it drains, so that
	// the load balancer has time to see that it is not ready.
	drainDelay = 2900 * time.Millisecond
)

// New returns a gateway that has not been started. It uses the store and the recorder until
// Close returns.
func New(ctx context.Context, settings acaciaplatform.ProcessSettings, store *acaciaplatform.Store, recorder *acaciaevent.Recorder, metrics *Metrics) *Gateway {
	crashes := acaciacrash.NewTable(rand.Float64() * acaciacrash.MaxJitter)
	origins := acaciaorigin.NewTable(initialRetention)
	requestsEnd, endRequests := context.WithCancel(context.Background())
	limits := acaciamemory.Divide(settings.MemoryBytes)
	g := &Gateway{
		settings:     settings,
		store:        store,
		era:          acaciafollow.NewEraWatch(),
		storeRetries: acaciafollow.NewRetries(),
		recorder:     recorder,
		metrics:      metrics,
		upstream:     acaciaupstream.NewPool(),
		requests:     acaciamemory.NewRequests(limits.Requests),
		answers:      acaciamemory.NewAnswers(limits.Answers),
		requestsEnd:  requestsEnd,
		endRequests:  endRequests,
		loop:         acacialoop.New(ctx),
		scheduler: acaciaschedule.New(acaciaschedule.Settings{
			Process: settings.Name, DataCentre: settings.DataCentre, Regions: settings.RegionOfDataCentre, Prefetch: prefetch, GuaranteedShare: guaranteedShare, Random: rand.Float64,
		}),
		quota:              acaciabudget.NewQuota(quotaSettings(&settings)),
		retryBudget:        acaciabudget.NewRetryBudget(retrySettings(&settings)),
		members:            acaciapeer.NewMembers(settings.Name, settings.Region),
		registeredPeers:    map[string]bool{},
		inbox:              acaciapeer.NewInbox(),
		crashes:            crashes,
		origins:            origins,
		starts:             acaciaorigin.NewStarts(),
		aware:              acaciaorigin.NewAwareGateways(),
		endpointsRefresher: acaciafollow.NewRefresher(),
		originsRefresher:   acaciafollow.NewRefresher(),
		inFlight:           newInFlight(),
		explaining:         make(chan struct{}, 1),
		waiters:            map[*acaciaschedule.Request]waiter{},
		runningCalls:       map[*exchange]*runningCall{},
		startedAt:          time.Now().UnixNano(),
		peerSocket:         acaciagossip.NewSocket(recorder),
		peerClient:         &http.Client{Transport: acaciaresponse.NewTransport(&http.Transport{})},
		serverErrors:       make(chan error, 8),
	}
	g.configurationBound.Store(int64(settings.ConfigurationBound))
	g.endpoints = newEndpointList(g)
	g.attester = acaciaregistration.NewAttester(g.requestReport, g.recordStart)
	g.rollouts = newRollouts(g)
	g.peerSender = newPeerSender(g)
	return g
}

// Start listens on the gateway's addresses and returns; the gateway serves until Close.
func (g *Gateway) Start(ctx context.Context) error {
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Detail: "gateway in " + g.settings.DataCentre})
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(acaciaplatform.ReadyPattern, g.serveReady)
	for _, server := range []struct {
		name    string
		address *string
		handler http.Handler
		guard   *acaciaconnection.Guard
	}{
		{"callers", &g.settings.CallerAddress, http.HandlerFunc(g.serveCaller), g.newCallerGuard()},
		{"ready", &g.settings.ReadyAddress, readyMux, g.newInternalGuard()},
		{"peers", &g.settings.PeerAddress, g.peerHandler(), g.newInternalGuard()},
		{"metrics", &g.settings.MetricsAddress, g.metricsHandler(), g.newInternalGuard()},
	} {
		g.guards = append(g.guards, acacialimit.Server{Name: server.name, Guard: server.guard})
		if err := g.serveAddress(ctx, server.address, server.handler, server.guard); err != nil {
			return err
		}
	}
	g.metrics.registry.MustRegister(acacialimit.New(acacialimit.Settings{Prefix: "acaciaroute_gateway", Requests: g.requests, Answers: g.answers, Servers: g.guards}))
	if err := g.peerSocket.Open(ctx, g.settings.PeerAddress); err != nil {
		return err
	}
	runs := []func(context.Context){g.receivePeerMessages, g.followConfiguration, g.followEndpoints, g.registerAndFollowPeers, g.newOriginKeeper().Run, g.keepRollouts, g.runStallClock, g.heartbeat, g.runGuards}
	for _, run := range append(runs, slices.Repeat([]func(context.Context){g.attester.Run}, acaciaregistration.AttesterCount)...) {
		worker := acacialoop.NewWorker()
		worker.Start(ctx, run)
		g.workers = append(g.workers, worker)
	}
	return nil
}

// ServerErrors returns a channel of the errors of servers that stop before Close.
func (g *Gateway) ServerErrors() <-chan error {
	return g.serverErrors
}

// Close shuts the gateway down. It accepts all requests until the load balancer has had time
// to see that the gateway is not ready, then only those whose deadline comes in time before that of
// ctx. What is unanswered then is answered with an error. Close returns when all have been answered
// or ctx ends.
func (g *Gateway) Close(ctx context.Context) error {
	g.stopping.Store(true)
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopping})
	stopAt := drainDeadline(ctx)
	endTimer := time.AfterFunc(time.Until(stopAt), g.endRequests)
	defer endTimer.Stop()
	select {
	case <-time.After(min(drainDelay, time.Until(stopAt)/2)):
	case <-ctx.Done():
	}
	select {
	case <-g.inFlight.startDrain(stopAt):
	case <-ctx.Done():
	}
	callerServer, otherServers := g.servers[0], g.servers[1:]
	err := callerServer.Drain(ctx)
	g.announceLeaving()
	for _, worker := range g.workers {
		worker.Close()
	}
	for _, server := range otherServers {
		err = errors.Join(err, server.http.Close())
	}
	g.upstream.Close()
	g.loop.Close()
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopped})
	return errors.Join(err, g.peerSocket.Close())
}

// CallerURL returns the base URL at which a started gateway accepts callers' requests.
func (g *Gateway) CallerURL() string {
	return "http://" + g.settings.CallerAddress
}

// serveAddress serves an address until Close. A port of 0 in address is replaced by the port
// that the system assigned.
func (g *Gateway) serveAddress(ctx context.Context, address *string, handler http.Handler, guard *acaciaconnection.Guard) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *address)
	if err != nil {
		return err
	}
	*address = listener.Addr().String()
	// The guard bounds heads and idle times, because its limits may change.
	server := newServer(listener.(*net.TCPListener), &http.Server{Handler: handler, MaxHeaderBytes: maxServerHeaderBytes}, guard)
	g.servers = append(g.servers, server)
	go func() {
		if err := server.serve(); err != nil {
			g.serverErrors <- err
		}
	}()
	return nil
}

// serveReady answers the readiness probes of the load balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.ready() || g.guards[0].Guard.Full() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether the gateway has a configuration and the list of endpoints.
func (g *Gateway) ready() bool {
	return g.configuration.Load() != nil && g.endpointsLoaded.Load()
}

// scheduleRun makes the scheduler run once for all events that are on the loop now. It must be called
// on the loop.
//
// Load pattern: at a load peak hundreds of requests and messages a second arrive in bursts. A run for
// each of them takes longer than the time between two, and those behind them wait.
func (g *Gateway) scheduleRun() {
	if g.runScheduled {
		return
	}
	g.runScheduled = true
	g.loop.Defer(func() {
		g.runScheduled = false
		g.runScheduler()
	})
}

// runScheduler runs the scheduler and hands its decisions to the waiting requests. It must be
// called on the loop.
func (g *Gateway) runScheduler() {
	now := g.loop.Now()
	g.updateListedOrigins()
	for _, decision := range g.scheduler.DecideWaiting(now) {
		waiter := g.waiters[decision.Request]
		delete(g.waiters, decision.Request)
		waiter.results <- waitResult{decision: decision, rolloutCall: g.rollouts.recordSent(waiter.exchange, decision)}
	}
	g.scheduleBroadcast()
	if len(g.waiters) > 0 && !g.tickScheduled {
		g.tickScheduled = true
		g.loop.After(tickInterval, func() {
			g.tickScheduled = false
			g.runScheduler()
		})
	}
}
