package acaciasystem

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	acaciaplatformstandin "github.com/acaciaroute/acaciaroute/platform/standin"
)

// crashSoak is what the callers of a soak send.
type crashSoak struct {
	path string
	// shared holds the segments that all prompts begin with.
	shared string
	// events is the number of events that an endpoint writes before it crashes.
	events int
}

const (
	crashSoakDuration = 12 * time.Second
	// crashesBeforeBan and maxRunsAfterBan say when requests with a segment must be refused: from
	// banSettleTime after that many crashes, no more than so many may reach an endpoint.
	crashesBeforeBan = 5
	maxRunsAfterBan  = 3
	banSettleTime    = 4 * time.Second
	crashingSegment  = "bad"
)

// TestGatewaysRefuseCrashingSegmentUnderRandomFaults sends requests with a segment that crashes
// endpoints, and harmless ones, while gateways are killed, restarted and suspended and endpoints
// fail; -soak.seed and -soak.seeds select the seeds.
func TestGatewaysRefuseCrashingSegmentUnderRandomFaults(t *testing.T) {
	t.Parallel()
	runSeeds(t, func(t *testing.T, seed uint64) {
		runCrashSoak(t, seed, crashSoak{path: "/unsafe/x", shared: sharedSegments(1)})
	})
}

// TestGatewaysRefuseLateCrashingSegmentUnderRandomFaults does the same with a segment that stands behind many that all prompts
// share, and crashes endpoints after some events of a stream.
func TestGatewaysRefuseLateCrashingSegmentUnderRandomFaults(t *testing.T) {
	t.Parallel()
	const manySegments, events = 40, 3
	runSeeds(t, func(t *testing.T, seed uint64) {
		runCrashSoak(t, seed, crashSoak{path: "/stream/x", shared: sharedSegments(manySegments), events: events})
	})
}

func runCrashSoak(t *testing.T, seed uint64, play crashSoak) {
	f := newFleet(t, 3, 6)
	for _, e := range f.endpoints {
		e.mu.Lock()
		e.crashingSegment, e.crashingEvents = crashingSegment, play.events
		e.mu.Unlock()
	}
	end := time.Now().Add(crashSoakDuration)
	var group sync.WaitGroup
	group.Go(func() {
		random := rand.New(rand.NewPCG(seed, 0))
		for time.Now().Before(end) {
			duration := time.Duration(50+random.IntN(1000)) * time.Millisecond
			gatewayFaults[random.IntN(len(gatewayFaults))](f, random, duration)
			time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
		}
	})
	for i := range gatewayCallerCount {
		random := rand.New(rand.NewPCG(seed, uint64(100+i)))
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prompt := fmt.Sprintf("%s,%x:10", play.shared, n*gatewayCallerCount+i)
				if i == 0 {
					prompt = fmt.Sprintf("%s,%s:10,%x:10", play.shared, crashingSegment, n)
				}
				f.sendPrompt(pickRandom(f.gateways, random), play.path, fmt.Sprintf("%d-%d-%d", seed, i, n), prompt)
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.checkCrashingRuns()
	f.checkGatewaysServe()
	for i, g := range f.gateways {
		status := f.sendPrompt(g, play.path, fmt.Sprint("harmless-", i), fmt.Sprintf("%s,%x:10", play.shared, i))
		assert.Check(t, status == http.StatusOK, "%s answers %d to a harmless request", g.name, status)
	}
}

// sharedSegments returns a number of segments that prompts share.
func sharedSegments(count int) string {
	segments := make([]string, count)
	for i := range segments {
		segments[i] = fmt.Sprintf("a%x:10", i)
	}
	return strings.Join(segments, ",")
}

// sendPrompt sends a request with a prompt and returns the status, 0 without an answer.
func (f *fleet) sendPrompt(g *gatewayNode, path, id, prompt string) int {
	ctx, cancel := context.WithTimeout(context.Background(), gatewayCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url(path), strings.NewReader(prompt))
	assert.Check(f.t, err)
	acaciaplatformstandin.SetCallerHeaders(request, id)
	request.Header.Set(acaciaplatformstandin.HeaderPrompt, prompt)
	response, err := callerClient.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// checkCrashingRuns checks how many requests with that segment reached endpoints after it had
// crashed several.
func (f *fleet) checkCrashingRuns() {
	var crashes, runs []time.Time
	for _, e := range f.endpoints {
		e.mu.Lock()
		crashes, runs = append(crashes, e.crashes...), append(runs, e.crashingRuns...)
		e.mu.Unlock()
	}
	f.t.Logf("%d crashes, %d requests with the segment at endpoints", len(crashes), len(runs))
	assert.Check(f.t, len(crashes) > 0, "nothing crashed")
	if len(crashes) < crashesBeforeBan {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	settled := crashes[crashesBeforeBan-1].Add(banSettleTime)
	late := slices.DeleteFunc(runs, func(at time.Time) bool { return at.Before(settled) })
	assert.Check(f.t, len(late) <= maxRunsAfterBan, "%d requests with the segment came later", len(late))
}
