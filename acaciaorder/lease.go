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
	// Lease is one process's view of the lease that allows its holder to issue orders.
	// It is not safe for concurrent use.
	Lease struct {
		log    acaciaroute.Log
		holder string

		// positioned reports whether next, the offset of the next record to read, has
		// been set from the log.
		positioned   bool
		next         acaciaroute.Offset
		latest       leaseState
		recentOrders []issuedOrder
		// appendedID is the ID of the record that this process appended last, and
		// appended is what it has read of that record.
		appendedID string
		appended   appendedRecord
	}

	// leaseState is the holder of the lease according to the newest valid record.
	leaseState struct {
		holder string
		// readAt is when this process read that record.
		readAt time.Time
	}

	// issuedOrder is an order that some process has appended to the stream.
	issuedOrder struct {
		Instruction
		readAt time.Time
	}

	// appendedRecord is the position and validity of an appended record, once it has
	// been found in the stream.
	appendedRecord struct {
		offset acaciaroute.Offset
		valid  bool
		found  bool
	}
)

const (
	// LeaseDuration is how long a holder keeps the lease without appending a record.
	LeaseDuration = 10 * time.Second
	// renewInterval is how long after the newest record the holder appends another
	// one while orders are missing or being executed.
	renewInterval = LeaseDuration / 3
	// reissueDelay is the minimum time before an issued order is issued again. Until
	// then, its effect may not show in the VM list yet.
	reissueDelay = 2 * time.Minute

	// tailRecords is how many of the newest records a process reads when it starts. It
	// also limits the number of issued orders that a Lease remembers.
	tailRecords = 200
	readLimit   = 200
	callTimeout = time.Second
	// lookupTimeout limits how long Append searches the stream for its own record.
	lookupTimeout  = 500 * time.Millisecond
	lookupInterval = 50 * time.Millisecond
)

// NewLease returns the lease as seen by a process that has not read the stream and
// does not hold the lease. The holder name is unique to each call, so that a restarted
// process does not hold the lease of its predecessor.
func NewLease(log acaciaroute.Log, process string) *Lease {
	return &Lease{log: log, holder: process + "/" + uuid.NewString()}
}

// Held reports whether this process was the holder at the last Refresh.
func (l *Lease) Held() bool {
	return l.latest.holder == l.holder
}

// Available reports whether the lease may be taken. It may if the stream has never had
// a record, or if this process has read no valid record for longer than LeaseDuration.
// The process measures this time by its own clock, and not from before it started to
// read the stream.
func (l *Lease) Available() bool {
	return l.positioned && time.Since(l.latest.readAt) > LeaseDuration
}

// RenewalDue reports whether the holder should append a record to keep the lease.
func (l *Lease) RenewalDue() bool {
	return time.Since(l.latest.readAt) > renewInterval
}

// RecentlyIssued reports whether this order, or one that differs only in its VM, was
// issued within reissueDelay.
func (l *Lease) RecentlyIssued(instruction Instruction) bool {
	for _, order := range l.recentOrders {
		if order.sameExceptVM(instruction) && time.Since(order.readAt) < reissueDelay {
			return true
		}
	}
	return false
}

// ForgetIssued removes an order from the recently issued ones, so that an order that had
// no effect may be issued again before reissueDelay has passed.
func (l *Lease) ForgetIssued(instruction Instruction) {
	var kept []issuedOrder
	for _, order := range l.recentOrders {
		if !order.sameExceptVM(instruction) {
			kept = append(kept, order)
		}
	}
	l.recentOrders = kept
}

// sameExceptVM reports whether two orders differ at most in their VM, so that one of
// them is sufficient.
func (i Instruction) sameExceptVM(other Instruction) bool {
	return i.Action == other.Action && i.Model == other.Model && i.Service == other.Service && i.Region == other.Region
}

// Refresh reads the new records of the stream.
func (l *Lease) Refresh(ctx context.Context) error {
	if !l.positioned {
		if err := l.seekTail(ctx); err != nil {
			return err
		}
	}
	for {
		records, err := l.readNext(ctx)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			return nil
		}
		for _, entry := range records {
			l.applyRecord(entry)
		}
	}
}

// Append appends a record that takes or renews the lease and, if instruction is not
// nil, contains an order. It returns the record's offset. CodeOrderFenced means that
// another process appended a record first.
func (l *Lease) Append(ctx context.Context, instruction *Instruction) (acaciaroute.Offset, error) {
	r := record{RecordID: uuid.NewString(), Holder: l.holder, After: l.next - 1, Instruction: instruction}
	data, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	l.appendedID = r.RecordID
	l.appended = appendedRecord{}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, appendErr := l.log.Append(callCtx, acaciaroute.StreamOrders, data)
	if acaciaroute.NotStored(appendErr) {
		return 0, appendErr
	}
	return l.findAppended(ctx, appendErr)
}

// findAppended searches the stream for the appended record. It finds the record also
// if the log's response was lost.
func (l *Lease) findAppended(ctx context.Context, appendErr error) (acaciaroute.Offset, error) {
	deadline := time.Now().Add(lookupTimeout)
	for {
		err := l.Refresh(ctx)
		switch {
		case l.appended.found && l.appended.valid:
			return l.appended.offset, nil
		case l.appended.found:
			return 0, acaciaroute.Errorf(acaciaroute.CodeOrderFenced, "another process appended a record first")
		case time.Now().After(deadline):
			return 0, errors.Join(appendErr, err, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the appended record was not found in the log"))
		}
		select {
		case <-time.After(lookupInterval):
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// seekTail moves to the last tailRecords records of the stream. Unless the stream has
// never had a record, the lease counts as held from now on, because the holder is not
// known yet.
func (l *Lease) seekTail(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	oldest, next, err := l.log.Head(ctx, acaciaroute.StreamOrders)
	if err != nil {
		return err
	}
	l.next = max(oldest, next-tailRecords)
	l.latest.readAt = time.Now()
	if next == 0 {
		l.latest.readAt = time.Time{}
	}
	l.positioned = true
	return nil
}

func (l *Lease) readNext(ctx context.Context) ([]acaciaroute.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := l.log.Read(ctx, acaciaroute.StreamOrders, l.next, readLimit)
	if acaciaroute.HasCode(err, acaciaroute.CodeLogTrimmed) {
		l.positioned = false
	}
	return records, err
}

func (l *Lease) applyRecord(entry acaciaroute.Record) {
	l.next = entry.Offset + 1
	r, valid := parseRecord(entry)
	if r.RecordID != "" && r.RecordID == l.appendedID {
		l.appended = appendedRecord{offset: entry.Offset, valid: valid, found: true}
	}
	if !valid {
		return
	}
	now := time.Now()
	l.latest = leaseState{holder: r.Holder, readAt: now}
	if r.Instruction == nil {
		return
	}
	l.ForgetIssued(*r.Instruction)
	l.recentOrders = append(l.recentOrders, issuedOrder{Instruction: *r.Instruction, readAt: now})
	l.recentOrders = l.recentOrders[max(0, len(l.recentOrders)-tailRecords):]
}
