package acaciaschedule

import "time"

// Load pattern: so many requests arrive that the process itself falls behind, not the endpoints. If each
// arrival waited for the decision that it can't be served in time, the decisions for those that can be served
// would wait behind it.

// loopPasses is how often a request waits for the process's loop until its first byte: to be admitted, to
// be decided on, and before it is sent.
const loopPasses = 3

// RefusesBehind reports whether a request must be refused at once because the process is so far behind that
// the request would wait too long, by the same rule as for endpoints. backlog is how long it waits for the
// loop each time, timeout its time until the deadline, draw a random number in [0, 1). retryAfter is the delay
// after which its caller should retry.
func RefusesBehind(backlog, timeout time.Duration, draw float64) (retryAfter time.Duration, refused bool) {
	if loopPasses*backlog <= time.Duration(maxWaitShare*float64(timeout)) {
		return 0, false
	}
	return spreadRetry(loopPasses*backlog, timeout, draw), true
}

// spreadRetry returns the delay after which the caller of a rejected request should retry, with so much time
// left until its deadline. It is at least the given delay and minRetryAfter, but at most maxRetryAfterShare
// of the time left, and random in between so that callers do not retry at the same time.
func spreadRetry(delay, left time.Duration, draw float64) time.Duration {
	longest := time.Duration(maxRetryAfterShare * float64(left))
	delay = max(delay, minRetryAfter)
	if delay >= longest {
		return max(longest, 0)
	}
	return delay + time.Duration(draw*float64(longest-delay))
}
