package acaciafit

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestLineFollowsRecentPoints(t *testing.T) {
	l := New(Settings{Decay: 0.9, PriorSlope: 5, PriorSumOfSquares: 0.001})
	assert.Check(t, l.Empty())
	_, _, slope := l.Fit()
	assert.Equal(t, slope, 5.0)
	for _, want := range []float64{2, -1} {
		for i := range 200 {
			x := float64(i % 7)
			l.Add(x, 3+want*x)
		}
		meanX, meanY, slope := l.Fit()
		assert.Check(t, math.Abs(slope-want) < 0.01, "slope %v", slope)
		assert.Check(t, math.Abs(meanY-want*meanX-3) < 0.01)
	}
}

func TestPriorSlopeAppliesWithoutVariance(t *testing.T) {
	l := New(Settings{Decay: 0.9, PriorSlope: 5, PriorSumOfSquares: 1})
	for range 10 {
		l.Add(4, 1)
	}
	_, meanY, slope := l.Fit()
	assert.Check(t, math.Abs(slope-5) < 1e-9)
	assert.Check(t, math.Abs(meanY-1) < 1e-9)
}
