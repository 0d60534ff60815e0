package acaciaschedule

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

// Request is a request for a slot at one of a service's endpoints.
type Request struct {
	ID           string
	Service      string
	Class        string
	Organisation string
	// Share is what the organisation may use per second, in the units of Cost.
	Share float64
	// Cost is what the request counts against the organisation's share.
	Cost float64
	// Rank is the scheduling rank of the request; a lower rank is more urgent.
	Rank         int
	PromptTokens int
	// OutputTokens is the largest number of tokens of the response.
	OutputTokens int
	// LengthHint is the caller's estimate of the number of events of the response; 0 if there is none.
	LengthHint int
	// Prompt holds the segments of the prompt that other requests may share, in order.
	Prompt  []acaciaprefix.Segment
	Arrived time.Time
	// Objective is when the first byte of the response is due.
	Objective time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Started reports whether the caller has received part of the response. The request
	// then takes the first slot that it can get, and is rejected only at its deadline.
	Started bool
	// VersionBound reports whether only endpoints of Version may get the request, because
	// that software version has begun its stream.
	VersionBound bool
	Version      string
	// Choice says which software versions may get the request if it isn't bound to one.
	Choice VersionChoice
	// ExcludedEndpoints lists the IDs of endpoints that must not get the request
	// again.
	ExcludedEndpoints []string
	// AllowedEndpoints, if not empty, lists the IDs of the only endpoints that
	// may get the request.
	AllowedEndpoints []string

	// late reports whether the request can no longer meet its objective.
	late bool
	// guaranteed reports whether the request waits on its class's guaranteed share.
	guaranteed bool
	// unplaceable reports whether there were free slots at the last decision but
	// none at an endpoint that may run the request.
	unplaceable bool
	// countedRank is the rank by which the request counts in its service's ownRanks while it waits;
	// counted reports whether it does.
	countedRank int
	counted     bool
	// sortLevel is the recent use of the organisation by which the queue was last sorted, usual the usual
	// time to the first byte at that time.
	sortLevel int
	usual     time.Duration
	// recentUse and slotTime are what the request's organisation and class recently used.
	recentUse *organisationUse
	slotTime  *classTime
	// arrivedAt, objectiveAt and deadlineAt are the times of the request from the scheduler's epoch on;
	// maxWait is how long it may be expected to wait for the first byte.
	arrivedAt   time.Duration
	objectiveAt time.Duration
	deadlineAt  time.Duration
	// expectedEvents is the expected number of events of the response, expectedSlotTime the time for which the
	// request is expected to hold a slot; sizeTerm is what this adds to the objective in the order of the queue,
	// and orderAt their sum from the scheduler's epoch on.
	expectedEvents   float64
	expectedSlotTime time.Duration
	// waitShare is what the request counts as in the waits of those after it.
	waitShare time.Duration
	sizeTerm  time.Duration
	orderAt   time.Duration
	maxWait   time.Duration
	// segmentTokens is the number of tokens in the segments of the prompt.
	segmentTokens int
	// tieBreak distinguishes requests with equal objectives in the queue across all processes.
	tieBreak int64
	// canaryEndpoints, if not empty, are the only endpoints that may get the request now.
	canaryEndpoints []string
	// awaited is the endpoint whose slot the request waits for though others are free; nil
	// if it takes any.
	awaited *endpoint
	// endpoint is where the request holds a slot, nil without one; placedAt is when it
	// was assigned and occupancy the endpoint's load just before.
	endpoint  *endpoint
	service   *service
	placedAt  time.Time
	occupancy float64
	// mostCachedTokens is the most tokens of the prompt that an endpoint had in its
	// cache when the request was enqueued.
	mostCachedTokens int
	// uncachedTokens is the part of the prompt that the endpoint prefills, and
	// prefillTokens what it prefills until the first byte, as expected when the slot
	// was assigned.
	uncachedTokens int
	prefillTokens  int
}

// setTimes sets the request's times from the scheduler's epoch on.
func (s *Scheduler) setTimes(request *Request) {
	if s.epoch.IsZero() {
		s.epoch = request.Arrived
	}
	request.arrivedAt, request.objectiveAt, request.deadlineAt = request.Arrived.Sub(s.epoch), request.Objective.Sub(s.epoch), request.Deadline.Sub(s.epoch)
	request.maxWait = time.Duration(maxWaitShare * float64(request.Deadline.Sub(request.Arrived)))
}

// await sets the endpoint whose slot the request waits for; nil for any.
func (r *Request) await(e *endpoint) {
	if r.awaited != nil {
		r.awaited.awaiting--
	}
	r.awaited = e
	if e != nil {
		e.awaiting++
	}
}

// excludes reports whether the endpoint must not run the request.
func (r *Request) excludes(e *endpoint) bool {
	id := e.info.ID
	return !r.fits(e) || slices.Contains(r.ExcludedEndpoints, id) || len(r.AllowedEndpoints) > 0 && !slices.Contains(r.AllowedEndpoints, id)
}
