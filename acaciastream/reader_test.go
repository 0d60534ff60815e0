package acaciastream_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/acaciaroute/acaciaroute"
	"github.com/acaciaroute/acaciaroute/acaciastream"
)

// trimmedLog is a log with more records than one read returns, whose oldest records a test
// can remove as retention does.
type trimmedLog struct {
	acaciaroute.Log
	oldest, end acaciaroute.Offset
}

func (l *trimmedLog) Head(context.Context, string) (oldest, next acaciaroute.Offset, err error) {
	return l.oldest, l.end, nil
}

func (l *trimmedLog) Read(_ context.Context, _ string, from acaciaroute.Offset, limit int) ([]acaciaroute.Record, error) {
	if from < l.oldest {
		return nil, acaciaroute.Errorf(acaciaroute.CodeLogTrimmed, "gone")
	}
	var records []acaciaroute.Record
	for offset := from; offset < l.end && len(records) < limit; offset++ {
		records = append(records, acaciaroute.Record{Offset: offset})
	}
	return records, nil
}

func TestReadDeliversEachRecordOnceAndContinuesAfterTrim(t *testing.T) {
	log := &trimmedLog{oldest: 5, end: 1000}
	reader := acaciastream.New(log, acaciaroute.StreamKeys)
	var got []acaciaroute.Offset
	apply := func(records []acaciaroute.Record) {
		for _, record := range records {
			got = append(got, record.Offset)
		}
	}
	assert.NilError(t, reader.Read(t.Context(), apply))
	assert.NilError(t, reader.Read(t.Context(), apply))
	assert.Equal(t, len(got), 995)
	log.oldest, log.end = 2000, 2010
	var coded *acaciaroute.Error
	assert.Check(t, errors.As(reader.Read(t.Context(), apply), &coded) && coded.Code == acaciaroute.CodeLogTrimmed)
	assert.NilError(t, reader.Read(t.Context(), apply))
	assert.Equal(t, len(got), 1005)
	for i, offset := range got[:995] {
		assert.Equal(t, offset, acaciaroute.Offset(5+i))
	}
}
