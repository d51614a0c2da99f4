package relayer

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/locator"
	"trefoilhead.org/trefoilhead/internal/refuser"
	"trefoilhead.org/trefoilhead/internal/throttler"
)

// TestLateAnswerDoesNotLimitRestartedServer guards against a rate that a server named before
// it was restarted.
func TestLateAnswerDoesNotLimitRestartedServer(t *testing.T) {
	o, c := &Owner{}, &admissionController{incarnation: 2}
	o.observeLimit("g", c, 1, time.Now(), http.Header{refuser.HeaderRateLimit: {"0.5"}})
	if _, limited := c.rateLimit(); limited {
		t.Error("the restarted server has the rate of its former incarnation")
	}
	o.observeLimit("g", c, 2, time.Now(), http.Header{refuser.HeaderRateLimit: {"3"}})
	if rate, limited := c.rateLimit(); !limited || rate != 3 {
		t.Errorf("rate %v, limited %v", rate, limited)
	}
}

// TestUnreachableServerKeepsItsRate guards against requests that count although they did not
// reach the server.
func TestUnreachableServerKeepsItsRate(t *testing.T) {
	now := time.Now()
	c := &admissionController{ownership: locator.OwnershipExclusive, namedLimit: &throttler.Limit{Rate: 0.5, NamedAt: now}}
	c.adaptiveLimit.ColdLimit, c.adaptiveLimit.WarmLimit = 4, 4
	if !c.tryTakeSlot() || c.tryTakeSlot() {
		t.Fatal("a rate of 0.5 does not allow one request at once")
	}
	if r := (&Owner{}).handleSendError(context.Background(), c, false, false, errors.New("refused")); r.Statement != refuser.NotRun {
		t.Errorf("the refusal says %s", r.Statement)
	}
	if !c.tryTakeSlot() {
		t.Error("a request that did not reach the server counts")
	}
}
