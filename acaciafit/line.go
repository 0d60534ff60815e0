package acaciafit

type (
	// Settings configures the decay and the prior of a line.
	Settings struct {
		// Decay is the factor by which each new point reduces the weight of the old.
		Decay float64
		// PriorSlope is the slope assumed while there are few points. PriorSumOfSquares is
		// its weight: it counts as much as points whose squared deviations of x from the
		// mean have this sum.
		PriorSlope        float64
		PriorSumOfSquares float64
	}

	// Line is a regression line. Its sums weight newer points more than older ones.
	Line struct {
		settings                         Settings
		weight, sumX, sumY, sumXX, sumXY float64
	}
)

// New returns a Line without points.
func New(settings Settings) Line {
	return Line{settings: settings}
}

// Add adds a point.
func (l *Line) Add(x, y float64) {
	decay := l.settings.Decay
	l.weight = decay*l.weight + 1
	l.sumX = decay*l.sumX + x
	l.sumY = decay*l.sumY + y
	l.sumXX = decay*l.sumXX + x*x
	l.sumXY = decay*l.sumXY + x*y
}

// Empty reports whether the line has no points.
func (l *Line) Empty() bool {
	return l.weight == 0
}

// Fit returns the weighted means of the points, through which the line goes, and its slope.
func (l *Line) Fit() (meanX, meanY, slope float64) {
	if l.Empty() {
		return 0, 0, l.settings.PriorSlope
	}
	meanX, meanY = l.sumX/l.weight, l.sumY/l.weight
	sumOfSquares := l.sumXX - l.weight*meanX*meanX
	sumOfProducts := l.sumXY - l.weight*meanX*meanY
	prior := l.settings.PriorSumOfSquares
	return meanX, meanY, (sumOfProducts + prior*l.settings.PriorSlope) / (sumOfSquares + prior)
}
