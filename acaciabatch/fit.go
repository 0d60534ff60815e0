package acaciabatch

import "github.com/acaciaroute/acaciaroute/acaciafit"

// fit is a line through the observed times between tokens: gap = base + slope × running.
// A weak prior keeps it sensible while there are few.
type fit struct {
	acaciafit.Line
}

const (
	// fade is the factor by which each new point reduces the weight of the old.
	fade = 0.995
	// priorBase and priorSlope, in seconds, stand for an unknown engine.
	priorBase  = 0.008
	priorSlope = 0.0005
	// priorWeight is how many points the prior counts for.
	priorWeight = 2
	// priorSpread is how far from the mean the prior's two points lie.
	priorSpread = 4

	minSlope = 0.00002
)

func newFit() fit {
	return fit{acaciafit.New(acaciafit.Settings{
		Fade: fade, PriorSlope: priorSlope, PriorVariance: priorWeight * priorSpread * priorSpread,
	})}
}

// line returns the base and slope in seconds.
func (f *fit) line() (base, slope float64) {
	if f.Empty() {
		return priorBase, priorSlope
	}
	meanX, meanY, slope := f.Fit()
	slope = max(slope, minSlope)
	return max(0, meanY-slope*meanX), slope
}
