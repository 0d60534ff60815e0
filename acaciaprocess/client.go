package acaciaprocess

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

type (
	// Clients holds one client for each process of the system.
	Clients struct {
		http *http.Client

		mu     sync.Mutex
		agents map[string]acaciawire.AgentServiceClient
		peers  map[string]acaciawire.PeerServiceClient
	}

	// ConfigurationPeers asks processes in the VM list for their configuration.
	ConfigurationPeers struct {
		clients   *Clients
		directory *Directory
		recorder  *acaciaevent.Recorder
		own       string
	}
)

const (
	// StreamWindow is how many bytes of one stream can be on the way to the
	// process that reads it.
	StreamWindow = 256 << 10

	dialTimeout = time.Second
	// peersAsked is how many peers are asked for a configuration at once.
	peersAsked = 3
	askTimeout = time.Second
)

// NewClients returns clients that speak HTTP/2 without TLS.
func NewClients() *Clients {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive, Control: limitUnacknowledged}
	transport := &http.Transport{
		Protocols:   protocols,
		DialContext: dialer.DialContext,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: StreamWindow,
		},
	}
	return &Clients{
		http:   &http.Client{Transport: transport},
		agents: map[string]acaciawire.AgentServiceClient{},
		peers:  map[string]acaciawire.PeerServiceClient{},
	}
}

// Agent returns the client of the agent at an address.
func (c *Clients) Agent(address string) acaciawire.AgentServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.agents[address]
	if !ok {
		client = acaciawire.NewAgentServiceClient(c.http, "http://"+address)
		c.agents[address] = client
	}
	return client
}

// Peer returns the client of the process at an address.
func (c *Clients) Peer(address string) acaciawire.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.peers[address]
	if !ok {
		client = acaciawire.NewPeerServiceClient(c.http, "http://"+address)
		c.peers[address] = client
	}
	return client
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.http.CloseIdleConnections()
}

// NewConfigurationPeers returns peers other than the process at address own.
func NewConfigurationPeers(clients *Clients, directory *Directory, recorder *acaciaevent.Recorder, own string) *ConfigurationPeers {
	return &ConfigurationPeers{clients: clients, directory: directory, recorder: recorder, own: own}
}

// NewestConfiguration implements acaciaconfiguration.Peers.
func (p *ConfigurationPeers) NewestConfiguration(ctx context.Context) (acaciaroute.Offset, string, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	addresses := p.choose()
	replies := make(chan *acaciawire.ConfigurationReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := p.clients.Peer(address).Configuration(ctx, &acaciawire.ConfigurationRequest{})
			if err != nil {
				p.recorder.Failed("ask a peer for its configuration", acaciaevent.Event{Endpoint: address}, err)
				reply = nil
			}
			replies <- reply
		}()
	}
	var newest *acaciawire.ConfigurationReply
	for range addresses {
		if reply := <-replies; reply != nil && reply.Version > newest.GetVersion() {
			newest = reply
		}
	}
	if newest == nil {
		return 0, "", acaciaroute.Errorf(acaciaroute.CodePeerDown, "no peer has a configuration")
	}
	return acaciaroute.Offset(newest.Version), string(newest.Data), nil
}

func (p *ConfigurationPeers) choose() []string {
	var addresses []string
	for _, vm := range p.directory.VMs() {
		if vm.Address != p.own {
			addresses = append(addresses, vm.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), peersAsked)]
}
