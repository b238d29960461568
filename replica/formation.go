package replica

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"

	"golang.org/x/sync/errgroup"

	"apricotrouter/event"
	"apricotrouter/raft"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	// bootstrapTimeout limits one attempt to form the group. It is long enough
	// for the transport to detect an unresponsive connection.
	bootstrapTimeout = transport.IdleTimeout
	// bootstrapInterval is the delay between attempts. It equals the transport's
	// interval between attempts to dial a peer.
	bootstrapInterval = transport.RedialInterval
)

// initialPosition is the index and the term at which the log of every group
// begins.
const initialPosition = 1

// formationStep is the operation of a formation request.
type formationStep uint8

const (
	formationInit     formationStep = iota + 1 // form the group; sent to the lowest initial voter
	formationIdentify                          // return the replica id and the group
	formationJoin                              // adopt the initial membership
)

type formationRequest struct {
	Step    formationStep   `cbor:"1,keyasint"`
	Group   string          `cbor:"2,keyasint,omitempty"`
	Members raft.Membership `cbor:"3,keyasint,omitempty"`
}

type formationResponse struct {
	Replica raft.ID  `cbor:"1,keyasint"`
	Disk    bool     `cbor:"2,keyasint,omitempty"`
	Zone    string   `cbor:"3,keyasint,omitempty"`
	Group   string   `cbor:"4,keyasint,omitempty"`
	Voters  []string `cbor:"5,keyasint,omitempty"`
}

// Init forms the control group, or returns the existing group. It may be called
// on any instance, repeatedly and concurrently.
func (r *Replica) Init(ctx context.Context) (groupID string, voters []string, err error) {
	own, err := r.describeSelf(ctx)
	if err != nil {
		return "", nil, err
	}
	if len(own.Voters) > 0 {
		return own.Group, own.Voters, nil
	}
	if len(r.opts.InitialVoters) == 0 {
		return "", nil, errors.New("settings name no initial voters")
	}
	resp := own
	if lowest := slices.Min(r.opts.InitialVoters); lowest == r.opts.Self {
		resp, err = r.form(ctx)
	} else {
		resp = new(formationResponse)
		err = r.opts.Peers.Call(ctx, lowest, transport.KindFormation, formationRequest{Step: formationInit}, resp)
		err = steperr.Wrap(err, "forward init", lowest)
	}
	if err != nil {
		return "", nil, err
	}
	return resp.Group, resp.Voters, nil
}

// bootstrap calls Init until it succeeds. All instances may do so concurrently,
// because only the lowest initial voter forms the group, and only once.
func (r *Replica) bootstrap(ctx context.Context) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		_, _, err := r.Init(attempt)
		cancel()
		if err == nil || ctx.Err() != nil {
			return nil
		}
		event.Log(r.opts.Logger, event.ReplicaBootstrapPending, slog.Any("error", err))
		if r.sleep(ctx, bootstrapInterval) != nil {
			return nil
		}
	}
}

func (r *Replica) onFormation(ctx context.Context, from string, req *formationRequest) (*formationResponse, error) {
	switch req.Step {
	case formationInit:
		if len(r.opts.InitialVoters) == 0 || slices.Min(r.opts.InitialVoters) != r.opts.Self {
			return nil, fmt.Errorf("instance %s is not the lowest initial voter", r.opts.Self)
		}
		return r.form(ctx)
	case formationIdentify:
		return r.describeSelf(ctx)
	case formationJoin:
		if err := r.join(ctx, req.Group, req.Members); err != nil {
			return nil, err
		}
		return r.describeSelf(ctx)
	}
	return nil, fmt.Errorf("unknown step %d of formation from %s", req.Step, from)
}

// describeSelf returns this replica's id, zone, group and voters.
func (r *Replica) describeSelf(ctx context.Context) (*formationResponse, error) {
	resp := new(formationResponse)
	err := r.runOnLoop(ctx, func() {
		resp.Replica, resp.Disk, resp.Zone, resp.Group = r.id.Replica, r.store != nil, r.opts.Zone, r.id.Group
		for _, v := range r.core.Status().Members.Voters {
			resp.Voters = append(resp.Voters, v.Instance)
		}
	})
	return resp, err
}

// form forms the group on the lowest initial voter. The group id is persisted
// before any other instance receives it, so that a repeated attempt uses the
// same id.
func (r *Replica) form(ctx context.Context) (*formationResponse, error) {
	r.formation.Lock()
	defer r.formation.Unlock()
	own, err := r.describeSelf(ctx)
	if err != nil || len(own.Voters) > 0 {
		return own, err
	}
	group, err := r.prepareGroupID(ctx)
	if err != nil {
		return nil, err
	}
	responses, err := r.queryInitialVoters(ctx)
	if existing := existingGroup(responses); existing != nil {
		return existing, nil
	}
	if err != nil {
		return nil, err
	}
	members, err := r.initialMembers(responses)
	if err != nil {
		return nil, err
	}
	if err := r.join(ctx, group, members); err != nil {
		return nil, err
	}
	r.sendInitialMembership(ctx, group, members)
	return r.describeSelf(ctx)
}

// prepareGroupID returns the id of the group to form, and creates and persists
// one if there is none yet.
func (r *Replica) prepareGroupID(ctx context.Context) (group string, err error) {
	derr := r.runOnLoop(ctx, func() {
		if r.store == nil {
			err = errors.New("an initial voter needs a data folder")
			return
		}
		if r.id.FormingGroup == "" {
			id := r.id
			id.FormingGroup = fmt.Sprintf("%016x", newReplicaID()) // short, because it is part of every packet
			if err = r.store.saveIdentity(id); err != nil {
				return
			}
			r.id = id
		}
		group = r.id.FormingGroup
	})
	return group, errors.Join(derr, err)
}

// queryInitialVoters requests the replica id of every initial voter. The
// responses are in the order of Options.InitialVoters; that of a failed call is
// nil.
func (r *Replica) queryInitialVoters(ctx context.Context) ([]*formationResponse, error) {
	responses := make([]*formationResponse, len(r.opts.InitialVoters))
	var g errgroup.Group
	for i, instance := range r.opts.InitialVoters {
		g.Go(func() error {
			resp, err := r.formationCall(ctx, instance, formationRequest{Step: formationIdentify})
			if err == nil {
				responses[i] = resp
			}
			return err
		})
	}
	err := g.Wait()
	return responses, err
}

func (r *Replica) formationCall(ctx context.Context, instance string, req formationRequest) (*formationResponse, error) {
	if instance == r.opts.Self {
		return r.onFormation(ctx, instance, &req)
	}
	resp := new(formationResponse)
	err := r.opts.Peers.Call(ctx, instance, transport.KindFormation, req, resp)
	return resp, steperr.Wrap(err, "form group", instance)
}

func existingGroup(responses []*formationResponse) *formationResponse {
	for _, a := range responses {
		if a != nil && a.Group != "" && len(a.Voters) > 0 {
			return a
		}
	}
	return nil
}

func (r *Replica) initialMembers(responses []*formationResponse) (raft.Membership, error) {
	var m raft.Membership
	for i, a := range responses {
		instance := r.opts.InitialVoters[i]
		switch {
		case a.Group != "":
			return m, fmt.Errorf("instance %s is in group %s, whose members it does not know yet", instance, a.Group)
		case !a.Disk:
			return m, fmt.Errorf("initial voter %s has no data folder", instance)
		}
		m.Voters = append(m.Voters, raft.Member{ID: a.Replica, Instance: instance, Zone: r.zoneOf(instance, a.Zone)})
	}
	return m, nil
}

// sendInitialMembership sends the initial membership to the other voters. A
// voter that does not receive it gets it from the leader.
func (r *Replica) sendInitialMembership(ctx context.Context, group string, m raft.Membership) {
	var g errgroup.Group
	for _, v := range m.Voters {
		if v.Instance == r.opts.Self {
			continue
		}
		g.Go(func() error {
			_, err := r.formationCall(ctx, v.Instance, formationRequest{Step: formationJoin, Group: group, Members: m})
			return err
		})
	}
	_ = g.Wait()
}

// join adopts the initial membership unless this replica is already in a group.
func (r *Replica) join(ctx context.Context, group string, m raft.Membership) error {
	var err error
	derr := r.runOnLoop(ctx, func() { err = r.joinOnLoop(group, m) })
	return errors.Join(derr, err)
}

func (r *Replica) joinOnLoop(group string, m raft.Membership) error {
	switch {
	case r.id.Group == group:
		return nil
	case r.id.Group != "":
		return fmt.Errorf("instance %s is in group %s already", r.opts.Self, r.id.Group)
	case m.Voter(r.id.Replica) == nil:
		return fmt.Errorf("replica %d of instance %s is not in the membership", r.id.Replica, r.opts.Self)
	}
	position := raft.Position{Index: initialPosition, Term: initialPosition, Members: m}
	first := state.New()
	first.Index = initialPosition
	if err := r.persistJoin(group, position, first); err != nil {
		r.detachStorage(err)
		return err
	}
	r.notify()
	return r.newCore(recoveredState{base: position, state: first, hard: raft.HardState{Term: initialPosition}})
}

// persistJoin saves the identity with its group last. If the process crashes
// before that, a restart finds the membership and takes the group id from
// identity.FormingGroup.
func (r *Replica) persistJoin(group string, p raft.Position, s *state.State) error {
	id := r.id
	id.FormingGroup = group
	if err := r.store.saveIdentity(id); err != nil {
		return err
	}
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	if err := r.store.saveSnapshot(&snapshotRecord{Position: p, State: data}); err != nil {
		return err
	}
	if err := r.store.rewrite(p, raft.HardState{Term: p.Term}, p.Index, nil); err != nil {
		return err
	}
	r.id = id
	r.setGroup(group)
	return nil
}
