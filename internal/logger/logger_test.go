package logger

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestWriteDoesNotBlock floods a writer whose output is stuck. Every Write has to
// return, the queue stays bounded, and the lines that were left out are counted.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		w := &Writer{Out: out}
		line := []byte(strings.Repeat("x", 199) + "\n")
		const lines = 100_000
		for range lines {
			if n, err := w.Write(line); n != len(line) || err != nil {
				t.Fatal(n, err)
			}
		}
		if len(w.queue) > maxQueued {
			t.Errorf("%d bytes are queued", len(w.queue))
		}
		close(out.release)
		synctest.Wait()
		if _, err := w.Write([]byte("after\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		written := strings.Count(out.got.String(), string(line))
		if written+int(w.OmittedLines()) != lines {
			t.Errorf("%d lines were written and %d left out of %d", written, w.OmittedLines(), lines)
		}
		note := fmt.Sprintf("lines=%d\nafter\n", w.OmittedLines())
		if !strings.HasSuffix(out.got.String(), note) {
			t.Errorf("the output ends with %q, want %q", out.got.String()[out.got.Len()-60:], note)
		}
	})
}

func TestCloseWritesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := &Writer{Out: &out}
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		w.Close()
		if out.String() != "line 0\nline 1\nline 2\n" {
			t.Errorf("got %q", out.String())
		}
		(&Writer{}).Close()
	})
}

// BenchmarkRequestLine measures the processor time of a line of the size that a
// front writes for each request.
func BenchmarkRequestLine(b *testing.B) {
	w := &Writer{Out: io.Discard}
	defer w.Close()
	l := log.With(log.NewLogfmtLogger(w), "time", log.DefaultTimestampUTC)
	b.ReportAllocs()
	for b.Loop() {
		_ = level.Info(l).Log("msg", "request", "id", "7db6ef062a132f41", "status", 200, "outcome", "served", "route", "r-das8cuw",
			"team", "wuwu387", "model", "noye373c8a", "servers", "i-10c9acb844", "runs", 1, "rejections", 0, "unreached", 0,
			"fault", "", "expected_ms", 46, "first_ms", 45, "total_ms", 599, "catalog", 2, "fresh_ago_ms", 440)
	}
}
