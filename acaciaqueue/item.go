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
		// Arrived is the time at which the agent received the reservation.
		Arrived time.Time
		// Deadline is the time at which the first token is due.
		Deadline time.Time

		sequence  int64
		heapIndex int
	}

	// itemHeap orders items by deadline, then by arrival.
	itemHeap []*Item
)

// Compare compares items by their order of arrival.
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
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.heapIndex = len(*h)
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
