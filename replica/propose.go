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

// Errors of Propose. After ErrTooLarge, ErrLeaseNotEnded and ErrOverloaded the
// command was not appended; after the others the outcome is unknown.
var (
	ErrOutcomeUnknown = errors.New("leader changed before the command was committed; outcome unknown")
	ErrStopped        = errors.New("replica has stopped; outcome unknown")
	ErrTooLarge       = errors.New("command is too large")
	ErrOverloaded     = errors.New("too many proposals wait for their commit")
	// ErrLeaseNotEnded refuses a command proposed under RequireLeaseEnded.
	ErrLeaseNotEnded = errors.New("freshness lease of an instance has not ended")
)

const (
	// maxWaiters bounds the proposals that wait for their commit.
	maxWaiters = 16384
	// retryInterval is the pause before a proposal looks for a leader again.
	retryInterval = 50 * time.Millisecond
	// registerInterval is the pause before a failed registration is repeated.
	registerInterval = time.Second
)

type leaseKey struct{}

// RequireLeaseEnded returns a context under which the leader appends a
// proposal only if the freshness leases of the instances have ended at that
// moment. No answer to them can come between the check and the append, and a
// later answer makes them apply the command before they are fresh. A change of
// an owner must be proposed in this way.
func RequireLeaseEnded(ctx context.Context, instances ...string) context.Context {
	return context.WithValue(ctx, leaseKey{}, instances)
}

// waiter is a proposal that waits for its commit.
type waiter struct {
	term uint64
	done chan proposed
}

// proposed is the outcome of a proposal on the leader.
type proposed struct {
	result state.Result
	index  uint64
	err    error
}

type proposeRequest struct {
	Command state.Command `cbor:"1,keyasint"`
	Ended   []string      `cbor:"2,keyasint,omitempty"`
}

type proposeResponse struct {
	Result    state.Result `cbor:"1,keyasint"`
	Index     uint64       `cbor:"2,keyasint"`
	NotLeader bool         `cbor:"3,keyasint,omitempty"` // nothing was appended
	Refused   string       `cbor:"4,keyasint,omitempty"` // nothing was appended
	Unknown   string       `cbor:"5,keyasint,omitempty"`
}

// Propose implements Log. While no leader is reachable it waits until ctx ends.
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
		if err := r.pause(ctx, retryInterval); err != nil {
			return state.Result{}, steperr.Wrap(errors.Join(err, p.err), "propose", r.Leadership().Leader)
		}
	}
}

// proposeOnce sends the command to the leader known now. Again is true only if
// the command was certainly not appended.
func (r *Replica) proposeOnce(ctx context.Context, c state.Command) (p proposed, again bool) {
	leader := r.Leadership().Leader
	switch leader {
	case "":
		return proposed{err: errors.New("no leader is known")}, true
	case r.opts.Self:
		p = r.proposeLocal(ctx, c, endedLeases(ctx))
		return p, errors.Is(p.err, raft.ErrNotLeader) || errors.Is(p.err, raft.ErrTransferring)
	}
	var resp proposeResponse
	err := r.opts.Peers.Call(ctx, leader, transport.KindPropose, proposeRequest{Command: c, Ended: endedLeases(ctx)}, &resp)
	switch {
	case errors.Is(err, transport.ErrNotConnected) || errors.Is(err, transport.ErrQueueFull):
		return proposed{err: err}, true
	case err != nil:
		return proposed{err: steperr.Wrap(err, "propose", leader)}, false
	case resp.NotLeader:
		r.disown(leader)
		return proposed{err: raft.ErrNotLeader}, true
	case resp.Refused != "":
		return proposed{err: steperr.Wrap(refusal(resp.Refused), "propose", leader)}, false
	case resp.Unknown != "":
		return proposed{err: steperr.Wrap(fmt.Errorf("%w: %s", ErrOutcomeUnknown, resp.Unknown), "propose", leader)}, false
	}
	return proposed{result: resp.Result, index: resp.Index}, false
}

func endedLeases(ctx context.Context) []string {
	instances, _ := ctx.Value(leaseKey{}).([]string)
	return instances
}

// refusal returns the error with the text that a leader sent.
func refusal(text string) error {
	for _, err := range []error{ErrTooLarge, ErrOverloaded, ErrLeaseNotEnded} {
		if err.Error() == text {
			return err
		}
	}
	return errors.New(text)
}

// onPropose answers another instance's proposal.
func (r *Replica) onPropose(ctx context.Context, _ string, req *proposeRequest) (*proposeResponse, error) {
	p := r.proposeLocal(ctx, req.Command, req.Ended)
	resp := &proposeResponse{Result: p.result, Index: p.index}
	switch {
	case p.err == nil:
	case errors.Is(p.err, raft.ErrNotLeader), errors.Is(p.err, raft.ErrTransferring):
		resp.NotLeader = true
	case errors.Is(p.err, ErrOverloaded), errors.Is(p.err, ErrLeaseNotEnded), errors.Is(p.err, ErrTooLarge):
		resp.Refused = p.err.Error()
	default:
		resp.Unknown = p.err.Error()
	}
	return resp, nil
}

// proposeLocal appends the command if this replica leads, and waits until it
// is applied.
func (r *Replica) proposeLocal(ctx context.Context, c state.Command, ended []string) proposed {
	if len(c.Body) > MaxCommandBytes {
		return proposed{err: ErrTooLarge}
	}
	w := &waiter{done: make(chan proposed, 1)}
	begin := r.opts.Clock.Now()
	r.box.post(func() { r.appendCommand(c, ended, w) })
	select {
	case p := <-w.done:
		if p.err == nil {
			r.metrics.commit.Observe(r.opts.Clock.Since(begin).Seconds())
		}
		return p
	case <-ctx.Done():
		return proposed{err: ctx.Err()}
	case <-r.done:
		return proposed{err: ErrStopped}
	}
}

// appendCommand runs in the loop.
func (r *Replica) appendCommand(c state.Command, ended []string, w *waiter) {
	if r.core.Status().Role != raft.Leader {
		w.done <- proposed{err: raft.ErrNotLeader}
		return
	}
	if len(r.waiters) >= maxWaiters {
		w.done <- proposed{err: ErrOverloaded}
		return
	}
	for _, instance := range ended {
		if !r.LeaseEnded(instance) {
			w.done <- proposed{err: fmt.Errorf("%w: %s", ErrLeaseNotEnded, instance)}
			return
		}
	}
	c.Time = max(r.opts.Clock.Now().UnixMilli(), r.lastTime)
	data, err := cbor.Marshal(c)
	if err != nil {
		w.done <- proposed{err: err}
		return
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		w.done <- proposed{err: err}
		return
	}
	r.lastTime = c.Time
	w.term = term
	r.waiters[index] = w
}

// answer gives a proposal its result. An entry of another term at its index
// means that the proposal was replaced.
func (r *Replica) answer(a applied) {
	w := r.waiters[a.entry.Index]
	if w == nil {
		return
	}
	delete(r.waiters, a.entry.Index)
	if w.term != a.entry.Term {
		w.done <- proposed{err: ErrOutcomeUnknown}
		return
	}
	w.done <- proposed{result: a.result, index: a.entry.Index}
}

// failWaiters ends all proposals when this replica ceases to lead.
func (r *Replica) failWaiters() {
	for index, w := range r.waiters {
		w.done <- proposed{err: ErrOutcomeUnknown}
		delete(r.waiters, index)
	}
	for _, c := range r.confirms {
		c.done <- freshnessResponse{}
	}
	r.confirms = nil
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

func (r *Replica) pause(ctx context.Context, d time.Duration) error {
	select {
	case <-r.opts.Clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// registerSelf makes this instance known in the replicated state, and again
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
		ID: r.opts.Self, Zone: r.opts.Zone, InstanceStart: r.start,
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
