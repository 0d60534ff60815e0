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

var startTime = time.Unix(1_800_000_000, 0)

// testGranter is a granter on a virtual clock that records its offers by request ID.
type testGranter struct {
	*Granter
	loop   *acacialoop.Virtual
	offers map[string][]acaciaroute.Offer
}

func newTestGranter(settings Settings) *testGranter {
	loop := acacialoop.NewVirtual(startTime)
	return &testGranter{Granter: New(loop, settings), loop: loop, offers: map[string][]acaciaroute.Offer{}}
}

func (b *testGranter) reserve(id string, rank, prompt int, slack time.Duration) {
	b.Reserve(acaciaroute.Reservation{
		RequestID:    id,
		Class:        fmt.Sprint("c", rank),
		Rank:         rank,
		Organisation: "o",
		PromptTokens: prompt,
		Slack:        slack,
	}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
}

func (b *testGranter) lastOffer(id string) acaciaroute.Offer {
	offers := b.offers[id]
	if len(offers) == 0 {
		return acaciaroute.Offer{}
	}
	return offers[len(offers)-1]
}

func (b *testGranter) advance(d time.Duration) {
	b.loop.Run(b.loop.Now().Add(d))
}

func TestGrantIsUsedOnceAndExpires(t *testing.T) {
	b := newTestGranter(Settings{Plain: true, PlainLimit: 1})
	b.reserve("a", 1, 0, time.Minute)
	b.reserve("b", 1, 0, time.Minute)
	grant := b.lastOffer("a").GrantNumber
	assert.Equal(t, b.lastOffer("a").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, b.lastOffer("b").Kind, acaciaroute.OfferWaiting)
	_, ok := b.StartRun("a", grant)
	assert.Check(t, ok)
	_, again := b.StartRun("a", grant)
	assert.Check(t, !again)
	b.EndRun("a")
	assert.Equal(t, b.lastOffer("b").Kind, acaciaroute.OfferGranted)
	b.advance(2 * DefaultGrantLifetime)
	assert.Equal(t, b.lastOffer("b").Kind, acaciaroute.OfferRefused)
	_, late := b.StartRun("b", b.lastOffer("b").GrantNumber)
	assert.Check(t, !late)
}

func TestResumeAcceptsReservations(t *testing.T) {
	b := newTestGranter(Settings{Plain: true, PlainLimit: 1})
	b.Stop()
	b.reserve("early", 1, 0, time.Minute)
	assert.Equal(t, b.lastOffer("early").Kind, acaciaroute.OfferRefused)
	b.Resume()
	b.reserve("late", 1, 0, time.Minute)
	assert.Equal(t, b.lastOffer("late").Kind, acaciaroute.OfferGranted)
}

func TestStopRefusesWaitingAndKeepsRunningRequests(t *testing.T) {
	b := newTestGranter(Settings{Plain: true, PlainLimit: 1})
	b.reserve("running", 1, 0, time.Minute)
	_, ok := b.StartRun("running", b.lastOffer("running").GrantNumber)
	assert.Check(t, ok)
	b.reserve("waiting", 1, 0, time.Minute)
	b.Stop()
	b.reserve("new", 1, 0, time.Minute)
	assert.Equal(t, b.lastOffer("waiting").Kind, acaciaroute.OfferRefused)
	assert.Equal(t, b.lastOffer("new").Kind, acaciaroute.OfferRefused)
	assert.Check(t, !b.Idle())
	b.EndRun("running")
	assert.Check(t, b.Idle())
}

func TestReservationThatMissesItsDeadlineIsRefusedBeforePrefill(t *testing.T) {
	b := newTestGranter(Settings{})
	b.reserve("too-late", 1, 100_000, time.Second)
	assert.Equal(t, b.lastOffer("too-late").Kind, acaciaroute.OfferRefused)
	b.reserve("in-time", 1, 100_000, time.Minute)
	assert.Equal(t, b.lastOffer("in-time").Kind, acaciaroute.OfferGranted)
}

// Guards against a learned prefill rate that is too high because the end of another
// request resets the time from which a prefill is measured.
func TestPrefillRateIgnoresEndOfOtherRequests(t *testing.T) {
	const tokens, rate = 4000, 8000
	b := newTestGranter(Settings{})
	for i := range 40 {
		short, long := fmt.Sprint("short", i), fmt.Sprint("long", i)
		b.reserve(short, 1, 16, time.Minute)
		b.StartRun(short, b.lastOffer(short).GrantNumber)
		b.advance(time.Millisecond)
		b.ObserveTokens(short, 1)
		b.reserve(long, 1, tokens, time.Minute)
		b.StartRun(long, b.lastOffer(long).GrantNumber)
		for range 50 {
			b.advance(tokens * time.Second / rate / 100)
			b.ObserveTokens(short, 1)
		}
		b.EndRun(short)
		b.advance(tokens * time.Second / rate / 2)
		b.ObserveTokens(long, 1)
		b.EndRun(long)
	}
	learned := b.Hint().PrefillRate
	assert.Check(t, learned > 0.8*rate && learned < 1.2*rate, "learned %.0f tokens/s", learned)
}

func TestStragglingEndpointDelaysGrants(t *testing.T) {
	b := newTestGranter(Settings{})
	for range 20 {
		b.estimator.ObserveGap(b.loop.Now(), 10*time.Millisecond, 1, false)
		b.advance(10 * time.Millisecond)
	}
	b.advance(time.Second)
	b.estimator.ObserveGap(b.loop.Now(), time.Second, 1, false)
	b.reserve("a", 1, 100, time.Minute)
	assert.Equal(t, b.lastOffer("a").Kind, acaciaroute.OfferWaiting)
	b.advance(2 * stragglerDelay)
	assert.Equal(t, b.lastOffer("a").Kind, acaciaroute.OfferGranted)
}

func TestLowerClassIsNotGrantedBeforeHigherClass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestGranter(Settings{Plain: true, PlainLimit: rapid.IntRange(1, 3).Draw(t, "limit")})
		ranks := map[string]int{}
		for i := range rapid.IntRange(1, 50).Draw(t, "operations") {
			id := fmt.Sprint(i)
			other := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "other"))
			previousGrant := b.lastGrant
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1:
				ranks[id] = rapid.IntRange(1, 3).Draw(t, "rank")
				b.reserve(id, ranks[id], 0, time.Hour)
			case 2:
				b.StartRun(other, b.lastOffer(other).GrantNumber)
			case 3:
				b.EndRun(other)
			default:
				b.Withdraw(other)
			}
			if b.lastGrant == previousGrant {
				continue
			}
			b.queue.Each(func(item *acaciaqueue.Item) {
				for _, h := range b.heldGrants {
					if h.grant > previousGrant {
						assert.Assert(t, ranks[h.item.RequestID] >= item.Rank, "%s was granted before %s", h.item.RequestID, item.RequestID)
					}
				}
			})
		}
	})
}

// Guards against counting queued prompts as prefilled when the prompt before them takes
// longer than expected: the engine would be granted more and more prompts.
func TestSlowPrefillAdmitsNoMorePrompts(t *testing.T) {
	b := newTestGranter(Settings{})
	for i := range 200 {
		id := fmt.Sprint(i)
		b.Reserve(acaciaroute.Reservation{RequestID: id, Class: "c", PromptTokens: 1000, Slack: time.Hour}, func(offer acaciaroute.Offer) {
			if offer.Kind == acaciaroute.OfferGranted {
				b.loop.Post(func() { b.StartRun(id, offer.GrantNumber) })
			}
		})
		b.advance(20 * time.Millisecond)
	}
	// The estimator expects a prefill to take 250 ms, and no first token has
	// arrived.
	assert.Check(t, b.Running() <= 2, "%d prompts without a token", b.Running())
}

func TestRequestThatMustRunAloneRunsAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestGranter(Settings{CacheTokens: 10_000})
		exclusive := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			id := fmt.Sprint(i)
			other := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "other"))
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				exclusive[id] = rapid.IntRange(0, 3).Draw(t, "alone") == 0
				b.Reserve(acaciaroute.Reservation{
					RequestID:    id,
					Class:        "c",
					PromptTokens: 2000,
					Prefixes:     []uint64{uint64(rapid.IntRange(0, 5).Draw(t, "prefix"))},
					Slack:        time.Hour,
					Exclusive:    exclusive[id],
				}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
			case 2:
				b.StartRun(other, b.lastOffer(other).GrantNumber)
				b.ObserveTokens(other, 1)
			default:
				b.EndRun(other)
			}
			for id := range b.runs {
				assert.Assert(t, !exclusive[id] || len(b.runs)+len(b.heldGrants) == 1, "%s does not run alone", id)
			}
		}
	})
}

// Guards against preferring a request that must run alone for its cached prefix while the
// endpoint is busy.
func TestCachedPrefixDoesNotBypassIsolation(t *testing.T) {
	b := newTestGranter(Settings{})
	reserve := func(id string, prefix uint64, exclusive bool) {
		b.Reserve(acaciaroute.Reservation{
			RequestID: id, Class: "c", PromptTokens: 2000, Prefixes: []uint64{prefix}, Slack: time.Hour, Exclusive: exclusive,
		}, func(offer acaciaroute.Offer) { b.offers[id] = append(b.offers[id], offer) })
	}
	reserve("first", 0, false)
	b.StartRun("first", b.lastOffer("first").GrantNumber)
	b.ObserveTokens("first", 1)
	reserve("second", 1, false)
	b.StartRun("second", b.lastOffer("second").GrantNumber)
	reserve("third", 2, false)
	reserve("alone", 0, true)
	b.ObserveTokens("second", 1)
	assert.Equal(t, b.lastOffer("third").Kind, acaciaroute.OfferGranted)
	assert.Equal(t, b.lastOffer("alone").Kind, acaciaroute.OfferWaiting)
}

// An entry may repeat a reservation over a new connection before the agent has noticed the
// end of the old one. The late withdrawal of the old one must not end the new one.
func TestWithdrawOfReplacedReservationKeepsNewOne(t *testing.T) {
	for name, free := range map[string]bool{"waiting": false, "granted": true} {
		t.Run(name, func(t *testing.T) {
			b := newTestGranter(Settings{Plain: true, PlainLimit: 1})
			b.reserve("running", 1, 0, time.Minute)
			_, ok := b.StartRun("running", b.lastOffer("running").GrantNumber)
			assert.Assert(t, ok)
			if free {
				b.EndRun("running")
			}
			var old, renewed []acaciaroute.Offer
			reservation := acaciaroute.Reservation{RequestID: "r", Class: "c", Rank: 1, Slack: time.Minute}
			withdrawOld := b.Reserve(reservation, func(offer acaciaroute.Offer) { old = append(old, offer) })
			b.Reserve(reservation, func(offer acaciaroute.Offer) { renewed = append(renewed, offer) })
			withdrawOld()
			b.EndRun("running")
			assert.Equal(t, len(old), 1)
			last := renewed[len(renewed)-1]
			assert.Equal(t, last.Kind, acaciaroute.OfferGranted)
			if free {
				_, stale := b.StartRun("r", old[0].GrantNumber)
				assert.Check(t, !stale, "a replaced grant was accepted")
			}
			_, ok = b.StartRun("r", last.GrantNumber)
			assert.Check(t, ok)
			b.EndRun("r")
			assert.Check(t, b.Idle())
		})
	}
}

// pausedLoop is the loop of a process that was paused: its clock has advanced by timerDelay,
// but the timers due in that time have not run yet.
type pausedLoop struct {
	*acacialoop.Virtual
	timerDelay time.Duration
}

func (l *pausedLoop) Now() time.Time {
	return l.Virtual.Now().Add(l.timerDelay)
}

// When a paused agent resumes, a request may reach it before the timer that expires its
// grant has run.
func TestExpiredGrantIsRejectedBeforeItsTimerRuns(t *testing.T) {
	loop := &pausedLoop{Virtual: acacialoop.NewVirtual(startTime)}
	granter := New(loop, Settings{Plain: true, PlainLimit: 2})
	grants := map[string]uint64{}
	for _, id := range []string{"soon", "late"} {
		granter.Reserve(acaciaroute.Reservation{RequestID: id, Class: "c", Slack: time.Minute}, func(offer acaciaroute.Offer) { grants[id] = offer.GrantNumber })
	}
	loop.timerDelay = DefaultGrantLifetime - time.Millisecond
	_, ok := granter.StartRun("soon", grants["soon"])
	assert.Check(t, ok)
	loop.timerDelay = DefaultGrantLifetime
	_, ok = granter.StartRun("late", grants["late"])
	assert.Check(t, !ok, "an expired grant was accepted")
}
