package acaciaschedule

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acacialength"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// Settings tell a Scheduler where its process runs and how it assigns slots.
	Settings struct {
		// Process is the name of the process, by which the others know its reports.
		Process    string
		DataCentre string
		// Regions maps each data centre to its region.
		Regions map[string]string
		// Prefetch is the number of requests that an endpoint gets beyond its slots, so
		// that it is not idle while the end of its last response is on the way here.
		Prefetch int
		// GuaranteedShare is the share of a service's slot time that each class gets for
		// requests that can meet their objective, however many more urgent ones wait.
		GuaranteedShare float64
		// Random returns a random number in [0, 1).
		Random func() float64
	}

	// Scheduler assigns the waiting requests of one process to endpoints. It is not safe
	// for concurrent use.
	Scheduler struct {
		settings            Settings
		services            map[string]*service
		endpointsByID       map[string]*endpoint
		endpointsByKey      map[EndpointKey]*endpoint
		serviceByEndpointID map[string]*service
		// lastReports holds the time of the last report of each other process.
		lastReports map[string]time.Time
		// droppedAt holds when each process was dropped that may still be alive.
		droppedAt map[string]time.Time
		// silent counts the processes that may have requests without having said so.
		silent silentProcesses
		// peerLoads holds the loads in the last report of each other process.
		peerLoads map[string]map[EndpointKey]peerLoad
		// reachableShare is the number of reachable processes as a share of those that may be
		// alive.
		reachableShare float64
		// peerRecoveries holds the recoveries in the last report of each other process.
		peerRecoveries map[string]map[EndpointKey]Recovery
		// paceRule decides on the pace of recovering endpoints.
		paceRule windowRule
		// knownStarts holds when each endpoint that is or was listed has started.
		knownStarts map[string]time.Time
		// keptBackoffs holds the backoffs of endpoints that were removed, by their IDs.
		keptBackoffs map[string]keptBackoff
		// sentPrompts holds the prompts sent since the last report.
		sentPrompts []SentPrompt
		// epoch is the time from which times of waiting requests are kept as durations, which cost less
		// to compare.
		epoch time.Time
		// floorsAfter is the number of endpoints that a pass passes over until it puts them in order.
		floorsAfter int
	}

	// service is a group of endpoints and the requests that wait for them.
	service struct {
		name      string
		scheduler *Scheduler
		endpoints map[string]*endpoint
		// options holds what the endpoints in sorted offer, in the same order, unless optionsStale is set.
		options      []option
		optionsStale bool
		// floors is used by one pass at a time and keeps its memory.
		floors floors
		// sorted holds endpoints by ID, for a deterministic iteration order.
		sorted []*endpoint
		// changed reports whether anything has changed since decidedAt, when the requests in
		// waiting were last decided on.
		changed   bool
		decidedAt time.Time
		sums      endpointSums
		waiting   []*Request
		// waitingSince is when the first request of those in waiting could not be placed, zero before that.
		waitingSince time.Time
		// choices counts the requests for which an endpoint was looked for, evaluations the endpoints
		// that were evaluated for them.
		choices     int
		evaluations int
		// ownRanks counts the requests in waiting, peerRanks those in peerQueues.
		ownRanks  rankCounts
		peerRanks rankCounts
		// peerSizes counts those in peerQueues by rank and size band.
		peerSizes rankSizes
		// peerQueues holds the last reported queue of each other process.
		peerQueues map[string]peerQueue
		// waitingVersion changes whenever the processes in peerQueues do, windowShares counts how often
		// this process's part in the window of an endpoint was determined.
		waitingVersion int
		windowShares   int
		// regionWaiting is the number of requests in peerQueues by region.
		regionWaiting  map[string]int
		firstByteModel firstByteModel
		// holdTime is the moving average of how long a request holds a slot.
		holdTime time.Duration
		// recentUse is what each organisation recently used.
		recentUse map[string]*organisationUse
		// shares is what each class recently used of the slot time.
		shares slotShares
		// largestRequest is the size of the largest request in tokens, of prompt and
		// response together.
		largestRequest int
		// meanEvents is the moving average of the number of events of each class's streams.
		meanEvents map[string]float64
		// lengths predicts the numbers of events of streams, and sizes what they mean for the order.
		lengths *acacialength.Model
		sizes   sizeOrder
		// eventInterval is the moving average of the time between two events of a stream at any endpoint; zero if
		// unknown.
		eventInterval time.Duration
	}
)

const (
	// minMoveSpeedup is how many times faster another endpoint must be for a stream to be
	// moved there.
	minMoveSpeedup = 1.8
)

// SetRegions changes the region of each data centre.
func (s *Scheduler) SetRegions(regions map[string]string) {
	s.settings.Regions = regions
	for _, svc := range s.services {
		svc.optionsStale, svc.changed = true, true
		// What each process has of the windows of recovering endpoints depends on their regions.
		svc.waitingVersion++
		for _, e := range svc.sorted {
			e.markChanged()
		}
	}
}

// New returns a scheduler without endpoints.
func New(settings Settings) *Scheduler {
	return &Scheduler{
		settings:            settings,
		services:            map[string]*service{},
		endpointsByID:       map[string]*endpoint{},
		endpointsByKey:      map[EndpointKey]*endpoint{},
		serviceByEndpointID: map[string]*service{},
		lastReports:         map[string]time.Time{},
		droppedAt:           map[string]time.Time{},
		peerLoads:           map[string]map[EndpointKey]peerLoad{},
		keptBackoffs:        map[string]keptBackoff{},
		paceRule:            growthByAnswersAndIdleTime{},
		knownStarts:         map[string]time.Time{},
		peerRecoveries:      map[string]map[EndpointKey]Recovery{},
		reachableShare:      1,
		floorsAfter:         floorsAfter,
	}
}

// Enqueue adds a request to the queue of its service, on which DecideWaiting decides.
func (s *Scheduler) Enqueue(request *Request) {
	svc := s.getOrCreateService(request.Service)
	request.service = svc
	svc.observeRequestSize(request.PromptTokens + request.OutputTokens)
	request.mostCachedTokens = svc.mostCachedTokens(request)
	request.recentUse = svc.recentUseOf(request.Organisation)
	request.slotTime = svc.shares.classTime(request.Class)
	s.setTimes(request)
	svc.setOrder(request)
	request.segmentTokens = acaciaprefix.CountTokens(request.Prompt)
	request.tieBreak = tieBreak(request.ID)
	if len(svc.waiting) == 0 {
		svc.waitingSince = time.Time{}
	}
	svc.waiting = append(svc.waiting, request)
	svc.count(request)
	svc.changed = true
}

// Dequeue removes a request from its queue and reports whether it was waiting.
func (s *Scheduler) Dequeue(request *Request) bool {
	svc := request.service
	index := slices.Index(svc.waiting, request)
	if index < 0 {
		return false
	}
	svc.waiting = slices.Delete(svc.waiting, index, index+1)
	svc.uncount(request)
	svc.changed = true
	request.await(nil)
	return true
}

// RecordFirstByte records that the first byte of the request's response has arrived.
func (s *Scheduler) RecordFirstByte(request *Request, now time.Time) {
	e := request.endpoint
	e.endPrefill(request)
	elapsed := now.Sub(request.placedAt)
	expected := request.service.usualTime(e, request)
	request.service.recordFirstByte(e, request, elapsed, request.occupancy)
	e.recordSuccess()
	e.recordAnswerBegun(elapsed, expected, now)
	e.markChanged()
}

// HasFasterEndpoint reports whether another endpoint has a free slot for a stream
// and delivers events much faster than its present one.
func (s *Scheduler) HasFasterEndpoint(request *Request, now time.Time) bool {
	current := request.endpoint
	if current == nil || current.eventInterval == 0 {
		return false
	}
	for _, e := range request.service.sorted {
		if e == current || request.excludes(e) || s.freeSlots(e, now) == 0 || e.eventInterval == 0 {
			continue
		}
		if float64(e.eventInterval)*minMoveSpeedup < float64(current.eventInterval) {
			return true
		}
	}
	return false
}

// HasSpareCapacity reports whether a service has free slots and no waiting requests
// in any process.
func (s *Scheduler) HasSpareCapacity(name string, now time.Time) bool {
	svc := s.getOrCreateService(name)
	return len(svc.waiting) == 0 && svc.peerRanks.total == 0 && s.freeSlotsOfService(svc, now) > 0
}

// HasOtherEndpoint reports whether an endpoint other than the request's present one
// has a free slot for it.
func (s *Scheduler) HasOtherEndpoint(request *Request, now time.Time) bool {
	for _, e := range request.service.sorted {
		if e != request.endpoint && !request.excludes(e) && s.freeSlots(e, now) > 0 {
			return true
		}
	}
	return false
}

// RecordFailure records how the request's endpoint failed it. Any failure but an error
// response suspends the endpoint.
func (s *Scheduler) RecordFailure(request *Request, failure Failure, now time.Time) {
	request.endpoint.recordFailure(failure, now)
}

// Release frees the request's slot, if it has one.
func (s *Scheduler) Release(request *Request, now time.Time) {
	e, svc := request.endpoint, request.service
	if e == nil {
		return
	}
	e.ownRunning--
	e.markChanged()
	e.endPrefill(request)
	held := now.Sub(request.placedAt)
	svc.shares.add(request.Class, held, now)
	svc.holdTime += time.Duration(holdTimeWeight * float64(held-svc.holdTime))
	if e.holdTime == 0 {
		e.holdTime = held
	}
	e.holdTime += time.Duration(endpointAverageWeight * float64(held-e.holdTime))
	request.endpoint = nil
}

func (s *Scheduler) freeSlotsOfService(svc *service, now time.Time) int {
	shared, own := s.freeSlotsByOwner(svc, now)
	return shared + own
}

func (s *Scheduler) getOrCreateService(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{
			name:           name,
			scheduler:      s,
			endpoints:      map[string]*endpoint{},
			peerQueues:     map[string]peerQueue{},
			regionWaiting:  map[string]int{},
			recentUse:      map[string]*organisationUse{},
			meanEvents:     map[string]float64{},
			lengths:        acacialength.New(),
			sizes:          newSizeOrder(),
			shares:         slotShares{classes: map[string]*classTime{}},
			firstByteModel: newFirstByteModel(),
			holdTime:       priorHoldTime,
		}
		s.services[name] = svc
	}
	return svc
}
