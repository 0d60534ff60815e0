package acaciachoice

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const (
	// lowestClassRemoteQueues is the number of endpoints of other regions at which a
	// request of the lowest class is queued.
	lowestClassRemoteQueues = 2
	// initialRemoteCount is the number of endpoints of other regions that a request of
	// any class but the lowest asks at first.
	initialRemoteCount = 4
	// localWaitShare is the share of its slack that a request waits in its own region
	// before it asks other regions.
	localWaitShare = 0.25
	// stragglerLocalWaitShare replaces localWaitShare while the region has a
	// straggler.
	stragglerLocalWaitShare = 0.05
	// linkRetryInterval is the time after which a request tries again to use the link
	// to other regions.
	linkRetryInterval = 100 * time.Millisecond
	// remoteWidenInterval is how long endpoints of other regions may take to grant
	// before more of them are asked.
	remoteWidenInterval = 70 * time.Millisecond
)

// widenToOtherRegions asks endpoints of other regions once the request has waited long
// enough in its own region.
func (l *lateBinding) widenToOtherRegions(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	remote := l.quickest(input, true)
	if len(remote) == 0 {
		return acaciaroute.PolicyChoice{}
	}
	if left := l.remainingLocalWait(input); left > 0 {
		return acaciaroute.PolicyChoice{AskAgainAfter: left}
	}
	if !input.LinkAllowed {
		return acaciaroute.PolicyChoice{AskAgainAfter: linkRetryInterval, NeedsLink: true}
	}
	count := min(len(remote), max(initialRemoteCount, countRemoteAsked(input.Candidates)))
	return acaciaroute.PolicyChoice{CandidatesToAsk: remote[:count], AskAgainAfter: remoteWidenInterval}
}

// countRemoteAsked returns the number of endpoints of other regions that were asked.
func countRemoteAsked(candidates []acaciaroute.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].ReservationSent && candidates[i].Remote {
			count++
		}
	}
	return count
}

// remoteForLowestClass asks a few endpoints of other regions for a request of the lowest
// class, once it has waited long enough at those asked in its own region or all of them
// have declined. It asks other regions only once, and no endpoint known to be full.
func (l *lateBinding) remoteForLowestClass(input acaciaroute.PolicyInput) acaciaroute.PolicyChoice {
	waiting := slices.ContainsFunc(input.Candidates, func(candidate acaciaroute.Candidate) bool {
		return candidate.ReservationSent && !candidate.Remote && !hasDeclined(&candidate)
	})
	remote := slices.DeleteFunc(l.quickest(input, true), func(position int) bool {
		return lacksCapacity(&input.Candidates[position])
	})
	if countRemoteAsked(input.Candidates) > 0 || len(remote) == 0 {
		return acaciaroute.PolicyChoice{}
	}
	left := time.Duration(localWaitShare*float64(input.Reservation.Slack)) - input.Waited
	if waiting && left > 0 {
		return acaciaroute.PolicyChoice{AskAgainAfter: left}
	}
	if !input.LinkAllowed {
		return acaciaroute.PolicyChoice{AskAgainAfter: linkRetryInterval, NeedsLink: true}
	}
	return acaciaroute.PolicyChoice{CandidatesToAsk: remote[:min(len(remote), lowestClassRemoteQueues)]}
}

// lacksCapacity reports whether a fresh hint says that the candidate would admit no
// more requests.
func lacksCapacity(candidate *acaciaroute.Candidate) bool {
	return candidate.Hint.FreeSlots == 0 && hasFreshHint(candidate)
}

// remainingLocalWait returns how much longer the request waits in its own region before
// it asks other regions. It is zero once every endpoint of its region has declined, and
// also if there is none.
func (l *lateBinding) remainingLocalWait(input acaciaroute.PolicyInput) time.Duration {
	waiting := false
	share := localWaitShare
	for i := range input.Candidates {
		candidate := &input.Candidates[i]
		if candidate.Remote {
			continue
		}
		waiting = waiting || !hasDeclined(candidate)
		if isStraggling(candidate) || candidate.Offer.Hint.Straggling {
			share = stragglerLocalWaitShare
		}
	}
	if !waiting {
		return 0
	}
	return time.Duration(share*float64(input.Reservation.Slack)) - input.Waited
}
