package acaciapeer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciasite"
)

var start = time.Unix(1_800_000_000, 0)

func TestOutdatedMessagesAreIgnored(t *testing.T) {
	m := NewMembers("self", "near")
	for i, step := range []struct {
		message Message
		want    Effect
	}{
		{Message{Process: "self", Started: 1, Sequence: 1}, EffectNone},
		{Message{Process: "p", Started: 1, Sequence: 5}, EffectStarted},
		{Message{Process: "p", Started: 1, Sequence: 4}, EffectNone},
		{Message{Process: "p", Started: 1, Sequence: 5}, EffectNone},
		{Message{Process: "p", Started: 1, Sequence: 6}, EffectUpdated},
		{Message{Process: "p", Started: 2, Sequence: 1}, EffectStarted},
		{Message{Process: "p", Started: 1, Sequence: 7}, EffectNone},
		{Message{Process: "p", Started: 2, Sequence: 2, Leaving: true}, EffectLeft},
	} {
		assert.Equal(t, m.ApplyMessage(step.message, "1.1.1.1:1", start), step.want, "step %d", i)
	}
	assert.Equal(t, m.Count(), 1)
}

func TestSilentProcessIsDroppedAndContactedAgain(t *testing.T) {
	m := NewMembers("self", "near")
	m.ApplyMessage(Message{Process: "p", Started: 1, Sequence: 1, Region: "near"}, "1.1.1.1:1", start)
	assert.Equal(t, len(m.DropSilent(start.Add(SilenceTimeout-1))), 0)
	assert.DeepEqual(t, m.DropSilent(start.Add(SilenceTimeout)), []string{"p"})
	near, _ := m.NextTargets(start.Add(SilenceTimeout))
	assert.DeepEqual(t, near, []string{"1.1.1.1:1"})
	near, _ = m.NextTargets(start.Add(SilenceTimeout + hintInterval - 1))
	assert.Equal(t, len(near), 0)
	near, _ = m.NextTargets(start.Add(SilenceTimeout + hintInterval))
	assert.DeepEqual(t, near, []string{"1.1.1.1:1"})
}

func TestShareCountsDroppedProcesses(t *testing.T) {
	m := NewMembers("self", "near")
	for i, name := range []string{"a", "b", "c"} {
		m.ApplyMessage(Message{Process: name, Started: 1, Sequence: 1}, "1.1.1.1:1", start.Add(time.Duration(i)*time.Second))
	}
	assert.Equal(t, m.ReachableShare(start), 1.0)
	m.DropSilent(start.Add(SilenceTimeout))
	assert.Equal(t, m.ReachableShare(start.Add(SilenceTimeout)), 0.75)
	m.ApplyMessage(Message{Process: "a", Started: 1, Sequence: 2}, "1.1.1.1:1", start.Add(SilenceTimeout+1))
	assert.Equal(t, m.ReachableShare(start.Add(SilenceTimeout+1)), 1.0)
	m.DropSilent(start.Add(2 * SilenceTimeout))
	assert.Check(t, m.ReachableShare(start.Add(2*SilenceTimeout)) < 1)
	m.DropSilent(start.Add(time.Minute))
	assert.Equal(t, m.ReachableShare(start.Add(2*time.Minute)), 1.0)
}

func TestProcessesInOtherRegionsGetFewerMessages(t *testing.T) {
	m := NewMembers("self", "near")
	m.ApplyMessage(Message{Process: "near", Started: 1, Sequence: 1, Region: "near"}, "1.1.1.1:1", start)
	m.ApplyMessage(Message{Process: "far", Started: 1, Sequence: 1, Region: "far"}, "2.2.2.2:1", start)
	sent := map[string]int{}
	for ms := 0; ms < 1000; ms += 20 {
		near, far := m.NextTargets(start.Add(time.Duration(ms) * time.Millisecond))
		for _, address := range slices.Concat(near, far) {
			sent[address]++
		}
	}
	assert.Equal(t, sent["1.1.1.1:1"], 50)
	assert.Equal(t, sent["2.2.2.2:1"], 10)
}

func TestFirstOfRegionGoesByName(t *testing.T) {
	m := NewMembers("b", "near")
	assert.Check(t, m.FirstOfRegion())
	m.ApplyMessage(Message{Process: "a", Started: 1, Sequence: 1, Region: "far"}, "1.1.1.1:1", start)
	m.ApplyMessage(Message{Process: "c", Started: 1, Sequence: 1, Region: "near"}, "1.1.1.2:1", start)
	assert.Check(t, m.FirstOfRegion())
	m.ApplyMessage(Message{Process: "a2", Started: 1, Sequence: 1, Region: "near"}, "1.1.1.3:1", start)
	assert.Check(t, !m.FirstOfRegion())
	m.DropSilent(start.Add(SilenceTimeout))
	assert.Check(t, m.FirstOfRegion())
}

func TestMessageEncodingRoundTrip(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	message := Message{
		Process: "p", Started: 1, Sequence: 2, Region: "r", Version: 3,
		Report: acaciaschedule.Report{
			Loads: map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad{
				acaciaschedule.KeyOf("i"): {Running: 1, Prefill: 2000, Awaiting: 3},
			},
			Prompts:              []acaciaschedule.SentPrompt{{Endpoint: 7, Prompt: []acaciaprefix.Segment{{Prefix: 1 << 63, Tokens: 500}}}},
			UnreachableEndpoints: []acaciaschedule.EndpointKey{9},
			Doubts:               []acaciaschedule.EndpointStart{{Endpoint: 5, StartedAt: now.Add(-time.Hour)}},
			Limits: map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLimit{
				3: {RateLimit: acaciaschedule.RateLimit{Limited: true, Rate: 4.5}, AnsweredAt: now.Add(-time.Second)},
			},
			Recoveries: map[acaciaschedule.EndpointKey]acaciaschedule.Recovery{
				4: {StartedAt: now.Add(-time.Hour), Answered: 1, Unanswered: 3, Overdue: 2, FailedAt: now.Add(-time.Second)},
				6: {StartedAt: now.Add(-time.Minute), Unanswered: 1},
			},
			Waiting: map[string]map[int]int{"m": {0: 2}},
			Sizes:   map[string][]acaciaschedule.SizeCount{"m": {{Rank: -2, Band: 3, Count: 1}, {Rank: 1 << 20, Band: 22, Count: 5}}},
			Heads:   map[string][]acaciaschedule.QueuePosition{"m": {5, 7}},
		},
		Leaving: true, UsedComplete: true, StoreReadableMS: 4, OriginReports: 5,
		Used: map[string]float64{"club": 1.5},
		Origins: acaciaorigin.Report{
			Versions: []acaciaorigin.Version{{Origin: acaciasite.Origin{Service: "m", Version: "v1"}, LeftAgo: time.Second}},
			Streams:  []acaciaorigin.Stream{{Key: 1 << 63, Origin: acaciasite.Origin{Service: "m", Version: "v2"}}},
		},
		Crashes: []acaciacrash.Record{
			{Crash: 1 << 63, ObservedAt: now.Add(-time.Millisecond), Stage: 2, Traits: []acaciacrash.TraitRecord{
				{Trait: 2, Attempt: 4, Since: acaciacrash.StageWhole}, {Trait: 1 << 63, Attempt: 1, Before: 3},
			}},
			{Crash: 3, ObservedAt: now, Traits: []acaciacrash.TraitRecord{{Trait: 4, Attempt: 1}}},
		},
	}
	data, err := message.Encode(now)
	assert.NilError(t, err)
	decoded, err := Decode(data, now)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, message)
}

// Counts that don't fit into a message are told as the largest that does, not as a small one.
func TestLargeCountsAreNotTruncated(t *testing.T) {
	message := Message{Report: acaciaschedule.Report{
		Loads:   map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad{1: {Prefill: 1 << 33}},
		Prompts: []acaciaschedule.SentPrompt{{Prompt: []acaciaprefix.Segment{{Prefix: 1, Tokens: 1 << 34}}}},
	}}
	data, err := message.Encode(time.Now())
	assert.NilError(t, err)
	decoded, err := Decode(data, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, decoded.Loads[1].Prefill, math.MaxUint32)
	assert.Equal(t, decoded.Prompts[0].Prompt[0].Tokens, math.MaxUint32)
}

// Guards against taking a silent process for heard because it was dropped: of a list without members nothing
// is missing.
func TestDroppedProcessIsNotHeard(t *testing.T) {
	m := NewMembers("self", "near")
	m.ApplyMessage(Message{Process: "p", Started: 1, Sequence: 1}, "1.1.1.1:1", start)
	dropped := start.Add(SilenceTimeout)
	m.DropSilent(dropped)
	for name, c := range map[string]struct {
		at   time.Time
		want bool
	}{
		"silent since, dropped later": {start.Add(time.Second), false},
		"dropped at that time":        {dropped, false},
		"dropped before":              {dropped.Add(1), true},
	} {
		assert.Equal(t, m.AllHeardSince(c.at), c.want, name)
	}
	m.ApplyMessage(Message{Process: "p", Started: 1, Sequence: 2}, "1.1.1.1:1", dropped.Add(time.Second))
	assert.Check(t, m.AllHeardSince(dropped.Add(time.Second)), "heard again")
}

// Guards against quotas that are cut by a suspension of the process itself: when it goes on, it has read no message of the
// others for longer than they may be quiet. They count as heard until their messages could have been read, and no longer.
func TestOwnSuspensionMakesNobodyQuiet(t *testing.T) {
	const interval, quietTimeout = 400 * time.Millisecond, time.Second
	for _, suspension := range []time.Duration{700 * time.Millisecond, 1100 * time.Millisecond, 2900 * time.Millisecond} {
		m := NewMembers("self", "near")
		m.ApplyMessage(Message{Process: "p", Started: 1, Sequence: 1}, "p", start)
		m.HeardShare(interval, start.Add(interval))
		resumed := start.Add(interval + suspension)
		for now := resumed; now.Before(resumed.Add(quietTimeout)); now = now.Add(interval / 2) {
			share, since := m.HeardShare(interval, now)
			assert.Equal(t, share, 1.0, "suspended for %v, %v after it", suspension, now.Sub(resumed))
			assert.Equal(t, since, now)
		}
		share, since := m.HeardShare(interval, resumed.Add(quietTimeout))
		assert.Equal(t, share, 0.5, "suspended for %v", suspension)
		assert.Equal(t, since, start)
	}
}

// Guards against two faults: a process counts as quiet though it sends its messages at their interval and one of them is
// lost, so that quotas are cut for nothing; or one behind a partition counts as heard until it is dropped.
func TestQuietProcessesAreNotHeard(t *testing.T) {
	const perProcess = 2 * time.Millisecond
	for _, processes := range []int{2, 12, 31, 340} {
		interval := 400*time.Millisecond + time.Duration(processes)*perProcess
		m := NewMembers("self", "near")
		hear := func(sequence uint64, now time.Time) {
			for i := range processes - 1 {
				m.ApplyMessage(Message{Process: fmt.Sprint(i), Started: 1, Sequence: sequence}, fmt.Sprint(i), now)
			}
		}
		hear(1, start)
		// The second message is lost.
		share, since := m.HeardShare(interval, start.Add(2*interval-time.Millisecond))
		assert.Equal(t, share, 1.0, "%d processes", processes)
		assert.Equal(t, since, start.Add(2*interval-time.Millisecond))
		hear(2, start.Add(2*interval))
		last := start.Add(2 * interval)
		quiet := last.Add(max(minQuietTimeout, quietIntervals*interval))
		for now := last; now.Before(quiet); now = now.Add(interval / 2) {
			share, _ = m.HeardShare(interval, now)
			assert.Equal(t, share, 1.0, "%d processes", processes)
		}
		share, since = m.HeardShare(interval, quiet)
		assert.Equal(t, share, 1/float64(processes))
		assert.Equal(t, since, last)
		// What was taken away once must not be taken away again.
		later := quiet.Add(time.Millisecond)
		_, since = m.HeardShare(interval, later)
		assert.Equal(t, since, later)
		assert.Equal(t, m.ReachableShare(later), 1.0)
		assert.Equal(t, len(m.DropSilent(last.Add(SilenceTimeout))), processes-1)
		share, _ = m.HeardShare(interval, last.Add(SilenceTimeout))
		assert.Equal(t, share, 1/float64(processes))
		assert.Equal(t, m.PossibleCount(last.Add(SilenceTimeout)), processes)
		hear(3, last.Add(SilenceTimeout))
		share, _ = m.HeardShare(interval, last.Add(SilenceTimeout))
		assert.Equal(t, share, 1.0)
		assert.Equal(t, m.PossibleCount(last.Add(SilenceTimeout)), processes)
	}
}
