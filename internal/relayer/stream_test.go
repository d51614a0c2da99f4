package relayer

import (
	"bytes"
	"strings"
	"testing"
)

// scanInChunks passes s to a scanner in chunks of at most size bytes, and reports
// whether it found the end mark.
func scanInChunks(s string, size int) bool {
	scanner := &endMarkScanner{}
	for len(s) > size {
		scanner.scan([]byte(s[:size]))
		s = s[size:]
	}
	scanner.scan([]byte(s))
	return scanner.found
}

func TestEndMarkScanner(t *testing.T) {
	cases := []struct {
		stream string
		found  bool
	}{
		{"data: {}\n\ndata: [DONE]\n\n", true},
		{"data: [DONE]\n\n", true},
		{"data: {\"content\":\"data: [DONE]\"}\n\n", false},
		{"data: [DONE", false},
		{"", false},
		{"x data: [DONE]\n", false},
		{strings.Repeat("data: {}\n\n", 100) + "data: [DONE]", true},
	}
	for _, c := range cases {
		for size := 1; size < 16; size++ {
			if got := scanInChunks(c.stream, size); got != c.found {
				t.Errorf("in chunks of %d, %q: found %t, want %t", size, c.stream, got, c.found)
			}
		}
	}
}

// FuzzEndMark compares the scanner, fed in chunks, with a search in whole lines.
func FuzzEndMark(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, size int) {
		want := false
		for line := range bytes.SplitSeq(stream, []byte("\n")) {
			want = want || bytes.HasPrefix(line, endMark)
		}
		if got := scanInChunks(string(stream), max(size%64, 1)); got != want {
			t.Errorf("found %t, want %t", got, want)
		}
	})
}
