package worker

import (
	"context"
	"log/slog"

	"github.com/google/uuid"

	"apricotrouter/event"
	"apricotrouter/state"
)

// lossProposals tracks the proposals of MarkWorkerLost and MarkWorkerReturned.
//
// Invariant: the lease is not renewed from the time MarkWorkerLost is proposed
// until MarkWorkerReturned is committed. A proposal with an unknown outcome is
// repeated with the same request id until its outcome is known, so a delayed
// duplicate has no effect after the next change.
type lossProposals struct {
	pendingLost     *state.Command // MarkWorkerLost with unknown outcome, or nil
	pendingReturned *state.Command // MarkWorkerReturned with unknown outcome, or nil
}

// newCommand returns a command with a request id, which takes effect only once
// however often it is proposed.
func (s *session) newCommand(body state.Body) *state.Command {
	c := state.NewRequest(uuid.NewString(), "instance "+s.Self, body)
	return &c
}

// proposePending proposes the pending command and clears it if the outcome is
// known. It returns false if the outcome is unknown.
func (s *session) proposePending(ctx context.Context, pending **state.Command) (state.Result, bool) {
	if !s.mayAct() {
		return state.Result{}, false
	}
	res, err := s.propose(ctx, **pending)
	if err != nil {
		return state.Result{}, false
	}
	*pending = nil
	return res, true
}

// markLost proposes MarkWorkerLost unless the worker is already marked as lost.
func (s *session) markLost(ctx context.Context) {
	if s.lost.pendingReturned != nil {
		if _, ok := s.proposePending(ctx, &s.lost.pendingReturned); !ok {
			return
		}
	}
	if s.lost.pendingLost == nil {
		if s.isMarkedLost() {
			return
		}
		s.lost.pendingLost = s.newCommand(state.MarkWorkerLost{Worker: s.worker, Fence: s.fence})
	}
	if res, ok := s.proposePending(ctx, &s.lost.pendingLost); ok && res.Code == state.CodeOK {
		s.metrics.lost.Inc()
		event.Log(s.Logger, event.WorkerLost, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
	}
}

// ensureReady reports whether the worker is not marked as lost and the session
// may act on it. For a lost worker it proposes MarkWorkerReturned and returns
// false.
func (s *session) ensureReady(ctx context.Context) bool {
	if s.lost.pendingLost != nil {
		if _, ok := s.proposePending(ctx, &s.lost.pendingLost); !ok {
			return false
		}
	}
	if s.lost.pendingReturned == nil {
		if !s.isMarkedLost() {
			return s.mayAct()
		}
		s.lost.pendingReturned = s.newCommand(state.MarkWorkerReturned{Worker: s.worker, Fence: s.fence})
	}
	res, ok := s.proposePending(ctx, &s.lost.pendingReturned)
	if !ok || res.Code != state.CodeOK {
		return false
	}
	event.Log(s.Logger, event.WorkerReturned, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
	// The list was read before the return was committed, so the next pass
	// reads a new one.
	return false
}

// isMarkedLost reports whether the worker is marked as lost in the log.
func (s *session) isMarkedLost() bool {
	w, ok := s.Log.State().Workers.Get(s.worker)
	return ok && w.Condition == state.WorkerLost
}
