package acaciagateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

const (
	harmlessPrompt  = "a1:100,%x:100"
	crashingSegment = "bad"
	crashingPrompt  = "a1:100," + crashingSegment + ":100,%x:100"
)

// crashingEndpoints are endpoints that crash for good when they run certain requests.
type crashingEndpoints struct {
	// eventsBefore is the number of events that an endpoint writes before it crashes.
	eventsBefore int
	crashes      atomic.Int64
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
			if e.eventsBefore > 0 {
				last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				acaciaplatformstandin.SetResponseHeaders(w, r, "seal")
				writeEvents(w, last+1, last+e.eventsBefore)
			}
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
	return promptRequestTo(t, url+"/unsafe/", id, prompt)
}

// promptRequestTo does the same with the URL of a route.
func promptRequestTo(t *testing.T, url, id, prompt string) testResponse {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(prompt))
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

// Guards against taking a request for harmless once its endpoint has written some events: it crashes endpoints all the
// same, one after the other, and what it shares with other such requests must be refused.
func TestSegmentThatCrashesEndpointsAfterSomeEventsIsRefused(t *testing.T) {
	const endpoints, maxCrashed, maxTries, answered = 8, 5, 50, 10
	for _, events := range []int{1, 2, 3, 8, 40} {
		t.Run(fmt.Sprint(events, " events"), func(t *testing.T) {
			b := newTestbed(t)
			e := crashingEndpoints{eventsBefore: events}
			e.add(b, endpoints, hasCrashingSegment)
			waitFor(t, func() bool { return len(b.gateway.endpointIDs()) == endpoints })
			send := func(id, prompt string, number int) testResponse {
				return promptRequestTo(t, b.url+"/stream/", fmt.Sprint(id, number), fmt.Sprintf(prompt, number))
			}
			assert.Equal(t, send("s-", harmlessPrompt, 0).status, http.StatusOK)
			for number := 0; ; number++ {
				r := send("d-", crashingPrompt, number)
				if strings.Contains(r.body, "prompts with segment "+crashingSegment) {
					break
				}
				assert.Assert(t, e.crashes.Load() <= maxCrashed, "%d endpoints crashed", e.crashes.Load())
				assert.Assert(t, number < maxTries, r.body)
			}
			crashes := e.crashes.Load()
			for i := range answered {
				assert.Equal(t, send("h-", harmlessPrompt, i).status, http.StatusOK)
				assert.Equal(t, send("e-", crashingPrompt, 1000+i).status, http.StatusServiceUnavailable)
			}
			assert.Equal(t, e.crashes.Load(), crashes)
		})
	}
}

// longPrompt returns a prompt of segments that other prompts share, one that may be among them, and one of its own.
func longPrompt(shared, place int, special string, own int) string {
	const firstShared = 0x100
	segments := make([]string, 0, shared+2)
	for i := range shared {
		if i == place {
			segments = append(segments, special)
		}
		segments = append(segments, fmt.Sprintf("%x", firstShared+i))
	}
	if place == shared {
		segments = append(segments, special)
	}
	return strings.Join(append(segments, fmt.Sprintf("%x", firstShared+shared+own)), ":1,") + ":1"
}

// Guards against banning the segments that harmless requests share in place of the one that crashes endpoints, where
// prompts have many: only the first 31 were looked at. The longest header holds some 2,600.
func TestCrashingSegmentIsFoundInLongPrompts(t *testing.T) {
	const endpoints, maxCrashed, answeredBefore, answeredAfter, maxTries = 8, 5, 4, 10, 50
	for _, shared := range []int{31, 36, 300, 2500} {
		for _, place := range []int{0, shared / 2, shared} {
			t.Run(fmt.Sprintf("%d of %d", place+1, shared+2), func(t *testing.T) {
				b := newTestbed(t)
				other, otherURL := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
				var e crashingEndpoints
				e.add(b, endpoints, hasCrashingSegment)
				waitFor(t, func() bool {
					return len(b.gateway.endpointIDs()) == endpoints && len(other.endpointIDs()) == endpoints
				})
				urls, number := []string{b.url, otherURL}, 0
				send := func(special string) testResponse {
					number++
					return promptRequest(t, urls[number%len(urls)], fmt.Sprint("r-", number), longPrompt(shared, place, special, number))
				}
				for range answeredBefore {
					assert.Equal(t, send("1").status, http.StatusOK)
				}
				// Each gateway refuses it in the end.
				for refused, tries := 0, 0; refused < len(urls); tries++ {
					refused++
					r := send(crashingSegment)
					if !strings.Contains(r.body, "prompts with segment "+crashingSegment) {
						refused = 0
					}
					assert.Assert(t, tries < maxTries, r.body)
				}
				crashes := e.crashes.Load()
				assert.Check(t, crashes <= maxCrashed, "%d endpoints crashed", crashes)
				for range answeredAfter {
					assert.Equal(t, send("1").status, http.StatusOK)
					assert.Equal(t, send(crashingSegment).status, http.StatusServiceUnavailable)
				}
				assert.Equal(t, e.crashes.Load(), crashes)
			})
		}
	}
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

// dyingEndpoint ends one request and then some connections, as the operating system does for a process that
// is dying, before its address refuses connections.
type dyingEndpoint struct {
	listener *net.TCPListener
	// late reports whether the test program took longer over the end of a connection than an operating
	// system does.
	late chan bool
}

// startDyingEndpoint starts an endpoint at a loopback IP at which nothing else listens: no other test is given
// its port when the listener has been closed.
func startDyingEndpoint(t *testing.T) *dyingEndpoint {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 41, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &dyingEndpoint{listener: listener, late: make(chan bool, 1)}
	go e.serve()
	return e
}

func (e *dyingEndpoint) serve() {
	const acceptedWhileDying = 3
	// maxAge is less than the time for which a gateway waits for the end of a connection.
	const maxAge = 40 * time.Millisecond
	late := false
	defer func() { e.late <- late }()
	for n := range 1 + acceptedWhileDying {
		conn, err := e.listener.AcceptTCP()
		if err != nil {
			return
		}
		if n == 0 {
			_, _ = http.ReadRequest(bufio.NewReader(conn))
		}
		age, checkedAt := connectionAge(conn), time.Now()
		connectionEnds["reset"](conn)
		late = late || n > 0 && age+time.Since(checkedAt) > maxAge
	}
	_ = e.listener.Close()
}

// connectionAge returns the time since the operating system has received something on an accepted connection
// on which nothing is sent.
func connectionAge(conn *net.TCPConn) (age time.Duration) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = rawConn.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age = time.Duration(info.Last_ack_recv) * time.Millisecond
		}
	})
	return age
}

// The operating system accepts connections for a process that is dying, and resets them. Its crash must
// count nevertheless, or what crashed it is sent to the next endpoint. An endpoint that ended a connection
// later than an operating system does shows nothing; there is another one then.
func TestCrashIsSeenWhileConnectionsAreStillAccepted(t *testing.T) {
	b := newTestbed(t)
	want := fmt.Sprintf("acaciaroute_gateway_endpoint_crashes_total{service=%q} 1", acaciaplatformstandin.Service)
	for attempt, late := 1, true; late; attempt++ {
		endpoint, id := startDyingEndpoint(t), fmt.Sprint("dying-", attempt)
		address := endpoint.listener.Addr().String()
		registerEndpoint(t, b.store, id, address, false)
		waitFor(t, func() bool { return b.gateway.listsOnly(id) })
		promptRequest(t, b.url, fmt.Sprint("d-", attempt), fmt.Sprintf(crashingPrompt, attempt))
		if strings.Contains(b.metrics(), want) {
			return
		}
		b.store.DeleteEndpoint(id)
		// The gateway may have stopped before the last connection that the endpoint ends.
		for err := error(nil); err == nil; {
			_, err = net.Dial("tcp", address)
		}
		late = <-endpoint.late
	}
	t.Errorf("the crash was not counted\n%s", b.metrics())
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
				g.crashes.RecordCrash(crash, acaciacrash.StageBegun, w.exchange.traits, g.crashes.Attempts(w.exchange.traits), now)
			}
		}
		g.applyBans()
	})
	assert.Equal(t, (<-waiting).status, http.StatusServiceUnavailable)
}

// A prompt may have more segments than are looked at. None of them must be banned then: any other one may be the cause.
func TestPromptWithTooManySegmentsHasNoSegmentTraits(t *testing.T) {
	metadata := &acaciasite.Request{PromptSegments: make([]acaciasite.PromptSegment, acaciacrash.MaxTraits)}
	for i := range metadata.PromptSegments {
		metadata.PromptSegments[i].ID = uint64(i)
	}
	assert.Equal(t, len(requestTraits(metadata, "", "", "", nil)), acaciacrash.MaxTraits)
	metadata.PromptSegments = append(metadata.PromptSegments, acaciasite.PromptSegment{ID: acaciacrash.MaxTraits})
	assert.Equal(t, len(requestTraits(metadata, "", "", "", nil)), 1)
}

// BenchmarkRequestTraits measures what the traits of a request cost.
func BenchmarkRequestTraits(b *testing.B) {
	for _, segments := range []int{5, 38, 2500} {
		b.Run(fmt.Sprint(segments, " segments"), func(b *testing.B) {
			metadata := &acaciasite.Request{Model: "m", PromptSegments: make([]acaciasite.PromptSegment, segments)}
			for i := range metadata.PromptSegments {
				metadata.PromptSegments[i].ID = uint64(i)
			}
			for b.Loop() {
				requestTraits(metadata, http.MethodPost, "/", "", nil)
			}
		})
	}
}
