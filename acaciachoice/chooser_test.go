package acaciachoice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acacialoop"
)

// fakeLink records what a chooser sends and lets the test answer.
type fakeLink struct {
	asked     []string
	notify    map[string]func(acaciaroute.Offer)
	withdrawn []string
}

func (l *fakeLink) Reserve(address string, _ acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	l.asked = append(l.asked, address)
	l.notify[address] = notify
}

func (l *fakeLink) Withdraw(address, _ string) {
	l.withdrawn = append(l.withdrawn, address)
}

// bench is a chooser before ten endpoints, with what it decided.
type bench struct {
	loop      *acacialoop.Virtual
	link      *fakeLink
	chooser   *Chooser
	decisions []Decision
}

const endpointCount = 10

func newBench() *bench {
	b := &bench{loop: acacialoop.NewVirtual(time.Unix(0, 0)), link: &fakeLink{notify: map[string]func(acaciaroute.Offer){}}}
	random := rand.New(rand.NewPCG(1, 1))
	b.chooser = New(b.loop, NewLateBinding(random), b.link, "ost", random)
	b.list("")
	return b
}

// list gives the chooser its endpoints, one of them leaving.
func (b *bench) list(leaving string) {
	var endpoints []Endpoint
	for i := range endpointCount {
		vm := acaciaroute.VM{ID: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "s", Region: "ost", State: acaciaroute.VMLive}
		if vm.ID == leaving {
			vm.State = acaciaroute.VMLeaving
		}
		endpoints = append(endpoints, Endpoint{VM: vm})
	}
	b.chooser.SetEndpoints(endpoints)
}

func (b *bench) submit(yieldsFirst bool) {
	reservation := acaciaroute.Reservation{RequestID: "r", Service: "s", Slack: 10 * time.Second}
	b.chooser.Submit(reservation, yieldsFirst, func(d Decision) { b.decisions = append(b.decisions, d) })
}

func (b *bench) pass(d time.Duration) {
	b.loop.Run(b.loop.Now().Add(d))
}

// answerAll gives the same answer to every reservation so far.
func (b *bench) answerAll(kind acaciaroute.OfferKind, wait time.Duration) {
	for _, address := range slices.Clone(b.link.asked) {
		if len(b.decisions) == 0 {
			b.link.notify[address](acaciaroute.Offer{RequestID: "r", Kind: kind, Wait: wait})
		}
	}
}

func TestFirstGrantIsTakenAndTheRestWithdrawn(t *testing.T) {
	b := newBench()
	b.submit(false)
	b.pass(50 * time.Millisecond)
	assert.Check(t, len(b.link.asked) > 1)
	first, second := b.link.asked[0], b.link.asked[1]
	b.link.notify[second](acaciaroute.Offer{Kind: acaciaroute.OfferGranted, Grant: 7})
	b.link.notify[first](acaciaroute.Offer{Kind: acaciaroute.OfferGranted, Grant: 8})
	assert.Equal(t, len(b.decisions), 1)
	assert.Equal(t, b.decisions[0].Candidate.ID, second)
	assert.Check(t, !slices.Contains(b.link.withdrawn, second))
	assert.Check(t, slices.Contains(b.link.withdrawn, first))
}

func TestGrantOfALeavingEndpointIsNotTaken(t *testing.T) {
	b := newBench()
	b.submit(false)
	leaving := b.link.asked[0]
	b.list(leaving)
	b.link.notify[leaving](acaciaroute.Offer{Kind: acaciaroute.OfferGranted, Grant: 1})
	assert.Equal(t, len(b.decisions), 0)
	assert.Check(t, slices.Contains(b.link.withdrawn, leaving))
	b.pass(50 * time.Millisecond)
	other := b.link.asked[len(b.link.asked)-1]
	b.link.notify[other](acaciaroute.Offer{Kind: acaciaroute.OfferGranted, Grant: 2})
	assert.Equal(t, b.decisions[0].Candidate.ID, other)
}

func TestHigherClassIsShedOnlyOnTheWordOfAll(t *testing.T) {
	b := newBench()
	b.submit(false)
	for range endpointCount {
		b.answerAll(acaciaroute.OfferHopeless, 3*time.Second)
		b.pass(100 * time.Millisecond)
		if len(b.decisions) > 0 {
			break
		}
	}
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeShed)
	assert.Equal(t, b.decisions[0].Asked, endpointCount)
	retry := b.decisions[0].RetryAfter
	assert.Check(t, retry >= 3*time.Second && retry <= 4*time.Second, "retry after %s", retry)
}

func TestClassThatYieldsFirstIsShedOnTheWordOfAFew(t *testing.T) {
	b := newBench()
	b.submit(true)
	for range endpointCount {
		b.answerAll(acaciaroute.OfferHopeless, time.Second)
		b.pass(100 * time.Millisecond)
	}
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeShed)
	assert.Equal(t, b.decisions[0].Asked, fewAsked)
}

func TestDeadEndpointsDoNotCountAmongTheFew(t *testing.T) {
	b := newBench()
	b.submit(true)
	for len(b.decisions) == 0 {
		b.answerAll(acaciaroute.OfferRefused, 0)
		b.pass(100 * time.Millisecond)
	}
	assert.Equal(t, b.decisions[0].Asked, endpointCount)
}

func TestSilentAgentsEndInARefusalAtTheDeadline(t *testing.T) {
	b := newBench()
	b.submit(false)
	b.pass(11 * time.Second)
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeDeadlineTooNear)
	assert.Equal(t, len(b.link.withdrawn), len(b.link.asked))
	assert.Equal(t, b.chooser.Waiting(), 0)
}

func (b *bench) submitPrompt(yieldsFirst bool) {
	reservation := acaciaroute.Reservation{
		RequestID: "r", Service: "s", Slack: 10 * time.Second, PromptTokens: 2000, Prefixes: []uint64{1, 2, 3},
	}
	b.chooser.Submit(reservation, yieldsFirst, func(d Decision) { b.decisions = append(b.decisions, d) })
}

func TestAllEntriesAskTheSameFewForAPrefixOfTheClassThatYieldsFirst(t *testing.T) {
	first, second := newBench(), newBench()
	second.chooser.random = rand.New(rand.NewPCG(2, 2))
	for _, b := range []*bench{first, second} {
		b.submitPrompt(true)
		for range endpointCount {
			b.answerAll(acaciaroute.OfferWaiting, time.Second)
			b.pass(100 * time.Millisecond)
		}
	}
	few := func(b *bench) []string {
		ask := NewLateBinding(b.chooser.random).(*lateBinding)
		request := b.chooser.requests["r"]
		var ids []string
		for _, position := range ask.affine(acaciaroute.Question{Reservation: request.reservation, Candidates: request.candidates}, affineAsk) {
			ids = append(ids, request.candidates[position].ID)
		}
		return ids
	}
	assert.DeepEqual(t, few(first), few(second))
	for _, id := range few(first) {
		assert.Check(t, slices.Contains(first.link.asked, id) && slices.Contains(second.link.asked, id))
	}
	assert.Equal(t, len(first.link.asked), fewAsked)
}

func TestNobodyWaitsForAStraggler(t *testing.T) {
	for straggling, asked := range map[bool]int{false: 1, true: 3} {
		b := newBench()
		b.submitPrompt(false)
		hint := acaciaroute.Hint{PrefillRate: 400, Straggling: straggling}
		b.link.notify[b.link.asked[0]](acaciaroute.Offer{Kind: acaciaroute.OfferWaiting, CachedTokens: 256, Hint: hint})
		b.pass(answerTime)
		assert.Equal(t, len(b.link.asked), asked, "straggling %v", straggling)
	}
}

func TestStragglerIsNotAskedFirstForItsPrefix(t *testing.T) {
	b := newBench()
	b.submitPrompt(false)
	holder := b.link.asked[0]
	b.chooser.Cancel("r")
	b.chooser.Hint(holder, acaciaroute.Hint{Straggling: true})
	b.submitPrompt(false)
	assert.Check(t, b.link.asked[1] != holder)
}

func TestLinkBudgetLeavesTheReserveToClassesAbove(t *testing.T) {
	const low, high = 1, 2
	now := time.Unix(0, 0)
	b := newLinkBudget()
	b.setRate(now, 100_000)
	assert.Check(t, b.open(now, high) && b.open(now, low))
	for range 4 {
		b.spend(now, "low")
	}
	assert.Check(t, b.open(now, high) && !b.open(now, low))
	b.spend(now, "high")
	assert.Check(t, !b.open(now, high))
	// Longer answers than expected are paid back, and expected from then on.
	b.settle(now, "low", 20_000, 80_000)
	assert.Equal(t, b.spend(now, "low"), int64(80_000))
	now = now.Add(time.Minute)
	assert.Check(t, b.open(now, low))
	b.wait(now, high, 1)
	assert.Check(t, b.open(now, high) && !b.open(now, low))
	b.wait(now, high, -1)
	assert.Check(t, !b.open(now, low))
	assert.Check(t, b.open(now.Add(linkPause), low))
}

func TestLowerClassGivesUpPlacesInOtherRegionsForAHigherOne(t *testing.T) {
	b := newBench()
	var endpoints []Endpoint
	for i := range 2 {
		vm := acaciaroute.VM{ID: fmt.Sprint("e", i), Address: fmt.Sprint("e", i), Service: "s", Region: "west", State: acaciaroute.VMLive}
		endpoints = append(endpoints, Endpoint{VM: vm})
	}
	b.chooser.SetEndpoints(endpoints)
	b.chooser.SetLink(100_000)
	submit := func(id string, rank int) {
		reservation := acaciaroute.Reservation{RequestID: id, Service: "s", Class: id, Rank: rank, Slack: 10 * time.Second}
		b.chooser.Submit(reservation, false, func(d Decision) { b.decisions = append(b.decisions, d) })
	}
	submit("low", 1)
	assert.Equal(t, len(b.link.asked), 2)
	b.chooser.SettleLink("other", 0, 200_000)
	submit("high", 2)
	assert.DeepEqual(t, b.link.withdrawn, b.link.asked)
	b.pass(5 * time.Second)
	assert.Equal(t, len(b.link.asked), 6, "both ask once the budget is there again")
}

func TestClassThatYieldsFirstIsNotShedWhileAnEndpointHasRoom(t *testing.T) {
	b := newBench()
	const roomy = "e9"
	b.submitPrompt(true)
	for range endpointCount {
		if slices.Contains(b.link.asked, roomy) {
			t.Fatal("the endpoint with room is among the few")
		}
		for _, address := range slices.Clone(b.link.asked) {
			b.link.notify[address](acaciaroute.Offer{RequestID: "r", Kind: acaciaroute.OfferWaiting})
		}
		b.pass(100 * time.Millisecond)
	}
	assert.Equal(t, len(b.link.asked), fewAsked)
	b.chooser.Cancel("r")
	b.chooser.Hint(roomy, acaciaroute.Hint{Free: 3})
	b.link.asked = nil
	b.submitPrompt(true)
	for range endpointCount {
		for _, address := range slices.Clone(b.link.asked) {
			if address != roomy {
				b.link.notify[address](acaciaroute.Offer{RequestID: "r", Kind: acaciaroute.OfferHopeless})
			}
		}
		b.pass(20 * time.Millisecond)
	}
	assert.Check(t, slices.Contains(b.link.asked, roomy), "asked %v", b.link.asked)
	assert.Equal(t, len(b.decisions), 0)
}

// A request once waited a quarter of its slack at an endpoint that had become slow
// after it was asked.
func TestOthersAreAskedWhenTheEndpointAskedFirstBecomesSlow(t *testing.T) {
	b := newBench()
	b.submitPrompt(false)
	first := b.link.asked[0]
	offer := acaciaroute.Offer{Kind: acaciaroute.OfferWaiting, CachedTokens: 256, Hint: acaciaroute.Hint{PrefillRate: 400}}
	b.link.notify[first](offer)
	b.pass(2 * answerTime)
	assert.Equal(t, len(b.link.asked), 1)
	offer.Hint.Straggling = true
	b.link.notify[first](offer)
	assert.Check(t, len(b.link.asked) > 1)
}

func TestEndpointThatGaveARequestBackIsNotAskedFirst(t *testing.T) {
	b := newBench()
	b.submitPrompt(false)
	holder := b.link.asked[0]
	b.chooser.Cancel("r")
	b.chooser.Straggled(holder)
	b.submitPrompt(false)
	assert.Check(t, b.link.asked[1] != holder)
}

func TestOtherRegionIsAskedSoonerWhileTheOwnOneHasAStraggler(t *testing.T) {
	for straggling, patience := range map[bool]time.Duration{false: 2500 * time.Millisecond, true: 500 * time.Millisecond} {
		b := newBench()
		b.chooser.endpoints[endpointCount-1].Region = "west"
		far := b.chooser.endpoints[endpointCount-1].Address
		b.submit(false)
		asked := func() bool { return slices.Contains(b.link.asked, far) }
		for step := 0; !asked() && step < 200; step++ {
			for _, address := range b.link.asked {
				b.link.notify[address](acaciaroute.Offer{Kind: acaciaroute.OfferWaiting, Hint: acaciaroute.Hint{Straggling: straggling}})
			}
			b.pass(20 * time.Millisecond)
		}
		waited := b.loop.Now().Sub(time.Unix(0, 0))
		assert.Check(t, asked() && waited >= patience && waited <= patience+100*time.Millisecond, "straggling %v: %s", straggling, waited)
	}
}

// With a single endpoint there is nowhere else to start.
func TestOnlyEndpointIsNotToGiveARequestBack(t *testing.T) {
	for count, want := range map[int]bool{1: false, 2: true} {
		b := newBench()
		b.chooser.endpoints = b.chooser.endpoints[:count]
		b.chooser.Submit(acaciaroute.Reservation{RequestID: "r", Service: "s", Slack: time.Second, Repeatable: true}, false, func(Decision) {})
		assert.Equal(t, b.chooser.requests["r"].reservation.Repeatable, want)
	}
}

// A request that must run alone once was shed because the one agent asked still had
// its first run.
func TestRequestThatMustRunAloneAsksOneAfterAnother(t *testing.T) {
	for kind, asked := range map[acaciaroute.OfferKind]int{acaciaroute.OfferRefused: 2, acaciaroute.OfferHopeless: 1} {
		b := newBench()
		reservation := acaciaroute.Reservation{RequestID: "r", Service: "s", Slack: 10 * time.Second, Alone: true}
		b.chooser.Submit(reservation, false, func(d Decision) { b.decisions = append(b.decisions, d) })
		b.pass(50 * time.Millisecond)
		assert.Equal(t, len(b.link.asked), 1)
		b.link.notify[b.link.asked[0]](acaciaroute.Offer{RequestID: "r", Kind: kind})
		assert.Equal(t, len(b.link.asked), asked, "after %s", kind)
		assert.Equal(t, len(b.decisions), 2-asked, "after %s", kind)
	}
}

// Load pattern: an endpoint dies under many requests at once, and each of them looks for
// another place.
func TestEndpointsToAvoidAreNotAsked(t *testing.T) {
	b := newBench()
	avoid := []string{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	reservation := acaciaroute.Reservation{RequestID: "r", Service: "s", Slack: 10 * time.Second, Avoid: avoid}
	b.chooser.Submit(reservation, false, func(d Decision) { b.decisions = append(b.decisions, d) })
	b.pass(time.Second)
	assert.DeepEqual(t, b.link.asked, []string{"e9"})
}

func TestRequestWhoseAgentsCannotBeReachedIsNotToldThatTheyDeclined(t *testing.T) {
	for name, test := range map[string]struct {
		offer acaciaroute.Offer
		code  acaciaroute.Code
		after time.Duration
	}{
		"unreached": {acaciaroute.Offer{Kind: acaciaroute.OfferRefused, Unreached: true}, acaciaroute.CodeNoEndpoint, 2500 * time.Millisecond},
		"stopping":  {acaciaroute.Offer{Kind: acaciaroute.OfferRefused}, acaciaroute.CodeNoEndpoint, 2500 * time.Millisecond},
		"too late":  {acaciaroute.Offer{Kind: acaciaroute.OfferRefused, TooLate: true}, acaciaroute.CodeShed, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			b.submit(false)
			began := b.loop.Now()
			for len(b.decisions) == 0 {
				b.pass(10 * time.Millisecond)
				for _, address := range slices.Clone(b.link.asked) {
					b.link.notify[address](test.offer)
				}
			}
			assert.Equal(t, b.decisions[0].Code, test.code)
			assert.Equal(t, b.decisions[0].Declined, endpointCount)
			waited := b.loop.Now().Sub(began)
			assert.Check(t, waited >= test.after && waited < test.after+time.Second, "told after %s", waited)
		})
	}
}

// Load pattern: all endpoints of a service are gone for a moment.
func TestRequestWaitsForTheFirstEndpointThatComesBack(t *testing.T) {
	b := newBench()
	b.chooser.SetEndpoints(nil)
	b.submit(false)
	b.pass(time.Second)
	assert.Equal(t, len(b.decisions), 0)
	b.list("")
	assert.Check(t, len(b.link.asked) > 0, "nobody was asked when the list changed")
	b.link.notify[b.link.asked[0]](acaciaroute.Offer{Kind: acaciaroute.OfferGranted, Grant: 1})
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeOK)
}

func TestRequestIsGivenUpAfterAShareOfItsTimeWithoutAnEndpoint(t *testing.T) {
	b := newBench()
	b.chooser.SetEndpoints(nil)
	b.submit(false)
	b.pass(2400 * time.Millisecond)
	assert.Equal(t, len(b.decisions), 0)
	b.pass(200 * time.Millisecond)
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeNoEndpoint)
	retry := b.decisions[0].RetryAfter
	assert.Check(t, retry >= unservedPause && retry <= 2*unservedPause, "%s", retry)
	assert.Equal(t, b.chooser.Waiting(), 0)
}

func TestRequestThatHasRunDoesNotWaitForAnotherEndpoint(t *testing.T) {
	b := newBench()
	b.chooser.SetEndpoints([]Endpoint{{VM: acaciaroute.VM{ID: "e0", Address: "e0", Service: "s", Region: "ost", State: acaciaroute.VMLive}}})
	reservation := acaciaroute.Reservation{RequestID: "r", Service: "s", Slack: 10 * time.Second, Avoid: []string{"e0"}}
	b.chooser.Submit(reservation, false, func(d Decision) { b.decisions = append(b.decisions, d) })
	assert.Equal(t, len(b.decisions), 1)
	assert.Equal(t, b.decisions[0].Code, acaciaroute.CodeNoEndpoint)
}
