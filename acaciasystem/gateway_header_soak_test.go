package acaciasystem

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// sayingEndpoint is an endpoint that says in its answers that it is leaving, or for how long it
	// wants no requests, and notes what reaches it all the same.
	sayingEndpoint struct {
		*endpointNode

		sayMu    sync.Mutex
		random   *rand.Rand
		requests int
		leaving  bool
		// leavingSince holds when each gateway was first told that the endpoint is leaving, and
		// backoffs when it was told to wait, and until when.
		leavingSince map[string]time.Time
		backoffs     map[string][]backoffWindow
		violations   []string
	}

	backoffWindow struct {
		toldAt, until time.Time
		requests      int
		// toldAs is the endpoint's ID when it told the gateway to wait. Another start of it, under another ID, has told
		// nothing.
		toldAs string
	}
)

const (
	headerSoakDuration = 12 * time.Second
	// drainBound is the time after which nothing new may reach an endpoint that is leaving.
	drainBound = 3 * time.Second
	// backoffSlack is the time in which requests that were under way may still come, and
	// maxRequestsInBackoff how many may come after it.
	backoffSlack         = 500 * time.Millisecond
	maxRequestsInBackoff = 2
	// turnAwayInterval is the number of requests of which an endpoint turns one away.
	turnAwayInterval = 10
	headerSentAt     = "X-Sent-At"
	// refusalPause is how long a caller waits after a refusal.
	refusalPause = 20 * time.Millisecond
)

// storeFaults are what happens to the store and to the ways to it; gateways go on all the while, so
// that nothing excuses them.
var storeFaults = []gatewayFault{
	closeStoreConnections, cutOffFromStore, stopStore, compactStore,
	func(f *fleet, r *rand.Rand, _ time.Duration) { f.restoreStore(r, r.IntN(3), r.IntN(2)) },
}

// TestGatewaysKeepToWhatEndpointsSayUnderStoreFaults lets endpoints leave and turn requests away for
// a time while the store is away, slow to reach, compacted and restored; -soak.seed and -soak.seeds
// select the seeds.
func TestGatewaysKeepToWhatEndpointsSayUnderStoreFaults(t *testing.T) {
	t.Parallel()
	runSeeds(t, runHeaderSoak)
}

func runHeaderSoak(t *testing.T, seed uint64) {
	f := newFleet(t, 3, 0)
	var endpoints []*sayingEndpoint
	for i := range 4 {
		endpoints = append(endpoints, f.addSayingEndpoint(rand.New(rand.NewPCG(seed, uint64(50+i)))))
	}
	end := time.Now().Add(headerSoakDuration)
	var group sync.WaitGroup
	group.Go(func() {
		random := rand.New(rand.NewPCG(seed, 0))
		for time.Now().Before(end) {
			pickRandom(storeFaults, random)(f, random, time.Duration(50+random.IntN(1500))*time.Millisecond)
			time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		}
	})
	for i, e := range endpoints {
		random := rand.New(rand.NewPCG(seed, uint64(10+i)))
		group.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				e.leaveAndStartAgain(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
		})
	}
	for i := range gatewayCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				g := pickRandom(f.gateways, random)
				f.sendTimed(g, fmt.Sprintf("%s/%d-%d-%d", g.name, seed, i, n))
			}
		})
	}
	group.Wait()
	told := 0
	for _, e := range endpoints {
		told += e.check(t)
	}
	assert.Check(t, told > 0, "no endpoint said anything")
	f.checkGatewaysServe()
}

func (f *fleet) addSayingEndpoint(random *rand.Rand) *sayingEndpoint {
	e := &sayingEndpoint{
		random:       random,
		endpointNode: newEndpointNode(f),
		leavingSince: map[string]time.Time{}, backoffs: map[string][]backoffWindow{},
	}
	server := httptest.NewServer(e)
	f.t.Cleanup(server.Close)
	e.proxy = newProxy(f.t, server.Listener.Addr().String())
	e.registerWithNewID()
	f.endpoints = append(f.endpoints, e.endpointNode)
	return e
}

// leaveAndStartAgain says in all answers that the endpoint is leaving, though its registration says
// that it is ready, serves for some time more and starts again.
func (e *sayingEndpoint) leaveAndStartAgain(extra time.Duration) {
	e.sayMu.Lock()
	e.leaving = true
	e.sayMu.Unlock()
	time.Sleep(drainBound + extra)
	e.sayMu.Lock()
	defer e.sayMu.Unlock()
	e.registerWithNewID()
	e.leaving = false
	clear(e.leavingSince)
}

// sendTimed sends a request that names its gateway and the time, and pauses if it is refused.
func (f *fleet) sendTimed(g *gatewayNode, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), gatewayCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url("/unsafe/x"), strings.NewReader(""))
	assert.Check(f.t, err)
	acaciaplatformstandin.SetCallerHeaders(request, id)
	request.Header.Set(headerSentAt, strconv.FormatInt(time.Now().UnixNano(), 10))
	response, err := callerClient.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode != http.StatusOK {
		time.Sleep(refusalPause)
	}
}

// ServeHTTP implements http.Handler.
func (e *sayingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(acaciaplatformstandin.HeaderRequestID)
	gateway, _, _ := strings.Cut(id, "/")
	sent, err := strconv.ParseInt(r.Header.Get(headerSentAt), 10, 64)
	if err != nil {
		e.endpointNode.ServeHTTP(w, r)
		return
	}
	now := time.Now()
	e.sayMu.Lock()
	if since, told := e.leavingSince[gateway]; told && time.Unix(0, sent).Sub(since) > drainBound {
		e.violations = append(e.violations, fmt.Sprintf("%s came %v after %s was told that the endpoint is leaving", id, now.Sub(since), gateway))
	}
	cameAs := r.Header.Get(acaciaplatformstandin.HeaderEndpoint)
	for i := range e.backoffs[gateway] {
		if b := &e.backoffs[gateway][i]; b.toldAs == cameAs && now.Sub(b.toldAt) > backoffSlack && now.Before(b.until) {
			b.requests++
		}
	}
	e.requests++
	turnsAway := e.requests%turnAwayInterval == 0
	if turnsAway {
		pause := time.Duration(1+e.random.IntN(3)) * 700 * time.Millisecond
		e.backoffs[gateway] = append(e.backoffs[gateway], backoffWindow{toldAt: now, until: now.Add(pause), toldAs: cameAs})
		w.Header().Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	}
	leaving := e.leaving
	e.sayMu.Unlock()
	if leaving {
		w.Header().Set(acaciaplatformstandin.HeaderLeaving, "1")
		defer func() {
			e.sayMu.Lock()
			defer e.sayMu.Unlock()
			if _, told := e.leavingSince[gateway]; e.leaving && !told {
				e.leavingSince[gateway] = time.Now()
			}
		}()
	}
	if turnsAway {
		w.Header().Set(acaciaplatformstandin.HeaderRequestID, id)
		acaciaplatformstandin.RespondNotRun(w, http.StatusServiceUnavailable)
		return
	}
	e.endpointNode.ServeHTTP(w, r)
}

// check checks what reached the endpoint, and returns how often it has told a gateway something.
func (e *sayingEndpoint) check(t *testing.T) int {
	t.Helper()
	e.sayMu.Lock()
	defer e.sayMu.Unlock()
	told := 0
	for gateway, windows := range e.backoffs {
		told += len(windows)
		for _, b := range windows {
			assert.Check(t, b.requests <= maxRequestsInBackoff, "%d requests of %s to %s within %v after it was told to wait", b.requests, gateway, b.toldAs, b.until.Sub(b.toldAt))
		}
	}
	t.Logf("%d requests, %d backoffs", e.requests, told)
	for _, violation := range e.violations {
		t.Error(violation)
	}
	return told
}
