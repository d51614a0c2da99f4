// Package streamer splits a stream of server-sent events into complete events.
//
// The bytes from a backend server arrive in chunks that may end inside an event. A
// Splitter returns only complete events, so that an interrupted stream can be resumed
// at another server exactly after the last event that the caller received.
package streamer

import (
	"bytes"
	"strconv"
)

// Event is one complete event. Data aliases the Splitter's buffer and is valid until
// the next call of Append.
type Event struct {
	Data []byte
	// ID is the event's ID. HasID is false if the event has no numeric ID.
	ID    int64
	HasID bool
}

// Splitter buffers bytes and splits them into complete events. Its zero value is empty
// and ready to use.
type Splitter struct {
	buf    []byte
	offset int
}

// Append adds received bytes to the buffer.
func (s *Splitter) Append(p []byte) {
	if s.offset > 0 {
		s.buf = s.buf[:copy(s.buf, s.buf[s.offset:])]
		s.offset = 0
	}
	s.buf = append(s.buf, p...)
}

// Next returns the next complete event, or false if the buffer holds none.
func (s *Splitter) Next() (Event, bool) {
	rest := s.buf[s.offset:]
	length := eventLength(rest)
	if length < 0 {
		return Event{}, false
	}
	e := Event{Data: rest[:length]}
	e.ID, e.HasID = eventID(e.Data)
	s.offset += length
	return e, true
}

// Buffered returns the number of bytes that Next has not returned. Once Next has
// returned false, they belong to an incomplete event.
func (s *Splitter) Buffered() int { return len(s.buf) - s.offset }

// eventLength returns the length of the first complete event, including the blank line
// that ends it, or -1 if there is none.
func eventLength(p []byte) int {
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

// eventID returns the number in the event's first id line, or false if that line is
// missing or not a number.
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
