package streamer

import (
	"strings"
	"testing"
)

// splitChunks appends a stream to a Splitter in chunks of the given size. It returns the
// events, their IDs and the number of bytes left over.
func splitChunks(text string, chunk int) (events []string, ids []int64, left int) {
	var s Splitter
	for len(text) > 0 {
		k := min(chunk, len(text))
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

func TestSplitterHandlesAnyChunkSize(t *testing.T) {
	text := "versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: x\ndata: c\n\nid: 7\ndata: torn"
	for n := 1; n <= len(text); n++ {
		events, ids, left := splitChunks(text, n)
		if got := strings.Join(events, ""); got != text[:len(text)-len("id: 7\ndata: torn")] {
			t.Fatalf("chunks of %d: events %q", n, events)
		}
		if len(events) != 4 || len(ids) != 2 || ids[0] != 1 || ids[1] != 2 {
			t.Fatalf("chunks of %d: %d events, ids %v", n, len(events), ids)
		}
		if left != len("id: 7\ndata: torn") {
			t.Fatalf("chunks of %d: %d bytes are left", n, left)
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
		events, _, left := splitChunks(text, n)
		joined := strings.Join(events, "")
		if !strings.HasPrefix(text, joined) || len(joined)+left != len(text) {
			t.Errorf("%q in chunks of %d: events %q and %d bytes left", text, n, events, left)
		}
		unchunked, _, _ := splitChunks(text, max(len(text), 1))
		if strings.Join(unchunked, "") != joined {
			t.Errorf("%q: chunks of %d give %q, unchunked %q", text, n, events, unchunked)
		}
	})
}
