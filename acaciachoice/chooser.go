package acaciachoice

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// Chooser holds the endpoints that one entry knows and its undecided requests, and
	// runs the policy for them. Its methods must be called on the loop.
	Chooser struct {
		loop          acaciaroute.Loop
		policy        acaciaroute.Policy
		link          acaciaroute.AgentLink
		random        *rand.Rand
		region        string
		endpoints     []Endpoint
		liveEndpoints map[string]bool
		hints         map[string]hintRecord
		nodeIndex     *acaciaprefix.NodeIndex
		linkBudget    *linkBudget
		retryRule     RetryRule
		requests      map[string]*request
	}

	// Endpoint is an endpoint as described by the VM list and the configuration.
	Endpoint struct {
		acaciaroute.VM
		// ReportedLoad is the number of requests in the engine's last load report,
		// which lags behind.
		ReportedLoad int
	}

	// Decision is the result of a request's search for an endpoint.
	Decision struct {
		// Code is CodeOK for a grant. Any other code guarantees that nothing ran as a
		// result of this search.
		Code acaciaroute.Code
		// Candidate is the endpoint whose agent gave the grant.
		Candidate acaciaroute.Candidate
		// GrantNumber is the grant's number at its agent.
		GrantNumber uint64
		// RetryAfter is how long the caller of a refused request should wait before it
		// retries.
		RetryAfter time.Duration
		// Endpoints is the number of endpoints that could serve the request. Asked
		// counts those whose agents received the reservation, Declined those that
		// refused it or could not grant it in time, and Silent those that had not
		// sent an offer yet.
		Endpoints int
		Asked     int
		Declined  int
		Silent    int
		// RegionLinkBytes is the number of bytes debited from the link budget; the
		// caller passes it to ReconcileRegionLink with the actual usage.
		RegionLinkBytes int64
	}

	hintRecord struct {
		hint       acaciaroute.Hint
		receivedAt time.Time
	}
)

// maxRememberedPrefixes is the number of prefixes for which an entry remembers the
// endpoints that ran them.
const maxRememberedPrefixes = 50_000

// New returns a chooser without endpoints for an entry in the region.
func New(loop acaciaroute.Loop, policy acaciaroute.Policy, link acaciaroute.AgentLink, region string, random *rand.Rand) *Chooser {
	return &Chooser{
		loop:       loop,
		policy:     policy,
		link:       link,
		random:     random,
		region:     region,
		hints:      map[string]hintRecord{},
		nodeIndex:  acaciaprefix.NewNodeIndex(maxRememberedPrefixes),
		linkBudget: newLinkBudget(),
		retryRule:  NewScheduledRetry(random),
		requests:   map[string]*request{},
	}
}

// SetEndpoints replaces the endpoints and restarts the search of the requests that
// found no available endpoint.
func (c *Chooser) SetEndpoints(endpoints []Endpoint) {
	c.endpoints = slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.liveEndpoints = map[string]bool{}
	for _, endpoint := range endpoints {
		c.liveEndpoints[endpoint.ID] = endpoint.State == acaciaroute.VMLive
	}
	c.restartAwaitingRequests()
}

// Waiting returns the number of requests that are waiting for a grant.
func (c *Chooser) Waiting() int {
	return len(c.requests)
}

// Submit starts the search for an endpoint and calls done with the decision, at most
// once. Argument isLowestClass reports whether the request's class is the lowest of
// its service, which is shed first.
func (c *Chooser) Submit(reservation acaciaroute.Reservation, isLowestClass bool, done func(Decision)) {
	now := c.loop.Now()
	r := &request{
		chooser:       c,
		reservation:   reservation,
		isLowestClass: isLowestClass,
		submitted:     now,
		deadline:      now.Add(reservation.Slack),
		done:          done,
	}
	c.requests[reservation.RequestID] = r
	r.startSearch()
}

// Cancel ends the search of a request without a decision and withdraws its
// reservations.
func (c *Chooser) Cancel(requestID string) {
	r, ok := c.requests[requestID]
	if !ok {
		return
	}
	r.finishRequest("")
}

// SetRegionLinkRate sets how much of the link to other regions this entry may use,
// in bytes per second; zero means no limit.
func (c *Chooser) SetRegionLinkRate(rate float64) {
	c.linkBudget.setRate(c.loop.Now(), rate)
}

// ReconcileRegionLink corrects the link budget when a request has ended: debited is
// the number of bytes debited for it (Decision.RegionLinkBytes), used is what the
// request and its answer transferred.
func (c *Chooser) ReconcileRegionLink(class string, debited, used int64) {
	c.linkBudget.reconcileUsage(c.loop.Now(), class, debited, used)
}

// SetRetryRule replaces the rule that decides when callers of refused requests
// retry.
func (c *Chooser) SetRetryRule(rule RetryRule) {
	c.retryRule = rule
}

// RecordHint records the state of the agent with the ID, which arrives with any of
// its messages.
func (c *Chooser) RecordHint(id string, hint acaciaroute.Hint) {
	c.hints[id] = hintRecord{hint: hint, receivedAt: c.loop.Now()}
}

// MarkStraggling marks an endpoint as straggling after it returned a request because
// it had become slow.
func (c *Chooser) MarkStraggling(id string) {
	hint := c.hints[id].hint
	hint.Straggling = true
	c.RecordHint(id, hint)
}

// findCandidates returns the endpoints that can serve the reservation, with the last
// known state of each.
func (c *Chooser) findCandidates(reservation acaciaroute.Reservation) []acaciaroute.Candidate {
	now := c.loop.Now()
	tokensByNode := c.nodeIndex.TokensByNode(reservation.Prefixes)
	var candidates []acaciaroute.Candidate
	for _, endpoint := range c.endpoints {
		if !endpoint.serves(reservation) || slices.Contains(reservation.ExcludedEndpoints, endpoint.ID) {
			continue
		}
		candidate := acaciaroute.Candidate{
			ID:           endpoint.ID,
			Address:      endpoint.Address,
			DataCentre:   endpoint.DataCentre,
			Remote:       endpoint.Region != c.region,
			ReportedLoad: endpoint.ReportedLoad,
			HintAge:      -1,

			RecentPrefixTokens: tokensByNode[endpoint.ID],
		}
		if record, ok := c.hints[endpoint.ID]; ok {
			candidate.Hint = record.hint
			candidate.HintAge = now.Sub(record.receivedAt)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

// serves reports whether the endpoint is live and provides the service and the model
// of the reservation.
func (e Endpoint) serves(reservation acaciaroute.Reservation) bool {
	if e.State != acaciaroute.VMLive || e.Service != reservation.Service {
		return false
	}
	return reservation.Model == "" || slices.Contains(e.Models, reservation.Model)
}
