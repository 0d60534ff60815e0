package acaciaschedule

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: an endpoint has just started, or takes requests again after a failure, a partition or a
// Retry-After, while requests wait at many processes. If all of them send to it at once, an endpoint that
// is not well yet fails them all; if each waits for its own evidence, a healthy one stays idle.

type (
	// Recovery is what one process tells the others about an endpoint that it regards as recovering.
	Recovery struct {
		// StartedAt is when the endpoint has started: its ID stays the same when it starts again.
		StartedAt time.Time
		// Answered counts the process's requests that the endpoint has begun to answer in time since
		// its recovery began there.
		Answered int
		// Unanswered is the number of the process's requests that it has not begun to answer, Overdue that
		// of those whose answer is late already.
		Unanswered int
		Overdue    int
		// FailedAt is when the endpoint last failed a request of the process, zero if it has just
		// started.
		FailedAt time.Time
	}

	// windowRule decides how many requests may be unanswered at a recovering endpoint with some slots.
	windowRule interface {
		window(p *pace, slots int, now time.Time) int
	}

	// growthByAnswers lets the window grow with each answer that begins in time.
	growthByAnswers struct{}

	// pace bounds how many requests of all processes together an endpoint may have that it has not begun
	// to answer. The bound grows with each answer that begins in time.
	pace struct {
		// active reports whether the endpoint is recovering; answered and failedAt are as in Recovery.
		active   bool
		answered int
		failedAt time.Time
		// counted is the number of answers in time of all processes that count for the bound: those of
		// the present recovery, less what late ones take back.
		counted int
		// since is when the endpoint began to recover, zero if it has just started and got no request yet.
		since time.Time
		// endedAt is when the last recovery has ended.
		endedAt time.Time
		// answeredAt is when the endpoint last began to answer a request of this process.
		answeredAt time.Time
		// peers holds what other processes have last reported in this recovery, unansweredElsewhere the
		// sum of their unanswered requests, overdueElsewhere that of the overdue ones.
		peers               map[string]Recovery
		unansweredElsewhere int
		overdueElsewhere    int
		// share is the part of the process in the window.
		share windowShare
		// opening lets the window grow while nobody asks for anything.
		opening opening
	}

	// windowShare is the part of a process in the window of a recovering endpoint in one turn.
	windowShare struct {
		turn int64
		// waitingVersion is that of the processes among which the window is divided.
		waitingVersion int
		// processes is their number, before that of those that come before this one.
		processes, before int
	}
)

const (
	// paceGrowth is how many more requests may be unanswered after each answer that begins in time. The
	// bound then quadruples with each first answer, so that an endpoint is at full load after two or
	// three of them.
	paceGrowth = 3
	// lateAnswerFactor is how many times the expected time to the first byte an answer may take that
	// counts as one in time.
	lateAnswerFactor = 3
	// paceTurn is for how long a process holds a part of a window that can't be divided evenly: longer than
	// it takes until the others know what it has sent.
	paceTurn = 60 * time.Millisecond
	// maxRecovery is how long an endpoint counts as recovering that takes requests and fails none. It
	// ends the recovery of one that gets none. One with overdue requests may get one more each time: it may
	// be frozen, or they may have been lost.
	maxRecovery = 3 * time.Second
	// maxPrefetch is the most requests beyond its slots that an endpoint is given.
	maxPrefetch = 1
	// maxKnownStarts bounds the number of starts that are remembered.
	maxKnownStarts = 10_000
	// recoveryReportTime is for how long the end of a recovery is still reported: messages may be lost,
	// and other regions get only some of them.
	recoveryReportTime = 500 * time.Millisecond
)

// paceNewStart limits the pace of an endpoint that has just started. While nothing is known of its service
// the process itself has just started, and the endpoint need not have. One that was missing from the list
// for a while has not started again.
func (s *Scheduler) paceNewStart(e *endpoint) {
	if len(s.knownStarts) >= maxKnownStarts {
		clear(s.knownStarts)
	}
	known := s.knownStarts[e.info.ID].Equal(e.info.StartedAt)
	s.knownStarts[e.info.ID] = e.info.StartedAt
	if known || e.service.firstByteModel.empty {
		return
	}
	e.pace.active, e.pace.opening = true, opening{newStart: true}
	for _, recovery := range e.pace.peers {
		e.pace.counted += recovery.Answered
		e.recordPeerFailure(Recovery{}, recovery)
	}
}

// beginRecovery makes the endpoint recover from a failure of a request of this process.
func (e *endpoint) beginRecovery(now time.Time) {
	e.restartPace(now)
	e.pace.failedAt = now
}

// restartPace makes the endpoint recover from a failure at a time; what it has answered before no longer counts.
func (e *endpoint) restartPace(failedAt time.Time) {
	p := &e.pace
	e.failOpening(failedAt)
	p.active, p.since, p.failedAt, p.answered, p.counted = true, failedAt, time.Time{}, 0, 0
	e.service.scheduler.restorePeers(e)
}

// restorePeers takes what other processes have last reported of an endpoint that is listed, or recovers, anew.
func (s *Scheduler) restorePeers(e *endpoint) {
	e.pace.peers, e.pace.unansweredElsewhere, e.pace.overdueElsewhere = nil, 0, 0
	key := KeyOf(e.info.ID)
	for process, recoveries := range s.peerRecoveries {
		if recovery, told := recoveries[key]; told && recovery.StartedAt.Equal(e.info.StartedAt) {
			e.pace.setPeer(process, recovery)
		}
	}
}

// setPeer replaces what another process has reported.
func (p *pace) setPeer(process string, recovery Recovery) {
	if p.peers == nil {
		p.peers = map[string]Recovery{}
	}
	p.unansweredElsewhere += recovery.Unanswered - p.peers[process].Unanswered
	p.overdueElsewhere += recovery.Overdue - p.peers[process].Overdue
	p.peers[process] = recovery
}

// window returns how many requests may be unanswered at the endpoint.
func (e *endpoint) window(now time.Time) int {
	window := e.service.scheduler.paceRule.window(&e.pace, e.info.Slots, now)
	if !e.pace.since.IsZero() && !now.Before(e.outlastsAt()) && e.hasOverdue(now) {
		window += 1 + int(now.Sub(e.outlastsAt())/maxRecovery)
	}
	return window
}

// window implements windowRule.
func (growthByAnswers) window(p *pace, _ int, _ time.Time) int {
	return 1 + paceGrowth*p.counted
}

// limitUnanswered returns how many of the endpoint's free slots this process may use while it recovers.
func (e *endpoint) limitUnanswered(free int, now time.Time) int {
	if free == 0 || !e.recovering(now) {
		return free
	}
	window, unanswered := e.window(now), len(e.unanswered)
	part := e.service.scheduler.partOfWindow(e, window, now) - unanswered
	return max(0, min(free, part, window-unanswered-e.pace.unansweredElsewhere))
}

// partOfWindow returns how many of the unanswered requests that a recovering endpoint may have may be this
// process's: all of them if no requests wait elsewhere. It is divided among the processes of the endpoint's
// region with waiting requests; what can't be divided evenly goes to others of them in each turn.
//
// Load pattern: an endpoint returns while requests wait at many processes. Each would take the first slot
// before it hears that the others have done so, too.
func (s *Scheduler) partOfWindow(e *endpoint, window int, now time.Time) int {
	if e.service.peerRanks.total == 0 {
		return window - s.reserveOpened(e, window, now)
	}
	share := &e.pace.share
	turn := now.UnixNano() / int64(paceTurn)
	if share.processes == 0 || share.turn != turn || share.waitingVersion != e.service.waitingVersion {
		*share = s.shareWindow(e, turn)
	}
	part := window / share.processes
	if share.before < window%share.processes {
		part++
	}
	return part
}

// shareWindow returns this process's part in the window of an endpoint in a turn.
func (s *Scheduler) shareWindow(e *endpoint, turn int64) windowShare {
	e.service.windowShares++
	share := windowShare{turn: turn, waitingVersion: e.service.waitingVersion, processes: 1}
	region := s.settings.Regions[e.info.DataCentre]
	own := turnOrder(s.settings.Process, e.info.ID, turn)
	for process, queue := range e.service.peerQueues {
		if queue.region != region {
			continue
		}
		share.processes++
		if turnOrder(process, e.info.ID, turn) < own {
			share.before++
		}
	}
	return share
}

// turnOrder returns the place of a process among those that share the window of an endpoint in a turn.
func turnOrder(process, endpoint string, turn int64) uint64 {
	digest := xxhash.NewWithSeed(uint64(turn))
	_, _ = digest.WriteString(process)
	_, _ = digest.WriteString("/")
	_, _ = digest.WriteString(endpoint)
	return digest.Sum64()
}

// recovering reports whether the endpoint's pace is limited.
func (e *endpoint) recovering(now time.Time) bool {
	return e.pace.active && e.window(now) < e.info.Slots+maxPrefetch && !e.hasOutlastedRecovery(now)
}

// windowInForce returns how many requests may be unanswered at the endpoint, zero unless it is recovering.
func (e *endpoint) windowInForce(now time.Time) int {
	if !e.recovering(now) {
		return 0
	}
	return e.window(now)
}

// hasOutlastedRecovery reports whether the endpoint has taken requests for so long without a failure that
// it need not answer any more.
func (e *endpoint) hasOutlastedRecovery(now time.Time) bool {
	return !e.pace.since.IsZero() && !now.Before(e.outlastsAt()) && !e.hasOverdue(now)
}

// hasOverdue reports whether the answer to a request of any process is late.
func (e *endpoint) hasOverdue(now time.Time) bool {
	return e.pace.overdueElsewhere > 0 || e.countOverdue(now) > 0
}

// countOverdue returns the number of this process's requests whose answer is late.
func (e *endpoint) countOverdue(now time.Time) int {
	overdue := 0
	for _, request := range e.unanswered {
		if now.Sub(request.placedAt) > lateAnswerFactor*e.service.usualTime(e, request) {
			overdue++
		}
	}
	return overdue
}

// outlastsAt returns when the recovery ends of an endpoint that fails no more requests.
func (e *endpoint) outlastsAt() time.Time {
	takesSince := e.pace.since
	for _, end := range []time.Time{e.suspendedUntil, e.backoff.until} {
		if end.After(takesSince) {
			takesSince = end
		}
	}
	return takesSince.Add(maxRecovery)
}

// updatePace ends the recovery of an endpoint if that is due.
func (e *endpoint) updatePace(now time.Time) {
	if !e.pace.active {
		return
	}
	e.watchOpening(now)
	if e.recovering(now) {
		return
	}
	e.pace.active, e.pace.endedAt, e.pace.opening = false, now, opening{}
	if e.hasOutlastedRecovery(now) {
		// It may have ended long ago if nothing has happened since.
		e.pace.endedAt = e.outlastsAt()
	}
	e.markChanged()
}

// paceRequest records that the endpoint is given a request.
func (e *endpoint) paceRequest(now time.Time) {
	if e.pace.active && e.pace.since.IsZero() {
		e.pace.since = now
	}
}

// recordAnswerBegun records that the endpoint has begun to answer a request of this process after elapsed,
// of which expected was usual for it.
func (e *endpoint) recordAnswerBegun(elapsed, expected time.Duration, now time.Time) {
	e.pace.answeredAt = now
	if !e.pace.active {
		return
	}
	if elapsed <= lateAnswerFactor*expected {
		e.pace.answered++
		e.pace.counted++
	} else {
		// What it has in hand should be what it can begin to answer in the usual time.
		share := float64(expected) / float64(elapsed)
		e.pace.counted -= int(math.Ceil((1 - share) * float64(e.pace.counted)))
		e.pace.opening.restart(now)
	}
	e.updatePace(now)
}

// reportRecoveries returns what other processes are told of recovering endpoints.
func (s *Scheduler) reportRecoveries(now time.Time) map[EndpointKey]Recovery {
	var recoveries map[EndpointKey]Recovery
	for key, e := range s.endpointsByKey {
		e.updatePace(now)
		if !e.pace.active && now.Sub(e.pace.endedAt) >= recoveryReportTime {
			continue
		}
		recovery := Recovery{StartedAt: e.info.StartedAt, Answered: e.pace.answered, Unanswered: len(e.unanswered), Overdue: e.countOverdue(now), FailedAt: e.pace.failedAt}
		if recovery.isEmpty() {
			continue
		}
		if recoveries == nil {
			recoveries = map[EndpointKey]Recovery{}
		}
		recoveries[key] = recovery
	}
	return recoveries
}

// isEmpty reports whether the recovery tells others nothing.
func (r *Recovery) isEmpty() bool {
	return r.Answered == 0 && r.Unanswered == 0 && r.FailedAt.IsZero()
}

// applyRecoveries replaces what another process has reported of recovering endpoints.
func (s *Scheduler) applyRecoveries(process string, recoveries map[EndpointKey]Recovery, now time.Time) {
	for key := range s.peerRecoveries[process] {
		if _, still := recoveries[key]; !still {
			s.dropRecovery(key, process, now)
		}
	}
	delete(s.peerRecoveries, process)
	if len(recoveries) == 0 {
		return
	}
	s.peerRecoveries[process] = recoveries
	for key, recovery := range recoveries {
		if e := s.endpointsByKey[key]; e != nil && recovery.StartedAt.Equal(e.info.StartedAt) {
			e.applyRecovery(process, recovery, now)
		}
	}
}

// applyRecovery applies what another process has reported of the endpoint.
func (e *endpoint) applyRecovery(process string, recovery Recovery, now time.Time) {
	e.updatePace(now)
	last := e.pace.peers[process]
	e.pace.setPeer(process, recovery)
	if e.pace.active {
		e.recordPeerFailure(last, recovery)
	}
	switch {
	case e.failedElsewhere(last, recovery, now):
		e.restartPace(recovery.FailedAt)
		e.pace.counted = recovery.Answered
	case recovery.Answered > last.Answered:
		e.pace.counted += recovery.Answered - last.Answered
		e.endSuspension(now)
	case recovery.Answered < last.Answered:
		// The process counts anew.
		e.pace.counted += recovery.Answered
	case recovery.Unanswered == last.Unanswered && recovery.Overdue == last.Overdue:
		return
	}
	e.updatePace(now)
	e.markChanged()
}

// recordPeerFailure makes a recovery that has begun already heed a failure that another process has reported.
func (e *endpoint) recordPeerFailure(last, recovery Recovery) {
	if recovery.FailedAt.After(e.pace.since) {
		e.pace.since = recovery.FailedAt
	}
	if recovery.FailedAt.After(last.FailedAt) {
		e.failOpening(recovery.FailedAt)
	}
}

// failedElsewhere reports whether the endpoint has failed a request of another process that is reason to
// recover from here, too: later than it answered one here and than its last recovery ended. While it recovers,
// the other process counts anew after a further failure.
func (e *endpoint) failedElsewhere(last, recovery Recovery, now time.Time) bool {
	if recovery.FailedAt.IsZero() || now.Sub(recovery.FailedAt) >= maxRecovery {
		return false
	}
	if e.pace.active {
		return recovery.Answered < last.Answered
	}
	return recovery.FailedAt.After(e.pace.answeredAt) && recovery.FailedAt.After(e.pace.endedAt)
}

// endSuspension makes an endpoint that answers another process take requests of this one. If it can't be
// reached from here, the next failure suspends it for longer.
func (e *endpoint) endSuspension(now time.Time) {
	if e.pace.active && e.suspendedUntil.After(now) {
		e.suspendedUntil = now
	}
}

// dropRecovery discards the unanswered requests that another process has reported of an endpoint. Its answers
// still count, once only if the process reports them again.
func (s *Scheduler) dropRecovery(key EndpointKey, process string, now time.Time) {
	e := s.endpointsByKey[key]
	if e == nil {
		return
	}
	if dropped, told := e.pace.peers[process]; told {
		dropped.Unanswered, dropped.Overdue = 0, 0
		e.pace.setPeer(process, dropped)
	}
	e.updatePace(now)
	e.markChanged()
}
