package acaciacapacity

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/acaciaroute/acaciaroute/acaciaprocess"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// echoAgent answers with the same transport as an agent.
type echoAgent struct {
	acaciawire.UnimplementedAgentServiceHandler
	chunks int
}

func (e *echoAgent) Reserve(ctx context.Context, _ *acaciawire.ReserveRequest, stream *connect.ServerStream[acaciawire.OfferMessage]) error {
	if err := stream.Send(&acaciawire.OfferMessage{Kind: 1, Hint: &acaciawire.Hint{}}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

func (e *echoAgent) Run(_ context.Context, request *acaciawire.RunRequest, stream *connect.ServerStream[acaciawire.Chunk]) error {
	data := make([]byte, 150)
	for range e.chunks {
		if err := stream.Send(&acaciawire.Chunk{RequestId: request.RequestId, Data: data}); err != nil {
			return err
		}
	}
	return nil
}

func startEcho(b testing.TB, chunks int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	mux := http.NewServeMux()
	mux.Handle(acaciawire.NewAgentServiceHandler(&echoAgent{chunks: chunks}))
	server, err := acaciaprocess.NewPeerServer(context.Background(), address, mux)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = server.Close(context.Background()) })
	return address
}

// cpu returns the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// resident returns the process's resident memory in bytes.
func resident() float64 {
	file, err := os.Open("/proc/self/status")
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.ParseFloat(fields[1], 64)
			return kilobytes * 1024
		}
	}
	return 0
}

// BenchmarkReservation is a reservation that is answered and withdrawn; both ends
// run in this process.
func BenchmarkReservation(b *testing.B) {
	address := startEcho(b, 0)
	clients := acaciaprocess.NewClients()
	defer clients.Close()
	message := acaciawire.FromReservation(reservation(1))
	before, n := cpu(), 0
	for b.Loop() {
		n++
		ctx, cancel := context.WithCancel(context.Background())
		stream, err := clients.Agent(address).Reserve(ctx, message)
		if err != nil || !stream.Receive() {
			b.Fatal("no offer")
		}
		cancel()
		_ = stream.Close()
	}
	b.ReportMetric(float64((cpu()-before).Microseconds())/float64(n), "cpu-us/op")
}

// BenchmarkRelayedChunk is a chunk of an answer from agent to entry; both ends run
// in this process.
func BenchmarkRelayedChunk(b *testing.B) {
	sizes(b, "chunks", []int{100, 1000}, func(b *testing.B, chunks int) {
		address := startEcho(b, chunks)
		clients := acaciaprocess.NewClients()
		defer clients.Close()
		before, n := cpu(), 0
		for b.Loop() {
			stream, err := clients.Agent(address).Run(context.Background(), &acaciawire.RunRequest{RequestId: "r"})
			if err != nil {
				b.Fatal(err)
			}
			for stream.Receive() {
				n++
			}
			_ = stream.Close()
		}
		b.ReportMetric(float64((cpu()-before).Nanoseconds())/1000/float64(n), "cpu-us/chunk")
	})
}

// BenchmarkMemoryOfOpenReservation holds reservations open; both ends run in this
// process, each over one connection.
func BenchmarkMemoryOfOpenReservation(b *testing.B) {
	sizes(b, "open", []int{200, 1000, 3000}, func(b *testing.B, n int) {
		address := startEcho(b, 0)
		for b.Loop() {
			clients := acaciaprocess.NewClients()
			ctx, cancel := context.WithCancel(context.Background())
			before := heap()
			for i := range n {
				stream, err := clients.Agent(address).Reserve(ctx, &acaciawire.ReserveRequest{RequestId: fmt.Sprint(i)})
				if err != nil || !stream.Receive() {
					b.Fatal("no offer")
				}
			}
			b.ReportMetric(float64(heap()-before)/float64(n), "B/both-ends")
			cancel()
			clients.Close()
		}
	})
}

// BenchmarkMemoryOfConnection holds connections between processes open; both ends
// run in this process.
func BenchmarkMemoryOfConnection(b *testing.B) {
	sizes(b, "connections", []int{50, 200, 700}, func(b *testing.B, n int) {
		address := startEcho(b, 0)
		for b.Loop() {
			before := resident()
			var all []*acaciaprocess.Clients
			for range n {
				clients := acaciaprocess.NewClients()
				ctx, cancel := context.WithCancel(context.Background())
				stream, err := clients.Agent(address).Reserve(ctx, &acaciawire.ReserveRequest{})
				if err != nil || !stream.Receive() {
					b.Fatal("no offer")
				}
				cancel()
				all = append(all, clients)
			}
			runtime.GC()
			b.ReportMetric((resident()-before)/float64(n), "B/both-ends")
			for _, clients := range all {
				clients.Close()
			}
		}
	})
}
