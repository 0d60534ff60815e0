package acaciastream

import (
	"context"
	"errors"

	"github.com/acaciaroute/acaciaroute"
)

// Reader reads one stream from its oldest record on; it is used by one goroutine.
type Reader struct {
	log        acaciaroute.Log
	stream     string
	next       acaciaroute.Offset
	positioned bool
}

// readLimit is how many records one call of the log returns at most.
const readLimit = 200

// New returns a reader that has read nothing.
func New(log acaciaroute.Log, stream string) *Reader {
	return &Reader{log: log, stream: stream}
}

// Read hands on all records that it has not handed on before, in parts. When retention has
// dropped the next one it returns CodeLogTrimmed, and begins with the oldest the next time.
func (r *Reader) Read(ctx context.Context, apply func([]acaciaroute.Record)) error {
	if err := r.position(ctx); err != nil {
		return err
	}
	for {
		records, err := r.log.Read(ctx, r.stream, r.next, readLimit)
		if err != nil {
			var coded *acaciaroute.Error
			if errors.As(err, &coded) && coded.Code == acaciaroute.CodeLogTrimmed {
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

func (r *Reader) position(ctx context.Context) error {
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
