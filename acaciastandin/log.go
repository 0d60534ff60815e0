package acaciastandin

import (
	"context"
	"sync"
	"time"

	"github.com/acaciaroute/acaciaroute"
)

type (
	// Log is a log service in memory whose faults can be set. It implements
	// acaciaroute.Log.
	Log struct {
		mu      sync.Mutex
		streams map[string]*stream
		faults  LogFaults
		appends int64
	}

	// LogFaults are what is wrong with a log service.
	LogFaults struct {
		// Down makes every call fail without effect.
		Down bool `json:"down"`
		// Unreached makes every call fail so that appends certainly have no effect.
		Unreached bool `json:"unreached"`
		// LoseAnswers makes appends take effect but fail.
		LoseAnswers bool `json:"lose_answers"`
		// Delay is added to every call.
		Delay time.Duration `json:"delay"`
		// Keep bounds the records kept in each stream; zero for no bound.
		Keep int `json:"keep"`
	}

	stream struct {
		oldest  acaciaroute.Offset
		records []acaciaroute.Record
	}
)

// NewLog returns an empty log service.
func NewLog() *Log {
	return &Log{streams: map[string]*stream{}}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Appends returns the number of appends that took effect.
func (l *Log) Appends() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements acaciaroute.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (acaciaroute.Offset, error) {
	faults, err := l.enter(ctx)
	if err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	offset := s.oldest + acaciaroute.Offset(len(s.records))
	s.records = append(s.records, acaciaroute.Record{Offset: offset, Data: append([]byte(nil), data...)})
	l.appends++
	if faults.Keep > 0 && len(s.records) > faults.Keep {
		dropped := len(s.records) - faults.Keep
		s.records = s.records[dropped:]
		s.oldest += acaciaroute.Offset(dropped)
	}
	if faults.LoseAnswers {
		return 0, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the answer was lost")
	}
	return offset, nil
}

// Read implements acaciaroute.Log.
func (l *Log) Read(ctx context.Context, name string, from acaciaroute.Offset, limit int) ([]acaciaroute.Record, error) {
	if _, err := l.enter(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if from < s.oldest {
		return nil, acaciaroute.Errorf(acaciaroute.CodeLogTrimmed, "offset %d was dropped", from)
	}
	begin := min(int(from-s.oldest), len(s.records))
	end := min(begin+limit, len(s.records))
	return append([]acaciaroute.Record(nil), s.records[begin:end]...), nil
}

// Head implements acaciaroute.Log.
func (l *Log) Head(ctx context.Context, name string) (oldest, next acaciaroute.Offset, err error) {
	if _, err := l.enter(ctx); err != nil {
		return 0, 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	return s.oldest, s.oldest + acaciaroute.Offset(len(s.records)), nil
}

// enter waits for the delay and fails while the log is down.
func (l *Log) enter(ctx context.Context) (LogFaults, error) {
	l.mu.Lock()
	faults := l.faults
	l.mu.Unlock()
	if err := pause(ctx, faults.Delay); err != nil {
		return faults, &acaciaroute.Error{Code: acaciaroute.CodeLogDown, Detail: "no answer", Err: err}
	}
	if faults.Unreached {
		return faults, acaciaroute.Errorf(acaciaroute.CodeLogUnreached, "the log was not reached")
	}
	if faults.Down {
		return faults, acaciaroute.Errorf(acaciaroute.CodeLogDown, "the log is down")
	}
	return faults, nil
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// pause waits for a fault's delay unless ctx ends first.
func pause(ctx context.Context, delay time.Duration) error {
	if delay <= 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
