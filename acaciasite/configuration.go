package acaciasite

import (
	"slices"
	"strings"
	"time"
)

type (
	// Kind says how often a route's requests may run.
	Kind int

	// Configuration is one version of what operators declare; it is never changed.
	Configuration struct {
		Version       int64
		Routes        []Route
		Services      []Service
		Organisations []Organisation
		Limits        Limits

		routesByHost map[string][]*Route
		keys         map[string]*Organisation
		services     map[string]*Service
	}

	// Route is one class of work.
	Route struct {
		Name string
		Host string
		// Prefix begins and ends with a slash.
		Prefix string
		Kind   Kind
		// Timeout is how long a request may be kept without its whole answer.
		Timeout time.Duration
		// Objective is the time to the first part of the answer.
		Objective time.Duration
		// MaxGap is the longest pause between two events of a stream.
		MaxGap time.Duration
		// Rank orders classes; the lower is the more urgent. Ranks may have gaps.
		Rank int
		// Above is how many ranks are more urgent.
		Above int
		// MaxEndpoints is on how many endpoints one request may run.
		MaxEndpoints int
		// Public routes need no key.
		Public bool
		// Resumable streams may go on at another endpoint.
		Resumable bool
		// Shares are the services that serve the route, by weight.
		Shares []Share
	}

	// Share is a service's part of a route's requests.
	Share struct {
		Service string
		Weight  int
	}

	// Service is a group of endpoints that serve the same work.
	Service struct {
		Name string
		// MaxConnections is what one endpoint accepts from all callers together.
		MaxConnections int
		// Model tells that its endpoints generate tokens.
		Model bool
	}

	// Organisation is a member with its keys and its quota.
	Organisation struct {
		Name string
		Keys []string
		// Rank goes before the route's, if HasRank.
		Rank    int
		HasRank bool
		// CountsTokens tells that the quota counts tokens, not requests.
		CountsTokens bool
		// PlainCost is what a request without a token count costs, in tokens.
		PlainCost int
		// Rate and Burst bound its requests; a zero Rate is no bound.
		Rate  float64
		Burst float64
	}

	// Limits bound what callers may send.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
		HeaderTime  time.Duration
		IdleTime    time.Duration
	}
)

// The kinds of routes.
const (
	KindIdempotent Kind = iota + 1
	KindNonIdempotent
	KindStream
)

// Index prepares a configuration for look-ups; it is called once.
func (c *Configuration) Index() {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	c.countAbove()
	c.keys = map[string]*Organisation{}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.keys[key] = &c.Organisations[i]
		}
	}
	c.services = map[string]*Service{}
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
}

// countAbove sets the routes' Above.
func (c *Configuration) countAbove() {
	var ranks []int
	for i := range c.Routes {
		ranks = append(ranks, c.Routes[i].Rank)
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	for i := range c.Routes {
		c.Routes[i].Above, _ = slices.BinarySearch(ranks, c.Routes[i].Rank)
	}
}

// Route returns the route with the longest prefix of a path, nil if there is none.
func (c *Configuration) Route(host, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Organisation returns the holder of a key, nil if nobody holds it.
func (c *Configuration) Organisation(key string) *Organisation {
	return c.keys[key]
}

// Service returns a service by its name, nil if it is not declared.
func (c *Configuration) Service(name string) *Service {
	return c.services[name]
}

// Serves tells whether a route sends requests to a service.
func (r *Route) Serves(service string) bool {
	for _, share := range r.Shares {
		if share.Service == service && share.Weight > 0 {
			return true
		}
	}
	return false
}

// Choose returns the service for a draw from 0 up to 1.
func (r *Route) Choose(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	at := draw * float64(total)
	for _, share := range r.Shares {
		at -= float64(share.Weight)
		if at < 0 {
			return share.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// String returns the kind's snake-case name.
func (k Kind) String() string {
	switch k {
	case KindIdempotent:
		return "idempotent"
	case KindNonIdempotent:
		return "non_idempotent"
	case KindStream:
		return "stream"
	}
	return "unknown"
}
