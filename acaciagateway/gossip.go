package acaciagateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	// tellTime is the least time between two messages to the other processes.
	tellTime = 20 * time.Millisecond
	// tellTimeOfOne is what each other process adds to it, so that the cost of messages
	// does not grow with the square of the processes.
	tellTimeOfOne = 2 * time.Millisecond
	// heartbeatTime is the longest.
	heartbeatTime = 400 * time.Millisecond
	// maxMessageBytes bounds a message.
	maxMessageBytes = 60 << 10
	// fetchTime bounds the call for a peer's configuration.
	fetchTime           = 1500 * time.Millisecond
	configurationPath   = "/configuration"
	maxConfigurationLen = 16 << 20
)

func (g *Gateway) listenPeers(ctx context.Context) error {
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", g.settings.PeerAddress)
	if err != nil {
		return err
	}
	g.socket = conn.(*net.UDPConn)
	return nil
}

// tell sends what the gateway runs to the others soon; it runs on the loop.
func (g *Gateway) tell() {
	if g.telling {
		return
	}
	g.telling = true
	g.loop.After(max(tellTime, time.Duration(g.members.Count())*tellTimeOfOne), func() {
		g.telling = false
		g.tellNow(false)
	})
}

// tellNow sends a message to the others; it runs on the loop.
func (g *Gateway) tellNow(leaving bool) {
	g.sequence++
	now := g.loop.Now()
	message := acaciapeer.Message{
		Process:  g.settings.Name,
		Started:  g.started,
		Sequence: g.sequence,
		Region:   g.settings.Region,
		Report:   g.scheduler.Tell(now),
		Used:     g.quota.Used(),
		StoreMS:  g.endpoints.readable(now).Milliseconds(),
		Crashes:  g.suspects.own,
		Leaving:  leaving,
	}
	if current := g.configuration.Load(); current != nil {
		message.Version = current.Version
	}
	data, err := message.Encode()
	if err != nil {
		g.recorder.Failed("encode a message to peers", acaciaevent.Event{}, err)
		return
	}
	for _, address := range g.members.Targets(now) {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			continue
		}
		if _, err := g.socket.WriteToUDP(data, to); err != nil && !errors.Is(err, net.ErrClosed) {
			g.recorder.Failed("send to a peer", acaciaevent.Event{Endpoint: address}, err)
		}
	}
}

// heartbeat keeps the others aware of a gateway without requests, and finds silent ones.
func (g *Gateway) heartbeat(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, heartbeatTime)
		g.loop.Do(func() {
			now := g.loop.Now()
			for _, name := range g.members.Silent(now) {
				g.forgetPeer(name)
			}
			g.quota.SetShare(g.members.Share(now))
			g.tell()
			g.metrics.observe(g)
		})
	}
}

func (g *Gateway) forgetPeer(name string) {
	g.scheduler.Hear(name, nil, g.loop.Now())
	g.quota.Forget(name)
	g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.PeerLost, Detail: name})
}

// hearPeers takes the messages of the others until ctx ends.
func (g *Gateway) hearPeers(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = g.socket.SetReadDeadline(time.Now()) })
	defer stop()
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := g.socket.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			g.recorder.Failed("hear peers", acaciaevent.Event{}, err)
			sleep(ctx, tellTime)
			continue
		}
		message, err := acaciapeer.Decode(buffer[:n])
		if err != nil {
			g.recorder.Failed("hear peers", acaciaevent.Event{Endpoint: from.String()}, err)
			continue
		}
		g.loop.Post(func() { g.hear(message, from.String()) })
	}
}

// hear takes a message; it runs on the loop.
func (g *Gateway) hear(message acaciapeer.Message, from string) {
	now := g.loop.Now()
	switch g.members.Hear(message, from, now) {
	case acaciapeer.NewsNone:
		return
	case acaciapeer.NewsLeft:
		g.forgetPeer(message.Process)
		g.step()
		return
	case acaciapeer.NewsStarted:
		g.quota.Forget(message.Process)
		g.recorder.Record(acaciaevent.Event{Kind: acaciaevent.PeerFound, Detail: message.Process, Endpoint: from})
		g.tell()
	case acaciapeer.NewsUpdate:
	}
	g.scheduler.Hear(message.Process, &message.Report, now)
	g.quota.Hear(message.Process, message.Used, now)
	g.suspects.hear(message.Process, message.Crashes)
	if g.endpoints.hear(time.Duration(message.StoreMS)*time.Millisecond, now) {
		g.giveUpMissing()
	}
	current := g.configuration.Load()
	if current == nil || current.Version < message.Version {
		g.fetch(from)
	}
	if len(g.waiters) > 0 {
		g.step()
	}
}

// fetch asks a peer for its configuration, one call at a time; it runs on the loop.
func (g *Gateway) fetch(address string) {
	if g.fetching {
		return
	}
	g.fetching = true
	go func() {
		defer g.loop.Post(func() { g.fetching = false })
		ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
		defer cancel()
		if err := g.fetchFrom(ctx, address); err != nil {
			g.recorder.Failed("fetch a peer's configuration", acaciaevent.Event{Endpoint: address}, err)
		}
	}()
}

func (g *Gateway) fetchFrom(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+configurationPath, nil)
	if err != nil {
		return err
	}
	response, err := g.peers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxConfigurationLen))
	if err != nil {
		return err
	}
	configuration, err := acaciaplatform.DecodeConfiguration(text)
	if err != nil {
		return err
	}
	g.apply(&published{Configuration: configuration, text: text}, "peer "+address)
	return nil
}

// peerHandler serves the newest configuration to peers.
func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configurationPath, func(w http.ResponseWriter, _ *http.Request) {
		current := g.configuration.Load()
		if current == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := w.Write(current.text); err != nil {
			g.recorder.Failed("send the configuration to a peer", acaciaevent.Event{}, err)
		}
	})
	return mux
}

// leave tells the others that the gateway ends.
func (g *Gateway) leave() {
	g.loop.Do(func() { g.tellNow(true) })
}
