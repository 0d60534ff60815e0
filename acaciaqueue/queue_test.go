package acaciaqueue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
)

var start = time.Unix(1_800_000_000, 0)

func reservation(id, class string, rank int, organisation string, slack time.Duration) acaciaroute.Reservation {
	return acaciaroute.Reservation{RequestID: id, Class: class, Rank: rank, Organisation: organisation, Slack: slack}
}

func TestBestOrdersByClassThenTokensServedThenDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New()
		waiting := map[string]acaciaroute.Reservation{}
		for i := range rapid.IntRange(1, 60).Draw(t, "operations") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				rank := rapid.IntRange(1, 3).Draw(t, "rank")
				organisation := fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "organisation"))
				slack := time.Duration(rapid.IntRange(1, 9).Draw(t, "slack")) * time.Second
				r := reservation(fmt.Sprint(i), fmt.Sprint("c", rank), rank, organisation, slack)
				q.Add(r, start)
				waiting[r.RequestID] = r
			case 2:
				if best := q.Best(); best != nil {
					q.ChargeTokens(best.Class, best.Rank, best.Organisation, float64(rapid.IntRange(1, 500).Draw(t, "tokens")))
				}
			default:
				if best := q.Best(); best != nil {
					q.Remove(best.RequestID)
					delete(waiting, best.RequestID)
				}
			}
			assertBestFollowsOrder(t, q, waiting)
		}
	})
}

func assertBestFollowsOrder(t *rapid.T, q *Queue, waiting map[string]acaciaroute.Reservation) {
	best := q.Best()
	assert.Equal(t, q.Len(), len(waiting))
	if best == nil {
		assert.Equal(t, len(waiting), 0)
		return
	}
	tokensServed := func(organisation string) float64 { return q.classes[best.Class].accounts[organisation].tokensServed }
	for _, other := range waiting {
		assert.Assert(t, best.Rank >= other.Rank, "%s is served after %s of a lower class", other.RequestID, best.RequestID)
		if other.Class != best.Class {
			continue
		}
		assert.Assert(t, tokensServed(best.Organisation) <= tokensServed(other.Organisation))
		if other.Organisation == best.Organisation {
			assert.Assert(t, best.Slack <= other.Slack)
		}
	}
}

func TestReturningOrganisationGetsNoCreditForIdleTime(t *testing.T) {
	q := New()
	q.Add(reservation("busy", "c", 1, "large", time.Second), start)
	for range 100 {
		q.ChargeTokens("c", 1, "large", 1000)
	}
	q.Add(reservation("returning", "c", 1, "small", time.Second), start)
	q.ChargeTokens("c", 1, "small", 1)
	assert.Equal(t, q.Best().RequestID, "busy")
}

func TestEstimateAheadCountsHigherClassesAndTurnsOfOrganisations(t *testing.T) {
	q := New()
	for i := range 10 {
		q.Add(reservation(fmt.Sprint("large", i), "low", 1, "large", time.Duration(i)*time.Second), start)
	}
	small := q.Add(reservation("small", "low", 1, "small", time.Minute), start)
	assert.Equal(t, q.EstimateAhead(small), 1)
	q.Add(reservation("rescue", "high", 2, "large", time.Second), start)
	assert.Equal(t, q.EstimateAhead(small), 2)
	assert.Check(t, q.HasLowerWaiting(2))
	assert.Check(t, !q.HasLowerWaiting(1))
}

func BenchmarkGrantFromQueue(b *testing.B) {
	for _, organisations := range []int{5, 50, 2900} {
		b.Run(fmt.Sprint("organisations=", organisations), func(b *testing.B) {
			q := New()
			for i := range organisations {
				q.Add(reservation(fmt.Sprint(i), "c", 1, fmt.Sprint("o", i), time.Second), start)
			}
			b.ReportAllocs()
			for b.Loop() {
				best := q.Best()
				r := best.Reservation
				q.Remove(r.RequestID)
				q.ChargeTokens(r.Class, r.Rank, r.Organisation, 100)
				q.Add(r, start)
			}
		})
	}
}
