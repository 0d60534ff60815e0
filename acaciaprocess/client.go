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
	// Clients caches the clients of the other processes of the system, by address.
	Clients struct {
		httpClient *http.Client

		mu     sync.Mutex
		agents map[string]acaciawire.AgentServiceClient
		peers  map[string]acaciawire.PeerServiceClient
	}

	// ConfigurationPeers asks other processes in the VM list for their configuration.
	ConfigurationPeers struct {
		clients    *Clients
		directory  *Directory
		recorder   *acaciaevent.Recorder
		ownAddress string
	}
)

const (
	// StreamWindow is the flow-control window of one stream: how many bytes can be
	// in flight to the process that reads it.
	StreamWindow = 256 << 10

	dialTimeout = time.Second
	// maxPeersAsked bounds how many peers are asked for a configuration at once.
	maxPeersAsked = 3
	// peerTimeout limits the time that the peers asked may take to answer.
	peerTimeout = time.Second
)

// NewClients returns an empty cache of clients, which use HTTP/2 without TLS.
func NewClients() *Clients {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	transport := &http.Transport{
		Protocols:   protocols,
		DialContext: dialer.DialContext,
		HTTP2: &http.HTTP2Config{
			MaxReceiveBufferPerStream: StreamWindow,
		},
	}
	return &Clients{
		httpClient: &http.Client{Transport: transport},
		agents:     map[string]acaciawire.AgentServiceClient{},
		peers:      map[string]acaciawire.PeerServiceClient{},
	}
}

// Agent returns the client for the agent at address.
func (c *Clients) Agent(address string) acaciawire.AgentServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.agents[address]
	if !ok {
		client = acaciawire.NewAgentServiceClient(c.httpClient, "http://"+address)
		c.agents[address] = client
	}
	return client
}

// Peer returns the client for the peer service of the process at address.
func (c *Clients) Peer(address string) acaciawire.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.peers[address]
	if !ok {
		client = acaciawire.NewPeerServiceClient(c.httpClient, "http://"+address)
		c.peers[address] = client
	}
	return client
}

// Close closes idle connections.
func (c *Clients) Close() {
	c.httpClient.CloseIdleConnections()
}

// NewConfigurationPeers returns the peers in the directory, without the process at
// ownAddress.
func NewConfigurationPeers(clients *Clients, directory *Directory, recorder *acaciaevent.Recorder, ownAddress string) *ConfigurationPeers {
	return &ConfigurationPeers{clients: clients, directory: directory, recorder: recorder, ownAddress: ownAddress}
}

// NewestConfiguration implements acaciaconfiguration.Peers. It asks a few peers at
// once and returns the newest of the configurations that arrive in time.
func (p *ConfigurationPeers) NewestConfiguration(ctx context.Context) (acaciaroute.Offset, string, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	addresses := p.choosePeers()
	replies := make(chan *acaciawire.ConfigurationReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := p.clients.Peer(address).Configuration(ctx, &acaciawire.ConfigurationRequest{})
			if err != nil {
				p.recorder.RecordCallFailure("ask a peer for its configuration", acaciaevent.Event{Endpoint: address}, err)
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
		return 0, "", acaciaroute.Errorf(acaciaroute.CodePeerDown, "no peer returned a configuration")
	}
	return acaciaroute.Offset(newest.Version), string(newest.Data), nil
}

// choosePeers returns the addresses of up to maxPeersAsked random processes other than
// this one.
func (p *ConfigurationPeers) choosePeers() []string {
	var addresses []string
	for _, vm := range p.directory.VMs() {
		if vm.Address != p.ownAddress {
			addresses = append(addresses, vm.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxPeersAsked)]
}
