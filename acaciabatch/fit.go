package acaciabatch

import "github.com/acaciaroute/acaciaroute/acaciafit"

// tokenGapModel is a linear regression of the time between tokens on the batch size: gap =
// base + slope × running. A weak prior keeps it plausible while there are few samples.
type tokenGapModel struct {
	acaciafit.Line
}

const (
	// sampleDecay is the factor by which each new sample reduces the weight of the older
	// ones.
	sampleDecay = 0.995
	// priorBaseSeconds and priorSlopeSeconds describe an engine without samples.
	priorBaseSeconds  = 0.008
	priorSlopeSeconds = 0.0005
	// priorWeight is the number of samples that the prior counts for.
	priorWeight = 2
	// priorSpread is the distance of the prior's two samples from their mean, in running
	// requests.
	priorSpread = 4

	// minSlopeSeconds is the lower bound of the slope, and also of an expected gap.
	minSlopeSeconds = 0.00002
)

func newTokenGapModel() tokenGapModel {
	return tokenGapModel{acaciafit.New(acaciafit.Settings{
		Decay: sampleDecay, PriorSlope: priorSlopeSeconds, PriorSumOfSquares: priorWeight * priorSpread * priorSpread,
	})}
}

// coefficients returns the base and slope in seconds.
func (m *tokenGapModel) coefficients() (base, slope float64) {
	if m.Empty() {
		return priorBaseSeconds, priorSlopeSeconds
	}
	meanX, meanY, slope := m.Fit()
	slope = max(slope, minSlopeSeconds)
	return max(0, meanY-slope*meanX), slope
}
