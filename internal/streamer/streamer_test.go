package streamer

import (
	"strings"
	"testing"
)

// collect feeds a stream in pieces of n bytes and returns the events.
func collect(text string, n int) (events []string, ids []int64, rest int) {
	var s Splitter
	for len(text) > 0 {
		k := min(n, len(text))
		s.Append([]byte(text[:k]))
		text = text[k:]
		for e, ok := s.Next(); ok; e, ok = s.Next() {
			events = append(events, string(e.Data))
			if e.HasID {
				ids = append(ids, e.ID)
			}
		}
	}
	return events, ids, s.Buffered()
}

func TestPiecesOfAnySize(t *testing.T) {
	text := "versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: x\ndata: c\n\nid: 7\ndata: torn"
	for n := 1; n <= len(text); n++ {
		events, ids, rest := collect(text, n)
		if got := strings.Join(events, ""); got != text[:len(text)-len("id: 7\ndata: torn")] {
			t.Fatalf("pieces of %d: events %q", n, events)
		}
		if len(events) != 4 || len(ids) != 2 || ids[0] != 1 || ids[1] != 2 {
			t.Fatalf("pieces of %d: %d events, ids %v", n, len(events), ids)
		}
		if rest != len("id: 7\ndata: torn") {
			t.Fatalf("pieces of %d: %d bytes are left", n, rest)
		}
	}
}

func FuzzSplitter(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 3)
	f.Add("\n\n\r\n\r\n\n", 1)
	f.Fuzz(func(t *testing.T, text string, n int) {
		if n < 1 || n > 1000 {
			return
		}
		events, _, rest := collect(text, n)
		joined := strings.Join(events, "")
		if !strings.HasPrefix(text, joined) || len(joined)+rest != len(text) {
			t.Errorf("%q in pieces of %d: events %q and %d bytes left", text, n, events, rest)
		}
		whole, _, _ := collect(text, max(len(text), 1))
		if strings.Join(whole, "") != joined {
			t.Errorf("%q: pieces of %d give %q, the whole %q", text, n, events, whole)
		}
	})
}
