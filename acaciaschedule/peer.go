package acaciaschedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Report is what one process tells the others of its requests.
	Report struct {
		// Running counts its requests at each endpoint, by the endpoint's ID.
		Running map[string]int `json:"running,omitempty"`
		// Waiting counts its waiting requests of each service by rank.
		Waiting map[string]map[int]int `json:"waiting,omitempty"`
		// Down are the endpoints to which the process could not connect of late.
		Down []string `json:"down,omitempty"`
		// Heads are the orders of the first waiting requests of each service.
		Heads map[string][]Order `json:"heads,omitempty"`
	}

	// Order is a waiting request's place in the queue over all processes: the lower goes
	// first.
	Order int64

	// peer is what another process has told of its waiting requests of one service.
	peer struct {
		at      time.Time
		waiting map[int]int
		heads   []Order
	}
)

const (
	// reportTime is how long the word of a silent process counts.
	reportTime = 3 * time.Second
	// headTime is how long a process's first requests count as waiting after its word: one
	// that has gone silent must not keep the others from free places.
	headTime = 300 * time.Millisecond
	// heardPause is how long an endpoint is suspended to which another process could not
	// connect.
	heardPause = 300 * time.Millisecond
	// maxHeads is how many of its first requests of a service a process tells.
	maxHeads = 8
	// orderBits is the width of an order without the rank: lateBit marks those that cannot
	// meet their objective any more, the lowest tieBits tell equal times apart.
	orderBits = 40
	lateBit   = 1 << (orderBits - 1)
	tieBits   = 8
	// orderOffset keeps the time positive, in milliseconds.
	orderOffset = 1 << 24
)

// order returns a request's place in the queue over all processes: by rank, then those
// that can meet their objective, then by objective.
func (r *Request) order(now time.Time) Order {
	left := min(max(r.Objective.Sub(now).Milliseconds()+orderOffset, 0), lateBit>>tieBits-1)
	order := left<<tieBits | int64(xxhash.Sum64String(r.ID)&(1<<tieBits-1))
	if r.late {
		order |= lateBit
	}
	return Order(int64(r.Rank)<<orderBits | order)
}

// Hear takes the report of another process; a nil report forgets it.
func (s *Scheduler) Hear(process string, told *Report, now time.Time) {
	if told == nil {
		told = &Report{}
		delete(s.heard, process)
	} else {
		s.heard[process] = now
	}
	for id, e := range s.byID {
		if count := told.Running[id]; count != e.peers[process] {
			e.tell(process, count)
		}
	}
	for _, id := range told.Down {
		if e := s.byID[id]; e != nil && e.downUntil.IsZero() {
			e.suspend(now.Add(heardPause))
		}
	}
	for name, v := range s.services {
		delete(v.peers, process)
		if len(told.Waiting[name]) > 0 {
			v.peers[process] = peer{at: now, waiting: told.Waiting[name], heads: told.Heads[name]}
		}
	}
	for name, ranks := range told.Waiting {
		if _, known := s.services[name]; !known {
			s.service(name).peers[process] = peer{at: now, waiting: ranks, heads: told.Heads[name]}
		}
	}
}

// expire forgets processes that have been silent for long.
func (s *Scheduler) expire(now time.Time) {
	for process, at := range s.heard {
		if now.Sub(at) >= reportTime {
			s.Hear(process, nil, now)
		}
	}
}

// Tell returns the report for the other processes.
func (s *Scheduler) Tell(now time.Time) Report {
	told := Report{Running: map[string]int{}, Waiting: map[string]map[int]int{}, Heads: map[string][]Order{}}
	for id, e := range s.byID {
		if e.own > 0 {
			told.Running[id] = e.own
		}
		if now.Before(e.downUntil) {
			told.Down = append(told.Down, id)
		}
	}
	for name, v := range s.services {
		if len(v.waiting) == 0 {
			continue
		}
		ranks := map[int]int{}
		heads := make([]Order, 0, len(v.waiting))
		for _, request := range v.waiting {
			ranks[request.Rank]++
			if !request.declines {
				heads = append(heads, request.order(now))
			}
		}
		slices.Sort(heads)
		told.Waiting[name], told.Heads[name] = ranks, heads[:min(len(heads), maxHeads)]
	}
	return told
}

// peersWaiting counts the waiting requests of other processes whose rank is wanted.
func (v *service) peersWaiting(wanted func(rank int) bool) int {
	n := 0
	for _, told := range v.peers {
		for rank, count := range told.waiting {
			if wanted(rank) {
				n += count
			}
		}
	}
	return n
}

// peersAhead counts the waiting requests of other processes that go before a request;
// orders are compared as they were when they were told.
func (v *service) peersAhead(request *Request, now time.Time) int {
	n := 0
	for _, told := range v.peers {
		if now.Sub(told.at) >= headTime {
			continue
		}
		before, _ := slices.BinarySearch(told.heads, request.order(told.at))
		n += before
	}
	return n
}
