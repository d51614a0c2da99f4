package recorder

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"

	"trefoilhead.org/trefoilhead/internal/declarer"
	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

func apply(t *rapid.T, s *State, c Change) Outcome {
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var o Outcome
	if err := json.Unmarshal(s.Apply(data), &o); err != nil {
		t.Fatal(err)
	}
	return o
}

// TestChanges lets operators race, resend and err on the log's state while a
// follower takes changes and whole states with repetitions and gaps. Exactly
// one change wins each revision, a resent call gets its first outcome, and the
// follower never goes back and ends up equal.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var logged, follower State
		first := map[string]Outcome{}
		won := map[identifier.Revision]string{}
		calls := 0
		send := func(t *rapid.T, c Change) {
			o := apply(t, &logged, c)
			if old, ok := first[c.RequestID]; ok {
				if !o.Replayed || o.Code != old.Code || o.Revision != old.Revision {
					t.Fatalf("resent %s got %+v, first %+v", c.RequestID, o, old)
				}
				return
			}
			first[c.RequestID] = o
			if o.Code != OutcomeAccepted {
				return
			}
			if other, ok := won[o.Revision]; ok {
				t.Fatalf("%s and %s both won revision %d", other, c.RequestID, o.Revision)
			}
			won[o.Revision] = c.RequestID
		}
		change := func(t *rapid.T) Change {
			calls++
			back := identifier.Revision(rapid.IntRange(0, 2).Draw(t, "behind"))
			c := Change{RequestID: fmt.Sprint("r", calls), ExpectedRevision: logged.Revision() - min(back, logged.Revision())}
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			k := declarer.Key{Kind: declarer.KindTeam, ID: id}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				c.Remove = []declarer.Key{k}
			case 1:
				c.Drain = &Drain{Kind: DrainFailureDomain, ID: id}
			case 2:
				c.Undrain = &Drain{Kind: DrainFailureDomain, ID: id}
			default:
				c.Put = []declarer.Object{{Key: k, Body: json.RawMessage(fmt.Sprint(calls))}}
			}
			return c
		}
		var sent []Change
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) {
				c := change(t)
				sent = append(sent, c)
				send(t, c)
			},
			"resend": func(t *rapid.T) {
				if len(sent) > 0 {
					send(t, rapid.SampledFrom(sent).Draw(t, "call"))
				}
			},
			"follow": func(t *rapid.T) {
				from := identifier.Revision(rapid.IntRange(0, int(logged.Revision())).Draw(t, "from"))
				changes, ok := logged.ChangesSince(from)
				before := follower.Revision()
				for _, c := range changes {
					_ = follower.ApplyAccepted(c)
				}
				if !ok || follower.Revision() < before {
					t.Fatalf("the follower went from %d to %d", before, follower.Revision())
				}
			},
			"replace": func(t *rapid.T) {
				if err := follower.ReplaceIfNewer(logged.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				var restored State
				if err := restored.Restore(logged.Snapshot()); err != nil || !bytes.Equal(restored.Snapshot(), logged.Snapshot()) {
					t.Fatalf("a restored state differs: %v", err)
				}
			},
		})
		changes, _ := logged.ChangesSince(follower.Revision())
		for _, c := range changes {
			if err := follower.ApplyAccepted(c); err != nil {
				t.Fatal(err)
			}
		}
		if fmt.Sprint(follower.View()) != fmt.Sprint(logged.View()) {
			t.Fatalf("the follower has %v, the log %v", follower.View(), logged.View())
		}
	})
}

// TestOldStateIsIgnored offers a follower a state older than its own.
func TestOldStateIsIgnored(t *testing.T) {
	var s State
	old := s.Snapshot()
	s.Apply([]byte(`{"request_id":"a","expected":0,"drain":{"kind":"failure_domain","id":"d"}}`))
	if err := s.ReplaceIfNewer(old); err != nil || s.Revision() != 1 {
		t.Errorf("revision %d after an old state, error %v", s.Revision(), err)
	}
	if s.Restore(old) == nil || s.Revision() != 1 {
		t.Errorf("an older snapshot of the log was taken: revision %d", s.Revision())
	}
}

// TestVotesCompareAndSet requires that of two votes after the same one only the
// first counts.
func TestVotesCompareAndSet(t *testing.T) {
	var s State
	a := s.Apply([]byte(`{"witness":{"domain":"d","holder":"a","epoch":1,"after":0}}`))
	b := s.Apply([]byte(`{"witness":{"domain":"d","holder":"b","epoch":2,"after":0}}`))
	if !bytes.Contains(a, []byte("accepted")) || !bytes.Contains(b, []byte("conflict")) || s.LastPlacementVote("d").Holder != "a" {
		t.Errorf("votes were %s and %s, the holder is %q", a, b, s.LastPlacementVote("d").Holder)
	}
}
