package limiter

import (
	"testing"
	"time"
)

// TestWindowBoundsRetriesInAnySpan replays load patterns and checks the number of
// retries in every span of 10 s. Bursts or a sudden stop of the requests must not
// allow more retries than declared.
func TestWindowBoundsRetriesInAnySpan(t *testing.T) {
	const ratio, slack = 0.2, 10.0
	for name, pattern := range map[string]func(ms int) (requests, retries int){
		"steady":         func(ms int) (int, int) { return boolToInt(ms%10 == 0), boolToInt(ms%10 == 0) },
		"burst at times": func(ms int) (int, int) { return boolToInt(ms%50 == 0), 20 * boolToInt(ms%4000 == 0) },
		"no requests":    func(ms int) (int, int) { return 0, boolToInt(ms%5 == 0) },
		"then silence":   func(ms int) (int, int) { return boolToInt(ms < 5000), boolToInt(ms > 9000) },
	} {
		t.Run(name, func(t *testing.T) {
			w := &RetryWindow{Ratio: ratio, Slack: slack, Span: 10 * time.Second}
			var requests, retries []int
			for ms := range 40000 {
				now := time.UnixMilli(int64(ms))
				n, k := pattern(ms)
				for range n {
					w.RecordRequest(now)
					requests = append(requests, ms)
				}
				for range k {
					if w.AllowRetry(now) {
						retries = append(retries, ms)
					}
				}
			}
			if len(retries) == 0 {
				t.Fatal("no retry was allowed")
			}
			for from := 0; from < 40000; from += 100 {
				r, k := countWithin(requests, from, from+10000), countWithin(retries, from, from+10000)
				// By the rule of the platform, the number of requests is that of this
				// span, the span before it or the span that starts half a span earlier,
				// whichever has most.
				half, before := countWithin(requests, from-5000, from+5000), countWithin(requests, from-10000, from)
				if float64(k) > ratio*float64(max(r, half, before))+slack {
					t.Fatalf("from %d ms: retry count %d for %d requests", from, k, r)
				}
			}
		})
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func countWithin(times []int, from, to int) int {
	n := 0
	for _, ms := range times {
		if ms >= from && ms < to {
			n++
		}
	}
	return n
}
