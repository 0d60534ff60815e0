package acaciaroute

import "context"

type (
	// Offset is the position of a record in one stream of the platform's log. Offsets
	// start at 0, grow by one with each record and are never reused.
	Offset int64

	// Record is the data stored at one offset of a stream.
	Record struct {
		Offset Offset
		Data   []byte
	}

	// Log is the platform's append-only log service.
	//
	// It accepts several hundred appends per second, keeps records for a limited
	// time and has outages. An error with CodeLogUnreached from Append says that the
	// record was not stored and never will be. After any other error the outcome is
	// unknown: the record may already be stored, may be stored later, or never, but it
	// is stored at most once.
	// Readers see records in offset order without gaps, except that old ones are
	// deleted.
	Log interface {
		// Append stores data at the end of stream and returns its offset.
		Append(ctx context.Context, stream string, data []byte) (Offset, error)
		// Read returns at most limit records, beginning with the one at offset
		// from; none if from is the end of the stream. If that record has passed
		// its retention and is deleted, the error has CodeLogTrimmed, and Head
		// returns the offset from which to continue.
		Read(ctx context.Context, stream string, from Offset, limit int) ([]Record, error)
		// Head returns the offset of the oldest record kept and the offset that
		// the next append will get.
		Head(ctx context.Context, stream string) (oldest, next Offset, err error)
	}
)

// The streams that the system keeps in the platform's log.
const (
	// StreamConfiguration holds publications of targets.
	StreamConfiguration = "configuration"
	// StreamSuspects holds reports on request contents that were running when an
	// endpoint crashed.
	StreamSuspects = "suspects"
	// StreamKeys holds claims of idempotency keys.
	StreamKeys = "keys"
	// StreamOrders holds the orders to engines, and the lease that allows a process to
	// issue them.
	StreamOrders = "orders"
)

// NotStored reports whether an error from Log.Append proves that the record was not stored
// and never will be.
func NotStored(err error) bool {
	return HasCode(err, CodeLogUnreached)
}
