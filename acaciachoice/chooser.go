package acaciachoice

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// Chooser is the control state of one entry. Its methods run on the loop.
	Chooser struct {
		loop      acaciaroute.Loop
		policy    acaciaroute.Policy
		link      acaciaroute.AgentLink
		random    *rand.Rand
		region    string
		endpoints []Endpoint
		live      map[string]bool
		hints     map[string]hintRecord
		memory    *acaciaprefix.Memory
		budget    *linkBudget
		returns   Returns
		requests  map[string]*request
	}

	// Endpoint is an endpoint as the VM list and the configuration describe it.
	Endpoint struct {
		acaciaroute.VM
		// Reported is the engine's lagging load report.
		Reported int
	}

	// Decision ends a request's wait.
	Decision struct {
		// Code is CodeOK for a grant; any other promises that nothing ran.
		Code acaciaroute.Code
		// Candidate is the endpoint that granted.
		Candidate acaciaroute.Candidate
		// Grant is the grant's number.
		Grant uint64
		// RetryAfter is when to come back after a refusal.
		RetryAfter time.Duration
		// Endpoints is the number of endpoints that could serve the request, Asked of
		// those whose agents were asked, Declined of those that could not give a place
		// in time, and Silent of those that had not answered.
		Endpoints int
		Asked     int
		Declined  int
		Silent    int
		// LinkBytes is what was taken of the link's budget; SettleLink gets it back.
		LinkBytes int64
	}

	hintRecord struct {
		hint acaciaroute.Hint
		at   time.Time
	}
)

// memoryPrefixes is how many prefixes an entry remembers.
const memoryPrefixes = 50_000

// New returns a chooser without endpoints.
func New(loop acaciaroute.Loop, policy acaciaroute.Policy, link acaciaroute.AgentLink, region string, random *rand.Rand) *Chooser {
	return &Chooser{
		loop:     loop,
		policy:   policy,
		link:     link,
		random:   random,
		region:   region,
		hints:    map[string]hintRecord{},
		memory:   acaciaprefix.NewMemory(memoryPrefixes),
		budget:   newLinkBudget(),
		returns:  NewReturnSchedule(random),
		requests: map[string]*request{},
	}
}

// SetEndpoints replaces the endpoints; requests that wait may ask new ones.
func (c *Chooser) SetEndpoints(endpoints []Endpoint) {
	c.endpoints = slices.SortedFunc(slices.Values(endpoints), func(a, b Endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.live = map[string]bool{}
	for _, endpoint := range endpoints {
		c.live[endpoint.ID] = endpoint.State == acaciaroute.VMLive
	}
	c.searchAgain()
}

// Waiting returns the number of requests that wait for a grant.
func (c *Chooser) Waiting() int {
	return len(c.requests)
}

// Submit looks for a place and calls done once; yieldsFirst tells that the class is
// the first to yield.
func (c *Chooser) Submit(reservation acaciaroute.Reservation, yieldsFirst bool, done func(Decision)) {
	now := c.loop.Now()
	r := &request{
		chooser:     c,
		reservation: reservation,
		yieldsFirst: yieldsFirst,
		submitted:   now,
		deadline:    now.Add(reservation.Slack),
		done:        done,
	}
	c.requests[reservation.RequestID] = r
	r.begin()
}

// Cancel ends a request's wait without a decision.
func (c *Chooser) Cancel(requestID string) {
	r, ok := c.requests[requestID]
	if !ok {
		return
	}
	r.finish("")
}

// SetLink sets the part of the link to other regions that this entry may use, in
// bytes per second; zero for no bound.
func (c *Chooser) SetLink(rate float64) {
	c.budget.setRate(c.loop.Now(), rate)
}

// SettleLink notes how many bytes a request and its answer took on the link, for
// which Decision.LinkBytes were taken.
func (c *Chooser) SettleLink(class string, taken, used int64) {
	c.budget.settle(c.loop.Now(), class, taken, used)
}

// SetReturns replaces the rule for when refused callers come back.
func (c *Chooser) SetReturns(returns Returns) {
	c.returns = returns
}

// Hint notes an agent's state that arrived with any message.
func (c *Chooser) Hint(id string, hint acaciaroute.Hint) {
	c.hints[id] = hintRecord{hint: hint, at: c.loop.Now()}
}

// Straggled notes that an endpoint gave a request back because it has become slow.
func (c *Chooser) Straggled(id string) {
	hint := c.hints[id].hint
	hint.Straggling = true
	c.Hint(id, hint)
}

func (c *Chooser) candidates(reservation acaciaroute.Reservation) []acaciaroute.Candidate {
	now := c.loop.Now()
	held := c.memory.Held(reservation.Prefixes)
	var candidates []acaciaroute.Candidate
	for _, endpoint := range c.endpoints {
		if !endpoint.serves(reservation) || slices.Contains(reservation.Avoid, endpoint.ID) {
			continue
		}
		candidate := acaciaroute.Candidate{
			ID:         endpoint.ID,
			Address:    endpoint.Address,
			DataCentre: endpoint.DataCentre,
			Remote:     endpoint.Region != c.region,
			Reported:   endpoint.Reported,
			HintAge:    -1,

			HeldTokens: held[endpoint.ID],
		}
		if record, ok := c.hints[endpoint.ID]; ok {
			candidate.Hint = record.hint
			candidate.HintAge = now.Sub(record.at)
		}
		candidates = append(candidates, candidate)
	}
	return candidates
}

func (e Endpoint) serves(reservation acaciaroute.Reservation) bool {
	if e.State != acaciaroute.VMLive || e.Service != reservation.Service {
		return false
	}
	return reservation.Model == "" || slices.Contains(e.Models, reservation.Model)
}
