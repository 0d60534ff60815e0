package acaciaconfiguration

import (
	"context"
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

const targetsFormat = `
[[service]]
name = "archiv"
kind = "plain"
[[class]]
name = "fetch-%d"
services = ["archiv"]
yield_order = 1
served_share = 0.9
first_token = "1s"
whole_time = "2s"
[[organisation]]
name = "o"
key_hashes = []
classes = []
`

func targetsText(n int) string {
	return fmt.Sprintf(targetsFormat, n)
}

func newRecord(t assert.TestingT, offset acaciaroute.Offset, publication Publication) acaciaroute.Record {
	data, err := publication.Encode()
	assert.NilError(t, err)
	return acaciaroute.Record{Offset: offset, Data: data}
}

// drawRecords draws publications of concurrent operators, some of them invalid or based
// on an outdated version, and renewals of processes that have read the stream to its
// end or to an earlier record only.
func drawRecords(t *rapid.T) []acaciaroute.Record {
	var records []acaciaroute.Record
	validator := NewValidator(0)
	for i := range rapid.IntRange(1, 25).Draw(t, "records") {
		offset := acaciaroute.Offset(i)
		current := validator.Current()
		publication := Publication{ProposalID: fmt.Sprint(i), BasedOn: current.Version, Targets: targetsText(i)}
		switch rapid.IntRange(0, 5).Draw(t, "kind") {
		case 0:
			publication.BasedOn = acaciaroute.Offset(rapid.IntRange(0, i).Draw(t, "based_on"))
		case 1:
			publication.Targets = "bad"
		case 2, 3:
			if current.Version > 0 {
				publication.Renews = current.Version
				publication.JudgedTo = offset
				publication.Targets = current.Text
			}
		case 4:
			if i > 0 {
				behind := NewValidator(0)
				judgedTo := rapid.IntRange(1, i).Draw(t, "judged_to")
				for _, r := range records[:judgedTo] {
					behind.Validate(r)
				}
				if old := behind.Current(); old.Version > 0 {
					publication.Renews = old.Version
					publication.JudgedTo = acaciaroute.Offset(judgedTo)
					publication.Targets = old.Text
				}
			}
		}
		records = append(records, newRecord(t, offset, publication))
		validator.Validate(records[i])
	}
	return records
}

func TestVerdictsAreIndependentOfStartOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := drawRecords(t)
		complete := NewValidator(0)
		versions := []acaciaroute.Offset{}
		for _, r := range records {
			complete.Validate(r)
			versions = append(versions, complete.Current().Version)
		}
		oldest := rapid.IntRange(0, len(records)-1).Draw(t, "oldest")
		partial := NewValidator(acaciaroute.Offset(oldest))
		for i := oldest; i < len(records); i++ {
			before := partial.Current().Version
			partial.Validate(records[i])
			got := partial.Current()
			assert.Assert(t, got.Version >= before, "reverted from %d to %d", before, got.Version)
			if partial.InSync() {
				assert.Equal(t, got.Version, versions[i], "after record %d", i)
			}
		}
	})
}

func TestSecondConcurrentPublicationIsRefused(t *testing.T) {
	ctx := context.Background()
	log := acaciastandin.NewLog()
	first, err := Publish(ctx, log, 0, targetsText(1))
	assert.NilError(t, err)
	assert.Check(t, first.Accepted)
	second, err := Publish(ctx, log, 0, targetsText(2))
	assert.NilError(t, err)
	assert.Check(t, !second.Accepted)
	assert.ErrorContains(t, second.Reason, "4003")
}

func TestPublishFindsRecordAfterLostLogResponse(t *testing.T) {
	log := acaciastandin.NewLog()
	log.SetFaults(acaciastandin.LogFaults{LoseReplies: true})
	verdict, err := Publish(context.Background(), log, 0, targetsText(1))
	assert.NilError(t, err)
	assert.Check(t, verdict.Accepted)
}

const retention = time.Hour

// fakePeers provides the configuration of one follower.
type fakePeers struct {
	follower *Follower
}

func (p *fakePeers) NewestConfiguration(context.Context) (acaciaroute.Offset, string, error) {
	if p.follower == nil || p.follower.Current().Version == 0 {
		return 0, "", acaciaroute.Errorf(acaciaroute.CodePeerDown, "none")
	}
	current := p.follower.Current()
	return current.Version, current.Text, nil
}

func startFollower(log acaciaroute.Log, peers Peers) *Follower {
	recorder := acaciaevent.NewRecorder("p", acaciaevent.NewClock(time.Now), logr.Discard(), 100)
	follower := New(log, peers, recorder, Settings{Interval: time.Second, Retention: retention})
	follower.Start(context.Background())
	return follower
}

func TestVersionSurvivesRetentionAndOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := acaciastandin.NewLog()
		log.SetFaults(acaciastandin.LogFaults{RetainedRecords: 1})
		old := startFollower(log, nil)
		_, err := Publish(context.Background(), log, 0, targetsText(1))
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		assert.Equal(t, old.Current().Version, acaciaroute.Offset(1))

		// Renewals displace the first record; a process that starts afterwards finds one of them.
		time.Sleep(retention)
		head, next, err := log.Head(context.Background(), acaciaroute.StreamConfiguration)
		assert.NilError(t, err)
		assert.Check(t, head > 0 && next <= 5, "records %d to %d", head, next)
		fresh := startFollower(log, nil)
		time.Sleep(2 * time.Second)
		assert.Equal(t, fresh.Current().Version, acaciaroute.Offset(1))

		// While the log is down, a new process adopts the version from a peer.
		log.SetFaults(acaciastandin.LogFaults{Down: true})
		learner := startFollower(log, &fakePeers{old})
		time.Sleep(2 * time.Second)
		assert.Equal(t, learner.Current().Version, acaciaroute.Offset(1))

		// It accepts the next publication once the log is back.
		log.SetFaults(acaciastandin.LogFaults{})
		verdict, err := Publish(context.Background(), log, 1, targetsText(2))
		assert.NilError(t, err)
		assert.Check(t, verdict.Accepted)
		time.Sleep(4 * time.Second)
		for _, follower := range []*Follower{old, fresh, learner} {
			assert.Equal(t, follower.Current().Version, verdict.Version)
			follower.Close()
		}
	})
}

func TestFollowerAdoptsVersionFromPeersDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, downLog := acaciastandin.NewLog(), acaciastandin.NewLog()
		downLog.SetFaults(acaciastandin.LogFaults{Down: true})
		connected := startFollower(log, nil)
		isolated := startFollower(downLog, &fakePeers{connected})
		_, err := Publish(context.Background(), log, 0, targetsText(1))
		assert.NilError(t, err)
		time.Sleep(4 * time.Second)
		assert.Equal(t, isolated.Current().Version, acaciaroute.Offset(1))
		connected.Close()
		isolated.Close()
	})
}
