package acaciagrant

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaqueue"
)

var start = time.Unix(1_800_000_000, 0)

// bench is a granter with a record of what it offered.
type bench struct {
	*Granter
	loop   *acacialoop.Virtual
	offers map[string][]acaciaroute.Offer
}

func newBench(settings Settings) *bench {
	loop := acacialoop.NewVirtual(start)
	return &bench{Granter: New(loop, settings), loop: loop, offers: map[string][]acaciaroute.Offer{}}
}

func (b *bench) reserve(id string, rank, prompt int, slack time.Duration) {
	b.Reserve(acaciaroute.Reservation{
		RequestID:    id,
		Class:        fmt.Sprint("c", rank),
		Rank:         rank,
		Organisation: "o",
		PromptTokens: prompt,
		Slack:        slack,
	}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
}

func (b *bench) last(id string) acaciaroute.Offer {
	offers := b.offers[id]
	if len(offers) == 0 {
		return acaciaroute.Offer{}
	}
	return offers[len(offers)-1]
}

func (b *bench) pass(d time.Duration) {
	b.loop.Run(b.loop.Now().Add(d))
}

func TestGrantIsUsedOnceAndExpires(t *testing.T) {
	b := newBench(Settings{Plain: true, PlainLimit: 1})
	b.reserve("a", 1, 0, time.Minute)
	b.reserve("b", 1, 0, time.Minute)
	grant := b.last("a").Grant
	assert.Equal(t, b.last("a").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, b.last("b").Kind, acaciaroute.OfferWaiting)
	_, ok := b.Begin("a", grant)
	assert.Check(t, ok)
	_, again := b.Begin("a", grant)
	assert.Check(t, !again)
	b.End("a")
	assert.Equal(t, b.last("b").Kind, acaciaroute.OfferGranted)
	b.pass(2 * DefaultHoldTime)
	assert.Equal(t, b.last("b").Kind, acaciaroute.OfferRefused)
	_, late := b.Begin("b", b.last("b").Grant)
	assert.Check(t, !late)
}

func TestResumedGranterTakesWorkAgain(t *testing.T) {
	b := newBench(Settings{Plain: true, PlainLimit: 1})
	b.Stop()
	b.reserve("early", 1, 0, time.Minute)
	assert.Equal(t, b.last("early").Kind, acaciaroute.OfferRefused)
	b.Resume()
	b.reserve("late", 1, 0, time.Minute)
	assert.Equal(t, b.last("late").Kind, acaciaroute.OfferGranted)
}

func TestStopRefusesWhatWaitsAndKeepsWhatRuns(t *testing.T) {
	b := newBench(Settings{Plain: true, PlainLimit: 1})
	b.reserve("runs", 1, 0, time.Minute)
	_, ok := b.Begin("runs", b.last("runs").Grant)
	assert.Check(t, ok)
	b.reserve("waits", 1, 0, time.Minute)
	b.Stop()
	b.reserve("comes", 1, 0, time.Minute)
	assert.Equal(t, b.last("waits").Kind, acaciaroute.OfferRefused)
	assert.Equal(t, b.last("comes").Kind, acaciaroute.OfferRefused)
	assert.Check(t, !b.Idle())
	b.End("runs")
	assert.Check(t, b.Idle())
}

func TestWorkThatComesTooLateIsRefusedBeforeItsPrefill(t *testing.T) {
	b := newBench(Settings{})
	b.reserve("hopeless", 1, 100_000, time.Second)
	assert.Equal(t, b.last("hopeless").Kind, acaciaroute.OfferRefused)
	b.reserve("patient", 1, 100_000, time.Minute)
	assert.Equal(t, b.last("patient").Kind, acaciaroute.OfferGranted)
}

// The end of another request once reset the time from which a prefill was
// measured, and the learned rate came out too high.
func TestPrefillRateDoesNotDependOnOtherRequestsEnds(t *testing.T) {
	const tokens, rate = 4000, 8000
	b := newBench(Settings{})
	for i := range 40 {
		short, long := fmt.Sprint("short", i), fmt.Sprint("long", i)
		b.reserve(short, 1, 16, time.Minute)
		b.Begin(short, b.last(short).Grant)
		b.pass(time.Millisecond)
		b.Token(short, 1)
		b.reserve(long, 1, tokens, time.Minute)
		b.Begin(long, b.last(long).Grant)
		for range 50 {
			b.pass(tokens * time.Second / rate / 100)
			b.Token(short, 1)
		}
		b.End(short)
		b.pass(tokens * time.Second / rate / 2)
		b.Token(long, 1)
		b.End(long)
	}
	learned := b.Hint().PrefillRate
	assert.Check(t, learned > 0.8*rate && learned < 1.2*rate, "learned %.0f tokens/s", learned)
}

func TestStragglingEndpointLetsOthersGrantFirst(t *testing.T) {
	b := newBench(Settings{})
	for range 20 {
		b.learner.ObserveGap(b.loop.Now(), 10*time.Millisecond, 1, false)
		b.pass(10 * time.Millisecond)
	}
	b.pass(time.Second)
	b.learner.ObserveGap(b.loop.Now(), time.Second, 1, false)
	b.reserve("a", 1, 100, time.Minute)
	assert.Equal(t, b.last("a").Kind, acaciaroute.OfferWaiting)
	b.pass(2 * stragglerDelay)
	assert.Equal(t, b.last("a").Kind, acaciaroute.OfferGranted)
}

func TestNoLowerClassIsGrantedWhileAHigherOneWaits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(Settings{Plain: true, PlainLimit: rapid.IntRange(1, 3).Draw(t, "limit")})
		ranks := map[string]int{}
		for i := range rapid.IntRange(1, 50).Draw(t, "operations") {
			id := fmt.Sprint(i)
			other := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "other"))
			granted := b.grants
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				ranks[id] = rapid.IntRange(1, 3).Draw(t, "rank")
				b.reserve(id, ranks[id], 0, time.Hour)
			case 2:
				b.Begin(other, b.last(other).Grant)
			case 3:
				b.End(other)
			default:
				b.Withdraw(other)
			}
			if b.grants == granted {
				continue
			}
			b.queue.Each(func(item *acaciaqueue.Item) {
				for _, h := range b.held {
					if h.grant > granted {
						assert.Assert(t, ranks[h.item.RequestID] >= item.Rank, "%s was granted before %s", h.item.RequestID, item.RequestID)
					}
				}
			})
		}
	})
}

// An engine that took longer for a prompt than expected once seemed to have
// worked off all prompts behind it, and got ever more of them.
func TestSlowPrefillMakesNoRoomForMore(t *testing.T) {
	b := newBench(Settings{})
	for i := range 200 {
		id := fmt.Sprint(i)
		b.Reserve(acaciaroute.Reservation{RequestID: id, Class: "c", PromptTokens: 1000, Slack: time.Hour}, func(offer acaciaroute.Offer) {
			if offer.Kind == acaciaroute.OfferGranted {
				b.loop.Post(func() { b.Begin(id, offer.Grant) })
			}
		})
		b.pass(20 * time.Millisecond)
	}
	// The learner expects a prompt in 250 ms, and no first token has come.
	assert.Check(t, b.Running() <= 2, "%d prompts without a token", b.Running())
}

func TestRequestThatMustRunAloneRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(Settings{CacheTokens: 10_000})
		alone := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			id := fmt.Sprint(i)
			other := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "other"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				alone[id] = rapid.IntRange(0, 3).Draw(t, "alone") == 0
				b.Reserve(acaciaroute.Reservation{
					RequestID:    id,
					Class:        "c",
					PromptTokens: 2000,
					Prefixes:     []uint64{uint64(rapid.IntRange(0, 5).Draw(t, "prefix"))},
					Slack:        time.Hour,
					Alone:        alone[id],
				}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
			case 2:
				b.Begin(other, b.last(other).Grant)
				b.Token(other, 1)
			default:
				b.End(other)
			}
			for id := range b.runs {
				assert.Assert(t, !alone[id] || len(b.runs)+len(b.held) == 1, "%s does not run alone", id)
			}
		}
	})
}

// A request that must run alone was once preferred for its cached prefix while the
// endpoint was busy.
func TestCachedPrefixDoesNotLetARequestRunBesideOthers(t *testing.T) {
	b := newBench(Settings{})
	reserve := func(id string, prefix uint64, alone bool) {
		b.Reserve(acaciaroute.Reservation{
			RequestID: id, Class: "c", PromptTokens: 2000, Prefixes: []uint64{prefix}, Slack: time.Hour, Alone: alone,
		}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
	}
	reserve("first", 0, false)
	b.Begin("first", b.last("first").Grant)
	b.Token("first", 1)
	reserve("second", 1, false)
	b.Begin("second", b.last("second").Grant)
	reserve("third", 2, false)
	reserve("alone", 0, true)
	b.Token("second", 1)
	assert.Equal(t, b.last("third").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, b.last("alone").Kind, acaciaroute.OfferWaiting)
}

// A reservation may come again over a new connection before the agent has seen the end
// of the old one.
func TestEndOfAnOldReservationLeavesTheNewOne(t *testing.T) {
	for name, free := range map[string]bool{"waiting": false, "granted": true} {
		t.Run(name, func(t *testing.T) {
			b := newBench(Settings{Plain: true, PlainLimit: 1})
			b.reserve("runs", 1, 0, time.Minute)
			_, ok := b.Begin("runs", b.last("runs").Grant)
			assert.Assert(t, ok)
			if free {
				b.End("runs")
			}
			var old, renewed []acaciaroute.Offer
			reservation := acaciaroute.Reservation{RequestID: "r", Class: "c", Rank: 1, Slack: time.Minute}
			end := b.Reserve(reservation, func(offer acaciaroute.Offer) { old = append(old, offer) })
			b.Reserve(reservation, func(offer acaciaroute.Offer) { renewed = append(renewed, offer) })
			end()
			b.End("runs")
			assert.Equal(t, len(old), 1)
			last := renewed[len(renewed)-1]
			assert.Equal(t, last.Kind, acaciaroute.OfferGranted)
			if free {
				_, stale := b.Begin("r", old[0].Grant)
				assert.Check(t, !stale, "a grant that was replaced was used")
			}
			_, ok = b.Begin("r", last.Grant)
			assert.Check(t, ok)
			b.End("r")
			assert.Check(t, b.Idle())
		})
	}
}

// pausedLoop is the loop of a process that was paused: time has gone on and its timers
// have not run yet.
type pausedLoop struct {
	*acacialoop.Virtual
	paused time.Duration
}

func (l *pausedLoop) Now() time.Time {
	return l.Virtual.Now().Add(l.paused)
}

// A request that reaches an agent as it wakes comes before the timer of its grant.
func TestGrantOfAPausedAgentIsNotUsedAfterItsTime(t *testing.T) {
	loop := &pausedLoop{Virtual: acacialoop.NewVirtual(start)}
	granter := New(loop, Settings{Plain: true, PlainLimit: 2})
	grants := map[string]uint64{}
	for _, id := range []string{"soon", "late"} {
		granter.Reserve(acaciaroute.Reservation{RequestID: id, Class: "c", Slack: time.Minute}, func(offer acaciaroute.Offer) { grants[id] = offer.Grant })
	}
	loop.paused = DefaultHoldTime - time.Millisecond
	_, ok := granter.Begin("soon", grants["soon"])
	assert.Check(t, ok)
	loop.paused = DefaultHoldTime
	_, ok = granter.Begin("late", grants["late"])
	assert.Check(t, !ok, "the grant was used after its time")
}
