package acaciagateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

const (
	harmlessPrompt  = "a1:100,%x:100"
	crashingSegment = "bad"
	crashingPrompt  = "a1:100," + crashingSegment + ":100,%x:100"
)

// crashingEndpoints are endpoints that crash for good when they run certain requests.
type crashingEndpoints struct {
	crashes atomic.Int64
}

// add registers count endpoints that crash at the requests for which crashes returns true.
func (e *crashingEndpoints) add(b *testbed, count int, crashes func(*http.Request) bool) {
	for i := range count {
		var server *httptest.Server
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if !crashes(r) {
				writeResponse(w, r, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
				return
			}
			e.crashes.Add(1)
			_ = server.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		server.Start()
		b.t.Cleanup(server.Close)
		registerEndpoint(b.t, b.store, fmt.Sprintf("i-%d", i), server.Listener.Addr().String(), false)
	}
}

func hasCrashingSegment(r *http.Request) bool {
	return strings.Contains(r.Header.Get(acaciaplatformstandin.HeaderPrompt), crashingSegment)
}

// promptRequest sends a request with a prompt, which is its body, too.
func promptRequest(t *testing.T, url, id, prompt string) testResponse {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url+"/unsafe/", strings.NewReader(prompt))
	assert.NilError(t, err)
	acaciaplatformstandin.SetCallerHeaders(request, id)
	request.Header.Set(acaciaplatformstandin.HeaderPrompt, prompt)
	return doRequest(request)
}

// Requests that share only one segment of their prompts crashed one endpoint after another. Those
// without it must be served as before, also by a gateway that has seen no crash.
func TestRequestsThatShareCrashingSegmentAreRefused(t *testing.T) {
	const endpoints, maxCrashed = 8, 5
	b := newTestbed(t)
	other, otherURL := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	var e crashingEndpoints
	e.add(b, endpoints, hasCrashingSegment)
	urls := []string{b.url, otherURL}
	waitFor(t, func() bool {
		return len(b.gateway.endpointIDs()) == endpoints && len(other.endpointIDs()) == endpoints
	})
	number := 0
	refused := map[string]bool{}
	waitFor(t, func() bool {
		number++
		url := urls[number%len(urls)]
		r := promptRequest(t, url, fmt.Sprint("d-", number), fmt.Sprintf(crashingPrompt, number))
		refused[url] = refused[url] || strings.Contains(r.body, "poison_content")
		assert.Assert(t, e.crashes.Load() <= maxCrashed, "%d endpoints crashed", e.crashes.Load())
		return len(refused) == len(urls) && refused[b.url] && refused[otherURL]
	})
	crashes := e.crashes.Load()
	for i := range 20 {
		url := urls[i%len(urls)]
		assert.Equal(t, promptRequest(t, url, fmt.Sprint("s-", i), fmt.Sprintf(harmlessPrompt, i)).status, http.StatusOK)
		r := promptRequest(t, url, fmt.Sprint("e-", i), fmt.Sprintf(crashingPrompt, 1000+i))
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Check(t, r.header.Get("Retry-After") != "")
	}
	assert.Equal(t, e.crashes.Load(), crashes)
}

// Each endpoint that runs the content crashes, and the caller sends it again and again. The
// gateway must refuse the content after the second crash.
func TestContentThatCrashesEndpointsIsRefused(t *testing.T) {
	const endpoints, maxCrashes = 4, 2
	b := newTestbed(t)
	var e crashingEndpoints
	e.add(b, endpoints, func(*http.Request) bool { return true })
	waitFor(t, func() bool {
		b.send(http.MethodPost, "/unsafe/", "r", "poison")
		return e.crashes.Load() >= maxCrashes
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-last", "poison")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, strings.Contains(r.body, "poison_content"), r.body)
	assert.Equal(t, e.crashes.Load(), int64(maxCrashes))
}

// The operating system accepts connections for a process that is dying, and resets them. Its crash must
// count nevertheless, or what crashed it is sent to the next endpoint.
func TestCrashIsSeenWhileConnectionsAreStillAccepted(t *testing.T) {
	b := newTestbed(t)
	listener, err := net.Listen("tcp", anyPort)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		const acceptedWhileDying = 3
		for n := range 1 + acceptedWhileDying {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if n == 0 {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
			}
			connectionEnds["reset"](conn.(*net.TCPConn))
		}
		_ = listener.Close()
	}()
	registerEndpoint(t, b.store, testEndpoint, listener.Addr().String(), false)
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 1 })
	promptRequest(t, b.url, "d", fmt.Sprintf(crashingPrompt, 1))
	want := fmt.Sprintf("acaciaroute_gateway_endpoint_crashes_total{service=%q} 1", acaciaplatformstandin.Service)
	assert.Check(t, strings.Contains(b.metrics(), want), b.metrics())
}

// A gateway that starts after the crashes must not need crashes of its own.
func TestNewGatewayLearnsWhatCrashesEndpoints(t *testing.T) {
	b := newTestbed(t)
	var e crashingEndpoints
	e.add(b, 4, hasCrashingSegment)
	waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == 4 })
	number := 0
	waitFor(t, func() bool {
		number++
		r := promptRequest(t, b.url, fmt.Sprint("d-", number), fmt.Sprintf(crashingPrompt, number))
		return strings.Contains(r.body, "poison_content")
	})
	crashes := e.crashes.Load()
	newcomer, url := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	waitFor(t, func() bool {
		bans := 0
		newcomer.loop.Do(func() { bans = len(newcomer.crashes.Bans()) })
		return bans > 0
	})
	r := promptRequest(t, url, "e", fmt.Sprintf(crashingPrompt, 1000))
	assert.Check(t, strings.Contains(r.body, "poison_content"), r.body)
	want := fmt.Sprintf("acaciaroute_gateway_endpoint_crashes_total{service=%q} %d", acaciaplatformstandin.Service, crashes)
	assert.Check(t, strings.Contains(b.metrics(), want), b.metrics())
	assert.Equal(t, e.crashes.Load(), crashes)
}

// A request that waits for a slot while its segment is banned must not get one.
func TestWaitingRequestIsRefusedWhenItsSegmentIsBanned(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 10)
	b := newTestbed(t, func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		writeResponse(w, r, "done")
	})
	defer close(release)
	const slots = 3
	for i := range slots {
		go func() { promptRequest(t, b.url, fmt.Sprint("s-", i), fmt.Sprintf(harmlessPrompt, i)) }()
	}
	for range slots {
		<-started
	}
	waiting := make(chan testResponse, 1)
	go func() {
		waiting <- promptRequest(t, b.url, "d", fmt.Sprintf(crashingPrompt, 7))
	}()
	g := b.gateway
	waitFor(t, func() bool {
		n := 0
		g.loop.Do(func() { n = len(g.waiters) })
		return n == 1
	})
	g.loop.Do(func() {
		for _, w := range g.waiters {
			now := time.Now()
			for crash := range uint64(2) {
				g.crashes.RecordCrash(crash, w.exchange.traits, g.crashes.Attempts(w.exchange.traits), now)
			}
		}
		g.applyBans()
	})
	assert.Equal(t, (<-waiting).status, http.StatusServiceUnavailable)
}
