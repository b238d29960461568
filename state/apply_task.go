package state

import (
	"fmt"
	"strings"
)

const (
	// maxFailedWorkers is the number of different workers with a failed run
	// at which a batch task fails permanently.
	maxFailedWorkers = 3
	// maxFailures is the maximum length of a replica's failure history.
	// Replicas are requeued without limit.
	maxFailures = 16
)

// putTask replaces the task old by t and updates the indexes, reservations and
// team usage. old is nil for a new task.
func (tx *txn) putTask(old, t *Task) {
	if old == nil {
		tx.tasksByOwner.put(key(string(t.Kind), t.Owner, t.ID), struct{}{})
	}
	if old != nil && old.Phase == PhasePending && t.Phase != PhasePending {
		tx.pending.delete(queueKey(old))
	}
	if t.Phase == PhasePending && (old == nil || old.Phase != PhasePending) {
		tx.pending.put(queueKey(t), struct{}{})
	}
	if old != nil && old.HasReservation() && !t.HasReservation() {
		tx.tasksByWorker.delete(key(old.Worker, old.ID))
		tx.reserve(old, Resources{}.Sub(old.Resources))
	}
	if t.HasReservation() {
		tx.tasksByWorker.put(key(t.Worker, t.ID), t)
	}
	if t.HasReservation() && (old == nil || !old.HasReservation()) {
		tx.reserve(t, t.Resources)
	}
	tx.tasks.put(t.ID, t)
}

// reserve adds size, which may be negative, to the reserved resources of the
// task's worker and to the usage of its team.
func (tx *txn) reserve(t *Task, size Resources) {
	if old, ok := tx.workers.get(t.Worker); ok {
		w := *old
		w.Reserved = w.Reserved.Add(size)
		tx.workers.put(w.ID, &w)
	}
	if t.Kind != KindBatch || t.Team == "" {
		return
	}
	used, _ := tx.teamUsage.get(t.Team)
	used = used.Add(size)
	if used.IsZero() {
		tx.teamUsage.delete(t.Team)
		return
	}
	tx.teamUsage.put(t.Team, used)
}

func (tx *txn) removeTask(t *Task) {
	cancelled := *t
	cancelled.Phase = PhaseCancelled
	tx.putTask(t, &cancelled)
	tx.tasks.delete(t.ID)
	tx.tasksByOwner.delete(key(string(t.Kind), t.Owner, t.ID))
}

func (tx *txn) placeTasks(b *PlaceTasks) Result {
	refused, reason := 0, ""
	for _, p := range b.Placements {
		if msg := tx.placeTask(p); msg != "" {
			refused++
			reason = msg
		}
	}
	if refused == 0 {
		return Result{Code: CodeOK}
	}
	r := tx.refuse(CodeOK, "", "%d of %d placements refused; the last one: %s", refused, len(b.Placements), reason)
	if refused == len(b.Placements) {
		r.Code = CodeStale
	}
	return r
}

// placeTask reserves resources for the task on the worker and moves it to
// PhaseStarting. It returns the reason if the placement is refused, else "".
func (tx *txn) placeTask(p Placement) string {
	old, ok := tx.tasks.get(p.Task)
	if !ok || old.Phase != PhasePending || p.Incarnation != old.Incarnation+1 {
		return fmt.Sprintf("task %s is not pending with incarnation %d", p.Task, p.Incarnation-1)
	}
	w, ok := tx.workers.get(p.Worker)
	if !ok {
		return fmt.Sprintf("worker %s does not exist", p.Worker)
	}
	if msg := tx.checkWorker(w, old.Resources); msg != "" {
		return msg
	}
	if team, ok := tx.Teams.Get(old.Team); ok && old.Kind == KindBatch {
		used, _ := tx.teamUsage.get(old.Team)
		if !used.Add(old.Resources).WithinQuota(team.Quota) {
			return fmt.Sprintf("quota of team %s is used up", old.Team)
		}
	}
	t := *old
	t.Phase, t.Worker, t.Incarnation = PhaseStarting, w.ID, p.Incarnation
	t.StopReason, t.Reason, t.StartedAt, t.Throttle = "", "", 0, 0
	tx.putTask(old, &t)
	return ""
}

func (tx *txn) checkWorker(w *Worker, size Resources) string {
	switch {
	case tx.IsZoneDrained(w.Zone):
		return fmt.Sprintf("availability zone %s is out", w.Zone)
	case w.Condition == WorkerLost:
		return fmt.Sprintf("worker %s is lost", w.ID)
	case w.Condition == WorkerQuarantined && tx.hasTasks(w.ID):
		return fmt.Sprintf("worker %s is quarantined and holds a task", w.ID)
	case !w.Reserved.Add(size).FitsIn(w.Capacity):
		return fmt.Sprintf("worker %s has not enough left", w.ID)
	}
	return ""
}

func (tx *txn) hasTasks(worker string) bool {
	return len(tx.tasksByWorker.keys(key(worker, ""))) > 0
}

func (tx *txn) stopTasks(b *StopTasks) Result {
	stale := 0
	for _, s := range b.Stops {
		t, ok := tx.tasks.get(s.Task)
		if !ok || t.Incarnation != s.Incarnation || t.Ended() {
			stale++
			continue
		}
		tx.stopOrEndTask(t, s.StopReason, s.Reason)
	}
	if stale > 0 && stale == len(b.Stops) {
		return tx.refuse(CodeStale, "", "no task is in the named incarnation")
	}
	return Result{Code: CodeOK}
}

func (tx *txn) stopOrEndTask(t *Task, stopReason StopReason, reason string) {
	if t.HasReservation() {
		tx.stopTask(t, stopReason, reason)
		return
	}
	if stopReason == StopCancel || stopReason == StopRemove {
		tx.endTask(t.ID, stopReason, reason)
	}
}

// stopTask moves a task with a reservation to PhaseStopping. A stop that ends
// the task takes precedence over one that requeues it.
func (tx *txn) stopTask(old *Task, stopReason StopReason, reason string) {
	if old.Phase == PhaseStopping && (endsTask(old.StopReason) || !endsTask(stopReason)) {
		return
	}
	t := *old
	t.Phase, t.StopReason, t.Reason = PhaseStopping, stopReason, reason
	tx.putTask(old, &t)
}

// endsTask reports whether a stop for the reason ends the task permanently.
func endsTask(r StopReason) bool { return r == StopCancel || r == StopRemove }

// endTask ends a task permanently: a pending task immediately, a task with a
// reservation by stopping it first.
func (tx *txn) endTask(id string, stopReason StopReason, reason string) {
	t, ok := tx.tasks.get(id)
	if !ok || t.Ended() {
		return
	}
	if t.HasReservation() {
		tx.stopTask(t, stopReason, reason)
		return
	}
	tx.finish(t, PhaseCancelled, reason)
}

// finish moves a task to a final phase. Replicas are deleted immediately;
// tasks of a job are retained as long as the job.
func (tx *txn) finish(old *Task, phase TaskPhase, reason string) {
	if old.Kind == KindLatencyCritical {
		tx.removeTask(old)
		return
	}
	t := *old
	t.Phase, t.Reason, t.Throttle, t.EndedAt = phase, reason, 0, tx.now
	tx.putTask(old, &t)
	tx.countEndedTask(t.Owner, phase)
}

// countEndedTask adds one ended task to the counts of its job. It completes the
// job if all its tasks have completed.
func (tx *txn) countEndedTask(job string, phase TaskPhase) {
	old, ok := tx.jobs.get(job)
	if !ok {
		return
	}
	j := *old
	switch phase {
	case PhaseCompleted:
		j.Completed++
	case PhaseFailed:
		j.Failed++
	default:
		j.Cancelled++
	}
	if j.Completed == j.Spec.Tasks && j.Phase == JobActive {
		j.Phase, j.Version = JobCompleted, tx.index
	}
	if j.Completed+j.Failed+j.Cancelled == j.Spec.Tasks {
		j.EndedAt = tx.now
		tx.endedJobsByAge = tx.endedJobsByAge.Put(endedJobKey(&j), job)
	}
	tx.jobs.put(job, &j)
}

// requeue moves a task back to PhasePending. Its incarnation is incremented by
// the next placement.
func (tx *txn) requeue(old *Task, checkpoint, reason string) {
	t := *old
	if old.Phase == PhaseStopping && old.StopReason == StopEvict {
		t.Evictions++
	}
	if checkpoint != "" {
		t.Checkpoint = checkpoint
	}
	t.Phase, t.Worker, t.Reason = PhasePending, "", reason
	t.StopReason, t.Throttle, t.StartedAt = "", 0, 0
	t.QueuedAt = tx.now
	tx.putTask(old, &t)
}

// recordRunEnd handles the confirmed end of a run. It ends a task that was
// stopped permanently and requeues any other task.
func (tx *txn) recordRunEnd(t *Task, checkpoint, reason string) {
	if t.Phase == PhaseStopping && endsTask(t.StopReason) {
		tx.finish(t, PhaseCancelled, t.Reason)
		return
	}
	if reason == "" {
		reason = t.Reason
	}
	tx.requeue(t, checkpoint, reason)
}

func (tx *txn) throttleTask(b *ThrottleTask) Result {
	object := "task/" + b.Task
	old, ok := tx.tasks.get(b.Task)
	if b.Percent < 0 || b.Percent > 100 {
		return tx.refuse(CodeInvalid, object, "percent must be from 0 to 100")
	}
	if !ok || old.Incarnation != b.Incarnation || !old.HasReservation() {
		return tx.refuse(CodeStale, object, "task is not on a worker in incarnation %d", b.Incarnation)
	}
	t := *old
	t.Throttle = b.Percent
	tx.putTask(old, &t)
	return Result{Code: CodeOK, Object: object}
}

func (tx *txn) addReplicas(b *AddReplicas) Result {
	object := "service/" + b.Service
	svc, ok := tx.Services.Get(b.Service)
	if !ok {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	if b.Replaces != "" {
		return tx.addReplacement(svc, b.Replaces)
	}
	missing := svc.Spec.Replicas - tx.countReplicas(b.Service)
	for i := range missing {
		tx.addReplica(svc, i, "")
	}
	return Result{Code: CodeOK, Object: object}
}

// countReplicas returns the number of replicas that have not ended and are not
// being ended, without those that replace such a replica.
func (tx *txn) countReplicas(service string) int64 {
	tx.tasks.commit()
	tx.tasksByOwner.commit()
	var n int64
	for t := range tx.TasksOf(KindLatencyCritical, service) {
		if t.IsActive() && !tx.isStaying(t.Replaces) {
			n++
		}
	}
	return n
}

func (tx *txn) isStaying(id string) bool {
	if id == "" {
		return false
	}
	t, ok := tx.tasks.get(id)
	return ok && t.IsActive()
}

func (tx *txn) addReplacement(svc *Service, replaced string) Result {
	object := "task/" + replaced
	if t, ok := tx.tasks.get(replaced); !ok || !t.IsActive() || t.Kind != KindLatencyCritical || t.Owner != svc.Spec.Name {
		return tx.refuse(CodeStale, object, "no replica of the service to replace")
	}
	for t := range tx.TasksOf(KindLatencyCritical, svc.Spec.Name) {
		if t.Replaces == replaced && t.IsActive() {
			return Result{Code: CodeOK, Object: object}
		}
	}
	tx.addReplica(svc, 0, replaced)
	return Result{Code: CodeOK, Object: object}
}

func (tx *txn) addReplica(svc *Service, n int64, replaces string) {
	tx.putTask(nil, &Task{
		ID:        fmt.Sprintf("%s:%d.%d", svc.Spec.Name, tx.index, n),
		Kind:      KindLatencyCritical,
		Owner:     svc.Spec.Name,
		Team:      svc.Spec.Team,
		Priority:  PriorityUrgent,
		Resources: svc.Spec.Resources,
		Phase:     PhasePending,
		QueuedAt:  tx.now,
		Replaces:  replaces,

		SubmittedAt: tx.now,
	})
}

// failureHistory returns a one-line description of the failures of a task.
func failureHistory(t *Task) string {
	parts := make([]string, len(t.Failures))
	for i, f := range t.Failures {
		parts[i] = fmt.Sprintf("incarnation %d on %s: %s", f.Incarnation, f.Worker, f.Reason)
	}
	return fmt.Sprintf("task %s failed on %d workers (%s)", t.ID, failedWorkers(t), strings.Join(parts, "; "))
}

func failedWorkers(t *Task) int {
	seen := make(map[string]bool, len(t.Failures))
	for _, f := range t.Failures {
		seen[f.Worker] = true
	}
	return len(seen)
}
