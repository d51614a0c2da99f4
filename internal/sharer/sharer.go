// Package sharer provides a weighted fair queue that shares a resource at full
// capacity between teams.
//
// A Queue uses start-time fair queueing: the virtual start times of a team's
// requests advance by cost divided by the team's weight, and the request with the
// earliest one is served next. A team that floods the queue delays only its own
// requests. A team that was idle starts at the current virtual time and gets no
// credit for the time in which it was idle.
package sharer

import (
	"cmp"
	"container/heap"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// Cost is the estimated work of a request, in tokens.
type Cost float64

// Item is a waiting request.
type Item[T any] struct {
	Team   identifier.Team
	Weight float64
	Cost   Cost
	Value  T

	virtualStart float64
	sequence     uint64
	heapIndex    int
}

// Queue is a weighted fair queue of waiting requests. The zero value is an empty
// queue. It is not safe for concurrent use.
type Queue[T any] struct {
	// MaxPerTeam is the maximum number of waiting requests per team; 0 means no
	// limit.
	MaxPerTeam int

	items         itemHeap[T]
	virtualFinish map[identifier.Team]float64
	waitingCount  map[identifier.Team]int
	// weights holds the weights of the teams that have waiting requests.
	weights      map[identifier.Team]float64
	virtualTime  float64
	lastSequence uint64
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds a request. It reports false when its team already has MaxPerTeam
// waiting requests.
func (q *Queue[T]) Push(it *Item[T]) bool {
	if q.virtualFinish == nil {
		q.virtualFinish = map[identifier.Team]float64{}
		q.waitingCount = map[identifier.Team]int{}
		q.weights = map[identifier.Team]float64{}
	}
	if q.MaxPerTeam > 0 && q.waitingCount[it.Team] >= q.MaxPerTeam {
		return false
	}
	q.waitingCount[it.Team]++
	q.weights[it.Team] = max(it.Weight, 1)
	q.lastSequence++
	it.sequence = q.lastSequence
	it.virtualStart = q.nextVirtualStart(it.Team)
	q.virtualFinish[it.Team] = it.virtualStart + float64(it.Cost)/max(it.Weight, 1)
	heap.Push(&q.items, it)
	return true
}

func (q *Queue[T]) nextVirtualStart(team identifier.Team) float64 {
	return max(q.virtualTime, q.virtualFinish[team])
}

// EstimatePosition estimates how many waiting requests would be served before a new
// request of the team: all waiting requests of the team, and as many of the other
// teams as their weights entitle them to in the meantime.
func (q *Queue[T]) EstimatePosition(team identifier.Team, weight float64) int {
	weight = max(weight, 1)
	otherWeights := 0.0
	for other, w := range q.weights {
		if other != team {
			otherWeights += w
		}
	}
	own := float64(q.waitingCount[team])
	position := own + (own+1)*otherWeights/weight
	return min(int(position), len(q.items))
}

// EvictFor makes room for a new request of the team: it removes and returns the
// request that would be served last. It returns nil when that request belongs to
// the team itself or would be served before the team's new request.
func (q *Queue[T]) EvictFor(team identifier.Team) *Item[T] {
	var last *Item[T]
	for _, it := range q.items {
		if last == nil || it.virtualStart > last.virtualStart || it.virtualStart == last.virtualStart && it.sequence > last.sequence {
			last = it
		}
	}
	if last == nil || last.Team == team || last.virtualStart <= q.nextVirtualStart(team) {
		return nil
	}
	heap.Remove(&q.items, last.heapIndex)
	q.recordRemoval(last)
	q.virtualFinish[last.Team] = last.virtualStart
	return last
}

// Pop removes and returns the request to serve next, or nil if the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.virtualTime = max(q.virtualTime, it.virtualStart)
	q.recordRemoval(it)
	return it
}

// Remove removes a request that is no longer waiting, for example because its
// caller has cancelled it. It reports false when the request was not in the queue.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.heapIndex >= len(q.items) || q.items[it.heapIndex] != it {
		return false
	}
	heap.Remove(&q.items, it.heapIndex)
	q.recordRemoval(it)
	return true
}

func (q *Queue[T]) recordRemoval(it *Item[T]) {
	q.waitingCount[it.Team]--
	if q.waitingCount[it.Team] > 0 {
		return
	}
	delete(q.waitingCount, it.Team)
	delete(q.weights, it.Team)
	if q.virtualFinish[it.Team] <= q.virtualTime {
		delete(q.virtualFinish, it.Team)
	}
}

// itemHeap implements heap.Interface.
type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(h[i].virtualStart, h[j].virtualStart), cmp.Compare(h[i].sequence, h[j].sequence)) < 0
}

func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
