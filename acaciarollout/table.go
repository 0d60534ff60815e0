package acaciarollout

import (
	"maps"
	"slices"
	"time"
)

type (
	// Table holds the orders of all services as one process knows them. It is not safe for concurrent use.
	Table struct {
		self     Process
		settings Settings
		services map[string]*service
		peers    map[string]*peer
		// era is the newest era of the store that is known.
		era int64
		// readBegan is when the last whole read of the topics began, in readEra.
		readBegan time.Time
		readEra   int64
	}

	// service is what is known of a service beside its order.
	service struct {
		name string
		// versions holds the number of endpoints of each version; nil until it is known.
		versions map[string]int
		timeout  time.Duration
		rollout  *rollout
		// unproven holds targets of earlier orders that have no good verdict.
		unproven map[string]bool
		// withdrawn is the newest order that has been deleted.
		withdrawn OrderID
		// status and record are those that the store holds.
		status Status
		record Record
		// writing reports whether a write is in progress. readNeeded is set when its outcome demands
		// a read that begins later.
		writing                   bool
		readNeeded                time.Time
		runningOld, runningTarget int
	}
)

// New returns the table of a process that has just started and knows no orders.
func New(self Process, settings Settings) *Table {
	return &Table{self: self, settings: settings, services: map[string]*service{}, peers: map[string]*peer{}}
}

// SetSettings changes the bounds, for rollouts that run, too.
func (t *Table) SetSettings(settings Settings) {
	t.settings = settings
}

// SetOrder sets the order of a service as read from the store. age is zero if this process has seen the
// order appear, having read the topic to its end within the last second, otherwise AgeUnknown. The same
// order may be set again.
func (t *Table) SetOrder(order Order, age time.Duration, now time.Time) {
	if t.settings.ExposeShare <= 0 {
		return
	}
	t.era = max(t.era, order.ID.Era)
	t.adopt(order, age, now)
	s := t.service(order.Service)
	if r := s.rollout; r != nil && r.order.ID == order.ID {
		r.confirmed = true
		t.attribute(s, now)
	}
}

// adopt makes an order that of its service if it is newer than the one that is known.
func (t *Table) adopt(order Order, age time.Duration, now time.Time) {
	s := t.service(order.Service)
	r := s.rollout
	switch {
	case r == nil:
		if order.ID == s.withdrawn || s.withdrawn.newer(order.ID) {
			return
		}
	case r.order.ID == order.ID || r.order.ID.newer(order.ID):
		return
	case r.isRestored(order):
		r.rename(order.ID)
		return
	}
	s.begin(order, age, now)
}

// Withdraw removes the order of a service, because its record has been deleted. The service is then served
// as one without orders. An order that a restored copy of the store lacks isn't withdrawn.
func (t *Table) Withdraw(service string) {
	if s := t.services[service]; s != nil && s.rollout != nil {
		s.withdraw(s.rollout.order.ID)
	}
}

// SetVersions sets how many endpoints of each version of a service may get requests.
func (t *Table) SetVersions(service string, endpoints map[string]int, _ time.Time) {
	s := t.service(service)
	s.versions = maps.Clone(endpoints)
	if s.versions == nil {
		s.versions = map[string]int{}
	}
}

// SetLongestTimeout sets the longest timeout of the routes of a service: how long a request may run there.
func (t *Table) SetLongestTimeout(service string, timeout time.Duration) {
	t.service(service).timeout = timeout
}

// SetRunning sets the number of own requests on either side: those that run, wait for an endpoint of one
// side only, or are streams that have broken off and may go on there.
func (t *Table) SetRunning(service string, old, target int) {
	s := t.service(service)
	s.runningOld, s.runningTarget = old, target
}

// Services returns the services that have an order, sorted.
func (t *Table) Services() []string {
	var names []string
	for name, s := range t.services {
		if s.rollout != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Tick judges the evidence and grows the exposure. It is to be called at least every 100 ms while an
// order runs, and reports whether the others are to be told at once.
func (t *Table) Tick(now time.Time) (changed bool) {
	t.expireLost(now)
	for _, s := range t.services {
		if s.rollout != nil {
			changed = t.tick(s, now) || changed
		}
	}
	return changed
}

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{name: name, unproven: map[string]bool{}}
		t.services[name] = s
	}
	return s
}

// begin replaces the order of a service by a new one.
func (s *service) begin(order Order, age time.Duration, now time.Time) {
	former := s.rollout
	delete(s.unproven, order.Target)
	s.rollout = newRollout(order, age, now)
	if former != nil {
		if former.verdict() != StateCompleted && former.order.Target != order.Target {
			s.unproven[former.order.Target] = true
		}
		s.rollout.serving = former.verdict() != StateCompleted && former.oldVersions[order.Target]
	}
	if s.rollout.known {
		s.rollout.setVersions(s, now)
	}
}

// withdraw removes the order, and remembers it lest another process tell of it.
func (s *service) withdraw(id OrderID) {
	if id.newer(s.withdrawn) {
		s.withdrawn = id
	}
	s.rollout = nil
	clear(s.unproven)
}

// count returns the number of endpoints of a version and of all others that aren't unproven.
func (s *service) count(target string) (old, ofTarget int) {
	for version, endpoints := range s.versions {
		switch {
		case version == target:
			ofTarget = endpoints
		case !s.unproven[version]:
			old += endpoints
		}
	}
	return old, ofTarget
}

// newer reports whether a position is of a later era, or later in the same one.
func (p Position) newer(other Position) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Offset > other.Offset
}
