package limiter

import (
	"testing"
	"time"
)

func TestRecentMax(t *testing.T) {
	start := time.Unix(1000, 0)
	r := RecentMax{TTL: 10 * time.Second}
	for _, step := range []struct{ at, n, want int }{
		{0, 9, 9}, {1, 2, 9}, {2, 8, 9}, {9, 3, 9}, {11, 3, 8}, {13, 3, 3}, {14, 5, 5}, {60, 1, 1},
	} {
		if got := r.Record(start.Add(time.Duration(step.at)*time.Second), step.n); got != step.want {
			t.Errorf("at %d s: %d recorded, got %d, want %d", step.at, step.n, got, step.want)
		}
	}
}
