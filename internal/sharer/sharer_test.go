package sharer

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"trefoilhead.org/trefoilhead/internal/seeder"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }

// TestSharesFollowWeights keeps requests of every team in the queue and compares
// the served cost of each team, divided by its weight. Fair queueing bounds the
// difference between two teams by the cost of one request of each.
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
		served := map[identifier.Team]float64{}
		for range 300 {
			it := q.Pop()
			served[it.Team] += float64(it.Cost) / it.Weight
			push(it.Team)
		}
		for _, a := range teams {
			for _, b := range teams {
				bound := maxCost/weights[a] + maxCost/weights[b]
				if served[a]-served[b] > bound {
					t.Fatalf("team %s got %.0f per unit of weight and team %s %.0f, which differ by more than %.0f", a, served[a], b, served[b], bound)
				}
			}
		}
	})
}

// TestFloodDelaysOnlyItsOwnTeam queues a thousand requests of one team and then one
// of another team. That one must be served second at the latest.
func TestFloodDelaysOnlyItsOwnTeam(t *testing.T) {
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
			t.Error("the small team's request waits behind the flooding team's")
		}
	}
}

// TestQueueMatchesModel pushes, pops and removes requests at random and compares
// the queue with a set of the requests that should be waiting.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxPerTeam = 5
		q := Queue[int]{MaxPerTeam: maxPerTeam}
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
				want := perTeam(team) < maxPerTeam
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
					t.Fatalf("%d requests are waiting, want %d", q.Len(), len(waiting))
				}
			},
		})
	})
}

// TestEvictFor fills the queue with the requests of one team. It requires that a
// request of another team evicts the last of them, and that a further request of
// the first team evicts none.
func TestEvictFor(t *testing.T) {
	var q Queue[int]
	for i := range 100 {
		q.Push(&Item[int]{Team: "flood", Weight: 1, Cost: 10, Value: i})
	}
	if it := q.EvictFor("flood"); it != nil {
		t.Errorf("the flooding team evicted its own request %d", it.Value)
	}
	it := q.EvictFor("small")
	if it == nil || it.Value != 99 || q.Len() != 99 {
		t.Errorf("the small team evicted %v, want the flooding team's last request", it)
	}
	if n := q.EstimatePosition("small", 1); n > 2 {
		t.Errorf("%d requests are ahead of the small team's next one", n)
	}
	if n := q.EstimatePosition("flood", 1); n != 99 {
		t.Errorf("%d requests are ahead of the flooding team's next one, want 99", n)
	}
}
