package acaciakey

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciastream"
)

type (
	// Registry claims idempotency keys for the requests of one entry. Claims that are
	// made close together share one append to the log.
	Registry struct {
		log        acaciaroute.Log
		stream     *acaciastream.Reader
		recorder   *acaciaevent.Recorder
		dependency *acaciaevent.Dependency
		pending    chan *pendingClaim
		worker     *acacialoop.Worker

		mu             sync.Mutex
		index          index
		outage         outage
		appendAttempts int64
		lastAppend     time.Time
		// awaitedBatchID is the ID of the batch that was appended last; batchApplied
		// reports whether the index contains it.
		awaitedBatchID string
		batchApplied   bool
	}

	pendingClaim struct {
		claim  Claim
		result chan claimResult
	}

	claimResult struct {
		holder Claim
		err    error
	}
)

const (
	// appendInterval is the minimum time between two appends of one entry.
	appendInterval = 50 * time.Millisecond
	// appendTimeout limits one append, and one read of the stream.
	appendTimeout = time.Second
	// confirmTimeout is how long after an append the registry waits for the batch to
	// appear in the stream.
	confirmTimeout  = 500 * time.Millisecond
	confirmInterval = 50 * time.Millisecond
	// pollInterval is how often the stream is read when there are no claims.
	pollInterval = time.Second

	maxBatchClaims = 500
	// undecidedRetryAfter is the RetryAfter of the error for an undecided claim.
	undecidedRetryAfter = 2 * time.Second
)

// New returns a registry that is not started yet.
func New(log acaciaroute.Log, recorder *acaciaevent.Recorder) *Registry {
	return &Registry{
		log:        log,
		stream:     acaciastream.New(log, acaciaroute.StreamKeys),
		recorder:   recorder,
		dependency: acaciaevent.NewDependency(recorder, "idempotency key claims"),
		pending:    make(chan *pendingClaim, maxBatchClaims),
		worker:     acacialoop.NewWorker(),
		index:      index{holders: map[string]Claim{}},
	}
}

// Start starts the registry, which runs until Close is called or ctx ends.
func (r *Registry) Start(ctx context.Context) {
	r.worker.Start(ctx, r.run)
}

// Close stops the registry and waits until it has stopped.
func (r *Registry) Close() {
	r.worker.Close()
}

// AppendAttempts returns how many appends to the log the registry has attempted.
func (r *Registry) AppendAttempts() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appendAttempts
}

// Claim claims a key and returns its holder, which is the claim itself if the claim
// succeeded. An error with CodeKeyUndecided means that the log did not decide. The request
// must not run then; if its claim appears in the log later, another claim can replace it.
func (r *Registry) Claim(ctx context.Context, claim Claim) (Claim, error) {
	if holder, ok := r.knownHolder(claim); ok {
		return holder, nil
	}
	if r.LogDown() {
		return Claim{}, undecidedError(nil)
	}
	p := &pendingClaim{claim: claim, result: make(chan claimResult, 1)}
	select {
	case r.pending <- p:
	case <-r.worker.Done():
		return Claim{}, undecidedError(nil)
	case <-ctx.Done():
		return Claim{}, undecidedError(ctx.Err())
	}
	select {
	case result := <-p.result:
		return result.holder, result.err
	case <-r.worker.Done():
		return Claim{}, undecidedError(nil)
	}
}

// knownHolder returns the holder of the claim's key in the index. It returns false if there
// is none or if the claim may replace it.
func (r *Registry) knownHolder(claim Claim) (Claim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holder, ok := r.index.holders[claim.KeyHash]
	if !ok || claim.At.Sub(holder.At) > KeyRetention || claim.Replaces == holder.RequestID {
		return Claim{}, false
	}
	return holder, true
}

func (r *Registry) run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	r.dependency.RecordResult(r.catchUp(ctx))
	for {
		select {
		case p := <-r.pending:
			r.decideClaims(ctx, r.collectBatch(ctx, p))
		case <-ticker.C:
			r.dependency.RecordResult(r.catchUp(ctx))
			r.appendUnlogged(ctx)
			r.mu.Lock()
			r.index.removeExpired(time.Now())
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// collectBatch waits until the next append is allowed and returns the claims made until
// then. It returns earlier if the batch is full or ctx ends.
func (r *Registry) collectBatch(ctx context.Context, first *pendingClaim) []*pendingClaim {
	claims := []*pendingClaim{first}
	appendAllowed := time.NewTimer(time.Until(r.lastAppend.Add(appendInterval)))
	defer appendAllowed.Stop()
	for len(claims) < maxBatchClaims {
		select {
		case p := <-r.pending:
			claims = append(claims, p)
		case <-appendAllowed.C:
			return r.collectPending(claims)
		case <-ctx.Done():
			return claims
		}
	}
	return claims
}

// collectPending adds the pending claims without waiting, up to a full batch.
func (r *Registry) collectPending(claims []*pendingClaim) []*pendingClaim {
	for len(claims) < maxBatchClaims {
		select {
		case p := <-r.pending:
			claims = append(claims, p)
		default:
			return claims
		}
	}
	return claims
}

// decideClaims appends claims to the log and sends each its result.
func (r *Registry) decideClaims(ctx context.Context, claims []*pendingClaim) {
	b := batch{BatchID: uuid.NewString()}
	for _, p := range claims {
		b.Claims = append(b.Claims, p.claim)
	}
	err := r.appendBatch(ctx, b)
	for _, p := range claims {
		p.result <- r.recordResult(p.claim, err)
	}
}

// appendBatch appends a batch to the log and returns nil once the batch has been applied to
// the index. An append that was certainly not stored fails at once. If the log's reply was
// lost, the batch may still appear in the stream, so the stream is read until confirmTimeout
// has passed.
func (r *Registry) appendBatch(ctx context.Context, b batch) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r.mu.Lock()
	r.appendAttempts++
	r.awaitedBatchID = b.BatchID
	r.batchApplied = false
	r.mu.Unlock()
	_, appendErr := r.log.Append(appendCtx, acaciaroute.StreamKeys, data)
	r.lastAppend = time.Now()
	if acaciaroute.NotStored(appendErr) {
		return appendErr
	}
	deadline := time.Now().Add(confirmTimeout)
	for {
		err := r.catchUp(ctx)
		if err == nil && r.batchApplied {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(appendErr, err, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the claim did not appear in the log"))
		}
		select {
		case <-time.After(confirmInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordResult records the outcome of a claim as an event and returns the outcome; err is
// the error of the append.
func (r *Registry) recordResult(claim Claim, err error) claimResult {
	if err != nil {
		r.recorder.Record(acaciaevent.Event{
			Kind:      acaciaevent.KeyUndecided,
			RequestID: claim.RequestID,
			KeyHash:   claim.KeyHash,
			Detail:    err.Error(),
		})
		return claimResult{err: undecidedError(err)}
	}
	r.mu.Lock()
	holder := r.index.holders[claim.KeyHash]
	r.mu.Unlock()
	r.recorder.Record(acaciaevent.Event{
		Kind:      acaciaevent.KeyClaimed,
		RequestID: claim.RequestID,
		KeyHash:   claim.KeyHash,
		Detail:    holder.RequestID,
	})
	return claimResult{holder: holder}
}

// catchUp applies all new records of the stream and records whether the log could be read.
func (r *Registry) catchUp(ctx context.Context) error {
	began := time.Now()
	err := r.readStream(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage.recordRead(began, err)
	return err
}

func (r *Registry) readStream(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return r.stream.Read(ctx, r.applyRecords)
}

func (r *Registry) applyRecords(records []acaciaroute.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		id := r.index.apply(record)
		r.batchApplied = r.batchApplied || id == r.awaitedBatchID
	}
}

func undecidedError(err error) error {
	return &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "the platform log could not determine the holder of the idempotency key",
		RetryAfter: undecidedRetryAfter,
		Err:        err,
	}
}
