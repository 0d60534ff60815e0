package acacialength

import "slices"

type (
	// organisations hold the mean errors of the hints of organisations.
	organisations struct {
		entries map[string]*organisation
		// clock counts the streams that were learnt from.
		clock uint64
	}

	organisation struct {
		// error is the mean ratio of the number of events to the number predicted from the hint alone.
		error average
		// usedAt is the clock at its last stream.
		usedAt uint64
	}
)

const (
	// maxOrganisations bounds the memory; beyond it, those whose last streams are longest ago are forgotten. The design
	// load has 2,900 organisations.
	maxOrganisations = 8192
	// minCorrection and maxCorrection bound what the errors of an organisation's hints do to later ones. The upper bound is
	// far larger because hints that are too small are the ones that would bring an advantage.
	minCorrection = 1.0 / 8
	maxCorrection = 1024
)

// correction returns the factor by which the hints of an organisation are corrected.
func (o *organisations) correction(name string) float64 {
	entry := o.entries[name]
	if entry == nil {
		return 1
	}
	return min(max(entry.error.valueOr(1), minCorrection), maxCorrection)
}

// learn adds the ratio of a stream's number of events to the number predicted from the hint alone.
func (o *organisations) learn(name string, ratio float64) {
	o.clock++
	entry := o.entries[name]
	if entry == nil {
		o.makeRoom()
		entry = &organisation{}
		o.entries[name] = entry
	}
	entry.usedAt = o.clock
	entry.error.add(min(max(ratio, minCorrection), maxCorrection), 1)
}

// makeRoom forgets the half of the organisations whose last streams are longest ago, if there are too many: in one pass for
// thousands of new ones.
func (o *organisations) makeRoom() {
	if len(o.entries) < maxOrganisations {
		return
	}
	oldest := make([]uint64, 0, len(o.entries))
	for _, entry := range o.entries {
		oldest = append(oldest, entry.usedAt)
	}
	slices.Sort(oldest)
	for name, entry := range o.entries {
		if entry.usedAt <= oldest[len(oldest)/2] {
			delete(o.entries, name)
		}
	}
}
