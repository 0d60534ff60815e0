package acaciaconfiguration

import (
	"fmt"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// Publication is a record of the configuration stream.
	Publication struct {
		// ProposalID identifies the publication, so that its author can find it in
		// the log if the response to the append was lost.
		ProposalID string `json:"proposal_id"`
		// BasedOn is the newest version known to the author; zero for none.
		BasedOn acaciaroute.Offset `json:"based_on"`
		// Renews is the version that the record repeats before retention removes
		// it; zero for a new version.
		Renews acaciaroute.Offset `json:"renews,omitempty"`
		// JudgedTo is, on a renewal, the offset up to which the author had read the
		// stream; below it, the renewed version was the newest accepted one.
		JudgedTo acaciaroute.Offset `json:"judged_to,omitempty"`
		// Targets is the text of the targets.
		Targets string `json:"targets"`
	}

	// Verdict is the result of applying the acceptance rule to one record. Reason is
	// set if the record was not accepted.
	Verdict struct {
		ProposalID string
		Accepted   bool
		Version    acaciaroute.Offset
		Reason     error
	}

	// Snapshot is one accepted version of the targets.
	Snapshot struct {
		// Version is the offset of the accepted record plus one.
		Version acaciaroute.Offset
		Text    string
		Targets *acaciatarget.Targets
	}

	// Judge applies the acceptance rule to the records of the stream in order.
	Judge struct {
		current Snapshot
		// inSync reports whether current is the version in force at this position
		// in the stream.
		inSync bool
	}
)

// NewJudge returns a judge for a stream whose oldest available record has the offset
// oldest.
func NewJudge(oldest acaciaroute.Offset) *Judge {
	return &Judge{inSync: oldest == 0}
}

// Current returns the newest accepted version.
func (j *Judge) Current() Snapshot {
	return j.current
}

// AdoptNewer adopts a version that was accepted elsewhere if it is newer than the
// current one.
func (j *Judge) AdoptNewer(snapshot Snapshot) {
	if snapshot.Version > j.current.Version {
		j.current = snapshot
	}
}

// InSync reports whether the judge knows the version in force at its position in the
// stream.
func (j *Judge) InSync() bool {
	return j.inSync
}

// MarkInSync declares that the judge has missed no record between the record of the
// current version and the next record that it will be given.
func (j *Judge) MarkInSync() {
	j.inSync = true
}

// MarkOutOfSync declares that records were removed before the judge was given them.
func (j *Judge) MarkOutOfSync() {
	j.inSync = false
}

// Judge returns the verdict on the stream's next record. Verdicts depend on nothing
// but the records, so that every process that reads the stream reaches the same ones.
// A judge that has missed removed records accepts no new version until a renewal or a
// peer provides the version in force.
func (j *Judge) Judge(record acaciaroute.Record) Verdict {
	publication, err := decodePublication(record.Data)
	if err != nil {
		return Verdict{Reason: &acaciaroute.Error{
			Code:   acaciaroute.CodeBadTargets,
			Detail: fmt.Sprintf("record %d is not a valid publication", record.Offset),
			Err:    err,
		}}
	}
	verdict := Verdict{ProposalID: publication.ProposalID}
	snapshot := Snapshot{Version: record.Offset + 1, Text: publication.Targets}
	if publication.Renews > 0 {
		snapshot.Version = publication.Renews
		verdict.Reason = j.checkRenewal(publication, record.Offset)
	} else {
		verdict.Reason = j.checkNewVersion(publication, record.Offset)
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
	j.AdoptNewer(snapshot)
	j.MarkInSync()
	return verdict
}

func (j *Judge) checkNewVersion(publication Publication, offset acaciaroute.Offset) error {
	if offset+1 <= j.current.Version {
		return staleError("record %d is older than version %d in force", offset, j.current.Version)
	}
	if !j.inSync {
		return staleError("record %d follows records that the log removed before they were read", offset)
	}
	if publication.BasedOn != j.current.Version {
		return staleError("based on version %d, but %d is in force", publication.BasedOn, j.current.Version)
	}
	return nil
}

func (j *Judge) checkRenewal(publication Publication, offset acaciaroute.Offset) error {
	if publication.Renews < j.current.Version || j.inSync && publication.Renews != j.current.Version {
		return staleError("renews version %d, but %d is in force", publication.Renews, j.current.Version)
	}
	if !j.inSync && publication.JudgedTo != offset {
		return staleError("the author of the renewal at offset %d had read the stream up to offset %d only", offset, publication.JudgedTo)
	}
	return nil
}

func staleError(format string, args ...any) error {
	return acaciaroute.Errorf(acaciaroute.CodePublicationStale, format, args...)
}
