package acaciagateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciarollout"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// rolloutKeeper reads what the store says of the orders, and writes what the table decides.
	rolloutKeeper struct {
		gateway    *Gateway
		dependency *acaciaevent.Dependency
		// readAt is when the last successful read began, and ends is where the topics ended then,
		// or after this process's own writes since.
		readAt time.Time
		ends   map[acaciaplatform.Topic]acaciaplatform.Position
	}

	// rolloutRead is what one read of the store says.
	rolloutRead struct {
		began             time.Time
		orders            acaciaplatform.Position
		statuses, records []acaciaplatform.Change
		ends              map[acaciaplatform.Topic]acaciaplatform.Position
		// moves is how often the store had moved before the read.
		moves int
	}
)

const (
	// rolloutReadInterval is the time between two reads while an order has no verdict in the store.
	rolloutReadInterval = time.Second
	// rolloutCheckInterval is how often the table is asked then for what is to be written.
	rolloutCheckInterval = 100 * time.Millisecond
	// rolloutAttempts is how often a call of the store is made at most before all topics are read again.
	rolloutAttempts = 4
	// rolloutIdleInterval is how often that is checked otherwise; an order wakes the keeper up.
	rolloutIdleInterval = 30 * time.Second
)

var (
	errNotFollowed = errors.New("the operators' topic has been read further here than it is followed")
	errStoreMoved  = errors.New("the store has moved to another address while it was read")
)

// keepRollouts reads and writes the state of orders in the store. Nothing else waits for it.
func (g *Gateway) keepRollouts(ctx context.Context) {
	if g.rollouts == nil {
		return
	}
	k := &rolloutKeeper{gateway: g, dependency: acaciaevent.NewDependency(g.recorder, "store: "+string(acaciaplatform.TopicRollouts))}
	for ctx.Err() == nil {
		pause := rolloutIdleInterval
		if k.needed() {
			pause = rolloutCheckInterval
			err := k.step(ctx)
			if ctx.Err() != nil {
				return
			}
			if !errors.Is(err, errNotFollowed) && !errors.Is(err, errStoreMoved) {
				k.dependency.RecordResult(err)
			}
			if err != nil {
				acacialoop.Sleep(ctx, rand.N(2*acaciafollow.MeanRetryDelay))
			}
		}
		g.rollouts.storeReader.Sleep(ctx, pause)
	}
}

// needed reports whether an order lacks its verdict in the store, or the store has to be read.
func (k *rolloutKeeper) needed() (needed bool) {
	g := k.gateway
	g.loop.Do(func() {
		for service := range g.rollouts.orders {
			needed = needed || g.rollouts.storeStale || !g.rollouts.table.Settled(service)
		}
	})
	return needed
}

// step reads the store if that is due, and writes what is to be written.
func (k *rolloutKeeper) step(ctx context.Context) error {
	g := k.gateway
	stale := false
	g.loop.Do(func() { stale = g.rollouts.storeStale })
	if stale || time.Since(k.readAt) >= rolloutReadInterval {
		if err := k.readAndApply(ctx); err != nil {
			return err
		}
	}
	var writes []acaciarollout.Write
	g.loop.Do(func() {
		if g.rollouts.storeStale {
			// The positions at which the topics end are known no longer.
			return
		}
		for service := range g.rollouts.orders {
			if write, due := g.rollouts.table.NextWrite(service, g.loop.Now()); due {
				writes = append(writes, write)
			}
		}
	})
	var errs []error
	for _, write := range writes {
		errs = append(errs, k.write(ctx, write))
	}
	return errors.Join(errs...)
}

func (k *rolloutKeeper) readAndApply(ctx context.Context) error {
	read, err := k.read(ctx)
	if err != nil {
		return err
	}
	g := k.gateway
	g.loop.Do(func() { err = g.rollouts.applyRead(read) })
	if err == nil {
		k.readAt, k.ends = read.began, read.ends
	}
	return err
}

// read reads the operators' topic, the statuses and the records, in this order, all in one era and, unless applyRead
// refuses what was read, at one address of the store.
func (k *rolloutKeeper) read(ctx context.Context) (rolloutRead, error) {
	store := k.gateway.store
	read := rolloutRead{began: time.Now(), moves: k.gateway.era.Moves(), ends: map[acaciaplatform.Topic]acaciaplatform.Position{}}
	var statuses, records []acaciaplatform.Change
	var orders, statusEnd, recordEnd acaciaplatform.Position
	for _, readTopic := range []func() error{
		func() (err error) { _, orders, err = store.Rollouts(ctx, acaciaplatform.TopicConfiguration); return },
		func() (err error) { statuses, statusEnd, err = store.Rollouts(ctx, acaciaplatform.TopicPeers); return },
		func() (err error) { records, recordEnd, err = store.RolloutRecords(ctx); return },
	} {
		if err := retryCall(ctx, readTopic); err != nil {
			return read, err
		}
	}
	k.gateway.era.Observe(recordEnd.Era, read.moves)
	if orders.Era != recordEnd.Era || statusEnd.Era != recordEnd.Era {
		return read, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the store was restored while it was read")
	}
	read.orders, read.statuses, read.records = orders, statuses, records
	read.ends[acaciaplatform.TopicPeers], read.ends[acaciaplatform.TopicRollouts] = statusEnd, recordEnd
	return read, nil
}

// retryCall repeats a call that fails. A store that refuses many calls would hardly ever answer several in a
// row. A conditional write may be repeated, too: if the one before took effect, the next one is a conflict.
func retryCall(ctx context.Context, call func() error) (err error) {
	for range rolloutAttempts {
		if err = call(); err == nil || isConflict(err) || ctx.Err() != nil {
			return err
		}
		acacialoop.Sleep(ctx, rand.N(rolloutCheckInterval))
	}
	return err
}

// isConflict reports whether the store has refused a write because its topic doesn't end where it should.
func isConflict(err error) bool {
	var codedErr *acaciaroute.Error
	return errors.As(err, &codedErr) && codedErr.Code == acaciaroute.CodeStoreConflict
}

// write writes a record and tells the table what has become of it.
func (k *rolloutKeeper) write(ctx context.Context, write acaciarollout.Write) error {
	g, topic := k.gateway, acaciaplatform.TopicPeers
	if write.Status.State == acaciarollout.StateNone {
		topic = acaciaplatform.TopicRollouts
	}
	at := k.ends[topic]
	err := retryCall(ctx, func() error { return k.put(ctx, write, at) })
	outcome := acaciarollout.OutcomeWritten
	if err != nil {
		outcome = acaciarollout.OutcomeUnknown
	}
	if isConflict(err) {
		outcome, err = acaciarollout.OutcomeConflict, nil
	}
	k.ends[topic] = acaciaplatform.Position{Era: at.Era, Offset: at.Offset + 1}
	g.loop.Do(func() { g.rollouts.recordWrite(write, outcome, at) })
	return err
}

// put appends the record if its topic still ends at the position.
func (k *rolloutKeeper) put(ctx context.Context, write acaciarollout.Write, at acaciaplatform.Position) error {
	store := k.gateway.store
	if write.Status.State != acaciarollout.StateNone {
		status := acaciaplatform.RolloutStatus{State: acaciaplatform.RolloutState(write.Status.State.String()), Target: write.Status.Target}
		return store.PutRolloutStatus(ctx, write.Service, status, at)
	}
	encoded, err := json.Marshal(write.Record)
	if err != nil {
		return err
	}
	return store.PutAt(ctx, acaciaplatform.TopicRollouts, write.Service, encoded, at)
}

// applyRead tells the table what the store says, unless the orders of which it tells aren't known yet. It
// must be called on the loop.
func (r *rollouts) applyRead(read rolloutRead) error {
	if r.gateway.era.Moves() != read.moves {
		return errStoreMoved
	}
	if r.readTo.Era != read.orders.Era || r.readTo.Offset < read.orders.Offset {
		return errNotFollowed
	}
	now := r.gateway.loop.Now()
	statuses := map[string]acaciarollout.Status{}
	for _, change := range read.statuses {
		service, _ := change.RolloutService()
		status, err := change.RolloutStatus()
		if err != nil {
			r.recordUnreadable(service, err)
			continue
		}
		at := rolloutPosition(acaciaplatform.Position{Era: read.orders.Era, Offset: change.Offset})
		statuses[service] = acaciarollout.Status{State: acaciarollout.ParseState(string(status.State)), Target: status.Target, At: at}
	}
	for service := range r.orders {
		r.table.SetStatus(service, statuses[service], now)
	}
	for _, change := range read.records {
		var record acaciarollout.Record
		if err := json.Unmarshal(change.Value, &record); err != nil {
			r.recordUnreadable(change.Key, err)
			continue
		}
		record.Service = change.Key
		r.table.SetRecord(record, now)
	}
	r.table.SetRead(int64(read.orders.Era), read.began, now)
	r.storeStale = false
	r.update()
	return nil
}

func (r *rollouts) recordUnreadable(service string, err error) {
	r.gateway.recorder.Record(acaciaevent.Event{Kind: acaciaevent.RolloutRefused, Service: service, Detail: err.Error()})
}

// recordWrite tells the table what has become of a write to the end of a topic. It must be called on the
// loop.
func (r *rollouts) recordWrite(write acaciarollout.Write, outcome acaciarollout.Outcome, at acaciaplatform.Position) {
	event := acaciaevent.Event{Service: write.Service, Count: write.Order.Offset, Detail: write.Status.State.String()}
	if write.Status.State == acaciarollout.StateNone {
		event.Detail = fmt.Sprintf("step %d", write.Record.Step)
	}
	if write.Reason != "" {
		event.Detail += ": " + write.Reason
	}
	switch outcome {
	case acaciarollout.OutcomeWritten:
		event.Kind = acaciaevent.RolloutWritten
		r.gateway.recorder.Record(event)
	case acaciarollout.OutcomeConflict:
		event.Kind = acaciaevent.RolloutConflict
		r.gateway.recorder.Record(event)
		r.storeStale = true
	case acaciarollout.OutcomeUnknown:
		r.storeStale = true
	}
	r.table.RecordWrite(write, outcome, rolloutPosition(at), r.gateway.loop.Now())
	r.update()
}
