package limiter

import (
	"testing"
	"time"
)

func TestRampGrowsOnlyWhenUsed(t *testing.T) {
	r := AdaptiveLimit{ColdLimit: 4, WarmLimit: 64}
	for range 1000 {
		r.RecordSuccess(time.Millisecond, 1)
	}
	if r.Limit() != 4 {
		t.Errorf("an idle replica's limit grew to %d", r.Limit())
	}
	for range 1000 {
		r.RecordSuccess(time.Millisecond, r.Limit())
	}
	if r.Limit() != 64 {
		t.Errorf("a busy replica's limit is %d, want 64", r.Limit())
	}
}

func TestRampFallsBackWhenCold(t *testing.T) {
	r := AdaptiveLimit{ColdLimit: 4, WarmLimit: 64}
	for range 1000 {
		r.RecordSuccess(200*time.Millisecond, r.Limit())
	}
	for range slowInARow {
		r.RecordSuccess(2*time.Second, r.Limit())
	}
	if r.Limit() != 4 {
		t.Errorf("after slow answers the limit is %d, want 4", r.Limit())
	}
}

func TestRampNeverBelowCold(t *testing.T) {
	r := AdaptiveLimit{ColdLimit: 4, WarmLimit: 64}
	for range 100 {
		r.RecordFailure()
	}
	if r.Limit() != 4 {
		t.Errorf("after failures the limit is %d, want 4", r.Limit())
	}
	r = AdaptiveLimit{ColdLimit: 8, WarmLimit: 2}
	if r.Limit() != 2 {
		t.Errorf("the limit %d is above the declared one", r.Limit())
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := RetryBudget{RetriesPerRequest: 0.1, MaxSaved: 10}
	retries := 0
	for range 1000 {
		b.RecordRequest()
		if b.AllowRetry() {
			retries++
		}
	}
	if retries > 110 {
		t.Errorf("%d retries for 1000 requests, want at most a tenth and the burst", retries)
	}
	if retries < 100 {
		t.Errorf("only %d retries for 1000 requests were allowed", retries)
	}
}

// TestRampStopsWhereStrainBegins imitates a replica that bears eight requests
// and takes longer in proportion beyond that.
func TestRampStopsWhereStrainBegins(t *testing.T) {
	r := AdaptiveLimit{ColdLimit: 4, WarmLimit: 64}
	for range 1000 {
		running := r.Limit()
		strain := max(1, float64(running)/8)
		r.RecordSuccess(time.Duration(200*strain)*time.Millisecond, running)
	}
	if r.Limit() < 8 || r.Limit() > 12 {
		t.Errorf("the limit of a replica that bears 8 is %d", r.Limit())
	}
}
