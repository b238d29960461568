package worker

import (
	"context"
	"errors"
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/state"
)

// begin marks a call on the incarnation as in flight. Callers hold mu.
func (s *session) begin(key TaskKey) *attempt {
	a := s.tasks[key]
	if a == nil {
		a = &attempt{bootID: s.bootID}
		s.tasks[key] = a
	}
	a.busy = true
	return a
}

// finish records the outcome of a call under mu.
func (s *session) finish(a *attempt, record func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.busy = false
	record()
}

// current reports whether the log still has the incarnation on this worker in
// the phase, and the session may act on it.
func (s *session) current(key TaskKey, phase state.TaskPhase) bool {
	t, ok := s.Log.State().Tasks.Get(key.Task)
	return ok && t.Incarnation == key.Incarnation && t.Worker == s.worker && t.Phase == phase && s.held()
}

// start sends a start in the background. The start is sent once per
// incarnation; whether it took effect is read from later lists.
func (s *session) start(ctx context.Context, l ListResponse, t *state.Task, key TaskKey) {
	api := s.api
	a := &attempt{
		busy: true, sent: true, bootID: l.BootID,
		startBy: l.NowMs + StartWindow.Milliseconds(),
	}
	s.tasks[key] = a
	req := StartRequest{
		TaskKey: key, Fence: s.fence, BootID: a.bootID, StartByMs: a.startBy,
		Resources: t.Resources, Checkpoint: t.Checkpoint, Owner: t.Owner, Kind: t.Kind,
		ExpectedSeconds: t.ExpectedSeconds,
	}
	s.ops.Go(func() {
		if !s.mayStart(key) {
			s.finish(a, func() { delete(s.tasks, key) })
			return
		}
		err := api.Start(ctx, req)
		s.finish(a, func() { s.started(a, key, err) })
	})
}

// mayStart reports whether the task may be started now. The zone is checked
// here as well as at placement, because it may have been taken out since.
func (s *session) mayStart(key TaskKey) bool {
	st := s.Log.State()
	w, ok := st.Workers.Get(s.worker)
	return ok && w.Condition != state.WorkerLost && !st.ZoneOut(w.Zone) && s.current(key, state.PhaseStarting)
}

// started records the answer to a start.
func (s *session) started(a *attempt, key TaskKey, err error) {
	switch {
	case err == nil:
		s.metrics.starts.WithLabelValues("ok").Inc()
	case errors.Is(err, ErrRefused):
		s.metrics.starts.WithLabelValues("refused").Inc()
		a.refused, a.reason = true, err.Error()
		event.Log(s.Logger, event.TaskStartRefused, slog.String("task", key.String()),
			slog.String("worker", s.worker), slog.Any("error", err))
	case errors.Is(err, ErrStaleFence):
		s.metrics.starts.WithLabelValues("refused").Inc()
		delete(s.tasks, key)
	default:
		s.metrics.starts.WithLabelValues("unknown").Inc()
	}
}

// throttle sets the throttle of the log in the background.
func (s *session) throttle(ctx context.Context, t *state.Task, key TaskKey) {
	api := s.api
	a := s.begin(key)
	s.ops.Go(func() {
		if s.current(key, state.PhaseRunning) {
			// A failure shows in the next list, and the call is repeated.
			_ = api.Throttle(ctx, ThrottleRequest{TaskKey: key, Fence: s.fence, Percent: t.Throttle})
		}
		s.finish(a, func() {})
	})
}

// stop checkpoints the task if it is to resume, and stops it, in the
// background. The next list tells whether the task was stopped or had ended by
// itself before.
func (s *session) stop(ctx context.Context, t *state.Task, key TaskKey) {
	api := s.api
	a := s.begin(key)
	resumes := t.Kind == state.KindBatch && (t.StopReason == state.StopEvict || t.StopReason == state.StopReplace)
	s.ops.Go(func() {
		proceed := true
		if resumes && s.current(key, state.PhaseStopping) {
			res, err := api.Checkpoint(ctx, TaskRequest{TaskKey: key, Fence: s.fence})
			proceed = s.checkpointed(a, key, res.Checkpoint, err)
		}
		confirmed := false
		if proceed && s.current(key, state.PhaseStopping) {
			confirmed = api.Stop(ctx, TaskRequest{TaskKey: key, Fence: s.fence}) == nil
		}
		s.finish(a, func() {
			if confirmed {
				s.metrics.stops.Inc()
			}
		})
	})
}

// checkpointed records the outcome of a checkpoint and reports whether to go
// on with the stop.
func (s *session) checkpointed(a *attempt, key TaskKey, checkpoint string, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		a.checkpoint = checkpoint
		return true
	}
	a.checkpointFailures++
	event.Log(s.Logger, event.TaskCheckpointFailed, slog.String("task", key.String()),
		slog.String("worker", s.worker), slog.Any("error", err))
	return a.checkpointFailures >= maxCheckpointFailures
}

// stopSuperseded stops, in the background, an incarnation that may no longer run.
func (s *session) stopSuperseded(ctx context.Context, key TaskKey) {
	api := s.api
	a := s.begin(key)
	event.Log(s.Logger, event.TaskUnknownStopped, slog.String("task", key.String()), slog.String("worker", s.worker))
	s.ops.Go(func() {
		if s.held() && superseded(s.Log.State(), key) {
			// A failure shows in the next list, and the call is repeated.
			_ = api.Stop(ctx, TaskRequest{TaskKey: key, Fence: s.fence})
		}
		s.finish(a, func() {})
	})
}
