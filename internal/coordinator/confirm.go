package coordinator

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// confirmation is what this process knows of how new its state is. All times
// are of the clock that goes on during suspensions, and each is taken before the
// question that it belongs to was asked, so that no delay of an answer can make
// old knowledge look new.
type confirmation struct {
	mu sync.Mutex
	// leads is when a majority last confirmed this process as the leader of
	// term; index is the commit index at that time.
	leads time.Duration
	term  replicator.Term
	index replicator.Index
	// fresh is the time as of which this process's state is that of the
	// majority.
	fresh time.Duration
	ever  bool
}

// confirmLoop renews the confirmation at a steady pace.
func (c *Coordinator) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmPace)
	defer ticker.Stop()
	for {
		c.confirm(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Coordinator) confirm(ctx context.Context) {
	st := c.driver.Status()
	if st.CommittedInTerm {
		c.confirmLead(ctx)
		return
	}
	if st.Leader == "" || st.Leader == c.self {
		return
	}
	if err := c.readMark(ctx, st.Leader, false); err != nil {
		_ = level.Debug(c.Logger).Log("msg", "the leader did not confirm this state", "leader", st.Leader, "err", err)
	}
}

// confirmLead asks the voters whether this process still leads. A majority in
// its term at any time after the question began means that no other leader had
// been elected when it began.
func (c *Coordinator) confirmLead(ctx context.Context) bool {
	asked := c.Elapsed()
	st := c.driver.Status()
	if !st.CommittedInTerm {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	answers := make(chan bool, len(st.Voters))
	for _, v := range st.Voters {
		vm := driver.VMOf(v)
		if vm == c.self {
			answers <- true
			continue
		}
		go func() { answers <- c.followsMe(ctx, vm, st.Term) }()
	}
	yes, need := 0, len(st.Voters)/2+1
	for range st.Voters {
		if <-answers {
			yes++
		}
		if yes >= need {
			break
		}
	}
	if now := c.driver.Status(); yes < need || now.Term != st.Term || !now.CommittedInTerm {
		return false
	}
	k := &c.confirmed
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leads, k.term, k.index = max(k.leads, asked), st.Term, max(k.index, st.CommitIndex)
	k.fresh, k.ever = max(k.fresh, asked), true
	return true
}

func (c *Coordinator) followsMe(ctx context.Context, vm identifier.VM, term replicator.Term) bool {
	answer, err := c.linker.Call(ctx, vm, &peerv1.Envelope{TermAsk: &peerv1.TermAsk{Log: logName}})
	return err == nil && answer.GetTermState().GetTerm() == uint64(term) && answer.GetTermState().GetLeader() == string(c.self)
}

// authority returns the term in which this process may give orders now.
func (c *Coordinator) authority() (replicator.Term, bool) {
	st := c.driver.Status()
	k := &c.confirmed
	k.mu.Lock()
	defer k.mu.Unlock()
	return st.Term, st.CommittedInTerm && k.ever && k.term == st.Term && c.Elapsed()-k.leads < authorityBound
}

// answerRead tells a peer how far it must have applied the log.
func (c *Coordinator) answerRead(ctx context.Context, a *peerv1.ReadAsk) (*peerv1.Envelope, error) {
	if a.GetFresh() && !c.confirmLead(ctx) {
		return nil, driver.ErrNotLeader
	}
	st := c.driver.Status()
	k := &c.confirmed
	k.mu.Lock()
	defer k.mu.Unlock()
	if !st.CommittedInTerm || !k.ever || k.term != st.Term {
		return nil, driver.ErrNotLeader
	}
	return &peerv1.Envelope{ReadMark: &peerv1.ReadMark{
		Index: uint64(k.index), ConfirmedAgoMs: uint64((c.Elapsed() - k.leads).Milliseconds()) + 1,
	}}, nil
}

// readMark asks the leader how far the log goes, waits until this process has
// applied that much, and notes the time as of which its state is confirmed.
func (c *Coordinator) readMark(ctx context.Context, leader identifier.VM, fresh bool) error {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	asked := c.Elapsed()
	answer, err := c.linker.Call(ctx, leader, &peerv1.Envelope{ReadAsk: &peerv1.ReadAsk{Log: logName, Fresh: fresh}})
	if err != nil {
		return err
	}
	mark := answer.GetReadMark()
	if mark == nil {
		return Error.New("the answer of %s holds no read mark", leader)
	}
	if err := c.waitApplied(ctx, replicator.Index(mark.GetIndex())); err != nil {
		return err
	}
	at := asked - time.Duration(mark.GetConfirmedAgoMs())*time.Millisecond
	k := &c.confirmed
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fresh, k.ever = max(k.fresh, at), true
	return nil
}

// waitApplied waits until the log is applied up to an index.
func (c *Coordinator) waitApplied(ctx context.Context, i replicator.Index) error {
	const pause = 5 * time.Millisecond
	for c.driver.Status().AppliedIndex < i {
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-time.After(pause):
		}
	}
	return nil
}

// freshAgo returns how long ago the state was that of the majority, and false
// when it was never confirmed.
func (c *Coordinator) freshAgo() (time.Duration, bool) {
	k := &c.confirmed
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.Elapsed() - k.fresh, k.ever
}

// CurrentCatalog returns the catalog in force, as the operator sent it, or nothing when
// none was accepted yet. It fails with ErrUnsure when a newer one may be in
// force.
func (c *Coordinator) CurrentCatalog(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeBound)
	defer cancel()
	for {
		if c.isNewest(ctx) {
			state, _ := c.keeper.State()
			return state.Data, nil
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoQuorum
		case <-time.After(proposeRetry):
		}
	}
}

func (c *Coordinator) isNewest(ctx context.Context) bool {
	st := c.driver.Status()
	switch st.Leader {
	case "":
		return false
	case c.self:
		return c.confirmLead(ctx) && c.waitApplied(ctx, st.CommitIndex) == nil
	}
	return c.readMark(ctx, st.Leader, true) == nil
}

// PublishCatalog puts a catalog into force. It fails with ErrInvalid for good, and with
// ErrUnsure when the outcome is not known.
func (c *Coordinator) PublishCatalog(ctx context.Context, data []byte) error {
	cat, err := c.DecodeCatalog(data)
	if err != nil {
		_ = level.Info(c.Logger).Log("msg", "catalog refused", "err", err)
		return ErrInvalidCatalog.Wrap(err)
	}
	if state, _ := c.keeper.State(); state.Version >= cat.Version {
		// One that was overtaken changes nothing.
		_ = level.Info(c.Logger).Log("msg", "catalog is not newer", "version", cat.Version, "in_force", state.Version)
		return nil
	}
	err = c.propose(ctx, keeper.Command{Publish: &keeper.Publish{Version: cat.Version, Data: data}})
	_ = level.Info(c.Logger).Log("msg", "catalog published", "version", cat.Version, "bytes", len(data), "err", err)
	return err
}

// SetEvacuated takes a failure domain out of service, or brings it back.
func (c *Coordinator) SetEvacuated(ctx context.Context, d identifier.FailureDomain, out bool) error {
	cmd := keeper.Command{Reinstate: d}
	if out {
		cmd = keeper.Command{Evacuate: d}
	}
	err := c.propose(ctx, cmd)
	_ = level.Info(c.Logger).Log("msg", "failure domain evacuation", "failure_domain", d, "out", out, "err", err)
	return err
}

// propose runs a command through the log. Commands may be appended more than
// once, which changes nothing.
func (c *Coordinator) propose(ctx context.Context, cmd keeper.Command) error {
	data, err := cmd.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeBound)
	defer cancel()
	for {
		if err := c.proposeOnce(ctx, data); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-time.After(proposeRetry):
		}
	}
}

func (c *Coordinator) proposeOnce(ctx context.Context, data []byte) error {
	switch leader := c.driver.Status().Leader; leader {
	case "":
		return driver.ErrNotLeader
	case c.self:
		_, err := c.driver.Propose(ctx, data)
		return err
	default:
		_, err := c.linker.Call(ctx, leader, &peerv1.Envelope{Proposal: &peerv1.Proposal{Log: logName, Data: data}})
		return err
	}
}
