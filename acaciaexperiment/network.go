package acaciaexperiment

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// network delays messages between data centres and limits the bytes per second
	// between regions.
	network struct {
		loop               acaciaroute.Loop
		linkBlocked        bool
		linkBytesPerSecond float64
		directions         map[regionPair]*linkDirection
		linkBytes          int64
	}

	regionPair struct {
		from, to string
	}

	// linkDirection is one direction of the link between two regions.
	linkDirection struct {
		freeAt time.Time
	}
)

const (
	sameDataCentreDelay = 200 * time.Microsecond
	sameRegionDelay     = time.Millisecond
	crossRegionDelay    = 30 * time.Millisecond
	// defaultLinkBytesPerSecond is the capacity of the link in each direction.
	// linkBudgetShare is the share of it that requests and answers may use.
	defaultLinkBytesPerSecond = 30e6 / 8
	linkBudgetShare           = 0.9

	controlMessageBytes = 150
	// bytesPerToken is the length of a prompt token. tokenEventBytes is the length of
	// the server-sent event that carries one token of an answer.
	bytesPerToken   = 4
	tokenEventBytes = 150
)

func newNetwork(loop acaciaroute.Loop) *network {
	return &network{loop: loop, linkBytesPerSecond: defaultLinkBytesPerSecond, directions: map[regionPair]*linkDirection{}}
}

// send calls deliver when a message has arrived. While the link between regions is
// blocked, it calls lost instead for messages between regions.
func (n *network) send(from, to DataCentre, bytes int, deliver, lost func()) {
	switch {
	case from.Name == to.Name:
		n.loop.After(sameDataCentreDelay, deliver)
	case from.Region == to.Region:
		n.loop.After(sameRegionDelay, deliver)
	case n.linkBlocked:
		n.loop.After(crossRegionDelay, lost)
	default:
		n.loop.After(crossRegionDelay+n.occupyLink(from, to, bytes), deliver)
	}
}

// occupyLink queues bytes on the link and returns the time until they have been sent.
func (n *network) occupyLink(from, to DataCentre, bytes int) time.Duration {
	key := regionPair{from.Region, to.Region}
	direction, ok := n.directions[key]
	if !ok {
		direction = &linkDirection{}
		n.directions[key] = direction
	}
	now := n.loop.Now()
	if direction.freeAt.Before(now) {
		direction.freeAt = now
	}
	direction.freeAt = direction.freeAt.Add(time.Duration(float64(bytes) / n.linkBytesPerSecond * float64(time.Second)))
	n.linkBytes += int64(bytes)
	return direction.freeAt.Sub(now)
}
