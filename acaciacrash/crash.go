package acaciacrash

import (
	"slices"
	"time"
)

// endpointCrash is what is known of the crash of an endpoint.
type endpointCrash struct {
	id         uint64
	observedAt time.Time
	// traits holds the traits of all requests that ran: a trait counts once for a crash.
	traits map[Trait]TraitRecord
	// requests holds the traits of each request, in their order.
	requests [][]Trait
}

func newEndpointCrash(id uint64, observedAt time.Time) *endpointCrash {
	return &endpointCrash{id: id, observedAt: observedAt, traits: map[Trait]TraitRecord{}}
}

// merge adds what a record says, and reports whether the crash changes. Of two times, the earlier one was
// delayed less on its way here.
func (c *endpointCrash) merge(record Record) bool {
	changed := c.addRequest(record)
	if record.ObservedAt.Before(c.observedAt) {
		c.observedAt = record.ObservedAt
		changed = true
	}
	for _, told := range record.Traits {
		known, present := c.traits[told.Trait]
		merged := told
		if present {
			merged = known
			merged.merge(told)
		}
		if !present || merged != known {
			c.traits[told.Trait] = merged
			changed = true
		}
	}
	return changed
}

// addRequest adds the request of a record, and reports whether it is new.
func (c *endpointCrash) addRequest(record Record) bool {
	if c.request(record.content()) != nil {
		return false
	}
	traits := make([]Trait, len(record.Traits))
	for i, told := range record.Traits {
		traits[i] = told.Trait
	}
	c.requests = append(c.requests, traits)
	return true
}

// request returns the traits of the request with a content; nil if there is none.
func (c *endpointCrash) request(content Trait) []Trait {
	for _, traits := range c.requests {
		if traits[len(traits)-1] == content {
			return traits
		}
	}
	return nil
}

// record returns the record of a request, nil if there is none with its content.
func (c *endpointCrash) record(content Trait) *Record {
	traits := c.request(content)
	if traits == nil {
		return nil
	}
	record := &Record{Crash: c.id, ObservedAt: c.observedAt}
	for _, trait := range traits {
		record.Traits = append(record.Traits, c.traits[trait])
	}
	return record
}

// update changes the records of traits, and returns the keys of the requests that have one that has changed.
func (c *endpointCrash) update(traits []Trait, change func(*TraitRecord)) []recordKey {
	changed := map[Trait]bool{}
	for _, trait := range traits {
		known, present := c.traits[trait]
		if !present {
			continue
		}
		updated := known
		change(&updated)
		if updated != known {
			c.traits[trait] = updated
			changed[trait] = true
		}
	}
	if len(changed) == 0 {
		return nil
	}
	var keys []recordKey
	for _, request := range c.requests {
		if slices.ContainsFunc(request, func(trait Trait) bool { return changed[trait] }) {
			keys = append(keys, recordKey{c.id, request[len(request)-1]})
		}
	}
	return keys
}

// keys returns the keys of all requests.
func (c *endpointCrash) keys() []recordKey {
	keys := make([]recordKey, len(c.requests))
	for i, request := range c.requests {
		keys[i] = recordKey{c.id, request[len(request)-1]}
	}
	return keys
}

// size returns the number of traits that the crash holds, those that several requests share once for each.
func (c *endpointCrash) size() int {
	size := 0
	for _, request := range c.requests {
		size += len(request)
	}
	return size
}
