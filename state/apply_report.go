package state

import "slices"

func (tx *txn) reportTasks(b *ReportTasks) Result {
	object := "worker/" + b.Worker
	if r, ok := tx.checkFence(AssignWorker, b.Worker, b.Fence); !ok {
		return r
	}
	for _, rep := range b.Reports {
		t, ok := tx.tasks.get(rep.Task)
		if !ok || t.Worker != b.Worker || t.Incarnation != rep.Incarnation || !t.Holds() {
			continue
		}
		tx.report(t, rep)
	}
	return Result{Code: CodeOK, Object: object}
}

// checkFence refuses a command of an owner other than the current one.
func (tx *txn) checkFence(kind AssignmentKind, id string, fence uint64) (Result, bool) {
	a, ok := tx.assignments.get(AssignmentKey(kind, id))
	if !ok || a.Fence != fence {
		return tx.refuse(CodeStale, string(kind)+"/"+id, "fence %d is not that of the current owner", fence), false
	}
	return Result{}, true
}

func (tx *txn) report(t *Task, rep TaskReport) {
	switch rep.Event {
	case EventStarted:
		tx.started(t, rep)
	case EventStopped:
		tx.ended(t, rep.Checkpoint, rep.Reason)
	case EventNotStarted:
		if t.Phase != PhaseRunning {
			tx.ended(t, rep.Checkpoint, rep.Reason)
		}
	case EventExited:
		tx.exited(t, rep)
	case EventFailed:
		tx.failed(t, rep)
	}
}

// started records that the task runs, and the checkpoint if it names one. A
// task that is being stopped goes on being stopped.
func (tx *txn) started(old *Task, rep TaskReport) {
	t := *old
	if old.Phase == PhaseStarting {
		t.Phase, t.StartedAt = PhaseRunning, tx.now
	}
	if rep.Checkpoint != "" {
		t.Checkpoint = rep.Checkpoint
	}
	if t.Phase != old.Phase || t.Checkpoint != old.Checkpoint {
		tx.putTask(old, &t)
	}
}

// exited completes a batch task. A replica is meant to run on, so its exit is
// a failure.
func (tx *txn) exited(t *Task, rep TaskReport) {
	if t.Kind == KindLatencyCritical {
		tx.failed(t, rep)
		return
	}
	tx.clearFailures(t.Worker)
	tx.finish(t, PhaseCompleted, rep.Reason)
}

func (tx *txn) clearFailures(worker string) {
	old, ok := tx.workers.get(worker)
	if !ok || len(old.FailedOwners) == 0 {
		return
	}
	w := *old
	w.FailedOwners = nil
	tx.workers.put(w.ID, &w)
}

// failed records a failed run, and requeues the task or fails it with its job.
func (tx *txn) failed(old *Task, rep TaskReport) {
	if old.Phase == PhaseStopping && ends(old.StopReason) {
		tx.finish(old, PhaseCancelled, old.Reason)
		return
	}
	tx.noteFailure(old.Worker, old.Owner)
	t := *old
	t.Failures = append(slices.Clone(old.Failures), Failure{
		Worker: old.Worker, Incarnation: old.Incarnation, At: tx.now, Reason: rep.Reason,
	})
	if t.Kind == KindLatencyCritical && len(t.Failures) > maxFailures {
		t.Failures = t.Failures[len(t.Failures)-maxFailures:]
	}
	tx.putTask(old, &t)
	if t.Kind == KindBatch && failedWorkers(&t) >= maxFailedWorkers {
		reason := failureHistory(&t)
		tx.finish(&t, PhaseFailed, reason)
		tx.endJob(t.Owner, JobFailed, reason)
		return
	}
	tx.requeue(&t, rep.Checkpoint, rep.Reason)
}

// noteFailure adds the owner of a failed task to the worker's record.
func (tx *txn) noteFailure(worker, owner string) {
	old, ok := tx.workers.get(worker)
	if !ok {
		return
	}
	w := *old
	if !slices.Contains(w.FailedOwners, owner) {
		w.FailedOwners = append(slices.Clone(w.FailedOwners), owner)
	}
	if w.QuarantinedAt != 0 {
		w.QuarantinedAt = tx.now
	}
	tx.workers.put(w.ID, &w)
}
