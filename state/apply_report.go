package state

import "slices"

func (tx *txn) reportTasks(b *ReportTasks) Result {
	object := "worker/" + b.Worker
	if r, ok := tx.checkFence(AssignWorker, b.Worker, b.Fence); !ok {
		return r
	}
	for _, rep := range b.Reports {
		t, ok := tx.tasks.get(rep.Task)
		if !ok || t.Worker != b.Worker || t.Incarnation != rep.Incarnation || !t.HasReservation() {
			continue
		}
		tx.applyReport(t, rep)
	}
	return Result{Code: CodeOK, Object: object}
}

// checkFence returns a CodeStale result and false unless fence is the current
// fence of the assignment.
func (tx *txn) checkFence(kind AssignmentKind, id string, fence uint64) (Result, bool) {
	a, ok := tx.assignments.get(AssignmentKey(kind, id))
	if !ok || a.Fence != fence {
		return tx.refuse(CodeStale, string(kind)+"/"+id, "fence %d is not that of the current owner", fence), false
	}
	return Result{}, true
}

func (tx *txn) applyReport(t *Task, rep TaskReport) {
	switch rep.Event {
	case EventStarted:
		tx.recordRunStart(t, rep)
	case EventStopped:
		tx.recordRunEnd(t, rep.Checkpoint, rep.Reason)
	case EventNotStarted:
		if t.Phase != PhaseRunning {
			tx.recordRunEnd(t, rep.Checkpoint, rep.Reason)
		}
	case EventExited:
		tx.recordRunExit(t, rep)
	case EventFailed:
		tx.recordRunFailure(t, rep)
	}
}

// recordRunStart moves a starting task to PhaseRunning and stores the reported
// checkpoint, if any. A task in PhaseStopping stays in that phase.
func (tx *txn) recordRunStart(old *Task, rep TaskReport) {
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

// recordRunExit completes a batch task. The exit of a replica counts as a
// failure, because replicas run until they are stopped.
func (tx *txn) recordRunExit(t *Task, rep TaskReport) {
	if t.Kind == KindLatencyCritical {
		tx.recordRunFailure(t, rep)
		return
	}
	tx.clearFailedOwners(t.Worker)
	tx.finish(t, PhaseCompleted, rep.Reason)
}

func (tx *txn) clearFailedOwners(worker string) {
	old, ok := tx.workers.get(worker)
	if !ok || len(old.FailedOwners) == 0 {
		return
	}
	w := *old
	w.FailedOwners = nil
	tx.workers.put(w.ID, &w)
}

// recordRunFailure adds a failed run to the task's history and requeues the
// task. A batch task that failed on maxFailedWorkers workers fails instead,
// and its job with it. A task that was being stopped permanently is cancelled.
func (tx *txn) recordRunFailure(old *Task, rep TaskReport) {
	if old.Phase == PhaseStopping && endsTask(old.StopReason) {
		tx.finish(old, PhaseCancelled, old.Reason)
		return
	}
	tx.addFailedOwner(old.Worker, old.Owner)
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

// addFailedOwner adds the owner of a failed task to the worker's FailedOwners
// and restarts the quarantine of a quarantined worker.
func (tx *txn) addFailedOwner(worker, owner string) {
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
