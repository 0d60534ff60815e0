package acaciakey

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciaevent"
	"github.com/acaciaroute/acaciaroute/acaciastandin"
)

func startRegistry(log acaciaroute.Log) *Registry {
	r := New(log, acaciaevent.NewRecorder("entry", acaciaevent.NewClock(time.Now), logr.Discard(), 100))
	r.Start(context.Background())
	return r
}

func newClaim(key, request string) Claim {
	return Claim{KeyHash: key, RequestID: request, At: time.Now()}
}

func TestOneOfManyClaimsWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := acaciastandin.LogFaults{
			LoseReplies: rapid.Bool().Draw(rt, "lose_answers"),
			Delay:       time.Duration(rapid.IntRange(0, 300).Draw(rt, "delay_ms")) * time.Millisecond,
		}
		entries := rapid.IntRange(1, 4).Draw(rt, "entries")
		keys := rapid.IntRange(1, 5).Draw(rt, "keys")
		synctest.Test(t, func(t *testing.T) {
			log := acaciastandin.NewLog()
			log.SetFaults(faults)
			type outcome struct {
				key, request, holder string
				err                  error
			}
			outcomes := make(chan outcome, entries*keys)
			var registries []*Registry
			for e := range entries {
				registry := startRegistry(log)
				registries = append(registries, registry)
				for k := range keys {
					go func() {
						key, request := fmt.Sprint("k", k), fmt.Sprint(k, "-", e)
						holder, err := registry.Claim(context.Background(), newClaim(key, request))
						outcomes <- outcome{key, request, holder.RequestID, err}
					}()
				}
			}
			holders := map[string]string{}
			for range cap(outcomes) {
				o := <-outcomes
				assert.NilError(t, o.err)
				if holders[o.key] == "" {
					holders[o.key] = o.holder
				}
				assert.Equal(t, o.holder, holders[o.key])
			}
			for _, r := range registries {
				r.Close()
			}
		})
	})
}

func TestClaimIsUndecidedInOutageAndHolderIsReplacedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		r := startRegistry(log)
		log.SetFaults(acaciastandin.LogFaults{Down: true})
		began := time.Now()
		_, err := r.Claim(context.Background(), newClaim("k", "first"))
		assert.ErrorContains(t, err, "3006")
		assert.Check(t, time.Since(began) <= 2*time.Second)
		log.SetFaults(acaciastandin.LogFaults{})
		time.Sleep(OutageGracePeriod + 3*time.Second)
		holder, err := r.Claim(context.Background(), newClaim("k", "second"))
		assert.NilError(t, err)
		assert.Equal(t, holder.RequestID, "second")
		replacing := newClaim("k", "third")
		replacing.Replaces = "second"
		holder, err = r.Claim(context.Background(), replacing)
		assert.NilError(t, err)
		assert.Equal(t, holder.RequestID, "third")
		// The claim of another entry that replaces the same holder comes too late.
		late := newClaim("k", "fourth")
		late.Replaces = "second"
		holder, err = r.Claim(context.Background(), late)
		assert.NilError(t, err)
		assert.Equal(t, holder.RequestID, "third")
		r.Close()
	})
}

func TestClaimsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const claims, perSecond = 1000, 100
		log := acaciastandin.NewLog()
		log.SetFaults(acaciastandin.LogFaults{Delay: 5 * time.Millisecond})
		r := startRegistry(log)
		done := make(chan error, claims)
		for i := range claims {
			go func() {
				_, err := r.Claim(context.Background(), newClaim(fmt.Sprint(i), fmt.Sprint(i)))
				done <- err
			}()
			time.Sleep(time.Second / perSecond)
		}
		for range claims {
			assert.NilError(t, <-done)
		}
		// One append per 50 ms makes 200 in 10 seconds.
		assert.Check(t, r.AppendAttempts() <= 220, "%d append attempts", r.AppendAttempts())
		t.Logf("%.3f append attempts per claim", float64(r.AppendAttempts())/claims)
		r.Close()
	})
}

func TestIndexDependsOnRecordsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []acaciaroute.Record
		begin := time.Unix(1_800_000_000, 0)
		for i := range rapid.IntRange(1, 30).Draw(t, "records") {
			c := Claim{
				KeyHash:   fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "key")),
				RequestID: fmt.Sprint(i),
				At:        begin.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "minute")) * time.Minute),
			}
			if rapid.Bool().Draw(t, "replace") {
				c.Replaces = fmt.Sprint(rapid.IntRange(0, i).Draw(t, "replaces"))
			}
			data, err := json.Marshal(batch{Claims: []Claim{c}})
			assert.NilError(t, err)
			records = append(records, acaciaroute.Record{Offset: acaciaroute.Offset(i), Data: data})
		}
		a, b := index{holders: map[string]Claim{}}, index{holders: map[string]Claim{}}
		for _, r := range records {
			a.apply(r)
		}
		for _, r := range records {
			b.apply(r)
			b.removeExpired(begin)
		}
		assert.DeepEqual(t, a.holders, b.holders)
	})
}

func TestOutageClaimsAreLoggedBeforeNewClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		deciding, other := startRegistry(log), startRegistry(log)
		time.Sleep(2 * time.Second)
		log.SetFaults(acaciastandin.LogFaults{Down: true})
		time.Sleep(2 * time.Second)
		assert.Check(t, deciding.LogDown() && other.LogDown())
		deciding.RecordUnlogged(newClaim("k", "outage-claim"))
		log.SetFaults(acaciastandin.LogFaults{})
		time.Sleep(3 * time.Second)
		assert.Check(t, other.LogDown(), "the grace period has not ended")
		time.Sleep(OutageGracePeriod)
		assert.Check(t, !deciding.LogDown() && !other.LogDown())
		holder, err := other.Claim(context.Background(), newClaim("k", "later"))
		assert.NilError(t, err)
		assert.Equal(t, holder.RequestID, "outage-claim")
		deciding.Close()
		other.Close()
	})
}

func TestClaimReplacesOnlyNamedHolder(t *testing.T) {
	x := index{holders: map[string]Claim{}}
	now := time.Unix(1_800_000_000, 0)
	apply := func(requestID, replaces string) string {
		c := Claim{KeyHash: "k", RequestID: requestID, Replaces: replaces, At: now}
		data, err := json.Marshal(batch{Claims: []Claim{c}})
		assert.NilError(t, err)
		x.apply(acaciaroute.Record{Data: data})
		return x.holders["k"].RequestID
	}
	assert.Equal(t, apply("first", ""), "first")
	assert.Equal(t, apply("second", ""), "first")
	assert.Equal(t, apply("third", "first"), "third")
	assert.Equal(t, apply("fourth", "first"), "third")
}

// A claim must hold its key until 10 s before the end of KeyRetention, although the clocks of
// the entries are wrong by up to 5 s in either direction.
func TestClockErrorsDoNotReassignKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := index{holders: map[string]Claim{}}
		trueTime := time.Unix(1_800_000_000, 0)
		end := trueTime.Add(KeyRetention - 10*time.Second)
		first := ""
		for i := 0; trueTime.Before(end); i++ {
			clockError := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "clock_error_ms")) * time.Millisecond
			c := Claim{KeyHash: "k", RequestID: fmt.Sprint(i), At: trueTime.Add(clockError)}
			data, err := json.Marshal(batch{Claims: []Claim{c}})
			assert.NilError(t, err)
			x.apply(acaciaroute.Record{Offset: acaciaroute.Offset(i), Data: data})
			x.removeExpired(trueTime.Add(clockError))
			if first == "" {
				first = c.RequestID
			}
			assert.Equal(t, x.holders["k"].RequestID, first)
			trueTime = trueTime.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "elapsed_s")) * time.Second)
		}
	})
}

// A claim that was certainly not stored must not wait 0.5 s for its record to appear in the
// log.
func TestUnstoredClaimFailsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		registry := startRegistry(log)
		defer registry.Close()
		synctest.Wait()
		log.SetFaults(acaciastandin.LogFaults{Unreachable: true})
		began := time.Now()
		_, err := registry.Claim(context.Background(), newClaim("k", "r"))
		assert.ErrorContains(t, err, "3006")
		assert.Check(t, time.Since(began) <= appendInterval, "failed after %s", time.Since(began))
	})
}
