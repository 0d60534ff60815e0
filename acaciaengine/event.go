package acaciaengine

import "bytes"

// eventScanner splits a stream of server-sent events into their data.
type eventScanner struct {
	rest []byte
	done bool
}

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

// scan takes the next bytes of the stream and returns the data of the events
// that they complete, without the final event.
func (s *eventScanner) scan(data []byte) [][]byte {
	s.rest = append(s.rest, data...)
	var events [][]byte
	for {
		end := bytes.IndexByte(s.rest, '\n')
		if end < 0 {
			return events
		}
		line := bytes.TrimRight(s.rest[:end], "\r")
		s.rest = s.rest[end+1:]
		value, ok := bytes.CutPrefix(line, dataField)
		if !ok {
			continue
		}
		value = bytes.TrimSpace(value)
		if bytes.Equal(value, doneData) {
			s.done = true
			continue
		}
		events = append(events, bytes.Clone(value))
	}
}
