package acaciagateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	"github.com/acaciaroute/acaciaroute/acaciaupstream"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Gateway takes requests and passes them to endpoints.
	Gateway struct {
		settings acaciaplatform.ProcessSettings
		store    *acaciaplatform.Store
		recorder *acaciaevent.Recorder
		metrics  *Metrics
		upstream *acaciaupstream.Pool

		// configuration is the newest version; nil until there is one.
		configuration atomic.Pointer[published]
		listed        atomic.Bool
		stopping      atomic.Bool
		inHand        *inHand

		// loop owns the fields below.
		loop      *acacialoop.Process
		scheduler *acaciaschedule.Scheduler
		quota     *acaciabudget.Quota
		repeats   *acaciabudget.Repeats
		members   *acaciapeer.Members
		suspects  *suspects
		endpoints *endpointList
		waiters   map[*acaciaschedule.Request]chan acaciaschedule.Decision
		ticking   bool
		telling   bool
		fetching  bool
		sequence  uint64
		started   int64

		socket *net.UDPConn
		// peers calls the other gateways.
		peers   *http.Client
		servers []*http.Server
		workers []*acacialoop.Worker
		ended   chan error
	}

	// published is a configuration with its text, which peers may ask for.
	published struct {
		*acaciasite.Configuration
		text []byte
		at   time.Time
	}
)

const (
	// tickTime is how often waiting requests are looked at when nothing happens.
	tickTime = 20 * time.Millisecond
	// prefetch is how many requests an endpoint gets beyond its places.
	prefetch = 1
	// noticeTime is how long a stopping gateway goes on taking all requests, so that the
	// balancer has seen that it is not ready.
	noticeTime = 2900 * time.Millisecond
	// headerTime and idleTime bound callers where the configuration has not been read.
	headerTime = 10 * time.Second
	idleTime   = 5 * time.Minute
	// maxHeaderBytes bounds the headers of a request.
	maxHeaderBytes = 64 << 10
)

// New returns a gateway that has not started; the store and the recorder are used until
// Close.
func New(ctx context.Context, settings acaciaplatform.ProcessSettings, store *acaciaplatform.Store, recorder *acaciaevent.Recorder, metrics *Metrics) *Gateway {
	return &Gateway{
		settings: settings,
		store:    store,
		recorder: recorder,
		metrics:  metrics,
		upstream: acaciaupstream.NewPool(),
		loop:     acacialoop.New(ctx),
		scheduler: acaciaschedule.New(acaciaschedule.Settings{
			DataCentre: settings.DataCentre, Regions: settings.Regions, Prefetch: prefetch, Draw: rand.Float64,
		}),
		quota: acaciabudget.NewQuota(acaciabudget.QuotaSettings{
			Window: settings.QuotaWindow, Overrun: settings.QuotaOverrun, Slack: settings.QuotaSlack,
		}),
		repeats: acaciabudget.NewRepeats(acaciabudget.RepeatSettings{
			Ratio: settings.RepeatRatio, Slack: settings.RepeatSlack, Window: settings.RepeatWindow,
		}),
		members:   acaciapeer.NewMembers(settings.Name, settings.Region),
		suspects:  newSuspects(),
		endpoints: newEndpointList(),
		inHand:    newInHand(),
		waiters:   map[*acaciaschedule.Request]chan acaciaschedule.Decision{},
		started:   time.Now().UnixNano(),
		peers:     &http.Client{Transport: &http.Transport{}},
		ended:     make(chan error, 8),
	}
}

// Start opens the gateway's addresses and returns; it serves until Close.
func (g *Gateway) Start(ctx context.Context) error {
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Detail: "gateway in " + g.settings.DataCentre})
	ready := http.NewServeMux()
	ready.HandleFunc(acaciaplatform.ReadyPattern, g.serveReady)
	for _, s := range []struct {
		address *string
		handler http.Handler
	}{
		{&g.settings.CallerAddress, http.HandlerFunc(g.serve)},
		{&g.settings.ReadyAddress, ready},
		{&g.settings.PeerAddress, g.peerHandler()},
		{&g.settings.MetricsAddress, g.metrics.handler()},
	} {
		if err := g.listen(ctx, s.address, s.handler); err != nil {
			return err
		}
	}
	if err := g.listenPeers(ctx); err != nil {
		return err
	}
	for _, run := range []func(context.Context){g.hearPeers, g.followConfiguration, g.followEndpoints, g.followPeers, g.heartbeat} {
		worker := acacialoop.NewWorker()
		worker.Start(ctx, run)
		g.workers = append(g.workers, worker)
	}
	return nil
}

// Ended gives the errors of servers that end before Close.
func (g *Gateway) Ended() <-chan error {
	return g.ended
}

// Close goes on taking requests for a while, then those that are sure to end before ctx
// does, and ends when it has answered them or ctx ends.
func (g *Gateway) Close(ctx context.Context) error {
	g.stopping.Store(true)
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopping})
	end := endOf(ctx)
	select {
	case <-time.After(min(noticeTime, time.Until(end)/2)):
	case <-ctx.Done():
	}
	select {
	case <-g.inHand.drain(end):
	case <-ctx.Done():
	}
	callers, rest := g.servers[0], g.servers[1:]
	err := callers.Shutdown(ctx)
	g.leave()
	for _, worker := range g.workers {
		worker.Close()
	}
	for _, server := range rest {
		err = errors.Join(err, server.Close())
	}
	g.upstream.Close()
	g.loop.Close()
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStopped})
	return errors.Join(err, g.socket.Close())
}

// CallerURL returns the base URL at which a started gateway takes requests.
func (g *Gateway) CallerURL() string {
	return "http://" + g.settings.CallerAddress
}

// listen serves an address until Close; a port of 0 is replaced by the one it got.
func (g *Gateway) listen(ctx context.Context, address *string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *address)
	if err != nil {
		return err
	}
	*address = listener.Addr().String()
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.ended <- err
		}
	}()
	return nil
}

// serveReady answers the balancer.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if g.stopping.Load() || !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready tells whether the gateway knows what to serve and where.
func (g *Gateway) ready() bool {
	return g.configuration.Load() != nil && g.listed.Load()
}

// step lets the scheduler decide and passes its decisions on; it runs on the loop.
func (g *Gateway) step() {
	now := g.loop.Now()
	for _, decision := range g.scheduler.Step(now) {
		waiter := g.waiters[decision.Request]
		delete(g.waiters, decision.Request)
		waiter <- decision
	}
	g.tell()
	if len(g.waiters) > 0 && !g.ticking {
		g.ticking = true
		g.loop.After(tickTime, func() {
			g.ticking = false
			g.step()
		})
	}
}
