// Package budgeter bounds the memory that all requests of a process keep together.
//
// Each body of a request, and each part of an answer that is kept before it goes on, is
// reserved as it comes. What cannot be reserved is not kept: a request is refused at once,
// an answer is passed on as it comes. The bound is on bytes, not on requests, since a thousand
// small requests need less than a few dozen of the largest.
//
// A client that sends or reads slowly holds what it has reserved for long. While the budget is
// short, the memory of the clients that are furthest behind a minimum rate is reclaimed.
package budgeter

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"
)

// Budget is the number of bytes that may be reserved at the same time. The zero value has no
// bound. Limit is set before the first call.
type Budget struct {
	// Limit is the bound in bytes; 0 means none.
	Limit int64

	mu   sync.Mutex
	used int64
	// awaiting holds the accounts that wait for their clients.
	awaiting map[*Account]struct{}
	// reclaiming is the number of bytes that accounts which have been reclaimed still hold.
	reclaiming int64
	reclaimed  int64
	// released is closed when bytes are given back, if somebody waits for that.
	released chan struct{}
}

const (
	// A body of at most smallBytes may take the part of the budget that larger ones leave, so that
	// many large bodies do not keep out all others.
	smallBytes    = 64 << 10
	largeFraction = 0.8
	// minRate is the rate in bytes a second that a client is expected to send or read with, and
	// minLag how far it has to be behind that before its memory is reclaimed.
	minRate = 32 << 10
	minLag  = 250 * time.Millisecond
	// reclaimTimeout is how long Grow waits for memory that is being reclaimed.
	reclaimTimeout = 250 * time.Millisecond
)

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reclaimed returns the number of accounts whose memory was reclaimed.
func (b *Budget) Reclaimed() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reclaimed
}

// Account is what one request has reserved of a Budget. Grow and Release are called by one
// goroutine at a time.
type Account struct {
	Budget *Budget

	// The Budget's mu guards the fields below.
	reserved int64
	// reclaim is set while the account waits for its client.
	reclaim func()
	// due is when the client would have sent or read as much at minRate. A client that is faster
	// earns nothing for later.
	due time.Time
	// isGrowing is set while the account waits for memory, and wasReclaimed from a reclaim until Release.
	isGrowing, wasReclaimed bool
}

type accountKey struct{}

// NewContext returns a context that carries an account.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// FromContext returns the account that a context carries, or a new one of the given budget.
func FromContext(ctx context.Context, b *Budget) *Account {
	if a, ok := ctx.Value(accountKey{}).(*Account); ok && a.Budget == b {
		return a
	}
	return &Account{Budget: b}
}

// Await begins a time in which the account waits for its client. While the budget is short, reclaim
// may be called, once; it must make the wait fail, and must not call methods of the package. An
// account that waits already goes on as before, and Await reports false.
func (a *Account) Await(reclaim func()) bool {
	b := a.Budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.reclaim != nil || a.wasReclaimed {
		return false
	}
	if b.awaiting == nil {
		b.awaiting = map[*Account]struct{}{}
	}
	a.reclaim, a.due = reclaim, time.Now()
	b.awaiting[a] = struct{}{}
	return true
}

// Progress records that the client has sent or read n bytes.
func (a *Account) Progress(n int) {
	b := a.Budget
	if b == nil || n <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.due = a.due.Add(time.Duration(n) * time.Second / minRate)
	if now := time.Now(); a.due.After(now) {
		a.due = now
	}
}

// EndAwait ends the time in which the account waits for its client.
func (a *Account) EndAwait() {
	b := a.Budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	a.endAwait()
}

// endAwait is EndAwait for a caller that holds mu.
func (a *Account) endAwait() {
	a.reclaim = nil
	delete(a.Budget.awaiting, a)
}

// WasReclaimed reports whether the memory of the account has been reclaimed since the last Release.
func (a *Account) WasReclaimed() bool {
	b := a.Budget
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return a.wasReclaimed
}

// Grow reserves so many bytes more, and reports whether that was possible. If the budget is short, it
// waits for a short time for memory of clients that are behind.
func (a *Account) Grow(n int64) bool {
	b := a.Budget
	if b == nil || n <= 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.take(a, n) {
		return true
	}
	if !b.reclaimBytes(b.used + n - b.limitFor(a, n) - b.reclaiming) {
		return false
	}
	return b.awaitRelease(a, n)
}

// limitFor returns the bound on what all accounts have reserved once a has n bytes more.
func (b *Budget) limitFor(a *Account, n int64) int64 {
	if a.reserved+n > smallBytes {
		return int64(float64(b.Limit) * largeFraction)
	}
	return b.Limit
}

// take reserves n bytes if that is possible. The caller holds mu.
func (b *Budget) take(a *Account, n int64) bool {
	if b.Limit > 0 && b.used+n > b.limitFor(a, n) || a.wasReclaimed {
		return false
	}
	b.used += n
	a.reserved += n
	return true
}

// awaitRelease reserves n bytes as soon as that is possible, for reclaimTimeout at most. The caller
// holds mu, which it gives up meanwhile.
func (b *Budget) awaitRelease(a *Account, n int64) bool {
	startedAt := time.Now()
	timeout := time.NewTimer(reclaimTimeout)
	defer timeout.Stop()
	a.isGrowing = true
	defer func() {
		a.isGrowing = false
		// The client cannot make progress meanwhile.
		a.due = a.due.Add(time.Since(startedAt))
	}()
	for {
		if b.released == nil {
			b.released = make(chan struct{})
		}
		released, isOver := b.released, false
		b.mu.Unlock()
		select {
		case <-released:
		case <-timeout.C:
			isOver = true
		}
		b.mu.Lock()
		if b.take(a, n) {
			return true
		}
		if isOver || a.wasReclaimed {
			return false
		}
	}
}

// reclaimBytes reclaims n bytes of the accounts whose clients are furthest behind, or nothing if
// they do not hold as much. It reports whether n bytes will be released. The caller holds mu.
func (b *Budget) reclaimBytes(n int64) bool {
	if n <= 0 {
		return true
	}
	late := slices.DeleteFunc(b.lateAccounts(), func(a *Account) bool { return a.reserved == 0 })
	count, sum := 0, int64(0)
	for ; count < len(late) && sum < n; count++ {
		sum += late[count].reserved
	}
	if sum < n {
		return false
	}
	for _, a := range late[:count] {
		b.reclaimAccount(a)
	}
	return true
}

// lateAccounts returns the accounts that may be reclaimed, the one whose client is furthest behind
// first. The caller holds mu.
func (b *Budget) lateAccounts() []*Account {
	var late []*Account
	for a := range b.awaiting {
		if a.isLate() {
			late = append(late, a)
		}
	}
	slices.SortFunc(late, func(x, y *Account) int { return x.due.Compare(y.due) })
	return late
}

// isLate reports whether the account may be reclaimed. The caller holds the Budget's mu.
func (a *Account) isLate() bool { return !a.isGrowing && time.Since(a.due) >= minLag }

// reclaimAccount makes the wait of an account fail. The caller holds mu.
func (b *Budget) reclaimAccount(a *Account) {
	reclaim := a.reclaim
	a.endAwait()
	a.wasReclaimed = true
	b.reclaiming += a.reserved
	b.reclaimed++
	reclaim()
}

// ReclaimOne reclaims the account whose client is furthest behind, whatever it holds, and reports
// whether there is one.
func (b *Budget) ReclaimOne() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last *Account
	for a := range b.awaiting {
		if a.isLate() && (last == nil || a.due.Before(last.due)) {
			last = a
		}
	}
	if last == nil {
		return false
	}
	b.reclaimAccount(last)
	return true
}

// Release gives all reserved bytes back.
func (a *Account) Release() {
	b := a.Budget
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= a.reserved
	if a.wasReclaimed {
		b.reclaiming -= a.reserved
		a.wasReclaimed = false
	}
	a.reserved = 0
	if b.released != nil {
		close(b.released)
		b.released = nil
	}
}

// Sizes of the first buffer of a body, and by how much each one is larger than the one before.
const (
	firstRead    = 4 << 10
	growthFactor = 4
)

// ReadAll reads r to its end and reserves what it keeps as it comes. length is the number of bytes to
// come, or negative if it is not known. If the bytes cannot be reserved, ReadAll stops and reports that.
func (a *Account) ReadAll(r io.Reader, length int64) (data []byte, reserved bool, err error) {
	data, whole, err := a.ReadUpTo(r, length, -1)
	if err == nil && !whole {
		return nil, false, nil
	}
	return data, true, err
}

// ReadUpTo is ReadAll for the first limit bytes of r; a negative limit means all. If it stops before the
// end, because of the limit or since no more bytes can be reserved, it returns what it has read, and reports
// that this is not the whole.
func (a *Account) ReadUpTo(r io.Reader, length, limit int64) (data []byte, whole bool, err error) {
	for {
		if limit >= 0 && int64(len(data)) >= limit {
			return data, false, nil
		}
		if len(data) == cap(data) {
			size := max(firstRead, growthFactor*int64(cap(data)))
			// One byte more lets the end of a body be read without growing the buffer.
			if length >= 0 {
				size = min(size, max(length+1, int64(len(data))+1))
			}
			if limit >= 0 {
				size = min(size, limit)
			}
			if !a.Grow(size - int64(cap(data))) {
				return data, false, nil
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
}
