package worker

import (
	"context"
	"log/slog"

	"apricotrouter/event"
	"apricotrouter/state"
)

// maxCheckpointFailures is the number of failed checkpoints after which a task
// is stopped without a new checkpoint.
const maxCheckpointFailures = 3

// attempt records the calls of a session for one incarnation of a task.
type attempt struct {
	inFlight bool // a call for the incarnation is in flight
	// sent is whether this session sent a start. If not, an earlier process may
	// have sent one.
	sent    bool
	bootID  string
	startBy int64 // worker's clock reading after which a start has no effect
	// refused is whether the worker refused the start, so the task does not run.
	refused bool
	reason  string
	// checkpoint is the last checkpoint taken before the stop.
	checkpoint         string
	checkpointFailures int
}

// isCanceled reports whether no start of the incarnation can take effect any
// more after the worker responded with l.
func (a *attempt) isCanceled(l ListResponse) bool {
	return a.refused || a.bootID != l.BootID || l.NowMs > a.startBy
}

// reconcilePass is the input and the result of one reconcile pass.
type reconcilePass struct {
	st     *state.State // read before the list
	list   ListResponse
	listed map[TaskKey]TaskStatus
	// reports are the task events to propose, in order.
	reports []state.TaskReport
}

// reconcile compares the tasks placed on the worker according to the log with the
// tasks that the worker listed, and acts on the differences.
func (s *session) reconcile(ctx context.Context, st *state.State, l ListResponse) {
	r := &reconcilePass{st: st, list: l, listed: make(map[TaskKey]TaskStatus)}
	for _, t := range l.Tasks {
		r.listed[t.TaskKey] = t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reserved := make(map[TaskKey]bool)
	// If Start is set, each process has its own fences. The worker refuses the
	// fences of earlier processes since the list, so none of their starts can
	// take effect.
	first := !s.reconciled && s.Start == 0
	s.reconciled = true
	for t := range st.TasksOnWorker(s.worker) {
		key := TaskKey{t.ID, t.Incarnation}
		reserved[key] = true
		if first {
			s.assumeStartInFlight(r, t, key)
		}
		s.reconcileTask(ctx, r, t, key)
	}
	s.stopSupersededTasks(ctx, r, reserved)
	s.pruneAttempts(r, reserved)
	s.report(ctx, r.reports)
}

// assumeStartInFlight records a possible start of the task by an earlier process
// of this instance under the same fence. That start may still be in flight.
func (s *session) assumeStartInFlight(r *reconcilePass, t *state.Task, key TaskKey) {
	_, listed := r.listed[key]
	if listed || t.Phase == state.PhaseRunning {
		return
	}
	s.tasks[key] = &attempt{bootID: r.list.BootID, startBy: r.list.NowMs + StartWindow.Milliseconds()}
}

// reconcileTask acts on one task with a reservation on the worker.
func (s *session) reconcileTask(ctx context.Context, r *reconcilePass, t *state.Task, key TaskKey) {
	status, listed := r.listed[key]
	a := s.tasks[key]
	if a != nil && a.inFlight {
		return
	}
	switch {
	case listed && status.State == TaskRunning:
		s.reconcileRunning(ctx, r, t, status)
	case listed:
		r.addEnd(t, status)
	case t.Phase == state.PhaseStarting:
		s.reconcileAbsentStart(ctx, r, t, key, a)
	case a == nil || a.isCanceled(r.list):
		// Before the start is canceled, a delayed duplicate of it could run the
		// task again.
		r.add(key, state.EventStopped, checkpointOf(a), "the task is no longer on the worker")
	}
}

// reconcileRunning acts on a task whose current incarnation runs on the worker.
func (s *session) reconcileRunning(ctx context.Context, r *reconcilePass, t *state.Task, status TaskStatus) {
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

// reconcileAbsentStart acts on a starting task that the worker did not list. It
// starts the task, or waits until an earlier start can no longer take effect.
func (s *session) reconcileAbsentStart(ctx context.Context, r *reconcilePass, t *state.Task, key TaskKey, a *attempt) {
	switch {
	case a == nil:
		s.start(ctx, r.list, t, key)
	case a.refused:
		r.add(key, state.EventNotStarted, "", a.reason)
	case !a.isCanceled(r.list):
	case !a.sent:
		s.start(ctx, r.list, t, key)
	default:
		event.Log(s.Logger, event.TaskStartExpired, slog.String("task", key.String()), slog.String("worker", s.worker))
		r.add(key, state.EventNotStarted, "", "start did not reach the worker in time")
	}
}

// stopSupersededTasks stops superseded incarnations that run on the worker
// without a reservation.
func (s *session) stopSupersededTasks(ctx context.Context, r *reconcilePass, reserved map[TaskKey]bool) {
	for _, status := range r.list.Tasks {
		key := status.TaskKey
		if status.State != TaskRunning || reserved[key] || !superseded(r.st, key) {
			continue
		}
		if a := s.tasks[key]; a != nil && a.inFlight {
			continue
		}
		s.stopSuperseded(ctx, key)
	}
}

// superseded reports whether the incarnation may no longer run anywhere. It
// returns false for an incarnation that the state does not contain yet.
func superseded(st *state.State, key TaskKey) bool {
	t, ok := st.Tasks.Get(key.Task)
	return !ok || t.Incarnation > key.Incarnation || t.Incarnation == key.Incarnation && !t.HasReservation()
}

// pruneAttempts deletes the attempts of incarnations without a reservation, and
// lists the ended tasks that the worker may forget. Both wait until no start of
// the incarnation can take effect any more.
func (s *session) pruneAttempts(r *reconcilePass, reserved map[TaskKey]bool) {
	for key, a := range s.tasks {
		if !reserved[key] && !a.inFlight && a.isCanceled(r.list) {
			delete(s.tasks, key)
		}
	}
	s.endedTasks = s.endedTasks[:0]
	for _, t := range r.list.Tasks {
		if t.State != TaskRunning && s.tasks[t.TaskKey] == nil && !reserved[t.TaskKey] && superseded(r.st, t.TaskKey) {
			s.endedTasks = append(s.endedTasks, t.TaskKey)
		}
	}
}

// report proposes the events of a reconcile pass in the background. It does
// nothing while an earlier report is in flight, because the next pass finds the
// same events.
func (s *session) report(ctx context.Context, reports []state.TaskReport) {
	if len(reports) == 0 || s.reporting {
		return
	}
	s.reporting = true
	c := state.NewCommand(state.ReportTasks{Worker: s.worker, Fence: s.fence, Reports: reports})
	s.background.Go(func() {
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
func (r *reconcilePass) add(key TaskKey, e state.TaskEvent, checkpoint, reason string) {
	r.reports = append(r.reports, state.TaskReport{
		Task: key.Task, Incarnation: key.Incarnation, Event: e, Checkpoint: checkpoint, Reason: reason,
	})
}

// addEnd appends the events of a task that ended on the worker without a stop.
func (r *reconcilePass) addEnd(t *state.Task, status TaskStatus) {
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
