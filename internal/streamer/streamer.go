// Package streamer splits a stream of server-sent events into complete events.
//
// The bytes from a backend server arrive in chunks that may end inside an event. A
// Splitter returns only complete events, so that an interrupted stream can be resumed
// at another server exactly after the last event that the caller received.
package streamer

import (
	"bytes"
	"errors"
	"strconv"
)

// Event is one complete event. Data aliases the Splitter's buffer and is valid until
// the next call of Append.
type Event struct {
	Data []byte
	// ID is the event's ID. HasID is false if the event has no numeric ID.
	ID    int64
	HasID bool
	// IsComment is set if the event holds nothing but comments, which servers send to keep
	// a connection open.
	IsComment bool
}

// Splitter buffers bytes and splits them into complete events. Its zero value is empty
// and ready to use.
type Splitter struct {
	buf    []byte
	offset int
	// searched is how much of the incomplete event at offset has been searched for its
	// end.
	searched int
}

// MaxEventBytes is the size of the longest event that is accepted.
const MaxEventBytes = 256 << 10

// ErrEventTooLong means that a server sent an event that is longer than MaxEventBytes.
var ErrEventTooLong = errors.New("the server sent an event that is longer than allowed")

// maxEndBytes is the length of the longest blank line that ends an event, with the end of
// the line before it.
const maxEndBytes = len("\r\n\r\n")

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
	length := eventLength(rest[s.searched:])
	if length < 0 {
		s.searched = max(len(rest)-maxEndBytes+1, 0)
		return Event{}, false
	}
	length += s.searched
	e := Event{Data: rest[:length], IsComment: isComment(rest[:length])}
	e.ID, e.HasID = eventID(e.Data)
	s.offset += length
	s.searched = 0
	return e, true
}

// TooLong reports whether the incomplete event that is buffered is longer than
// MaxEventBytes.
func (s *Splitter) TooLong() bool { return s.Buffered() > MaxEventBytes }

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

// isComment reports whether all lines of an event are comments or blank.
func isComment(p []byte) bool {
	for line := range bytes.Lines(p) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
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
