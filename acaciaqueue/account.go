package acaciaqueue

import (
	"container/heap"
	"time"
)

type (
	// account is the account and the queue of one organisation within one class. It counts
	// the tokens of service that the organisation has received; the organisation with the
	// fewest is served next. Its heapIndex is negative while it has nothing waiting.
	account struct {
		organisation string
		tokensServed float64
		items        itemHeap
		sequence     int64
		heapIndex    int
	}

	// accountHeap orders accounts by tokens served, fewest first, then by age, oldest first.
	accountHeap []*account

	// classQueue holds the accounts of one class; backlog holds those with waiting items.
	// An account that is new, or has items waiting again, starts with at least
	// minTokensServed.
	classQueue struct {
		name            string
		rank            int
		itemCount       int
		accounts        map[string]*account
		backlog         accountHeap
		minTokensServed float64
		sequence        int64
	}
)

const (
	// maxAccounts is the number of accounts in a class at which those with nothing waiting
	// are removed before another is added.
	maxAccounts = 8192
	// valueLookahead is the number of items of one organisation that are compared by value.
	valueLookahead = 64
	// urgentTimeShare is the share of an item's time, from arrival to deadline, below which
	// its turn is no longer given to a more valuable item.
	urgentTimeShare = 0.05
)

func newClassQueue(name string, rank int) *classQueue {
	return &classQueue{name: name, rank: rank, accounts: map[string]*account{}}
}

// ensureAccount returns an organisation's account, and creates it if it is missing.
func (c *classQueue) ensureAccount(organisation string) *account {
	a, ok := c.accounts[organisation]
	if ok {
		return a
	}
	if len(c.accounts) >= maxAccounts {
		c.removeIdleAccounts()
	}
	c.sequence++
	a = &account{organisation: organisation, sequence: c.sequence, heapIndex: -1, tokensServed: c.minTokensServed}
	c.accounts[organisation] = a
	return a
}

// removeIdleAccounts removes the accounts that have nothing waiting.
func (c *classQueue) removeIdleAccounts() {
	for name, a := range c.accounts {
		if a.heapIndex < 0 {
			delete(c.accounts, name)
		}
	}
}

func (c *classQueue) addItem(item *Item) {
	a := c.ensureAccount(item.Organisation)
	heap.Push(&a.items, item)
	c.itemCount++
	if a.heapIndex >= 0 {
		return
	}
	// An organisation gets no credit for the time in which it had no waiting items: it
	// starts level with the waiting organisation that has received the least service.
	if len(c.backlog) > 0 {
		c.minTokensServed = max(c.minTokensServed, c.backlog[0].tokensServed)
	}
	a.tokensServed = max(a.tokensServed, c.minTokensServed)
	heap.Push(&c.backlog, a)
}

func (c *classQueue) removeItem(item *Item) {
	a := c.accounts[item.Organisation]
	heap.Remove(&a.items, item.heapIndex)
	c.itemCount--
	if len(a.items) == 0 {
		heap.Remove(&c.backlog, a.heapIndex)
		a.heapIndex = -1
	}
}

func (c *classQueue) bestItem() *Item {
	if len(c.backlog) == 0 {
		return nil
	}
	return c.backlog[0].items[0]
}

// mostValuable returns the item with the highest value among the first valueLookahead
// items, or the first item if its deadline is near.
func (a *account) mostValuable(now time.Time, value func(*Item) float64) *Item {
	best := a.items[0]
	totalSlack := best.Deadline.Sub(best.Arrived)
	if best.Deadline.Sub(now) < time.Duration(urgentTimeShare*float64(totalSlack)) {
		return best
	}
	highest := value(best)
	for _, item := range a.items[1:min(len(a.items), valueLookahead)] {
		if v := value(item); v > highest {
			best, highest = item, v
		}
	}
	return best
}

func (c *classQueue) chargeTokens(organisation string, tokens float64) {
	a := c.ensureAccount(organisation)
	a.tokensServed = max(0, a.tokensServed+tokens)
	if a.heapIndex >= 0 {
		heap.Fix(&c.backlog, a.heapIndex)
	}
}

func (h accountHeap) Len() int { return len(h) }

func (h accountHeap) Less(i, j int) bool {
	if h[i].tokensServed == h[j].tokensServed {
		return h[i].sequence < h[j].sequence
	}
	return h[i].tokensServed < h[j].tokensServed
}

func (h accountHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *accountHeap) Push(x any) {
	a := x.(*account)
	a.heapIndex = len(*h)
	*h = append(*h, a)
}

func (h *accountHeap) Pop() any {
	old := *h
	last := len(old) - 1
	a := old[last]
	old[last] = nil
	*h = old[:last]
	return a
}
