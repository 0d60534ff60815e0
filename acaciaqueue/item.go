package acaciaqueue

import (
	"cmp"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Item is a waiting reservation.
	Item struct {
		acaciaroute.Reservation
		// Arrived is when the agent received the reservation.
		Arrived time.Time
		// Deadline is when the first token is due.
		Deadline time.Time

		sequence int64
		index    int
	}

	itemHeap []*Item
)

// Compare orders items by arrival.
func (i *Item) Compare(other *Item) int {
	return cmp.Compare(i.sequence, other.sequence)
}

func (h itemHeap) Len() int { return len(h) }

func (h itemHeap) Less(i, j int) bool {
	if h[i].Deadline.Equal(h[j].Deadline) {
		return h[i].sequence < h[j].sequence
	}
	return h[i].Deadline.Before(h[j].Deadline)
}

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

func (h *itemHeap) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	return item
}
