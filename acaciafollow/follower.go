package acaciafollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaretry"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Settings say which topic a Follower reads, how often, and whom it tells.
	Settings struct {
		Topic acaciaplatform.Topic
		// ChangeBound, if set, returns the time within which a change must be in force; without it the store
		// isn't to wait for changes. PollInterval is the pause between two calls.
		ChangeBound  func() time.Duration
		PollInterval time.Duration
		// OnSnapshot is called with the newest record of every key, OnChanges with the changes
		// after it.
		OnSnapshot func(read Read)
		OnChanges  func(read Read)
		// Refresher, if set, asks for reads before they are due.
		Refresher *Refresher
		// OnStoreState, if set, is called after every read; down reports whether it failed.
		OnStoreState func(down bool)
	}

	// Read is what a read of a topic says.
	Read struct {
		Changes []acaciaplatform.Change
		// Position is up to where the topic has been read; its era is that of the last snapshot.
		Position acaciaplatform.Position
		// Restored reports whether a snapshot is the first one of another state of the store.
		Restored bool
		// Began is when the read began, MaxWait how long the store may wait for a change in a read.
		Began   time.Time
		MaxWait time.Duration
	}

	// Follower reads one topic of the store: first a snapshot with the newest record of
	// every key, then the changes after it.
	Follower struct {
		settings   Settings
		store      *acaciaplatform.Store
		era        *EraWatch
		recorder   *acaciaevent.Recorder
		dependency *acaciaevent.Dependency
		retry      *acaciaretry.Caller
		// readBegan is when the last read began.
		readBegan time.Time
		// position is up to where the topic has been read; its era is that of the last snapshot.
		position acaciaplatform.Position
		// moves is how often the store had moved when the last snapshot was read.
		moves int
	}

	// topicSnapshot holds the newest record of every key of a topic.
	topicSnapshot struct {
		changes  []acaciaplatform.Change
		position acaciaplatform.Position
		// moves is how often the store had moved before all of the snapshot was read.
		moves int
	}
)

const (
	// A read that waits for a change must end early enough that the next one still finds a
	// change in time: the store waits for longPollShare of the bound, and its response may take
	// responseShare of it more.
	longPollShare = 0.5
	responseShare = 0.25
)

// New returns a follower that reads nothing until Run. The followers of a process share the era and the retries.
func New(store *acaciaplatform.Store, era *EraWatch, retries *acaciaretry.Schedule, recorder *acaciaevent.Recorder, settings Settings) *Follower {
	return &Follower{
		settings: settings, store: store, era: era, recorder: recorder,
		dependency: acaciaevent.NewDependency(recorder, "store: "+string(settings.Topic)),
		retry:      retries.NewCaller(),
	}
}

// Run follows the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.recordResult(f.readTopic(ctx))
		acacialoop.Sleep(ctx, rand.N(2*MeanRetryDelay))
	}
}

// readTopic reads a snapshot and then changes. It returns when ctx ends, the store has trimmed
// changes that were not read yet, or it has been restored from a copy, which gives offsets to other
// records; after other failures it retries.
func (f *Follower) readTopic(ctx context.Context) error {
	f.beginRefresh()
	snapshot, err := f.readSnapshot(ctx)
	if err != nil {
		return err
	}
	f.recordResult(nil)
	restored, position := f.restored(snapshot), snapshot.position
	f.position, f.moves = position, snapshot.moves
	f.settings.OnSnapshot(f.newRead(snapshot.changes, restored))
	f.endRefresh(nil)
	eraContext, cancel := f.era.contextWithin(ctx, position.Era, f.moves)
	defer cancel()
	// A snapshot of many pages takes long to read, so the changes made meanwhile are read
	// without a pause.
	wait := f.longPollTimeout()
	for eraContext.Err() == nil {
		f.beginRefresh()
		batch, err := f.readChanges(eraContext, position, wait)
		if f.era.Moves() != f.moves {
			// The read was cut off, or its changes may be those of another store. Who waits for it gets the result
			// of the next one.
			break
		}
		if acaciaroute.HasCode(err, acaciaroute.CodeLogTrimmed) {
			return err
		}
		f.recordResult(err)
		if err != nil {
			f.endRefresh(err)
			// The next read doesn't wait for a change, so that it tells the era at once.
			wait = 0
			AwaitRetry(eraContext, f.retry, f.readBegan)
			continue
		}
		f.retry.Succeeded()
		wait = f.longPollTimeout()
		f.era.Observe(batch.Next.Era, f.moves)
		if batch.Next.Era.Replaces(position.Era) || batch.End < position.Offset {
			break
		}
		position = batch.Next
		f.position.Offset = position.Offset
		f.settings.OnChanges(f.newRead(batch.Changes, false))
		f.endRefresh(nil)
		f.pause(eraContext)
	}
	f.recordRestore(ctx, position)
	return nil
}

// restored reports whether a snapshot is of another state of the store than the one that was read before: of
// another era, or of a store at another address that doesn't hold all of what was read.
func (f *Follower) restored(snapshot topicSnapshot) bool {
	if f.position.Era != 0 && snapshot.position.Era.Replaces(f.position.Era) {
		return true
	}
	return f.moves != snapshot.moves && snapshot.position.Offset < f.position.Offset
}

// newRead returns what the last read says.
func (f *Follower) newRead(changes []acaciaplatform.Change, restored bool) Read {
	return Read{Changes: changes, Position: f.position, Restored: restored, Began: f.readBegan, MaxWait: f.longPollTimeout()}
}

// longPollTimeout returns how long the store may wait for a change before it responds.
func (f *Follower) longPollTimeout() time.Duration {
	if f.settings.ChangeBound == nil {
		return 0
	}
	return time.Duration(longPollShare * float64(f.settings.ChangeBound()))
}

// responseMargin returns how much longer the response may take.
func (f *Follower) responseMargin() time.Duration {
	return time.Duration(responseShare * float64(f.settings.ChangeBound()))
}

// beginRefresh and endRefresh tell the refresher, if there is one, of a read.
func (f *Follower) beginRefresh() {
	f.readBegan = time.Now()
	if f.settings.Refresher != nil {
		f.settings.Refresher.Begin()
	}
}

func (f *Follower) endRefresh(err error) {
	if f.settings.Refresher != nil {
		f.settings.Refresher.End(err)
	}
}

// pause waits until the next read is due or asked for.
func (f *Follower) pause(ctx context.Context) {
	if f.settings.Refresher == nil {
		acacialoop.Sleep(ctx, f.settings.PollInterval)
		return
	}
	f.settings.Refresher.Sleep(ctx, f.settings.PollInterval)
}

// readChanges reads the changes from a position on; wait is how long the store may wait for one.
func (f *Follower) readChanges(ctx context.Context, from acaciaplatform.Position, wait time.Duration) (acaciaplatform.Batch, error) {
	if wait > 0 {
		// To the client, a store that has dropped the call looks like one without a change.
		limited, cancel := context.WithTimeout(ctx, wait+f.responseMargin())
		defer cancel()
		ctx = limited
	}
	return f.store.Changes(ctx, f.settings.Topic, from, wait)
}

// readSnapshot reads the newest record of every key, page by page, and retries a page whose
// call fails. It starts again if the store is restored from a copy meanwhile, or moves.
//
// Load pattern: hundreds of processes start at once and the store refuses most calls. A
// process that started again from the first page after each failure would hardly ever reach
// the last one.
func (f *Follower) readSnapshot(ctx context.Context) (topicSnapshot, error) {
	snapshot := topicSnapshot{moves: f.era.Moves()}
	for lastKey := ""; ctx.Err() == nil; {
		began := time.Now()
		page, err := f.store.Newest(ctx, f.settings.Topic, lastKey)
		if err != nil {
			f.recordResult(err)
			AwaitRetry(ctx, f.retry, began)
			continue
		}
		f.retry.Succeeded()
		f.era.Observe(page.End.Era, snapshot.moves)
		if moves := f.era.Moves(); moves != snapshot.moves || lastKey != "" && page.End.Era.Replaces(snapshot.position.Era) {
			snapshot, lastKey = topicSnapshot{moves: moves}, ""
			continue
		}
		snapshot.changes = append(snapshot.changes, page.Changes...)
		if lastKey == "" {
			snapshot.position = page.End
		}
		if !page.More {
			return snapshot, nil
		}
		lastKey = page.LastKey
	}
	return topicSnapshot{}, ctx.Err()
}

// recordRestore records that the topic is read anew because the store was restored from a copy,
// unless ctx has ended or the store has another address, which has an event of its own.
func (f *Follower) recordRestore(ctx context.Context, last acaciaplatform.Position) {
	if ctx.Err() != nil || f.era.Moves() != f.moves {
		return
	}
	f.recorder.Record(acaciaevent.Event{
		Kind:   acaciaevent.StoreRestored,
		Detail: fmt.Sprintf("%s: era %d after %d; the topic is read anew, it was read up to offset %d", f.settings.Topic, f.era.Current(), last.Era, last.Offset),
	})
}

// recordResult records whether a read of the store succeeded.
func (f *Follower) recordResult(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	f.dependency.RecordResult(err)
	if f.settings.OnStoreState != nil {
		f.settings.OnStoreState(err != nil)
	}
}
