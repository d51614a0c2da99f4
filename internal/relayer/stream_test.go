package relayer

import (
	"bytes"
	"strings"
	"testing"
)

// scanInPieces runs a scanner over s cut into pieces of n bytes.
func scanInPieces(s string, n int) bool {
	scanner := &endMarkScanner{}
	for len(s) > n {
		scanner.scan([]byte(s[:n]))
		s = s[n:]
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
		for n := 1; n < 16; n++ {
			if got := scanInPieces(c.stream, n); got != c.found {
				t.Errorf("in pieces of %d, %q: found %t, want %t", n, c.stream, got, c.found)
			}
		}
	}
}

// FuzzEndMark compares the scanner with a search over whole lines.
func FuzzEndMark(f *testing.F) {
	f.Add([]byte("data: {}\n\ndata: [DONE]\n\n"), 3)
	f.Fuzz(func(t *testing.T, stream []byte, n int) {
		want := false
		for line := range bytes.SplitSeq(stream, []byte("\n")) {
			want = want || bytes.HasPrefix(line, endMark)
		}
		if got := scanInPieces(string(stream), max(n%64, 1)); got != want {
			t.Errorf("found %t, want %t", got, want)
		}
	})
}
