package acaciaconfiguration

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

const publishInterval = 100 * time.Millisecond

// Publish proposes targets based on a version and returns the verdict of the
// rule. A lost answer of the log is settled by reading the record back until ctx
// ends; then the outcome is CodePublicationUnknown.
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
			detail := "whether the publication was accepted is not known; look again with status"
			return Verdict{}, &acaciaroute.Error{Code: acaciaroute.CodePublicationUnknown, Detail: detail, Err: appendErr}
		case <-time.After(publishInterval):
		}
	}
}

// InForce reads the log and returns the newest accepted version.
func InForce(ctx context.Context, log acaciaroute.Log) (Snapshot, error) {
	judge, err := judgeAll(ctx, log, func(Verdict) bool { return false })
	if err != nil {
		return Snapshot{}, err
	}
	return judge.Current(), nil
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
	_, err := judgeAll(ctx, log, func(verdict Verdict) bool {
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

// judgeAll judges every kept record until stop returns true.
func judgeAll(ctx context.Context, log acaciaroute.Log, stop func(Verdict) bool) (*Judge, error) {
	next, _, err := log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return nil, err
	}
	judge := NewJudge(next)
	for {
		records, err := log.Read(ctx, acaciaroute.StreamConfiguration, next, readLimit)
		if err != nil {
			return nil, err
		}
		for _, record := range records {
			if stop(judge.Judge(record)) {
				return judge, nil
			}
			next = record.Offset + 1
		}
		if len(records) < readLimit {
			return judge, nil
		}
	}
}
