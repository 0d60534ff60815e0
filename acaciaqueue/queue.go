package acaciaqueue

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Queue holds the reservations that wait at one agent.
	Queue struct {
		items         map[string]*Item
		classes       map[string]*classQueue
		classesByRank []*classQueue
		sequence      int64
	}
)

// New returns an empty queue.
func New() *Queue {
	return &Queue{items: map[string]*Item{}, classes: map[string]*classQueue{}}
}

// Len returns the number of waiting reservations.
func (q *Queue) Len() int {
	return len(q.items)
}

// Add queues a reservation that arrives at now. It replaces a queued reservation with the
// same request ID.
func (q *Queue) Add(reservation acaciaroute.Reservation, now time.Time) *Item {
	q.Remove(reservation.RequestID)
	q.sequence++
	item := &Item{
		Reservation: reservation,
		Arrived:     now,
		Deadline:    now.Add(reservation.Slack),
		sequence:    q.sequence,
	}
	q.items[reservation.RequestID] = item
	q.ensureClass(reservation.Class, reservation.Rank).addItem(item)
	return item
}

// Remove removes a reservation from the queue and returns it, or nil if it is not
// queued.
func (q *Queue) Remove(requestID string) *Item {
	item, ok := q.items[requestID]
	if !ok {
		return nil
	}
	delete(q.items, requestID)
	q.classes[item.Class].removeItem(item)
	return item
}

// Best returns the reservation to serve next, or nil if the queue is empty.
func (q *Queue) Best() *Item {
	for _, c := range q.classesByRank {
		if item := c.bestItem(); item != nil {
			return item
		}
	}
	return nil
}

// BestByValue returns the reservation to serve next, or nil if the queue is empty.
// Unlike Best, it selects the one with the highest value among the next reservations
// of the same class and organisation, unless the one that Best returns has almost no
// time left.
func (q *Queue) BestByValue(now time.Time, value func(*Item) float64) *Item {
	for _, c := range q.classesByRank {
		if len(c.backlog) > 0 {
			return c.backlog[0].mostValuable(now, value)
		}
	}
	return nil
}

// ChargeTokens adds tokens of service to an organisation's account in a class. A
// negative number corrects an earlier estimate.
func (q *Queue) ChargeTokens(class string, rank int, organisation string, tokens float64) {
	q.ensureClass(class, rank).chargeTokens(organisation, tokens)
}

// HasLowerWaiting reports whether a reservation of a class below rank is waiting.
func (q *Queue) HasLowerWaiting(rank int) bool {
	for i := len(q.classesByRank) - 1; i >= 0; i-- {
		if q.classesByRank[i].rank >= rank {
			return false
		}
		if q.classesByRank[i].itemCount > 0 {
			return true
		}
	}
	return false
}

// RanksAbove returns the number of known classes above rank.
func (q *Queue) RanksAbove(rank int) int {
	above := 0
	for _, c := range q.classesByRank {
		if c.rank <= rank {
			break
		}
		above++
	}
	return above
}

// EstimateAhead returns an estimate of how many waiting reservations are served
// before item: all those of higher classes, those before it in its own organisation,
// and of each other organisation in its class one more than that, as organisations
// take turns.
func (q *Queue) EstimateAhead(item *Item) int {
	ahead := 0
	for _, c := range q.classesByRank {
		if c.name == item.Class {
			return ahead + c.countAhead(item)
		}
		if c.rank >= item.Rank {
			ahead += c.itemCount
		}
	}
	return ahead
}

// Each calls f for every waiting reservation, in no particular order.
func (q *Queue) Each(f func(*Item)) {
	for _, item := range q.items {
		f(item)
	}
}

// ensureClass returns the queue of a class. It adds a class that is new and moves one whose
// rank has changed.
func (q *Queue) ensureClass(name string, rank int) *classQueue {
	c, ok := q.classes[name]
	if !ok {
		c = newClassQueue(name, rank)
		q.classes[name] = c
		q.classesByRank = append(q.classesByRank, c)
	}
	if !ok || c.rank != rank {
		c.rank = rank
		slices.SortStableFunc(q.classesByRank, func(a, b *classQueue) int { return b.rank - a.rank })
	}
	return c
}

// countAhead estimates how many reservations of the class are served before item.
func (c *classQueue) countAhead(item *Item) int {
	own := c.accounts[item.Organisation]
	before := min(item.heapIndex, len(own.items)-1)
	others := (before + 1) * (len(c.backlog) - 1)
	return before + min(others, c.itemCount-len(own.items))
}
