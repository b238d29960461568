package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Retention of records. Request results are kept as long as one of the two
// limits holds, so that a resend finds the first result.
const (
	requestRetentionMillis = 24 * 60 * 60 * 1000
	requestRetentionCount  = 10_000
	auditRetentionCount    = 100_000
	jobRetentionMillis     = 24 * 60 * 60 * 1000
	// pruneLimit bounds the request results removed by one command.
	pruneLimit = 8
)

// txn is the application of one command. It changes a copy of the state.
type txn struct {
	*State
	index uint64
	now   int64 // time of the command, Unix milliseconds

	// oldVersion is the version of the object before the command, for the
	// audit trail.
	oldVersion uint64

	tasks         edit[*Task]
	jobs          edit[*Job]
	workers       edit[*Worker]
	assignments   edit[*Assignment]
	tasksByWorker edit[*Task]
	tasksByOwner  edit[struct{}]
	pending       edit[struct{}]
	byOwner       edit[struct{}]
	teamUsed      edit[Resources]

	workflows      edit[*Workflow]
	openWorkflows  edit[struct{}]
	endedWorkflows edit[string]
}

// Apply returns the state after the command at the given log index, and the
// command's result. It depends on nothing but its arguments. A refused command
// changes at most the audit trail and the kept request results.
func (s *State) Apply(index uint64, c Command) (*State, Result) {
	next := *s
	next.Index = index
	next.Time = max(s.Time, c.Time)
	tx := newTxn(&next, index)
	r := tx.applyOnce(c)
	tx.prune()
	return &next, r
}

func newTxn(s *State, index uint64) *txn {
	return &txn{
		State:         s,
		index:         index,
		now:           s.Time,
		tasks:         edit[*Task]{table: &s.Tasks},
		jobs:          edit[*Job]{table: &s.Jobs},
		workers:       edit[*Worker]{table: &s.Workers},
		assignments:   edit[*Assignment]{table: &s.Assignments},
		tasksByWorker: edit[*Task]{table: &s.tasksByWorker},
		tasksByOwner:  edit[struct{}]{table: &s.tasksByOwner},
		pending:       edit[struct{}]{table: &s.pending},
		byOwner:       edit[struct{}]{table: &s.byOwner},
		teamUsed:      edit[Resources]{table: &s.teamUsed},

		workflows:      edit[*Workflow]{table: &s.Workflows},
		openWorkflows:  edit[struct{}]{table: &s.openWorkflows},
		endedWorkflows: edit[string]{table: &s.endedWorkflows},
	}
}

func (tx *txn) commit() {
	tx.tasks.commit()
	tx.jobs.commit()
	tx.workers.commit()
	tx.assignments.commit()
	tx.tasksByWorker.commit()
	tx.tasksByOwner.commit()
	tx.pending.commit()
	tx.byOwner.commit()
	tx.teamUsed.commit()
	tx.workflows.commit()
	tx.openWorkflows.commit()
	tx.endedWorkflows.commit()
}

// applyOnce applies the command unless it is a resend of a request.
func (tx *txn) applyOnce(c Command) Result {
	if c.RequestID == "" {
		r := tx.dispatch(c)
		tx.commit()
		return r
	}
	digest := requestDigest(c)
	first, seen := tx.Requests.Get(c.RequestID)
	if seen && first.Digest == digest && first.Result.Index != 0 {
		return first.Result
	}
	var r Result
	if seen {
		r = tx.refuse(CodeReusedRequestID, first.Result.Object,
			"request id %q was used with other content", c.RequestID)
	} else {
		r = tx.dispatch(c)
		tx.commit()
		tx.keepResult(c, digest, r)
	}
	tx.audit(c, r)
	return r
}

// requestDigest identifies the content of a request.
func requestDigest(c Command) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{byte(c.Kind >> 8), byte(c.Kind)})
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

func requestAgeKey(r *RequestResult) string { return fmt.Sprintf("%016x", r.Result.Index) }

func (tx *txn) keepResult(c Command, digest uint64, r Result) {
	rec := &RequestResult{RequestID: c.RequestID, Digest: digest, Result: r, At: tx.now}
	tx.Requests = tx.Requests.Put(c.RequestID, rec)
	tx.requestAges = tx.requestAges.Put(requestAgeKey(rec), c.RequestID)
}

func (tx *txn) audit(c Command, r Result) {
	rec := &AuditRecord{
		Sequence:   tx.NextAudit,
		Time:       tx.now,
		Actor:      c.Actor,
		RequestID:  c.RequestID,
		Action:     c.Kind.String(),
		Object:     r.Object,
		OldVersion: tx.oldVersion,
		NewVersion: r.Version,
		Outcome:    string(r.Code),
	}
	tx.Audit = tx.Audit.add(rec)
	tx.NextAudit++
}

// prune removes records that are older than their retention.
func (tx *txn) prune() {
	tx.Audit = tx.Audit.prune(auditRetentionCount)
	for range pruneLimit {
		if !tx.pruneRequest() {
			break
		}
	}
	tx.pruneJob()
	tx.pruneWorkflow()
}

func (tx *txn) pruneRequest() bool {
	if tx.Requests.Len() <= requestRetentionCount {
		return false
	}
	for age, id := range tx.requestAges.All() {
		rec, ok := tx.Requests.Get(id)
		if ok && tx.now-rec.At < requestRetentionMillis {
			return false
		}
		tx.Requests = tx.Requests.Delete(id)
		tx.requestAges = tx.requestAges.Delete(age)
		return true
	}
	return false
}

func endedJobKey(j *Job) string { return key(fmt.Sprintf("%016x", j.EndedAt), j.Spec.ID) }

// pruneJob removes the job that ended first, with its tasks, once it is older
// than its retention.
func (tx *txn) pruneJob() {
	for age, id := range tx.endedJobs.All() {
		j, ok := tx.Jobs.Get(id)
		if ok && tx.now-j.EndedAt < jobRetentionMillis {
			return
		}
		for _, k := range tx.tasksByOwner.keys(key(string(KindBatch), id, "")) {
			tx.tasks.delete(lastPart(k))
			tx.tasksByOwner.delete(k)
		}
		tx.jobs.delete(id)
		tx.commit()
		tx.endedJobs = tx.endedJobs.Delete(age)
		return
	}
}

// applyBody decodes the body of a command and applies it.
func applyBody[B Body](c Command, apply func(*B) Result) Result {
	body := new(B)
	if err := cbor.Unmarshal(c.Body, body); err != nil {
		return Result{Code: CodeInvalid, Message: fmt.Sprintf("decode %s: %v", c.Kind, err)}
	}
	return apply(body)
}

func (tx *txn) dispatch(c Command) Result {
	r := tx.dispatchKind(c)
	r.Index = tx.index
	return r
}

func (tx *txn) dispatchKind(c Command) Result {
	switch c.Kind {
	case KindNoop:
		return Result{Code: CodeOK}
	case KindSetZone:
		return applyBody(c, tx.setZone)
	case KindApplyService:
		return applyBody(c, tx.applyService)
	case KindDeleteService:
		return applyBody(c, tx.deleteService)
	case KindApplyTeam:
		return applyBody(c, tx.applyTeam)
	case KindSubmitJob:
		return applyBody(c, tx.submitJob)
	case KindCancelJobs:
		return applyBody(c, tx.cancelJobs)
	case KindEvictTask:
		return applyBody(c, tx.evictTask)
	case KindFailJob:
		return applyBody(c, tx.failJobCommand)
	case KindAddReplicas:
		return applyBody(c, tx.addReplicas)
	case KindPlaceTasks:
		return applyBody(c, tx.placeTasks)
	case KindStopTasks:
		return applyBody(c, tx.stopTasks)
	case KindThrottleTask:
		return applyBody(c, tx.throttleTask)
	case KindReportTasks:
		return applyBody(c, tx.reportTasks)
	default:
		return tx.dispatchMember(c)
	}
}

// dispatchMember applies the commands on workers, endpoints and instances.
func (tx *txn) dispatchMember(c Command) Result {
	switch c.Kind {
	case KindRegisterWorker:
		return applyBody(c, tx.registerWorker)
	case KindWorkerLost:
		return applyBody(c, tx.markWorkerLost)
	case KindWorkerReturned:
		return applyBody(c, tx.markWorkerReturned)
	case KindWorkerLeaseEnded:
		return applyBody(c, tx.markWorkerLeaseEnded)
	case KindQuarantineWorker:
		return applyBody(c, tx.quarantineWorker)
	case KindAssign:
		return applyBody(c, tx.assign)
	case KindRegisterEndpoint:
		return applyBody(c, tx.registerEndpoint)
	case KindRemoveEndpoint:
		return applyBody(c, tx.removeEndpoint)
	case KindRegisterInstance:
		return applyBody(c, tx.registerInstance)
	case KindHandOver:
		return applyBody(c, tx.handOver)
	case KindSetLedgerBuckets:
		return applyBody(c, tx.setLedgerBuckets)
	default:
		return tx.dispatchWorkflow(c)
	}
}

// dispatchWorkflow applies the commands on workflows and their workers.
func (tx *txn) dispatchWorkflow(c Command) Result {
	switch c.Kind {
	case KindSetQueues:
		return applyBody(c, tx.setQueues)
	case KindSubmitWorkflow:
		return applyBody(c, tx.submitWorkflow)
	case KindCancelWorkflow:
		return applyBody(c, tx.cancelWorkflow)
	case KindRecordTasks:
		return applyBody(c, tx.recordTasks)
	case KindSetPoolWorkers:
		return applyBody(c, tx.setPoolWorkers)
	case KindSetEvacuation:
		return applyBody(c, tx.setEvacuation)
	case KindSetPressures:
		return applyBody(c, tx.setPressures)
	default:
		return Result{Code: CodeInvalid, Message: fmt.Sprintf("unknown kind of command %d", c.Kind)}
	}
}

// refuse returns a result that names why a command changed nothing.
func (tx *txn) refuse(code Code, object, format string, args ...any) Result {
	return Result{Code: code, Index: tx.index, Object: object, Message: fmt.Sprintf(format, args...)}
}

// checkVersion compares the version that an operator expects with the current
// one, which is 0 for an object that does not exist.
func (tx *txn) checkVersion(object string, expected, current uint64) (Result, bool) {
	tx.oldVersion = current
	if expected == current {
		return Result{}, true
	}
	if current == 0 {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object), false
	}
	r := tx.refuse(CodeConflict, object, "expected version %d, current version is %d", expected, current)
	r.Current = current
	return r, false
}

func (tx *txn) changed(object string) Result {
	return Result{Code: CodeOK, Object: object, Version: tx.index}
}
