package relayer

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

type readCloser = io.ReadCloser

// endMark ends a complete stream of the chat-completions interface.
var endMark = []byte("data: [DONE]")

// errNoEndMark means that a stream ended without its end mark.
var errNoEndMark = errors.New("the stream ended without its end mark")

// markScanner looks for the end mark at the start of a line of a stream that
// comes in pieces.
type markScanner struct {
	line []byte
	// skip is set while the rest of a line that is no mark goes by.
	skip  bool
	found bool
}

// scan takes the next piece.
func (s *markScanner) scan(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		end := i
		if i < 0 {
			end = len(p)
		}
		s.add(p[:end])
		if i < 0 {
			return
		}
		s.line, s.skip = s.line[:0], false
		p = p[i+1:]
	}
}

func (s *markScanner) add(p []byte) {
	if s.skip {
		return
	}
	room := len(endMark) - len(s.line)
	s.line = append(s.line, p[:min(room, len(p))]...)
	if !bytes.HasPrefix(endMark, s.line) {
		s.skip = true
		return
	}
	if len(s.line) == len(endMark) {
		s.found = true
		s.skip = true
	}
}

// copyStream passes a stream of server-sent events on. A stream that breaks or
// lacks its end mark gets an explicit error event instead.
func copyStream(w http.ResponseWriter, reply *Response) error {
	scanner := &markScanner{}
	watched := &Response{Status: reply.Status, Header: reply.Header, Body: &scannedBody{reply.Body, scanner}}
	err := copyReply(w, watched)
	if err == nil && !scanner.found {
		err = errNoEndMark
	}
	if err == nil {
		return nil
	}
	why := refuser.New(refuser.AnswerIncomplete, refuser.MayHaveRun, "the answer broke off; what came before is only its beginning")
	event := append([]byte("\n\ndata: "), why.JSON()...)
	if _, werr := w.Write(append(event, "\n\n"...)); werr != nil {
		return werr
	}
	_ = http.NewResponseController(w).Flush()
	return err
}

// scannedBody shows what is read to a scanner.
type scannedBody struct {
	io.ReadCloser
	scanner *markScanner
}

// Read implements io.Reader.
func (b *scannedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.scanner.scan(p[:n])
	return n, err
}
