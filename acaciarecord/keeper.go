package acaciarecord

import (
	"context"
	"time"

	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciafollow"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciaorigin"
	"github.com/acaciaroute/acaciaroute/acaciaretry"
	acaciaplatform "github.com/acaciaroute/acaciaroute/platform"
)

type (
	// Dependencies are what a Keeper uses and doesn't own.
	Dependencies struct {
		// Loop is the one on which Origins is used.
		Loop    *acacialoop.Process
		Origins *acaciaorigin.Table
		Store   *acaciaplatform.Store
		Era     *acaciafollow.EraWatch
		Retries *acaciaretry.Schedule
		// Refresher asks for reads of the records, and ends the pause before the next write.
		Refresher *acaciafollow.Refresher
		Recorder  *acaciaevent.Recorder
	}

	// Settings say whose record a Keeper keeps, and when.
	Settings struct {
		// Process is the name of the process, which is the key of its record.
		Process string
		// FirstStart reports whether no stream has begun before this process if there are no records.
		FirstStart bool
		// Ready reports whether the versions in service are known, so that the record may be written.
		Ready func() bool
		// BeforeWrite is called on the loop before a record is made. It reports whether the record is to hold
		// the streams of all processes.
		BeforeWrite func() (withStreams bool)
		// OnLoad is called on the loop with the records of all processes and the store's era.
		OnLoad func(records []acaciaorigin.Record, era acaciaplatform.Era)
	}

	// Keeper keeps a process's record of streams in the store.
	Keeper struct {
		Dependencies
		settings   Settings
		dependency *acaciaevent.Dependency
		retry      *acaciaretry.Caller
		// loaded reports whether the records have been read since the start.
		loaded      bool
		nextWriteAt time.Time
	}
)

const (
	// CheckInterval is how often a process checks whether its record is due though no
	// stream has begun.
	CheckInterval = 400 * time.Millisecond
	// writeInterval is the least time between two records of a process. One process of each region
	// writes when streams begin, the others only when the versions in service change.
	writeInterval = 100 * time.Millisecond
)

// New returns a keeper that neither reads nor writes until Run.
func New(dependencies Dependencies, settings Settings) *Keeper {
	return &Keeper{
		Dependencies: dependencies, settings: settings,
		dependency: acaciaevent.NewDependency(dependencies.Recorder, "store: "+string(acaciaplatform.TopicOrigins)),
		retry:      dependencies.Retries.NewCaller(),
	}
}

// Run keeps the record, and reads those of all processes at the start and whenever that is asked for, until ctx
// ends.
func (k *Keeper) Run(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		began := time.Now()
		err := k.step(ctx)
		if ctx.Err() != nil {
			return
		}
		k.dependency.RecordResult(err)
		switch {
		case err != nil:
			acaciafollow.AwaitRetry(ctx, k.retry, began)
		case failed:
			k.retry.Succeeded()
		}
		failed = err != nil
		pause := CheckInterval
		if untilWrite := time.Until(k.nextWriteAt); untilWrite > 0 {
			pause = min(pause, untilWrite)
		}
		k.Refresher.Sleep(ctx, pause)
	}
}

// step reads the records if they are needed and writes the process's own if that is due.
func (k *Keeper) step(ctx context.Context) error {
	if asked := k.Refresher.Begin(); asked || !k.loaded {
		err := k.load(ctx)
		k.Refresher.End(err)
		if err != nil {
			return err
		}
		k.loaded = true
	}
	if !k.settings.Ready() || time.Now().Before(k.nextWriteAt) {
		return nil
	}
	return k.write(ctx)
}

// load reads the records of all processes, again if the store moves meanwhile.
func (k *Keeper) load(ctx context.Context) error {
	var records []acaciaorigin.Record
	var era acaciaplatform.Era
	moves := k.Era.Moves()
	for lastKey, more := "", true; more; {
		page, err := k.Store.Newest(ctx, acaciaplatform.TopicOrigins, lastKey)
		if err != nil {
			return err
		}
		for _, change := range page.Changes {
			record, err := acaciaorigin.DecodeRecord(change.Value)
			if err != nil {
				k.Recorder.RecordCallFailure("decode the record of streams of "+change.Key, acaciaevent.Event{}, err)
				continue
			}
			records = append(records, record)
		}
		lastKey, more, era = page.LastKey, page.More, page.End.Era
	}
	moved := false
	k.Loop.Do(func() {
		if moved = k.Era.Moves() != moves; moved {
			return
		}
		if k.settings.FirstStart && len(records) == 0 {
			// No stream can have begun before, at whatever version.
			k.Origins.Observe(time.Unix(0, 0))
		}
		k.Origins.Load(records, k.Loop.Now())
		k.settings.OnLoad(records, era)
	})
	if moved {
		return k.load(ctx)
	}
	return nil
}

// write writes the process's record if the store lacks any of it. It must not be called before the records have been
// read, because it replaces that of the process's earlier run.
func (k *Keeper) write(ctx context.Context) error {
	var record acaciaorigin.Record
	due := false
	k.Loop.Do(func() {
		record, due = k.Origins.NextRecord(k.settings.BeforeWrite(), k.Loop.Now())
	})
	if !due {
		return nil
	}
	record.WrittenAt = time.Now()
	k.nextWriteAt = record.WrittenAt.Add(writeInterval)
	encoded, err := record.Encode()
	if err != nil {
		return err
	}
	moves := k.Era.Moves()
	if err := k.Store.Put(ctx, acaciaplatform.TopicOrigins, k.settings.Process, encoded); err != nil {
		return err
	}
	k.Loop.Do(func() {
		if k.Era.Moves() == moves {
			k.Origins.SetWritten(record)
		}
	})
	return nil
}
