package acaciaexperiment

import (
	"cmp"
	"slices"
	"time"
)

type (
	// shareAccount compares what members got of one class with their max-min
	// shares: whenever a request gets a dataCentre, its tokens are owed in equal parts
	// to the members that have requests waiting then.
	shareAccount struct {
		// waiting is the tokens of each member's waiting requests.
		waiting []float64
		owed    []float64
		got     []float64
		grants  int
		tokens  float64
		largest float64
	}

	// shareMoment is a change of who waits.
	shareMoment struct {
		at      time.Duration
		result  *Result
		arrival bool
	}
)

const (
	shareWindow = 30 * time.Second
	// smallDemand is the share of the demand below which a member is small.
	smallDemand = 0.1
	// fairShare is the part of its share that a small member must get.
	fairShare = 0.9
	// leastOwed is how many mean requests a member must be owed for its share to
	// be told apart from chance.
	leastOwed = 3
	// largeMembers is the number of members with equal large demands.
	largeMembers = 2
)

// shares returns, over all classes and windows, the least ratio of what a small
// member got to what it was owed, its greatest lag, and the least Jain's index of
// the large members.
func (run Run) shares() (small, lag, jain float64) {
	small, jain = 1, 1
	for class := range run.Workload.Classes {
		account := &shareAccount{waiting: make([]float64, len(run.Workload.Members))}
		account.clear()
		end := Warmup + shareWindow
		for _, moment := range run.moments(class) {
			for moment.at >= end && end <= Length {
				s, l, j := account.ratios(run.Workload.Members)
				small, lag, jain = min(small, s), max(lag, l), min(jain, j)
				account.clear()
				end += shareWindow
			}
			account.take(moment)
			if moment.at < Warmup {
				account.clear()
			}
		}
	}
	return small, lag, jain
}

// moments returns when requests of a class began and ceased to wait.
func (run Run) moments(class int) []shareMoment {
	var moments []shareMoment
	for _, r := range run.Results {
		if r.Class != class {
			continue
		}
		end := r.Granted
		if end == 0 {
			end = r.Ended
		}
		moments = append(moments, shareMoment{r.At, r, true}, shareMoment{end, r, false})
	}
	slices.SortStableFunc(moments, func(a, b shareMoment) int { return cmp.Compare(a.at, b.at) })
	return moments
}

func (s *shareAccount) take(moment shareMoment) {
	r := moment.result
	tokens := float64(r.Prompt + r.Output)
	if moment.arrival {
		s.waiting[r.Member] += tokens
		return
	}
	if r.Granted > 0 {
		s.grant(r.Member, tokens)
	}
	s.waiting[r.Member] -= tokens
}

// grant divides a grant's tokens among the members that have more waiting than
// they are owed.
func (s *shareAccount) grant(to int, tokens float64) {
	var backlogged []int
	for member := range s.waiting {
		if s.wanted(member) > 0 {
			backlogged = append(backlogged, member)
		}
	}
	for _, member := range backlogged {
		s.owed[member] += min(tokens/float64(len(backlogged)), s.wanted(member))
	}
	s.got[to] += tokens
	s.largest = max(s.largest, tokens)
	s.grants++
	s.tokens += tokens
}

// wanted returns how much more a member could be owed for what it has waiting.
func (s *shareAccount) wanted(member int) float64 {
	return s.waiting[member] - max(0, s.owed[member]-s.got[member])
}

func (s *shareAccount) ratios(members []Member) (small, lag, jain float64) {
	small, jain = 1, 1
	mean := s.tokens / float64(max(s.grants, 1))
	for i, member := range members {
		if member.Demand < smallDemand && s.owed[i] >= leastOwed*mean && s.grants > 0 {
			small = min(small, s.got[i]/s.owed[i])
			lag = max(lag, (fairShare*s.owed[i]-s.got[i])/s.largest)
		}
	}
	// The large members are equals only while both are owed the same.
	if s.owed[0] > 0 && min(s.owed[0], s.owed[1])/max(s.owed[0], s.owed[1]) > 0.9 {
		jain = jainIndex(s.got[:largeMembers])
	}
	return small, lag, jain
}

func (s *shareAccount) clear() {
	s.owed = make([]float64, len(s.waiting))
	s.got = make([]float64, len(s.waiting))
	s.grants = 0
	s.tokens = 0
	s.largest = 0
}
