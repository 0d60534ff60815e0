package acaciaqueue

import (
	"slices"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Queue holds the reservations that wait at one agent.
	Queue struct {
		items    map[string]*Item
		classes  map[string]*class
		order    []*class
		sequence int64
	}
)

// New returns an empty queue.
func New() *Queue {
	return &Queue{items: map[string]*Item{}, classes: map[string]*class{}}
}

// Len returns the number of waiting reservations.
func (q *Queue) Len() int {
	return len(q.items)
}

// Add queues a reservation that arrives at now; a second one with the same
// request ID replaces the first.
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
	q.class(reservation.Class, reservation.Rank).add(item)
	return item
}

// Remove takes a reservation out and returns it, or nil.
func (q *Queue) Remove(requestID string) *Item {
	item, ok := q.items[requestID]
	if !ok {
		return nil
	}
	delete(q.items, requestID)
	q.classes[item.Class].remove(item)
	return item
}

// Best returns the reservation to serve next, or nil.
func (q *Queue) Best() *Item {
	for _, c := range q.order {
		if item := c.best(); item != nil {
			return item
		}
	}
	return nil
}

// BestFor returns the reservation to serve next like Best, but among the first
// few of the same class and organisation it takes the one with the highest
// value, unless the first in order has used up most of its time.
func (q *Queue) BestFor(now time.Time, value func(*Item) float64) *Item {
	for _, c := range q.order {
		if len(c.backlog) > 0 {
			return c.backlog[0].bestFor(now, value)
		}
	}
	return nil
}

// Charge adds tokens of service to an organisation's account; a negative number
// corrects an earlier estimate.
func (q *Queue) Charge(class string, rank int, organisation string, tokens float64) {
	q.class(class, rank).charge(organisation, tokens)
}

// LowerWaiting reports whether a class below rank is waiting.
func (q *Queue) LowerWaiting(rank int) bool {
	for i := len(q.order) - 1; i >= 0; i-- {
		if q.order[i].rank >= rank {
			return false
		}
		if q.order[i].waiting > 0 {
			return true
		}
	}
	return false
}

// RanksAbove returns how many known classes stand above rank.
func (q *Queue) RanksAbove(rank int) int {
	above := 0
	for _, c := range q.order {
		if c.rank <= rank {
			break
		}
		above++
	}
	return above
}

// Ahead estimates how many waiting reservations are served before item: all of
// higher classes and, within its class, as many of each other organisation as
// stand before it in its own.
func (q *Queue) Ahead(item *Item) int {
	ahead := 0
	for _, c := range q.order {
		if c.name == item.Class {
			return ahead + c.ahead(item)
		}
		if c.rank >= item.Rank {
			ahead += c.waiting
		}
	}
	return ahead
}

// Each calls f for every waiting reservation in no particular order.
func (q *Queue) Each(f func(*Item)) {
	for _, item := range q.items {
		f(item)
	}
}

func (q *Queue) class(name string, rank int) *class {
	c, ok := q.classes[name]
	if !ok {
		c = newClass(name, rank)
		q.classes[name] = c
		q.order = append(q.order, c)
	}
	if !ok || c.rank != rank {
		c.rank = rank
		slices.SortStableFunc(q.order, func(a, b *class) int { return b.rank - a.rank })
	}
	return c
}

func (c *class) ahead(item *Item) int {
	own := c.shares[item.Organisation]
	before := min(item.index, len(own.items)-1)
	others := (before + 1) * (len(c.backlog) - 1)
	return before + min(others, c.waiting-len(own.items))
}
