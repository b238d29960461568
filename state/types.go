package state

// ZoneRecord is the administrative state of an availability zone.
type ZoneRecord struct {
	Name    string `cbor:"1,keyasint"`
	Out     bool   `cbor:"2,keyasint,omitempty"` // drained
	Version uint64 `cbor:"3,keyasint"`
	// ChangedAt is the time of the last change of Out, in Unix milliseconds; 0 if
	// it never changed.
	ChangedAt int64 `cbor:"4,keyasint,omitempty"`
}

// ServiceSpec is the specification of a service as set by an operator.
type ServiceSpec struct {
	Name            string    `cbor:"1,keyasint"`
	Host            string    `cbor:"2,keyasint,omitempty"`
	PathPrefix      string    `cbor:"3,keyasint,omitempty"`
	Replicas        int64     `cbor:"4,keyasint"`
	Resources       Resources `cbor:"5,keyasint"`
	Slots           int64     `cbor:"6,keyasint"`
	ConnectionLimit int64     `cbor:"7,keyasint"`
	Team            string    `cbor:"8,keyasint,omitempty"`
}

// Service is a service with its version.
type Service struct {
	Spec    ServiceSpec `cbor:"1,keyasint"`
	Version uint64      `cbor:"2,keyasint"`
}

// Priority is the priority class of a job.
type Priority string

// Priority classes, most urgent first.
const (
	PriorityUrgent Priority = "urgent"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// JobSpec is the specification of a batch job as submitted by an operator.
type JobSpec struct {
	ID              string    `cbor:"1,keyasint"`
	Team            string    `cbor:"2,keyasint,omitempty"`
	Class           string    `cbor:"3,keyasint"`
	Priority        Priority  `cbor:"4,keyasint"`
	Tasks           int64     `cbor:"5,keyasint"`
	Resources       Resources `cbor:"6,keyasint"`
	ExpectedSeconds int64     `cbor:"7,keyasint,omitempty"`
}

// JobPhase is the phase of a job.
type JobPhase string

// Phases of a job. The last three are final.
const (
	JobActive    JobPhase = "active"
	JobCompleted JobPhase = "completed"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
)

// Job is a batch job with its phase.
type Job struct {
	Spec        JobSpec  `cbor:"1,keyasint"`
	Version     uint64   `cbor:"2,keyasint"`
	Phase       JobPhase `cbor:"3,keyasint"`
	Reason      string   `cbor:"4,keyasint,omitempty"`
	SubmittedAt int64    `cbor:"5,keyasint"` // Unix milliseconds
	Completed   int64    `cbor:"6,keyasint,omitempty"`
	Failed      int64    `cbor:"7,keyasint,omitempty"`
	Cancelled   int64    `cbor:"8,keyasint,omitempty"`
	// EndedAt is the time at which the last task of the job ended, in Unix
	// milliseconds.
	EndedAt int64 `cbor:"9,keyasint,omitempty"`
}

// TaskKind distinguishes replicas of services from tasks of jobs.
type TaskKind string

// Kinds of tasks.
const (
	KindLatencyCritical TaskKind = "latency-critical"
	KindBatch           TaskKind = "batch"
)

// TaskPhase is the phase of a task.
type TaskPhase string

// Phases of a task. A task has a reservation in PhaseStarting, PhaseRunning and
// PhaseStopping. The last three phases are final.
const (
	PhasePending   TaskPhase = "pending"
	PhaseStarting  TaskPhase = "starting"
	PhaseRunning   TaskPhase = "running"
	PhaseStopping  TaskPhase = "stopping"
	PhaseCompleted TaskPhase = "completed"
	PhaseFailed    TaskPhase = "failed"
	PhaseCancelled TaskPhase = "cancelled"
)

// StopReason is the reason for which a task is stopped. It determines whether
// the task is requeued or ends.
type StopReason string

// Reasons to stop a task. StopEvict and StopReplace requeue it; StopCancel
// and StopRemove end it.
const (
	StopEvict   StopReason = "evict"
	StopReplace StopReason = "replace"
	StopCancel  StopReason = "cancel"
	StopRemove  StopReason = "remove"
)

// Failure is one failed run of a task.
type Failure struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	At          int64  `cbor:"3,keyasint"` // Unix milliseconds
	Reason      string `cbor:"4,keyasint,omitempty"`
}

// Task is one replica of a service or one task of a job.
type Task struct {
	ID          string     `cbor:"1,keyasint"`
	Kind        TaskKind   `cbor:"2,keyasint"`
	Owner       string     `cbor:"3,keyasint"` // service name or job id
	Class       string     `cbor:"4,keyasint,omitempty"`
	Team        string     `cbor:"5,keyasint,omitempty"`
	Priority    Priority   `cbor:"6,keyasint,omitempty"`
	Resources   Resources  `cbor:"7,keyasint"`
	Phase       TaskPhase  `cbor:"8,keyasint"`
	Incarnation uint64     `cbor:"9,keyasint"`
	Worker      string     `cbor:"10,keyasint,omitempty"`
	Checkpoint  string     `cbor:"11,keyasint,omitempty"`
	Throttle    int64      `cbor:"12,keyasint,omitempty"` // CPU reduction in percent
	StopReason  StopReason `cbor:"13,keyasint,omitempty"`
	Reason      string     `cbor:"14,keyasint,omitempty"` // reason for the current phase
	Failures    []Failure  `cbor:"15,keyasint,omitempty"`
	QueuedAt    int64      `cbor:"16,keyasint"`           // time at which it last became pending, Unix milliseconds
	StartedAt   int64      `cbor:"17,keyasint,omitempty"` // Unix milliseconds
	Evictions   int64      `cbor:"18,keyasint,omitempty"`
	// ExpectedSeconds is the declared run time; 0 if unknown.
	ExpectedSeconds int64 `cbor:"19,keyasint,omitempty"`
	// Replaces is the id of the replica that is stopped once this one runs.
	Replaces string `cbor:"20,keyasint,omitempty"`
	// SubmittedAt is the time at which the task was created, in Unix
	// milliseconds. Unlike QueuedAt it does not change when the task is requeued.
	SubmittedAt int64 `cbor:"21,keyasint,omitempty"`
	// EndedAt is the time at which the task reached a final phase, in Unix
	// milliseconds.
	EndedAt int64 `cbor:"22,keyasint,omitempty"`
}

// HasReservation reports whether the task has a reservation on its worker.
func (t *Task) HasReservation() bool {
	return t.Phase == PhaseStarting || t.Phase == PhaseRunning || t.Phase == PhaseStopping
}

// Ended reports whether the task is in a final phase.
func (t *Task) Ended() bool {
	return t.Phase == PhaseCompleted || t.Phase == PhaseFailed || t.Phase == PhaseCancelled
}

// IsActive reports whether the task has not ended and is not being stopped
// permanently.
func (t *Task) IsActive() bool {
	return !t.Ended() && !(t.Phase == PhaseStopping && endsTask(t.StopReason))
}

// WorkerCondition is the condition of a worker.
type WorkerCondition string

// Conditions of a worker. Tasks are placed only on ready and quarantined
// workers. A quarantined worker runs at most one task at a time.
const (
	WorkerReady       WorkerCondition = "ready"
	WorkerLost        WorkerCondition = "lost"
	WorkerQuarantined WorkerCondition = "quarantined"
)

// Worker is a machine that runs replicas of services and tasks of jobs.
type Worker struct {
	ID        string          `cbor:"1,keyasint"`
	Zone      string          `cbor:"2,keyasint"`
	Rack      string          `cbor:"3,keyasint"`
	Address   string          `cbor:"4,keyasint"`
	Capacity  Resources       `cbor:"5,keyasint"`
	Condition WorkerCondition `cbor:"6,keyasint"`
	Version   uint64          `cbor:"7,keyasint"`
	// Reserved is the sum of the declared resources of the tasks with a
	// reservation on the worker.
	Reserved Resources `cbor:"8,keyasint"`
	// LostFence is the fence under which the worker was reported lost.
	LostFence uint64 `cbor:"9,keyasint,omitempty"`
	// LostIndex is the log index at which the worker was reported lost. Unlike
	// LostFence it differs between two losses under the same owner.
	LostIndex uint64 `cbor:"12,keyasint,omitempty"`
	// FailedOwners are the jobs and services whose tasks failed on the worker
	// since a batch task last completed there.
	FailedOwners []string `cbor:"10,keyasint,omitempty"`
	// QuarantinedAt is the time at which the quarantine last started or a task
	// last failed during it, in Unix milliseconds; 0 without a quarantine.
	QuarantinedAt int64 `cbor:"11,keyasint,omitempty"`
}

// Endpoint is a process that serves requests of one service.
type Endpoint struct {
	ID              string `cbor:"1,keyasint"`
	Service         string `cbor:"2,keyasint"`
	Address         string `cbor:"3,keyasint"`
	Zone            string `cbor:"4,keyasint"`
	Slots           int64  `cbor:"5,keyasint"`
	ConnectionLimit int64  `cbor:"6,keyasint"`
	Incarnation     uint64 `cbor:"7,keyasint"`
	Draining        bool   `cbor:"8,keyasint,omitempty"`
}

// AssignmentKind distinguishes assignments of endpoints from those of workers.
type AssignmentKind string

// Kinds of assignments.
const (
	AssignEndpoint AssignmentKind = "endpoint"
	AssignWorker   AssignmentKind = "worker"
)

// Assignment assigns one endpoint or worker to one entry instance.
type Assignment struct {
	Kind  AssignmentKind `cbor:"1,keyasint"`
	ID    string         `cbor:"2,keyasint"`
	Owner string         `cbor:"3,keyasint"` // entry instance
	// Fence is the log index of the assignment. It increases with every change
	// of owner, so a worker can reject calls of earlier owners.
	Fence uint64 `cbor:"4,keyasint"`
}

// Instance is an entry instance of the system.
type Instance struct {
	ID            string `cbor:"1,keyasint"`
	PeerAddress   string `cbor:"2,keyasint"`
	Zone          string `cbor:"3,keyasint"`
	ReplicaID     uint64 `cbor:"4,keyasint,omitempty"` // 0 for an instance without a disk
	ShuttingDown  bool   `cbor:"5,keyasint,omitempty"` // shutting down; its assignments are handed over
	RegisteredAt  int64  `cbor:"6,keyasint"`           // Unix milliseconds
	InstanceStart uint64 `cbor:"7,keyasint"`           // random number chosen at process start
	EntryAddress  string `cbor:"8,keyasint,omitempty"`
	// RegisteredIndex is the log index of the first registration by this
	// process.
	RegisteredIndex uint64 `cbor:"10,keyasint,omitempty"`
	OperatorServer  string `cbor:"9,keyasint,omitempty"`
	// EarlierStarts are the most recent previous values of InstanceStart, set by
	// Apply.
	EarlierStarts []uint64 `cbor:"11,keyasint,omitempty"`
}

// Team is a group of users with a scheduling weight and a quota.
type Team struct {
	Name    string    `cbor:"1,keyasint"`
	Weight  int64     `cbor:"2,keyasint"`
	Quota   Resources `cbor:"3,keyasint"` // an amount of 0 means unlimited
	Version uint64    `cbor:"4,keyasint"`
}

// LedgerBucket records which instances store one bucket of the request ledger.
type LedgerBucket struct {
	Number  int    `cbor:"1,keyasint"`
	Primary string `cbor:"2,keyasint"`
	Backup  string `cbor:"3,keyasint,omitempty"`
	Epoch   uint64 `cbor:"4,keyasint"` // log index of the last change
	// LostAt is the time at which both copies were last lost, in Unix
	// milliseconds; 0 if that never happened.
	LostAt int64 `cbor:"5,keyasint,omitempty"`
	// FirstEpoch is the epoch in which the bucket was created. Its copies
	// started empty.
	FirstEpoch uint64 `cbor:"6,keyasint,omitempty"`
	// PreviousEpoch is the epoch that Epoch replaced. A copy that was not
	// updated in that epoch may have missed entries.
	PreviousEpoch uint64 `cbor:"7,keyasint,omitempty"`
	// InheritedEpoch is the epoch whose copy the primary took over. It changes
	// only when the primary changes and is 0 for the first primary.
	InheritedEpoch uint64 `cbor:"8,keyasint,omitempty"`
}

// RequestResult is the stored result of a request. It is returned again when the
// request is resent.
type RequestResult struct {
	RequestID string `cbor:"1,keyasint"`
	Digest    uint64 `cbor:"2,keyasint"` // xxhash of kind and body
	Result    Result `cbor:"3,keyasint"`
	At        int64  `cbor:"4,keyasint"` // Unix milliseconds
}

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	Sequence   uint64 `cbor:"1,keyasint"`
	Time       int64  `cbor:"2,keyasint"` // Unix milliseconds
	Actor      string `cbor:"3,keyasint,omitempty"`
	RequestID  string `cbor:"4,keyasint,omitempty"`
	Action     string `cbor:"5,keyasint"`
	Object     string `cbor:"6,keyasint"` // KIND/ID
	OldVersion uint64 `cbor:"7,keyasint,omitempty"`
	NewVersion uint64 `cbor:"8,keyasint,omitempty"`
	Outcome    string `cbor:"9,keyasint"`
}
