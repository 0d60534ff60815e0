package acaciaorder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Lease is one process's view of who may give orders. It is not safe for
	// concurrent use.
	Lease struct {
		log    acaciaroute.Log
		holder string

		placed bool
		next   acaciaroute.Offset
		newest tenure
		issued []issued
		// awaited is the record whose place in the stream is looked for.
		awaited string
		found   placement
	}

	// tenure is who held the lease by the newest record that counts.
	tenure struct {
		holder string
		// seen is when this process read that record.
		seen time.Time
	}

	// issued is an order that somebody has written down.
	issued struct {
		Instruction
		seen time.Time
	}

	placement struct {
		offset acaciaroute.Offset
		counts bool
		seen   bool
	}
)

const (
	// LeaseTime is how long a holder that writes nothing keeps the lease.
	LeaseTime = 10 * time.Second
	// renewInterval is how often a holder with work writes something.
	renewInterval = LeaseTime / 3
	// issuedLife is how long an order is expected to show in the VM list.
	issuedLife = 2 * time.Minute

	// tailRecords is how far back a process reads that has just started.
	tailRecords    = 200
	readLimit      = 200
	callTimeout    = time.Second
	settleTime     = 500 * time.Millisecond
	settleInterval = 50 * time.Millisecond
)

// NewLease returns the view of a process that has read nothing and holds nothing.
func NewLease(log acaciaroute.Log, process string) *Lease {
	return &Lease{log: log, holder: process + "/" + uuid.NewString()}
}

// Held reports whether this process was the holder at the last Refresh.
func (l *Lease) Held() bool {
	return l.newest.holder == l.holder
}

// Free reports whether the lease may be taken: nobody has held it for LeaseTime, by
// this process's own clock since it read the newest record.
func (l *Lease) Free() bool {
	return l.placed && time.Since(l.newest.seen) > LeaseTime
}

// Due reports whether the holder has to write soon.
func (l *Lease) Due() bool {
	return time.Since(l.newest.seen) > renewInterval
}

// Issued reports whether an order like this one was lately written down.
func (l *Lease) Issued(instruction Instruction) bool {
	for _, order := range l.issued {
		if order.sameModel(instruction) && time.Since(order.seen) < issuedLife {
			return true
		}
	}
	return false
}

// Forget lets an order be given again, because it had no effect.
func (l *Lease) Forget(instruction Instruction) {
	var kept []issued
	for _, order := range l.issued {
		if !order.sameModel(instruction) {
			kept = append(kept, order)
		}
	}
	l.issued = kept
}

// sameModel reports whether two orders serve the same need.
func (i Instruction) sameModel(other Instruction) bool {
	return i.Action == other.Action && i.Model == other.Model && i.Service == other.Service && i.Region == other.Region
}

// Refresh reads the stream to its end.
func (l *Lease) Refresh(ctx context.Context) error {
	if !l.placed {
		if err := l.place(ctx); err != nil {
			return err
		}
	}
	for {
		records, err := l.read(ctx)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		for _, entry := range records {
			l.apply(entry)
		}
	}
}

// Write appends a record that takes or renews the lease and may give an order, and
// returns its offset. CodeOrderFenced says that somebody else wrote first.
func (l *Lease) Write(ctx context.Context, instruction *Instruction) (acaciaroute.Offset, error) {
	r := record{RecordID: uuid.NewString(), Holder: l.holder, After: l.next - 1, Instruction: instruction}
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	l.awaited = r.RecordID
	l.found = placement{}
	called, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, appendErr := l.log.Append(called, acaciaroute.StreamOrders, data)
	if acaciaroute.NotStored(appendErr) {
		return 0, appendErr
	}
	return l.settle(ctx, appendErr)
}

// settle looks for the record that was written, also when the answer was lost.
func (l *Lease) settle(ctx context.Context, cause error) (acaciaroute.Offset, error) {
	deadline := time.Now().Add(settleTime)
	for {
		err := l.Refresh(ctx)
		switch {
		case l.found.seen && l.found.counts:
			return l.found.offset, nil
		case l.found.seen:
			return 0, acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "another process wrote an order first")
		case time.Now().After(deadline):
			return 0, errors.Join(cause, err, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the order does not appear in the log"))
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// place starts near the end of the stream.
func (l *Lease) place(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	oldest, next, err := l.log.Head(ctx, acaciaroute.StreamOrders)
	if err != nil {
		return err
	}
	l.next = max(oldest, next-tailRecords)
	l.newest.seen = time.Now()
	if next == 0 {
		l.newest.seen = time.Time{}
	}
	l.placed = true
	return nil
}

func (l *Lease) read(ctx context.Context) ([]acaciaroute.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := l.log.Read(ctx, acaciaroute.StreamOrders, l.next, readLimit)
	var coded *acaciaroute.Error
	if errors.As(err, &coded) && coded.Code == acaciaroute.CodeLogTrimmed {
		l.placed = false
	}
	return records, err
}

func (l *Lease) apply(entry acaciaroute.Record) {
	l.next = entry.Offset + 1
	r, counts := parseRecord(entry)
	if r.RecordID != "" && r.RecordID == l.awaited {
		l.found = placement{offset: entry.Offset, counts: counts, seen: true}
	}
	if !counts {
		return
	}
	now := time.Now()
	l.newest = tenure{holder: r.Holder, seen: now}
	if r.Instruction == nil {
		return
	}
	l.Forget(*r.Instruction)
	l.issued = append(l.issued, issued{Instruction: *r.Instruction, seen: now})
	l.issued = l.issued[max(0, len(l.issued)-tailRecords):]
}
