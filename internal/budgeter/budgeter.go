// Package budgeter bounds the memory that all requests of a process keep together.
//
// Each body of a request, and each part of an answer that is kept before it goes on, is
// reserved before it is read. What cannot be reserved is not kept: a request is refused at once,
// an answer is passed on as it comes. The bound is on bytes, not on requests, since a thousand
// small requests need less than a few dozen of the largest.
package budgeter

import (
	"io"
	"sync/atomic"
)

// Budget is the number of bytes that may be reserved at the same time. The zero value has no
// bound. Limit is set before the first call.
type Budget struct {
	// Limit is the bound in bytes; 0 means none.
	Limit int64

	used atomic.Int64
}

// A body of at most smallBytes may take the part of the budget that larger ones leave, so that
// many large bodies do not keep out all others.
const (
	smallBytes    = 64 << 10
	largeFraction = 0.8
)

// Used returns the number of reserved bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Account is what one request has reserved of a Budget. It is not safe for concurrent use.
type Account struct {
	Budget *Budget

	reserved int64
}

// Grow reserves so many bytes more, and reports whether that was possible.
func (a *Account) Grow(n int64) bool {
	if a.Budget == nil || n <= 0 {
		return true
	}
	limit := a.Budget.Limit
	if a.reserved+n > smallBytes {
		limit = int64(float64(limit) * largeFraction)
	}
	if used := a.Budget.used.Add(n); a.Budget.Limit > 0 && used > limit {
		a.Budget.used.Add(-n)
		return false
	}
	a.reserved += n
	return true
}

// Release gives all reserved bytes back.
func (a *Account) Release() {
	if a.Budget != nil {
		a.Budget.used.Add(-a.reserved)
	}
	a.reserved = 0
}

// firstRead is the size of the first buffer of a body whose length is not known.
const firstRead = 4 << 10

// ReadAll reads r to its end and reserves what it keeps. length is the number of bytes to come, or
// negative if it is not known. If the bytes cannot be reserved, ReadAll stops and reports that.
func (a *Account) ReadAll(r io.Reader, length int64) (data []byte, reserved bool, err error) {
	// One byte more lets the end of a body be read without growing the buffer.
	size := length + 1
	if length < 0 {
		size = firstRead
	}
	if !a.Grow(size) {
		return nil, false, nil
	}
	data = make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if !a.Grow(int64(cap(data))) {
				return nil, false, nil
			}
			data = append(make([]byte, 0, 2*cap(data)), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, true, err
		}
	}
}
