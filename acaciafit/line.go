package acaciafit

type (
	// Settings fix how a line forgets and what it assumes.
	Settings struct {
		// Fade is the factor by which each new point reduces the weight of the old.
		Fade float64
		// PriorSlope is the slope while there are few points, PriorVariance how much
		// variance of x it counts for.
		PriorSlope    float64
		PriorVariance float64
	}

	// Line is a fitted line.
	Line struct {
		settings             Settings
		weight, x, y, xx, xy float64
	}
)

// New returns a line without points.
func New(settings Settings) Line {
	return Line{settings: settings}
}

// Add takes a point.
func (l *Line) Add(x, y float64) {
	fade := l.settings.Fade
	l.weight = fade*l.weight + 1
	l.x = fade*l.x + x
	l.y = fade*l.y + y
	l.xx = fade*l.xx + x*x
	l.xy = fade*l.xy + x*y
}

// Empty reports whether the line has no point yet.
func (l *Line) Empty() bool {
	return l.weight == 0
}

// Fit returns the means of the points, through which the line goes, and its slope.
func (l *Line) Fit() (meanX, meanY, slope float64) {
	if l.Empty() {
		return 0, 0, l.settings.PriorSlope
	}
	meanX, meanY = l.x/l.weight, l.y/l.weight
	variance := l.xx - l.weight*meanX*meanX
	covariance := l.xy - l.weight*meanX*meanY
	prior := l.settings.PriorVariance
	return meanX, meanY, (covariance + prior*l.settings.PriorSlope) / (variance + prior)
}
