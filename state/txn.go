package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Retention limits. A request result is removed only when it exceeds both the
// age and the count limit. Until then a resent request gets the first result.
const (
	requestRetentionMillis = 24 * 60 * 60 * 1000
	requestRetentionCount  = 10_000
	auditRetentionCount    = 100_000
	jobRetentionMillis     = 24 * 60 * 60 * 1000
	// pruneLimit is the maximum number of request results that one command
	// removes.
	pruneLimit = 8
)

// txn applies one command to a copy of the state.
type txn struct {
	*State
	index uint64
	now   int64 // time of the command, Unix milliseconds

	// oldVersion is the version of the object before the command, for the
	// audit trail.
	oldVersion uint64

	tasks              tableTxn[*Task]
	jobs               tableTxn[*Job]
	workers            tableTxn[*Worker]
	assignments        tableTxn[*Assignment]
	tasksByWorker      tableTxn[*Task]
	tasksByOwner       tableTxn[struct{}]
	pending            tableTxn[struct{}]
	assignmentsByOwner tableTxn[struct{}]
	teamUsage          tableTxn[Resources]

	workflows      tableTxn[*Workflow]
	openWorkflows  tableTxn[struct{}]
	endedWorkflows tableTxn[string]
}

// Apply returns the state after the command at the given log index, and the
// command's result. Both depend only on s and the arguments. A refused command
// changes at most the audit trail and the stored request results.
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
		State:              s,
		index:              index,
		now:                s.Time,
		tasks:              tableTxn[*Task]{table: &s.Tasks},
		jobs:               tableTxn[*Job]{table: &s.Jobs},
		workers:            tableTxn[*Worker]{table: &s.Workers},
		assignments:        tableTxn[*Assignment]{table: &s.Assignments},
		tasksByWorker:      tableTxn[*Task]{table: &s.tasksByWorker},
		tasksByOwner:       tableTxn[struct{}]{table: &s.tasksByOwner},
		pending:            tableTxn[struct{}]{table: &s.pending},
		assignmentsByOwner: tableTxn[struct{}]{table: &s.assignmentsByOwner},
		teamUsage:          tableTxn[Resources]{table: &s.teamUsage},

		workflows:      tableTxn[*Workflow]{table: &s.Workflows},
		openWorkflows:  tableTxn[struct{}]{table: &s.openWorkflows},
		endedWorkflows: tableTxn[string]{table: &s.endedWorkflows},
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
	tx.assignmentsByOwner.commit()
	tx.teamUsage.commit()
	tx.workflows.commit()
	tx.openWorkflows.commit()
	tx.endedWorkflows.commit()
}

// applyOnce applies the command unless its request was applied before. It then
// returns the stored result.
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
		tx.storeResult(c, digest, r)
	}
	tx.audit(c, r)
	return r
}

// requestDigest returns a hash of a request's kind and body.
func requestDigest(c Command) uint64 {
	d := xxhash.New()
	_, _ = d.Write([]byte{byte(c.Kind >> 8), byte(c.Kind)})
	_, _ = d.Write(c.Body)
	return d.Sum64()
}

func requestAgeKey(r *RequestResult) string { return fmt.Sprintf("%016x", r.Result.Index) }

func (tx *txn) storeResult(c Command, digest uint64, r Result) {
	rec := &RequestResult{RequestID: c.RequestID, Digest: digest, Result: r, At: tx.now}
	tx.Requests = tx.Requests.Put(c.RequestID, rec)
	tx.requestsByAge = tx.requestsByAge.Put(requestAgeKey(rec), c.RequestID)
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

// prune removes expired records.
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
	for ageKey, id := range tx.requestsByAge.All() {
		rec, ok := tx.Requests.Get(id)
		if ok && tx.now-rec.At < requestRetentionMillis {
			return false
		}
		tx.Requests = tx.Requests.Delete(id)
		tx.requestsByAge = tx.requestsByAge.Delete(ageKey)
		return true
	}
	return false
}

func endedJobKey(j *Job) string { return key(fmt.Sprintf("%016x", j.EndedAt), j.Spec.ID) }

// pruneJob removes the job that ended first, with its tasks, if its retention
// time has passed.
func (tx *txn) pruneJob() {
	for ageKey, id := range tx.endedJobsByAge.All() {
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
		tx.endedJobsByAge = tx.endedJobsByAge.Delete(ageKey)
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
		return applyBody(c, tx.failJob)
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

// dispatchMember applies commands on workers, endpoints, instances and ledger
// buckets.
func (tx *txn) dispatchMember(c Command) Result {
	switch c.Kind {
	case KindRegisterWorker:
		return applyBody(c, tx.registerWorker)
	case KindWorkerLost:
		return applyBody(c, tx.markWorkerLost)
	case KindWorkerReturned:
		return applyBody(c, tx.markWorkerReturned)
	case KindWorkerLeaseExpired:
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

// dispatchWorkflow applies commands on workflows, queues and pool workers.
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
	case KindSetInterference:
		return applyBody(c, tx.setInterference)
	case KindRefuseWorkflow:
		return applyBody(c, tx.refuseWorkflow)
	default:
		return Result{Code: CodeInvalid, Message: fmt.Sprintf("unknown kind of command %d", c.Kind)}
	}
}

// refuse returns a result with the code and message for a command that changed
// nothing.
func (tx *txn) refuse(code Code, object, format string, args ...any) Result {
	return Result{Code: code, Index: tx.index, Object: object, Message: fmt.Sprintf(format, args...)}
}

// checkVersion compares the version that an operator expects with the current
// version. An object that does not exist has version 0. On a mismatch it
// returns the refusal and false.
func (tx *txn) checkVersion(object string, expected, current uint64) (Result, bool) {
	tx.oldVersion = current
	if expected == current {
		return Result{}, true
	}
	if current == 0 {
		return tx.refuse(CodeNotFound, object, "%s does not exist", object), false
	}
	r := tx.refuse(CodeConflict, object, "expected version %d, current version is %d", expected, current)
	r.ObjectVersion = current
	return r, false
}

func (tx *txn) changed(object string) Result {
	return Result{Code: CodeOK, Object: object, Version: tx.index}
}
