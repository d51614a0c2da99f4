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
	}
	if q.MaxPerTeam > 0 && q.waiting[it.Team] >= q.MaxPerTeam {
		return false
	}
	q.waiting[it.Team]++
	q.pushed++
	it.order = q.pushed
	it.start = max(q.virtual, q.finish[it.Team])
	q.finish[it.Team] = it.start + float64(it.Cost)/max(it.Weight, 1)
	heap.Push(&q.items, it)
	return true
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
