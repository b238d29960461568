package worker

import (
	"context"
	"errors"
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/state"
)

// beginCall marks a call for the incarnation as in flight. The caller must hold
// mu.
func (s *session) beginCall(key TaskKey) *attempt {
	a := s.tasks[key]
	if a == nil {
		a = &attempt{bootID: s.bootID}
		s.tasks[key] = a
	}
	a.inFlight = true
	return a
}

// finishCall marks the call as finished and runs record while holding mu.
func (s *session) finishCall(a *attempt, record func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a.inFlight = false
	record()
}

// isCurrent reports whether the incarnation is still on this worker and in the
// phase according to the log, and the session may act on the worker.
func (s *session) isCurrent(key TaskKey, phase state.TaskPhase) bool {
	t, ok := s.Log.State().Tasks.Get(key.Task)
	return ok && t.Incarnation == key.Incarnation && t.Worker == s.worker && t.Phase == phase && s.mayAct()
}

// start sends a start in the background. It is sent only once for each
// incarnation. Later lists show whether it took effect.
func (s *session) start(ctx context.Context, l ListResponse, t *state.Task, key TaskKey) {
	api := s.api
	a := &attempt{
		inFlight: true, sent: true, bootID: l.BootID,
		startBy: l.NowMs + StartWindow.Milliseconds(),
	}
	s.tasks[key] = a
	req := StartRequest{
		TaskKey: key, Fence: s.fence, BootID: a.bootID, StartByMs: a.startBy,
		Resources: t.Resources, Checkpoint: t.Checkpoint, Owner: t.Owner, Kind: t.Kind,
		ExpectedSeconds: t.ExpectedSeconds,
	}
	s.background.Go(func() {
		if !s.mayStart(key) {
			s.finishCall(a, func() { delete(s.tasks, key) })
			return
		}
		err := api.Start(ctx, req)
		s.finishCall(a, func() { s.recordStartResponse(a, key, err) })
	})
}

// mayStart reports whether the task may be started now. The zone is checked
// again, because it may have been drained since the placement.
func (s *session) mayStart(key TaskKey) bool {
	st := s.Log.State()
	w, ok := st.Workers.Get(s.worker)
	return ok && w.Condition != state.WorkerLost && !st.IsZoneDrained(w.Zone) && s.isCurrent(key, state.PhaseStarting)
}

// recordStartResponse records the response to a start.
func (s *session) recordStartResponse(a *attempt, key TaskKey, err error) {
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

// throttle applies the throttle recorded in the log to the task, in the
// background.
func (s *session) throttle(ctx context.Context, t *state.Task, key TaskKey) {
	api := s.api
	a := s.beginCall(key)
	s.background.Go(func() {
		if s.isCurrent(key, state.PhaseRunning) {
			// On failure the next list shows the old throttle, and the call is repeated.
			_ = api.Throttle(ctx, ThrottleRequest{TaskKey: key, Fence: s.fence, Percent: t.Throttle})
		}
		s.finishCall(a, func() {})
	})
}

// stop stops a task in the background. It takes a checkpoint first if the task
// will be requeued. The next list shows whether the task was stopped or had
// already ended by itself.
func (s *session) stop(ctx context.Context, t *state.Task, key TaskKey) {
	api := s.api
	a := s.beginCall(key)
	resumes := t.Kind == state.KindBatch && (t.StopReason == state.StopEvict || t.StopReason == state.StopReplace)
	s.background.Go(func() {
		proceed := true
		if resumes && s.isCurrent(key, state.PhaseStopping) {
			res, err := api.Checkpoint(ctx, TaskRequest{TaskKey: key, Fence: s.fence})
			proceed = s.recordCheckpoint(a, key, res.Checkpoint, err)
		}
		confirmed := false
		if proceed && s.isCurrent(key, state.PhaseStopping) {
			confirmed = api.Stop(ctx, TaskRequest{TaskKey: key, Fence: s.fence}) == nil
		}
		s.finishCall(a, func() {
			if confirmed {
				s.metrics.stops.Inc()
			}
		})
	})
}

// recordCheckpoint records the outcome of a checkpoint and reports whether the
// task should be stopped now.
func (s *session) recordCheckpoint(a *attempt, key TaskKey, checkpoint string, err error) bool {
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

// stopSuperseded stops an incarnation that may no longer run, in the background.
func (s *session) stopSuperseded(ctx context.Context, key TaskKey) {
	api := s.api
	a := s.beginCall(key)
	event.Log(s.Logger, event.UnknownTaskStopped, slog.String("task", key.String()), slog.String("worker", s.worker))
	s.background.Go(func() {
		if s.mayAct() && superseded(s.Log.State(), key) {
			// On failure the next list shows the task again, and the call is repeated.
			_ = api.Stop(ctx, TaskRequest{TaskKey: key, Fence: s.fence})
		}
		s.finishCall(a, func() {})
	})
}
