package acaciaexperiment

import (
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// network delays messages between places and carries bytes between regions.
	network struct {
		loop  acaciaroute.Loop
		cut   bool
		rate  float64
		pipes map[pipeKey]*pipe
		bytes int64
	}

	pipeKey struct {
		from, to string
	}

	// pipe is one direction of the link between two regions.
	pipe struct {
		free time.Time
	}
)

const (
	samePlaceDelay  = 200 * time.Microsecond
	sameRegionDelay = time.Millisecond
	regionDelay     = 30 * time.Millisecond
	// linkRate is the link's capacity in bytes per second, each way, and linkShare
	// the part of it that requests and answers may take.
	linkRate  = 30e6 / 8
	linkShare = 0.9

	controlBytes = 150
	// bytesPerToken is the length of a prompt's token, and eventBytes that of the
	// event which carries a token of an answer.
	bytesPerToken = 4
	eventBytes    = 150
)

func newNetwork(loop acaciaroute.Loop) *network {
	return &network{loop: loop, rate: linkRate, pipes: map[pipeKey]*pipe{}}
}

// send delivers a message of some bytes; a cut link loses it and calls lost.
func (n *network) send(from, to DataCentre, bytes int, deliver, lost func()) {
	switch {
	case from.Name == to.Name:
		n.loop.After(samePlaceDelay, deliver)
	case from.Region == to.Region:
		n.loop.After(sameRegionDelay, deliver)
	case n.cut:
		n.loop.After(regionDelay, lost)
	default:
		n.loop.After(regionDelay+n.occupy(from, to, bytes), deliver)
	}
}

// occupy returns how long the bytes wait for the link and take on it.
func (n *network) occupy(from, to DataCentre, bytes int) time.Duration {
	key := pipeKey{from.Region, to.Region}
	p, ok := n.pipes[key]
	if !ok {
		p = &pipe{}
		n.pipes[key] = p
	}
	now := n.loop.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / n.rate * float64(time.Second)))
	n.bytes += int64(bytes)
	return p.free.Sub(now)
}
