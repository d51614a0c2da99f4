package differ

import (
	"testing"
	"time"
)

func TestCursor(t *testing.T) {
	start := time.Unix(1000, 0)
	var c Cursor
	for _, step := range []struct {
		ms            int
		current, want uint64
	}{{0, 5, 0}, {100, 7, 5}, {200, 7, 7}, {1000, 8, 0}, {1100, 9, 8}} {
		if got := c.Next(start.Add(time.Duration(step.ms)*time.Millisecond), step.current); got != step.want {
			t.Errorf("at %d ms: since %d, want %d", step.ms, got, step.want)
		}
	}
}
