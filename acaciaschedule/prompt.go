package acaciaschedule

import (
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

// Load pattern: prompts with long parts in common, whose requests arrive at any process. An
// engine prefills only the part of a prompt that it does not have in its prefix cache, so the
// processes tell each other which prompts they have sent where.

const (
	// maxCachedSegments bounds the memory used for one endpoint, whatever sizes callers state.
	maxCachedSegments = 512
	// maxRequestTokens bounds the size that a request counts as, so that its product with the slots of
	// an endpoint fits into an int.
	maxRequestTokens = 1 << 32
)

// cachedTokens returns how many tokens of the request's prompt the endpoint is expected to
// have in its prefix cache.
func (e *endpoint) cachedTokens(request *Request) int {
	return min(e.cache.Cached(request.Prompt), request.PromptTokens)
}

// tokensToPrefill returns how many tokens the endpoint is expected to prefill before the first
// byte of the request's response: the request's own and those of the unanswered requests
// before it.
func (e *endpoint) tokensToPrefill(request *Request) int {
	return request.PromptTokens - e.cachedTokens(request) + e.ownPrefill + e.peerLoad.Prefill
}

// prefillCost returns the time that prefilling the request's prompt at the endpoint adds to the
// waits of other requests: those that wait per endpoint are all delayed by it.
func (svc *service) prefillCost(e *endpoint, request *Request, waitingPerEndpoint float64) time.Duration {
	uncached := float64(request.PromptTokens - e.cachedTokens(request))
	seconds := uncached * svc.firstByteModel.secondsPerToken() * svc.slowdown(e)
	return time.Duration(waitingPerEndpoint * seconds * float64(time.Second))
}

// waitingPerEndpoint returns how many requests other than the given one wait in all processes,
// per usable endpoint; listed is the number that wait in this one, usable that of the endpoints.
func (svc *service) waitingPerEndpoint(listed, usable int) float64 {
	return float64(svc.peerRanks.total+listed-1) / float64(max(usable, 1))
}

// secondsPerToken returns how long an endpoint of usual speed takes to prefill a token.
func (m *firstByteModel) secondsPerToken() float64 {
	return max(m.slope, 0)
}

// recordPrompt records that the endpoint has been sent a prompt, by this process or another.
func (svc *service) recordPrompt(e *endpoint, prompt []acaciaprefix.Segment) {
	if len(prompt) == 0 {
		return
	}
	svc.observeRequestSize(acaciaprefix.CountTokens(prompt))
	e.cache.SetCapacity(e.info.Slots * svc.largestRequest)
	e.cache.Add(prompt)
	e.cache.Trim(maxCachedSegments)
}

// observeRequestSize keeps the size of the largest request of the service. An engine has
// memory for as many such requests as it has slots, and for no more as far as is known.
func (svc *service) observeRequestSize(tokens int) {
	svc.largestRequest = max(svc.largestRequest, min(tokens, maxRequestTokens))
}

// startPrefill counts the tokens that the endpoint has to prefill for the request.
func (e *endpoint) startPrefill(request *Request) {
	request.uncachedTokens = request.PromptTokens - e.cachedTokens(request)
	e.ownPrefill += request.uncachedTokens
	e.unanswered = append(e.unanswered, request)
}

// endPrefill ends what startPrefill started; it does nothing if that has been done.
func (e *endpoint) endPrefill(request *Request) {
	for i, other := range e.unanswered {
		if other == request {
			e.unanswered = append(e.unanswered[:i:i], e.unanswered[i+1:]...)
			e.ownPrefill -= request.uncachedTokens
			return
		}
	}
}

// usualFirstByte returns the usual time from the assignment of a slot to the first byte of
// the response, at the endpoint that has most of the prompt in its prefix cache.
func (svc *service) usualFirstByte(request *Request) time.Duration {
	tokens := request.PromptTokens - request.mostCachedTokens
	return time.Duration(svc.firstByteModel.predictSeconds(float64(tokens)) * float64(time.Second))
}

// mostCachedTokens returns the most tokens of the request's prompt that a usable endpoint is
// expected to have in its prefix cache.
func (svc *service) mostCachedTokens(request *Request) int {
	most := 0
	if len(request.Prompt) == 0 {
		return most
	}
	for _, e := range svc.sorted {
		if e.usable() {
			most = max(most, e.cachedTokens(request))
		}
	}
	return most
}
