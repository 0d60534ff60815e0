package acaciarun

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciawire"
)

// readAll reads an answer from offset to its end.
func readAll(t assert.TestingT, a *Answer, offset int64) ([]byte, *End) {
	var got []byte
	for {
		part, err := a.Next(context.Background(), offset)
		assert.NilError(t, err)
		got = append(got, part.Data...)
		offset += int64(len(part.Data))
		if part.End != nil {
			return got, part.End
		}
	}
}

func TestAnswerReadFromAnyOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 200), 0, 20).Draw(t, "parts")
		whole := bytes.Join(parts, nil)
		offset := rapid.IntRange(0, len(whole)).Draw(t, "offset")
		a := NewAnswer(0, 0)
		written := make(chan struct{})
		go func() {
			defer close(written)
			for _, part := range parts {
				_ = a.Append(context.Background(), part)
			}
			a.Finish(acaciaroute.CodeOK, "")
		}()
		got, end := readAll(t, a, 0)
		<-written
		assert.DeepEqual(t, append([]byte{}, got...), append([]byte{}, whole...))
		assert.Equal(t, end.Total, int64(len(whole)))
		assert.Equal(t, end.Digest, xxhash.Sum64(whole))
		tail, _ := readAll(t, a, int64(offset))
		assert.Check(t, bytes.Equal(tail, whole[offset:]))
	})
}

func TestFullWindowBlocksAppendWithoutLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxUnreadBytes, replayBytes, parts = 1000, 300, 50
		a := NewAnswer(maxUnreadBytes, replayBytes)
		go func() {
			for range parts {
				_ = a.Append(context.Background(), make([]byte, 100))
			}
			a.Finish(acaciaroute.CodeOK, "")
		}()
		synctest.Wait()
		assert.Equal(t, a.Len(), maxUnreadBytes)
		got, _ := readAll(t, a, 0)
		assert.Equal(t, len(got), parts*100)
		assert.Check(t, a.Len() <= maxUnreadBytes+2*replayBytes, "%d bytes are retained", a.Len())
		_, err := a.Next(context.Background(), 0)
		assert.ErrorContains(t, err, "3002")
	})
}

// Guards against discarding bytes that were read from the answer but lost on a
// connection that broke: a reader must be able to resume up to replayBytes earlier.
func TestReplayAfterConnectionLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxUnreadBytes = 1000
		replayBytes := rapid.IntRange(0, 500).Draw(t, "replayBytes")
		lostBytes := rapid.IntRange(0, replayBytes).Draw(t, "lostBytes")
		a := NewAnswer(maxUnreadBytes, replayBytes)
		whole := make([]byte, 0, 20*maxUnreadBytes)
		readOffset := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "parts") {
			data := rapid.SliceOfN(rapid.Byte(), 1, maxUnreadBytes).Draw(t, "data")
			whole = append(whole, data...)
			assert.NilError(t, a.Append(context.Background(), data))
			part, err := a.Next(context.Background(), readOffset)
			assert.NilError(t, err)
			readOffset += int64(len(part.Data))
			_, _, err = a.tryNext(readOffset)
			assert.NilError(t, err)
		}
		a.Finish(acaciaroute.CodeOK, "")
		resumeOffset := max(0, readOffset-int64(lostBytes))
		tail, _ := readAll(t, a, resumeOffset)
		assert.Check(t, bytes.Equal(tail, whole[resumeOffset:]))
	})
}

func newTestStore(clock *time.Time) *Store {
	settings := Settings{
		KeyedRetention:     time.Hour,
		Retention:          time.Second,
		MaxBytes:           1000,
		MaxUnreadBytes:     100,
		UnreadTimeout:      10 * time.Second,
		KeyedUnreadTimeout: 2 * time.Minute,
	}
	return NewStore(settings, func() time.Time { return *clock })
}

func TestSettleRejectsLaterRun(t *testing.T) {
	now := time.Unix(0, 0)
	store := newTestStore(&now)
	assert.Equal(t, store.Settle("a"), acaciawire.RunWillNotRun)
	_, ok := store.Register("a", "", "", 1, func() {})
	assert.Check(t, !ok)
}

// A request that a slow endpoint returned before its first token (CodeTakenBack) may
// run again. A request that ended with any other code may not.
func TestOnlyTakenBackRequestRunsAgain(t *testing.T) {
	for code, rerun := range map[acaciaroute.Code]bool{
		acaciaroute.CodeTakenBack: true,
		acaciaroute.CodeAnswerCut: false,
		acaciaroute.CodeOK:        false,
	} {
		store := NewStore(Settings{Retention: time.Minute}, time.Now)
		run, ok := store.Register("r", "", "e", 1, func() {})
		assert.Check(t, ok)
		_, ok = store.Register("r", "", "e", 2, func() {})
		assert.Check(t, !ok, "a second run was accepted while the first is active")
		run.Answer.Finish(code, "")
		store.MarkFinished(run)
		_, ok = store.Register("r", "", "e", 2, func() {})
		assert.Equal(t, ok, rerun, "after code %d", code)
	}
}

func TestDroppedRunBlocksRerun(t *testing.T) {
	now := time.Unix(0, 0)
	store := newTestStore(&now)
	run, ok := store.Register("a", "key", "e", 1, func() {})
	assert.Check(t, ok)
	assert.Equal(t, store.Settle("a"), acaciawire.RunRunning)
	assert.NilError(t, run.Answer.Append(context.Background(), make([]byte, 2000)))
	run.Answer.Finish(acaciaroute.CodeOK, "")
	store.MarkFinished(run)
	store.Sweep()
	assert.Check(t, store.Find("a") == nil)
	assert.Equal(t, store.Settle("a"), acaciawire.RunFinished)
	assert.Check(t, store.KeyDropped("key"))
	_, again := store.Register("b", "key", "e", 2, func() {})
	assert.Check(t, !again)
}

func TestUnreadRunIsCancelled(t *testing.T) {
	now := time.Unix(0, 0)
	store := newTestStore(&now)
	cancelled := false
	run, _ := store.Register("a", "", "", 1, func() { cancelled = true })
	removeReader := store.AddReader(run)
	now = now.Add(time.Minute)
	store.Sweep()
	assert.Check(t, !cancelled)
	removeReader()
	now = now.Add(time.Minute)
	store.Sweep()
	assert.Check(t, cancelled)
}

func TestKeyedRunHasLongerUnreadTimeout(t *testing.T) {
	now := time.Unix(0, 0)
	store := newTestStore(&now)
	cancelled := false
	_, ok := store.Register("a", "key", "e", 1, func() { cancelled = true })
	assert.Check(t, ok)
	now = now.Add(time.Minute)
	store.Sweep()
	assert.Check(t, !cancelled)
	now = now.Add(2 * time.Minute)
	store.Sweep()
	assert.Check(t, cancelled)
}

func TestLockExcludesOtherRequests(t *testing.T) {
	now := time.Unix(0, 0)
	store := newTestStore(&now)
	_, _, ok := store.LockKey("key", "a", "entry-a")
	assert.Check(t, ok)
	holder, entry, ok := store.LockKey("key", "b", "entry-b")
	assert.Check(t, !ok)
	assert.Equal(t, holder+" "+entry, "a entry-a")
	_, ok = store.Register("b", "key", "entry-b", 1, func() {})
	assert.Check(t, !ok)
	store.UnlockKey("key", "b")
	_, ok = store.Register("a", "key", "entry-a", 2, func() {})
	assert.Check(t, ok)
	store.UnlockKey("key", "a")
	holder, _, ok = store.LockKey("key", "c", "entry-c")
	assert.Check(t, !ok)
	assert.Equal(t, holder, "a")
}
