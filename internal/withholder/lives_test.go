package withholder

import (
	"testing"
	"time"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// TestAnswerOfNextLifeIsKept guards against a server that gets requests although it has said that it wants none,
// because the answer came before the first heartbeat of its present life and counted for the former one.
func TestAnswerOfNextLifeIsKept(t *testing.T) {
	const saidAt = 1_000_000
	for name, s := range map[string]Statement{
		"leaves": {Leaving: true, SaidAt: saidAt},
		"waits":  {Wait: time.Minute, SaidAt: saidAt},
	} {
		for _, test := range []struct {
			life identifier.Incarnation
			at   time.Duration
			held bool
		}{
			{life: 1000, at: time.Second, held: true},
			{life: saidAt - 300, at: time.Second, held: true},
			{life: saidAt - 300, at: time.Minute - time.Second, held: false},
			{life: saidAt + 2000, at: 3 * time.Second, held: false},
			{life: 999, at: time.Second, held: false},
		} {
			var l Ledger
			l.Observe(0, "s", 1000, s, "q")
			if held := l.Get(test.at, "s", test.life) != nil; held != test.held {
				t.Errorf("%s: the life that started at %d is kept from requests %v after %s", name, test.life, held, test.at)
			}
		}
	}
}

// TestLastAnswerDecidesWhichLifeSpoke guards against an answer that is compared with the time of an earlier one.
func TestLastAnswerDecidesWhichLifeSpoke(t *testing.T) {
	var l Ledger
	l.Observe(0, "s", 1000, Statement{Leaving: true, SaidAt: 10_000}, "q1")
	l.Observe(5*time.Second, "s", 1000, Statement{Leaving: true, SaidAt: 15_000}, "q2")
	if l.Get(6*time.Second, "s", 14_000) == nil {
		t.Error("the life that started before the last answer gets requests")
	}
}
