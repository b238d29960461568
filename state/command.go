package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind identifies the type of a command's body. The numbers are part of the log
// format and are never reused.
type Kind uint16

// Kinds of commands.
const (
	KindNoop Kind = iota
	KindSetZone
	KindApplyService
	KindDeleteService
	KindApplyTeam
	KindSubmitJob
	KindCancelJobs
	KindEvictTask
	KindRegisterWorker
	KindPlaceTasks
	KindStopTasks
	KindThrottleTask
	KindReportTasks
	KindWorkerLost
	KindWorkerReturned
	KindWorkerLeaseExpired
	KindQuarantineWorker
	KindFailJob
	KindAssign
	KindRegisterEndpoint
	KindRemoveEndpoint
	KindRegisterInstance
	KindHandOver
	KindSetLedgerBuckets
	KindAddReplicas
	KindSetQueues
	KindSubmitWorkflow
	KindCancelWorkflow
	KindRecordTasks
	KindSetPoolWorkers
	KindSetEvacuation
	KindSetInterference
	KindRefuseWorkflow
)

// Body is the typed content of a command.
type Body interface {
	Kind() Kind
}

// Command is one entry of the log.
type Command struct {
	Kind      Kind   `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint,omitempty"` // empty if the command is not a request
	Actor     string `cbor:"3,keyasint,omitempty"`
	// Time is when the leader proposed the command, in Unix milliseconds. It is
	// set by the leader. Apply reads no clock and uses this time instead.
	Time int64           `cbor:"4,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// NewCommand encodes body into a command.
func NewCommand(body Body) Command {
	data, err := cbor.Marshal(body)
	if err != nil {
		// Encoding the plain structs of this package never fails.
		panic(fmt.Sprintf("encode command %T: %v", body, err))
	}
	return Command{Kind: body.Kind(), Body: data}
}

// NewRequest encodes a request of an operator or an instance into a command. The
// request takes effect at most once, however often it is proposed.
func NewRequest(requestID, actor string, body Body) Command {
	c := NewCommand(body)
	c.RequestID = requestID
	c.Actor = actor
	return c
}

// Code is the result code of an applied command.
type Code string

// Result codes. CodeStale means that the command referred to an earlier
// incarnation, fence, epoch or condition and changed nothing.
const (
	CodeOK              Code = "ok"
	CodeConflict        Code = "conflict"
	CodeReusedRequestID Code = "reused-request-id"
	CodeInvalid         Code = "invalid"
	CodeNotFound        Code = "not-found"
	CodeStale           Code = "stale"
	CodeRefused         Code = "refused" // ObjectVersion is until when, in Unix milliseconds
)

// Result is the result of applying a command. It is the same on every instance.
type Result struct {
	Code          Code   `cbor:"1,keyasint"`
	Index         uint64 `cbor:"2,keyasint"`
	Version       uint64 `cbor:"3,keyasint,omitempty"` // version of the object after the change
	Object        string `cbor:"4,keyasint,omitempty"` // KIND/ID
	ObjectVersion uint64 `cbor:"5,keyasint,omitempty"` // with CodeConflict or CodeStale: current version of the object
	Message       string `cbor:"6,keyasint,omitempty"`
}

// SetZone drains an availability zone or returns it to service.
type SetZone struct {
	Name            string `cbor:"1,keyasint"`
	ExpectedVersion uint64 `cbor:"2,keyasint,omitempty"`
	Out             bool   `cbor:"3,keyasint,omitempty"`
}

// ApplyService creates or changes a service.
type ApplyService struct {
	ExpectedVersion uint64      `cbor:"1,keyasint,omitempty"`
	Spec            ServiceSpec `cbor:"2,keyasint"`
}

// DeleteService removes a service and stops its tasks.
type DeleteService struct {
	Name            string `cbor:"1,keyasint"`
	ExpectedVersion uint64 `cbor:"2,keyasint,omitempty"`
}

// ApplyTeam creates or changes a team.
type ApplyTeam struct {
	Name            string    `cbor:"1,keyasint"`
	ExpectedVersion uint64    `cbor:"2,keyasint,omitempty"`
	Weight          int64     `cbor:"3,keyasint"`
	Quota           Resources `cbor:"4,keyasint"`
}

// SubmitJob creates a job and its pending tasks.
type SubmitJob struct {
	Spec JobSpec `cbor:"1,keyasint"`
}

// CancelJobs cancels jobs. Jobs that have ended are not changed.
type CancelJobs struct {
	IDs []string `cbor:"1,keyasint"`
}

// EvictTask checkpoints, stops and requeues a batch task.
type EvictTask struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"` // 0 for any incarnation
	Reason      string `cbor:"3,keyasint,omitempty"`
}

// RegisterWorker creates a worker or changes its address, location or capacity.
type RegisterWorker struct {
	ID              string    `cbor:"1,keyasint"`
	ExpectedVersion uint64    `cbor:"2,keyasint,omitempty"`
	Zone            string    `cbor:"3,keyasint"`
	Rack            string    `cbor:"4,keyasint"`
	Address         string    `cbor:"5,keyasint"`
	Capacity        Resources `cbor:"6,keyasint"`
}

// Placement assigns the next incarnation of a task to a worker.
type Placement struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // current incarnation + 1
	Worker      string `cbor:"3,keyasint"`
}

// PlaceTasks reserves resources on workers for pending tasks. Each placement is
// checked again when it is applied; one that no longer fits changes nothing.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// TaskStop is a request to stop one incarnation of a task.
type TaskStop struct {
	Task        string     `cbor:"1,keyasint"`
	Incarnation uint64     `cbor:"2,keyasint"`
	StopReason  StopReason `cbor:"3,keyasint"`
	Reason      string     `cbor:"4,keyasint,omitempty"`
}

// StopTasks moves tasks to PhaseStopping.
type StopTasks struct {
	Stops []TaskStop `cbor:"1,keyasint"`
}

// ThrottleTask sets the percentage by which the CPU of a task is reduced.
type ThrottleTask struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Percent     int64  `cbor:"3,keyasint,omitempty"`
	Reason      string `cbor:"4,keyasint,omitempty"`
}

// TaskEvent is an event of a task on its worker, as observed by the instance
// that owns the worker.
type TaskEvent string

// Events of a task on a worker. EventNotStarted confirms that the task did not
// start and never will in this incarnation.
const (
	EventStarted    TaskEvent = "started"
	EventStopped    TaskEvent = "stopped"
	EventExited     TaskEvent = "exited"
	EventFailed     TaskEvent = "failed"
	EventNotStarted TaskEvent = "not-started"
)

// TaskReport reports one event of one incarnation of a task.
type TaskReport struct {
	Task        string    `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Event       TaskEvent `cbor:"3,keyasint"`
	Checkpoint  string    `cbor:"4,keyasint,omitempty"`
	Reason      string    `cbor:"5,keyasint,omitempty"`
}

// ReportTasks reports events of the tasks of one worker under its owner's fence.
type ReportTasks struct {
	Worker  string       `cbor:"1,keyasint"`
	Fence   uint64       `cbor:"2,keyasint"`
	Reports []TaskReport `cbor:"3,keyasint"`
}

// MarkWorkerLost records that the owner no longer renews the worker's lease.
// The worker's tasks are requeued one lease duration after this command, so the
// owner must not renew the lease again before MarkWorkerReturned is applied.
type MarkWorkerLost struct {
	Worker string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
}

// MarkWorkerReturned records that a lost worker responds again. It applies both
// before and after MarkWorkerLeaseExpired.
type MarkWorkerReturned struct {
	Worker string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
}

// MarkWorkerLeaseExpired records that the lease of a lost worker has expired,
// and requeues the worker's tasks from their last checkpoints.
type MarkWorkerLeaseExpired struct {
	Worker string `cbor:"1,keyasint"`
	// LostFence and LostIndex must equal those of the worker's record.
	// Otherwise a delayed command could take effect after a later loss.
	LostFence uint64 `cbor:"2,keyasint"`
	LostIndex uint64 `cbor:"3,keyasint"`
}

// QuarantineWorker puts a worker into quarantine or releases it.
type QuarantineWorker struct {
	Worker      string `cbor:"1,keyasint"`
	Quarantined bool   `cbor:"2,keyasint,omitempty"`
	Reason      string `cbor:"3,keyasint,omitempty"`
}

// FailJob fails a job that can't be completed.
type FailJob struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// OwnerChange assigns an endpoint or worker to an entry instance.
type OwnerChange struct {
	Kind  AssignmentKind `cbor:"1,keyasint"`
	ID    string         `cbor:"2,keyasint"`
	Fence uint64         `cbor:"3,keyasint,omitempty"` // fence of the replaced assignment; 0 if there is none
	To    string         `cbor:"4,keyasint"`
}

// Assign changes the owners of endpoints and workers. A change whose fence is
// no longer current is ignored.
type Assign struct {
	Changes []OwnerChange `cbor:"1,keyasint"`
}

// RegisterEndpoint creates an endpoint or updates it from a new announcement.
type RegisterEndpoint struct {
	Endpoint Endpoint `cbor:"1,keyasint"`
}

// RemoveEndpoint deletes an endpoint whose announcements have stopped.
type RemoveEndpoint struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Fence       uint64 `cbor:"3,keyasint"`
}

// RegisterInstance registers an entry instance after the start of its process.
type RegisterInstance struct {
	Instance Instance `cbor:"1,keyasint"`
}

// HandOver releases all assignments of an entry instance. From the moment the
// instance proposes this command, it forwards no new requests and renews no
// leases.
type HandOver struct {
	Instance      string `cbor:"1,keyasint"`
	InstanceStart uint64 `cbor:"2,keyasint"`
}

// SetLedgerBuckets changes the primaries and backups of ledger buckets. The
// epoch of each entry must equal the bucket's current epoch; Apply sets the new
// epoch.
type SetLedgerBuckets struct {
	Buckets []LedgerBucket `cbor:"1,keyasint"`
}

// AddReplicas creates the missing replicas of a service as pending tasks, or
// one replacement for a replica in an availability zone that is being drained.
type AddReplicas struct {
	Service string `cbor:"1,keyasint"`
	// Replaces is the id of the replica to replace; empty to create the
	// missing replicas.
	Replaces string `cbor:"2,keyasint,omitempty"`
}

// Noop changes nothing. A new leader commits one in its term.
type Noop struct{}

// Kind implements Body.
func (Noop) Kind() Kind { return KindNoop }

// Kind implements Body.
func (SetZone) Kind() Kind { return KindSetZone }

// Kind implements Body.
func (ApplyService) Kind() Kind { return KindApplyService }

// Kind implements Body.
func (DeleteService) Kind() Kind { return KindDeleteService }

// Kind implements Body.
func (ApplyTeam) Kind() Kind { return KindApplyTeam }

// Kind implements Body.
func (SubmitJob) Kind() Kind { return KindSubmitJob }

// Kind implements Body.
func (CancelJobs) Kind() Kind { return KindCancelJobs }

// Kind implements Body.
func (EvictTask) Kind() Kind { return KindEvictTask }

// Kind implements Body.
func (RegisterWorker) Kind() Kind { return KindRegisterWorker }

// Kind implements Body.
func (PlaceTasks) Kind() Kind { return KindPlaceTasks }

// Kind implements Body.
func (StopTasks) Kind() Kind { return KindStopTasks }

// Kind implements Body.
func (ThrottleTask) Kind() Kind { return KindThrottleTask }

// Kind implements Body.
func (ReportTasks) Kind() Kind { return KindReportTasks }

// Kind implements Body.
func (MarkWorkerLost) Kind() Kind { return KindWorkerLost }

// Kind implements Body.
func (MarkWorkerReturned) Kind() Kind { return KindWorkerReturned }

// Kind implements Body.
func (MarkWorkerLeaseExpired) Kind() Kind { return KindWorkerLeaseExpired }

// Kind implements Body.
func (QuarantineWorker) Kind() Kind { return KindQuarantineWorker }

// Kind implements Body.
func (FailJob) Kind() Kind { return KindFailJob }

// Kind implements Body.
func (Assign) Kind() Kind { return KindAssign }

// Kind implements Body.
func (RegisterEndpoint) Kind() Kind { return KindRegisterEndpoint }

// Kind implements Body.
func (RemoveEndpoint) Kind() Kind { return KindRemoveEndpoint }

// Kind implements Body.
func (RegisterInstance) Kind() Kind { return KindRegisterInstance }

// Kind implements Body.
func (HandOver) Kind() Kind { return KindHandOver }

// Kind implements Body.
func (SetLedgerBuckets) Kind() Kind { return KindSetLedgerBuckets }

// Kind implements Body.
func (AddReplicas) Kind() Kind { return KindAddReplicas }
