package acacialength

import "math/bits"

// Load pattern: requests of one class whose answers differ in length by a factor of hundreds. Callers state how long an
// answer is likely to be, right in the median and often far off, some of them always in the same direction.

type (
	// Request is what a model knows of a request before it runs.
	Request struct {
		Class        string
		Organisation string
		// Hint is the caller's estimate of the number of events; 0 if there is none.
		Hint int
	}

	// Model predicts the number of events of streams. It is not safe for concurrent use.
	Model struct {
		classes       map[string]*class
		organisations organisations
	}

	// class is what the finished streams of one class have shown.
	class struct {
		// mean is the moving average of the number of events, over all streams.
		mean average
		// all is the mean ratio of events to the hint, bands the same by the hint's number of bits.
		all   average
		bands [hintBands]average
	}
)

const (
	// hintBands is the number of bits that a hint may have.
	hintBands = 32
	// priorEvents is the assumed mean number of events of a class without streams.
	priorEvents = 64
	// maxClasses bounds the memory: streams of further classes are predicted by the prior and not learnt from.
	maxClasses = 1024
	// maxEvents bounds a prediction, so that its product with an interval is a valid time.
	maxEvents = 1 << 31
)

// New returns a model without streams.
func New() *Model {
	return &Model{classes: map[string]*class{}, organisations: organisations{entries: map[string]*organisation{}}}
}

// Expect returns the expected number of events of a request's stream; without a hint, the mean of its class.
func (m *Model) Expect(request Request) float64 {
	known := m.classes[request.Class]
	if request.Hint <= 0 {
		if known == nil {
			return priorEvents
		}
		return known.mean.valueOr(priorEvents)
	}
	return min(float64(request.Hint)*known.ratio(request.Hint)*m.organisations.correction(request.Organisation), maxEvents)
}

// Learn adds a stream that has ended by itself, with its number of events.
func (m *Model) Learn(request Request, events int) {
	known := m.classes[request.Class]
	if known == nil {
		if len(m.classes) >= maxClasses {
			return
		}
		known = &class{}
		m.classes[request.Class] = known
	}
	known.mean.add(float64(events), priorEvents)
	if request.Hint <= 0 {
		return
	}
	hint, observed := float64(request.Hint), float64(events)
	ratio, correction := known.ratio(request.Hint), m.organisations.correction(request.Organisation)
	known.all.add(observed/(hint*correction), 1)
	known.bands[bandOf(request.Hint)].add(observed/(hint*correction), known.all.valueOr(1))
	m.organisations.learn(request.Organisation, observed/(hint*ratio))
}

// ratio returns the expected ratio of events to a hint.
func (c *class) ratio(hint int) float64 {
	if c == nil {
		return 1
	}
	return c.bands[bandOf(hint)].valueOr(c.all.valueOr(1))
}

// bandOf returns the index of a hint's band: that of hints with the same number of bits.
func bandOf(hint int) int {
	return min(bits.Len(uint(hint)), hintBands) - 1
}
