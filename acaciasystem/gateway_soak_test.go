package acaciasystem

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

type (
	// outcome is what a caller received for one request.
	outcome struct {
		kind      string
		id        string
		status    int
		body      string
		signature string
		err       error
	}

	// gatewayFault injects one kind of fault and returns when the fault is over.
	gatewayFault func(f *fleet, random *rand.Rand, duration time.Duration)
)

const (
	gatewaySoakDuration    = 6 * time.Second
	gatewayCallerCount     = 6
	gatewayInjectorCount   = 3
	gatewayCallTimeout     = 4 * time.Second
	gatewayRecoveryTimeout = 15 * time.Second
)

// gatewayFaults are drawn by index: a change of their order or number changes what a seed
// does.
var gatewayFaults = []gatewayFault{
	killGateway, stopGateway, suspendGateway, closeStoreConnections, cutOffFromStore, stopStore, compactStore,
	func(f *fleet, _ *rand.Rand, _ time.Duration) { f.publishConfiguration() },
	func(f *fleet, r *rand.Rand, _ time.Duration) { pickRandom(f.endpoints, r).proxy.closeConnections() },
	func(f *fleet, r *rand.Rand, duration time.Duration) {
		blockFor(pickRandom(f.endpoints, r).proxy, direction(r.IntN(2)), duration)
	},
	func(f *fleet, r *rand.Rand, _ time.Duration) { pickRandom(f.endpoints, r).registerWithNewID() },
	func(f *fleet, r *rand.Rand, duration time.Duration) {
		e := pickRandom(f.endpoints, r)
		e.setFaults(true, false)
		time.Sleep(duration)
		e.setFaults(false, false)
	},
	func(f *fleet, r *rand.Rand, duration time.Duration) {
		e := pickRandom(f.endpoints, r)
		e.setFaults(false, true)
		time.Sleep(duration)
		e.setFaults(false, false)
	},
}

// storeTopics are the topics that gateways read.
var storeTopics = []acaciaplatform.Topic{
	acaciaplatform.TopicConfiguration, acaciaplatform.TopicEndpoints, acaciaplatform.TopicPeers,
}

func pickRandom[T any](items []T, random *rand.Rand) T {
	return items[random.IntN(len(items))]
}

// blockFor blocks one direction of a proxy for a duration.
func blockFor(p *proxy, dir direction, duration time.Duration) {
	p.block(dir)
	time.Sleep(duration)
	p.unblock()
}

func killGateway(f *fleet, r *rand.Rand, _ time.Duration) {
	pickRandom(f.gateways, r).restart(syscall.SIGKILL)
}

func stopGateway(f *fleet, r *rand.Rand, _ time.Duration) {
	pickRandom(f.gateways, r).restart(syscall.SIGTERM)
}

func suspendGateway(f *fleet, r *rand.Rand, duration time.Duration) {
	pickRandom(f.gateways, r).suspend(duration)
}

func closeStoreConnections(f *fleet, r *rand.Rand, _ time.Duration) {
	pickRandom(f.gateways, r).storeProxy.closeConnections()
}

// cutOffFromStore blocks one direction between a gateway and the store.
func cutOffFromStore(f *fleet, r *rand.Rand, duration time.Duration) {
	blockFor(pickRandom(f.gateways, r).storeProxy, direction(r.IntN(2)), duration)
}

func stopStore(f *fleet, _ *rand.Rand, duration time.Duration) {
	f.store.SetDown(true)
	time.Sleep(duration)
	f.store.SetDown(false)
}

func compactStore(f *fleet, r *rand.Rand, _ time.Duration) {
	f.store.Compact(string(pickRandom(storeTopics, r)))
}

// TestGatewaysUnderRandomFaults injects random faults into a fleet while callers send requests;
// -soak.seed and -soak.seeds select the seeds.
func TestGatewaysUnderRandomFaults(t *testing.T) {
	t.Parallel()
	runSeeds(t, runGatewaySoak)
}

// gatewayRegressionSeeds are seeds that once failed, with the cause; each cause also has a test
// of its own.
var gatewayRegressionSeeds = map[uint64]string{
	122: "an endpoint's failure ended a resumed stream as if it were complete",
	135: "an endpoint's failure ended a resumed stream as if it were complete",
	137: "an endpoint's failure ended a resumed stream as if it were complete",
}

// TestGatewayRegressionSeeds runs gatewayRegressionSeeds.
func TestGatewayRegressionSeeds(t *testing.T) {
	t.Parallel()
	runRegressionSeeds(t, gatewayRegressionSeeds, runGatewaySoak)
}

func runGatewaySoak(t *testing.T, seed uint64) {
	f := newFleet(t, 3, 4)
	end := time.Now().Add(gatewaySoakDuration)
	var group sync.WaitGroup
	for i := range gatewayInjectorCount {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for time.Now().Before(end) {
				duration := time.Duration(50+random.IntN(1500)) * time.Millisecond
				gatewayFaults[random.IntN(len(gatewayFaults))](f, random, duration)
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
	}
	outcomes := make([][]outcome, gatewayCallerCount)
	for i := range gatewayCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				outcomes[i] = append(outcomes[i], f.sendRequest(pickRandom(f.gateways, random), fmt.Sprintf("%d-%d-%d", seed, i, n), n))
			}
		})
	}
	group.Wait()
	for _, e := range f.endpoints {
		e.proxy.unblock()
	}
	f.checkOutcomes(outcomes)
	f.checkGatewaysServe()
}

// sendRequest sends one request; kindNumber modulo 3 selects its kind.
func (f *fleet) sendRequest(g *gatewayNode, id string, kindNumber int) outcome {
	kind := []string{"unsafe", "safe", "stream"}[kindNumber%3]
	method := http.MethodPost
	if kind == "safe" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), gatewayCallTimeout)
	defer cancel()
	// Without GetBody the HTTP client cannot send the request a second time by itself.
	request, err := http.NewRequestWithContext(ctx, method, g.url("/"+kind+"/x"), io.NopCloser(strings.NewReader("")))
	if err != nil {
		return outcome{kind: kind, id: id, err: err}
	}
	acaciaplatformstandin.SetCallerHeaders(request, id)
	response, err := callerClient.Do(request)
	if err != nil {
		return outcome{kind: kind, id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return outcome{
		kind: kind, id: id, status: response.StatusCode, body: string(body), signature: response.Header.Get(acaciaplatformstandin.HeaderSignature), err: err,
	}
}

// checkOutcomes checks what callers received against what the endpoints ran.
func (f *fleet) checkOutcomes(outcomes [][]outcome) {
	runCounts := f.runCounts()
	answered, statuses := 0, map[int]int{}
	for _, list := range outcomes {
		for _, o := range list {
			statuses[o.status]++
			runs := runCounts[o.id]
			if o.kind == "unsafe" {
				assert.Check(f.t, runs <= 1, "%s ran %d times", o.id, runs)
			}
			switch {
			case o.err != nil:
			case o.status == http.StatusOK:
				answered++
				assert.Check(f.t, runs > 0, "%s was answered, but no endpoint ran it", o.id)
				assert.Equal(f.t, o.body, expectedAnswer(o), o.id)
				assert.Equal(f.t, o.signature, "seal", o.id)
			case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
				assert.Check(f.t, runs == 0, "%s: status %d, although it ran %d times", o.id, o.status, runs)
				assert.Equal(f.t, o.signature, "", o.id)
			case o.status == http.StatusInternalServerError:
				assert.Equal(f.t, o.signature, "seal", o.id)
			default:
				assert.Equal(f.t, o.signature, "", "%s: status %d", o.id, o.status)
			}
		}
	}
	f.t.Logf("%d answered; statuses: %v", answered, statuses)
	assert.Check(f.t, answered > 0)
}

// expectedAnswer returns the complete answer to the request of an outcome.
func expectedAnswer(o outcome) string {
	if o.kind != "stream" {
		return fmt.Sprintf("answer to %s of 0 bytes", o.id)
	}
	var text strings.Builder
	for i := 1; i <= streamEventCount; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, o.id, i)
	}
	return text.String()
}

// checkGatewaysServe waits until each gateway serves each kind of request again.
func (f *fleet) checkGatewaysServe() {
	for i, g := range f.gateways {
		for kindNumber := range 3 {
			end := time.Now().Add(gatewayRecoveryTimeout)
			for attempt := 0; ; attempt++ {
				o := f.sendRequest(g, fmt.Sprintf("last-%d-%d-%d", i, kindNumber, attempt), kindNumber)
				if o.err == nil && o.status == http.StatusOK {
					break
				}
				assert.Assert(f.t, time.Now().Before(end), "%s does not serve %s requests again: status %d, error %v, body %s", g.name, o.kind, o.status, o.err, o.body)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
