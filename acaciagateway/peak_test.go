package acaciagateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialog"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

const (
	peakGateways  = 12
	peakEndpoints = 40
	peakWaiting   = 500
)

// newClubQuota returns a quota of a thousand a second for one organisation.
func newClubQuota(now time.Time) *acaciabudget.Quota {
	quota := acaciabudget.NewQuota(acaciabudget.QuotaSettings{Window: 8 * time.Second})
	quota.Configure([]acaciasite.Organisation{{Name: "club", Rate: 1000, Burst: 1000}}, now.Add(-time.Minute))
	return quota
}

// newIdleGateway returns a gateway that has not been started, whose loop runs.
func newIdleGateway(t testing.TB) *Gateway {
	t.Helper()
	settings := acaciaplatform.ProcessSettings{
		Name: "g-0", DataCentre: "a", Region: "r", RegionOfDataCentre: map[string]string{"a": "r"},
		HeartbeatInterval: testHeartbeat, QuotaWindow: time.Second, RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second,
	}
	client := acaciaplatform.New(acaciaplatform.Settings{}, nil)
	recorder := acaciaevent.NewRecorder("g-0", acaciaevent.NewClock(time.Now), logr.Discard(), 1000)
	g := New(context.Background(), settings, client.Store(), recorder, NewMetrics(client))
	// Messages to the others and runs of the scheduler by the clock are not part of what is measured.
	g.broadcastScheduled, g.tickScheduled = true, true
	t.Cleanup(g.loop.Close)
	return g
}

// addPeakLoad adds endpoints that are all busy and requests that wait for them.
func (g *Gateway) addPeakLoad(now time.Time) {
	for i := range peakEndpoints {
		id := fmt.Sprint("e-", i)
		g.scheduler.ApplyEndpointChange(acaciasite.EndpointChange{ID: id, Endpoint: &acaciasite.Endpoint{
			ID: id, Service: "m", Address: id, DataCentre: "a", Slots: 4, StartedAt: now,
		}})
	}
	for i := range peakWaiting {
		request := &acaciaschedule.Request{
			ID: fmt.Sprint("request-", i), Service: "m", Class: "c", Rank: i % 4, PromptTokens: 1000, OutputTokens: 200,
			Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(time.Hour),
		}
		g.waiters[request] = waiter{results: make(chan waitResult, 1)}
		g.scheduler.Enqueue(request)
	}
}

// peakMessage returns a message of a peer at the top of a load peak.
func peakMessage(peer, sequence int) acaciapeer.Message {
	random := rand.New(rand.NewPCG(uint64(peer), uint64(sequence)))
	message := acaciapeer.Message{
		Process: fmt.Sprint("g-", peer), Started: 1, Sequence: uint64(sequence), Region: "r",
		Used: map[string]float64{}, UsedComplete: sequence%40 == 0, StoreReadableMS: 1000,
		Report: acaciaschedule.Report{
			Loads:   map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad{},
			Waiting: map[string]map[int]int{"m": {0: 10, 1: 10, 2: 10, 3: 10}},
			Heads:   map[string][]acaciaschedule.QueuePosition{"m": {1 << 38, 1<<38 + 1, 1<<38 + 2}},
		},
	}
	for i := range peakEndpoints {
		message.Loads[acaciaschedule.KeyOf(fmt.Sprint("e-", i))] = acaciaschedule.EndpointLoad{Running: 1 + random.IntN(2), Prefill: random.IntN(1000)}
	}
	for i := range 5 {
		message.Used[fmt.Sprint("organisation-", i)] = float64(sequence)
	}
	for range 3 {
		message.Prompts = append(message.Prompts, acaciaschedule.SentPrompt{
			Endpoint: acaciaschedule.KeyOf(fmt.Sprint("e-", random.IntN(peakEndpoints))),
			Prompt:   acaciaprefix.ChainSegments("model", []uint64{uint64(random.IntN(9)), uint64(random.IntN(99))}, []int{200, 300}),
		})
	}
	return message
}

// BenchmarkPeakBacklog measures what a message costs of which four of each peer have piled up.
func BenchmarkPeakBacklog(b *testing.B) {
	const piledUp = 4
	g := newIdleGateway(b)
	now := time.Now()
	g.loop.Do(func() { g.addPeakLoad(now) })
	sequence := 0
	for b.Loop() {
		b.StopTimer()
		for range piledUp {
			sequence++
			for peer := 1; peer < peakGateways; peer++ {
				g.inbox.Put(context.Background(), peakMessage(peer, sequence), unusedAddress)
			}
		}
		b.StartTimer()
		g.loop.Do(g.handlePeerMessages)
		g.loop.Do(func() {})
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*piledUp*(peakGateways-1)), "ns/message")
}

// Messages of a peer pile up while the gateway is behind: it must go by the newest state and lose nothing of
// what the others tell of events.
func TestPiledUpMessagesLoseNoEvents(t *testing.T) {
	g := newIdleGateway(t)
	now := time.Now()
	results := make(chan waitResult, 1)
	request := &acaciaschedule.Request{ID: "r", Service: "m", Arrived: now, Objective: now.Add(time.Minute), Deadline: now.Add(time.Hour)}
	endpoint, running := acaciaschedule.KeyOf("e"), acaciaschedule.EndpointLoad{Running: 9}
	record := acaciacrash.Record{Crash: 7, ObservedAt: now, Traits: []acaciacrash.TraitRecord{{Trait: 8, Attempt: 1}}}
	g.loop.Do(func() {
		g.quota = newClubQuota(now)
		g.scheduler.ApplyEndpointChange(acaciasite.EndpointChange{ID: "e", Endpoint: &acaciasite.Endpoint{ID: "e", Service: "m", DataCentre: "a", Slots: 1, StartedAt: now}})
		g.waiters[request] = waiter{exchange: &exchange{}, results: results}
		g.scheduler.Enqueue(request)
	})
	for i := range 4 {
		message := acaciapeer.Message{Process: "g-1", Started: 1, Sequence: uint64(i + 1), Region: "r", UsedComplete: i == 0, Used: map[string]float64{"club": float64(i * 100)}}
		message.Loads = map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad{endpoint: running}
		switch i {
		case 1:
			message.Crashes = []acaciacrash.Record{record}
		case 3:
			message.Loads = nil
		}
		g.inbox.Put(context.Background(), message, unusedAddress)
	}
	g.loop.Do(g.handlePeerMessages)
	result := <-results
	assert.Equal(t, result.decision.Endpoint.ID, "e", "the newest state has no load")
	g.loop.Do(func() {
		assert.Check(t, g.crashes.Suspects([]acaciacrash.Trait{record.Traits[0].Trait}), "the crash is known")
		ok, _ := g.quota.Take(acaciabudget.Charge{Organisation: "club", Cost: 701}, now)
		assert.Check(t, !ok, "300 of 1,000 are used")
	})
}

// BenchmarkPeakMessage measures the decoding of a peer's message and its effect at the top of a load
// peak, the run of the scheduler included.
func BenchmarkPeakMessage(b *testing.B) {
	g := newIdleGateway(b)
	now := time.Now()
	g.loop.Do(func() { g.addPeakLoad(now) })
	sequence := 0
	b.ReportAllocs()
	for b.Loop() {
		b.StopTimer()
		sequence++
		data, err := peakMessage(1+sequence%(peakGateways-1), sequence).Encode(now)
		assert.NilError(b, err)
		b.StartTimer()
		message, err := acaciapeer.Decode(data, now)
		assert.NilError(b, err)
		g.loop.Do(func() { g.handlePeerMessage(message, unusedAddress) })
	}
	b.ReportMetric(float64(g.waitingCount()), "waiting")
}

// BenchmarkPeakRefusal measures how a request is refused that the scheduler has turned away: the event, the log
// line, the metrics and the answer.
func BenchmarkPeakRefusal(b *testing.B) {
	lines := acacialog.NewWriter(io.Discard, acacialog.DefaultBufferBytes)
	defer lines.Close(context.Background())
	g := newIdleGateway(b)
	log := logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{}))
	g.recorder = acaciaevent.NewRecorder("g-0", acaciaevent.NewClock(time.Now), log, 1000)
	now := time.Now()
	x := &exchange{
		gateway: g, arrivedAt: now, deadline: now.Add(10 * time.Second), service: "m", route: &acaciasite.Route{Name: "plain"},
		configuration: &loadedConfiguration{Configuration: &acaciasite.Configuration{Version: 3}, loadedAt: now},
	}
	x.metadata.ID = "01a23efe-f3d5-7a74-941f-000000000001"
	decision := acaciaschedule.Decision{Inputs: acaciaschedule.Inputs{Endpoints: 6, Waiting: 250, PeersWaiting: 250, ExpectedWait: 3 * time.Second, OldestReport: 24 * time.Millisecond}}
	err := &acaciaroute.Error{Code: acaciaroute.CodeShed, Detail: "no endpoint has capacity in time", RetryAfter: time.Second}
	b.ReportAllocs()
	for b.Loop() {
		x.w = httptest.NewRecorder()
		x.writeError(err, &decision)
	}
}
