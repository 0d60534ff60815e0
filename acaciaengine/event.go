package acaciaengine

import "bytes"

// eventScanner extracts the data of the events from a stream of server-sent events.
type eventScanner struct {
	pending []byte
	done    bool
}

var (
	dataPrefix     = []byte("data:")
	finalEventData = []byte("[DONE]")
)

// scan reads the next bytes of the stream and returns the data of the events that
// they complete. The final event is not returned; it sets done.
func (s *eventScanner) scan(data []byte) [][]byte {
	s.pending = append(s.pending, data...)
	var events [][]byte
	for {
		end := bytes.IndexByte(s.pending, '\n')
		if end < 0 {
			return events
		}
		line := bytes.TrimRight(s.pending[:end], "\r")
		s.pending = s.pending[end+1:]
		value, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if bytes.Equal(value, finalEventData) {
			s.done = true
			continue
		}
		events = append(events, bytes.Clone(value))
	}
}
