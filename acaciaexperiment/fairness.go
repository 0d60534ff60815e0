package acaciaexperiment

import (
	"cmp"
	"slices"
	"time"
)

type (
	// fairShareAccount compares the tokens that organisations were granted in one
	// class with their max-min fair shares: each grant adds its tokens in equal parts
	// to those owed to the organisations that have requests waiting at that time.
	fairShareAccount struct {
		// waiting, owed and granted are token counts by organisation; waiting counts the
		// tokens of waiting requests.
		waiting        []float64
		owed           []float64
		granted        []float64
		grants         int
		grantedTokens  float64
		largestRequest float64
	}

	// waitChange is the time at which a request begins to wait, if arrival is true, or
	// ceases to wait.
	waitChange struct {
		at      time.Duration
		result  *Result
		arrival bool
	}
)

const (
	fairnessWindow = 30 * time.Second
	// maxSmallRequestShare is the share of all requests below which an organisation counts
	// as small.
	maxSmallRequestShare = 0.1
	// minFairShare is the part of its fair share that a small organisation must get.
	minFairShare = 0.9
	// minOwedRequests is the multiple of the mean request that an organisation must be owed
	// before its share counts; with less, a low share may be due to chance.
	minOwedRequests = 3
	// largeOrganisationCount is the number of organisations with equal large demands, which
	// come first in the workload.
	largeOrganisationCount = 2
)

// fairness returns, over all classes and windows, the minimum ratio of granted to owed
// tokens of a small organisation, the maximum lag of one, and the minimum of Jain's index
// of the large organisations.
func (run Run) fairness() (smallShare, smallLag, jain float64) {
	smallShare, jain = 1, 1
	for class := range run.Workload.Classes {
		account := &fairShareAccount{waiting: make([]float64, len(run.Workload.Organisations))}
		account.reset()
		end := Warmup + fairnessWindow
		for _, change := range run.waitChanges(class) {
			for change.at >= end && end <= ArrivalPeriod {
				s, l, j := account.fairnessRatios(run.Workload.Organisations)
				smallShare, smallLag, jain = min(smallShare, s), max(smallLag, l), min(jain, j)
				account.reset()
				end += fairnessWindow
			}
			account.applyChange(change)
			if change.at < Warmup {
				account.reset()
			}
		}
	}
	return smallShare, smallLag, jain
}

// waitChanges returns, in order of time, when the requests of a class began and ceased to
// wait.
func (run Run) waitChanges(class int) []waitChange {
	var changes []waitChange
	for _, r := range run.Results {
		if r.Class != class {
			continue
		}
		end := r.GrantedAt
		if end == 0 {
			end = r.EndedAt
		}
		changes = append(changes, waitChange{r.At, r, true}, waitChange{end, r, false})
	}
	slices.SortStableFunc(changes, func(a, b waitChange) int { return cmp.Compare(a.at, b.at) })
	return changes
}

func (s *fairShareAccount) applyChange(change waitChange) {
	r := change.result
	tokens := float64(r.PromptTokens + r.OutputTokens)
	if change.arrival {
		s.waiting[r.Organisation] += tokens
		return
	}
	if r.GrantedAt > 0 {
		s.recordGrant(r.Organisation, tokens)
	}
	s.waiting[r.Organisation] -= tokens
}

// recordGrant adds the tokens of a granted request to those granted to an organisation,
// and divides them among those owed to the organisations with unmet demand.
func (s *fairShareAccount) recordGrant(to int, tokens float64) {
	var backlogged []int
	for organisation := range s.waiting {
		if s.unmetDemand(organisation) > 0 {
			backlogged = append(backlogged, organisation)
		}
	}
	for _, organisation := range backlogged {
		s.owed[organisation] += min(tokens/float64(len(backlogged)), s.unmetDemand(organisation))
	}
	s.granted[to] += tokens
	s.largestRequest = max(s.largestRequest, tokens)
	s.grants++
	s.grantedTokens += tokens
}

// unmetDemand returns the tokens of an organisation's waiting requests beyond those that
// it is owed already.
func (s *fairShareAccount) unmetDemand(organisation int) float64 {
	return s.waiting[organisation] - max(0, s.owed[organisation]-s.granted[organisation])
}

// fairnessRatios returns the values of fairness for the present window.
func (s *fairShareAccount) fairnessRatios(organisations []Organisation) (smallShare, smallLag, jain float64) {
	smallShare, jain = 1, 1
	mean := s.grantedTokens / float64(max(s.grants, 1))
	for i, organisation := range organisations {
		if organisation.RequestShare < maxSmallRequestShare && s.owed[i] >= minOwedRequests*mean && s.grants > 0 {
			smallShare = min(smallShare, s.granted[i]/s.owed[i])
			smallLag = max(smallLag, (minFairShare*s.owed[i]-s.granted[i])/s.largestRequest)
		}
	}
	// The large organisations are comparable only while both are owed about the same.
	if s.owed[0] > 0 && min(s.owed[0], s.owed[1])/max(s.owed[0], s.owed[1]) > 0.9 {
		jain = jainIndex(s.granted[:largeOrganisationCount])
	}
	return smallShare, smallLag, jain
}

func (s *fairShareAccount) reset() {
	s.owed = make([]float64, len(s.waiting))
	s.granted = make([]float64, len(s.waiting))
	s.grants = 0
	s.grantedTokens = 0
	s.largestRequest = 0
}
