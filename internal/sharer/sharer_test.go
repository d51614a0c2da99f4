package sharer

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// TestSharesFollowWeights keeps every team waiting and compares the work that
// each got with its weight. Fair queueing bounds the difference by one request
// of each team.
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 500
		teams := []identifier.Team{"a", "b", "c"}
		weights := map[identifier.Team]float64{}
		for _, team := range teams {
			weights[team] = float64(rapid.IntRange(1, 8).Draw(t, "weight"))
		}
		var q Queue[int]
		push := func(team identifier.Team) {
			cost := Cost(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Push(&Item[int]{Team: team, Weight: weights[team], Cost: cost})
		}
		for _, team := range teams {
			push(team)
		}
		got := map[identifier.Team]float64{}
		for range 300 {
			it := q.Pop()
			got[it.Team] += float64(it.Cost) / it.Weight
			push(it.Team)
		}
		for _, a := range teams {
			for _, b := range teams {
				bound := maxCost/weights[a] + maxCost/weights[b]
				if got[a]-got[b] > bound {
					t.Fatalf("team %s got %.0f per weight, team %s %.0f: more than %.0f apart", a, got[a], b, got[b], bound)
				}
			}
		}
	})
}

// TestFloodDelaysOnlyItself lets one team queue a thousand requests before
// another sends one: that one is served next but one at the latest.
func TestFloodDelaysOnlyItself(t *testing.T) {
	var q Queue[int]
	for range 1000 {
		q.Push(&Item[int]{Team: "flood", Weight: 1, Cost: 100})
	}
	for range 10 {
		q.Pop()
	}
	q.Push(&Item[int]{Team: "small", Weight: 1, Cost: 100})
	for i := range 2 {
		if q.Pop().Team == "small" {
			return
		}
		if i == 1 {
			t.Error("the small team's request waits behind the flood")
		}
	}
}

// TestQueue compares the queue with plain counts while requests come, go and
// give up.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 5
		q := Queue[int]{MaxPerTeam: most}
		waiting := map[*Item[int]]bool{}
		perTeam := func(team identifier.Team) int {
			n := 0
			for it := range waiting {
				if it.Team == team {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				team := rapid.SampledFrom([]identifier.Team{"a", "b"}).Draw(t, "team")
				it := &Item[int]{Team: team, Weight: 1, Cost: 1}
				want := perTeam(team) < most
				if got := q.Push(it); got != want {
					t.Fatalf("push of team %s with %d waiting returned %t", team, perTeam(team), got)
				}
				if want {
					waiting[it] = true
				}
			},
			"pop": func(t *rapid.T) {
				it := q.Pop()
				if (it == nil) != (len(waiting) == 0) || it != nil && !waiting[it] {
					t.Fatalf("popped %v of %d waiting", it, len(waiting))
				}
				delete(waiting, it)
			},
			"give_up": func(t *rapid.T) {
				for it := range waiting {
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("a waiting request was not removed exactly once")
					}
					delete(waiting, it)
					return
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(waiting) {
					t.Fatalf("%d wait, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

// TestCrowdOut fills the queue with one team's requests and requires that
// another team's request finds room at the flood's cost, and the flood's own
// does not.
func TestCrowdOut(t *testing.T) {
	var q Queue[int]
	for i := range 100 {
		q.Push(&Item[int]{Team: "flood", Weight: 1, Cost: 10, Value: i})
	}
	if it := q.EvictFor("flood"); it != nil {
		t.Errorf("the flood crowded out its own request %d", it.Value)
	}
	it := q.EvictFor("small")
	if it == nil || it.Value != 99 || q.Len() != 99 {
		t.Errorf("the small team crowded out %v, want the flood's last request", it)
	}
	if n := q.EstimatePosition("small", 1); n > 2 {
		t.Errorf("%d requests are ahead of the small team's next one", n)
	}
	if n := q.EstimatePosition("flood", 1); n != 99 {
		t.Errorf("%d requests are ahead of the flood's next one, want 99", n)
	}
}
