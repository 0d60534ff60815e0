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
	// outcome is what a caller was told of one request.
	outcome struct {
		kind   string
		id     string
		status int
		body   string
		seal   string
		err    error
	}

	// gatewayFault is one kind of trouble; it returns when the trouble is over.
	gatewayFault func(f *fleet, random *rand.Rand, length time.Duration)
)

const (
	gatewaySoakTime   = 6 * time.Second
	gatewayCallers    = 6
	gatewayDisturbers = 3
	callerTime        = 4 * time.Second
	serveAgainTime    = 15 * time.Second
)

// gatewayFaults are drawn by their position, so that a seed stays what it is.
var gatewayFaults = []gatewayFault{
	func(f *fleet, r *rand.Rand, _ time.Duration) { pick(f.gateways, r).restart(syscall.SIGKILL) },
	func(f *fleet, r *rand.Rand, _ time.Duration) { pick(f.gateways, r).restart(syscall.SIGTERM) },
	func(f *fleet, r *rand.Rand, length time.Duration) { pick(f.gateways, r).pause(length) },
	func(f *fleet, r *rand.Rand, _ time.Duration) { pick(f.gateways, r).toStore.cut() },
	func(f *fleet, r *rand.Rand, length time.Duration) {
		holding(pick(f.gateways, r).toStore, direction(r.IntN(2)), length)
	},
	func(f *fleet, _ *rand.Rand, length time.Duration) {
		f.store.SetDown(true)
		time.Sleep(length)
		f.store.SetDown(false)
	},
	func(f *fleet, r *rand.Rand, _ time.Duration) {
		f.store.Forget(string(pick(storeTopics, r)))
	},
	func(f *fleet, _ *rand.Rand, _ time.Duration) { f.publish() },
	func(f *fleet, r *rand.Rand, _ time.Duration) { pick(f.endpoints, r).proxy.cut() },
	func(f *fleet, r *rand.Rand, length time.Duration) {
		holding(pick(f.endpoints, r).proxy, direction(r.IntN(2)), length)
	},
	func(f *fleet, r *rand.Rand, _ time.Duration) { pick(f.endpoints, r).replace() },
	func(f *fleet, r *rand.Rand, length time.Duration) {
		e := pick(f.endpoints, r)
		e.set(true, false)
		time.Sleep(length)
		e.set(false, false)
	},
	func(f *fleet, r *rand.Rand, length time.Duration) {
		e := pick(f.endpoints, r)
		e.set(false, true)
		time.Sleep(length)
		e.set(false, false)
	},
}

// storeTopics are the topics that gateways read.
var storeTopics = []acaciaplatform.Topic{
	acaciaplatform.TopicConfiguration, acaciaplatform.TopicEndpoints, acaciaplatform.TopicPeers,
}

func pick[T any](things []T, random *rand.Rand) T {
	return things[random.IntN(len(things))]
}

func holding(p *proxy, way direction, length time.Duration) {
	p.hold(way)
	time.Sleep(length)
	p.release()
}

// TestGatewaysUnderRandomFaults plays seeds against gateways as separate processes; -soak.seed
// and -soak.seeds choose them.
func TestGatewaysUnderRandomFaults(t *testing.T) {
	t.Parallel()
	playSeeds(t, runGatewaySoak)
}

// gatewaySeeds once failed; each has a test of its own cause beside it.
var gatewaySeeds = map[uint64]string{
	122: "an endpoint's failure ended a resumed stream as if it were whole",
	135: "an endpoint's failure ended a resumed stream as if it were whole",
	137: "an endpoint's failure ended a resumed stream as if it were whole",
}

// TestGatewaySeedsThatOnceFailed plays gatewaySeeds.
func TestGatewaySeedsThatOnceFailed(t *testing.T) {
	t.Parallel()
	playFailedSeeds(t, gatewaySeeds, runGatewaySoak)
}

func runGatewaySoak(t *testing.T, seed uint64) {
	f := newFleet(t, 3, 4)
	end := time.Now().Add(gatewaySoakTime)
	var group sync.WaitGroup
	for i := range gatewayDisturbers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() {
			for time.Now().Before(end) {
				length := time.Duration(50+random.IntN(1500)) * time.Millisecond
				gatewayFaults[random.IntN(len(gatewayFaults))](f, random, length)
				time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
			}
		})
	}
	outcomes := make([][]outcome, gatewayCallers)
	for i := range gatewayCallers {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				outcomes[i] = append(outcomes[i], f.call(pick(f.gateways, random), fmt.Sprintf("%d-%d-%d", seed, i, n), n))
			}
		})
	}
	group.Wait()
	for _, e := range f.endpoints {
		e.proxy.release()
	}
	f.checkOutcomes(outcomes)
	f.checkGatewaysServe()
}

// call sends one request of a kind drawn by its number.
func (f *fleet) call(g *gatewayNode, id string, number int) outcome {
	kind := []string{"unsafe", "safe", "stream"}[number%3]
	method := http.MethodPost
	if kind == "safe" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	// A body without GetBody keeps the client from sending a request twice by itself.
	request, err := http.NewRequestWithContext(ctx, method, g.url("/"+kind+"/x"), io.NopCloser(strings.NewReader("")))
	if err != nil {
		return outcome{kind: kind, id: id, err: err}
	}
	acaciaplatformstandin.Ask(request, id)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return outcome{kind: kind, id: id, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return outcome{
		kind: kind, id: id, status: response.StatusCode, body: string(body), seal: response.Header.Get(acaciaplatformstandin.HeaderSeal), err: err,
	}
}

// checkOutcomes checks the promises to callers against what the endpoints ran.
func (f *fleet) checkOutcomes(outcomes [][]outcome) {
	ran := f.ran()
	answered, statuses := 0, map[int]int{}
	for _, list := range outcomes {
		for _, o := range list {
			statuses[o.status]++
			runs := ran[o.id]
			if o.kind == "unsafe" {
				assert.Check(f.t, runs <= 1, "%s ran %d times", o.id, runs)
			}
			switch {
			case o.err != nil:
			case o.status == http.StatusOK:
				answered++
				assert.Check(f.t, runs > 0, "%s: an answer to a request that no endpoint ran", o.id)
				assert.Equal(f.t, o.body, wholeAnswer(o), o.id)
				assert.Equal(f.t, o.seal, "seal", o.id)
			case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
				assert.Check(f.t, runs == 0, "%s: %d, though it ran %d times", o.id, o.status, runs)
				assert.Equal(f.t, o.seal, "", o.id)
			case o.status == http.StatusInternalServerError:
				assert.Equal(f.t, o.seal, "seal", o.id)
			default:
				assert.Equal(f.t, o.seal, "", "%s: %d", o.id, o.status)
			}
		}
	}
	f.t.Logf("%d answered; statuses: %v", answered, statuses)
	assert.Check(f.t, answered > 0)
}

func wholeAnswer(o outcome) string {
	if o.kind != "stream" {
		return fmt.Sprintf("answer to %s of 0 bytes", o.id)
	}
	var text strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&text, "id: %d\ndata: %s-%d\n\n", i, o.id, i)
	}
	return text.String()
}

// checkGatewaysServe waits until each gateway serves each kind of request again.
func (f *fleet) checkGatewaysServe() {
	for i, g := range f.gateways {
		for number := range 3 {
			end := time.Now().Add(serveAgainTime)
			for try := 0; ; try++ {
				o := f.call(g, fmt.Sprintf("last-%d-%d-%d", i, number, try), number)
				if o.err == nil && o.status == http.StatusOK {
					break
				}
				assert.Assert(f.t, time.Now().Before(end), "%s does not serve %s again: %d %v %s", g.name, o.kind, o.status, o.err, o.body)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
