package acaciagateway

import (
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
)

// refuseBehind returns an error if the loop is so far behind that the request can't be served in time. It
// takes constant time, before the body is read and without waiting for the loop. Streams of which the caller
// has a part are not refused: they can't begin anew without loss.
func (x *exchange) refuseBehind() error {
	backlog := x.gateway.loop.Backlog()
	if x.resumesStream() {
		return nil
	}
	retryAfter, refused := acaciaschedule.RefusesBehind(backlog, x.deadline.Sub(x.arrivedAt), rand.Float64())
	if !refused {
		return nil
	}
	return behindError(backlog, retryAfter)
}

// behindError returns the error of a request that is refused because the loop is behind.
func behindError(backlog, retryAfter time.Duration) error {
	return &acaciaroute.Error{Code: acaciaroute.CodeShed, Detail: "the gateway is behind by " + backlog.String(), RetryAfter: retryAfter}
}
