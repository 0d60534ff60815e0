package acaciaconfiguration

import (
	"fmt"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// Publication is a record of the configuration stream.
	Publication struct {
		// ProposalID names the publication, so that its author can find it again
		// after a lost answer.
		ProposalID string `json:"proposal_id"`
		// BasedOn is the version that the author had seen; zero for none.
		BasedOn acaciaroute.Offset `json:"based_on"`
		// Renews is the version that the record repeats before retention drops
		// it; zero for a new version.
		Renews acaciaroute.Offset `json:"renews,omitempty"`
		// JudgedTo is, on a renewal, the offset below which the renewed version
		// was the newest.
		JudgedTo acaciaroute.Offset `json:"judged_to,omitempty"`
		// Targets is the text of the targets.
		Targets string `json:"targets"`
	}

	// Verdict is what the rule says of one record.
	Verdict struct {
		ProposalID string
		Accepted   bool
		Version    acaciaroute.Offset
		Reason     error
	}

	// Snapshot is one accepted version.
	Snapshot struct {
		// Version is the offset of the accepted record plus one.
		Version acaciaroute.Offset
		Text    string
		Targets *acaciatarget.Targets
	}

	// Judge applies the rule to the records of the stream in order.
	Judge struct {
		current  Snapshot
		anchored bool
	}
)

// NewJudge returns a judge for a stream whose oldest kept record is oldest.
func NewJudge(oldest acaciaroute.Offset) *Judge {
	return &Judge{anchored: oldest == 0}
}

// Current returns the newest accepted version.
func (j *Judge) Current() Snapshot {
	return j.current
}

// Learn takes a version that was judged elsewhere; an older one changes nothing.
func (j *Judge) Learn(snapshot Snapshot) {
	if snapshot.Version > j.current.Version {
		j.current = snapshot
	}
}

// Anchored reports whether the judge knows the version in force at its place in
// the stream.
func (j *Judge) Anchored() bool {
	return j.anchored
}

// Anchor notes that the next record to judge directly follows the one that made
// the current version, or others that the judge has seen.
func (j *Judge) Anchor() {
	j.anchored = true
}

// Unanchor notes that records were dropped before they could be judged.
func (j *Judge) Unanchor() {
	j.anchored = false
}

// Judge returns the verdict on the stream's next record. Every process that
// reads the stream reaches the same verdicts, because they depend on nothing
// but the records. A judge that has missed dropped records accepts nothing until
// a renewal or a peer tells it the version in force.
func (j *Judge) Judge(record acaciaroute.Record) Verdict {
	publication, err := decodePublication(record.Data)
	if err != nil {
		return Verdict{Reason: &acaciaroute.Error{
			Code:   acaciaroute.CodeBadTargets,
			Detail: fmt.Sprintf("record %d is no publication", record.Offset),
			Err:    err,
		}}
	}
	verdict := Verdict{ProposalID: publication.ProposalID}
	snapshot := Snapshot{Version: record.Offset + 1, Text: publication.Targets}
	if publication.Renews > 0 {
		snapshot.Version = publication.Renews
		verdict.Reason = j.renewable(publication, record.Offset)
	} else {
		verdict.Reason = j.publishable(publication, record.Offset)
	}
	if verdict.Reason != nil {
		return verdict
	}
	targets, err := acaciatarget.Parse([]byte(publication.Targets))
	if err != nil {
		verdict.Reason = err
		return verdict
	}
	snapshot.Targets = targets
	verdict.Accepted = true
	verdict.Version = snapshot.Version
	j.Learn(snapshot)
	j.Anchor()
	return verdict
}

func (j *Judge) publishable(publication Publication, offset acaciaroute.Offset) error {
	if offset+1 <= j.current.Version {
		return stale("record %d is older than version %d in force", offset, j.current.Version)
	}
	if !j.anchored {
		return stale("record %d follows records that the log has dropped", offset)
	}
	if publication.BasedOn != j.current.Version {
		return stale("based on version %d, but %d is in force", publication.BasedOn, j.current.Version)
	}
	return nil
}

func (j *Judge) renewable(publication Publication, offset acaciaroute.Offset) error {
	if publication.Renews < j.current.Version || j.anchored && publication.Renews != j.current.Version {
		return stale("renews version %d, but %d is in force", publication.Renews, j.current.Version)
	}
	if !j.anchored && publication.JudgedTo != offset {
		return stale("renewal at %d was judged to %d only", offset, publication.JudgedTo)
	}
	return nil
}

func stale(format string, args ...any) error {
	return acaciaroute.Errorf(acaciaroute.CodePublicationStale, format, args...)
}
