package acaciacapacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciachoice"
	"github.com/acaciaroute/acaciaroute/acaciaconfiguration"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciagrant"
	"github.com/acaciaroute/acaciaroute/acaciakey"
	"github.com/acaciaroute/acaciaroute/acacialog"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

var startTime = time.Unix(1_800_000_000, 0)

// benchmarkSizes runs a benchmark at several sizes, so that the cost per item can be
// derived from the differences.
func benchmarkSizes(b *testing.B, parameter string, values []int, run func(b *testing.B, n int)) {
	for _, n := range values {
		b.Run(fmt.Sprintf("%s=%d", parameter, n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

// heapBytes returns the bytes of heap objects in use after garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// reportHeapPerItem reports the heap bytes per item of the value that build returns for
// n items.
func reportHeapPerItem(b *testing.B, n int, build func() any) {
	for b.Loop() {
		before := heapBytes()
		kept := build()
		after := heapBytes()
		b.ReportMetric(float64(after-before)/float64(n), "B/item")
		runtime.KeepAlive(kept)
	}
}

// immediateGrantLink is a link to agents that grant every reservation at once.
type immediateGrantLink struct{}

func (immediateGrantLink) Reserve(_ string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferGranted, Hint: acaciaroute.Hint{PrefillRate: 8000}})
}

func (immediateGrantLink) Withdraw(string, string) {}

func sampleReservation(id int) acaciaroute.Reservation {
	prefixes := make([]uint64, 6)
	for i := range prefixes {
		prefixes[i] = uint64(id%50)<<8 + uint64(i)
	}
	return acaciaroute.Reservation{
		RequestID:    fmt.Sprintf("01a23efe-f3d5-7a74-941f-%012d", id),
		Service:      "zeichner",
		Model:        "passage-plan",
		Class:        "note",
		Rank:         2,
		Organisation: fmt.Sprint("organisation-", id%50),
		PromptTokens: 800,
		OutputTokens: 200,
		Prefixes:     prefixes,
		Slack:        time.Minute,
		TokenGap:     69 * time.Millisecond,
	}
}

// BenchmarkEntryDecision measures the choice of an endpoint for one request.
func BenchmarkEntryDecision(b *testing.B) {
	benchmarkSizes(b, "endpoints", []int{10, 100, 1000}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(startTime)
		random := rand.New(rand.NewPCG(1, 1))
		chooser := acaciachoice.New(loop, acaciachoice.NewLateBinding(random), immediateGrantLink{}, "ost", random)
		endpoints := make([]acaciachoice.Endpoint, n)
		for i := range endpoints {
			endpoints[i].VM = acaciaroute.VM{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Service: "zeichner", Models: []string{"passage-plan"}, Region: "ost", State: acaciaroute.VMLive}
		}
		chooser.SetEndpoints(endpoints)
		i := 0
		for b.Loop() {
			i++
			chooser.Submit(sampleReservation(i), false, func(acaciachoice.Decision) {})
		}
	})
}

// BenchmarkAgentDecision measures a new reservation and the end of a running request at an
// agent that runs one request at a time, while n reservations wait.
func BenchmarkAgentDecision(b *testing.B) {
	benchmarkSizes(b, "waiting", []int{10, 100, 1000}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(startTime)
		granter := acaciagrant.New(loop, acaciagrant.Settings{Plain: true, PlainLimit: 1})
		var granted acaciaroute.Offer
		notify := func(offer acaciaroute.Offer) {
			if offer.Kind == acaciaroute.OfferGranted {
				granted = offer
			}
		}
		for i := range n + 1 {
			granter.Reserve(sampleReservation(i), notify)
		}
		i := n + 1
		for b.Loop() {
			i++
			id := granted.RequestID
			granter.StartRun(id, granted.GrantNumber)
			granter.Reserve(sampleReservation(i), notify)
			granter.EndRun(id)
		}
	})
}

// BenchmarkTokenAtAgent measures the handling of one token at an agent. It reports the
// number of running requests, which may be lower than n if the agent grants fewer.
func BenchmarkTokenAtAgent(b *testing.B) {
	benchmarkSizes(b, "running", []int{4, 16, 64}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(startTime)
		granter := acaciagrant.New(loop, acaciagrant.Settings{})
		var ids []string
		for i := 0; len(ids) < n && i < 100*n; i++ {
			r := sampleReservation(i)
			r.Slack = time.Hour
			granter.Reserve(r, func(offer acaciaroute.Offer) {
				if offer.Kind != acaciaroute.OfferGranted {
					return
				}
				loop.Post(func() {
					if _, ok := granter.StartRun(offer.RequestID, offer.GrantNumber); ok {
						ids = append(ids, offer.RequestID)
					}
				})
			})
			loop.Run(loop.Now().Add(time.Millisecond))
			for range 3 {
				loop.Run(loop.Now().Add(10 * time.Millisecond))
				for _, id := range ids {
					granter.ObserveTokens(id, 1)
				}
			}
		}
		i := 0
		for b.Loop() {
			i++
			granter.ObserveTokens(ids[i%len(ids)], 1)
		}
		b.ReportMetric(float64(len(ids)), "running")
	})
}

// targetsText returns a targets file with one service, one class and a number of
// organisations.
func targetsText(organisations int) string {
	var text strings.Builder
	text.WriteString("[[service]]\nname = \"zeichner\"\nkind = \"model\"\nmodels = [\"passage-plan\"]\n")
	text.WriteString("[[class]]\nname = \"note\"\nservices = [\"zeichner\"]\nyield_order = 1\nserved_share = 0.9\nfirst_token = \"2s\"\nwhole_time = \"60s\"\n")
	for i := range organisations {
		sum := sha256.Sum256([]byte(fmt.Sprint("key-", i)))
		fmt.Fprintf(&text, "[[organisation]]\nname = \"organisation-%d\"\nkey_hashes = [%q]\nclasses = [\"note\"]\n", i, hex.EncodeToString(sum[:]))
	}
	return text.String()
}

func BenchmarkAPIKeyCheck(b *testing.B) {
	benchmarkSizes(b, "organisations", []int{5, 50, 2900}, func(b *testing.B, n int) {
		targets, err := acaciatarget.Parse([]byte(targetsText(n)))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			targets.OrganisationOfKey("key-3")
		}
	})
}

func BenchmarkConfigurationValidation(b *testing.B) {
	benchmarkSizes(b, "organisations", []int{5, 50, 2900}, func(b *testing.B, n int) {
		text := targetsText(n)
		data, err := acaciaconfiguration.Publication{ProposalID: "p", Targets: text}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			validator := acaciaconfiguration.NewValidator(0)
			if !validator.Validate(acaciaroute.Record{Data: data}).Accepted {
				b.Fatal("the publication was rejected")
			}
		}
		b.ReportMetric(float64(len(text)), "B/publication")
		b.ReportMetric(float64(len(data)), "B/record")
	})
}

func BenchmarkMemoryOfConfiguration(b *testing.B) {
	benchmarkSizes(b, "organisations", []int{50, 500, 2900}, func(b *testing.B, n int) {
		text := targetsText(n)
		reportHeapPerItem(b, n, func() any {
			targets, err := acaciatarget.Parse([]byte(text))
			if err != nil {
				b.Fatal(err)
			}
			return targets
		})
	})
}

func BenchmarkMemoryOfWaitingReservation(b *testing.B) {
	benchmarkSizes(b, "waiting", []int{1000, 10_000}, func(b *testing.B, n int) {
		reportHeapPerItem(b, n, func() any {
			granter := acaciagrant.New(acacialoop.NewVirtual(startTime), acaciagrant.Settings{Plain: true, PlainLimit: 1})
			for i := range n {
				granter.Reserve(sampleReservation(i), func(acaciaroute.Offer) {})
			}
			return granter
		})
	})
}

func BenchmarkMemoryOfIdempotencyKey(b *testing.B) {
	benchmarkSizes(b, "keys", []int{10_000, 100_000}, func(b *testing.B, n int) {
		reportHeapPerItem(b, n, func() any {
			claims := map[string]acaciakey.Claim{}
			for i := range n {
				claim := acaciakey.Claim{
					KeyHash:       acaciakey.KeyHash("organisation", "zeichner", fmt.Sprint(i)),
					RequestDigest: acaciakey.RequestDigest("POST", "/", fmt.Append(nil, i)),
					RequestID:     fmt.Sprintf("01a23efe-f3d5-7a74-941f-%012d", i),
					Entry:         "10.0.0.1:7000",
					At:            startTime,
				}
				claims[claim.KeyHash] = claim
			}
			return claims
		})
	})
}

// sampleEvent returns an event of a request with the inputs of a decision.
func sampleEvent(i int) acaciaevent.Event {
	return acaciaevent.Event{
		Kind:      acaciaevent.RequestArrived,
		RequestID: fmt.Sprintf("01a23efe-f3d5-7a74-941f-%012d", i),
		Class:     "note",
		Inputs:    &acaciaevent.Inputs{TargetsVersion: 7, Waited: acaciaevent.RoundDuration(time.Millisecond), Endpoints: 58, Asked: 2},
	}
}

func BenchmarkMemoryOfEvent(b *testing.B) {
	benchmarkSizes(b, "events", []int{1000, 10_000}, func(b *testing.B, n int) {
		reportHeapPerItem(b, n, func() any {
			recorder := acaciaevent.NewRecorder("p", acaciaevent.NewClock(time.Now), logr.Discard(), n)
			for i := range n {
				recorder.Record(sampleEvent(i))
			}
			return recorder
		})
	})
}

// BenchmarkLoggedEvent measures the recording of an event whose log line is written and,
// with a limit of one line per second, of one whose log line is dropped.
func BenchmarkLoggedEvent(b *testing.B) {
	benchmarkSizes(b, "lines", []int{1, 1 << 30}, func(b *testing.B, n int) {
		lines := acacialog.NewWriter(io.Discard, acacialog.DefaultBufferBytes)
		log := logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{LinesPerSecond: n}))
		recorder := acaciaevent.NewRecorder("p", acaciaevent.NewClock(time.Now), log, acaciaevent.DefaultCapacity)
		for b.Loop() {
			recorder.Record(sampleEvent(0))
		}
		lines.Close(context.Background())
	})
}

func BenchmarkMessageBytes(b *testing.B) {
	full := sampleReservation(1)
	offer := acaciaroute.Offer{Kind: acaciaroute.OfferWaiting, ExpectedWait: time.Second, Hint: acaciaroute.Hint{Waiting: 10, ExpectedWait: time.Second, TokenGap: 30 * time.Millisecond, PrefillRate: 8000, ConfigurationVersion: 900}}
	chunk := &acaciawire.Chunk{RequestId: full.RequestID, Grant: 1 << 60, Offset: 10_000, Data: make([]byte, 200), Clock: 1 << 60}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(acaciawire.ReservationToMessage(full))), "B/reservation")
		b.ReportMetric(float64(proto.Size(acaciawire.OfferToMessage(offer))), "B/offer")
		b.ReportMetric(float64(proto.Size(chunk)-200), "B/chunk-overhead")
	}
}
