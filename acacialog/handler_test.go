package acacialog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// output keeps what is written to it. If stalled is set, writes block until it is
// closed.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stalled chan struct{}
}

func (o *output) Write(data []byte) (int, error) {
	if o.stalled != nil {
		<-o.stalled
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(data)
}

func (o *output) lines(t *testing.T) []map[string]any {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	var lines []map[string]any
	for text := range strings.Lines(o.text.String()) {
		var line map[string]any
		assert.NilError(t, json.Unmarshal([]byte(text), &line), text)
		lines = append(lines, line)
	}
	return lines
}

func countMessages(lines []map[string]any, message string) int {
	n := 0
	for _, line := range lines {
		if line["msg"] == message {
			n++
		}
	}
	return n
}

func TestLinesWithOneMessageAreLimitedEachSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		writer := NewWriter(out, DefaultBufferBytes)
		log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 10}))
		for range 2 {
			for i := range 100 {
				log.Info("request_arrived", "i", i)
			}
			log.Info("request_queued")
			log.Error("request_shed")
			time.Sleep(time.Second)
		}
		log.Info("end")
		writer.Close(context.Background())
		lines := out.lines(t)
		assert.Equal(t, countMessages(lines, "request_arrived"), 20)
		assert.Equal(t, countMessages(lines, "request_queued"), 2)
		assert.Equal(t, countMessages(lines, "request_shed"), 2)
		assert.Equal(t, countMessages(lines, droppedLinesMessage), 2)
		for _, line := range lines {
			if line["msg"] == droppedLinesMessage {
				assert.DeepEqual(t, line["lines"], map[string]any{"request_arrived": 90.0})
			}
		}
	})
}

func TestErrorLinesHaveTenTimesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		writer := NewWriter(out, DefaultBufferBytes)
		log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 10}))
		for range 500 {
			log.Error("request_shed")
		}
		writer.Close(context.Background())
		assert.Equal(t, countMessages(out.lines(t), "request_shed"), 100)
	})
}

// A reader that has stopped reading must not block the process. Lines that do not fit
// into the buffers are counted as dropped, and error lines are kept although ordinary
// lines fill their own buffer.
func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const buffer = 10_000
		out := &output{stalled: make(chan struct{})}
		writer := NewWriter(out, buffer)
		dropped := map[string]int{}
		log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1 << 30, OnDrop: func(message string) { dropped[message]++ }}))
		for i := range 10_000 {
			log.Info("request_arrived", "i", i)
			if i%1000 == 0 {
				log.Error("request_shed", "i", i)
			}
		}
		assert.Check(t, dropped["request_arrived"] > 9000)
		assert.Equal(t, dropped["request_shed"], 0)
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		began := time.Now()
		go func() {
			time.Sleep(time.Minute)
			close(out.stalled)
		}()
		writer.Close(closeCtx)
		assert.Equal(t, time.Since(began), time.Second, "Close does not return at its deadline while the output is stalled")
		time.Sleep(time.Hour)
		lines := out.lines(t)
		assert.Equal(t, countMessages(lines, "request_shed"), 10)
		assert.Equal(t, int64(len(lines)), writer.LinesWritten())
	})
}

func TestHandlerKeepsAttributesAndGroups(t *testing.T) {
	out := &output{}
	writer := NewWriter(out, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{})).With("process", "entry-1").WithGroup("event")
	log.Info("request_arrived", "request_id", "r")
	writer.Close(context.Background())
	line := out.lines(t)[0]
	assert.Equal(t, line["process"], "entry-1")
	assert.Equal(t, fmt.Sprint(line["event"]), "map[request_id:r]")
}

func BenchmarkWrittenLine(b *testing.B) {
	writer := NewWriter(io.Discard, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1 << 30}))
	for b.Loop() {
		log.Info("request_arrived", "request_id", "01a23fb7-2443-7664-bc74-4280363fc82e", "class", "note")
	}
	writer.Close(context.Background())
}

func BenchmarkDroppedLine(b *testing.B) {
	writer := NewWriter(io.Discard, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1}))
	for b.Loop() {
		log.Info("request_arrived", "request_id", "01a23fb7-2443-7664-bc74-4280363fc82e", "class", "note")
	}
	writer.Close(context.Background())
}
