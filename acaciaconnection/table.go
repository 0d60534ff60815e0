package acaciaconnection

import (
	"cmp"
	"time"
)

type (
	// Limits are the limits of connections that may change.
	Limits struct {
		// MaxHeaderBytes bounds the head of a request; zero for no bound.
		MaxHeaderBytes int
		// HeaderTimeout bounds the time from the first byte of a head to its end, and IdleTimeout the time for
		// which a connection may be open without a request.
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Reason is why a connection was closed, or a new one had to wait.
	Reason string

	// state is what a connection does.
	state int

	// record is what the decisions need to know of a connection.
	record struct {
		state state
		// since is when the state began.
		since time.Time
		// headBytes is how much of the present head has come.
		headBytes int
		// served reports whether the connection has had a request.
		served bool
		// multiplexed reports whether the connection carries several requests at a time, by HTTP/2, whose own rules
		// bound heads and idle times.
		multiplexed bool
		// multiplexedBytes is what such a connection costs in addition.
		multiplexedBytes int64
	}
)

const (
	// stateIdle means that nothing of the next request has come.
	stateIdle state = iota
	// stateHead means that a part of the head has come.
	stateHead
	// stateActive means that a request is in progress.
	stateActive
)

// The reasons for closing connections.
const (
	// ReasonIdle and ReasonHeadTimeout mean that a time limit has passed.
	ReasonIdle        Reason = "idle_timeout"
	ReasonHeadTimeout Reason = "header_timeout"
	// ReasonHeadTooLarge means that the head is larger than the limit.
	ReasonHeadTooLarge Reason = "header_too_large"
	// ReasonRoom means that another connection needed the descriptor or the memory.
	ReasonRoom Reason = "room"
)

const (
	// connectionBytes is what a connection costs: its goroutine's stack, its two buffers of 4 KiB, and records.
	connectionBytes = 20 << 10
	// headCostFactor is how many bytes a byte of a head costs: the line and its parts as strings.
	headCostFactor = 2
	// firstRequestTime is the time for which a new connection counts as about to send its first request.
	firstRequestTime = time.Second
)

// bytes returns what the connection costs, without the request in progress.
func (r *record) bytes() int64 {
	cost := int64(connectionBytes)
	if r.multiplexed {
		cost += r.multiplexedBytes
	}
	if r.state == stateHead {
		cost += headCostFactor * int64(r.headBytes)
	}
	return cost
}

// expired returns why the connection must be closed, "" if it need not.
func (r *record) expired(limits Limits, now time.Time) Reason {
	age := now.Sub(r.since)
	switch {
	case r.multiplexed:
	case r.state == stateIdle && limits.IdleTimeout > 0 && age > limits.IdleTimeout:
		return ReasonIdle
	case r.state == stateHead && limits.HeaderTimeout > 0 && age > limits.HeaderTimeout:
		return ReasonHeadTimeout
	}
	return ""
}

// Connections that give way to others do so in this order; those with a request in progress don't.
const (
	// rankUnused is that of connections that have sent no complete request for firstRequestTime.
	rankUnused = iota
	rankIdle
	rankHead
	// rankNew is that of connections that have just been opened.
	rankNew
	rankActive
)

func (r *record) rank(now time.Time) int {
	switch {
	case r.state == stateActive:
		return rankActive
	case !r.served && now.Sub(r.since) >= firstRequestTime:
		return rankUnused
	case !r.served:
		return rankNew
	case r.state == stateHead:
		return rankHead
	}
	return rankIdle
}

// compareRoom orders connections by which gives way first to another one: within a rank, the one that has been in its
// state for longest.
func compareRoom(a, b *record, now time.Time) int {
	return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), a.since.Compare(b.since))
}
