package replica

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/raft"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

// Errors of Propose. After ErrTooLarge, ErrLeaseNotExpired and ErrOverloaded
// the command was not appended to the log. After any other error the outcome is
// unknown.
var (
	ErrOutcomeUnknown = errors.New("leader changed before the command was committed; outcome unknown")
	ErrStopped        = errors.New("replica has stopped; outcome unknown")
	ErrTooLarge       = errors.New("command is too large")
	ErrOverloaded     = errors.New("too many proposals wait for their commit")
	// ErrLeaseNotExpired rejects a command proposed under RequireLeaseExpired.
	ErrLeaseNotExpired = errors.New("freshness lease of an instance has not ended")
)

const (
	// maxPendingProposals limits the proposals that wait for their commit.
	maxPendingProposals = 16384
	// retryInterval is the delay before a proposal or a leadership transfer is
	// attempted again.
	retryInterval = 50 * time.Millisecond
	// registerInterval is the delay before a failed registration is retried.
	registerInterval = time.Second
)

type leasePreconditionKey struct{}

// RequireLeaseExpired returns a context under which the leader appends a
// proposal only if the freshness leases of the instances have expired. The
// check and the append are one step, so no lease can be granted between them.
// An instance that is granted a lease later applies the command before it
// becomes fresh. A change of an owner must be proposed under such a context.
func RequireLeaseExpired(ctx context.Context, instances ...string) context.Context {
	return context.WithValue(ctx, leasePreconditionKey{}, instances)
}

// pendingProposal is a proposal that waits for its commit.
type pendingProposal struct {
	term uint64
	done chan proposalResult
}

// proposalResult is the outcome of a proposal on the leader.
type proposalResult struct {
	result state.Result
	index  uint64
	err    error
}

type proposeRequest struct {
	Command     state.Command `cbor:"1,keyasint"`
	EndedLeases []string      `cbor:"2,keyasint,omitempty"`
}

type proposeResponse struct {
	Result    state.Result `cbor:"1,keyasint"`
	Index     uint64       `cbor:"2,keyasint"`
	NotLeader bool         `cbor:"3,keyasint,omitempty"` // nothing was appended
	Refused   string       `cbor:"4,keyasint,omitempty"` // nothing was appended
	Unknown   string       `cbor:"5,keyasint,omitempty"`
}

// Propose implements Log. It waits until ctx ends while no leader is reachable.
func (r *Replica) Propose(ctx context.Context, c state.Command) (state.Result, error) {
	if len(c.Body) > MaxCommandBytes {
		return state.Result{}, ErrTooLarge
	}
	for {
		p, again := r.proposeOnce(ctx, c)
		if !again {
			if p.err == nil {
				p.err = r.waitApplied(ctx, p.index)
			}
			return p.result, p.err
		}
		if err := r.sleep(ctx, retryInterval); err != nil {
			return state.Result{}, steperr.Wrap(errors.Join(err, p.err), "propose", r.Leadership().Leader)
		}
	}
}

// proposeOnce sends the command to the currently known leader. Retry is true
// only if the command was certainly not appended.
func (r *Replica) proposeOnce(ctx context.Context, c state.Command) (p proposalResult, retry bool) {
	leader := r.Leadership().Leader
	switch leader {
	case "":
		return proposalResult{err: errors.New("no leader is known")}, true
	case r.opts.Self:
		p = r.proposeLocal(ctx, c, leasePreconditions(ctx))
		return p, errors.Is(p.err, raft.ErrNotLeader) || errors.Is(p.err, raft.ErrTransferring)
	}
	var resp proposeResponse
	err := r.opts.Peers.Call(ctx, leader, transport.KindPropose, proposeRequest{Command: c, EndedLeases: leasePreconditions(ctx)}, &resp)
	switch {
	case errors.Is(err, transport.ErrNotConnected) || errors.Is(err, transport.ErrQueueFull) || errors.Is(err, transport.ErrExpired):
		return proposalResult{err: err}, true
	case err != nil:
		return proposalResult{err: steperr.Wrap(err, "propose", leader)}, false
	case resp.NotLeader:
		r.clearLeader(leader)
		return proposalResult{err: raft.ErrNotLeader}, true
	case resp.Refused != "":
		return proposalResult{err: steperr.Wrap(refusalError(resp.Refused), "propose", leader)}, false
	case resp.Unknown != "":
		return proposalResult{err: steperr.Wrap(fmt.Errorf("%w: %s", ErrOutcomeUnknown, resp.Unknown), "propose", leader)}, false
	}
	return proposalResult{result: resp.Result, index: resp.Index}, false
}

func leasePreconditions(ctx context.Context) []string {
	instances, _ := ctx.Value(leasePreconditionKey{}).([]string)
	return instances
}

// refusalError returns the error for the refusal text sent by a leader.
func refusalError(text string) error {
	for _, err := range []error{ErrTooLarge, ErrOverloaded, ErrLeaseNotExpired} {
		if err.Error() == text {
			return err
		}
	}
	return errors.New(text)
}

// onPropose handles a proposal from another instance.
func (r *Replica) onPropose(ctx context.Context, _ string, req *proposeRequest) (*proposeResponse, error) {
	ctx, cancel := transport.UntilCallerLeaves(ctx)
	defer cancel()
	p := r.proposeLocal(ctx, req.Command, req.EndedLeases)
	resp := &proposeResponse{Result: p.result, Index: p.index}
	switch {
	case p.err == nil:
	case errors.Is(p.err, raft.ErrNotLeader), errors.Is(p.err, raft.ErrTransferring):
		resp.NotLeader = true
	case errors.Is(p.err, ErrOverloaded), errors.Is(p.err, ErrLeaseNotExpired), errors.Is(p.err, ErrTooLarge):
		resp.Refused = p.err.Error()
	default:
		resp.Unknown = p.err.Error()
	}
	return resp, nil
}

// proposeLocal appends the command if this replica is the leader, and waits
// until it is applied.
func (r *Replica) proposeLocal(ctx context.Context, c state.Command, ended []string) proposalResult {
	if len(c.Body) > MaxCommandBytes {
		return proposalResult{err: ErrTooLarge}
	}
	w := &pendingProposal{done: make(chan proposalResult, 1)}
	begin := r.opts.Clock.Now()
	r.inbox.post(func() {
		if transport.Expired(ctx) { // the loop waits for the disk, which may take seconds
			w.done <- proposalResult{err: context.DeadlineExceeded}
			return
		}
		r.appendCommand(c, ended, w)
	})
	select {
	case p := <-w.done:
		if p.err == nil {
			r.metrics.commit.Observe(r.opts.Clock.Since(begin).Seconds())
		}
		return p
	case <-ctx.Done():
		return proposalResult{err: ctx.Err()}
	case <-r.done:
		return proposalResult{err: ErrStopped}
	}
}

// appendCommand runs on the loop goroutine.
func (r *Replica) appendCommand(c state.Command, ended []string, w *pendingProposal) {
	if r.core.Status().Role != raft.Leader {
		w.done <- proposalResult{err: raft.ErrNotLeader}
		return
	}
	if len(r.pendingProposals) >= maxPendingProposals {
		w.done <- proposalResult{err: ErrOverloaded}
		return
	}
	for _, instance := range ended {
		if !r.LeaseExpired(instance) {
			w.done <- proposalResult{err: fmt.Errorf("%w: %s", ErrLeaseNotExpired, instance)}
			return
		}
	}
	c.Time = max(r.opts.Clock.Now().UnixMilli(), r.lastTime)
	data, err := cbor.Marshal(c)
	if err != nil {
		w.done <- proposalResult{err: err}
		return
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		w.done <- proposalResult{err: err}
		return
	}
	r.lastTime = c.Time
	w.term = term
	r.pendingProposals[index] = w
}

// completeProposal delivers the result of an applied entry to the proposal at
// its index. If the entry has a different term, it replaced the proposal, whose
// outcome is then unknown.
func (r *Replica) completeProposal(a applied) {
	w := r.pendingProposals[a.entry.Index]
	if w == nil {
		return
	}
	delete(r.pendingProposals, a.entry.Index)
	if w.term != a.entry.Term {
		w.done <- proposalResult{err: ErrOutcomeUnknown}
		return
	}
	w.done <- proposalResult{result: a.result, index: a.entry.Index}
}

// failPending fails all pending proposals and lease requests when this
// replica's leadership begins or ends, or its core is replaced.
func (r *Replica) failPending() {
	for index, w := range r.pendingProposals {
		w.done <- proposalResult{err: ErrOutcomeUnknown}
		delete(r.pendingProposals, index)
	}
	for _, c := range r.pendingConfirmations {
		c.done <- freshnessResponse{}
	}
	r.pendingConfirmations = nil
}

// waitApplied waits until this instance has applied the entry at index.
func (r *Replica) waitApplied(ctx context.Context, index uint64) error {
	for {
		changed := r.Changed()
		if r.State().Index >= index {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return steperr.Wrap(ctx.Err(), "wait for the committed command", r.opts.Self)
		case <-r.done:
			return ErrStopped
		}
	}
}

func (r *Replica) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-r.opts.Clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// registerSelf registers this instance in the replicated state, and again
// whenever its replica id changes.
func (r *Replica) registerSelf(ctx context.Context) error {
	var registered raft.ID
	for {
		changed := r.Changed()
		v := r.view.Load()
		if v.leader != "" && v.replica != registered && r.register(ctx, v) == nil {
			registered = v.replica
		}
		select {
		case <-changed:
		case <-r.opts.Clock.After(registerInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (r *Replica) register(ctx context.Context, v *view) error {
	in := state.Instance{
		ID: r.opts.Self, Zone: r.opts.Zone, InstanceStart: r.incarnation,
		PeerAddress: r.opts.PeerAddress, EntryAddress: r.opts.EntryAddress, OperatorServer: r.opts.OperatorServer,
	}
	if v.disk {
		in.ReplicaID = uint64(v.replica)
	}
	result, err := r.Propose(ctx, state.NewCommand(state.RegisterInstance{Instance: in}))
	if err == nil && result.Code != state.CodeOK {
		err = errors.New(result.Message)
	}
	return err
}
