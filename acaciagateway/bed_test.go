package acaciagateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

const (
	testTimeout  = 20 * time.Second
	testEndpoint = "i-1"
	anyPort      = "127.0.0.1:0"
)

type (
	// bed is a gateway before stand-ins.
	bed struct {
		t       *testing.T
		store   *acaciaplatformstandin.Store
		gateway *Gateway
		url     string
		// addresses are those of the endpoints.
		addresses []string
	}

	reply struct {
		status int
		header http.Header
		body   string
		err    error
	}
)

// newBed starts a gateway before endpoints that a handler serves.
func newBed(t *testing.T, endpoints ...http.HandlerFunc) *bed {
	t.Helper()
	store := acaciaplatformstandin.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	store.PutConfiguration(acaciaplatformstandin.Configuration(1, 3000, 0))
	b := &bed{t: t, store: store}
	for i, handler := range endpoints {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		b.addresses = append(b.addresses, address)
		register(t, store, fmt.Sprintf("i-%d", i+1), address, false)
	}
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

func register(t *testing.T, store *acaciaplatformstandin.Store, id, address string, leaving bool) {
	t.Helper()
	assert.NilError(t, store.PutEndpoint(id, address, 2, leaving, 1))
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
	acaciaplatformstandin.Ask(request, id)
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
	acaciaplatformstandin.Seal(w, r, "seal")
	_, _ = io.WriteString(w, body)
}

// events writes a part of a stream.
func events(w http.ResponseWriter, from, to int) {
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
	}
	_ = http.NewResponseController(w).Flush()
}
