package acaciaconfiguration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/acaciaroute/acaciaroute"
)

func TestPublicationIsReadAsItWasWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Publication{
			ProposalID: rapid.String().Draw(t, "proposal"),
			BasedOn:    acaciaroute.Offset(rapid.Int64Min(0).Draw(t, "based_on")),
			Renews:     acaciaroute.Offset(rapid.Int64Min(0).Draw(t, "renews")),
			Targets:    rapid.String().Draw(t, "targets"),
		}
		packed, err := want.Encode()
		assert.NilError(t, err)
		got, err := decodePublication(packed)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		plain, err := json.Marshal(want)
		assert.NilError(t, err)
		got, err = decodePublication(plain)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

func TestRecordThatIsNoPublicationIsRefused(t *testing.T) {
	var long bytes.Buffer
	packed := gzip.NewWriter(&long)
	_, err := packed.Write([]byte(strings.Repeat(" ", maxPublicationBytes+1)))
	assert.NilError(t, err)
	assert.NilError(t, packed.Close())
	whole, err := Publication{ProposalID: "p", Targets: "t"}.Encode()
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"empty":           nil,
		"text":            []byte("hello"),
		"broken JSON":     []byte("{"),
		"cut short":       whole[:len(whole)-9],
		"longer than all": long.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			verdict := NewJudge(0).Judge(acaciaroute.Record{Data: data})
			assert.Check(t, !verdict.Accepted)
			assert.ErrorContains(t, verdict.Reason, "4002")
		})
	}
}
