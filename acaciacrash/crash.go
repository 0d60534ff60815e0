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
	c.requests = append(c.requests, crashedRequest{stage: record.Stage, traits: record.traits()})
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

// recordAnswer records that answers to requests with the traits have reached a stage since, where that takes back what the
// crash says. It returns the keys of records that tell of all changes.
func (c *endpointCrash) recordAnswer(reached Stage, traits []Trait) []recordKey {
	return c.update(traits, func(t *crashTrait) bool {
		clears := t.isEarly() && reached > StageBegun || t.isLate() && reached > t.stage
		if clears {
			t.Since = max(t.Since, reached)
		}
		return clears
	})
}

// recordEarlier records that answers to requests with the traits had come further before, where that makes them less
// suspect. It returns the keys of records that tell of all changes.
func (c *endpointCrash) recordEarlier(traits []Trait, reached func(Trait) Stage) []recordKey {
	return c.update(traits, func(t *crashTrait) bool {
		before := reached(t.Trait)
		weakens := t.speaksAgainst() && t.Before <= t.stage && before > t.stage
		if weakens {
			t.Before = before
		}
		return weakens
	})
}

// update changes what is known of traits. It returns the keys of records that tell of all that change reports to have changed.
func (c *endpointCrash) update(traits []Trait, change func(*crashTrait) bool) []recordKey {
	changed := map[Trait]bool{}
	for _, trait := range traits {
		if known := c.traits[trait]; known != nil && change(known) {
			changed[trait] = true
		}
	}
	var keys []recordKey
	for _, request := range c.requests {
		if len(changed) == 0 {
			break
		}
		if slices.ContainsFunc(request.traits, func(trait Trait) bool { return changed[trait] }) {
			keys = append(keys, recordKey{c.id, request.content()})
			for _, trait := range request.traits {
				delete(changed, trait)
			}
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

// suspectKeys returns the keys of the requests with a segment that the crash speaks against, and of those without segments.
func (c *endpointCrash) suspectKeys() []recordKey {
	var keys []recordKey
	for _, request := range c.requests {
		segments := request.traits[:len(request.traits)-1]
		suspect := slices.ContainsFunc(segments, func(trait Trait) bool { return c.traits[trait].speaksAgainst() })
		if suspect || len(segments) == 0 {
			keys = append(keys, recordKey{c.id, request.content()})
		}
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
