package acaciastream

import (
	"context"

	"github.com/acaciaroute/acaciaroute"
)

// Reader reads one stream, starting with its oldest record. It must be used by one goroutine
// only.
type Reader struct {
	log        acaciaroute.Log
	stream     string
	next       acaciaroute.Offset
	positioned bool
}

// readLimit is the most records that one read of the log returns.
const readLimit = 200

// New returns a reader positioned before the oldest record of a stream.
func New(log acaciaroute.Log, stream string) *Reader {
	return &Reader{log: log, stream: stream}
}

// Read passes all records that it has not yet read to apply, in batches. If retention has
// removed the next record, it returns an error with CodeLogTrimmed, and the next call starts
// with the oldest record.
func (r *Reader) Read(ctx context.Context, apply func([]acaciaroute.Record)) error {
	if err := r.seekOldest(ctx); err != nil {
		return err
	}
	for {
		records, err := r.log.Read(ctx, r.stream, r.next, readLimit)
		if err != nil {
			if acaciaroute.HasCode(err, acaciaroute.CodeLogTrimmed) {
				r.positioned = false
			}
			return err
		}
		apply(records)
		if len(records) > 0 {
			r.next = records[len(records)-1].Offset + 1
		}
		if len(records) < readLimit {
			return nil
		}
	}
}

// seekOldest sets the position to the oldest record unless a position is already set.
func (r *Reader) seekOldest(ctx context.Context) error {
	if r.positioned {
		return nil
	}
	oldest, _, err := r.log.Head(ctx, r.stream)
	if err != nil {
		return err
	}
	r.next, r.positioned = oldest, true
	return nil
}
