package acaciaschedule

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// Report is what one process tells the others about its requests.
	Report struct {
		// Running is the number of its running requests per endpoint ID.
		Running map[string]int `json:"running,omitempty"`
		// Prefill is the number of tokens that each endpoint has to prefill for its requests.
		Prefill map[string]int `json:"prefill,omitempty"`
		// Awaiting is the number of its requests that wait for each endpoint though others are
		// free.
		Awaiting map[string]int `json:"awaiting,omitempty"`
		// Prompts holds, per endpoint ID, the prompts sent there since the last report.
		Prompts map[string][][]acaciaprefix.Segment `json:"prompts,omitempty"`
		// Waiting is the number of its waiting requests per service and rank.
		Waiting map[string]map[int]int `json:"waiting,omitempty"`
		// UnreachableEndpoints lists the IDs of the endpoints to which the process
		// recently failed to connect.
		UnreachableEndpoints []string `json:"down,omitempty"`
		// Heads holds the queue positions of its first waiting requests per service.
		Heads map[string][]QueuePosition `json:"heads,omitempty"`
	}

	// QueuePosition is a waiting request's position in the queue across all processes; the
	// lowest goes first.
	QueuePosition int64

	// peerQueue is another process's queue for one service, as last reported.
	peerQueue struct {
		region     string
		reportedAt time.Time
		waiting    map[int]int
		heads      []QueuePosition
	}
)

const (
	// reportLifetime is how long a report counts if no newer one arrives from its process.
	reportLifetime = 3 * time.Second
	// headLifetime is how long the first requests in a report count as waiting. It is short
	// so that a process that has stopped reporting does not keep the others from using free
	// slots.
	headLifetime = 300 * time.Millisecond
	// peerReportedSuspension is how long an endpoint is suspended after another process
	// reported that it could not connect to it.
	peerReportedSuspension = 300 * time.Millisecond
	// maxHeads is how many of its first waiting requests per service a process reports.
	maxHeads = 8
	// positionBits is the width of a queue position without the rank. lateBit marks the
	// requests that can no longer meet their objective; the lowest tieBreakBits distinguish
	// requests with equal objectives.
	positionBits = 40
	lateBit      = 1 << (positionBits - 1)
	tieBreakBits = 8
	// positionOffsetMillis is added to the time until the objective, so that the sum is
	// positive even if the objective has passed.
	positionOffsetMillis = 1 << 24
)

// queuePosition returns the request's position in the queue across all processes: ordered
// by rank, then requests that can still meet their objective, then by objective.
func (r *Request) queuePosition(now time.Time) QueuePosition {
	remaining := min(max(r.Objective.Sub(now).Milliseconds()+positionOffsetMillis, 0), lateBit>>tieBreakBits-1)
	position := remaining<<tieBreakBits | int64(xxhash.Sum64String(r.ID)&(1<<tieBreakBits-1))
	if r.late {
		position |= lateBit
	}
	return QueuePosition(int64(r.effectiveRank())<<positionBits | position)
}

// ApplyReport applies the report of another process in a region; a nil report removes that
// process.
func (s *Scheduler) ApplyReport(process, region string, report *Report, now time.Time) {
	if report == nil {
		report = &Report{}
		delete(s.lastReports, process)
	} else {
		s.lastReports[process] = now
	}
	for id, e := range s.endpointsByID {
		e.setPeerLoad(process, report.Running[id], report.Prefill[id], report.Awaiting[id])
	}
	for id, prompts := range report.Prompts {
		if e := s.endpointsByID[id]; e != nil {
			for _, prompt := range prompts {
				s.serviceByEndpointID[id].recordPrompt(e, prompt)
			}
		}
	}
	for _, id := range report.UnreachableEndpoints {
		if e := s.endpointsByID[id]; e != nil && e.unreachableUntil.IsZero() {
			e.suspendUntil(now.Add(peerReportedSuspension))
		}
	}
	for name, svc := range s.services {
		svc.setPeerQueue(process, peerQueue{region: region, reportedAt: now, waiting: report.Waiting[name], heads: report.Heads[name]})
	}
	for name, ranks := range report.Waiting {
		if _, known := s.services[name]; !known {
			s.getOrCreateService(name).setPeerQueue(process, peerQueue{region: region, reportedAt: now, waiting: ranks, heads: report.Heads[name]})
		}
	}
}

// expireReports removes processes whose last report is too old.
func (s *Scheduler) expireReports(now time.Time) {
	for process, reportedAt := range s.lastReports {
		if now.Sub(reportedAt) >= reportLifetime {
			s.ApplyReport(process, "", nil, now)
		}
	}
}

// BuildReport returns this process's report for the other processes. Prompts are in one
// report only.
func (s *Scheduler) BuildReport(now time.Time) Report {
	report := Report{
		Running: map[string]int{}, Prefill: map[string]int{}, Awaiting: map[string]int{}, Prompts: s.sentPrompts,
		Waiting: map[string]map[int]int{}, Heads: map[string][]QueuePosition{},
	}
	s.sentPrompts = map[string][][]acaciaprefix.Segment{}
	for id, e := range s.endpointsByID {
		if e.ownRunning > 0 {
			report.Running[id] = e.ownRunning
		}
		if e.awaiting > 0 {
			report.Awaiting[id] = e.awaiting
		}
		if e.ownPrefill > 0 {
			report.Prefill[id] = e.ownPrefill
		}
		if now.Before(e.unreachableUntil) {
			report.UnreachableEndpoints = append(report.UnreachableEndpoints, id)
		}
	}
	for name, svc := range s.services {
		if len(svc.waiting) == 0 {
			continue
		}
		ranks := map[int]int{}
		heads := make([]QueuePosition, 0, len(svc.waiting))
		for _, request := range svc.waiting {
			ranks[request.Rank]++
			if !request.unplaceable {
				heads = append(heads, request.queuePosition(now))
			}
		}
		slices.Sort(heads)
		report.Waiting[name], report.Heads[name] = ranks, heads[:min(len(heads), maxHeads)]
	}
	return report
}

// setPeerQueue replaces the queue of another process.
func (svc *service) setPeerQueue(process string, queue peerQueue) {
	old := svc.peerQueues[process]
	svc.regionWaiting[old.region] -= old.length()
	svc.regionWaiting[queue.region] += queue.length()
	if queue.length() == 0 {
		delete(svc.peerQueues, process)
		return
	}
	svc.peerQueues[process] = queue
}

// length returns the number of waiting requests.
func (q *peerQueue) length() int {
	n := 0
	for _, count := range q.waiting {
		n += count
	}
	return n
}

// countPeerWaiting counts the waiting requests of other processes whose rank matches.
func (svc *service) countPeerWaiting(matches func(rank int) bool) int {
	n := 0
	for _, queue := range svc.peerQueues {
		for rank, count := range queue.waiting {
			if matches(rank) {
				n += count
			}
		}
	}
	return n
}

// countPeerAhead counts the waiting requests of other processes that go before the request.
// Positions depend on the time, so the request's position is computed for the time of each
// report.
func (svc *service) countPeerAhead(request *Request, now time.Time) int {
	n := 0
	for _, queue := range svc.peerQueues {
		if now.Sub(queue.reportedAt) >= headLifetime {
			continue
		}
		ahead, _ := slices.BinarySearch(queue.heads, request.queuePosition(queue.reportedAt))
		n += ahead
	}
	return n
}
