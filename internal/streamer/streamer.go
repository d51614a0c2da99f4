// Package streamer splits a stream of server-sent events into whole events.
//
// What a backend server sends arrives in pieces that end anywhere. A Splitter
// gives out only whole events, so that a stream that breaks off can go on at
// another server exactly after the last event that the caller has.
package streamer

import (
	"bytes"
	"strconv"
)

// Event is one whole event. Data aliases the Splitter's buffer and is valid
// until the next call of Feed.
type Event struct {
	Data []byte
	// ID is the event's id; HasID is false when it has none that is a number.
	ID    int64
	HasID bool
}

// Splitter collects bytes until they make whole events. Its zero value is
// empty.
type Splitter struct {
	buf  []byte
	next int
}

// Append adds bytes.
func (s *Splitter) Append(p []byte) {
	if s.next > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.next:])]
		s.next = 0
	}
	s.buf = append(s.buf, p...)
}

// Next returns the next whole event, and false when there is none yet.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buf[s.next:]
	end := eventEnd(rest)
	if end < 0 {
		return Event{}, false
	}
	e := Event{Data: rest[:end]}
	e.ID, e.HasID = eventID(e.Data)
	s.next += end
	return e, true
}

// Buffered returns the number of bytes that make no whole event.
func (s *Splitter) Buffered() int { return len(s.buf) - s.next }

// eventEnd returns the length of the first whole event with its blank line, or
// -1.
func eventEnd(p []byte) int {
	lf := bytes.Index(p, []byte("\n\n"))
	crlf := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case crlf >= 0 && (lf < 0 || crlf < lf):
		return crlf + len("\r\n\r\n")
	case lf >= 0:
		return lf + len("\n\n")
	}
	return -1
}

// eventID returns the number in the event's id line.
func eventID(p []byte) (int64, bool) {
	for line := range bytes.Lines(p) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return n, err == nil
	}
	return 0, false
}
