package emulator

import (
	"testing"
	"time"
)

// TestLimitRecord plays a server that names 2 a second, then 4, then none, and gets 5 requests
// a second all the time.
func TestLimitRecord(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	rule := LimitRule{Contact: 3 * time.Second, Window: 4 * time.Second, Overshoot: 1.5, Slack: 5}
	var l LimitRecord
	arrive := func(from, to float64) {
		for s := from; s < to; s += 0.2 {
			l.RecordArrival(at(s))
			l.Answer(at(s))
		}
	}
	l.Name(at(0), 2)
	arrive(0, 6.9)
	if c := l.Check(rule); c.Windows != 0 {
		t.Errorf("before everyone can know of the limit: %+v", c)
	}
	arrive(7, 8)
	if c := l.Check(rule); c.Violation == "" || c.Worst < 1.17 || c.Worst > 1.18 {
		t.Errorf("20 requests where 17 are allowed: %+v", c)
	}
	var changed LimitRecord
	changed.Name(at(0), 2)
	changed.Answer(at(0))
	changed.Name(at(4), 4)
	for s := 6.5; s < 10; s += 0.2 {
		changed.RecordArrival(at(s))
	}
	changed.End(at(9))
	if c := changed.Check(rule); c.Violation != "" || c.Windows == 0 {
		t.Errorf("5 a second where 4 and then any number are allowed: %+v", c)
	}
}
