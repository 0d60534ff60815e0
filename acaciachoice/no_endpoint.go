package acaciachoice

import (
	"slices"
	"strings"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const (
	// noEndpointWaitShare is the share of its slack that a request waits while no
	// endpoint is available.
	noEndpointWaitShare = 0.25
	// unavailableAskInterval is the time after which endpoints that refused all work
	// or could not be reached are asked again.
	unavailableAskInterval = 300 * time.Millisecond
)

// awaitEndpoint lets the request wait until the VM list changes or unavailableAskInterval
// has passed. It refuses the request once noEndpointWaitShare of its slack is used up.
//
// Load pattern: the last endpoints of a service restart or leave at the same time, for
// a second or two. Without this wait, every request that arrives in that time is
// refused and told to retry after an even longer delay.
func (r *request) awaitEndpoint() {
	waited := r.chooser.loop.Now().Sub(r.submitted)
	left := time.Duration(noEndpointWaitShare*float64(r.reservation.Slack)) - waited
	if left <= 0 {
		r.refuseRequest(acaciaroute.CodeNoEndpoint)
		return
	}
	r.awaitingEndpoint = true
	r.stopAskAgainTimer()
	r.askAgainTimer = r.chooser.loop.After(min(left, unavailableAskInterval), r.searchEndpoints)
}

// restartAwaitingRequests restarts the search of the requests that wait for an
// available endpoint, sorted by request ID so that the order is deterministic.
func (c *Chooser) restartAwaitingRequests() {
	var awaiting []*request
	for _, r := range c.requests {
		if r.awaitingEndpoint {
			awaiting = append(awaiting, r)
		}
	}
	slices.SortFunc(awaiting, func(a, b *request) int {
		return strings.Compare(a.reservation.RequestID, b.reservation.RequestID)
	})
	for _, r := range awaiting {
		r.stopAskAgainTimer()
		r.searchEndpoints()
	}
}
