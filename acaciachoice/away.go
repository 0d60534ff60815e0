package acaciachoice

import (
	"slices"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const (
	// awayShare is the share of its slack that a request waits while no endpoint can
	// be asked.
	awayShare = 0.25
	// awayPause is when the endpoints are asked again that refused all work or could
	// not be reached.
	awayPause = 300 * time.Millisecond
)

// awaitEndpoint has the request wait until the list changes or a pause is over, and
// gives it up once it has waited its share.
//
// Load pattern: the last endpoints of a service restart or leave at the same moment, for
// a second or two; all that arrives meanwhile was refused, and sent away for longer.
func (r *request) awaitEndpoint() {
	waited := r.chooser.loop.Now().Sub(r.submitted)
	left := time.Duration(awayShare*float64(r.reservation.Slack)) - waited
	if left <= 0 {
		r.refuse(acaciaroute.CodeNoEndpoint)
		return
	}
	r.away = true
	r.stopAgain()
	r.again = r.chooser.loop.After(min(left, awayPause), r.search)
}

// searchAgain has the requests search that wait for an endpoint, in a fixed order.
func (c *Chooser) searchAgain() {
	var away []*request
	for _, r := range c.requests {
		if r.away {
			away = append(away, r)
		}
	}
	slices.SortFunc(away, func(a, b *request) int {
		return strings.Compare(a.reservation.RequestID, b.reservation.RequestID)
	})
	for _, r := range away {
		r.stopAgain()
		r.search()
	}
}
