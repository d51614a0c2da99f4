// Package counter counts the processes that share a bound.
//
// Each process keeps a Census of those that it has lately seen or been told of. The union of what
// several processes have seen counts a process once, wherever it connects.
package counter

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilhead.org/trefoilhead/internal/identifier"
)

// ID is a short form of the address of a process. Two addresses may have the same one, which is
// rare enough not to matter for a count.
type ID uint32

// NewID returns the ID of a process.
func NewID(vm identifier.VM) ID { return ID(xxhash.Sum64String(string(vm))) }

// Census holds the processes that were seen within TTL, which is set before use.
type Census struct {
	TTL time.Duration

	seenAt map[ID]time.Time
}

// Record records that processes were seen.
func (c *Census) Record(now time.Time, ids ...ID) {
	if c.seenAt == nil {
		c.seenAt = map[ID]time.Time{}
	}
	for _, id := range ids {
		c.seenAt[id] = now
	}
}

// Count returns the number of processes that were seen within TTL.
func (c *Census) Count(now time.Time) int {
	c.Expire(now)
	return len(c.seenAt)
}

// Expire forgets the processes that were not seen within TTL.
func (c *Census) Expire(now time.Time) {
	maps.DeleteFunc(c.seenAt, func(_ ID, at time.Time) bool { return now.Sub(at) > c.TTL })
}

// SeenWithin returns the processes that were seen within a duration, sorted.
func (c *Census) SeenWithin(now time.Time, d time.Duration) []ID {
	var ids []ID
	for id, at := range c.seenAt {
		if now.Sub(at) <= d {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
