package acacialength

// average is a moving average of positive values with a prior.
type average struct {
	// value is the average, and count the number of values in it, up to memory.
	value float64
	count float64
}

const (
	// priorCount is the number of values that the prior counts as.
	priorCount = 8
	// memory is the number of values over which an average is taken. The ratio of a length to a hint varies by its
	// own size, so that an average of 100 of them is right to about a tenth.
	memory = 100
	// maxStep is how many times the average a value counts as at most, or at least as its reciprocal, so that no single stream
	// moves a prediction by more than a tenth once the memory is full.
	maxStep = 8
)

// valueOr returns the average, or the prior if there are no values.
func (a *average) valueOr(prior float64) float64 {
	if a.count == 0 {
		return prior
	}
	return a.value
}

// add adds a value; prior is the average before the first one.
func (a *average) add(value, prior float64) {
	before := a.valueOr(prior)
	a.count = min(a.count+1, memory)
	value = min(max(value, before/maxStep), before*maxStep)
	a.value = before + (value-before)/min(a.count+priorCount, memory)
}
