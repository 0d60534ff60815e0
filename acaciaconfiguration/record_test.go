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

func TestPublicationRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Publication{
			ProposalID: rapid.String().Draw(t, "proposal"),
			BasedOn:    acaciaroute.Offset(rapid.Int64Min(0).Draw(t, "based_on")),
			Renews:     acaciaroute.Offset(rapid.Int64Min(0).Draw(t, "renews")),
			Targets:    rapid.String().Draw(t, "targets"),
		}
		encoded, err := want.Encode()
		assert.NilError(t, err)
		got, err := decodePublication(encoded)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
		plain, err := json.Marshal(want)
		assert.NilError(t, err)
		got, err = decodePublication(plain)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, want)
	})
}

func TestInvalidRecordIsRefused(t *testing.T) {
	var oversized bytes.Buffer
	compressor := gzip.NewWriter(&oversized)
	_, err := compressor.Write([]byte(strings.Repeat(" ", maxPublicationBytes+1)))
	assert.NilError(t, err)
	assert.NilError(t, compressor.Close())
	valid, err := Publication{ProposalID: "p", Targets: "t"}.Encode()
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"empty":       nil,
		"text":        []byte("hello"),
		"broken JSON": []byte("{"),
		"truncated":   valid[:len(valid)-9],
		"too long":    oversized.Bytes(),
	} {
		t.Run(name, func(t *testing.T) {
			verdict := NewValidator(0).Validate(acaciaroute.Record{Data: data})
			assert.Check(t, !verdict.Accepted)
			assert.ErrorContains(t, verdict.Reason, "4002")
		})
	}
}
