package acaciabatch

// fit is a line through weighted points: gap = base + slope × running. Old
// points fade, and a weak prior keeps it sensible while there are few.
type fit struct {
	weight, x, y, xx, xy float64
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

// add takes a point: the time between tokens in seconds while running requests
// were in the batch.
func (f *fit) add(running, gap float64) {
	f.weight = fade*f.weight + 1
	f.x = fade*f.x + running
	f.y = fade*f.y + gap
	f.xx = fade*f.xx + running*running
	f.xy = fade*f.xy + running*gap
}

// line returns the base and slope in seconds.
func (f *fit) line() (base, slope float64) {
	if f.weight == 0 {
		return priorBase, priorSlope
	}
	meanX, meanY := f.x/f.weight, f.y/f.weight
	varianceX := f.xx - f.weight*meanX*meanX
	covariance := f.xy - f.weight*meanX*meanY
	priorVariance := float64(priorWeight * priorSpread * priorSpread)
	slope = (covariance + priorVariance*priorSlope) / (varianceX + priorVariance)
	slope = max(slope, minSlope)
	return max(0, meanY-slope*meanX), slope
}
