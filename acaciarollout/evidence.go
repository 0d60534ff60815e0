package acaciarollout

import "time"

type (
	// Evidence counts the answers of one endpoint on one route since the order.
	Evidence struct {
		Route, Endpoint string
		// Target reports whether the endpoint is of the target version.
		Target                bool
		Answers, Failed, Slow int64
	}

	// Answer is the result of a request at an endpoint.
	Answer struct {
		Route, Endpoint string
		// Target reports whether the endpoint is of the order's target version.
		Target bool
		Result Result
	}

	// Result classifies an answer. What the caller has caused (cancelled, deadline too short) is no answer.
	Result int

	// Counts counts answers.
	Counts struct {
		Answers, Failed, Slow int64
	}

	// rowKey identifies a row of evidence.
	rowKey struct {
		route, endpoint string
		target          bool
	}

	// ownRow is a row of this process's own evidence; version counts its changes.
	ownRow struct {
		Evidence
		version int64
	}

	// evidence holds the answers that all processes together have told.
	evidence struct {
		own   map[rowKey]*ownRow
		rows  []*ownRow
		total map[rowKey]Counts
		// fresh holds what has been added since the last judgement.
		fresh map[rowKey]Counts
	}
)

// Results of requests.
const (
	ResultGood Result = iota
	ResultFailed
	// ResultSlow is an answer that took several times as long as expected for its request. It may be
	// recorded as soon as that is certain, and counts once.
	ResultSlow
)

func newEvidence() *evidence {
	return &evidence{own: map[rowKey]*ownRow{}, total: map[rowKey]Counts{}, fresh: map[rowKey]Counts{}}
}

// RecordAnswer counts the result of a request until there is a verdict. It reports whether the others are to be told at once.
func (t *Table) RecordAnswer(service string, answer Answer, now time.Time) (changed bool) {
	s := t.services[service]
	if s == nil || s.rollout == nil || s.rollout.verdict() != StateNone {
		return false
	}
	counts := Counts{Answers: 1}
	switch answer.Result {
	case ResultFailed:
		counts.Failed = 1
	case ResultSlow:
		counts.Slow = 1
	}
	s.rollout.evidence.record(rowKey{answer.Route, answer.Endpoint, answer.Target}, counts)
	return t.tick(s, now)
}

// record adds an answer that this process has got.
func (e *evidence) record(key rowKey, counts Counts) {
	row := e.own[key]
	if row == nil {
		row = &ownRow{Evidence: Evidence{Route: key.route, Endpoint: key.endpoint, Target: key.target}}
		e.own[key] = row
		e.rows = append(e.rows, row)
	}
	row.Answers += counts.Answers
	row.Failed += counts.Failed
	row.Slow += counts.Slow
	row.version++
	e.add(key, counts)
}

// add adds answers to the evidence of all processes.
func (e *evidence) add(key rowKey, counts Counts) {
	e.total[key] = e.total[key].plus(counts)
	e.fresh[key] = e.fresh[key].plus(counts)
}

// merge adds what a row of another process tells beyond what it told before. A row that is older than
// another that has arrived tells nothing.
func (e *evidence) merge(row Evidence, told map[rowKey]Counts) {
	key := rowKey{row.Route, row.Endpoint, row.Target}
	counts := Counts{row.Answers, row.Failed, row.Slow}
	before := told[key]
	added := Counts{counts.Answers - before.Answers, counts.Failed - before.Failed, counts.Slow - before.Slow}
	if added.Answers <= 0 || added.Failed < 0 || added.Slow < 0 || added.bad() > added.Answers {
		return
	}
	told[key] = counts
	e.add(key, added)
}

func (c Counts) plus(other Counts) Counts {
	return Counts{c.Answers + other.Answers, c.Failed + other.Failed, c.Slow + other.Slow}
}

// bad returns the number of bad answers.
func (c Counts) bad() int64 {
	return c.Failed + c.Slow
}
