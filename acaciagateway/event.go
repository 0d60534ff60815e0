package acaciagateway

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
)

const (
	maxEventBytes = 1 << 20
	fieldID       = "id"
)

var (
	errEventTooLong   = errors.New("a stream event exceeds the size limit")
	errEventWithoutID = errors.New("an event without an ID follows events with IDs")
)

// splitEvents returns the complete events at the start of data, and the rest. An event whose ID
// is not above the last one is an error, and so is a line that is no field of an event: an
// endpoint may write an error's text, or another response's header, in the middle of a stream.
func (x *exchange) splitEvents(data []byte) (complete, rest []byte, err error) {
	end := 0
	for {
		length := bytes.Index(data[end:], []byte("\n\n"))
		if length < 0 {
			break
		}
		if err := x.checkEvent(data[end : end+length]); err != nil {
			return data[:end], nil, err
		}
		end += length + 2
	}
	if len(data)-end > maxEventBytes {
		return data[:end], nil, errEventTooLong
	}
	return data[:end], data[end:], nil
}

// checkEvent checks the lines of an event and its ID, and counts it. Comments alone are no event.
func (x *exchange) checkEvent(event []byte) error {
	fields := 0
	var ids []string
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		name, value, _ := bytes.Cut(bytes.TrimSuffix(line, []byte("\r")), []byte(":"))
		if len(name) == 0 {
			continue
		}
		if !isFieldName(name) {
			return fmt.Errorf("the line %.40q is no field of an event", line)
		}
		fields++
		if string(name) == fieldID {
			ids = append(ids, string(bytes.TrimSpace(value)))
		}
	}
	if fields == 0 {
		return nil
	}
	if len(ids) == 0 && x.lastEventID != "" {
		return errEventWithoutID
	}
	lastID := x.lastEventID
	for _, id := range ids {
		if err := checkEventID(id, lastID); err != nil {
			return err
		}
		lastID = id
	}
	// The stream is resumed after the last ID, so only a whole and valid event's may count.
	x.lastEventID = lastID
	x.eventCount += len(ids)
	x.fieldEvents++
	return nil
}

// checkEventID checks that an event's ID is above that of the last event. It may be higher by more than 1.
func checkEventID(id, lastID string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return fmt.Errorf("event ID %q is not a valid number: %w", id, err)
	}
	if last, err := strconv.ParseInt(lastID, 10, 64); err == nil && number <= last {
		return fmt.Errorf("event %d follows event %d", number, last)
	}
	return nil
}

// canResumeStream reports whether another endpoint can go on with the stream where it has broken off: the caller has no
// event yet, or the last one has an ID. Without one, an endpoint would send all events again.
func (x *exchange) canResumeStream() bool {
	return x.fieldEvents == 0 || x.lastEventID != ""
}

// isFieldName reports whether a name consists of lower-case letters and hyphens only.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if (c < 'a' || c > 'z') && c != '-' {
			return false
		}
	}
	return true
}
