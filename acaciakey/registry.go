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
	// Registry claims keys for the requests of one entry. Claims that are made
	// close together share one append.
	Registry struct {
		log      acaciaroute.Log
		stream   *acaciastream.Reader
		recorder *acaciaevent.Recorder
		claims   *acaciaevent.Dependency
		pending  chan *pendingClaim
		worker   *acacialoop.Worker

		mu         sync.Mutex
		index      index
		outage     outage
		appends    int64
		lastAppend time.Time
		awaited    string
		appeared   bool
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
	// appendInterval is the least time between two appends of one entry.
	appendInterval = 50 * time.Millisecond
	// appendTimeout bounds one append.
	appendTimeout = time.Second
	// settleTime is how long a lost answer of the log is looked for.
	settleTime     = 500 * time.Millisecond
	settleInterval = 50 * time.Millisecond
	// followInterval is how often the stream is read without a claim.
	followInterval = time.Second

	maxBatch = 500
	// undecidedRetry is when a caller whose claim was not decided comes back.
	undecidedRetry = 2 * time.Second
)

// New returns a registry that has not started.
func New(log acaciaroute.Log, recorder *acaciaevent.Recorder) *Registry {
	return &Registry{
		log:      log,
		stream:   acaciastream.New(log, acaciaroute.StreamKeys),
		recorder: recorder,
		claims:   acaciaevent.NewDependency(recorder, "claims of keys"),
		pending:  make(chan *pendingClaim, maxBatch),
		worker:   acacialoop.NewWorker(),
		index:    index{holders: map[string]Claim{}},
	}
}

// Start begins to follow the stream until Close or the end of ctx.
func (r *Registry) Start(ctx context.Context) {
	r.worker.Start(ctx, r.run)
}

// Close stops the registry and waits for it.
func (r *Registry) Close() {
	r.worker.Close()
}

// Appends returns how many appends the registry has tried.
func (r *Registry) Appends() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appends
}

// Claim returns the holder of the claim's key, which is the claim itself when it
// won. CodeKeyUndecided says that the log did not decide; the request must then
// not run, and a record that still appears is replaced by a later claim.
func (r *Registry) Claim(ctx context.Context, claim Claim) (Claim, error) {
	if holder, ok := r.holder(claim); ok {
		return holder, nil
	}
	if r.Down() {
		return Claim{}, undecided(nil)
	}
	p := &pendingClaim{claim: claim, result: make(chan claimResult, 1)}
	select {
	case r.pending <- p:
	case <-r.worker.Done():
		return Claim{}, undecided(nil)
	case <-ctx.Done():
		return Claim{}, undecided(ctx.Err())
	}
	select {
	case result := <-p.result:
		return result.holder, result.err
	case <-r.worker.Done():
		return Claim{}, undecided(nil)
	}
}

// holder returns the known holder of the key unless the claim may replace it.
func (r *Registry) holder(claim Claim) (Claim, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holder, ok := r.index.holders[claim.KeyHash]
	if !ok || claim.At.Sub(holder.At) > KeyLife || claim.Replaces == holder.RequestID {
		return Claim{}, false
	}
	return holder, true
}

func (r *Registry) run(ctx context.Context) {
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	r.claims.Note(r.catchUp(ctx))
	for {
		select {
		case p := <-r.pending:
			r.decide(ctx, r.gather(ctx, p))
		case <-ticker.C:
			r.claims.Note(r.catchUp(ctx))
			r.flush(ctx)
			r.mu.Lock()
			r.index.forget(time.Now())
			r.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// gather waits until the next append is allowed and collects the claims made so
// far.
func (r *Registry) gather(ctx context.Context, first *pendingClaim) []*pendingClaim {
	claims := []*pendingClaim{first}
	allowed := time.NewTimer(time.Until(r.lastAppend.Add(appendInterval)))
	defer allowed.Stop()
	for len(claims) < maxBatch {
		select {
		case p := <-r.pending:
			claims = append(claims, p)
		case <-allowed.C:
			return r.drain(claims)
		case <-ctx.Done():
			return claims
		}
	}
	return claims
}

func (r *Registry) drain(claims []*pendingClaim) []*pendingClaim {
	for len(claims) < maxBatch {
		select {
		case p := <-r.pending:
			claims = append(claims, p)
		default:
			return claims
		}
	}
	return claims
}

// decide appends claims and answers each by what the log then says.
func (r *Registry) decide(ctx context.Context, claims []*pendingClaim) {
	b := batch{BatchID: uuid.NewString()}
	for _, p := range claims {
		b.Claims = append(b.Claims, p.claim)
	}
	err := r.append(ctx, b)
	for _, p := range claims {
		p.result <- r.resultFor(p.claim, err)
	}
}

// append stores a batch and returns nil once the index holds its verdicts.
func (r *Registry) append(ctx context.Context, b batch) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r.mu.Lock()
	r.appends++
	r.awaited = b.BatchID
	r.appeared = false
	r.mu.Unlock()
	_, appendErr := r.log.Append(appendCtx, acaciaroute.StreamKeys, data)
	r.lastAppend = time.Now()
	if acaciaroute.NotStored(appendErr) {
		return appendErr
	}
	deadline := time.Now().Add(settleTime)
	for {
		err := r.catchUp(ctx)
		if err == nil && r.appeared {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(appendErr, err, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the claim does not appear"))
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Registry) resultFor(claim Claim, err error) claimResult {
	if err != nil {
		r.recorder.Record(acaciaevent.Event{
			Kind:      acaciaevent.KeyUndecided,
			RequestID: claim.RequestID,
			KeyHash:   claim.KeyHash,
			Detail:    err.Error(),
		})
		return claimResult{err: undecided(err)}
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

// catchUp applies all records that the stream holds.
func (r *Registry) catchUp(ctx context.Context) error {
	began := time.Now()
	err := r.readAll(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outage.note(began, err)
	return err
}

func (r *Registry) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return r.stream.Read(ctx, r.applyAll)
}

func (r *Registry) applyAll(records []acaciaroute.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		id := r.index.apply(record)
		r.appeared = r.appeared || id == r.awaited
	}
}

func undecided(err error) error {
	return &acaciaroute.Error{
		Code:       acaciaroute.CodeKeyUndecided,
		Detail:     "the platform's log did not decide who holds the idempotency key",
		RetryAfter: undecidedRetry,
		Err:        err,
	}
}
