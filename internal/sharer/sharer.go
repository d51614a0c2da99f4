// Package sharer shares a full resource fairly between teams.
//
// A Queue orders waiting requests by start-time fair queueing: each team's
// requests get virtual start times that advance by cost divided by the team's
// weight, and the earliest goes next. A team that floods the queue delays
// itself only; a team that comes after a pause starts level with the others
// and is owed nothing for the pause.
package sharer

import (
	"cmp"
	"container/heap"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Cost is an amount of work, in tokens.
type Cost float64

// Item is one waiting request.
type Item[T any] struct {
	Team   identifier.Team
	Weight float64
	Cost   Cost
	Value  T

	start float64
	order uint64
	place int
}

// Queue holds waiting requests. Its zero value is empty. It is not safe for
// concurrent use.
type Queue[T any] struct {
	// MaxPerTeam bounds each team's waiting requests; 0 means no bound.
	MaxPerTeam int

	items   itemHeap[T]
	finish  map[identifier.Team]float64
	waiting map[identifier.Team]int
	// weights holds the weights of the teams that wait.
	weights map[identifier.Team]float64
	virtual float64
	pushed  uint64
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a request, and reports false when its team has too many waiting.
func (q *Queue[T]) Push(it *Item[T]) bool {
	if q.finish == nil {
		q.finish = map[identifier.Team]float64{}
		q.waiting = map[identifier.Team]int{}
		q.weights = map[identifier.Team]float64{}
	}
	if q.MaxPerTeam > 0 && q.waiting[it.Team] >= q.MaxPerTeam {
		return false
	}
	q.waiting[it.Team]++
	q.weights[it.Team] = max(it.Weight, 1)
	q.pushed++
	it.order = q.pushed
	it.start = q.nextStart(it.Team)
	q.finish[it.Team] = it.start + float64(it.Cost)/max(it.Weight, 1)
	heap.Push(&q.items, it)
	return true
}

func (q *Queue[T]) nextStart(team identifier.Team) float64 { return max(q.virtual, q.finish[team]) }

// EstimatePosition estimates how many waiting requests go before the next one of a team:
// the team's own, and as many of the others as their weights entitle them to
// meanwhile.
func (q *Queue[T]) EstimatePosition(team identifier.Team, weight float64) int {
	weight = max(weight, 1)
	others := 0.0
	for other, w := range q.weights {
		if other != team {
			others += w
		}
	}
	own := float64(q.waiting[team])
	ahead := own + (own+1)*others/weight
	return min(int(ahead), len(q.items))
}

// EvictFor removes and returns the request that would go last, if that is one
// of another team and goes after the next one of the given team. It returns nil
// when the given team's own next request would go last.
func (q *Queue[T]) EvictFor(team identifier.Team) *Item[T] {
	var last *Item[T]
	for _, it := range q.items {
		if last == nil || it.start > last.start || it.start == last.start && it.order > last.order {
			last = it
		}
	}
	if last == nil || last.Team == team || last.start <= q.nextStart(team) {
		return nil
	}
	heap.Remove(&q.items, last.place)
	q.left(last)
	q.finish[last.Team] = last.start
	return last
}

// Pop removes and returns the next request, or nil.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.virtual = max(q.virtual, it.start)
	q.left(it)
	return it
}

// Remove takes out a request that no longer waits. It reports false when the
// request was not in the queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.place >= len(q.items) || q.items[it.place] != it {
		return false
	}
	heap.Remove(&q.items, it.place)
	q.left(it)
	return true
}

func (q *Queue[T]) left(it *Item[T]) {
	q.waiting[it.Team]--
	if q.waiting[it.Team] > 0 {
		return
	}
	delete(q.waiting, it.Team)
	delete(q.weights, it.Team)
	if q.finish[it.Team] <= q.virtual {
		delete(q.finish, it.Team)
	}
}

// itemHeap implements heap.Interface.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].start, h[j].start), cmp.Compare(h[i].order, h[j].order)) < 0
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.place = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
