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

var start = time.Unix(1_800_000_000, 0)

// sizes runs a benchmark at several sizes, so that the result is a slope.
func sizes(b *testing.B, what string, values []int, run func(b *testing.B, n int)) {
	for _, n := range values {
		b.Run(fmt.Sprintf("%s=%d", what, n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, n)
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// held reports the bytes that build keeps for each of n things.
func held(b *testing.B, n int, build func() any) {
	for b.Loop() {
		before := heap()
		kept := build()
		after := heap()
		b.ReportMetric(float64(after-before)/float64(n), "B/item")
		runtime.KeepAlive(kept)
	}
}

// grantingLink grants every reservation at once.
type grantingLink struct{}

func (grantingLink) Reserve(_ string, reservation acaciaroute.Reservation, notify func(acaciaroute.Offer)) {
	notify(acaciaroute.Offer{RequestID: reservation.RequestID, Kind: acaciaroute.OfferGranted, Hint: acaciaroute.Hint{PrefillRate: 8000}})
}

func (grantingLink) Withdraw(string, string) {}

func reservation(id int) acaciaroute.Reservation {
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

func BenchmarkEntryDecision(b *testing.B) {
	sizes(b, "endpoints", []int{10, 100, 1000}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(start)
		random := rand.New(rand.NewPCG(1, 1))
		chooser := acaciachoice.New(loop, acaciachoice.NewLateBinding(random), grantingLink{}, "ost", random)
		endpoints := make([]acaciachoice.Endpoint, n)
		for i := range endpoints {
			endpoints[i].VM = acaciaroute.VM{ID: fmt.Sprint(i), Address: fmt.Sprint(i), Service: "zeichner", Models: []string{"passage-plan"}, Region: "ost", State: acaciaroute.VMLive}
		}
		chooser.SetEndpoints(endpoints)
		i := 0
		for b.Loop() {
			i++
			chooser.Submit(reservation(i), false, func(acaciachoice.Decision) {})
		}
	})
}

func BenchmarkAgentDecision(b *testing.B) {
	sizes(b, "waiting", []int{10, 100, 1000}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(start)
		granter := acaciagrant.New(loop, acaciagrant.Settings{Plain: true, PlainLimit: 1})
		var granted acaciaroute.Offer
		notify := func(offer acaciaroute.Offer) {
			if offer.Kind == acaciaroute.OfferGranted {
				granted = offer
			}
		}
		for i := range n + 1 {
			granter.Reserve(reservation(i), notify)
		}
		i := n + 1
		for b.Loop() {
			i++
			id := granted.RequestID
			granter.Begin(id, granted.Grant)
			granter.Reserve(reservation(i), notify)
			granter.End(id)
		}
	})
}

func BenchmarkTokenAtAgent(b *testing.B) {
	sizes(b, "running", []int{4, 16, 64}, func(b *testing.B, n int) {
		loop := acacialoop.NewVirtual(start)
		granter := acaciagrant.New(loop, acaciagrant.Settings{})
		var ids []string
		for i := 0; len(ids) < n && i < 100*n; i++ {
			r := reservation(i)
			r.Slack = time.Hour
			granter.Reserve(r, func(offer acaciaroute.Offer) {
				if offer.Kind != acaciaroute.OfferGranted {
					return
				}
				loop.Post(func() {
					if _, ok := granter.Begin(offer.RequestID, offer.Grant); ok {
						ids = append(ids, offer.RequestID)
					}
				})
			})
			loop.Run(loop.Now().Add(time.Millisecond))
			for range 3 {
				loop.Run(loop.Now().Add(10 * time.Millisecond))
				for _, id := range ids {
					granter.Token(id, 1)
				}
			}
		}
		i := 0
		for b.Loop() {
			i++
			granter.Token(ids[i%len(ids)], 1)
		}
		b.ReportMetric(float64(len(ids)), "running")
	})
}

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

func BenchmarkCallerKeyCheck(b *testing.B) {
	sizes(b, "organisations", []int{5, 50, 2900}, func(b *testing.B, n int) {
		targets, err := acaciatarget.Parse([]byte(targetsText(n)))
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			targets.OrganisationOfKey("key-3")
		}
	})
}

func BenchmarkConfigurationJudged(b *testing.B) {
	sizes(b, "organisations", []int{5, 50, 2900}, func(b *testing.B, n int) {
		text := targetsText(n)
		data, err := acaciaconfiguration.Publication{ProposalID: "p", Targets: text}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			judge := acaciaconfiguration.NewJudge(0)
			if !judge.Judge(acaciaroute.Record{Data: data}).Accepted {
				b.Fatal("not accepted")
			}
		}
		b.ReportMetric(float64(len(text)), "B/publication")
		b.ReportMetric(float64(len(data)), "B/record")
	})
}

func BenchmarkMemoryOfConfiguration(b *testing.B) {
	sizes(b, "organisations", []int{50, 500, 2900}, func(b *testing.B, n int) {
		text := targetsText(n)
		held(b, n, func() any {
			targets, err := acaciatarget.Parse([]byte(text))
			if err != nil {
				b.Fatal(err)
			}
			return targets
		})
	})
}

func BenchmarkMemoryOfWaitingReservation(b *testing.B) {
	sizes(b, "waiting", []int{1000, 10_000}, func(b *testing.B, n int) {
		held(b, n, func() any {
			granter := acaciagrant.New(acacialoop.NewVirtual(start), acaciagrant.Settings{Plain: true, PlainLimit: 1})
			for i := range n {
				granter.Reserve(reservation(i), func(acaciaroute.Offer) {})
			}
			return granter
		})
	})
}

func BenchmarkMemoryOfKey(b *testing.B) {
	sizes(b, "keys", []int{10_000, 100_000}, func(b *testing.B, n int) {
		held(b, n, func() any {
			claims := map[string]acaciakey.Claim{}
			for i := range n {
				claim := acaciakey.Claim{
					KeyHash:    acaciakey.Hash("organisation", "zeichner", fmt.Sprint(i)),
					BodyDigest: acaciakey.BodyDigest("POST", "/", fmt.Append(nil, i)),
					RequestID:  fmt.Sprintf("01a23efe-f3d5-7a74-941f-%012d", i),
					Entry:      "10.0.0.1:7000",
					At:         start,
				}
				claims[claim.KeyHash] = claim
			}
			return claims
		})
	})
}

// event is one of a request's, with what decided it.
func event(i int) acaciaevent.Event {
	return acaciaevent.Event{
		Kind:      acaciaevent.RequestArrived,
		RequestID: fmt.Sprintf("01a23efe-f3d5-7a74-941f-%012d", i),
		Class:     "note",
		Inputs:    &acaciaevent.Inputs{TargetsVersion: 7, Waited: acaciaevent.Span(time.Millisecond), Endpoints: 58, Asked: 2},
	}
}

func BenchmarkMemoryOfEvent(b *testing.B) {
	sizes(b, "events", []int{1000, 10_000}, func(b *testing.B, n int) {
		held(b, n, func() any {
			recorder := acaciaevent.NewRecorder("p", acaciaevent.NewClock(time.Now), logr.Discard(), n)
			for i := range n {
				recorder.Record(event(i))
			}
			return recorder
		})
	})
}

// BenchmarkLoggedEvent writes each event as a line, and beyond the limit leaves it out.
func BenchmarkLoggedEvent(b *testing.B) {
	sizes(b, "lines", []int{1, 1 << 30}, func(b *testing.B, n int) {
		lines := acacialog.NewWriter(io.Discard, acacialog.DefaultBufferBytes)
		log := logr.FromSlogHandler(acacialog.NewHandler(lines, acacialog.Settings{LinesPerSecond: n}))
		recorder := acaciaevent.NewRecorder("p", acaciaevent.NewClock(time.Now), log, acaciaevent.DefaultCapacity)
		for b.Loop() {
			recorder.Record(event(0))
		}
		lines.Close(context.Background())
	})
}

func BenchmarkMessageBytes(b *testing.B) {
	full := reservation(1)
	offer := acaciaroute.Offer{Kind: acaciaroute.OfferWaiting, Wait: time.Second, Hint: acaciaroute.Hint{Waiting: 10, Wait: time.Second, Gap: 30 * time.Millisecond, PrefillRate: 8000, ConfigurationVersion: 900}}
	chunk := &acaciawire.Chunk{RequestId: full.RequestID, Grant: 1 << 60, Offset: 10_000, Data: make([]byte, 200), Clock: 1 << 60}
	for b.Loop() {
		b.ReportMetric(float64(proto.Size(acaciawire.FromReservation(full))), "B/reservation")
		b.ReportMetric(float64(proto.Size(acaciawire.FromOffer(offer))), "B/offer")
		b.ReportMetric(float64(proto.Size(chunk)-200), "B/chunk-overhead")
	}
}
