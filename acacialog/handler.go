package acacialog

import (
	"bytes"
	"context"
	"log/slog"
	"maps"
	"sync"
	"time"
)

type (
	// Handler is a slog.Handler that formats records as JSON lines for a Writer. It
	// limits the number of lines with the same message in a second. Records of level
	// Error and above are important: they have ten times that limit and a buffer of
	// their own.
	Handler struct {
		state *handlerState
		inner slog.Handler
	}

	// handlerState is shared by a handler and the handlers derived from it by WithAttrs
	// and WithGroup.
	handlerState struct {
		writer *Writer
		limit  int
		now    func() time.Time
		// onDrop is called for each line that is dropped.
		onDrop func(message string)

		mu sync.Mutex
		// line receives the encoded form of the record that is being written.
		line          bytes.Buffer
		intervalStart time.Time
		// counts and dropped hold the number of records in the current interval, and of
		// dropped lines not yet logged, by message.
		counts  map[string]int
		dropped map[string]int
	}

	// Settings hold the limits and hooks of a handler.
	Settings struct {
		// LinesPerSecond is the maximum number of lines with the same message in a
		// second; zero means DefaultLinesPerSecond.
		LinesPerSecond int
		// OnDrop, if set, is called with the message of each line that is dropped.
		OnDrop func(message string)
		// Now returns the current time; nil means time.Now.
		Now func() time.Time
	}
)

const (
	// DefaultLinesPerSecond is the default value of Settings.LinesPerSecond.
	DefaultLinesPerSecond = 100

	// droppedLinesMessage is the message of the line that reports the number of dropped
	// lines by message.
	droppedLinesMessage = "lines_left_out"
	// importantFactor multiplies the limit for important messages.
	importantFactor = 10
	// countInterval is the period to which the limit applies.
	countInterval = time.Second
)

// NewHandler returns a handler that sends its lines to writer.
func NewHandler(writer *Writer, settings Settings) *Handler {
	if settings.LinesPerSecond == 0 {
		settings.LinesPerSecond = DefaultLinesPerSecond
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	if settings.OnDrop == nil {
		settings.OnDrop = func(string) {}
	}
	s := &handlerState{
		writer:  writer,
		limit:   settings.LinesPerSecond,
		now:     settings.Now,
		onDrop:  settings.OnDrop,
		counts:  map[string]int{},
		dropped: map[string]int{},
	}
	return &Handler{state: s, inner: slog.NewJSONHandler(&s.line, nil)}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	s := h.state
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startInterval(ctx, h.inner)
	important := record.Level >= slog.LevelError
	limit := s.limit
	if important {
		limit *= importantFactor
	}
	s.counts[record.Message]++
	if s.counts[record.Message] > limit {
		s.countDropped(record.Message)
		return nil
	}
	return s.writeRecord(ctx, h.inner, record, important)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &Handler{state: h.state, inner: h.inner.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{state: h.state, inner: h.inner.WithGroup(name)}
}

// startInterval resets the counts once the current interval has passed, and then logs
// the number of lines that have been dropped since the last such report.
func (s *handlerState) startInterval(ctx context.Context, inner slog.Handler) {
	now := s.now()
	if now.Sub(s.intervalStart) < countInterval {
		return
	}
	s.intervalStart = now
	clear(s.counts)
	if len(s.dropped) == 0 {
		return
	}
	record := slog.NewRecord(now, slog.LevelInfo, droppedLinesMessage, 0)
	record.AddAttrs(slog.Any("lines", maps.Clone(s.dropped)))
	clear(s.dropped)
	_ = s.writeRecord(ctx, inner, record, true)
}

// writeRecord encodes a record and passes the line to the writer; a line that does not
// fit into the writer's buffer counts as dropped.
func (s *handlerState) writeRecord(ctx context.Context, inner slog.Handler, record slog.Record, important bool) error {
	s.line.Reset()
	if err := inner.Handle(ctx, record); err != nil {
		return err
	}
	if !s.writer.WriteLine(bytes.Clone(s.line.Bytes()), important) {
		s.countDropped(record.Message)
	}
	return nil
}

func (s *handlerState) countDropped(message string) {
	s.dropped[message]++
	s.onDrop(message)
}
