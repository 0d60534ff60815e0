package acaciarollout

// Settled reports whether the store holds the verdict of a service's order, so that nothing about it is left to
// be read or written. A service without an order is settled.
func (t *Table) Settled(service string) bool {
	s := t.services[service]
	return s == nil || s.rollout == nil || s.rollout.stored != StateNone && s.rollout.holds(s)
}

// Order returns the order of a service, whether it was read in the store or told by another process.
func (t *Table) Order(service string) (order Order, found bool) {
	s := t.services[service]
	if s == nil || s.rollout == nil {
		return Order{}, false
	}
	return s.rollout.order, true
}
