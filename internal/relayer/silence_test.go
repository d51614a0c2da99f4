package relayer

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

const silenceTimeout = 10 * time.Second

// pacedServer answers every request with parts of a body. A part is there for the reader
// after pause from the one before.
type pacedServer struct {
	parts []string
	pause time.Duration
	peer  bool
}

// RoundTrip implements http.RoundTripper.
func (s *pacedServer) RoundTrip(r *http.Request) (*http.Response, error) {
	header := http.Header{"Content-Type": {"text/event-stream"}}
	if s.peer {
		header.Set(headerIsResponse, "1")
	}
	return &http.Response{StatusCode: http.StatusOK, Header: header, Body: &pacedBody{ctx: r.Context(), server: *s, readyAt: time.Now()}}, nil
}

// pacedBody is the body of an answer of pacedServer. Like a connection, it holds parts that
// have arrived while nobody has read, and fails once its request is cancelled.
type pacedBody struct {
	ctx     context.Context
	server  pacedServer
	readyAt time.Time
	left    string
}

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == "" {
		if len(b.server.parts) == 0 {
			return 0, io.EOF
		}
		b.readyAt = b.readyAt.Add(b.server.pause)
		select {
		case <-time.After(time.Until(b.readyAt)):
		case <-b.ctx.Done():
		}
		b.left, b.server.parts = b.server.parts[0], b.server.parts[1:]
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *pacedBody) Close() error { return nil }

// silenceTestOwner returns an entry that owns one group, whose server is s.
func silenceTestOwner(s *pacedServer) *Owner {
	l := &locator.Locator{VM: "e", Domain: "d", ExclusiveOwnershipTimeout: time.Hour, MaxDigestAge: time.Hour}
	l.SetView(time.Now(), &peerv1.PlacementView{Full: true, Epoch: 1, Groups: []*peerv1.GroupView{{
		Id: "g", Service: "chat", Address: "http://server", Serving: true, Owner: "e", FirstOwner: true,
		Concurrency: 16, ColdConcurrency: 16, Members: []string{"v"}, Limit: 16,
	}}})
	return &Owner{
		Locator: l, Client: &http.Client{Transport: s}, Elapsed: func() time.Duration { return 0 },
		Limits:          Limits{MaxQueueWait: time.Second, FirstTokenTimeout: silenceTimeout, InterTokenTimeout: silenceTimeout, MaxQueueLength: 1},
		HasLostMember:   func(time.Time, []identifier.VM) bool { return false },
		RunningRequests: func(time.Time, identifier.VM) (uint32, bool) { return 0, false },
	}
}

// answerWays returns the ways on which an answer of a server reaches an entry: from the server
// itself, and through the entry that owns the group.
func answerWays(s *pacedServer) map[string]func(*Request) (*Response, *refuser.Refusal) {
	owner := silenceTestOwner(s)
	peer := *s
	peer.peer = true
	client := &PeerClient{Addresses: map[identifier.VM]string{"e": "e:1"}, Scheme: "http", Client: &http.Client{Transport: &peer}, Limits: owner.Limits}
	return map[string]func(*Request) (*Response, *refuser.Refusal){
		"server": func(r *Request) (*Response, *refuser.Refusal) { return owner.SendRequest(context.Background(), "g", r) },
		"entry": func(r *Request) (*Response, *refuser.Refusal) {
			return client.SendRequest(context.Background(), "e", "g", r)
		},
	}
}

// readSlowly reads an answer with a pause before each read.
func readSlowly(t *testing.T, resp *Response, pause time.Duration) string {
	t.Helper()
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	buf := make([]byte, copyBufferBytes)
	for {
		time.Sleep(pause)
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if err == io.EOF {
			return text.String()
		}
		if err != nil {
			t.Errorf("the answer ended after %d bytes: %v", text.Len(), err)
			return text.String()
		}
	}
}

// TestSlowCallersAreNoSilence guards against answers that are given up as if their server were
// silent, while a caller that reads slowly keeps the entry from reading what the server sends.
func TestSlowCallersAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		event := "data: token\n\n"
		s := &pacedServer{parts: []string{event, event, event, event}, pause: time.Second}
		for name, send := range answerWays(s) {
			resp, refusal := send(&Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Team: "t"})
			if refusal != nil {
				t.Fatalf("%s: %v", name, refusal)
			}
			if text := readSlowly(t, resp, 2*silenceTimeout); text != strings.Repeat(event, len(s.parts)) {
				t.Errorf("%s: got %d bytes", name, len(text))
			}
		}
	})
}

// TestSilenceCountsWhileAnEntryReads guards against answers that a silent server keeps open for
// good: each pause in which the entry waits for data is counted, and none of the caller's.
func TestSilenceCountsWhileAnEntryReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pacedServer{parts: []string{"data: token\n\n", "data: late\n\n"}, pause: 2 * silenceTimeout}
		for name, send := range answerWays(s) {
			resp, refusal := send(&Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Team: "t"})
			if refusal != nil {
				t.Fatalf("%s: %v", name, refusal)
			}
			startedAt := time.Now()
			_, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if took := time.Since(startedAt); err == nil || took > silenceTimeout+2*time.Second {
				t.Errorf("%s: after %s the answer ended with %v", name, took, err)
			}
		}
	})
}

// TestLongEventsAreRelayed guards against streams that are given up because one of their events
// is longer than what a splitter of events accepts.
func TestLongEventsAreRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		part := strings.Repeat("x", 100<<10)
		s := &pacedServer{parts: []string{"data: ", part, part, part, part, part, "\n\n", "data: [DONE]\n\n"}, pause: time.Second}
		for name, send := range answerWays(s) {
			resp, refusal := send(&Request{Method: http.MethodPost, Path: "/", Header: http.Header{}, Team: "t"})
			if refusal != nil {
				t.Fatalf("%s: %v", name, refusal)
			}
			if text := readSlowly(t, resp, 0); text != strings.Join(s.parts, "") {
				t.Errorf("%s: got %d bytes", name, len(text))
			}
		}
	})
}
