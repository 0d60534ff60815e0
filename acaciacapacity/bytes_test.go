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

// countingProxy is a TCP proxy in front of an agent. It counts the bytes in both
// directions, without TCP and IP headers, and the reads, of which there is about one for
// each packet.
type countingProxy struct {
	listener net.Listener
	bytes    atomic.Int64
	reads    atomic.Int64
}

// newCountingProxy starts a proxy that connects to target.
func newCountingProxy(b testing.TB, target string) *countingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := &countingProxy{listener: listener}
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
			go p.forward(to, from)
			go p.forward(from, to)
		}
	}()
	return p
}

// forward copies one direction of a connection until it ends and counts its bytes and
// reads.
func (p *countingProxy) forward(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.bytes.Add(int64(n))
		p.reads.Add(1)
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reserveAndWithdraw sends a reservation, waits for the first offer and withdraws it.
func reserveAndWithdraw(b testing.TB, clients *acaciaprocess.Clients, address string, message *acaciawire.ReserveRequest) {
	ctx, cancel := context.WithCancel(context.Background())
	stream, err := clients.Agent(address).Reserve(ctx, message)
	if err != nil || !stream.Receive() {
		b.Fatal("the agent sent no offer")
	}
	cancel()
	_ = stream.Close()
}

// BenchmarkBytesOfReservation measures the bytes and packets of a reservation, its offer
// and its withdrawal on an open connection.
func BenchmarkBytesOfReservation(b *testing.B) {
	proxy := newCountingProxy(b, startStubAgent(b, 0))
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	message := acaciawire.ReservationToMessage(sampleReservation(1))
	reserveAndWithdraw(b, clients, proxy.listener.Addr().String(), message)
	bytesBefore, readsBefore, n := proxy.bytes.Load(), proxy.reads.Load(), 0
	for b.Loop() {
		n++
		reserveAndWithdraw(b, clients, proxy.listener.Addr().String(), message)
	}
	b.ReportMetric(float64(proxy.bytes.Load()-bytesBefore)/float64(n), "wire-bytes/op")
	b.ReportMetric(float64(proxy.reads.Load()-readsBefore)/float64(n), "packets/op")
}

// BenchmarkBytesOfConnection measures the bytes of a new connection with one reservation,
// and the bytes and packets per second of that connection while it is idle.
func BenchmarkBytesOfConnection(b *testing.B) {
	const idleTime = 25 * time.Second
	benchmarkSizes(b, "connections", []int{1, 10, 50}, func(b *testing.B, n int) {
		proxy := newCountingProxy(b, startStubAgent(b, 0))
		for b.Loop() {
			for range n {
				clients := acaciaprocess.NewClients()
				defer clients.Close()
				reserveAndWithdraw(b, clients, proxy.listener.Addr().String(), &acaciawire.ReserveRequest{})
			}
			bytesAfterOpen, readsAfterOpen := proxy.bytes.Load(), proxy.reads.Load()
			b.ReportMetric(float64(bytesAfterOpen)/float64(n), "wire-bytes/new")
			time.Sleep(idleTime)
			b.ReportMetric(float64(proxy.bytes.Load()-bytesAfterOpen)/float64(n)/idleTime.Seconds(), "wire-bytes/s-idle")
			b.ReportMetric(float64(proxy.reads.Load()-readsAfterOpen)/float64(n)/idleTime.Seconds(), "packets/s-idle")
		}
	})
}

// Guards against keep-alive pings on idle connections. With pings from both ends, a
// connection took 44 B/s with headers, which is 31 KB/s for an entry with 700 agents.
func TestIdleConnectionsStayWithinBandwidthBudget(t *testing.T) {
	const (
		agents                      = 700
		maxEntryBytesPerSecond      = 7000.0
		packetHeaderBytes           = 52
		idleTime                    = 12 * time.Second
		maxConnectionBytesPerSecond = maxEntryBytesPerSecond / agents
	)
	proxy := newCountingProxy(t, startStubAgent(t, 0))
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	reserveAndWithdraw(t, clients, proxy.listener.Addr().String(), &acaciawire.ReserveRequest{})
	bytesBefore, readsBefore := proxy.bytes.Load(), proxy.reads.Load()
	time.Sleep(idleTime)
	sent := proxy.bytes.Load() - bytesBefore + packetHeaderBytes*(proxy.reads.Load()-readsBefore)
	rate := float64(sent) / idleTime.Seconds()
	assert.Check(t, rate <= maxConnectionBytesPerSecond, "%.1f B/s", rate)
}
