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
		// BasedOn is the version on which the author has based the targets; zero for
		// none.
		BasedOn acaciaroute.Offset `json:"based_on"`
		// Renews is the version that the record repeats before retention removes
		// it; zero for a new version.
		Renews acaciaroute.Offset `json:"renews,omitempty"`
		// JudgedTo is set on a renewal: the author had read all records before this
		// offset, and the renewed version was the newest accepted one among them.
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

	// Validator applies the acceptance rule to the records of the stream in order: a
	// new version must be based on the version in force, a renewal must repeat that
	// version, and the targets must be valid.
	Validator struct {
		current Snapshot
		// inSync reports whether current is the version in force at this position
		// in the stream.
		inSync bool
	}
)

// NewValidator returns a validator for a stream whose oldest available record has
// the offset oldest.
func NewValidator(oldest acaciaroute.Offset) *Validator {
	return &Validator{inSync: oldest == 0}
}

// Current returns the newest accepted version.
func (v *Validator) Current() Snapshot {
	return v.current
}

// AdoptNewer adopts a version that was accepted elsewhere if it is newer than the
// current one.
func (v *Validator) AdoptNewer(snapshot Snapshot) {
	if snapshot.Version > v.current.Version {
		v.current = snapshot
	}
}

// InSync reports whether the validator knows the version in force at its position in
// the stream.
func (v *Validator) InSync() bool {
	return v.inSync
}

// MarkInSync declares that the validator has missed no record between the record of
// the current version and the next record that it will be given.
func (v *Validator) MarkInSync() {
	v.inSync = true
}

// MarkOutOfSync declares that records were removed before the validator was given
// them.
func (v *Validator) MarkOutOfSync() {
	v.inSync = false
}

// Validate returns the verdict on the stream's next record. Verdicts depend on
// nothing but the records, so that every process that reads the stream reaches the
// same ones. A validator that has missed records, because they were removed before it
// was given them, accepts no new version until a renewal or a peer provides the version
// in force.
func (v *Validator) Validate(record acaciaroute.Record) Verdict {
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
		verdict.Reason = v.checkRenewal(publication, record.Offset)
	} else {
		verdict.Reason = v.checkNewVersion(publication, record.Offset)
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
	v.AdoptNewer(snapshot)
	v.MarkInSync()
	return verdict
}

func (v *Validator) checkNewVersion(publication Publication, offset acaciaroute.Offset) error {
	if offset+1 <= v.current.Version {
		return staleError("record %d is older than version %d in force", offset, v.current.Version)
	}
	if !v.inSync {
		return staleError("record %d follows records that the log removed before they were read", offset)
	}
	if publication.BasedOn != v.current.Version {
		return staleError("based on version %d, but %d is in force", publication.BasedOn, v.current.Version)
	}
	return nil
}

func (v *Validator) checkRenewal(publication Publication, offset acaciaroute.Offset) error {
	if publication.Renews < v.current.Version || v.inSync && publication.Renews != v.current.Version {
		return staleError("renews version %d, but %d is in force", publication.Renews, v.current.Version)
	}
	if !v.inSync && publication.JudgedTo != offset {
		return staleError("the author of the renewal at offset %d had read the stream up to offset %d only", offset, publication.JudgedTo)
	}
	return nil
}

func staleError(format string, args ...any) error {
	return acaciaroute.Errorf(acaciaroute.CodePublicationStale, format, args...)
}
