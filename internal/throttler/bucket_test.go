package throttler

import (
	"testing"
	"time"
)

func TestBucket(t *testing.T) {
	var b Bucket
	if !b.Take(at(0), 2) || b.Take(at(400), 2) || !b.Take(at(500), 2) {
		t.Error("a rate of 2 does not allow a request at 0 and 0.5 s only")
	}
	if got := b.Wait(at(500), 2, 3); got != 1500*time.Millisecond {
		t.Errorf("3 requests may be sent after %s", got)
	}
	sent := 0
	for b.Take(at(60000), 2) {
		sent++
	}
	if sent != 2 {
		t.Errorf("%d requests were saved up in a minute", sent)
	}
	b.Return()
	if !b.Take(at(60000), 2) {
		t.Error("a returned request cannot be sent")
	}
}
