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

// gatewayScheduler returns a scheduler before endpoints of one service, with peers that
// each run a request at some of them.
func gatewayScheduler(endpoints, peers int) *acaciaschedule.Scheduler {
	s := acaciaschedule.New(acaciaschedule.Settings{
		DataCentre: "a", Regions: map[string]string{"a": "r"}, Draw: func() float64 { return 0 }, Prefetch: 1,
	})
	for i := range endpoints {
		id := fmt.Sprintf("i-%08x", i)
		s.Apply(acaciasite.EndpointChange{ID: id, Endpoint: &acaciasite.Endpoint{
			ID: id, Service: "m", Address: "10.0.0.1:80", DataCentre: "a", Places: 8,
		}})
	}
	for i := range peers {
		report := gatewayReport(i, endpoints)
		s.Hear(fmt.Sprint("gateway-", i), &report, time.Unix(1, 0))
	}
	return s
}

// gatewayReport is what a gateway with five running requests tells.
func gatewayReport(number, endpoints int) acaciaschedule.Report {
	report := acaciaschedule.Report{Running: map[string]int{}}
	for i := range 5 {
		report.Running[fmt.Sprintf("i-%08x", (number*5+i)%endpoints)] = 1
	}
	return report
}

// BenchmarkGatewayDecision places one request and gives its place back.
func BenchmarkGatewayDecision(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := gatewayScheduler(endpoints, 5)
			now := time.Unix(1, 0)
			b.ReportAllocs()
			for b.Loop() {
				request := &acaciaschedule.Request{
					ID: "r", Service: "m", PromptTokens: 1000, Arrived: now,
					Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second),
				}
				s.Add(request)
				s.Step(now)
				s.Release(request, now)
			}
		})
	}
}

// BenchmarkGatewayHear takes one message of another gateway.
func BenchmarkGatewayHear(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			s := gatewayScheduler(endpoints, 20)
			message := acaciapeer.Message{Process: "gateway-1", Report: gatewayReport(1, endpoints), Used: map[string]float64{"club": 1}}
			data, err := message.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				heard, err := acaciapeer.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
				s.Hear("gateway-1", &heard.Report, time.Unix(1, 0))
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// BenchmarkGatewayQuota charges one request.
func BenchmarkGatewayQuota(b *testing.B) {
	for _, organisations := range []int{5, 50, 2900} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			q := acaciabudget.NewQuota(acaciabudget.QuotaSettings{Window: 8 * time.Second, Slack: 1000})
			list := make([]acaciasite.Organisation, organisations)
			for i := range list {
				list[i] = acaciasite.Organisation{Name: fmt.Sprint("club-", i), Rate: 1e9, Burst: 1e9}
			}
			now := time.Unix(1, 0)
			q.Configure(list, now)
			for b.Loop() {
				now = now.Add(time.Millisecond)
				q.Take(acaciabudget.Charge{Organisation: "club-3", Cost: 1, Spare: true}, now)
			}
		})
	}
}
