// Package differ decides which part of a numbered state goes into a periodic message.
//
// A process sends its peers what has changed since the last message. A message can be lost,
// so from time to time it sends everything.
package differ

import "time"

// fullInterval is how often everything is sent.
const fullInterval = time.Second

// Cursor is the place up to which a state has been sent. The zero value begins with
// everything.
type Cursor struct {
	sent       uint64
	lastFullAt time.Time
}

// Next returns the revision after which changes go into a message now, 0 for everything. The
// argument current is the present revision.
func (c *Cursor) Next(now time.Time, current uint64) (since uint64) {
	since, c.sent = c.sent, current
	if now.Sub(c.lastFullAt) >= fullInterval {
		since, c.lastFullAt = 0, now
	}
	return since
}

// Sent returns the revision up to which changes have been sent.
func (c *Cursor) Sent() uint64 { return c.sent }
