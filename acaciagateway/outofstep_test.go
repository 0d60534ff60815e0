package acaciagateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// outOfStepBed is a versionedBed with two gateways, of which the first can lose its links.
type outOfStepBed struct {
	*versionedBed
	first, second *Gateway
	storeCut      atomic.Bool
}

func newOutOfStepBed(t *testing.T) *outOfStepBed {
	t.Helper()
	b := &outOfStepBed{versionedBed: newVersionedBed(t, hang)}
	store, err := url.Parse(b.storeURL)
	assert.NilError(t, err)
	forward := httputil.NewSingleHostReverseProxy(store)
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if b.storeCut.Load() {
			panic(http.ErrAbortHandler)
		}
		forward.ServeHTTP(w, r)
	}))
	t.Cleanup(link.Close)
	b.addEndpoint("old", "v1")
	b.first, _ = startGateway(t, link.URL, "g-1", nil)
	b.second = b.startGateway("g-2", 1, b.first.settings.PeerAddress)
	for _, gateway := range []*Gateway{b.first, b.second} {
		gateway.loop.Do(func() { gateway.origins.Observe(time.Unix(0, 0)) })
		waitFor(t, func() (met bool) {
			gateway.loop.Do(func() { met = gateway.members.Count() == 2 })
			return met && len(gateway.endpointIDs()) == 1
		})
	}
	return b
}

// beginNew registers an endpoint of another version and begins a stream there through the second gateway.
func (b *outOfStepBed) beginNew(t *testing.T) partialStream {
	t.Helper()
	b.addEndpoint("new", "v2")
	waitFor(t, func() bool { return len(b.second.endpointIDs()) == 2 })
	for n := 0; ; n++ {
		stream := b.beginAndLeave(b.second, fmt.Sprint("r-", n))
		if stream.version == "v2" {
			return stream
		}
	}
}

// A gateway is cut off from the others, the store or both while endpoints of a new version join. A stream that
// began there through another gateway and is resumed at this one must not go on at the old version.
func TestGatewayOutOfStepDoesNotJoinStreams(t *testing.T) {
	for name, cut := range map[string]struct{ peers, store bool }{
		"cut off from peers": {peers: true},
		"cut off from store": {store: true},
		"cut off from both":  {peers: true, store: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newOutOfStepBed(t)
			if cut.peers {
				assert.NilError(t, b.first.peerSocket.Close())
			}
			b.storeCut.Store(cut.store)
			stream := b.beginNew(t)
			response := b.resume(b.first, "r-again", stream)
			assert.NilError(t, response.err)
			if response.status == http.StatusOK {
				assertRest(t, response, stream)
				return
			}
			assert.Check(t, response.status == acaciaroute.CodeStreamLost.HTTPStatus() || response.status == acaciaroute.CodeOriginUnknown.HTTPStatus(), response.body)
		})
	}
}

// A gateway has missed messages of another one, which told of streams at a new version meanwhile.
func TestStreamsToldWhileGatewayWasCutOffAreNotJoined(t *testing.T) {
	for name, reports := range map[string]uint64{"nothing missed": 1, "messages missed": 20} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newVersionedBed(t, hang)
			b.addEndpoint("old", "v1")
			gateway := b.startGateway("g-1", 1)
			message := acaciapeer.Message{Process: "g-2", Started: 1, Sequence: 1, Region: "r"}
			hear := func() {
				message.Sequence++
				gateway.loop.Do(func() { gateway.handlePeerMessage(message, unusedAddress) })
			}
			gateway.loop.Do(func() { gateway.origins.Observe(time.Unix(0, 0)) })
			hear()
			b.addEndpoint("new", "v2")
			waitFor(t, func() bool { return len(gateway.endpointIDs()) == 2 })
			gateway.loop.Do(func() { gateway.updateListedOrigins() })
			message.Origins.Versions = []acaciaorigin.Version{
				{Origin: acaciasite.Origin{Service: acaciaplatformstandin.Service, Version: "v1"}},
				{Origin: acaciasite.Origin{Service: acaciaplatformstandin.Service, Version: "v2"}},
			}
			message.OriginReports = reports
			stop := make(chan struct{})
			heard := make(chan struct{})
			go func() {
				defer close(heard)
				for {
					hear()
					message.OriginReports++
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
			}()
			defer func() {
				close(stop)
				<-heard
			}()
			stream := partialStream{id: "r-untold", lastID: "2", version: "v1"}
			response := b.resume(gateway, "r-2", stream)
			if reports == 1 {
				assertRest(t, response, stream)
				return
			}
			assertRefused(t, response, acaciaroute.CodeStreamLost)
		})
	}
}
