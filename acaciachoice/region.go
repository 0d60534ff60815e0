package acaciachoice

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

const (
	// fewRemote is how many endpoints of other regions queue a request of the class
	// that yields first.
	fewRemote = 2
	// firstRemote is how many of them other classes ask at first.
	firstRemote = 4
	// remoteShare is the share of its slack that a request waits in its own
	// region before it asks another.
	remoteShare = 0.25
	// slowedShare takes its place while the region has a straggler.
	slowedShare = 0.05
	// linkTime is how long a request waits that finds the link to other regions
	// full.
	linkTime = 100 * time.Millisecond
	// remoteTime is how long endpoints of other regions have to grant before more
	// of them are asked.
	remoteTime = 70 * time.Millisecond
)

// widenRemote asks endpoints of other regions once the own one has had its time.
func (l *lateBinding) widenRemote(question acaciaroute.Question) acaciaroute.Choice {
	remote := l.quickest(question, true)
	if len(remote) == 0 {
		return acaciaroute.Choice{}
	}
	if left := l.localPatience(question); left > 0 {
		return acaciaroute.Choice{Again: left}
	}
	if !question.LinkOpen {
		return acaciaroute.Choice{Again: linkTime, LinkWanted: true}
	}
	count := min(len(remote), max(firstRemote, remoteAsked(question.Candidates)))
	return acaciaroute.Choice{Ask: remote[:count], Again: remoteTime}
}

// remoteAsked counts the endpoints of other regions that were asked.
func remoteAsked(candidates []acaciaroute.Candidate) int {
	count := 0
	for i := range candidates {
		if candidates[i].Asked && candidates[i].Remote {
			count++
		}
	}
	return count
}

// yieldingRemote asks a few endpoints of other regions for a request of the class
// that yields first, once the few in its own region have had their time or have
// declined.
func (l *lateBinding) yieldingRemote(question acaciaroute.Question) acaciaroute.Choice {
	waiting := slices.ContainsFunc(question.Candidates, func(candidate acaciaroute.Candidate) bool {
		return candidate.Asked && !candidate.Remote && !declined(&candidate)
	})
	remote := slices.DeleteFunc(l.quickest(question, true), func(position int) bool {
		return busy(&question.Candidates[position])
	})
	if remoteAsked(question.Candidates) > 0 || len(remote) == 0 {
		return acaciaroute.Choice{}
	}
	left := time.Duration(remoteShare*float64(question.Reservation.Slack)) - question.Waited
	if waiting && left > 0 {
		return acaciaroute.Choice{Again: left}
	}
	if !question.LinkOpen {
		return acaciaroute.Choice{Again: linkTime, LinkWanted: true}
	}
	return acaciaroute.Choice{Ask: remote[:min(len(remote), fewRemote)]}
}

// busy reports whether the candidate lately had no room.
func busy(candidate *acaciaroute.Candidate) bool {
	return candidate.Hint.Free == 0 && fresh(candidate)
}

// localPatience returns how much longer the request waits in its own region
// before it asks another one.
func (l *lateBinding) localPatience(question acaciaroute.Question) time.Duration {
	waiting := false
	share := remoteShare
	for i := range question.Candidates {
		candidate := &question.Candidates[i]
		if candidate.Remote {
			continue
		}
		waiting = waiting || !declined(candidate)
		if straggling(candidate) || candidate.Offer.Hint.Straggling {
			share = slowedShare
		}
	}
	if !waiting {
		return 0
	}
	return time.Duration(share*float64(question.Reservation.Slack)) - question.Waited
}
