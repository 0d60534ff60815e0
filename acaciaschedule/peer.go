package acaciaschedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/acaciaroute/acaciaroute/acaciaprefix"
)

type (
	// EndpointKey identifies an endpoint in reports, in fewer bytes than its ID.
	EndpointKey uint32

	// EndpointLoad is the load that one process puts on an endpoint.
	EndpointLoad struct {
		// Running is the number of its running requests.
		Running int
		// Prefill is the number of tokens that the endpoint has to prefill for them.
		Prefill int
		// Awaiting is the number of its requests that wait for the endpoint though others
		// are free.
		Awaiting int
	}

	// SentPrompt is a prompt that was sent to an endpoint.
	SentPrompt struct {
		Endpoint EndpointKey
		Prompt   []acaciaprefix.Segment
	}

	// Report is what one process tells the others about its requests.
	Report struct {
		Loads map[EndpointKey]EndpointLoad
		// Prompts holds the prompts sent since the last report.
		Prompts []SentPrompt
		// Waiting is the number of its waiting requests per service and rank.
		Waiting map[string]map[int]int
		// Sizes is the same number per rank and size band, for services with requests that have hints.
		Sizes map[string][]SizeCount
		// UnreachableEndpoints lists the endpoints to which the process recently failed to
		// connect.
		UnreachableEndpoints []EndpointKey
		// Limits holds the limits that endpoints have newly announced or withdrawn.
		Limits map[EndpointKey]EndpointLimit
		// Doubts lists the starts of endpoints that the process has found dead and that have not
		// registered since.
		Doubts []EndpointStart
		// Recoveries tells of the endpoints that the process regards as recovering.
		Recoveries map[EndpointKey]Recovery
		// Heads holds the queue positions of its first waiting requests per service.
		Heads map[string][]QueuePosition
	}

	// EndpointStart identifies a start of an endpoint.
	EndpointStart struct {
		Endpoint  EndpointKey
		StartedAt time.Time
	}

	// QueuePosition is a waiting request's position in the queue across all processes; the
	// lowest goes first.
	QueuePosition int64

	// peerLoad is the load that another process puts on an endpoint, as last reported.
	peerLoad struct {
		endpoint *endpoint
		EndpointLoad
	}

	// peerQueue is another process's queue for one service, as last reported.
	peerQueue struct {
		region     string
		reportedAt time.Time
		waiting    []rankCount
		sizes      []SizeCount
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
	// positionBits is the width of a queue position without the rank; the lowest tieBreakBits
	// distinguish requests with equal objectives.
	positionBits = 40
	tieBreakBits = 8
	// positionOffsetMillis is added to the time until the objective and the size term, so that the sum is
	// positive even if the objective has passed.
	positionOffsetMillis = 1 << 24
)

// queuePosition returns the request's position in the queue across all processes: ordered
// by rank, of which late requests have a higher one, then by objective and expected slot time.
func (r *Request) queuePosition(now time.Time) QueuePosition {
	remaining := min(max((r.Objective.Sub(now)+r.sizeTerm).Milliseconds()+positionOffsetMillis, 0), 1<<(positionBits-tieBreakBits)-1)
	return QueuePosition(int64(r.queueRank())<<positionBits | remaining<<tieBreakBits | r.tieBreak)
}

// tieBreak returns the lowest bits of the queue position of a request with an ID.
func tieBreak(id string) int64 {
	return int64(xxhash.Sum64String(id) & (1<<tieBreakBits - 1))
}

// ApplyReport applies the report of another process in a region; a nil report removes that
// process.
func (s *Scheduler) ApplyReport(process, region string, report *Report, now time.Time) {
	s.silent = silentProcesses{}
	if report == nil {
		report = &Report{}
		if _, heard := s.lastReports[process]; heard {
			s.droppedAt[process] = now
		}
		delete(s.lastReports, process)
	} else {
		s.lastReports[process] = now
		delete(s.droppedAt, process)
	}
	s.setPeerLoads(process, report.Loads)
	s.applyRecoveries(process, report.Recoveries, now)
	s.ApplySuperseded(report, now)
	for _, key := range report.UnreachableEndpoints {
		if e := s.endpointsByKey[key]; e != nil && e.unreachableUntil.IsZero() {
			e.suspendUntil(now.Add(peerReportedSuspension))
		}
	}
	for name, svc := range s.services {
		svc.setPeerQueue(process, newPeerQueue(region, name, report, now))
	}
	for name := range report.Waiting {
		if _, known := s.services[name]; !known {
			s.getOrCreateService(name).setPeerQueue(process, newPeerQueue(region, name, report, now))
		}
	}
}

// ApplySuperseded applies what a report tells of events, but not of the state of its process, which
// is outdated because a later report of that process is at hand.
func (s *Scheduler) ApplySuperseded(report *Report, now time.Time) {
	for _, sent := range report.Prompts {
		if e := s.endpointsByKey[sent.Endpoint]; e != nil {
			e.service.recordPrompt(e, sent.Prompt)
		}
	}
	for key, limit := range report.Limits {
		if e := s.endpointsByKey[key]; e != nil {
			s.setLimit(e, limit, now)
		}
	}
}

// KeyOf returns the key of an endpoint.
func KeyOf(id string) EndpointKey {
	return EndpointKey(xxhash.Sum64String(id))
}

// setPeerLoads replaces the load that another process puts on the endpoints. Only those whose load
// differs count as changed.
func (s *Scheduler) setPeerLoads(process string, loads map[EndpointKey]EndpointLoad) {
	applied := s.peerLoads[process]
	for key, old := range applied {
		if old.endpoint != s.endpointsByKey[key] || old.EndpointLoad != loads[key] {
			old.endpoint.addPeerLoad(old.EndpointLoad, -1)
			delete(applied, key)
		}
	}
	if applied == nil {
		applied = map[EndpointKey]peerLoad{}
		s.peerLoads[process] = applied
	}
	for key, load := range loads {
		e := s.endpointsByKey[key]
		if _, unchanged := applied[key]; e == nil || unchanged {
			continue
		}
		e.addPeerLoad(load, 1)
		applied[key] = peerLoad{e, load}
	}
	if len(applied) == 0 {
		delete(s.peerLoads, process)
	}
}

// expireReports removes processes whose last report is too old.
func (s *Scheduler) expireReports(now time.Time) {
	for process, reportedAt := range s.lastReports {
		if now.Sub(reportedAt) >= reportLifetime {
			s.ApplyReport(process, "", nil, now)
		}
	}
	for process, droppedAt := range s.droppedAt {
		if now.Sub(droppedAt) >= droppedLifetime {
			s.silent = silentProcesses{}
			delete(s.droppedAt, process)
		}
	}
}

// BuildReport returns this process's report for the other processes. Prompts are in one
// report only.
func (s *Scheduler) BuildReport(now time.Time) Report {
	report := Report{
		Loads: map[EndpointKey]EndpointLoad{}, Prompts: s.sentPrompts,
		Waiting: map[string]map[int]int{}, Sizes: map[string][]SizeCount{}, Heads: map[string][]QueuePosition{}, Limits: s.limitsToReport(now), Recoveries: s.reportRecoveries(now),
	}
	s.sentPrompts = nil
	for key, e := range s.endpointsByKey {
		if load := (EndpointLoad{Running: e.ownRunning, Prefill: e.ownPrefill, Awaiting: e.awaiting}); load != (EndpointLoad{}) {
			report.Loads[key] = load
		}
		if e.foundDead && e.versionDoubted() {
			report.Doubts = append(report.Doubts, EndpointStart{key, e.info.StartedAt})
		}
		if now.Before(e.unreachableUntil) {
			report.UnreachableEndpoints = append(report.UnreachableEndpoints, key)
		}
	}
	for name, svc := range s.services {
		if len(svc.waiting) == 0 {
			continue
		}
		report.Waiting[name], report.Heads[name] = svc.ownRanks.byRank(), svc.firstPositions(now)
		if sizes := svc.countSizes(); len(sizes) > 0 {
			report.Sizes[name] = sizes
		}
	}
	return report
}

// setPeerQueue replaces the queue of another process.
func (svc *service) setPeerQueue(process string, queue peerQueue) {
	old := svc.peerQueues[process]
	if queue.length() == 0 {
		queue.sizes = nil
	}
	svc.changeRegionWaiting(old.region, -old.length())
	svc.changeRegionWaiting(queue.region, queue.length())
	if queue.length()+old.length() > 0 && (!slices.Equal(old.heads, queue.heads) || !slices.Equal(old.waiting, queue.waiting) || !slices.Equal(old.sizes, queue.sizes)) {
		svc.changed = true
	}
	for _, counted := range old.waiting {
		svc.peerRanks.add(counted.rank, -counted.count)
	}
	for _, counted := range queue.waiting {
		svc.peerRanks.add(counted.rank, counted.count)
	}
	if !slices.Equal(old.sizes, queue.sizes) || len(queue.sizes) == 0 {
		svc.peerSizes.add(&old, -1)
		svc.peerSizes.add(&queue, 1)
	}
	if (old.length() == 0) != (queue.length() == 0) || old.region != queue.region {
		svc.waitingVersion++
	}
	if queue.length() == 0 {
		delete(svc.peerQueues, process)
		return
	}
	svc.peerQueues[process] = queue
}

// changeRegionWaiting changes the number of requests that wait in a region. Whether any do there
// determines whether the slots of its endpoints are used.
func (svc *service) changeRegionWaiting(region string, change int) {
	if change == 0 {
		return
	}
	before := svc.regionWaiting[region]
	svc.regionWaiting[region] = before + change
	if (before > 0) == (before+change > 0) {
		return
	}
	for _, e := range svc.sorted {
		e.markChanged()
	}
}

// firstPositions returns the positions of the first waiting requests, lowest first.
func (svc *service) firstPositions(now time.Time) []QueuePosition {
	heads := make([]QueuePosition, 0, min(len(svc.waiting), maxHeads)+1)
	for _, request := range svc.waiting {
		if request.unplaceable {
			continue
		}
		position := request.queuePosition(now)
		if len(heads) == maxHeads && position >= heads[maxHeads-1] {
			continue
		}
		i, _ := slices.BinarySearch(heads, position)
		heads = slices.Insert(heads, i, position)
		heads = heads[:min(len(heads), maxHeads)]
	}
	return heads
}

// newPeerQueue returns a service's queue of a process in a region, as reported now.
func newPeerQueue(region, service string, report *Report, now time.Time) peerQueue {
	queue := peerQueue{region: region, reportedAt: now, sizes: report.Sizes[service], heads: report.Heads[service]}
	for rank, count := range report.Waiting[service] {
		queue.waiting = append(queue.waiting, rankCount{rank, count})
	}
	slices.SortFunc(queue.waiting, func(a, b rankCount) int { return cmp.Compare(a.rank, b.rank) })
	return queue
}

// length returns the number of waiting requests.
func (q *peerQueue) length() int {
	n := 0
	for _, counted := range q.waiting {
		n += counted.count
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
