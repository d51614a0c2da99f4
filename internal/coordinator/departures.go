package coordinator

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"trefoilhead.org/trefoilhead/internal/encoder"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// Errors of HandleLeave. The departure has no effect at this process.
var (
	// ErrCallerGone means that the caller does not wait any more.
	ErrCallerGone = errs.New("the caller does not wait for the acknowledgement")
	// ErrUnknownServer means that this process cannot tell which incarnation leaves. Another one
	// may know.
	ErrUnknownServer = errs.New("the server is not known and the call names no start time")
	// ErrNotKept means that no disk holds the departure, so that a restart of all core processes would
	// forget it.
	ErrNotKept = errs.New("no core process could write the departure to its disk")
)

// departureShareTimeout bounds how long the acknowledgement of a departure waits for the disk and the
// other core processes. The server waits for a second.
const departureShareTimeout = 300 * time.Millisecond

// departureSettleTime is how long a departure waits that names no start time. It is longer than a
// round trip, so that a caller that had closed its connection before is known to have.
const departureSettleTime = 100 * time.Millisecond

// shareDeparture tells the live core processes that a server leaves, and waits until they have
// replied and, with keep set, have written it to their disks as this one does. A departure is announced
// once, so it must not be lost with this process. It returns how many processes were not told in time,
// this one included, and ErrNotKept if none has written it.
func (c *Coordinator) shareDeparture(ctx context.Context, id identifier.Server, keep bool) (missed int, err error) {
	ctx, cancel := context.WithTimeout(ctx, departureShareTimeout)
	defer cancel()
	now := time.Now()
	c.mu.Lock()
	s := c.registry.Get(id)
	if s == nil {
		c.mu.Unlock()
		return 0, nil
	}
	state, peers := encoder.EncodeServer(now, s), c.livePeers(now)
	c.mu.Unlock()
	told := make(chan error, len(peers)+1)
	if keep {
		go func() { told <- c.departureFile.save(ctx) }()
	} else {
		told <- nil
	}
	for _, vm := range peers {
		go func() {
			report := &peerv1.Envelope{ServerReports: &peerv1.ServerReports{Servers: []*peerv1.ServerState{state}, Keep: keep}}
			_, err := c.linker.Call(ctx, vm, report)
			if err != nil {
				_ = level.Info(c.Logger).Log("msg", "a core process was not told of a departure before it is acknowledged", "server", id, "peer", vm, "err", err)
			}
			told <- err
		}()
	}
	for range cap(told) {
		if err := <-told; err != nil {
			missed++
		}
	}
	if keep && missed == cap(told) {
		return missed, ErrNotKept
	}
	return missed, nil
}

// recordDepartures records what servers have said in answers to a front. The caller must hold mu.
func (c *Coordinator) recordDepartures(from identifier.VM, departures []*peerv1.Departure) {
	for _, d := range departures {
		id := identifier.Server(d.GetId())
		if !c.registry.MarkLeaving(time.Now(), id, d.GetBornMs()) {
			continue
		}
		_ = level.Info(c.Logger).Log("msg", "backend server has said in an answer that it leaves", "server", id, "front", from)
		c.unreported[id] = true
		c.reportUrgent = true
		c.notifyChanged()
	}
}

// HandleLeave records that a backend server announced that it is leaving, and returns once the
// other core processes know.
// incarnation is its start time, as in tracker.Server, or 0 if it sent none. Then the
// incarnation that this process knows leaves, if the caller waits for the acknowledgement: a call
// that has come late, after its caller gave up, may be that of an earlier one.
func (c *Coordinator) HandleLeave(ctx context.Context, id identifier.Server, incarnation uint64) error {
	err := c.decideLeave(ctx, id, incarnation)
	if err != nil {
		_ = level.Info(c.Logger).Log("msg", "a departure is not heeded", "server", id, "start_time", incarnation, "err", err)
	}
	return err
}

func (c *Coordinator) decideLeave(ctx context.Context, id identifier.Server, incarnation uint64) error {
	if incarnation == 0 {
		sleep(ctx, departureSettleTime)
		c.mu.Lock()
		known := c.registry.Get(id)
		c.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return ErrCallerGone
		case known == nil:
			return ErrUnknownServer
		}
	}
	c.recordLeave(id, incarnation)
	// A call that is repeated waits too: the first one may not have reached any other process yet.
	_, err := c.shareDeparture(ctx, id, incarnation != 0)
	return err
}

func (c *Coordinator) recordLeave(id identifier.Server, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.registry.MarkGone(time.Now(), id, incarnation) {
		return
	}
	_ = level.Info(c.Logger).Log("msg", "backend server announced its departure", "server", id, "start_time", incarnation)
	c.unreported[id] = true
	c.reportUrgent = true
	c.notifyChanged()
}
