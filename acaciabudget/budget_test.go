package acaciabudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciasite"
)

var start = time.Unix(1_800_000_000, 0)

func club(rate, burst float64) []acaciasite.Organisation {
	return []acaciasite.Organisation{{Name: "club", Rate: rate, Burst: burst}}
}

func TestQuotaIsSharedByProcesses(t *testing.T) {
	const processes, rate, burst, seconds = 5, 100.0, 100.0, 8
	quotas := make([]*Quota, processes)
	for i := range quotas {
		quotas[i] = NewQuota()
		quotas[i].Configure(club(rate, burst), start)
	}
	names := []string{"a", "b", "c", "d", "e"}
	taken := 0.0
	for ms := 0; ms < seconds*1000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		for i, q := range quotas {
			if ok, _ := q.Take("club", 1, now); ok {
				taken++
			}
			// Words are 50 ms apart.
			if ms%50 != 0 {
				continue
			}
			for j, other := range quotas {
				if i != j {
					other.Hear(names[i], q.Used(), now)
				}
			}
		}
	}
	// Each process may overrun by what it does not yet know, five words' worth at most.
	assert.Check(t, taken <= rate*seconds+burst+processes*rate*0.25, "%v", taken)
	assert.Check(t, taken >= rate*seconds, "%v", taken)
}

func TestQuotaSaysWhenToComeBackAndGivesBack(t *testing.T) {
	q := NewQuota()
	q.Configure(club(10, 10), start)
	ok, _ := q.Take("club", 10, start)
	assert.Check(t, ok)
	ok, wait := q.Take("club", 5, start)
	assert.Check(t, !ok)
	assert.Equal(t, wait, 500*time.Millisecond)
	q.Return("club", 10)
	ok, _ = q.Take("club", 5, start)
	assert.Check(t, ok)
}

func TestRequestAboveTheBurstPassesWhenTheBucketIsFull(t *testing.T) {
	q := NewQuota()
	q.Configure(club(10, 10), start)
	ok, _ := q.Take("club", 30, start)
	assert.Check(t, ok)
	ok, wait := q.Take("club", 1, start)
	assert.Check(t, !ok)
	assert.Equal(t, wait, 2100*time.Millisecond)
}

func TestLowerQuotaBindsAtOnce(t *testing.T) {
	q := NewQuota()
	q.Configure(club(100, 100), start)
	q.Configure(club(1, 1), start)
	ok, _ := q.Take("club", 1, start)
	assert.Check(t, ok)
	ok, _ = q.Take("club", 1, start)
	assert.Check(t, !ok)
}

func TestRestartedPeerIsNotChargedTwice(t *testing.T) {
	q := NewQuota()
	q.Configure(club(1, 100), start)
	q.Hear("peer", map[string]float64{"club": 500}, start)
	ok, _ := q.Take("club", 100, start)
	assert.Check(t, ok, "the first word charges nothing")
	q.Forget("peer")
	q.Hear("peer", map[string]float64{"club": 1}, start)
	q.Hear("peer", map[string]float64{"club": 2}, start)
	_, wait := q.Take("club", 1, start)
	assert.Equal(t, wait, 2*time.Second)
}

func TestRepeatsStayWithinTheSharedBudget(t *testing.T) {
	const processes = 5
	settings := RepeatSettings{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	repeats, requests := 0, 0
	for range processes {
		r := NewRepeats(settings)
		for ms := 0; ms < 10000; ms += 20 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			r.Request("m", now)
			requests++
			// Every request fails and would be sent again, twice.
			for range 2 {
				if r.Repeat("m", processes, now) {
					repeats++
				}
			}
		}
	}
	assert.Check(t, float64(repeats) <= settings.Ratio*float64(requests)+settings.Slack, "%d of %d", repeats, requests)
	assert.Check(t, repeats > 0)
}
