package acaciaexperiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

type (
	// simulation is one run of a policy: production choosers and granters over simulated
	// engines and a simulated network.
	simulation struct {
		workload           Workload
		loop               *acacialoop.Virtual
		network            *network
		random             *rand.Rand
		recorder           *acaciaevent.Recorder
		entries            []*entry
		endpointsByAddress map[string]*endpoint
		endpointList       []*endpoint
		results            []*Result
		// callersRetry makes refused callers retry after the time in Retry-After.
		callersRetry bool
		// onProgress, if set, is called for each token that an engine emits and, with last
		// set, for each request that an engine loses in a crash.
		onProgress func(r *Result, first, last bool)
	}

	// entry is the entry of a data centre, reduced to its chooser.
	entry struct {
		simulation *simulation
		dataCentre DataCentre
		chooser    *acaciachoice.Chooser
	}

	// endpoint is an engine with its agent, reduced to the granter.
	endpoint struct {
		simulation *simulation
		vm         acaciaroute.VM
		dataCentre DataCentre
		engine     *acaciastandin.EngineCore
		settings   acaciastandin.EngineSettings
		granter    *acaciagrant.Granter
		// admitAll makes the agent grant every reservation at once, as if there were
		// no agent in front of the engine.
		admitAll     bool
		crashed      bool
		reportedLoad int
		// takeBackFuncs holds, by request ID, the functions that take running requests
		// back.
		takeBackFuncs map[string]func()
	}

	// Result is the outcome of one request. Times are measured from the start of the
	// run.
	Result struct {
		Arrival
		Code            acaciaroute.Code
		EndedAt         time.Duration
		GrantedAt       time.Duration
		FirstTokenAt    time.Duration
		LastTokenAt     time.Duration
		ProducedTokens  int
		PrefilledTokens int
		// LostPrefill is the number of prompt tokens prefilled in runs that were taken
		// back.
		LostPrefill int
		// AvoidablePrefill is the number of prompt tokens that were prefilled although
		// another endpoint of the region had them in its cache.
		AvoidablePrefill int
		Endpoint         string
		Done             bool
		// FirstCallAt is the time of the caller's first attempt, and Attempt the number
		// of this one, from 1.
		FirstCallAt time.Duration
		Attempt     int
		// reconcileLink, set for a request to another region, corrects the link budget
		// by the difference between the bytes debited for the request and those that
		// it used.
		reconcileLink func()
	}
)

const (
	loadReportInterval = time.Second
	// modelName is the name of the only service and of its only model.
	modelName = "model"
)

var startTime = time.Unix(1_800_000_000, 0)

func newSimulation(workload Workload, seed uint64, eventCapacity int) *simulation {
	loop := acacialoop.NewVirtual(startTime)
	s := &simulation{
		workload:           workload,
		loop:               loop,
		network:            newNetwork(loop),
		random:             rand.New(rand.NewPCG(seed, 2)),
		endpointsByAddress: map[string]*endpoint{},
	}
	s.recorder = acaciaevent.NewRecorder("experiment", acaciaevent.NewClock(loop.Now), logr.Discard(), eventCapacity)
	for _, dataCentre := range workload.DataCentres {
		for range dataCentre.Engines {
			s.addEndpoint(dataCentre)
		}
	}
	return s
}

func (s *simulation) addEndpoint(dataCentre DataCentre) {
	index := len(s.endpointList)
	e := &endpoint{
		simulation: s,
		dataCentre: dataCentre,
		settings:   acaciastandin.Generations[index%len(acaciastandin.Generations)],
		vm: acaciaroute.VM{
			ID:         fmt.Sprintf("endpoint-%02d", index),
			Role:       acaciaroute.RoleEndpoint,
			Service:    modelName,
			Models:     []string{modelName},
			Address:    fmt.Sprintf("endpoint-%02d", index),
			DataCentre: dataCentre.Name,
			Region:     dataCentre.Region,
			State:      acaciaroute.VMLive,
		},
	}
	e.engine = acaciastandin.NewEngineCore(s.loop, e.settings)
	e.resetGranter()
	s.endpointList = append(s.endpointList, e)
	s.endpointsByAddress[e.vm.Address] = e
}

// resetGranter gives the agent a new granter, which has no record of earlier requests.
func (e *endpoint) resetGranter() {
	e.takeBackFuncs = map[string]func(){}
	e.granter = acaciagrant.New(e.simulation.loop, acaciagrant.Settings{
		CacheTokens: e.settings.CacheTokens,
		TakeBack:    func(id string) { e.takeBackFuncs[id]() },
	})
}

// addEntries adds an entry with a policy to each data centre.
func (s *simulation) addEntries(policy func() acaciaroute.Policy) {
	for _, dataCentre := range s.workload.DataCentres {
		e := &entry{simulation: s, dataCentre: dataCentre}
		e.chooser = acaciachoice.New(s.loop, policy(), e, dataCentre.Region, s.random)
		s.entries = append(s.entries, e)
	}
	s.divideLinkRate()
	s.reportLoads()
}

// divideLinkRate divides the link budget of each region equally among its entries.
func (s *simulation) divideLinkRate() {
	entries := map[string]int{}
	for _, e := range s.entries {
		entries[e.dataCentre.Region]++
	}
	for _, e := range s.entries {
		e.chooser.SetRegionLinkRate(linkBudgetShare * s.network.linkBytesPerSecond / float64(entries[e.dataCentre.Region]))
	}
}

// reportLoads tells the entries the load that each engine had one loadReportInterval ago,
// and does so again after each interval.
func (s *simulation) reportLoads() {
	endpoints := make([]acaciachoice.Endpoint, 0, len(s.endpointList))
	for _, e := range s.endpointList {
		endpoints = append(endpoints, acaciachoice.Endpoint{VM: e.vm, ReportedLoad: e.reportedLoad})
		load := e.engine.Load()
		e.reportedLoad = load.Running + load.Waiting
	}
	for _, e := range s.entries {
		e.chooser.SetEndpoints(endpoints)
	}
	s.loop.After(loadReportInterval, s.reportLoads)
}

// scheduleArrivals schedules the submission of each request of a trace.
func (s *simulation) scheduleArrivals(arrivals []Arrival, submit func(*Result)) {
	for _, arrival := range arrivals {
		result := &Result{Arrival: arrival, FirstCallAt: arrival.At, Attempt: 1}
		s.results = append(s.results, result)
		s.loop.After(arrival.At, func() {
			s.recordEvent(acaciaevent.RequestArrived, result, "")
			submit(result)
		})
	}
}

func (s *simulation) elapsed() time.Duration {
	return s.loop.Now().Sub(startTime)
}

func (s *simulation) recordEvent(kind acaciaevent.Kind, r *Result, endpoint string) {
	class := s.workload.Classes[r.Class]
	s.recorder.Record(acaciaevent.Event{
		Kind:         kind,
		RequestID:    r.ID,
		Service:      modelName,
		Model:        modelName,
		Class:        class.Name,
		Rank:         class.Rank,
		Organisation: s.workload.Organisations[r.Organisation].Name,
		Endpoint:     endpoint,
		Count:        int64(class.FirstToken),
	})
}

// recordShed records that a request was shed after asking a number of agents.
func (s *simulation) recordShed(r *Result, asked int) {
	class := s.workload.Classes[r.Class]
	s.recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.RequestShed,
		RequestID: r.ID,
		Class:     class.Name,
		Rank:      class.Rank,
		Count:     int64(asked),
	})
}

// submit submits a request to the chooser of the entry in its data centre.
func (s *simulation) submit(r *Result) {
	class := s.workload.Classes[r.Class]
	from := s.entries[r.DataCentre]
	isLowestClass := r.Class == len(s.workload.Classes)-1
	from.chooser.Submit(acaciaroute.Reservation{
		RequestID:    r.ID,
		Service:      modelName,
		Model:        modelName,
		Class:        class.Name,
		Rank:         class.Rank,
		Organisation: s.workload.Organisations[r.Organisation].Name,
		PromptTokens: r.PromptTokens,
		OutputTokens: class.Output.High,
		Prefixes:     r.Prefixes,
		Slack:        class.FirstToken - (s.elapsed() - r.At),
		TokenGap:     class.TokenGap,
		Repeatable:   class.Repeatable && r.LostPrefill == 0,
	}, isLowestClass, func(d acaciachoice.Decision) { from.handleDecision(r, d) })
}

func (e *entry) handleDecision(r *Result, d acaciachoice.Decision) {
	s := e.simulation
	if d.Code != acaciaroute.CodeOK {
		r.Code = d.Code
		r.EndedAt = s.elapsed()
		s.recordShed(r, d.Asked)
		s.scheduleRetry(r, d.RetryAfter)
		return
	}
	to := s.endpointsByAddress[d.Candidate.Address]
	requestBytes := controlMessageBytes + bytesPerToken*r.PromptTokens
	if d.Candidate.Remote {
		r.reconcileLink = func() {
			e.chooser.ReconcileRegionLink(s.workload.Classes[r.Class].Name, d.RegionLinkBytes, int64(max(requestBytes, tokenEventBytes*r.ProducedTokens)))
		}
	}
	s.network.send(e.dataCentre, to.dataCentre, requestBytes, func() { to.runGranted(e, r, d.GrantNumber) }, func() { e.markOutcomeUnknown(r) })
}

// markOutcomeUnknown ends a request whose outcome the entry cannot know.
func (e *entry) markOutcomeUnknown(r *Result) {
	r.Code = acaciaroute.CodeOutcomeUnknown
	r.EndedAt = e.simulation.elapsed()
}

// Reserve implements acaciaroute.AgentLink.
func (e *entry) Reserve(address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	to := e.simulation.endpointsByAddress[address]
	refused := func() {
		notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferRefused})
	}
	e.simulation.network.send(e.dataCentre, to.dataCentre, controlMessageBytes, func() {
		if to.crashed {
			e.simulation.network.send(to.dataCentre, e.dataCentre, controlMessageBytes, refused, func() {})
			return
		}
		to.reserve(reservation, func(offer acaciaroute.Offer) {
			e.simulation.network.send(to.dataCentre, e.dataCentre, controlMessageBytes, func() { notify(offer) }, refused)
		})
	}, refused)
}

// Withdraw implements acaciaroute.AgentLink.
func (e *entry) Withdraw(address, requestID string) {
	to := e.simulation.endpointsByAddress[address]
	e.simulation.network.send(e.dataCentre, to.dataCentre, controlMessageBytes, func() { to.granter.Withdraw(requestID) }, func() {})
}

func (e *endpoint) reserve(reservation acaciaroute.Reservation, notify acaciagrant.OfferFunc) {
	if e.admitAll {
		notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferGranted})
		return
	}
	e.simulation.recordEvent(acaciaevent.ReservationQueued, e.simulation.result(reservation.RequestID), e.vm.ID)
	e.granter.Reserve(reservation, func(offer acaciaroute.Offer) {
		switch {
		case offer.Kind == acaciaroute.OfferGranted:
			e.simulation.recordEvent(acaciaevent.GrantGiven, e.simulation.result(reservation.RequestID), e.vm.ID)
		case offer.RefusedTooLate:
			e.simulation.recordEvent(acaciaevent.ReservationLate, e.simulation.result(reservation.RequestID), e.vm.ID)
		}
		notify(offer)
	})
}

// runGranted starts a granted request. If the grant is no longer valid, the entry submits
// the request again; if the endpoint is down, the outcome is unknown.
func (e *endpoint) runGranted(from *entry, r *Result, grant uint64) {
	if e.crashed {
		from.markOutcomeUnknown(r)
		return
	}
	if !e.admitAll {
		if _, ok := e.granter.StartRun(r.ID, grant); !ok {
			e.simulation.network.send(e.dataCentre, from.dataCentre, controlMessageBytes, func() { e.simulation.submit(r) }, func() { from.markOutcomeUnknown(r) })
			return
		}
	}
	sequence := e.startSequence(r, from.dataCentre)
	e.takeBackFuncs[r.ID] = func() { e.takeBack(from, r, sequence) }
}

// takeBack cancels a run and lets the entry submit the request again, so that it can run
// at another endpoint.
func (e *endpoint) takeBack(from *entry, r *Result, sequence *acaciastandin.Sequence) {
	s := e.simulation
	e.engine.Cancel(sequence)
	e.granter.EndRun(r.ID)
	r.LostPrefill += sequence.PrefilledTokens()
	s.network.send(e.dataCentre, from.dataCentre, controlMessageBytes, func() {
		from.chooser.MarkStraggling(e.vm.ID)
		s.submit(r)
	}, func() { from.markOutcomeUnknown(r) })
}

func (e *endpoint) startSequence(r *Result, caller DataCentre) *acaciastandin.Sequence {
	s := e.simulation
	r.GrantedAt = s.elapsed()
	r.Endpoint = e.vm.ID
	s.recordEvent(acaciaevent.RequestDispatched, r, e.vm.ID)
	sequence := &acaciastandin.Sequence{
		Prefixes:     r.Prefixes,
		PromptTokens: r.PromptTokens,
		OutputTokens: r.OutputTokens,
	}
	firstTokenSeen := false
	cachedElsewhere := e.cachedElsewhere(r)
	sequence.OnToken = func(last bool) {
		r.PrefilledTokens = r.PromptTokens - sequence.CachedTokens
		r.AvoidablePrefill = max(0, cachedElsewhere-sequence.CachedTokens)
		s.notifyProgress(r, !firstTokenSeen, last)
		firstTokenSeen = true
		e.granter.ObserveTokens(r.ID, 1)
		if last {
			e.granter.EndRun(r.ID)
		}
		s.network.send(e.dataCentre, caller, tokenEventBytes, func() { s.receiveToken(r, last) }, func() {})
	}
	sequence.OnCrash = func() {
		s.notifyProgress(r, !firstTokenSeen, true)
		r.PrefilledTokens = r.PromptTokens - sequence.CachedTokens
		e.granter.EndRun(r.ID)
		r.Code = acaciaroute.CodeAnswerCut
		r.EndedAt = s.elapsed()
	}
	e.engine.Submit(sequence)
	return sequence
}

func (s *simulation) notifyProgress(r *Result, first, last bool) {
	if s.onProgress != nil {
		s.onProgress(r, first, last)
	}
}

// cachedElsewhere returns the largest number of the prompt's tokens that another endpoint
// of the region has in its cache.
func (e *endpoint) cachedElsewhere(r *Result) int {
	maxTokens := 0
	for _, other := range e.simulation.endpointList {
		if other != e && !other.crashed && other.dataCentre.Region == e.dataCentre.Region {
			maxTokens = max(maxTokens, other.engine.CachedTokens(r.Prefixes))
		}
	}
	return maxTokens
}

// receiveToken updates the result when a token arrives at the caller.
func (s *simulation) receiveToken(r *Result, last bool) {
	r.ProducedTokens++
	r.LastTokenAt = s.elapsed()
	if r.ProducedTokens == 1 {
		r.FirstTokenAt = r.LastTokenAt
		s.recordEvent(acaciaevent.FirstToken, r, r.Endpoint)
	}
	if last {
		r.Done = true
		r.EndedAt = r.LastTokenAt
		s.recordEvent(acaciaevent.AnswerDelivered, r, r.Endpoint)
		if r.reconcileLink != nil {
			r.reconcileLink()
		}
	}
}

func (s *simulation) result(id string) *Result {
	return s.results[requestIndex(id)]
}

// crash stops an endpoint at once, which loses its cache and the granter's state, and
// starts it again after downtime.
func (e *endpoint) crash(downtime time.Duration) {
	e.crashed = true
	e.engine.Crash()
	// Stop tells the entries that their reservations are gone, as broken connections
	// would.
	e.granter.Stop()
	e.resetGranter()
	e.simulation.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Endpoint: e.vm.ID})
	e.simulation.loop.After(downtime, func() { e.crashed = false })
}

func requestID(index int) string {
	return fmt.Sprintf("request-%07d", index)
}

func requestIndex(id string) int {
	var index int
	_, _ = fmt.Sscanf(id, "request-%07d", &index)
	return index
}
