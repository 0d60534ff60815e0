package acaciaconfiguration

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

// verdictInterval is the pause between two searches for the verdict on a publication.
const verdictInterval = 100 * time.Millisecond

// Publish appends targets that are based on a version and returns the verdict on them.
// It searches the stream for its record even if the log's response to the append was
// lost. If the record is not found before ctx ends, Publish returns
// CodePublicationUnknown.
func Publish(ctx context.Context, log acaciaroute.Log, basedOn acaciaroute.Offset, text string) (Verdict, error) {
	if _, err := acaciatarget.Parse([]byte(text)); err != nil {
		return Verdict{}, err
	}
	publication := Publication{ProposalID: uuid.NewString(), BasedOn: basedOn, Targets: text}
	appendErr := appendPublication(ctx, log, publication)
	if acaciaroute.NotStored(appendErr) {
		return Verdict{}, appendErr
	}
	for {
		verdict, found, err := findVerdict(ctx, log, publication.ProposalID)
		if err == nil && found {
			return verdict, nil
		}
		select {
		case <-ctx.Done():
			detail := "it is unknown whether the publication was accepted; check with the status command"
			return Verdict{}, &acaciaroute.Error{Code: acaciaroute.CodePublicationUnknown, Detail: detail, Err: appendErr}
		case <-time.After(verdictInterval):
		}
	}
}

// InForce reads the stream from its oldest record and returns the newest accepted
// version.
func InForce(ctx context.Context, log acaciaroute.Log) (Snapshot, error) {
	validator, err := validateLog(ctx, log, func(Verdict) bool { return false })
	if err != nil {
		return Snapshot{}, err
	}
	return validator.Current(), nil
}

func appendPublication(ctx context.Context, log acaciaroute.Log, publication Publication) error {
	data, err := publication.Encode()
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, acaciaroute.StreamConfiguration, data)
	return err
}

func findVerdict(ctx context.Context, log acaciaroute.Log, proposalID string) (Verdict, bool, error) {
	var found *Verdict
	_, err := validateLog(ctx, log, func(verdict Verdict) bool {
		if verdict.ProposalID != proposalID {
			return false
		}
		found = &verdict
		return true
	})
	if found == nil {
		return Verdict{}, false, err
	}
	return *found, true, nil
}

// validateLog passes the records of the stream to a new validator, from the oldest
// one on, until stop returns true for a verdict. It returns the validator.
func validateLog(ctx context.Context, log acaciaroute.Log, stop func(Verdict) bool) (*Validator, error) {
	next, _, err := log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return nil, err
	}
	validator := NewValidator(next)
	for {
		records, err := log.Read(ctx, acaciaroute.StreamConfiguration, next, readLimit)
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			if stop(validator.Validate(record)) {
				return validator, nil
			}
			next = record.Offset + 1
		}
		if len(records) < readLimit {
			return validator, nil
		}
	}
}
