package acaciapeer

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/acaciaroute/acaciaroute/acaciacrash"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciaprefix"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
	"github.com/acaciaroute/acaciaroute/acaciaschedule"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// Message is what a process sends to all others many times a second.
type Message struct {
	Process string
	// Started identifies a run of the process: the wall-clock time of its start in
	// nanoseconds.
	Started int64
	// Sequence increases with each message of a run.
	Sequence uint64
	Region   string
	// Version is the newest configuration version that the process has.
	Version int64
	// Report describes the process's requests.
	acaciaschedule.Report
	// Used is what organisations have used through this process since it started: all of
	// them if UsedComplete is set, otherwise those whose use has changed.
	Used         map[string]float64
	UsedComplete bool
	// StoreReadableMS is for how many milliseconds the process has been able to
	// read the store without interruption.
	StoreReadableMS int64
	// Crashes is what the process has newly seen of requests that crash endpoints.
	Crashes []acaciacrash.Record
	// Origins tell which software versions began streams.
	Origins acaciaorigin.Report
	// OriginReports counts the messages of the run to this receiver whose Origins name versions.
	OriginReports uint64
	// Rollouts tell of the orders to move services to other software versions.
	Rollouts acaciarollout.Report
	// Leaving marks the last message of a run.
	Leaving bool
}

// Encode returns the encoding of the message as an acaciawire.GatewayMessage. Times are encoded
// as their distance from now, because the clocks of processes differ.
func (m Message) Encode(now time.Time) ([]byte, error) {
	wire := &acaciawire.GatewayMessage{
		Process: m.Process, Started: uint64(m.Started), Sequence: m.Sequence, Region: m.Region, Version: m.Version,
		Leaving: m.Leaving, StoreReadableMs: m.StoreReadableMS, Used: m.Used, UsedComplete: m.UsedComplete,
		Origins: m.Origins.Encode(), OriginReports: m.OriginReports,
		Rollouts: encodeRollouts(m.Rollouts),
	}
	for _, record := range m.Crashes {
		wire.CrashRecords = append(wire.CrashRecords, encodeCrash(record, now))
	}
	for key, load := range m.Loads {
		wire.LoadEndpoints = append(wire.LoadEndpoints, uint32(key))
		wire.LoadRunning = append(wire.LoadRunning, encodeCount(load.Running))
		wire.LoadPrefill = append(wire.LoadPrefill, encodeCount(load.Prefill))
		wire.LoadAwaiting = append(wire.LoadAwaiting, encodeCount(load.Awaiting))
	}
	for key, limit := range m.Limits {
		wire.Limits = append(wire.Limits, &acaciawire.EndpointLimit{
			Endpoint: uint32(key), Limited: limit.Limited, Rate: limit.Rate, AnsweredMsAgo: encodeAge(limit.AnsweredAt, now),
		})
	}
	for key, recovery := range m.Recoveries {
		wire.Recoveries = append(wire.Recoveries, encodeRecovery(key, recovery, now))
	}
	for _, doubt := range m.Doubts {
		wire.Doubts = append(wire.Doubts, &acaciawire.EndpointStart{Endpoint: uint32(doubt.Endpoint), StartedMs: doubt.StartedAt.UnixMilli()})
	}
	for _, key := range m.UnreachableEndpoints {
		wire.UnreachableEndpoints = append(wire.UnreachableEndpoints, uint32(key))
	}
	for service := range m.Waiting {
		wire.Queues = append(wire.Queues, encodeQueue(service, &m.Report))
	}
	for _, sent := range m.Prompts {
		wire.Prompts = append(wire.Prompts, encodePrompt(sent))
	}
	return proto.Marshal(wire)
}

// Decode parses a message encoded by Encode that was received at now. A list that is shorter
// than the one it belongs to counts as filled up with zeros.
func Decode(data []byte, now time.Time) (Message, error) {
	wire := &acaciawire.GatewayMessage{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return Message{}, err
	}
	if err := validate(wire); err != nil {
		return Message{}, err
	}
	m := Message{
		Process: wire.Process, Started: int64(wire.Started), Sequence: wire.Sequence, Region: wire.Region, Version: wire.Version,
		Leaving: wire.Leaving, StoreReadableMS: wire.StoreReadableMs, Used: wire.Used, UsedComplete: wire.UsedComplete,
		Origins: acaciaorigin.DecodeReport(wire.Origins), OriginReports: wire.OriginReports,
		Rollouts: decodeRollouts(wire.Rollouts),
		Report: acaciaschedule.Report{
			Loads:   make(map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLoad, len(wire.LoadEndpoints)),
			Waiting: map[string]map[int]int{}, Heads: map[string][]acaciaschedule.QueuePosition{},
		},
	}
	for _, record := range wire.CrashRecords {
		m.Crashes = append(m.Crashes, decodeCrash(record, now))
	}
	for i, key := range wire.LoadEndpoints {
		m.Loads[acaciaschedule.EndpointKey(key)] = acaciaschedule.EndpointLoad{
			Running: at(wire.LoadRunning, i), Prefill: at(wire.LoadPrefill, i), Awaiting: at(wire.LoadAwaiting, i),
		}
	}
	for _, limit := range wire.Limits {
		if m.Limits == nil {
			m.Limits = map[acaciaschedule.EndpointKey]acaciaschedule.EndpointLimit{}
		}
		m.Limits[acaciaschedule.EndpointKey(limit.Endpoint)] = acaciaschedule.EndpointLimit{
			RateLimit: acaciaschedule.RateLimit{Limited: limit.Limited, Rate: limit.Rate}, AnsweredAt: decodeAge(limit.AnsweredMsAgo, now),
		}
	}
	m.Recoveries = decodeRecoveries(wire.Recoveries, now)
	for _, doubt := range wire.Doubts {
		m.Doubts = append(m.Doubts, acaciaschedule.EndpointStart{Endpoint: acaciaschedule.EndpointKey(doubt.Endpoint), StartedAt: time.UnixMilli(doubt.StartedMs)})
	}
	for _, key := range wire.UnreachableEndpoints {
		m.UnreachableEndpoints = append(m.UnreachableEndpoints, acaciaschedule.EndpointKey(key))
	}
	for _, queue := range wire.Queues {
		m.Waiting[queue.Service], m.Heads[queue.Service] = decodeQueue(queue)
		if sizes := decodeSizes(queue); len(sizes) > 0 {
			if m.Sizes == nil {
				m.Sizes = map[string][]acaciaschedule.SizeCount{}
			}
			m.Sizes[queue.Service] = sizes
		}
	}
	for _, sent := range wire.Prompts {
		m.Prompts = append(m.Prompts, decodePrompt(sent))
	}
	return m, nil
}

func encodeRecovery(key acaciaschedule.EndpointKey, recovery acaciaschedule.Recovery, now time.Time) *acaciawire.EndpointRecovery {
	encoded := &acaciawire.EndpointRecovery{
		Endpoint: uint32(key), StartedMs: recovery.StartedAt.UnixMilli(),
		Answered: encodeCount(recovery.Answered), Unanswered: encodeCount(recovery.Unanswered), Overdue: encodeCount(recovery.Overdue),
	}
	if !recovery.FailedAt.IsZero() {
		age := encodeAge(recovery.FailedAt, now)
		encoded.FailedMsAgo = &age
	}
	return encoded
}

func decodeRecoveries(recoveries []*acaciawire.EndpointRecovery, now time.Time) map[acaciaschedule.EndpointKey]acaciaschedule.Recovery {
	if len(recoveries) == 0 {
		return nil
	}
	decoded := make(map[acaciaschedule.EndpointKey]acaciaschedule.Recovery, len(recoveries))
	for _, encoded := range recoveries {
		recovery := acaciaschedule.Recovery{StartedAt: time.UnixMilli(encoded.StartedMs), Answered: int(encoded.Answered), Unanswered: int(encoded.Unanswered), Overdue: int(encoded.Overdue)}
		if encoded.FailedMsAgo != nil {
			recovery.FailedAt = decodeAge(*encoded.FailedMsAgo, now)
		}
		decoded[acaciaschedule.EndpointKey(encoded.Endpoint)] = recovery
	}
	return decoded
}

func encodeQueue(service string, report *acaciaschedule.Report) *acaciawire.ServiceQueue {
	queue := &acaciawire.ServiceQueue{Service: service}
	for rank, count := range report.Waiting[service] {
		queue.Ranks = append(queue.Ranks, int32(rank))
		queue.Counts = append(queue.Counts, encodeCount(count))
	}
	for _, size := range report.Sizes[service] {
		queue.SizeRanks = append(queue.SizeRanks, int32(size.Rank))
		queue.SizeBands = append(queue.SizeBands, encodeCount(size.Band))
		queue.SizeCounts = append(queue.SizeCounts, encodeCount(size.Count))
	}
	for _, position := range report.Heads[service] {
		queue.Heads = append(queue.Heads, int64(position))
	}
	return queue
}

func decodeQueue(queue *acaciawire.ServiceQueue) (map[int]int, []acaciaschedule.QueuePosition) {
	ranks := make(map[int]int, len(queue.Ranks))
	for i, rank := range queue.Ranks {
		ranks[int(rank)] = at(queue.Counts, i)
	}
	heads := make([]acaciaschedule.QueuePosition, len(queue.Heads))
	for i, position := range queue.Heads {
		heads[i] = acaciaschedule.QueuePosition(position)
	}
	return ranks, heads
}

func decodeSizes(queue *acaciawire.ServiceQueue) []acaciaschedule.SizeCount {
	sizes := make([]acaciaschedule.SizeCount, len(queue.SizeRanks))
	for i, rank := range queue.SizeRanks {
		sizes[i] = acaciaschedule.SizeCount{Rank: int(rank), Band: at(queue.SizeBands, i), Count: at(queue.SizeCounts, i)}
	}
	return sizes
}

func encodePrompt(sent acaciaschedule.SentPrompt) *acaciawire.SentPrompt {
	prompt := &acaciawire.SentPrompt{Endpoint: uint32(sent.Endpoint)}
	for _, segment := range sent.Prompt {
		prompt.Prefixes = append(prompt.Prefixes, segment.Prefix)
		prompt.Tokens = append(prompt.Tokens, encodeCount(segment.Tokens))
	}
	return prompt
}

func decodePrompt(prompt *acaciawire.SentPrompt) acaciaschedule.SentPrompt {
	sent := acaciaschedule.SentPrompt{Endpoint: acaciaschedule.EndpointKey(prompt.Endpoint)}
	for i, prefix := range prompt.Prefixes {
		sent.Prompt = append(sent.Prompt, acaciaprefix.Segment{Prefix: prefix, Tokens: at(prompt.Tokens, i)})
	}
	return sent
}

// encodeCount returns a count as it is sent; a larger one than fits counts as the largest.
func encodeCount(count int) uint32 {
	return uint32(min(max(count, 0), math.MaxUint32))
}

// encodeAge returns how long ago a time was, in milliseconds.
func encodeAge(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at).Milliseconds(), 0), math.MaxUint32))
}

func decodeAge(ms uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// at returns the count at an index, 0 if there is none.
func at(counts []uint32, index int) int {
	if index >= len(counts) {
		return 0
	}
	return int(counts[index])
}
