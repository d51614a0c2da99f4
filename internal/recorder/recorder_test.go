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

func applyChange(t *rapid.T, s *State, c Change) Outcome {
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

// TestChanges applies racing, resent and invalid operator calls to the log's
// state, while a follower receives accepted changes and snapshots more than once
// and with gaps. At most one change may be accepted as each revision, a resent call
// has to get its first outcome, and the follower's revision must never decrease.
// At the end the follower has to hold the same configuration as the log.
func TestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var logState, follower State
		firstOutcomes := map[string]Outcome{}
		acceptedBy := map[identifier.Revision]string{}
		calls := 0
		send := func(t *rapid.T, c Change) {
			o := applyChange(t, &logState, c)
			if old, ok := firstOutcomes[c.RequestID]; ok {
				if !o.Replayed || o.Code != old.Code || o.Revision != old.Revision {
					t.Fatalf("resent %s got %+v, first %+v", c.RequestID, o, old)
				}
				return
			}
			firstOutcomes[c.RequestID] = o
			if o.Code != OutcomeAccepted {
				return
			}
			if earlier, ok := acceptedBy[o.Revision]; ok {
				t.Fatalf("%s and %s both got revision %d", earlier, c.RequestID, o.Revision)
			}
			acceptedBy[o.Revision] = c.RequestID
		}
		newChange := func(t *rapid.T) Change {
			calls++
			behind := identifier.Revision(rapid.IntRange(0, 2).Draw(t, "behind"))
			c := Change{RequestID: fmt.Sprint("r", calls), ExpectedRevision: logState.Revision() - min(behind, logState.Revision())}
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
				c := newChange(t)
				sent = append(sent, c)
				send(t, c)
			},
			"resend": func(t *rapid.T) {
				if len(sent) > 0 {
					send(t, rapid.SampledFrom(sent).Draw(t, "call"))
				}
			},
			"follow": func(t *rapid.T) {
				from := identifier.Revision(rapid.IntRange(0, int(logState.Revision())).Draw(t, "from"))
				changes, ok := logState.ChangesSince(from)
				before := follower.Revision()
				for _, c := range changes {
					_ = follower.ApplyAccepted(c)
				}
				if !ok || follower.Revision() < before {
					t.Fatalf("the follower went from %d to %d", before, follower.Revision())
				}
			},
			"replace": func(t *rapid.T) {
				if err := follower.ReplaceIfNewer(logState.Snapshot()); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				var restored State
				if err := restored.Restore(logState.Snapshot()); err != nil || !bytes.Equal(restored.Snapshot(), logState.Snapshot()) {
					t.Fatalf("the restored state differs: %v", err)
				}
			},
		})
		changes, _ := logState.ChangesSince(follower.Revision())
		for _, c := range changes {
			if err := follower.ApplyAccepted(c); err != nil {
				t.Fatal(err)
			}
		}
		if fmt.Sprint(follower.View()) != fmt.Sprint(logState.View()) {
			t.Fatalf("the follower has %v, the log %v", follower.View(), logState.View())
		}
	})
}

// TestOlderStateIsNotTaken guards against a process going back to an older
// configuration: ReplaceIfNewer has to ignore a lower revision, Restore to
// return an error.
func TestOlderStateIsNotTaken(t *testing.T) {
	var s State
	old := s.Snapshot()
	s.Apply([]byte(`{"request_id":"a","expected":0,"drain":{"kind":"failure_domain","id":"d"}}`))
	if err := s.ReplaceIfNewer(old); err != nil || s.Revision() != 1 {
		t.Errorf("revision %d after an older state, error %v", s.Revision(), err)
	}
	if s.Restore(old) == nil || s.Revision() != 1 {
		t.Errorf("an older snapshot of the log was restored: revision %d", s.Revision())
	}
}

// TestPlacementVoteIsCompareAndSet requires that only the first of two votes
// proposed with the same VoteCount is accepted.
func TestPlacementVoteIsCompareAndSet(t *testing.T) {
	var s State
	a := s.Apply([]byte(`{"witness":{"domain":"d","holder":"a","epoch":1,"after":0}}`))
	b := s.Apply([]byte(`{"witness":{"domain":"d","holder":"b","epoch":2,"after":0}}`))
	if !bytes.Contains(a, []byte("accepted")) || !bytes.Contains(b, []byte("conflict")) || s.LastPlacementVote("d").Holder != "a" {
		t.Errorf("votes gave %s and %s, the holder is %q", a, b, s.LastPlacementVote("d").Holder)
	}
}
