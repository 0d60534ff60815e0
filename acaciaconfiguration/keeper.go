package acaciaconfiguration

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acacialoop"
	"github.com/acaciaroute/acaciaroute/acaciatarget"
)

type (
	// Peers asks other processes for their configuration.
	Peers interface {
		// NewestConfiguration returns the newest version that some peers hold; it
		// may ask only a few of them.
		NewestConfiguration(ctx context.Context) (version acaciaroute.Offset, text string, err error)
	}

	// Settings fix the times of a keeper.
	Settings struct {
		// Interval is how often it reads the log.
		Interval time.Duration
		// Retention is how long the log keeps records.
		Retention time.Duration
	}

	// Keeper holds the version in force at one process.
	Keeper struct {
		log       acaciaroute.Log
		peers     Peers
		recorder  *acaciaevent.Recorder
		interval  time.Duration
		retention time.Duration

		mu         sync.Mutex
		judge      *Judge
		next       acaciaroute.Offset
		oldest     acaciaroute.Offset
		lastRecord time.Time
		renewAfter time.Duration
		logDown    bool
		// readAt is when the log was last read to its end.
		readAt time.Time
		// positioned tells that next has been set from the log.
		positioned bool
		changed    []func(Snapshot)
		wake       chan struct{}
		worker     *acacialoop.Worker
	}
)

const (
	// DefaultInterval is the default of Settings.Interval.
	DefaultInterval = time.Second
	// DefaultRetention is the default of Settings.Retention.
	DefaultRetention = time.Hour

	readLimit = 100
	// readTimeout bounds one read of the log.
	readTimeout = 2 * time.Second
)

// New returns a keeper that has not started.
func New(log acaciaroute.Log, peers Peers, recorder *acaciaevent.Recorder, settings Settings) *Keeper {
	return &Keeper{
		log:       log,
		peers:     peers,
		recorder:  recorder,
		interval:  settings.Interval,
		retention: settings.Retention,
		wake:      make(chan struct{}, 1),
		worker:    acacialoop.NewWorker(),
	}
}

// OnChange registers a function that gets every version once it is in force.
// It must be called before Start.
func (k *Keeper) OnChange(f func(Snapshot)) {
	k.changed = append(k.changed, f)
}

// Start begins to follow the log until Close or the end of ctx.
func (k *Keeper) Start(ctx context.Context) {
	k.worker.Start(ctx, k.follow)
}

// Close stops the keeper and waits for it.
func (k *Keeper) Close() {
	k.worker.Close()
}

// Current returns the version in force; its Version is zero when there is none.
func (k *Keeper) Current() Snapshot {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.judge == nil {
		return Snapshot{}
	}
	return k.judge.Current()
}

// ReadAt returns when the log was last read to its end; zero if it never was.
func (k *Keeper) ReadAt() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.readAt
}

// learn takes a version from a peer.
func (k *Keeper) learn(version acaciaroute.Offset, text string) {
	if version <= k.Current().Version {
		return
	}
	targets, err := acaciatarget.Parse([]byte(text))
	if err != nil {
		k.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: version,
			Detail:  "from a peer: " + err.Error(),
		})
		return
	}
	snapshot := Snapshot{Version: version, Text: text, Targets: targets}
	k.mu.Lock()
	if k.judge == nil {
		k.judge = &Judge{}
	}
	newer := version > k.judge.Current().Version
	k.judge.Learn(snapshot)
	if k.positioned {
		k.reread()
	}
	k.mu.Unlock()
	if newer {
		k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationLearned, Version: version})
		k.announce(snapshot)
	}
}

// Hear notes a version number that a peer has mentioned; when it is newer, the
// keeper looks for it at once.
func (k *Keeper) Hear(version acaciaroute.Offset) {
	if version <= k.Current().Version {
		return
	}
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *Keeper) follow(ctx context.Context) {
	k.noteRecord()
	for {
		err := k.readLog(ctx)
		k.noteLog(err)
		if err != nil || k.Current().Version == 0 {
			k.askPeers(ctx)
		}
		k.renewIfOld(ctx)
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
			k.askPeers(ctx)
		case <-time.After(k.interval):
		}
	}
}

// readLog judges all records that it has not seen.
func (k *Keeper) readLog(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := k.position(ctx); err != nil {
		return err
	}
	for {
		records, err := k.log.Read(ctx, acaciaroute.StreamConfiguration, k.next, readLimit)
		if isCode(err, acaciaroute.CodeLogTrimmed) {
			return k.skip(ctx)
		}
		if err != nil {
			return err
		}
		for _, record := range records {
			k.take(record)
		}
		if len(records) < readLimit {
			return nil
		}
	}
}

// position finds the first record to read.
func (k *Keeper) position(ctx context.Context) error {
	if k.positioned {
		return nil
	}
	oldest, _, err := k.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next = oldest
	k.oldest = oldest
	k.positioned = true
	if k.judge == nil {
		k.judge = NewJudge(oldest)
	}
	k.reread()
	return nil
}

// reread lets a judge that has missed records judge again from the version that
// it has learned, if the log still keeps all records since.
func (k *Keeper) reread() {
	version := k.judge.Current().Version
	if k.judge.Anchored() || version == 0 || version < k.oldest {
		return
	}
	k.next = version
	k.judge.Anchor()
}

// skip goes on behind records that retention dropped before they were read.
func (k *Keeper) skip(ctx context.Context) error {
	oldest, _, err := k.log.Head(ctx, acaciaroute.StreamConfiguration)
	if err != nil {
		return err
	}
	k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.LogTrimmed, Count: int64(oldest - k.next)})
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next = oldest
	k.oldest = oldest
	k.judge.Unanchor()
	return nil
}

func (k *Keeper) take(record acaciaroute.Record) {
	k.mu.Lock()
	before := k.judge.Current().Version
	if record.Offset+1 > before {
		k.noteRecord()
	}
	verdict := k.judge.Judge(record)
	current := k.judge.Current()
	k.next = record.Offset + 1
	k.mu.Unlock()
	if !verdict.Accepted {
		k.recorder.Record(acaciaevent.Event{
			Kind:    acaciaevent.ConfigurationRefused,
			Version: record.Offset + 1,
			Detail:  verdict.Reason.Error(),
		})
		return
	}
	if current.Version > before {
		k.announce(current)
	}
}

func (k *Keeper) announce(snapshot Snapshot) {
	k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationApplied, Version: snapshot.Version})
	for _, f := range k.changed {
		f(snapshot)
	}
}

func (k *Keeper) askPeers(ctx context.Context) {
	if k.peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	version, text, err := k.peers.NewestConfiguration(ctx)
	if err == nil {
		k.learn(version, text)
	}
}

// renewIfOld publishes the version in force again before retention drops its
// last record, so that processes that start later find it. The random part
// of the delay lets one process do it for all.
func (k *Keeper) renewIfOld(ctx context.Context) {
	current := k.Current()
	if current.Version == 0 || time.Since(k.lastRecord) < k.renewAfter {
		return
	}
	k.noteRecord()
	if k.logDown || !k.judge.Anchored() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	publication := Publication{
		ProposalID: uuid.NewString(),
		BasedOn:    current.Version,
		Renews:     current.Version,
		JudgedTo:   k.next,
		Targets:    current.Text,
	}
	if err := appendPublication(ctx, k.log, publication); err == nil {
		k.recorder.Record(acaciaevent.Event{Kind: acaciaevent.ConfigurationKept, Version: current.Version})
	}
}

// noteRecord begins the time until the next renewal.
func (k *Keeper) noteRecord() {
	k.lastRecord = time.Now()
	third := float64(k.retention / 3)
	k.renewAfter = time.Duration(third * (1 + rand.Float64()/2))
}

func (k *Keeper) noteLog(err error) {
	down := err != nil
	if !down {
		k.mu.Lock()
		k.readAt = time.Now()
		k.mu.Unlock()
	}
	if down == k.logDown {
		return
	}
	k.logDown = down
	kind := acaciaevent.LogUp
	detail := ""
	if down {
		kind = acaciaevent.LogDown
		detail = err.Error()
	}
	k.recorder.Record(acaciaevent.Event{Kind: kind, Detail: detail})
}

func isCode(err error, code acaciaroute.Code) bool {
	var coded *acaciaroute.Error
	return errors.As(err, &coded) && coded.Code == code
}
