package acaciacapacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciabudget"
	"github.com/acaciaroute/acaciaroute/acaciapeer"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

// newGatewayScheduler returns a scheduler with a number of endpoints of one service and
// with a report from each of a number of peers.
func newGatewayScheduler(endpoints, peers int) *acaciaschedule.Scheduler {
	s := acaciaschedule.New(acaciaschedule.Settings{
		DataCentre: "a", Regions: map[string]string{"a": "r"}, Random: func() float64 { return 0 }, Prefetch: 1,
	})
	for i := range endpoints {
		id := fmt.Sprintf("i-%08x", i)
		s.ApplyEndpointChange(acaciasite.EndpointChange{ID: id, Endpoint: &acaciasite.Endpoint{
			ID: id, Service: "m", Address: "10.0.0.1:80", DataCentre: "a", Slots: 8,
		}})
	}
	for i := range peers {
		report := newGatewayReport(i, endpoints)
		s.ApplyReport(fmt.Sprint("gateway-", i), "r", &report, time.Unix(1, 0))
	}
	return s
}

// newGatewayReport returns the report of a gateway with five running requests.
func newGatewayReport(number, endpoints int) acaciaschedule.Report {
	report := acaciaschedule.Report{Loads: map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad{}}
	for i := range 5 {
		report.Loads[acaciaschedule.KeyOf(fmt.Sprintf("i-%08x", (number*5+i)%endpoints))] = acaciaschedule.EndpointLoad{Running: 1}
	}
	return report
}

// BenchmarkGatewayDecision measures the dispatch of one request and its release.
func BenchmarkGatewayDecision(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := newGatewayScheduler(endpoints, 5)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				request := &acaciaschedule.Request{
					ID: "r", Service: "m", PromptTokens: 1000, Arrived: now,
					Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
				}
				s.Enqueue(request)
				s.DecideWaiting(now)
				s.Release(request, now)
			}
		})
	}
}

// BenchmarkGatewayPeerReport measures decoding and applying one message from another
// gateway, and reports its length.
func BenchmarkGatewayPeerReport(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := newGatewayScheduler(endpoints, 20)
			message := acaciapeer.Message{Process: "gateway-1", Report: newGatewayReport(1, endpoints), Used: map[string]float64{"club": 1}}
			data, err := message.Encode(time.Unix(1, 0))
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				received, err := acaciapeer.Decode(data, time.Unix(1, 0))
				if err != nil {
					b.Fatal(err)
				}
				s.ApplyReport("gateway-1", "near", &received.Report, time.Unix(1, 0))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkGatewayQuota measures charging one request to the quota of its organisation.
func BenchmarkGatewayQuota(b *testing.B) {
	for _, organisations := range []int{5, 50, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			quota := acaciabudget.NewQuota(acaciabudget.QuotaSettings{Window: 8 * time.Second, Slack: 1000})
			configured := make([]acaciasite.Organisation, organisations)
			for i := range configured {
				configured[i] = acaciasite.Organisation{Name: fmt.Sprint("club-", i), Rate: 1e9, Burst: 1e9}
			}
			now := time.Unix(1, 0)
			quota.Configure(configured, now)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				quota.Take(acaciabudget.Charge{Organisation: "club-3", Cost: 1, SpareCapacity: true}, now)
			}
		})
	}
}
