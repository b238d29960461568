package registry

import (
	"context"
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/steperr"
)

// register proposes the announced endpoint if it differs from the replicated
// state. At most one proposal of an endpoint with the same content is in
// flight.
func (r *Registry) register(ctx context.Context, s *state.State, a *Announcement) error {
	info := a.endpoint()
	if known, ok := s.Endpoints.Get(a.ID); ok && !differs(known, &info) {
		return nil
	}
	if !r.beginProposal(a.ID, info) {
		return nil
	}
	defer r.endProposal(a.ID, info)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return r.propose(ctx, a.ID, state.RegisterEndpoint{Endpoint: info})
}

// differs reports whether an announcement changes the replicated state.
// Draining can't be revoked within an incarnation, and an announcement of an
// older incarnation changes nothing.
func differs(known, announced *state.Endpoint) bool {
	if announced.Incarnation != known.Incarnation {
		return announced.Incarnation > known.Incarnation
	}
	next := *announced
	next.Draining = next.Draining || known.Draining
	return next != *known
}

// proposeRemoval proposes in the background to remove an expired endpoint; r.mu
// is held.
func (r *Registry) proposeRemoval(ctx context.Context, e *Endpoint) {
	removal := state.Endpoint{ID: e.ID, Incarnation: e.Incarnation}
	if r.proposing[e.ID] == removal {
		return
	}
	r.proposing[e.ID] = removal
	body := state.RemoveEndpoint{ID: e.ID, Incarnation: e.Incarnation, Fence: e.currentFence()}
	r.proposals.Go(func() {
		defer r.endProposal(e.ID, removal)
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		_ = r.propose(ctx, e.ID, body)
	})
}

// propose commits a change of an endpoint and logs a failure.
func (r *Registry) propose(ctx context.Context, id string, body state.Body) error {
	result, err := r.opts.Log.Propose(ctx, state.NewCommand(body))
	if err == nil && (result.Code == state.CodeOK || result.Code == state.CodeStale) {
		return nil
	}
	if err != nil {
		err = steperr.Wrap(err, "propose change of endpoint", id)
	} else {
		err = steperr.Wrap(&RefusedError{Result: result}, "propose change of endpoint", id)
	}
	event.Log(r.opts.Logger, event.EndpointProposalFailed, slog.String("endpoint", id), slog.Any("error", err))
	return err
}

func (r *Registry) beginProposal(id string, info state.Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, ok := r.proposing[id]; ok && current == info {
		return false
	}
	r.proposing[id] = info
	return true
}

func (r *Registry) endProposal(id string, info state.Endpoint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.proposing[id] == info {
		delete(r.proposing, id)
	}
}

// RefusedError reports that a proposed change of an endpoint was refused when
// it was applied.
type RefusedError struct {
	Result state.Result
}

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Result.Code) + ": " + e.Result.Message
}
