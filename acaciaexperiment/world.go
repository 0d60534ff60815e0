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
	// world is one run of a policy: real choosers and granters over fakes.
	world struct {
		workload  Workload
		loop      *acacialoop.Virtual
		network   *network
		random    *rand.Rand
		recorder  *acaciaevent.Recorder
		entries   []*entry
		endpoints map[string]*endpoint
		order     []*endpoint
		results   []*Result
		// returning tells that callers come back when they are told to.
		returning bool
		// watch, if set, sees every token and the end of every run.
		watch func(r *Result, first, last bool)
	}

	// entry is an entry's decisions at one dataCentre.
	entry struct {
		world      *world
		dataCentre DataCentre
		chooser    *acaciachoice.Chooser
	}

	// endpoint is an engine with the decisions of the agent beside it.
	endpoint struct {
		world      *world
		vm         acaciaroute.VM
		dataCentre DataCentre
		engine     *acaciastandin.EngineCore
		settings   acaciastandin.EngineSettings
		granter    *acaciagrant.Granter
		// open makes the agent let everything through at once, as engines do when
		// nobody stands before them.
		open     bool
		dead     bool
		reported int
		// runs holds how to take each running request back.
		runs map[string]func()
	}

	// Result is what became of one request.
	Result struct {
		Arrival
		Code      acaciaroute.Code
		Ended     time.Duration
		Granted   time.Duration
		First     time.Duration
		Last      time.Duration
		Produced  int
		Prefilled int
		// Lost is what was prefilled before the request was taken back.
		Lost int
		// Avoidable is how much of the prompt was prefilled although another
		// endpoint of the region held it.
		Avoidable int
		Endpoint  string
		Done      bool
		// Called is when the caller first asked, and Tries how often it has, this
		// request included.
		Called time.Duration
		Tries  int
		// settle gives back what a request to another region has not used of the
		// link.
		settle func()
	}
)

const (
	reportLag = time.Second
	// modelName is the one service and model of the experiment.
	modelName = "model"
)

var epoch = time.Unix(1_800_000_000, 0)

func newWorld(workload Workload, seed uint64, recording int) *world {
	loop := acacialoop.NewVirtual(epoch)
	w := &world{
		workload:  workload,
		loop:      loop,
		network:   newNetwork(loop),
		random:    rand.New(rand.NewPCG(seed, 2)),
		endpoints: map[string]*endpoint{},
	}
	w.recorder = acaciaevent.NewRecorder("experiment", acaciaevent.NewClock(loop.Now), logr.Discard(), recording)
	for _, dataCentre := range workload.DataCentres {
		for range dataCentre.Engines {
			w.addEndpoint(dataCentre)
		}
	}
	return w
}

func (w *world) addEndpoint(dataCentre DataCentre) {
	index := len(w.order)
	e := &endpoint{
		world:      w,
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
	e.engine = acaciastandin.NewEngineCore(w.loop, e.settings)
	e.newGranter()
	w.order = append(w.order, e)
	w.endpoints[e.vm.Address] = e
}

// newGranter starts the agent's decisions without any memory.
func (e *endpoint) newGranter() {
	e.runs = map[string]func(){}
	e.granter = acaciagrant.New(e.world.loop, acaciagrant.Settings{
		CacheTokens: e.settings.CacheTokens,
		TakeBack:    func(id string) { e.runs[id]() },
	})
}

// useChoosers gives every place an entry that runs a policy.
func (w *world) useChoosers(policy func() acaciaroute.Policy) {
	for _, dataCentre := range w.workload.DataCentres {
		e := &entry{world: w, dataCentre: dataCentre}
		e.chooser = acaciachoice.New(w.loop, policy(), e, dataCentre.Region, w.random)
		w.entries = append(w.entries, e)
	}
	w.shareLink()
	w.report()
}

// shareLink divides the link among the entries of each region.
func (w *world) shareLink() {
	entries := map[string]int{}
	for _, e := range w.entries {
		entries[e.dataCentre.Region]++
	}
	for _, e := range w.entries {
		e.chooser.SetLink(linkShare * w.network.rate / float64(entries[e.dataCentre.Region]))
	}
}

// report gives the entries the engines' load reports, with a lag.
func (w *world) report() {
	endpoints := make([]acaciachoice.Endpoint, 0, len(w.order))
	for _, e := range w.order {
		endpoints = append(endpoints, acaciachoice.Endpoint{VM: e.vm, Reported: e.reported})
		load := e.engine.Load()
		e.reported = load.Running + load.Waiting
	}
	for _, e := range w.entries {
		e.chooser.SetEndpoints(endpoints)
	}
	w.loop.After(reportLag, w.report)
}

// offer plays a trace.
func (w *world) offer(arrivals []Arrival, submit func(*Result)) {
	for _, arrival := range arrivals {
		result := &Result{Arrival: arrival, Called: arrival.At, Tries: 1}
		w.results = append(w.results, result)
		w.loop.After(arrival.At, func() {
			w.record(acaciaevent.RequestArrived, result, "")
			submit(result)
		})
	}
}

func (w *world) since() time.Duration {
	return w.loop.Now().Sub(epoch)
}

func (w *world) record(kind acaciaevent.Kind, r *Result, endpoint string) {
	class := w.workload.Classes[r.Class]
	w.recorder.Record(acaciaevent.Event{
		Kind:         kind,
		RequestID:    r.ID,
		Service:      modelName,
		Model:        modelName,
		Class:        class.Name,
		Rank:         class.Rank,
		Organisation: w.workload.Members[r.Member].Name,
		Endpoint:     endpoint,
		Count:        int64(class.FirstToken),
	})
}

// recordShed notes that a request was given up after asking some agents.
func (w *world) recordShed(r *Result, asked int) {
	class := w.workload.Classes[r.Class]
	w.recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.RequestShed,
		RequestID: r.ID,
		Class:     class.Name,
		Rank:      class.Rank,
		Count:     int64(asked),
	})
}

// submit looks for a place as the entry at the request's place does.
func (w *world) submit(r *Result) {
	class := w.workload.Classes[r.Class]
	from := w.entries[r.DataCentre]
	yieldsFirst := r.Class == len(w.workload.Classes)-1
	from.chooser.Submit(acaciaroute.Reservation{
		RequestID:    r.ID,
		Service:      modelName,
		Model:        modelName,
		Class:        class.Name,
		Rank:         class.Rank,
		Organisation: w.workload.Members[r.Member].Name,
		PromptTokens: r.Prompt,
		OutputTokens: class.Output.High,
		Prefixes:     r.Prefixes,
		Slack:        class.FirstToken - (w.since() - r.At),
		TokenGap:     class.TokenGap,
		Repeatable:   class.Repeatable && r.Lost == 0,
	}, yieldsFirst, func(d acaciachoice.Decision) { from.decided(r, d) })
}

func (e *entry) decided(r *Result, d acaciachoice.Decision) {
	w := e.world
	if d.Code != acaciaroute.CodeOK {
		r.Code = d.Code
		r.Ended = w.since()
		w.recordShed(r, d.Asked)
		w.comeBack(r, d.RetryAfter)
		return
	}
	to := w.endpoints[d.Candidate.Address]
	bytes := controlBytes + bytesPerToken*r.Prompt
	if d.Candidate.Remote {
		r.settle = func() {
			e.chooser.SettleLink(w.workload.Classes[r.Class].Name, d.LinkBytes, int64(max(bytes, eventBytes*r.Produced)))
		}
	}
	w.network.send(e.dataCentre, to.dataCentre, bytes, func() { to.run(e, r, d.Grant) }, func() { e.fail(r) })
}

// fail notes a request whose outcome the entry cannot know.
func (e *entry) fail(r *Result) {
	r.Code = acaciaroute.CodeOutcomeUnknown
	r.Ended = e.world.since()
}

// Reserve implements acaciaroute.AgentLink.
func (e *entry) Reserve(address string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	to := e.world.endpoints[address]
	refused := func() {
		notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferRefused})
	}
	e.world.network.send(e.dataCentre, to.dataCentre, controlBytes, func() {
		if to.dead {
			e.world.network.send(to.dataCentre, e.dataCentre, controlBytes, refused, func() {})
			return
		}
		to.reserve(reservation, func(offer acaciaroute.Offer) {
			e.world.network.send(to.dataCentre, e.dataCentre, controlBytes, func() { notify(offer) }, refused)
		})
	}, refused)
}

// Withdraw implements acaciaroute.AgentLink.
func (e *entry) Withdraw(address, requestID string) {
	to := e.world.endpoints[address]
	e.world.network.send(e.dataCentre, to.dataCentre, controlBytes, func() { to.granter.Withdraw(requestID) }, func() {})
}

func (e *endpoint) reserve(reservation acaciaroute.Reservation, notify acaciagrant.Notify) {
	if e.open {
		notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferGranted})
		return
	}
	e.world.record(acaciaevent.ReservationQueued, e.world.result(reservation.RequestID), e.vm.ID)
	e.granter.Reserve(reservation, func(offer acaciaroute.Offer) {
		switch {
		case offer.Kind == acaciaroute.OfferGranted:
			e.world.record(acaciaevent.GrantGiven, e.world.result(reservation.RequestID), e.vm.ID)
		case offer.TooLate:
			e.world.record(acaciaevent.ReservationLate, e.world.result(reservation.RequestID), e.vm.ID)
		}
		notify(offer)
	})
}

// run starts a request whose grant was taken.
func (e *endpoint) run(from *entry, r *Result, grant uint64) {
	if e.dead {
		from.fail(r)
		return
	}
	if !e.open {
		if _, ok := e.granter.Begin(r.ID, grant); !ok {
			e.world.network.send(e.dataCentre, from.dataCentre, controlBytes, func() { e.world.submit(r) }, func() { from.fail(r) })
			return
		}
	}
	sequence := e.start(r, from.dataCentre)
	e.runs[r.ID] = func() { e.takeBack(from, r, sequence) }
}

// takeBack ends a run, and has the entry look for another dataCentre.
func (e *endpoint) takeBack(from *entry, r *Result, sequence *acaciastandin.Sequence) {
	w := e.world
	e.engine.Cancel(sequence)
	e.granter.End(r.ID)
	r.Lost += sequence.PrefilledTokens()
	w.network.send(e.dataCentre, from.dataCentre, controlBytes, func() {
		from.chooser.Straggled(e.vm.ID)
		w.submit(r)
	}, func() { from.fail(r) })
}

func (e *endpoint) start(r *Result, caller DataCentre) *acaciastandin.Sequence {
	w := e.world
	r.Granted = w.since()
	r.Endpoint = e.vm.ID
	w.record(acaciaevent.RequestDispatched, r, e.vm.ID)
	sequence := &acaciastandin.Sequence{
		Prefixes:     r.Prefixes,
		PromptTokens: r.Prompt,
		OutputTokens: r.Output,
	}
	started := false
	cachedElsewhere := e.cachedElsewhere(r)
	sequence.OnToken = func(last bool) {
		r.Prefilled = r.Prompt - sequence.CachedTokens
		r.Avoidable = max(0, cachedElsewhere-sequence.CachedTokens)
		w.watchRun(r, !started, last)
		started = true
		e.granter.Token(r.ID, 1)
		if last {
			e.granter.End(r.ID)
		}
		w.network.send(e.dataCentre, caller, eventBytes, func() { w.token(r, last) }, func() {})
	}
	sequence.OnCrash = func() {
		w.watchRun(r, !started, true)
		r.Prefilled = r.Prompt - sequence.CachedTokens
		e.granter.End(r.ID)
		r.Code = acaciaroute.CodeAnswerCut
		r.Ended = w.since()
	}
	e.engine.Submit(sequence)
	return sequence
}

func (w *world) watchRun(r *Result, first, last bool) {
	if w.watch != nil {
		w.watch(r, first, last)
	}
}

// cachedElsewhere returns the most tokens of the prompt that another endpoint of
// the region holds.
func (e *endpoint) cachedElsewhere(r *Result) int {
	most := 0
	for _, other := range e.world.order {
		if other != e && !other.dead && other.dataCentre.Region == e.dataCentre.Region {
			most = max(most, other.engine.CachedTokens(r.Prefixes))
		}
	}
	return most
}

// token is the arrival of a token at the caller.
func (w *world) token(r *Result, last bool) {
	r.Produced++
	r.Last = w.since()
	if r.Produced == 1 {
		r.First = r.Last
		w.record(acaciaevent.FirstToken, r, r.Endpoint)
	}
	if last {
		r.Done = true
		r.Ended = r.Last
		w.record(acaciaevent.AnswerDelivered, r, r.Endpoint)
		if r.settle != nil {
			r.settle()
		}
	}
}

func (w *world) result(id string) *Result {
	return w.results[requestIndex(id)]
}

// die stops an endpoint for good or, after some time, until it starts again.
func (e *endpoint) die(restart time.Duration) {
	e.dead = true
	e.engine.Crash()
	// The broken connections tell the entries that their reservations are gone.
	e.granter.Stop()
	e.newGranter()
	e.world.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ProcessStarted, Endpoint: e.vm.ID})
	e.world.loop.After(restart, func() { e.dead = false })
}

func requestID(index int) string {
	return fmt.Sprintf("request-%07d", index)
}

func requestIndex(id string) int {
	var index int
	_, _ = fmt.Sscanf(id, "request-%07d", &index)
	return index
}
