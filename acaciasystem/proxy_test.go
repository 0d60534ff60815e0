package acaciasystem

import (
	"io"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// direction is a way through a proxy.
type direction int

const (
	toAgent direction = iota
	toEntry
)

// proxy stands between entries and one agent, and can cut or hold what passes.
type proxy struct {
	address string
	target  string

	mu    sync.Mutex
	held  [2]chan struct{}
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	p := &proxy{address: freeAddress(t), target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", p.address)
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = listener.Close()
		p.release()
		p.cut()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *proxy) serve(entry net.Conn) {
	agent, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = entry.Close()
		return
	}
	p.mu.Lock()
	p.conns[entry] = true
	p.conns[agent] = true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(agent, entry, toAgent, done)
	go p.copy(entry, agent, toEntry, done)
	<-done
	_ = entry.Close()
	_ = agent.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, entry)
	delete(p.conns, agent)
	p.mu.Unlock()
}

func (p *proxy) copy(to io.Writer, from io.Reader, way direction, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		held := p.held[way]
		p.mu.Unlock()
		if held != nil {
			<-held
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut ends all connections.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.Close()
	}
}

// hold keeps back what goes one way until release.
func (p *proxy) hold(way direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held[way] == nil {
		p.held[way] = make(chan struct{})
	}
}

func (p *proxy) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for way := range p.held {
		if p.held[way] != nil {
			close(p.held[way])
			p.held[way] = nil
		}
	}
}

// interpose puts a proxy before an agent, for all entries.
func (c *cluster) interpose(n *node) *proxy {
	c.t.Helper()
	p := newProxy(c.t, n.vm.Address)
	vm := n.vm
	vm.Address = p.address
	c.setVM(vm)
	return p
}
