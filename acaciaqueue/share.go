package acaciaqueue

import (
	"container/heap"
	"time"
)

type (
	// share is one organisation's account within one class. The account counts
	// the tokens of service that the organisation has received; the one with
	// the lowest account is served next.
	share struct {
		organisation string
		service      float64
		items        itemHeap
		sequence     int64
		index        int
	}

	shareHeap []*share

	// class holds the accounts of one class.
	class struct {
		name     string
		rank     int
		waiting  int
		shares   map[string]*share
		backlog  shareHeap
		minimum  float64
		sequence int64
	}
)

const (
	// maxShares bounds the accounts of organisations that have nothing waiting.
	maxShares = 8192
	// lookAhead is how many items of one organisation are compared by value.
	lookAhead = 64
	// urgentShare is the share of its patience below which an item's turn is not
	// given to another.
	urgentShare = 0.05
)

func newClass(name string, rank int) *class {
	return &class{name: name, rank: rank, shares: map[string]*share{}}
}

func (c *class) share(organisation string) *share {
	s, ok := c.shares[organisation]
	if ok {
		return s
	}
	if len(c.shares) >= maxShares {
		c.forgetIdle()
	}
	c.sequence++
	s = &share{organisation: organisation, sequence: c.sequence, index: -1, service: c.minimum}
	c.shares[organisation] = s
	return s
}

func (c *class) forgetIdle() {
	for name, s := range c.shares {
		if s.index < 0 {
			delete(c.shares, name)
		}
	}
}

func (c *class) add(item *Item) {
	s := c.share(item.Organisation)
	heap.Push(&s.items, item)
	c.waiting++
	if s.index >= 0 {
		return
	}
	// Unused share is lent, not saved up: an organisation that returns starts
	// level with the one that is furthest behind.
	if len(c.backlog) > 0 {
		c.minimum = max(c.minimum, c.backlog[0].service)
	}
	s.service = max(s.service, c.minimum)
	heap.Push(&c.backlog, s)
}

func (c *class) remove(item *Item) {
	s := c.shares[item.Organisation]
	heap.Remove(&s.items, item.index)
	c.waiting--
	if len(s.items) == 0 {
		heap.Remove(&c.backlog, s.index)
		s.index = -1
	}
}

func (c *class) best() *Item {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0].items[0]
}

// bestFor returns the most valuable of the first items, or the first one when its
// deadline is near.
func (s *share) bestFor(now time.Time, value func(*Item) float64) *Item {
	best := s.items[0]
	patience := best.Deadline.Sub(best.Arrived)
	if best.Deadline.Sub(now) < time.Duration(urgentShare*float64(patience)) {
		return best
	}
	most := value(best)
	for _, item := range s.items[1:min(len(s.items), lookAhead)] {
		if v := value(item); v > most {
			best, most = item, v
		}
	}
	return best
}

func (c *class) charge(organisation string, tokens float64) {
	s := c.share(organisation)
	s.service = max(0, s.service+tokens)
	if s.index >= 0 {
		heap.Fix(&c.backlog, s.index)
	}
}

func (h shareHeap) Len() int { return len(h) }

func (h shareHeap) Less(i, j int) bool {
	if h[i].service == h[j].service {
		return h[i].sequence < h[j].sequence
	}
	return h[i].service < h[j].service
}

func (h shareHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *shareHeap) Push(x any) {
	s := x.(*share)
	s.index = len(*h)
	*h = append(*h, s)
}

func (h *shareHeap) Pop() any {
	old := *h
	last := len(old) - 1
	s := old[last]
	old[last] = nil
	*h = old[:last]
	return s
}
