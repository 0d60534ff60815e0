package acaciasite

import (
	"slices"
	"strings"
	"time"
)

type (
	// RouteKind is the kind of a route; it determines how often its requests may run.
	RouteKind int

	// Configuration is one version of the operators' declarations. It is immutable
	// after BuildIndexes.
	Configuration struct {
		Version       int64
		Routes        []Route
		Services      []Service
		Organisations []Organisation
		Limits        Limits

		routesByHost       map[string][]*Route
		organisationsByKey map[string]*Organisation
		servicesByName     map[string]*Service
	}

	// Route is one class of requests, selected by host and path prefix.
	Route struct {
		Name string
		Host string
		// PathPrefix starts and ends with a slash.
		PathPrefix string
		Kind       RouteKind
		// Timeout is the time within which a request must have its complete response.
		Timeout time.Duration
		// FirstByteTarget is the target for the time to the first byte of the
		// response.
		FirstByteTarget time.Duration
		// MaxGap is the target for the longest time between two events of a stream.
		MaxGap time.Duration
		// Rank is the priority of the route; a lower rank is more urgent. The ranks of a
		// configuration may have gaps.
		Rank int
		// PriorityIndex is the number of distinct ranks that are more urgent;
		// BuildIndexes sets it.
		PriorityIndex int
		// MaxEndpoints is the most endpoints on which one request may run.
		MaxEndpoints int
		// Public reports whether the route accepts requests without a key.
		Public bool
		// Resumable reports whether a stream may be resumed at another endpoint.
		Resumable bool
		// ServiceWeights are the services that serve the route, with their weights.
		ServiceWeights []ServiceWeight
	}

	// ServiceWeight is a service and the weight that determines its share of a route's requests.
	ServiceWeight struct {
		Service string
		Weight  int
	}

	// ServiceShare is a service and its share of a route's requests.
	ServiceShare struct {
		Service string
		Share   float64
	}

	// Service is a group of endpoints that serve the same kind of requests.
	Service struct {
		Name string
		// MaxConnections is the most connections that one endpoint accepts from all
		// callers together.
		MaxConnections int
		// GeneratesTokens reports whether the endpoints generate tokens.
		GeneratesTokens bool
	}

	// Organisation is a member of the consortium that shares the engines, with its API keys
	// and its quota.
	Organisation struct {
		Name string
		Keys []string
		// Rank takes precedence over the route's rank if HasRank is set.
		Rank    int
		HasRank bool
		// QuotaInTokens reports whether the quota is in tokens rather than requests.
		QuotaInTokens bool
		// DefaultTokenCost is the cost in tokens of a request without a token count.
		DefaultTokenCost int
		// Rate is the quota per second, and Burst the amount that may be used at once. A
		// zero Rate means no quota.
		Rate  float64
		Burst float64
	}

	// Limits are the limits on callers' requests and connections.
	Limits struct {
		MaxHeaderBytes int
		MaxBodyBytes   int64
		HeaderTimeout  time.Duration
		IdleTimeout    time.Duration
	}
)

// The kinds of routes.
const (
	KindIdempotent RouteKind = iota + 1
	KindNonIdempotent
	KindStream
)

// BuildIndexes builds the look-up tables and sets the routes' PriorityIndex. It is
// called once, before any other method.
func (c *Configuration) BuildIndexes() {
	c.routesByHost = map[string][]*Route{}
	for i := range c.Routes {
		route := &c.Routes[i]
		c.routesByHost[route.Host] = append(c.routesByHost[route.Host], route)
	}
	c.setPriorityIndexes()
	c.organisationsByKey = map[string]*Organisation{}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			c.organisationsByKey[key] = &c.Organisations[i]
		}
	}
	c.servicesByName = map[string]*Service{}
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
}

// setPriorityIndexes sets the PriorityIndex field of the routes.
func (c *Configuration) setPriorityIndexes() {
	var ranks []int
	for i := range c.Routes {
		ranks = append(ranks, c.Routes[i].Rank)
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	for i := range c.Routes {
		c.Routes[i].PriorityIndex, _ = slices.BinarySearch(ranks, c.Routes[i].Rank)
	}
}

// Route returns the route of a host with the longest prefix that matches a path, nil if
// there is none.
func (c *Configuration) Route(host, path string) *Route {
	var longest *Route
	for _, route := range c.routesByHost[host] {
		if strings.HasPrefix(path, route.PathPrefix) && (longest == nil || len(route.PathPrefix) > len(longest.PathPrefix)) {
			longest = route
		}
	}
	return longest
}

// Organisation returns the organisation with an API key, nil if the key is unknown.
func (c *Configuration) Organisation(key string) *Organisation {
	return c.organisationsByKey[key]
}

// Service returns the service with a name, nil if it is not declared.
func (c *Configuration) Service(name string) *Service {
	return c.servicesByName[name]
}

// OnlyService returns the service that gets all requests of the route, and whether there is one.
func (r *Route) OnlyService() (service string, only bool) {
	services := 0
	for _, weighted := range r.ServiceWeights {
		if weighted.Weight > 0 {
			service = weighted.Service
			services++
		}
	}
	return service, services == 1
}

// TimeoutOr returns the timeout, or fallback if the route has none.
func (r *Route) TimeoutOr(fallback time.Duration) time.Duration {
	if r.Timeout <= 0 {
		return fallback
	}
	return r.Timeout
}

// SendsTo reports whether the route sends requests to a service.
func (r *Route) SendsTo(service string) bool {
	for _, weighted := range r.ServiceWeights {
		if weighted.Service == service && weighted.Weight > 0 {
			return true
		}
	}
	return false
}

// ChooseService returns a service for a random number in [0, 1), with probabilities
// in proportion to the weights. It returns an empty name if the route has no
// services.
func (r *Route) ChooseService(random float64) string {
	total := 0
	for _, weighted := range r.ServiceWeights {
		total += weighted.Weight
	}
	remaining := random * float64(total)
	for _, weighted := range r.ServiceWeights {
		remaining -= float64(weighted.Weight)
		if remaining < 0 {
			return weighted.Service
		}
	}
	if len(r.ServiceWeights) == 0 {
		return ""
	}
	return r.ServiceWeights[len(r.ServiceWeights)-1].Service
}

// ServiceShares returns the services that ChooseService may return, each once with its probability.
func (r *Route) ServiceShares() []ServiceShare {
	total := 0
	for _, weighted := range r.ServiceWeights {
		total += weighted.Weight
	}
	if total <= 0 {
		return []ServiceShare{{Service: r.ChooseService(0), Share: 1}}
	}
	var shares []ServiceShare
	for _, weighted := range r.ServiceWeights {
		share := float64(weighted.Weight) / float64(total)
		i := slices.IndexFunc(shares, func(s ServiceShare) bool { return s.Service == weighted.Service })
		switch {
		case weighted.Weight <= 0:
		case i >= 0:
			shares[i].Share += share
		default:
			shares = append(shares, ServiceShare{Service: weighted.Service, Share: share})
		}
	}
	return shares
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// String returns the name of the kind in snake case.
func (k RouteKind) String() string {
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
