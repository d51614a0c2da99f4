package relayer

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"trefoilhead.org/trefoilhead/internal/refuser"
)

type readCloser = io.ReadCloser

// endMark is the last line of a complete stream of the chat-completions API.
var endMark = []byte("data: [DONE]")

// errNoEndMark is returned for a stream that ended without its end mark.
var errNoEndMark = errors.New("the stream ended without its end mark")

// endMarkScanner searches a stream that arrives in chunks for a line that starts with
// the end mark.
type endMarkScanner struct {
	line []byte
	// skipLine is set when the rest of the current line needs no comparison.
	skipLine bool
	found    bool
}

// scan processes the next chunk.
func (s *endMarkScanner) scan(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		end := i
		if i < 0 {
			end = len(p)
		}
		s.scanLinePart(p[:end])
		if i < 0 {
			return
		}
		s.line, s.skipLine = s.line[:0], false
		p = p[i+1:]
	}
}

func (s *endMarkScanner) scanLinePart(p []byte) {
	if s.skipLine {
		return
	}
	room := len(endMark) - len(s.line)
	s.line = append(s.line, p[:min(room, len(p))]...)
	if !bytes.HasPrefix(endMark, s.line) {
		s.skipLine = true
		return
	}
	if len(s.line) == len(endMark) {
		s.found = true
		s.skipLine = true
	}
}

// copyStream relays a stream of server-sent events. If the stream breaks off or lacks
// its end mark, an error event is added at its end.
func copyStream(w http.ResponseWriter, resp *Response) error {
	scanner := &endMarkScanner{}
	watched := &Response{Status: resp.Status, Header: resp.Header, Body: &scanningBody{resp.Body, scanner}}
	err := copyResponse(w, watched)
	if err == nil && !scanner.found {
		err = errNoEndMark
	}
	if err == nil || errors.Is(err, errNothingWritten) {
		return err
	}
	refusal := refuser.New(refuser.AnswerIncomplete, refuser.MayHaveRun, "the answer broke off; what came before is only its beginning")
	event := append([]byte("\n\ndata: "), refusal.JSON()...)
	if _, werr := w.Write(append(event, "\n\n"...)); werr != nil {
		return werr
	}
	_ = http.NewResponseController(w).Flush()
	return err
}

// scanningBody is a response body that passes all data read from it to a scanner.
type scanningBody struct {
	io.ReadCloser
	scanner *endMarkScanner
}

// Read implements io.Reader.
func (b *scanningBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.scanner.scan(p[:n])
	return n, err
}
