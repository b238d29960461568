package worker

import (
	"context"
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/state"
)

// maxCheckpointFailures is how often a checkpoint is tried before a task is
// stopped without a new one.
const maxCheckpointFailures = 3

// attempt is what a session did with one incarnation of a task.
type attempt struct {
	busy bool // a call is in flight
	// sent is false if only an earlier process may have sent a start.
	sent    bool
	bootID  string
	startBy int64 // reading after which a start that was sent is void
	// refused is true if the worker certainly did not start the task.
	refused bool
	reason  string
	// checkpoint is the last one taken for the stop.
	checkpoint         string
	checkpointFailures int
}

// void reports whether no start of the incarnation can take effect after l.
func (a *attempt) void(l ListResponse) bool {
	return a.refused || a.bootID != l.BootID || l.NowMs > a.startBy
}

// round is what one round works on.
type round struct {
	st     *state.State // read before list
	list   ListResponse
	listed map[TaskKey]TaskStatus
	// reports are the events to propose, in order.
	reports []state.TaskReport
}

// reconcile compares the tasks that the log places on the worker with those
// that it listed, and acts on the differences.
func (s *session) reconcile(ctx context.Context, st *state.State, l ListResponse) {
	r := &round{st: st, list: l, listed: make(map[TaskKey]TaskStatus)}
	for _, t := range l.Tasks {
		r.listed[t.TaskKey] = t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make(map[TaskKey]bool)
	// With Start set, each process has fences of its own, and the worker
	// refuses those of earlier ones since the list.
	first := !s.reconciled && s.Start == 0
	s.reconciled = true
	for t := range st.TasksOnWorker(s.worker) {
		key := TaskKey{t.ID, t.Incarnation}
		held[key] = true
		if first {
			s.assumeSent(r, t, key)
		}
		s.reconcileTask(ctx, r, t, key)
	}
	s.stopUnknown(ctx, r, held)
	s.forget(r, held)
	s.report(ctx, r.reports)
}

// assumeSent covers a task that an earlier process of this instance may have
// started under the same fence: its start may still be on its way.
func (s *session) assumeSent(r *round, t *state.Task, key TaskKey) {
	_, listed := r.listed[key]
	if listed || t.Phase == state.PhaseRunning {
		return
	}
	s.tasks[key] = &attempt{bootID: r.list.BootID, startBy: r.list.NowMs + StartWindow.Milliseconds()}
}

// reconcileTask acts on one task that holds a reservation on the worker.
func (s *session) reconcileTask(ctx context.Context, r *round, t *state.Task, key TaskKey) {
	status, listed := r.listed[key]
	a := s.tasks[key]
	if a != nil && a.busy {
		return
	}
	switch {
	case listed && status.State == TaskRunning:
		s.reconcileRunning(ctx, r, t, status)
	case listed:
		r.addEnd(t, status)
	case t.Phase == state.PhaseStarting:
		s.reconcileAbsentStart(ctx, r, t, key, a)
	case a == nil || a.void(r.list):
		// Until then a late duplicate of the start could run it again.
		r.add(key, state.EventStopped, checkpointOf(a), "the task is no longer on the worker")
	}
}

// reconcileRunning acts on a task that runs in the log's incarnation.
func (s *session) reconcileRunning(ctx context.Context, r *round, t *state.Task, status TaskStatus) {
	switch t.Phase {
	case state.PhaseStarting:
		r.add(status.TaskKey, state.EventStarted, "", "")
	case state.PhaseRunning:
		if status.Throttle != t.Throttle {
			s.throttle(ctx, t, status.TaskKey)
		}
	case state.PhaseStopping:
		s.stop(ctx, t, status.TaskKey)
	}
}

// reconcileAbsentStart starts a task, or waits until it is certain whether an
// earlier start took effect.
func (s *session) reconcileAbsentStart(ctx context.Context, r *round, t *state.Task, key TaskKey, a *attempt) {
	switch {
	case a == nil:
		s.start(ctx, r.list, t, key)
	case a.refused:
		r.add(key, state.EventNotStarted, "", a.reason)
	case !a.void(r.list):
	case !a.sent:
		s.start(ctx, r.list, t, key)
	default:
		event.Log(s.Logger, event.TaskStartVoid, slog.String("task", key.String()), slog.String("worker", s.worker))
		r.add(key, state.EventNotStarted, "", "start did not reach the worker in time")
	}
}

// stopUnknown stops what runs on the worker without being placed there.
func (s *session) stopUnknown(ctx context.Context, r *round, held map[TaskKey]bool) {
	for _, status := range r.list.Tasks {
		key := status.TaskKey
		if status.State != TaskRunning || held[key] || !superseded(r.st, key) {
			continue
		}
		if a := s.tasks[key]; a != nil && a.busy {
			continue
		}
		s.stopSuperseded(ctx, key)
	}
}

// superseded reports whether the incarnation may no longer run anywhere. It is
// false for an incarnation that the state does not know yet.
func superseded(st *state.State, key TaskKey) bool {
	t, ok := st.Tasks.Get(key.Task)
	return !ok || t.Incarnation > key.Incarnation || t.Incarnation == key.Incarnation && !t.Holds()
}

// forget drops what is known of incarnations that no longer hold a
// reservation, and lists the ended ones that the worker may forget. Both wait
// until no start of the incarnation can take effect any more.
func (s *session) forget(r *round, held map[TaskKey]bool) {
	for key, a := range s.tasks {
		if !held[key] && !a.busy && a.void(r.list) {
			delete(s.tasks, key)
		}
	}
	s.ended = s.ended[:0]
	for _, t := range r.list.Tasks {
		if t.State != TaskRunning && s.tasks[t.TaskKey] == nil && !held[t.TaskKey] && superseded(r.st, t.TaskKey) {
			s.ended = append(s.ended, t.TaskKey)
		}
	}
}

// report proposes the events of a round in the background. While an earlier
// report is in flight it does nothing; the next round finds the same events.
func (s *session) report(ctx context.Context, reports []state.TaskReport) {
	if len(reports) == 0 || s.reporting {
		return
	}
	s.reporting = true
	c := state.NewCommand(state.ReportTasks{Worker: s.worker, Fence: s.fence, Reports: reports})
	s.ops.Go(func() {
		_, err := s.propose(ctx, c)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.reporting = false
		if err != nil {
			event.Log(s.Logger, event.TaskReportFailed, slog.String("worker", s.worker), slog.Any("error", err))
			return
		}
		for _, r := range reports {
			s.metrics.reports.WithLabelValues(string(r.Event)).Inc()
		}
	})
}

// add appends an event of an incarnation.
func (r *round) add(key TaskKey, e state.TaskEvent, checkpoint, reason string) {
	r.reports = append(r.reports, state.TaskReport{
		Task: key.Task, Incarnation: key.Incarnation, Event: e, Checkpoint: checkpoint, Reason: reason,
	})
}

// addEnd appends the events of a task that ended on the worker by itself.
func (r *round) addEnd(t *state.Task, status TaskStatus) {
	if t.Phase == state.PhaseStarting {
		r.add(status.TaskKey, state.EventStarted, "", "")
	}
	e := state.EventExited
	if status.State == TaskFailed {
		e = state.EventFailed
	}
	r.add(status.TaskKey, e, "", status.ExitReason)
}

func checkpointOf(a *attempt) string {
	if a == nil {
		return ""
	}
	return a.checkpoint
}
