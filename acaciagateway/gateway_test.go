package acaciagateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	testKey      = "key-1"
	testTimeout  = 20 * time.Second
	testEndpoint = "i-1"
	anyPort      = "127.0.0.1:0"
)

type (
	// bed is a gateway before stand-ins.
	bed struct {
		t       *testing.T
		store   *acaciastandin.Store
		gateway *Gateway
		url     string
	}

	reply struct {
		status int
		header http.Header
		body   string
		err    error
	}
)

// routes of the test configuration: what may be repeated, what may not, and streams.
const testConfiguration = `{"version":%d,"routes":[
 {"name":"safe","host":"h.example","pathPrefix":"/safe/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":400,"maxAttempts":2,"service":"plain"},
 {"name":"unsafe","host":"h.example","pathPrefix":"/unsafe/","routeType":"non_idempotent","timeoutMs":3000,"targetLatencyMs":400,"maxAttempts":1,"service":"plain"},
 {"name":"stream","host":"h.example","pathPrefix":"/stream/","routeType":"streaming","timeoutMs":5000,"targetLatencyMs":400,"maxAttempts":2,"service":"plain","streamResume":true}],
 "services":[{"name":"plain","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"club","apiKeys":["` + testKey + `"],"ratePerS":%d,"burst":%d}]}`

func configuration(version, timeoutMS, rate int) []byte {
	return fmt.Appendf(nil, testConfiguration, version, timeoutMS, rate, rate)
}

// newBed starts a gateway before endpoints that a handler serves.
func newBed(t *testing.T, endpoints ...http.HandlerFunc) *bed {
	t.Helper()
	store := acaciastandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.Put("keyed.op", "config", configuration(1, 3000, 0))
	for i, handler := range endpoints {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		register(t, store, fmt.Sprintf("i-%d", i+1), server.Listener.Addr().String(), "ready")
	}
	b := &bed{t: t, store: store}
	b.gateway, b.url = startGateway(t, storeServer.URL, "g-1", nil)
	return b
}

func startGateway(t *testing.T, storeURL, name string, seeds []string) (*Gateway, string) {
	t.Helper()
	settings := acaciaplatform.ProcessSettings{
		Name: name, IP: "127.0.0.1", DataCentre: "a", Region: "r", Regions: map[string]string{"a": "r"},
		CallerAddress: anyPort, ReadyAddress: anyPort, MetricsAddress: anyPort, PeerAddress: anyPort, Seeds: seeds, StoreURL: storeURL, GraceTime: testTimeout,
		QuotaWindow: time.Second, RepeatRatio: 0.2, RepeatSlack: 50, RepeatWindow: 10 * time.Second,
	}
	client := acaciaplatform.New(acaciaplatform.Settings{Store: storeURL}, &http.Transport{})
	recorder := acaciaevent.NewRecorder(name, acaciaevent.NewClock(time.Now), logr.Discard(), 1000)
	gateway := New(context.Background(), settings, client.Store(), recorder, NewMetrics(client))
	assert.NilError(t, gateway.Start(context.Background()))
	t.Cleanup(func() {
		// The balancer's notice is not awaited.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = gateway.Close(ctx)
	})
	waitFor(t, func() bool { return gateway.ready() })
	return gateway, gateway.CallerURL()
}

func register(t *testing.T, store *acaciastandin.Store, id, address, state string) {
	t.Helper()
	assert.NilError(t, store.PutJSON("keyed.servers", id, map[string]any{
		"service": "plain", "address": address, "zone": "a", "slots": 2, "state": state, "born": 1,
	}))
}

// waitFor polls until a condition holds; the limit only ends a run that hangs.
func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !holds(); {
		assert.Assert(t, time.Now().Before(end), "the condition never held")
		time.Sleep(time.Millisecond)
	}
}

func (b *bed) send(method, path, id, body string) reply {
	b.t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), method, b.url+path, strings.NewReader(body))
	assert.NilError(b.t, err)
	request.Host = "h.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Authorization", "Bearer "+testKey)
	return do(request)
}

func do(request *http.Request) reply {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// answer writes a whole successful answer.
func answer(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Seal", "seal")
	_, _ = io.WriteString(w, body)
}

// events writes a part of a stream.
func events(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}

func TestRequestIsPassedOnUnchanged(t *testing.T) {
	var got *http.Request
	var gotBody []byte
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		got = r
		gotBody, _ = io.ReadAll(r.Body)
		answer(w, r, "filed")
	})
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, b.url+"/unsafe/a%2Fb?q=1", strings.NewReader("plan"))
	assert.NilError(t, err)
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Attempt-Id": "r-1", "Authorization": "Bearer " + testKey, "Deadline-Ms": "2000", "Other": "kept",
		"Tenant": "forged", "Hold": "forged", "Kv-From": "forged",
	} {
		request.Header.Set(name, value)
	}
	r := do(request)
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "filed")
	assert.Equal(t, r.header.Get("Response-Seal"), "seal")
	assert.Equal(t, got.RequestURI, "/unsafe/a%2Fb?q=1")
	assert.Equal(t, got.Host, "h.example")
	assert.Equal(t, string(gotBody), "plan")
	for name, want := range map[string]string{
		"Attempt-Id": "r-1", "Authorization": "", "Other": "kept", "Tenant": "club", "Hold": "", "Kv-From": "",
		"Expect-Instance": testEndpoint,
	} {
		assert.Equal(t, got.Header.Get(name), want, name)
	}
	assert.Check(t, got.Header.Get("Deadline-Ms") <= "2000", got.Header.Get("Deadline-Ms"))
}

func TestRefusalsBeforeAnEndpointIsAsked(t *testing.T) {
	var ran atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		answer(w, r, "")
	})
	assert.Equal(t, b.send(http.MethodGet, "/nowhere/", "r-1", "").status, http.StatusNotFound)
	assert.Equal(t, b.send(http.MethodPost, "/unsafe/", "r-2", strings.Repeat("x", 100001)).status, http.StatusRequestEntityTooLarge)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, b.url+"/safe/", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer unknown")
	assert.Equal(t, do(request).status, http.StatusUnauthorized)
	assert.Equal(t, ran.Load(), int64(0))
}

// An answer that breaks off before its first event is told as a failure of the gateway's
// own, without the endpoint's signature.
func TestStreamThatBreaksBeforeItsFirstEventCarriesNoSignature(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Check(t, r.status >= http.StatusBadGateway, "status %d", r.status)
	assert.Equal(t, r.header.Get("Response-Seal"), "")
}

func TestStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", fmt.Sprintf("seal-%d", starts.Add(1)))
		if r.Header.Get("Last-Event-Id") == "2" {
			events(w, 3, 4)
			return
		}
		events(w, 1, 2)
		// The third event stops in its middle.
		_, _ = io.WriteString(w, "id: 3\nda")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n")
	assert.Equal(t, r.header.Get("Response-Seal"), "seal-1")
}

func TestStreamThatCannotGoOnDoesNotLookWhole(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		events(w, 1, 2)
		// An event is missing.
		events(w, 4, 5)
	})
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.Check(t, r.err != nil, "body %q", r.body)
	assert.Check(t, !strings.Contains(r.body, "x4"))
}

// A stream that has begun goes on at an endpoint that fails it (soak seeds 122, 135, 137:
// the empty body of the failure ended the stream as if it were whole).
func TestFailureOfAResumedStreamDoesNotEndItAsWhole(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		if starts.Add(1) > 1 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		events(w, 1, 2)
		panic(http.ErrAbortHandler)
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.Check(t, r.err != nil, "body %q", r.body)
}

func TestNonIdempotentRequestRunsOnceThoughItsAnswerIsLost(t *testing.T) {
	var ran [3]atomic.Int64
	lose := func(number int) http.HandlerFunc {
		return func(http.ResponseWriter, *http.Request) {
			ran[number].Add(1)
			panic(http.ErrAbortHandler)
		}
	}
	b := newBed(t, lose(0), lose(1), lose(2))
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, ran[0].Load()+ran[1].Load()+ran[2].Load(), int64(1))
	for i := range ran {
		ran[i].Store(0)
	}
	r = b.send(http.MethodGet, "/safe/", "r-2", "")
	assert.Equal(t, r.status, http.StatusBadGateway)
	endpoints, runs := 0, int64(0)
	for i := range ran {
		if n := ran[i].Load(); n > 0 {
			endpoints++
			runs += n
		}
	}
	assert.Equal(t, endpoints, 2, "the route allows two endpoints")
	assert.Check(t, runs <= maxRuns, "%d", runs)
}

// An endpoint that takes requests and says nothing more.
func TestSilentEndpointIsLeftForAnotherOne(t *testing.T) {
	for _, path := range []string{"/safe/", "/stream/"} {
		var asked atomic.Int64
		handler := func(w http.ResponseWriter, r *http.Request) {
			if asked.Add(1) == 1 {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
				return
			}
			answer(w, r, "id: 1\ndata: x\n\n")
		}
		b := newBed(t, handler, handler)
		r := b.send(http.MethodGet, path, "r-1", "")
		assert.NilError(t, r.err)
		assert.Equal(t, r.status, http.StatusOK, path)
		assert.Equal(t, asked.Load(), int64(2))
	}
}

func TestStreamThatStallsGoesOnElsewhere(t *testing.T) {
	var starts atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Seal", "seal")
		if starts.Add(1) == 2 {
			events(w, 3, 4)
			return
		}
		events(w, 1, 2)
		<-r.Context().Done()
	}
	b := newBed(t, handler, handler)
	r := b.send(http.MethodPost, "/stream/", "r-1", "")
	assert.NilError(t, r.err)
	assert.Equal(t, r.body, "id: 1\ndata: x1\n\nid: 2\ndata: x2\n\nid: 3\ndata: x3\n\nid: 4\ndata: x4\n\n")
}

// A request whose endpoints all fail now and then runs again at one that had it: its route
// bounds the endpoints, not the runs.
func TestFailedIdempotentRequestRunsAgainWhereItRan(t *testing.T) {
	var endpoints [3]atomic.Int64
	var runs atomic.Int64
	handler := func(number int) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			endpoints[number].Store(1)
			if runs.Add(1) < 4 {
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				w.Header().Set("Response-Seal", "seal")
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			answer(w, r, "done")
		}
	}
	b := newBed(t, handler(0), handler(1), handler(2))
	r := b.send(http.MethodGet, "/safe/", "r-1", "")
	assert.Equal(t, r.body, "done")
	assert.Equal(t, runs.Load(), int64(4))
	assert.Equal(t, endpoints[0].Load()+endpoints[1].Load()+endpoints[2].Load(), int64(2))
}

func TestRefusalOfAnEndpointIsSentOn(t *testing.T) {
	var refused atomic.Int64
	full := func(w http.ResponseWriter, r *http.Request) {
		if refused.Add(1) > 1 {
			answer(w, r, "done")
			return
		}
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	b := newBed(t, full, full)
	r := b.send(http.MethodPost, "/unsafe/", "r-1", "x")
	assert.Equal(t, r.status, http.StatusOK)
	assert.Equal(t, r.body, "done")
}

func TestCallerThatLeavesStopsItsEndpoint(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url+"/safe/", nil)
	assert.NilError(t, err)
	request.Host = "h.example"
	request.Header.Set("Authorization", "Bearer "+testKey)
	go func() {
		<-began
		cancel()
	}()
	assert.Check(t, do(request).err != nil)
	<-ended
	waitFor(t, func() bool {
		free := false
		b.gateway.loop.Do(func() { free = len(b.gateway.scheduler.Tell(time.Now()).Running) == 0 })
		return free
	})
}

func TestRouteTimeoutIsToldAtOnce(t *testing.T) {
	release := make(chan struct{})
	b := newBed(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	b.store.Put("keyed.op", "config", configuration(2, 100, 0))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	r := b.send(http.MethodGet, "/safe/", "r-1", "")
	assert.Equal(t, r.status, http.StatusGatewayTimeout)
}

func TestQuotaRefusesWithATime(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	b.store.Put("keyed.op", "config", configuration(2, 3000, 1))
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 2 })
	statuses := map[int]int{}
	var last reply
	for i := range 3 {
		last = b.send(http.MethodGet, "/safe/", fmt.Sprintf("r-%d", i), "")
		statuses[last.status]++
	}
	assert.Check(t, statuses[http.StatusTooManyRequests] > 0, "%v", statuses)
	assert.Check(t, last.header.Get("Retry-After") != "")
}

// Bytes behind a body in chunks are not a request.
func TestBytesBehindAChunkedBodyAreNoRequest(t *testing.T) {
	var ran atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		answer(w, r, "")
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	head := "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nAuthorization: Bearer " + testKey + "\r\n"
	hidden := fmt.Sprintf(head, "r-2") + "Content-Length: 0\r\n\r\n"
	_, err = fmt.Fprintf(conn, head+"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", "r-1", len(hidden)+5, hidden)
	assert.NilError(t, err)
	all, err := io.ReadAll(bufio.NewReader(conn))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(all), "HTTP/1.1 "), 1)
	assert.Equal(t, ran.Load(), int64(1))
}

func TestLeavingEndpointGetsNothingNew(t *testing.T) {
	var old, fresh atomic.Int64
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		old.Add(1)
		answer(w, r, "")
	})
	other := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fresh.Add(1)
		answer(w, r, "")
	}))
	t.Cleanup(other.Close)
	assert.Equal(t, b.send(http.MethodGet, "/safe/", "r-0", "").status, http.StatusOK)
	register(t, b.store, testEndpoint, "127.0.0.1:1", "draining")
	register(t, b.store, "i-2", other.Listener.Addr().String(), "ready")
	waitFor(t, func() bool {
		return b.send(http.MethodGet, "/safe/", "r-1", "").status == http.StatusOK && fresh.Load() > 0
	})
	before := old.Load()
	for i := range 5 {
		assert.Equal(t, b.send(http.MethodGet, "/safe/", fmt.Sprintf("s-%d", i), "").status, http.StatusOK)
	}
	assert.Equal(t, old.Load(), before)
}

// A gateway whose store turns it away gets the configuration from another one.
func TestConfigurationComesFromPeersWhileTheStoreIsAway(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	second, _ := startGateway(t, b.gateway.settings.StoreURL, "g-2", []string{b.gateway.settings.PeerAddress})
	waitFor(t, func() bool {
		known := 0
		second.loop.Do(func() { known = second.members.Count() })
		return known == 2
	})
	b.store.SetDown(true)
	parsed, err := acaciaplatform.DecodeConfiguration(configuration(7, 3000, 0))
	assert.NilError(t, err)
	b.gateway.apply(&published{Configuration: parsed, text: configuration(7, 3000, 0)}, "the test")
	waitFor(t, func() bool { return second.configuration.Load().Version == 7 })
}

// A stop in the middle of a request: readiness goes first, the request ends whole.
func TestStoppingGatewayFinishesWhatItHas(t *testing.T) {
	began, release := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) {
		close(began)
		<-release
		answer(w, r, "done")
	})
	answered := make(chan reply)
	go func() { answered <- b.send(http.MethodPost, "/unsafe/", "r-1", "x") }()
	<-began
	closed := make(chan error)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		closed <- b.gateway.Close(ctx)
	}()
	waitFor(t, func() bool {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+b.gateway.settings.ReadyAddress+"/acaciaroute/ready", nil)
		assert.NilError(t, err)
		return do(request).status == http.StatusServiceUnavailable
	})
	close(release)
	r := <-answered
	assert.Equal(t, r.body, "done")
	assert.Equal(t, r.status, http.StatusOK)
	assert.NilError(t, <-closed)
}

// Each endpoint that runs the content dies; its caller sends it again and again.
func TestContentThatKillsEndpointsIsRefused(t *testing.T) {
	var deaths atomic.Int64
	var servers [4]*httptest.Server
	handlers := make([]http.HandlerFunc, len(servers))
	for i := range servers {
		handlers[i] = func(http.ResponseWriter, *http.Request) {
			deaths.Add(1)
			_ = servers[i].Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}
	b := newBed(t)
	for i, handler := range handlers {
		servers[i] = httptest.NewServer(handler)
		t.Cleanup(servers[i].Close)
		register(t, b.store, fmt.Sprintf("i-%d", i), servers[i].Listener.Addr().String(), "ready")
	}
	waitFor(t, func() bool {
		b.send(http.MethodPost, "/unsafe/", "r", "poison")
		return deaths.Load() > maxDeaths
	})
	waitFor(t, func() bool {
		banned := false
		content := contentHash(http.MethodPost, "/unsafe/", "club", []byte("poison"))
		b.gateway.loop.Do(func() { banned = b.gateway.suspects.banned(content) })
		return banned
	})
	r := b.send(http.MethodPost, "/unsafe/", "r-last", "poison")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Check(t, strings.Contains(r.body, "poison_content"), r.body)
	assert.Equal(t, deaths.Load(), int64(maxDeaths+1))
}

func TestHistoryThatTheStoreForgetsIsReadAnew(t *testing.T) {
	b := newBed(t, func(w http.ResponseWriter, r *http.Request) { answer(w, r, "") })
	b.store.SetDown(true)
	b.store.Put("keyed.op", "config", configuration(3, 3000, 0))
	b.store.Put("keyed.op", "config", configuration(4, 3000, 0))
	b.store.Forget("keyed.op")
	b.store.Put("keyed.op", "config", configuration(5, 3000, 0))
	b.store.SetDown(false)
	waitFor(t, func() bool { return b.gateway.configuration.Load().Version == 5 })
}
