package state

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// workflowRetentionMillis is how long an ended workflow is retained, in
	// milliseconds. Within that time clients can query its state, and delayed
	// duplicates of its submission are recognised.
	workflowRetentionMillis = 10 * 60 * 1000
	// removedWorkerRetentionMillis is how long removed worker incarnations are
	// recorded, in milliseconds. It is much longer than a report can be
	// delayed in transit.
	removedWorkerRetentionMillis = 10 * 60 * 1000
	// MaxWorkflowTasks is the maximum number of tasks of one workflow over all
	// occurrences.
	MaxWorkflowTasks = 1 << 16
)

// setQueues replaces the queue configuration if the new version is higher than
// the current one.
func (tx *txn) setQueues(b *SetQueues) Result {
	const object = "queues"
	if tx.Queues != nil && b.Config.Version <= tx.Queues.Version {
		r := tx.refuse(CodeStale, object, "version %d is not higher than %d", b.Config.Version, tx.Queues.Version)
		r.ObjectVersion = tx.Queues.Version
		return r
	}
	b.Config.FormerTenants = tx.formerTenants(b.Config.Tenants)
	tx.Queues = &b.Config
	return tx.changed(object)
}

// formerTenants returns the tenants that are not among the given ones any more
// and have open workflows. If there are no tenants, nothing is limited by them.
func (tx *txn) formerTenants(tenants []Tenant) []Tenant {
	if tx.Queues == nil || len(tenants) == 0 {
		return nil
	}
	former := make(map[string]Tenant)
	for _, t := range slices.Concat(tx.Queues.FormerTenants, tx.Queues.Tenants) {
		t.Keys = nil
		former[t.Name] = t
	}
	for _, t := range tenants {
		delete(former, t.Name)
	}
	open := make(map[string]Tenant)
	if len(former) > 0 {
		for id := range tx.OpenWorkflows() {
			if w, ok := tx.Workflows.Get(id); ok {
				if t, removed := former[w.Spec.Tenant]; removed {
					open[t.Name] = t
				}
			}
		}
	}
	var all []Tenant
	for _, name := range slices.Sorted(maps.Keys(open)) {
		all = append(all, open[name])
	}
	return all
}

func (tx *txn) setEvacuation(b *SetEvacuation) Result {
	if b.Evacuate {
		tx.Evacuated = tx.Evacuated.Put(b.Zone, b.Zone)
	} else {
		tx.Evacuated = tx.Evacuated.Delete(b.Zone)
	}
	return tx.changed("zone/" + b.Zone)
}

func (tx *txn) setInterference(b *SetInterference) Result {
	tx.Interference = b
	return tx.changed("pressures")
}

func (tx *txn) setPoolWorkers(b *SetPoolWorkers) Result {
	for id, d := range tx.RemovedWorkers.All() {
		if tx.now-d.At > removedWorkerRetentionMillis {
			tx.RemovedWorkers = tx.RemovedWorkers.Delete(id)
		}
	}
	for _, w := range b.Removed {
		old, ok := tx.PoolWorkers.Get(w.ID)
		if !ok || old.StartedAt != w.StartedAt {
			continue
		}
		tx.PoolWorkers = tx.PoolWorkers.Delete(w.ID)
		if old.Draining && old.StartedAt != 0 {
			tx.RemovedWorkers = tx.RemovedWorkers.Put(w.ID, &RemovedWorker{ID: w.ID, StartedAt: w.StartedAt, At: tx.now})
		}
	}
	for i := range b.Updated {
		w := &b.Updated[i]
		if old, ok := tx.PoolWorkers.Get(w.ID); ok && old.StartedAt > w.StartedAt || tx.WasRemoved(w) {
			continue
		} else if ok && old.StartedAt == w.StartedAt && w.StartedAt != 0 {
			w.Draining = w.Draining || old.Draining
		}
		tx.PoolWorkers = tx.PoolWorkers.Put(w.ID, w)
	}
	return tx.changed("pool-workers")
}

// MaxRefusedWorkflows bounds the refused submissions that are remembered. Without
// room for another one, submissions are accepted.
const MaxRefusedWorkflows = 10_000

// refuseWorkflow refuses a submission unless it is stored.
func (tx *txn) refuseWorkflow(b *RefuseWorkflow) Result {
	object := "workflow/" + b.ID
	if _, ok := tx.workflows.get(b.ID); ok {
		return tx.refuse(CodeConflict, object, "%s exists", object)
	}
	if r, ok := tx.RefusedWorkflows.Get(b.ID); ok && r.Until > tx.now {
		return tx.refusedUntil(object, r)
	}
	if tx.RefusedWorkflows.Len() >= MaxRefusedWorkflows {
		for id, r := range tx.RefusedWorkflows.All() {
			if r.Until <= tx.now {
				tx.RefusedWorkflows = tx.RefusedWorkflows.Delete(id)
			}
		}
	}
	if tx.RefusedWorkflows.Len() >= MaxRefusedWorkflows {
		return tx.refuse(CodeConflict, object, "%d submissions are refused already", MaxRefusedWorkflows)
	}
	r := &RefusedWorkflow{ID: b.ID, Until: tx.now + b.ForMillis}
	tx.RefusedWorkflows = tx.RefusedWorkflows.Put(b.ID, r)
	return tx.refusedUntil(object, r)
}

func (tx *txn) refusedUntil(object string, r *RefusedWorkflow) Result {
	return tx.refuseUntil(object, r.Until, "a copy of the submission was refused")
}

// refuseUntil refuses a command whose refusal ends at a time, in Unix
// milliseconds.
func (tx *txn) refuseUntil(object string, until int64, reason string) Result {
	result := tx.refuse(CodeRefused, object, "%s", reason)
	result.ObjectVersion = uint64(until)
	return result
}

func (tx *txn) submitWorkflow(b *SubmitWorkflow) Result {
	object := "workflow/" + b.Spec.ID
	if _, ok := tx.workflows.get(b.Spec.ID); ok {
		return Result{Code: CodeOK, Object: object}
	}
	if r, ok := tx.RefusedWorkflows.Get(b.Spec.ID); ok {
		if r.Until > tx.now {
			return tx.refusedUntil(object, r)
		}
		tx.RefusedWorkflows = tx.RefusedWorkflows.Delete(b.Spec.ID)
	}
	if r, ok := tx.CancelledSubmissions.Get(cancelledKey(b.Spec.Tenant, b.Spec.ID)); ok && r.Until > tx.now {
		return tx.refuseUntil(object, r.Until, "the submission was cancelled before it arrived")
	}
	tasks, ok := b.Spec.taskCount()
	if !ok {
		return tx.refuse(CodeInvalid, object, "a workflow has 1 to %d tasks, and none of its steps is empty", MaxWorkflowTasks)
	}
	w := &Workflow{Spec: b.Spec, Phase: WorkflowQueued, SubmittedAt: tx.now, Tasks: make([]WorkflowTask, tasks)}
	tx.workflows.put(b.Spec.ID, w)
	tx.openWorkflows.put(b.Spec.ID, struct{}{})
	return tx.changed(object)
}

func (tx *txn) cancelWorkflow(b *CancelWorkflow) Result {
	object := "workflow/" + b.ID
	old, ok := tx.workflows.get(b.ID)
	if !ok && b.ForMillis > 0 && !tx.recordCancelled(b) {
		return tx.refuse(CodeConflict, object, "%d submissions were cancelled before they arrived", MaxCancelledSubmissions)
	}
	if !ok || b.OnlyOwn && old.Spec.Tenant != "" && old.Spec.Tenant != b.Tenant {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object)
	}
	if !old.Phase.Ended() {
		w := *old
		tx.endWorkflow(&w, WorkflowCancelled)
	}
	return tx.changed(object)
}

// MaxCancelledSubmissions bounds the submissions that are remembered because they
// were cancelled before they arrived. Without room for another one, its
// cancellation is refused rather than an earlier one forgotten: clients can send
// any number of them.
const MaxCancelledSubmissions = 10_000

// recordCancelled records the cancellation of a submission that may still arrive.
// It returns false if there is no room for it.
func (tx *txn) recordCancelled(b *CancelWorkflow) bool {
	for ageKey, k := range tx.cancelledByAge.All() {
		if r, ok := tx.CancelledSubmissions.Get(k); ok && r.Until > tx.now {
			break
		}
		tx.CancelledSubmissions = tx.CancelledSubmissions.Delete(k)
		tx.cancelledByAge = tx.cancelledByAge.Delete(ageKey)
	}
	k := cancelledKey(b.Tenant, b.ID)
	if old, ok := tx.CancelledSubmissions.Get(k); ok {
		tx.cancelledByAge = tx.cancelledByAge.Delete(cancelledAgeKey(old))
	} else if tx.CancelledSubmissions.Len() >= MaxCancelledSubmissions {
		return false
	}
	r := &CancelledSubmission{ID: b.ID, Tenant: b.Tenant, Until: tx.now + b.ForMillis}
	tx.CancelledSubmissions = tx.CancelledSubmissions.Put(k, r)
	tx.cancelledByAge = tx.cancelledByAge.Put(cancelledAgeKey(r), k)
	return true
}

func cancelledKey(tenant, id string) string { return key(tenant, id) }

func cancelledAgeKey(r *CancelledSubmission) string {
	return key(fmt.Sprintf("%016x", r.Until), cancelledKey(r.Tenant, r.ID))
}

// endWorkflow stores an ended workflow without its tasks, steps and payload.
// The remaining fields are those that clients can still query.
func (tx *txn) endWorkflow(w *Workflow, phase WorkflowPhase) {
	w.RunningAtEnd = w.running()
	w.Phase, w.EndedAt, w.Tasks = phase, tx.now, nil
	w.Spec.Steps, w.Spec.Payload = nil, ""
	tx.workflows.put(w.Spec.ID, w)
	tx.openWorkflows.delete(w.Spec.ID)
	tx.endedWorkflows.put(endedWorkflowKey(w), w.Spec.ID)
}

// running returns the total size of the tasks of a tenant's workflow that are
// recorded as started. Without a tenant, nothing is limited by it.
func (w *Workflow) running() Resources {
	var total Resources
	if w.Spec.Tenant == "" {
		return total
	}
	for i := range w.Tasks {
		if w.Tasks[i].Phase == TaskStarted {
			total = total.Add(w.Spec.Steps[w.Spec.Position(i).Step].Size)
		}
	}
	return total
}

func endedWorkflowKey(w *Workflow) string { return key(fmt.Sprintf("%016x", w.EndedAt), w.Spec.ID) }

// recordTasks applies the ends before the starts, because one command may
// contain the end of a run and the next start of the same task.
func (tx *txn) recordTasks(b *RecordTasks) Result {
	changed := make(map[string]*Workflow)
	open := func(id string) *Workflow {
		if w := changed[id]; w != nil {
			return w
		}
		old, ok := tx.workflows.get(id)
		if !ok || old.Phase.Ended() {
			return nil
		}
		w := *old
		w.Tasks = slices.Clone(old.Tasks)
		changed[id] = &w
		return &w
	}
	for _, r := range b.Answered {
		if w := open(r.Workflow); w != nil {
			w.recordAnswered(r)
		}
	}
	for _, r := range b.Settled {
		if w := open(r.Workflow); w != nil {
			w.recordSettled(r)
		}
	}
	for _, e := range b.Ends {
		if w := open(e.Workflow); w != nil {
			w.recordEnd(e, tx.now)
		}
	}
	for _, s := range b.Starts {
		if w := open(s.Workflow); w != nil {
			w.recordStart(s)
		}
	}
	for _, id := range sortedKeys(changed) {
		w := changed[id]
		if phase := w.outcome(); phase.Ended() {
			tx.endWorkflow(w, phase)
			continue
		}
		tx.workflows.put(id, w)
	}
	return Result{Code: CodeOK}
}

func sortedKeys(m map[string]*Workflow) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// recordStart records the start of a run. It ignores the start unless the task
// is waiting and the run number is higher than the task's last one.
func (w *Workflow) recordStart(s TaskStart) {
	if s.Task < 0 || s.Task >= len(w.Tasks) {
		return
	}
	t := &w.Tasks[s.Task]
	if t.Phase != TaskWaiting || s.Run <= t.Run {
		return
	}
	t.Phase, t.Run, t.Worker, t.WorkerStartedAt, t.StartAnswered = TaskStarted, s.Run, s.Worker, s.WorkerStartedAt, false
	w.Phase = WorkflowActive
}

// recordAnswered records that the start of the current run was carried out.
func (w *Workflow) recordAnswered(r TaskRun) {
	if r.Task < 0 || r.Task >= len(w.Tasks) {
		return
	}
	if t := &w.Tasks[r.Task]; t.Phase == TaskStarted && t.Run == r.Run {
		t.StartAnswered = true
	}
}

// recordSettled records that starts of earlier runs can no longer be carried out.
func (w *Workflow) recordSettled(r TaskRun) {
	if r.Task >= 0 && r.Task < len(w.Tasks) {
		w.Tasks[r.Task].UnansweredOn = ""
	}
}

// recordEnd records how a run ended. A run that completed or failed counts even
// if it was abandoned and a later run was started, because its work is done or
// its attempt is used up.
func (w *Workflow) recordEnd(e TaskEnd, now int64) {
	if e.Task < 0 || e.Task >= len(w.Tasks) {
		return
	}
	t := &w.Tasks[e.Task]
	current := t.Phase == TaskStarted && e.Run == t.Run
	restarted := w.Spec.Steps[w.Spec.Position(e.Task).Step].LongRunning
	if t.Phase == TaskDone || e.Run > t.Run {
		return
	}
	if current && restarted && !e.NotStarted {
		t.EndedAt = now
	}
	if e.Outcome == OutcomeDone && (current || !restarted) {
		w.completeTask(e.Task)
		return
	}
	if e.Outcome == OutcomeFailed && !restarted {
		w.recordFailure(e.Task, e.Run)
	}
	if e.Outcome == OutcomeLost {
		w.recordCrash(e)
	}
	if !current {
		return
	}
	if e.LeaseExpired {
		t.LostRuns = append(slices.Clip(t.LostRuns), LostRun{Run: e.Run, Worker: t.Worker, WorkerStartedAt: t.WorkerStartedAt})
	}
	if e.Unanswered {
		t.UnansweredOn = t.Worker
	}
	t.Phase, t.Worker, t.WorkerStartedAt, t.StartAnswered = TaskWaiting, "", 0, false
	if e.Checkpoint != "" {
		w.storeCheckpoint(e.Task, e.Checkpoint)
	}
}

// gang returns all tasks of the task's gang, or only the task itself if its
// step is not a gang.
func (w *Workflow) gang(task int) []WorkflowTask {
	p := w.Spec.Position(task)
	if !w.Spec.Steps[p.Step].Gang {
		return w.Tasks[task : task+1]
	}
	first := w.Spec.FirstTask(p.Occurrence, p.Step)
	return w.Tasks[first : first+w.Spec.Steps[p.Step].Count]
}

// completeTask marks a task and all members of its gang as done. Long-running
// tasks return to TaskWaiting and are restarted instead.
func (w *Workflow) completeTask(task int) {
	restarted := w.Spec.Steps[w.Spec.Position(task).Step].LongRunning
	tasks := w.gang(task)
	for i := range tasks {
		tasks[i].Worker, tasks[i].WorkerStartedAt = "", 0
		tasks[i].Phase = TaskDone
		if restarted {
			tasks[i].Phase = TaskWaiting
		}
	}
}

// recordFailure counts a failed run. The failures of several gang members in
// the same run count once.
func (w *Workflow) recordFailure(task int, run uint64) {
	t := &w.gang(task)[0]
	if slices.Contains(t.FailedRuns, run) {
		return
	}
	t.FailedRuns = append(slices.Clip(t.FailedRuns), run)
	t.Failures++
}

// recordCrash records the evidence of a run whose worker crashed. A run counts
// once.
func (w *Workflow) recordCrash(e TaskEnd) {
	t := &w.Tasks[e.Task]
	if e.Cleared {
		t.CrashedRuns, t.UnexplainedCrashes, t.IsolatedCrashes, t.ExplainedRuns = nil, 0, 0, nil
	}
	t.LongestCrash = max(t.LongestCrash, e.WorkedMillis)
	if e.Explained && !slices.Contains(t.ExplainedRuns, e.Run) {
		t.ExplainedRuns = append(slices.Clip(t.ExplainedRuns), e.Run)
	}
	if e.Crash != CrashNone || e.Explained || e.Resolved {
		t.LostRuns = slices.DeleteFunc(slices.Clone(t.LostRuns), func(l LostRun) bool { return l.Run == e.Run })
	}
	if e.Crash != CrashNone && !slices.Contains(t.CrashedRuns, e.Run) {
		t.CrashedRuns = append(slices.Clip(t.CrashedRuns), e.Run)
		if e.Crash >= CrashUnexplained {
			t.UnexplainedCrashes++
		}
		if e.Crash == CrashIsolated {
			t.IsolatedCrashes++
		}
	}
	if e.GiveUp != "" {
		w.Reason = e.GiveUp
	}
}

func (w *Workflow) storeCheckpoint(task int, checkpoint string) {
	tasks := w.gang(task)
	for i := range tasks {
		tasks[i].Checkpoint = checkpoint
	}
}

// outcome returns the workflow's phase according to the state of its tasks.
func (w *Workflow) outcome() WorkflowPhase {
	if w.Reason != "" {
		return WorkflowFailed
	}
	done := 0
	for i := range w.Tasks {
		t := &w.Tasks[i]
		if t.Phase == TaskDone {
			done++
			continue
		}
		if w.Spec.MaxAttempts > 0 && t.Failures >= w.Spec.MaxAttempts &&
			!w.Spec.Steps[w.Spec.Position(i).Step].LongRunning {
			return WorkflowFailed
		}
	}
	if done == len(w.Tasks) {
		return WorkflowCompleted
	}
	return w.Phase
}

// pruneWorkflow removes the workflow that ended first if its retention time
// has passed.
func (tx *txn) pruneWorkflow() {
	for ageKey, id := range tx.EndedWorkflows() {
		w, ok := tx.Workflows.Get(id)
		if ok && tx.now-w.EndedAt < workflowRetentionMillis {
			return
		}
		tx.Workflows = tx.Workflows.Delete(id)
		tx.State.endedWorkflows = tx.State.endedWorkflows.Delete(ageKey)
		return
	}
}
