package coordinator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"trefoilhead.org/trefoilhead/internal/driver"
	"trefoilhead.org/trefoilhead/internal/identifier"
	"trefoilhead.org/trefoilhead/internal/keeper"
	"trefoilhead.org/trefoilhead/internal/replicator"
	"trefoilhead.org/trefoilhead/pkg/wire/peerv1"
)

// confirmation records as of when this process's leadership and state were
// confirmed by a quorum. All times are readings of Coordinator.Elapsed, which
// keeps running while the VM is suspended. Each is taken before the request that
// it belongs to is sent, so that a delayed reply cannot make old state look
// recent.
type confirmation struct {
	mu sync.Mutex
	// leaderConfirmedAt is when a quorum last confirmed this process as the leader
	// of leaderTerm; leaderCommit is the commit index at that time.
	leaderConfirmedAt time.Duration
	leaderTerm        replicator.Term
	leaderCommit      replicator.Index
	// stateConfirmedAt is the time as of which this process's state is known to
	// be that of the quorum. It is valid if everConfirmed is set.
	stateConfirmedAt time.Duration
	everConfirmed    bool
}

// confirmLoop renews the confirmation every confirmInterval: the leader asks the
// voters, and any other process asks the leader.
func (c *Coordinator) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		c.renewConfirmation(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *Coordinator) renewConfirmation(ctx context.Context) {
	st := c.driver.Status()
	if st.CommittedInTerm {
		c.confirmLeadership(ctx)
		return
	}
	if st.Leader == "" || st.Leader == c.self {
		return
	}
	if err := c.confirmWithLeader(ctx, st.Leader, false); err != nil {
		_ = level.Debug(c.Logger).Log("msg", "could not confirm with the leader that this process's state is current; will retry", "leader", st.Leader, "err", err)
	}
}

// confirmLeadership asks the voters whether this process still leads, and records
// the confirmation. If a quorum follows it in its term at any time after the
// request was sent, no other leader had been elected when the request was sent.
func (c *Coordinator) confirmLeadership(ctx context.Context) bool {
	askedAt := c.Elapsed()
	st := c.driver.Status()
	if !st.CommittedInTerm {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	members := st.Members()
	replies := make(chan replicator.NodeID, len(members))
	for _, v := range members {
		go func() {
			if v != st.ID && !c.voterFollowsSelf(ctx, v, &st) {
				v = ""
			}
			replies <- v
		}()
	}
	confirmed := map[replicator.NodeID]bool{}
	isConfirmed := func(v replicator.NodeID) bool { return confirmed[v] }
	hasQuorum := false
	for range members {
		confirmed[<-replies] = true
		hasQuorum = replicator.IsQuorum(st.Voters, st.PreviousVoters, isConfirmed)
		if hasQuorum {
			break
		}
	}
	if now := c.driver.Status(); !hasQuorum || now.Term != st.Term || !now.CommittedInTerm {
		return false
	}
	k := &c.confirmation
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaderConfirmedAt, k.leaderTerm, k.leaderCommit = max(k.leaderConfirmedAt, askedAt), st.Term, max(k.leaderCommit, st.CommitIndex)
	k.stateConfirmedAt, k.everConfirmed = max(k.stateConfirmedAt, askedAt), true
	return true
}

// voterFollowsSelf reports whether a voter follows this process, as leader in the term of st. A
// process that runs on the voter's VM under another id is not the voter: the term and the vote
// that the voter has promised may be those of a newer leader, on a disk that is lost.
func (c *Coordinator) voterFollowsSelf(ctx context.Context, v replicator.NodeID, st *driver.Status) bool {
	reply, err := c.linker.Call(ctx, driver.VMOf(v), &peerv1.Envelope{TermAsk: &peerv1.TermAsk{Log: logName}})
	if err != nil {
		return false
	}
	s := reply.GetTermState()
	if s.GetVoterId() != string(v) {
		_ = level.Debug(c.Logger).Log("msg", "another process has replied on the VM of a voter; the reply does not count", "voter", v, "replied", s.GetVoterId())
		return false
	}
	return s.GetTerm() == uint64(st.Term) && s.GetLeaderId() == string(st.ID)
}

// authorityTerm returns the term in which this process may send placement orders
// now, and false if it may not.
func (c *Coordinator) authorityTerm() (replicator.Term, bool) {
	st := c.driver.Status()
	k := &c.confirmation
	k.mu.Lock()
	defer k.mu.Unlock()
	return st.Term, st.CommittedInTerm && k.everConfirmed && k.leaderTerm == st.Term && c.Elapsed()-k.leaderConfirmedAt < authorityTTL
}

// handleReadAsk tells a follower up to which index it must have applied the log
// for its state to be current. It fails unless this process is the confirmed
// leader.
func (c *Coordinator) handleReadAsk(ctx context.Context, a *peerv1.ReadAsk) (*peerv1.Envelope, error) {
	if a.GetFresh() && !c.confirmLeadership(ctx) {
		return nil, driver.ErrNotLeader
	}
	st := c.driver.Status()
	k := &c.confirmation
	k.mu.Lock()
	defer k.mu.Unlock()
	if !st.CommittedInTerm || !k.everConfirmed || k.leaderTerm != st.Term {
		return nil, driver.ErrNotLeader
	}
	return &peerv1.Envelope{ReadMark: &peerv1.ReadMark{
		Index: uint64(k.leaderCommit), ConfirmedAgoMs: uint64((c.Elapsed() - k.leaderConfirmedAt).Milliseconds()) + 1,
	}}, nil
}

// confirmWithLeader asks the leader for the index up to which the log must be
// applied, waits until this process has applied it, and records the time as of
// which the local state is confirmed. With fresh set, the leader must first
// confirm its leadership anew.
func (c *Coordinator) confirmWithLeader(ctx context.Context, leader identifier.VM, fresh bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := c.Elapsed()
	reply, err := c.linker.Call(ctx, leader, &peerv1.Envelope{ReadAsk: &peerv1.ReadAsk{Log: logName, Fresh: fresh}})
	if err != nil {
		return err
	}
	mark := reply.GetReadMark()
	if mark == nil {
		return Error.New("the reply of %s contains no ReadMark", leader)
	}
	if err := c.waitApplied(ctx, replicator.Index(mark.GetIndex())); err != nil {
		return err
	}
	confirmedAt := askedAt - time.Duration(mark.GetConfirmedAgoMs())*time.Millisecond
	k := &c.confirmation
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stateConfirmedAt, k.everConfirmed = max(k.stateConfirmedAt, confirmedAt), true
	return nil
}

// waitApplied waits until the log is applied up to index i, or ctx is done.
func (c *Coordinator) waitApplied(ctx context.Context, i replicator.Index) error {
	const pollInterval = 5 * time.Millisecond
	for c.driver.Status().AppliedIndex < i {
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// confirmedAgo returns how long ago the local state was confirmed as that of the
// quorum, and false if it was never confirmed.
func (c *Coordinator) confirmedAgo() (time.Duration, bool) {
	k := &c.confirmation
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.Elapsed() - k.stateConfirmedAt, k.everConfirmed
}

// CurrentCatalog returns the current catalog as the operator sent it, or nothing
// if none has been accepted yet. It fails with ErrNoQuorum if it cannot rule out
// that a newer one has been accepted.
func (c *Coordinator) CurrentCatalog(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		if c.confirmCurrentState(ctx) {
			state, _ := c.keeper.State()
			return state.Data, nil
		}
		if c.driver.Status().DiskRefuses {
			return nil, ErrDiskRefuses
		}
		select {
		case <-ctx.Done():
			return nil, ErrNoQuorum
		case <-time.After(proposeRetryDelay):
		}
	}
}

func (c *Coordinator) confirmCurrentState(ctx context.Context) bool {
	st := c.driver.Status()
	switch st.Leader {
	case "":
		return false
	case c.self:
		return c.confirmLeadership(ctx) && c.waitApplied(ctx, st.CommitIndex) == nil
	}
	return c.confirmWithLeader(ctx, st.Leader, true) == nil
}

// PublishCatalog makes a catalog the current one. ErrInvalidCatalog is permanent;
// after ErrNoQuorum the outcome is unknown and the call may be retried. A catalog
// that is not newer than the current one is ignored without an error.
func (c *Coordinator) PublishCatalog(ctx context.Context, data []byte) error {
	cat, err := c.DecodeCatalog(data)
	if err != nil {
		_ = level.Info(c.Logger).Log("msg", "rejected an invalid catalog", "err", err)
		return ErrInvalidCatalog.Wrap(err)
	}
	if state, _ := c.keeper.State(); state.Version >= cat.Version {
		// The log would ignore a catalog that is not newer.
		_ = level.Info(c.Logger).Log("msg", "ignored a catalog that is not newer than the one in force", "version", cat.Version, "in_force", state.Version)
		return nil
	}
	err = c.propose(ctx, keeper.Command{Publish: &keeper.Publish{Version: cat.Version, Data: data}})
	_ = level.Info(c.Logger).Log("msg", "catalog published", "version", cat.Version, "bytes", len(data), "err", err)
	return err
}

// SetEvacuated evacuates a failure domain, or brings it back into service.
func (c *Coordinator) SetEvacuated(ctx context.Context, d identifier.FailureDomain, evacuated bool) error {
	err := c.decideEvacuation(ctx, d, evacuated)
	_ = level.Info(c.Logger).Log("msg", "handled a request to evacuate (out=true) or reinstate (out=false) a failure domain", "failure_domain", d, "out", evacuated, "err", err)
	return err
}

// decideEvacuation sets whether a failure domain is evacuated, unless the caller has given up or another
// order has changed the evacuations meanwhile. An order may be read long after it was sent, by a
// process that was suspended for example, and must not undo a newer one then.
func (c *Coordinator) decideEvacuation(ctx context.Context, d identifier.FailureDomain, evacuated bool) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		// The state is confirmed before the caller is known to wait, so an order that was decided
		// on it is not older than what it may undo.
		if c.confirmCurrentState(ctx) && ctx.Err() == nil {
			state, _ := c.keeper.State()
			if slices.Contains(state.Evacuated, d) == evacuated {
				return nil
			}
			cmd := keeper.Command{Reinstate: d, IfEvacuations: &state.EvacuationCount}
			if evacuated {
				cmd = keeper.Command{Evacuate: d, IfEvacuations: &state.EvacuationCount}
			}
			data, err := cmd.Encode()
			if err != nil {
				return err
			}
			// After an error the command may still take effect, which the next turn finds out.
			if result, err := c.proposeOnce(ctx, data); err == nil && len(result) == 0 {
				return nil
			}
		}
		if c.driver.Status().DiskRefuses {
			return ErrDiskRefuses
		}
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-time.After(proposeRetryDelay):
		}
	}
}

// propose appends a command to the log through the leader of the log, and retries
// until the command is committed or proposeTimeout is over. A retry may append the
// command a second time, which has no effect because commands are idempotent.
func (c *Coordinator) propose(ctx context.Context, cmd keeper.Command) error {
	data, err := cmd.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for {
		if _, err := c.proposeOnce(ctx, data); err == nil {
			return nil
		}
		if c.driver.Status().DiskRefuses {
			return ErrDiskRefuses
		}
		select {
		case <-ctx.Done():
			return ErrNoQuorum
		case <-time.After(proposeRetryDelay):
		}
	}
}

// proposeOnce returns the result of the command, which is empty if it was accepted.
func (c *Coordinator) proposeOnce(ctx context.Context, data []byte) ([]byte, error) {
	switch leader := c.driver.Status().Leader; leader {
	case "":
		return nil, driver.ErrNotLeader
	case c.self:
		return c.driver.Propose(ctx, data)
	default:
		reply, err := c.linker.Call(ctx, leader, &peerv1.Envelope{Proposal: &peerv1.Proposal{Log: logName, Data: data}})
		return reply.GetProposalResult().GetResult(), err
	}
}
