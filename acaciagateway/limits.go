package acaciagateway

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaconnection"
	"github.com/acaciaroute/acaciaroute/acaciamemory"
)

const (
	// defaultHeaderTimeout, defaultIdleTimeout and defaultMaxHeaderBytes are in force as long as no configuration has
	// been read, and where it names no limit.
	defaultHeaderTimeout  = 10 * time.Second
	defaultIdleTimeout    = 5 * time.Minute
	defaultMaxHeaderBytes = 64 << 10
	// maxServerHeaderBytes bounds the heads of requests in the HTTP server, whose limit can't change; the limit in
	// force is smaller.
	maxServerHeaderBytes = 1 << 20

	// callerShare is the share of a process's sockets for callers' connections; the rest is for calls to endpoints
	// and to the store. Only requests that run need one there.
	callerShare = 0.75
	// Each of the other servers has internalShare of the sockets for its connections, and at most
	// maxInternalConnections.
	internalShare          = 0.05
	maxInternalConnections = 64
)

// newCallerGuard returns the guard of the connections of callers.
func (g *Gateway) newCallerGuard() *acaciaconnection.Guard {
	return acaciaconnection.NewGuard(acaciaconnection.Settings{
		MaxConnections: callerConnections(g.settings.MaxFDs),
		MaxBytes:       acaciamemory.Divide(g.settings.MemoryBytes).Connections,
		Limits:         g.connectionLimits,
		MakeRoom:       func() { g.requests.EvictStalled(time.Now()) },
	})
}

// newInternalGuard returns the guard of the connections of one of the other servers.
func (g *Gateway) newInternalGuard() *acaciaconnection.Guard {
	limits := acaciaconnection.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	return acaciaconnection.NewGuard(acaciaconnection.Settings{
		MaxConnections: internalConnections(g.settings.MaxFDs),
		Limits:         func() acaciaconnection.Limits { return limits },
	})
}

// setLimits changes what the process may use: bytes of memory, and descriptors.
func (g *Gateway) setLimits(memoryBytes int64, maxFDs int) {
	limits := acaciamemory.Divide(memoryBytes)
	g.requests.SetLimit(limits.Requests)
	g.answers.SetLimit(limits.Answers)
	for i, server := range g.guards {
		if i == 0 {
			server.Guard.SetBounds(callerConnections(maxFDs), limits.Connections)
			continue
		}
		server.Guard.SetBounds(internalConnections(maxFDs), 0)
	}
}

// callerConnections returns how many connections callers may have together.
func callerConnections(maxFDs int) int {
	return acaciaconnection.Share(maxFDs, callerShare)
}

// internalConnections returns how many connections each of the other servers may have.
func internalConnections(maxFDs int) int {
	return min(maxInternalConnections, acaciaconnection.Share(maxFDs, internalShare))
}

// connectionLimits returns the limits in force for callers' connections.
func (g *Gateway) connectionLimits() acaciaconnection.Limits {
	limits := acaciaconnection.Limits{MaxHeaderBytes: defaultMaxHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	current := g.configuration.Load()
	if current == nil {
		return limits
	}
	if current.Limits.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = current.Limits.MaxHeaderBytes
	}
	if current.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = current.Limits.HeaderTimeout
	}
	if current.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = current.Limits.IdleTimeout
	}
	return limits
}

// runGuards closes the connections of all servers that exceed their time, until ctx ends.
func (g *Gateway) runGuards(ctx context.Context) {
	done := make(chan struct{})
	for _, server := range g.guards {
		go func() {
			server.Guard.Run(ctx)
			done <- struct{}{}
		}()
	}
	for range g.guards {
		<-done
	}
}
