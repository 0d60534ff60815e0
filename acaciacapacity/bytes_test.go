package acaciacapacity

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// counter stands before an agent and counts the bytes of both directions, without
// the headers of TCP and IP, and the reads, which are about one for each packet.
type counter struct {
	listener net.Listener
	bytes    atomic.Int64
	reads    atomic.Int64
}

func newCounter(b testing.TB, target string) *counter {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	c := &counter{listener: listener}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			to, err := net.Dial("tcp", target)
			if err != nil {
				_ = from.Close()
				continue
			}
			go c.copy(to, from)
			go c.copy(from, to)
		}
	}()
	return c
}

func (c *counter) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		c.bytes.Add(int64(n))
		c.reads.Add(1)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func reserveOnce(b testing.TB, clients *acaciaprocess.Clients, address string, message *acaciawire.ReserveRequest) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := clients.Agent(address).Reserve(ctx, message)
	if err != nil || !stream.Receive() {
		b.Fatal("no offer")
	}
	cancel()
	_ = stream.Close()
}

// BenchmarkBytesOfReservation counts a reservation, its offer and its withdrawal on
// a connection that is open.
func BenchmarkBytesOfReservation(b *testing.B) {
	c := newCounter(b, startEcho(b, 0))
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	message := acaciawire.FromReservation(reservation(1))
	reserveOnce(b, clients, c.listener.Addr().String(), message)
	bytes, reads, n := c.bytes.Load(), c.reads.Load(), 0
	for b.Loop() {
		n++
		reserveOnce(b, clients, c.listener.Addr().String(), message)
	}
	b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(c.reads.Load()-reads)/float64(n), "packets/op")
}

// BenchmarkBytesOfConnection counts a new connection with one reservation, and the
// same connection while it is idle.
func BenchmarkBytesOfConnection(b *testing.B) {
	const idle = 25 * time.Second
	sizes(b, "connections", []int{1, 10, 50}, func(b *testing.B, n int) {
		c := newCounter(b, startEcho(b, 0))
		for b.Loop() {
			for range n {
				clients := acaciaprocess.NewClients()
				defer clients.Close()
				reserveOnce(b, clients, c.listener.Addr().String(), &acaciawire.ReserveRequest{})
			}
			bytes, reads := c.bytes.Load(), c.reads.Load()
			b.ReportMetric(float64(bytes)/float64(n), "wire-bytes/new")
			time.Sleep(idle)
			b.ReportMetric(float64(c.bytes.Load()-bytes)/float64(n)/idle.Seconds(), "wire-bytes/s-idle")
			b.ReportMetric(float64(c.reads.Load()-reads)/float64(n)/idle.Seconds(), "packets/s-idle")
		}
	})
}

// Both ends once sent pings on idle connections: 44 B/s with headers, and 31 KB/s for an
// entry before 700 agents.
func TestIdleConnectionsKeepToTheBudget(t *testing.T) {
	const (
		agents       = 700
		budget       = 7000.0
		headerBytes  = 52
		idle         = 12 * time.Second
		mostOfBudget = budget / agents
	)
	c := newCounter(t, startEcho(t, 0))
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	reserveOnce(t, clients, c.listener.Addr().String(), &acaciawire.ReserveRequest{})
	bytes, reads := c.bytes.Load(), c.reads.Load()
	time.Sleep(idle)
	sent := c.bytes.Load() - bytes + headerBytes*(c.reads.Load()-reads)
	rate := float64(sent) / idle.Seconds()
	assert.Check(t, rate <= mostOfBudget, "%.1f B/s", rate)
}
