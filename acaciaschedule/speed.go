package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciafit"
)

// speed predicts the time to the first part of an answer from the size of the prompt, by a
// line through the observations of a service.
type speed struct {
	acaciafit.Line
}

const (
	// speedFade is the factor by which an observation reduces the weight of older ones.
	speedFade = 0.99
	// priorBase and priorPerToken, in seconds, stand for an unknown service.
	priorBase     = 0.03
	priorPerToken = 0.00003
	// priorSpread, in tokens, and priorWeight give the prior its weight.
	priorSpread = 500
	priorWeight = 4

	// slownessFade is the weight of a new observation of an endpoint.
	slownessFade = 0.25
	minSlowness  = 0.2
	maxSlowness  = 12
	// crowding is how much slower a full endpoint is than an empty one.
	crowding = 0.5
	// silenceFactor is how many times longer than expected an endpoint may be silent
	// before it counts as slower.
	silenceFactor = 2
)

func newSpeed() speed {
	return speed{acaciafit.New(acaciafit.Settings{
		Fade: speedFade, PriorSlope: priorPerToken, PriorVariance: priorWeight * priorSpread * priorSpread,
	})}
}

// first predicts, in seconds, the time to the first part of an answer at an endpoint of
// usual speed.
func (s *speed) first(tokens float64) float64 {
	if s.Empty() {
		return priorBase + priorPerToken*tokens
	}
	meanX, meanY, slope := s.Fit()
	return max(meanY+max(slope, 0)*(tokens-meanX), meanY/4)
}

// expect predicts the time to the first part of an answer at an endpoint.
func (s *service) expect(e *endpoint, request *Request) time.Duration {
	busy := float64(e.occupied()) / float64(e.info.Places)
	predicted := s.speed.first(float64(request.PromptTokens)) * s.slowness(e) * (1 + crowding*busy)
	return time.Duration(predicted * float64(time.Second))
}

// slowness is how many times longer an endpoint takes than its service's usual one; one
// that nobody has tried yet counts as usual.
func (s *service) slowness(e *endpoint) float64 {
	if e.observed == 0 {
		return 1
	}
	return e.slowness
}

// silence is the factor by which an endpoint counts as slower that has not answered for
// longer than expected: a straggler is seen before its answers come.
func (s *service) silence(e *endpoint, now time.Time) float64 {
	if len(e.unanswered) == 0 {
		return 1
	}
	oldest := e.unanswered[0]
	expected := s.speed.first(float64(oldest.PromptTokens)) * s.slowness(e) * (1 + crowding)
	return max(1, now.Sub(oldest.placed).Seconds()/(silenceFactor*expected))
}

// observe takes the time to the first part of an answer at an endpoint.
func (s *service) observe(e *endpoint, request *Request, took time.Duration, busy float64) {
	usual := s.speed.first(float64(request.PromptTokens)) * (1 + crowding*busy)
	ratio := min(max(took.Seconds()/usual, minSlowness), maxSlowness)
	if e.observed == 0 {
		e.slowness = ratio
	} else {
		e.slowness += slownessFade * (ratio - e.slowness)
	}
	e.observed++
	s.speed.Add(float64(request.PromptTokens), took.Seconds()/(e.slowness*(1+crowding*busy)))
}
