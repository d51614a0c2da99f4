package limiter

import (
	"testing"
	"time"
)

// TestWindowHoldsInAnySpan replays load patterns and counts the repeats in every
// span.
func TestWindowHoldsInAnySpan(t *testing.T) {
	const ratio, slack = 0.2, 10.0
	for name, pattern := range map[string]func(ms int) (requests, repeats int){
		"steady":         func(ms int) (int, int) { return b2i(ms%10 == 0), b2i(ms%10 == 0) },
		"burst at times": func(ms int) (int, int) { return b2i(ms%50 == 0), 20 * b2i(ms%4000 == 0) },
		"no requests":    func(ms int) (int, int) { return 0, b2i(ms%5 == 0) },
		"then silence":   func(ms int) (int, int) { return b2i(ms < 5000), b2i(ms > 9000) },
	} {
		t.Run(name, func(t *testing.T) {
			w := &RetryWindow{Ratio: ratio, Slack: slack, Span: 10 * time.Second}
			var requests, repeats []int
			for ms := range 40000 {
				now := time.UnixMilli(int64(ms))
				n, k := pattern(ms)
				for range n {
					w.RecordRequest(now)
					requests = append(requests, ms)
				}
				for range k {
					if w.AllowRetry(now) {
						repeats = append(repeats, ms)
					}
				}
			}
			if len(repeats) == 0 {
				t.Fatal("no repeat was allowed")
			}
			for from := 0; from < 40000; from += 100 {
				r, k := within(requests, from, from+10000), within(repeats, from, from+10000)
				// The platform's rule counts the requests of that span, the one before
				// it or the one half a span before it, whichever has most.
				half, before := within(requests, from-5000, from+5000), within(requests, from-10000, from)
				if float64(k) > ratio*float64(max(r, half, before))+slack {
					t.Fatalf("from %d ms: %d repeats beside %d requests", from, k, r)
				}
			}
		})
	}
}

func b2i(b bool) int {
	if b {
		return 1
	}
	return 0
}

func within(at []int, from, to int) int {
	n := 0
	for _, ms := range at {
		if ms >= from && ms < to {
			n++
		}
	}
	return n
}
