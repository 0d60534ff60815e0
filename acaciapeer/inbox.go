package acaciapeer

import (
	"context"
	"sync"
)

type (
	// Inbox holds received messages until they are applied. It is safe for concurrent use.
	//
	// Load pattern: at a load peak messages arrive faster than a process that is short of processor time
	// applies them. What the older ones say of the state of their process is outdated before it is
	// applied; what they say of events must not be lost.
	Inbox struct {
		mu       sync.Mutex
		received []Received
		// newest maps each process to the index of its newest message in received.
		newest map[string]int
		// taken is closed when the messages are taken.
		taken chan struct{}
	}

	// Received is a received message.
	Received struct {
		Message
		// From is the address that it came from.
		From string
		// Superseded reports whether a later message of the same run has been received, so that
		// Loads, Waiting, Heads and UnreachableEndpoints are outdated; they are empty then. What the
		// message tells of events still counts.
		Superseded bool
	}
)

// maxInboxMessages bounds the messages in an inbox: at the interval of messages it is what 12 gateways
// send in a second. What arrives beyond that stays in the socket's buffer, whose size the system bounds.
const maxInboxMessages = 512

// NewInbox returns an empty inbox.
func NewInbox() *Inbox {
	return &Inbox{newest: map[string]int{}, taken: make(chan struct{})}
}

// Put adds a message from an address and reports whether it is the first one since the last Take. It waits
// while the inbox is full; the message is dropped if ctx ends meanwhile.
func (i *Inbox) Put(ctx context.Context, message Message, from string) (first bool) {
	for {
		i.mu.Lock()
		if len(i.received) < maxInboxMessages {
			break
		}
		taken := i.taken
		i.mu.Unlock()
		select {
		case <-taken:
		case <-ctx.Done():
			return false
		}
	}
	defer i.mu.Unlock()
	i.supersede(&message)
	i.received = append(i.received, Received{Message: message, From: from})
	return len(i.received) == 1
}

// Take removes and returns the messages in the order in which they were received.
func (i *Inbox) Take() []Received {
	i.mu.Lock()
	defer i.mu.Unlock()
	received := i.received
	i.received = nil
	clear(i.newest)
	close(i.taken)
	i.taken = make(chan struct{})
	return received
}

// supersede drops the state in the last message of the same run, if the new one is later.
func (i *Inbox) supersede(message *Message) {
	if index, found := i.newest[message.Process]; found {
		last := &i.received[index]
		if message.Started < last.Started || message.Started == last.Started && message.Sequence <= last.Sequence {
			return
		}
		if message.Started == last.Started {
			last.Superseded = true
			last.Loads, last.Waiting, last.Heads, last.UnreachableEndpoints = nil, nil, nil, nil
		}
	}
	i.newest[message.Process] = len(i.received)
}
