package acaciaschedule

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

type (
	// Settings fix where the process stands.
	Settings struct {
		DataCentre string
		// Regions maps each data centre to its region.
		Regions map[string]string
		// Prefetch is how many requests an endpoint gets beyond its places, so that it need
		// not wait for the next one while the end of the last one is on its way here.
		Prefetch int
		// Draw returns a random number from 0 up to 1.
		Draw func() float64
	}

	// Request is one request that wants a place at an endpoint of a service.
	Request struct {
		ID           string
		Service      string
		Class        string
		Organisation string
		// Share is what the organisation may use in a second, in the units of Cost.
		Share float64
		// Cost is what the request counts for its organisation.
		Cost float64
		// Rank is 0 for the most urgent.
		Rank         int
		PromptTokens int
		Arrived      time.Time
		// Objective is when the first part of the answer is due.
		Objective time.Time
		// Deadline is when the caller gives up.
		Deadline time.Time
		// Tried are the endpoints that must not get it again.
		Tried []string
		// Only, if it holds any, are the endpoints that may get it.
		Only []string

		late bool
		// declines tells that there were free places, none of which is good for it.
		declines bool
		at       *endpoint
		service  *service
		placed   time.Time
		busy     float64
	}

	// Decision is what becomes of a waiting request.
	Decision struct {
		Request *Request
		// Endpoint is where it runs; nil if it is refused.
		Endpoint *acaciasite.Endpoint
		// RetryAfter is when a refused caller should come back.
		RetryAfter time.Duration
		// Inputs are what decided.
		Inputs Inputs
	}

	// Inputs are what a decision was made on.
	Inputs struct {
		// Endpoints is how many endpoints could serve the request, Free how many places
		// they had.
		Endpoints int
		Free      int
		// Waiting is how many requests waited here, PeersWaiting how many elsewhere.
		Waiting      int
		PeersWaiting int
		// ExpectedWait is the expected time until a place, ExpectedFirst the one from
		// there to the first part of the answer.
		ExpectedWait  time.Duration
		ExpectedFirst time.Duration
		// ExpectedHere is the expected time to the first part of the answer at the chosen
		// endpoint.
		ExpectedHere time.Duration
		// OldestReport is the age of the oldest report of another process in use.
		OldestReport time.Duration
	}

	// Scheduler decides for one process; it is used by one goroutine.
	Scheduler struct {
		settings Settings
		services map[string]*service
		byID     map[string]*endpoint
		// ownerOf maps an endpoint's ID to its service.
		ownerOf map[string]*service
		// heard is when each other process has told something last.
		heard map[string]time.Time
	}

	// service is a group of endpoints and the requests that wait for them.
	service struct {
		name      string
		endpoints map[string]*endpoint
		// order holds the IDs of endpoints, so that runs repeat.
		order   []string
		waiting []*Request
		// peers holds what each other process has told of its waiting requests.
		peers map[string]peer
		speed speed
		// hold is how long a request takes a place.
		hold time.Duration
		// had is what each organisation has lately had, in seconds of its share.
		had   map[string]float64
		hadAt time.Time
	}
)

const (
	// muchFaster is how many times faster an endpoint must be for a stream to move.
	muchFaster = 1.8
)

// New returns a scheduler without endpoints.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings: settings,
		services: map[string]*service{},
		byID:     map[string]*endpoint{},
		ownerOf:  map[string]*service{},
		heard:    map[string]time.Time{},
	}
}

// Apply takes a change of the list of endpoints and returns whether it changed anything.
func (s *Scheduler) Apply(change acaciasite.EndpointChange) bool {
	known := s.byID[change.ID]
	if change.Endpoint == nil {
		if known == nil {
			return false
		}
		s.forget(change.ID)
		return true
	}
	info := *change.Endpoint
	if known != nil && known.info.Born.Equal(info.Born) && known.info.Service == info.Service && known.info.Address == info.Address {
		changed := known.info != info
		known.info = info
		return changed
	}
	s.forget(change.ID)
	v := s.service(info.Service)
	e := &endpoint{info: info, peers: map[string]int{}}
	s.byID[info.ID], s.ownerOf[info.ID] = e, v
	v.endpoints[info.ID] = e
	v.order = append(v.order, info.ID)
	slices.Sort(v.order)
	return true
}

// Add puts a request in its service's queue.
func (s *Scheduler) Add(request *Request) {
	v := s.service(request.Service)
	request.service = v
	v.waiting = append(v.waiting, request)
}

// Remove takes a waiting request out and reports whether it waited.
func (s *Scheduler) Remove(request *Request) bool {
	v := request.service
	at := slices.Index(v.waiting, request)
	if at < 0 {
		return false
	}
	v.waiting = slices.Delete(v.waiting, at, at+1)
	return true
}

// First notes that the first part of a request's answer has come.
func (s *Scheduler) First(request *Request, now time.Time) {
	e := request.at
	e.unanswered = slices.DeleteFunc(e.unanswered, func(other *Request) bool { return other == request })
	request.service.observe(e, request, now.Sub(request.placed), request.busy)
	e.succeed()
}

// Paced notes the mean time between the events of a stream.
func (s *Scheduler) Paced(request *Request, pace time.Duration) {
	e := request.at
	if e.pace == 0 {
		e.pace = pace
		return
	}
	e.pace += time.Duration(slownessFade * float64(pace-e.pace))
}

// Faster reports whether another endpoint has room for a stream now and gives its events
// much faster than the one that has it.
func (s *Scheduler) Faster(request *Request, now time.Time) bool {
	at := request.at
	if at == nil || at.pace == 0 {
		return false
	}
	for _, id := range request.service.order {
		e := request.service.endpoints[id]
		if e == at || request.tried(id) || s.free(e, now) == 0 || e.pace == 0 {
			continue
		}
		if float64(e.pace)*muchFaster < float64(at.pace) {
			return true
		}
	}
	return false
}

// HasSpare reports whether a service has free places and nothing waits for them.
func (s *Scheduler) HasSpare(name string, now time.Time) bool {
	v := s.service(name)
	return len(v.waiting) == 0 && v.peersWaiting(func(int) bool { return true }) == 0 && s.freePlaces(v, now) > 0
}

// Elsewhere reports whether another endpoint than the one that has a request has room for
// it now.
func (s *Scheduler) Elsewhere(request *Request, now time.Time) bool {
	for _, id := range request.service.order {
		e := request.service.endpoints[id]
		if e != request.at && !request.tried(id) && s.free(e, now) > 0 {
			return true
		}
	}
	return false
}

// Fail notes how the endpoint failed a request.
func (s *Scheduler) Fail(request *Request, failure Failure, now time.Time) {
	request.at.fail(failure, now)
}

// Release gives a request's place back, if it has one.
func (s *Scheduler) Release(request *Request, now time.Time) {
	e, v := request.at, request.service
	if e == nil {
		return
	}
	e.own--
	e.unanswered = slices.DeleteFunc(e.unanswered, func(other *Request) bool { return other == request })
	held := now.Sub(request.placed)
	v.hold += time.Duration(holdFade * float64(held-v.hold))
	if e.hold == 0 {
		e.hold = held
	}
	e.hold += time.Duration(slownessFade * float64(held-e.hold))
	request.at = nil
}

// Step decides on the waiting requests; those that it returns wait no more.
func (s *Scheduler) Step(now time.Time) []Decision {
	s.expire(now)
	var decisions []Decision
	for _, v := range s.services {
		if len(v.waiting) > 0 {
			decisions = append(decisions, s.step(v, now)...)
		}
	}
	return decisions
}

func (s *Scheduler) step(v *service, now time.Time) []Decision {
	v.forgetShares(now)
	v.sort(now)
	var decisions []Decision
	kept := v.waiting[:0:0]
	free, blocked := s.freePlaces(v, now), 0
	queue := v.waiting
	for i, request := range queue {
		var e *endpoint
		// A place that others see free, too, goes to whoever is first over all processes,
		// but for those that do not want any of the free ones.
		request.declines = false
		if blocked+v.peersAhead(request, now) < free {
			e = s.place(v, request, now)
			request.declines = e == nil
		} else {
			blocked++
		}
		v.waiting = append(slices.Clone(kept), queue[i:]...)
		switch {
		case e != nil:
			inputs := s.inputs(v, request, now)
			inputs.ExpectedHere = v.expect(e, request)
			info := e.info
			decisions = append(decisions, Decision{Request: request, Inputs: inputs, Endpoint: &info})
			s.take(v, e, request, now)
			free--
		case !now.Before(request.Deadline) || v.hopeless(request, now):
			decisions = append(decisions, Decision{Request: request, RetryAfter: s.retryAfter(v, request, now), Inputs: s.inputs(v, request, now)})
		default:
			kept = append(kept, request)
		}
	}
	v.waiting = kept
	return decisions
}

func (s *Scheduler) take(v *service, e *endpoint, request *Request, now time.Time) {
	request.at, request.placed = e, now
	request.busy = float64(e.occupied()) / float64(e.info.Places)
	e.own++
	e.unanswered = append(e.unanswered, request)
	if request.Share > 0 {
		v.had[request.Organisation] += request.Cost / request.Share
	}
}

func (s *Scheduler) freePlaces(v *service, now time.Time) int {
	n := 0
	for _, e := range v.endpoints {
		n += s.free(e, now)
	}
	return n
}

// forgetShares lets what organisations have had fade, at the rate of their shares.
func (v *service) forgetShares(now time.Time) {
	passed := now.Sub(v.hadAt).Seconds()
	v.hadAt = now
	for name := range v.had {
		v.had[name] = max(0, v.had[name]-passed)
	}
}

func (s *Scheduler) inputs(v *service, request *Request, now time.Time) Inputs {
	in := Inputs{
		Free:          s.freePlaces(v, now),
		Waiting:       len(v.waiting),
		PeersWaiting:  v.peersWaiting(func(int) bool { return true }),
		ExpectedWait:  v.wait(request, now),
		ExpectedFirst: v.firstTime(request),
	}
	for _, e := range v.endpoints {
		if e.usable() {
			in.Endpoints++
		}
	}
	for _, at := range s.heard {
		in.OldestReport = max(in.OldestReport, now.Sub(at))
	}
	return in
}

func (s *Scheduler) service(name string) *service {
	v := s.services[name]
	if v == nil {
		v = &service{
			name:      name,
			endpoints: map[string]*endpoint{},
			peers:     map[string]peer{},
			had:       map[string]float64{},
			speed:     newSpeed(),
			hold:      priorHold,
		}
		s.services[name] = v
	}
	return v
}

// forget takes an endpoint off the list; requests that run there end as they do.
func (s *Scheduler) forget(id string) {
	e := s.byID[id]
	if e == nil {
		return
	}
	e.gone = true
	v := s.ownerOf[id]
	delete(v.endpoints, id)
	delete(s.byID, id)
	delete(s.ownerOf, id)
	v.order = slices.DeleteFunc(v.order, func(other string) bool { return other == id })
}

func (r *Request) tried(id string) bool {
	return slices.Contains(r.Tried, id) || len(r.Only) > 0 && !slices.Contains(r.Only, id)
}
