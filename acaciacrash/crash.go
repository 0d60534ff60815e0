package acaciacrash

import (
	"slices"
	"time"
)

type (
	// endpointCrash is what is known of the crash of an endpoint.
	endpointCrash struct {
		id         uint64
		observedAt time.Time
		// traits holds the traits of all requests that ran: a trait counts once for a crash.
		traits   map[Trait]*crashTrait
		requests []crashedRequest
	}

	// crashTrait is what is known of a trait of requests that ran.
	crashTrait struct {
		TraitRecord
		// begun reports whether the answer to one of the requests was at StageBegun, stage is the last one that any had reached.
		begun bool
		stage Stage
	}

	// crashedRequest is a request that ran.
	crashedRequest struct {
		stage Stage
		// traits holds the traits in their order.
		traits []Trait
	}
)

func newEndpointCrash(id uint64, observedAt time.Time) *endpointCrash {
	return &endpointCrash{id: id, observedAt: observedAt, traits: map[Trait]*crashTrait{}}
}

// isEarly reports whether the crash speaks against the trait because an answer had hardly begun.
func (t *crashTrait) isEarly() bool {
	return t.begun && t.Since == StageBegun
}

// isLate reports whether the crash speaks against the trait although the answers had come further. Crashes of another cause
// hit answers at any stage, so that none with the trait must have come further before.
func (t *crashTrait) isLate() bool {
	return t.stage > StageBegun && t.Since <= t.stage && t.Before <= t.stage
}

// speaksAgainst reports whether the crash speaks against the trait.
func (t *crashTrait) speaksAgainst() bool {
	return t.isEarly() || t.isLate()
}

// content returns the trait of the request's content.
func (r *crashedRequest) content() Trait {
	return r.traits[len(r.traits)-1]
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
		known := c.traits[told.Trait]
		if known == nil {
			known = &crashTrait{TraitRecord: told}
			c.traits[told.Trait] = known
		}
		before := *known
		known.merge(told)
		known.begun = known.begun || record.Stage == StageBegun
		known.stage = max(known.stage, record.Stage)
		changed = changed || *known != before
	}
	return changed
}

// addRequest adds the request of a record, and reports whether it is new.
func (c *endpointCrash) addRequest(record Record) bool {
	known := c.request(record.content())
	if known != nil {
		// Two requests with the same content count as one, which came as far as the later one.
		changed := record.Stage > known.stage
		known.stage = max(known.stage, record.Stage)
		return changed
	}
	request := crashedRequest{stage: record.Stage}
	for _, told := range record.Traits {
		request.traits = append(request.traits, told.Trait)
	}
	c.requests = append(c.requests, request)
	return true
}

// request returns the request with a content; nil if there is none.
func (c *endpointCrash) request(content Trait) *crashedRequest {
	for i := range c.requests {
		if c.requests[i].content() == content {
			return &c.requests[i]
		}
	}
	return nil
}

// record returns the record of a request, nil if there is none with its content.
func (c *endpointCrash) record(content Trait) *Record {
	request := c.request(content)
	if request == nil {
		return nil
	}
	record := &Record{Crash: c.id, ObservedAt: c.observedAt, Stage: request.stage}
	for _, trait := range request.traits {
		record.Traits = append(record.Traits, c.traits[trait].TraitRecord)
	}
	return record
}

// update changes the records of traits, and returns the keys of the requests that have one that has changed.
func (c *endpointCrash) update(traits []Trait, change func(*TraitRecord)) []recordKey {
	changed := map[Trait]bool{}
	for _, trait := range traits {
		known := c.traits[trait]
		if known == nil {
			continue
		}
		before := known.TraitRecord
		change(&known.TraitRecord)
		if known.TraitRecord != before {
			changed[trait] = true
		}
	}
	if len(changed) == 0 {
		return nil
	}
	var keys []recordKey
	for _, request := range c.requests {
		if slices.ContainsFunc(request.traits, func(trait Trait) bool { return changed[trait] }) {
			keys = append(keys, recordKey{c.id, request.content()})
		}
	}
	return keys
}

// keys returns the keys of all requests.
func (c *endpointCrash) keys() []recordKey {
	keys := make([]recordKey, len(c.requests))
	for i, request := range c.requests {
		keys[i] = recordKey{c.id, request.content()}
	}
	return keys
}

// size returns the number of traits that the crash holds, those that several requests share once for each.
func (c *endpointCrash) size() int {
	size := 0
	for _, request := range c.requests {
		size += len(request.traits)
	}
	return size
}
