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
	// Handler formats records as JSON lines for a Writer, at most so many for each
	// message in a second. Records of level Error are important: they have ten times
	// that limit and a buffer of their own. It implements slog.Handler.
	Handler struct {
		shared *shared
		inner  slog.Handler
	}

	// shared is what a handler and those made from it have in common.
	shared struct {
		writer *Writer
		limit  int
		now    func() time.Time
		// left counts the lines that were left out.
		left func(message string)

		mu      sync.Mutex
		line    bytes.Buffer
		began   time.Time
		counts  map[string]int
		dropped map[string]int
	}

	// Settings fix a handler's bounds.
	Settings struct {
		// LinesPerSecond bounds the lines with the same message in a second; zero for
		// DefaultLinesPerSecond.
		LinesPerSecond int
		// Left, if set, is called for each line that is left out.
		Left func(message string)
		// Now returns the time; nil for time.Now.
		Now func() time.Time
	}
)

const (
	// DefaultLinesPerSecond is the default of Settings.LinesPerSecond.
	DefaultLinesPerSecond = 100

	// leftOut is the message of the line that tells which lines are missing.
	leftOut = "lines_left_out"
	// importantFactor is how many times more lines an important message may have.
	importantFactor = 10
	// interval is the time over which lines are counted.
	interval = time.Second
)

// NewHandler returns a handler that writes to a writer.
func NewHandler(writer *Writer, settings Settings) *Handler {
	if settings.LinesPerSecond == 0 {
		settings.LinesPerSecond = DefaultLinesPerSecond
	}
	if settings.Now == nil {
		settings.Now = time.Now
	}
	if settings.Left == nil {
		settings.Left = func(string) {}
	}
	s := &shared{
		writer:  writer,
		limit:   settings.LinesPerSecond,
		now:     settings.Now,
		left:    settings.Left,
		counts:  map[string]int{},
		dropped: map[string]int{},
	}
	return &Handler{shared: s, inner: slog.NewJSONHandler(&s.line, nil)}
}

// Enabled implements slog.Handler.
func (h *Handler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelInfo
}

// Handle implements slog.Handler.
func (h *Handler) Handle(ctx context.Context, record slog.Record) error {
	s := h.shared
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(ctx, h.inner)
	important := record.Level >= slog.LevelError
	limit := s.limit
	if important {
		limit *= importantFactor
	}
	s.counts[record.Message]++
	if s.counts[record.Message] > limit {
		s.drop(record.Message)
		return nil
	}
	return s.put(ctx, h.inner, record, important)
}

// WithAttrs implements slog.Handler.
func (h *Handler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &Handler{shared: h.shared, inner: h.inner.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{shared: h.shared, inner: h.inner.WithGroup(name)}
}

// turn begins a new second, and tells what the last one left out.
func (s *shared) turn(ctx context.Context, inner slog.Handler) {
	now := s.now()
	if now.Sub(s.began) < interval {
		return
	}
	s.began = now
	clear(s.counts)
	if len(s.dropped) == 0 {
		return
	}
	record := slog.NewRecord(now, slog.LevelInfo, leftOut, 0)
	record.AddAttrs(slog.Any("lines", maps.Clone(s.dropped)))
	clear(s.dropped)
	_ = s.put(ctx, inner, record, true)
}

func (s *shared) put(ctx context.Context, inner slog.Handler, record slog.Record, important bool) error {
	s.line.Reset()
	if err := inner.Handle(ctx, record); err != nil {
		return err
	}
	if !s.writer.Write(bytes.Clone(s.line.Bytes()), important) {
		s.drop(record.Message)
	}
	return nil
}

func (s *shared) drop(message string) {
	s.dropped[message]++
	s.left(message)
}
