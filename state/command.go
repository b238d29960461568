package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Kind identifies the type of a command's body. Numbers are part of the log
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
	KindWorkerLeaseEnded
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
	KindSetPressures
)

// Body is the typed content of a command.
type Body interface {
	Kind() Kind
}

// Command is one entry of the log.
type Command struct {
	Kind      Kind   `cbor:"1,keyasint"`
	RequestID string `cbor:"2,keyasint,omitempty"` // set on requests of operators
	Actor     string `cbor:"3,keyasint,omitempty"`
	// Time is when the leader proposed the command, in Unix milliseconds. The
	// leader sets it; apply uses it in place of a clock.
	Time int64           `cbor:"4,keyasint,omitempty"`
	Body cbor.RawMessage `cbor:"5,keyasint,omitempty"`
}

// NewCommand encodes body into a command.
func NewCommand(body Body) Command {
	data, err := cbor.Marshal(body)
	if err != nil {
		// Bodies are plain structs of this package, which always encode.
		panic(fmt.Sprintf("encode command %T: %v", body, err))
	}
	return Command{Kind: body.Kind(), Body: data}
}

// NewRequest encodes an operator's request into a command.
func NewRequest(requestID, actor string, body Body) Command {
	c := NewCommand(body)
	c.RequestID = requestID
	c.Actor = actor
	return c
}

// Code is the outcome of an applied command.
type Code string

// Outcomes. CodeStale means that the command named an earlier incarnation,
// fence or condition and changed nothing.
const (
	CodeOK              Code = "ok"
	CodeConflict        Code = "conflict"
	CodeReusedRequestID Code = "reused-request-id"
	CodeInvalid         Code = "invalid"
	CodeNotFound        Code = "not-found"
	CodeStale           Code = "stale"
)

// Result is what applying a command gave. It is the same on every instance.
type Result struct {
	Code    Code   `cbor:"1,keyasint"`
	Index   uint64 `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint,omitempty"` // version of the object after the change
	Object  string `cbor:"4,keyasint,omitempty"` // KIND/ID
	Current uint64 `cbor:"5,keyasint,omitempty"` // with CodeConflict: version of the object now
	Message string `cbor:"6,keyasint,omitempty"`
}

// SetZone takes an availability zone out or brings it back.
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

// CancelJobs cancels jobs; jobs that have ended stay as they are.
type CancelJobs struct {
	IDs []string `cbor:"1,keyasint"`
}

// EvictTask asks for a checkpoint and a stop of a batch task.
type EvictTask struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint,omitempty"` // 0 for the current one
	Reason      string `cbor:"3,keyasint,omitempty"`
}

// RegisterWorker makes a worker known or changes its address or capacity.
type RegisterWorker struct {
	ID              string    `cbor:"1,keyasint"`
	ExpectedVersion uint64    `cbor:"2,keyasint,omitempty"`
	Zone            string    `cbor:"3,keyasint"`
	Rack            string    `cbor:"4,keyasint"`
	Address         string    `cbor:"5,keyasint"`
	Capacity        Resources `cbor:"6,keyasint"`
}

// Placement puts the next incarnation of a task on a worker.
type Placement struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // current incarnation + 1
	Worker      string `cbor:"3,keyasint"`
}

// PlaceTasks reserves workers for pending tasks. Each placement is checked
// again at apply; those that no longer fit change nothing.
type PlaceTasks struct {
	Placements []Placement `cbor:"1,keyasint"`
}

// TaskStop names one incarnation of a task to stop.
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

// ThrottleTask sets the share of its processors that is taken from a task.
type ThrottleTask struct {
	Task        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Percent     int64  `cbor:"3,keyasint,omitempty"`
	Reason      string `cbor:"4,keyasint,omitempty"`
}

// TaskEvent is what a session holder saw of a task on its worker.
type TaskEvent string

// Events of a task on a worker. EventNotStarted confirms that a start was
// void, which requeues the task.
const (
	EventStarted    TaskEvent = "started"
	EventStopped    TaskEvent = "stopped"
	EventExited     TaskEvent = "exited"
	EventFailed     TaskEvent = "failed"
	EventNotStarted TaskEvent = "not-started"
)

// TaskReport is one event of one incarnation of a task.
type TaskReport struct {
	Task        string    `cbor:"1,keyasint"`
	Incarnation uint64    `cbor:"2,keyasint"`
	Event       TaskEvent `cbor:"3,keyasint"`
	Checkpoint  string    `cbor:"4,keyasint,omitempty"`
	Reason      string    `cbor:"5,keyasint,omitempty"`
}

// ReportTasks carries the events of one worker under the owner's fence.
type ReportTasks struct {
	Worker  string       `cbor:"1,keyasint"`
	Fence   uint64       `cbor:"2,keyasint"`
	Reports []TaskReport `cbor:"3,keyasint"`
}

// MarkWorkerLost says that the owner no longer renews the worker's lease. The
// owner renews it again only once MarkWorkerReturned is applied: the worker's
// tasks are requeued a lease after this command.
type MarkWorkerLost struct {
	Worker string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
}

// MarkWorkerReturned says that a lost worker answers again, before its lease
// was declared ended or after.
type MarkWorkerReturned struct {
	Worker string `cbor:"1,keyasint"`
	Fence  uint64 `cbor:"2,keyasint"`
}

// MarkWorkerLeaseEnded says that the lease of a lost worker has ended, which
// requeues its tasks from their last checkpoints.
type MarkWorkerLeaseEnded struct {
	Worker string `cbor:"1,keyasint"`
	// LostFence and LostIndex must equal those of the worker's record, so that
	// a delayed command does not end the lease of a later loss.
	LostFence uint64 `cbor:"2,keyasint"`
	LostIndex uint64 `cbor:"3,keyasint"`
}

// QuarantineWorker puts a worker into quarantine or ends it.
type QuarantineWorker struct {
	Worker      string `cbor:"1,keyasint"`
	Quarantined bool   `cbor:"2,keyasint,omitempty"`
	Reason      string `cbor:"3,keyasint,omitempty"`
}

// FailJob ends a job that can't finish.
type FailJob struct {
	ID     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
}

// OwnerChange gives an endpoint or worker to an entry instance.
type OwnerChange struct {
	Kind  AssignmentKind `cbor:"1,keyasint"`
	ID    string         `cbor:"2,keyasint"`
	Fence uint64         `cbor:"3,keyasint,omitempty"` // fence of the assignment that it replaces; 0 if none
	To    string         `cbor:"4,keyasint"`
}

// Assign changes owners. A change whose fence is no longer current changes
// nothing.
type Assign struct {
	Changes []OwnerChange `cbor:"1,keyasint"`
}

// RegisterEndpoint makes an endpoint known or changes what it announced.
type RegisterEndpoint struct {
	Endpoint Endpoint `cbor:"1,keyasint"`
}

// RemoveEndpoint forgets an endpoint whose announcements stopped.
type RemoveEndpoint struct {
	ID          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Fence       uint64 `cbor:"3,keyasint"`
}

// RegisterInstance makes an entry instance known after its start.
type RegisterInstance struct {
	Instance Instance `cbor:"1,keyasint"`
}

// HandOver says that an entry instance gives up all its assignments: it
// forwards nothing new and renews no lease from the moment it proposes this.
type HandOver struct {
	Instance      string `cbor:"1,keyasint"`
	InstanceStart uint64 `cbor:"2,keyasint"`
}

// SetLedgerBuckets changes the holders of ledger buckets. The epoch of each
// entry must equal the current one of its bucket; apply sets the new one.
type SetLedgerBuckets struct {
	Buckets []LedgerBucket `cbor:"1,keyasint"`
}

// AddReplicas creates pending tasks for a service until it has its number of
// replicas, or a task that replaces one on a leaving availability zone.
type AddReplicas struct {
	Service string `cbor:"1,keyasint"`
	// Replaces names the task to be replaced; empty to fill up.
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
func (MarkWorkerLeaseEnded) Kind() Kind { return KindWorkerLeaseEnded }

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
