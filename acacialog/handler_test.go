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

// output keeps what is written, and can stall.
type output struct {
	mu    sync.Mutex
	text  bytes.Buffer
	stall chan struct{}
}

func (o *output) Write(data []byte) (int, error) {
	if o.stall != nil {
		<-o.stall
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

func count(lines []map[string]any, message string) int {
	n := 0
	for _, line := range lines {
		if line["msg"] == message {
			n++
		}
	}
	return n
}

func TestLinesOfAnEventAreBoundedInEachSecond(t *testing.T) {
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
		assert.Equal(t, count(lines, "request_arrived"), 20)
		assert.Equal(t, count(lines, "request_queued"), 2)
		assert.Equal(t, count(lines, "request_shed"), 2)
		assert.Equal(t, count(lines, leftOut), 2)
		for _, line := range lines {
			if line["msg"] == leftOut {
				assert.DeepEqual(t, line["lines"], map[string]any{"request_arrived": 90.0})
			}
		}
	})
}

func TestFailuresHaveTenTimesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &output{}
		writer := NewWriter(out, DefaultBufferBytes)
		log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 10}))
		for range 500 {
			log.Error("request_shed")
		}
		writer.Close(context.Background())
		assert.Equal(t, count(out.lines(t), "request_shed"), 100)
	})
}

// A reader that has stopped reading must not stop the process; what it missed is
// counted, and failures are kept before ordinary lines.
func TestStalledOutputNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const buffer = 10_000
		out := &output{stall: make(chan struct{})}
		writer := NewWriter(out, buffer)
		missed := map[string]int{}
		log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1 << 30, Left: func(message string) { missed[message]++ }}))
		for i := range 10_000 {
			log.Info("request_arrived", "i", i)
			if i%1000 == 0 {
				log.Error("request_shed", "i", i)
			}
		}
		assert.Check(t, missed["request_arrived"] > 9000)
		assert.Equal(t, missed["request_shed"], 0)
		stopping, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		began := time.Now()
		go func() {
			time.Sleep(time.Minute)
			close(out.stall)
		}()
		writer.Close(stopping)
		assert.Equal(t, time.Since(began), time.Second, "a stalled output is left behind")
		time.Sleep(time.Hour)
		lines := out.lines(t)
		assert.Equal(t, count(lines, "request_shed"), 10)
		assert.Equal(t, int64(len(lines)), writer.Written())
	})
}

func TestLinesKeepTheirAttributes(t *testing.T) {
	out := &output{}
	writer := NewWriter(out, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{})).With("process", "entry-1").WithGroup("event")
	log.Info("request_arrived", "request_id", "r")
	writer.Close(context.Background())
	line := out.lines(t)[0]
	assert.Equal(t, line["process"], "entry-1")
	assert.Equal(t, fmt.Sprint(line["event"]), "map[request_id:r]")
}

func BenchmarkLine(b *testing.B) {
	writer := NewWriter(io.Discard, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1 << 30}))
	for b.Loop() {
		log.Info("request_arrived", "request_id", "01a23fb7-2443-7664-bc74-4280363fc82e", "class", "note")
	}
	writer.Close(context.Background())
}

func BenchmarkLineLeftOut(b *testing.B) {
	writer := NewWriter(io.Discard, DefaultBufferBytes)
	log := slog.New(NewHandler(writer, Settings{LinesPerSecond: 1}))
	for b.Loop() {
		log.Info("request_arrived", "request_id", "01a23fb7-2443-7664-bc74-4280363fc82e", "class", "note")
	}
	writer.Close(context.Background())
}
