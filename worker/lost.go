package worker

import (
	"context"
	"log/slog"

	"github.com/google/uuid"

	"apricotrouter/event"
	"apricotrouter/state"
)

// lostWorker tracks the proposals that a worker is lost or has returned.
//
// Invariant: from the proposal that the worker is lost until the return is
// committed, the lease is not renewed. A proposal whose outcome is unknown is
// repeated under the same request id until the outcome is known, so no late
// duplicate can take effect after the next change.
type lostWorker struct {
	losing    *state.Command // proposed, outcome unknown
	returning *state.Command // proposed, outcome unknown
}

// command returns a command that takes effect once however often it is proposed.
func (s *session) command(body state.Body) *state.Command {
	c := state.NewRequest(uuid.NewString(), "instance "+s.Self, body)
	return &c
}

// settle proposes the pending command and clears it once its outcome is known.
func (s *session) settle(ctx context.Context, pending **state.Command) (state.Result, bool) {
	if !s.held() {
		return state.Result{}, false
	}
	res, err := s.propose(ctx, **pending)
	if err != nil {
		return state.Result{}, false
	}
	*pending = nil
	return res, true
}

// markLost reports the worker lost. It does nothing if that is committed.
func (s *session) markLost(ctx context.Context) {
	if s.lost.returning != nil {
		if _, ok := s.settle(ctx, &s.lost.returning); !ok {
			return
		}
	}
	if s.lost.losing == nil {
		if s.conditionLost() {
			return
		}
		s.lost.losing = s.command(state.MarkWorkerLost{Worker: s.worker, Fence: s.fence})
	}
	if res, ok := s.settle(ctx, &s.lost.losing); ok && res.Code == state.CodeOK {
		s.metrics.lost.Inc()
		event.Log(s.Logger, event.WorkerLost, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
	}
}

// returned reports whether the worker counts as present. For a lost worker
// that answers again it proposes the return first.
func (s *session) returned(ctx context.Context) bool {
	if s.lost.losing != nil {
		if _, ok := s.settle(ctx, &s.lost.losing); !ok {
			return false
		}
	}
	if s.lost.returning == nil {
		if !s.conditionLost() {
			return s.held()
		}
		s.lost.returning = s.command(state.MarkWorkerReturned{Worker: s.worker, Fence: s.fence})
	}
	res, ok := s.settle(ctx, &s.lost.returning)
	if !ok || res.Code != state.CodeOK {
		return false
	}
	event.Log(s.Logger, event.WorkerReturned, slog.String("worker", s.worker), slog.Uint64("fence", s.fence))
	// The list is older than the return, so the next round acts on a new one.
	return false
}

// conditionLost reports whether the log calls the worker lost.
func (s *session) conditionLost() bool {
	w, ok := s.Log.State().Workers.Get(s.worker)
	return ok && w.Condition == state.WorkerLost
}
