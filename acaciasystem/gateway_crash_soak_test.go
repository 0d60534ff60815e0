package acaciasystem

import (
	"context"
	"fmt"
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
	runSeeds(t, runCrashSoak)
}

func runCrashSoak(t *testing.T, seed uint64) {
	f := newFleet(t, 3, 6)
	for _, e := range f.endpoints {
		e.mu.Lock()
		e.crashingSegment = crashingSegment
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
				prompt := fmt.Sprintf("a1:10,%x:10", n*gatewayCallerCount+i)
				if i == 0 {
					prompt = fmt.Sprintf("a1:10,%s:10,%x:10", crashingSegment, n)
				}
				f.sendPrompt(pickRandom(f.gateways, random), fmt.Sprintf("%d-%d-%d", seed, i, n), prompt)
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.checkCrashingRuns()
	f.checkGatewaysServe()
	for i, g := range f.gateways {
		status := f.sendPrompt(g, fmt.Sprint("harmless-", i), fmt.Sprintf("a1:10,%x:10", i))
		assert.Check(t, status == http.StatusOK, "%s answers %d to a harmless request", g.name, status)
	}
}

// sendPrompt sends a request with a prompt and returns the status, 0 without an answer.
func (f *fleet) sendPrompt(g *gatewayNode, id, prompt string) int {
	ctx, cancel := context.WithTimeout(context.Background(), gatewayCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url("/unsafe/x"), strings.NewReader(prompt))
	assert.Check(f.t, err)
	acaciaplatformstandin.SetCallerHeaders(request, id)
	request.Header.Set(acaciaplatformstandin.HeaderPrompt, prompt)
	response, err := callerClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
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
