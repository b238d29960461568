package state

// A workflow is a batch job of steps with dependencies, submitted to a queue.
// Its tasks run on pool workers.

// QueuePolicy describes the calls to a policy service that decides which workers
// may run a step.
type QueuePolicy struct {
	DecisionMillis  int64 `cbor:"1,keyasint"` // fixed duration of one call
	PerWorkerMillis int64 `cbor:"2,keyasint"` // additional duration for each worker in a call
	TicketTTLMillis int64 `cbor:"3,keyasint"` // validity period of a ticket
}

// WorkflowQueue is a queue of workflows whose tasks run on the workers of one
// pool.
type WorkflowQueue struct {
	Name            string       `cbor:"1,keyasint"`
	Host            string       `cbor:"2,keyasint"`
	PathPrefix      string       `cbor:"3,keyasint"`
	Pool            string       `cbor:"4,keyasint"`
	Priority        int          `cbor:"5,keyasint"` // 0 is the highest priority
	MaxAttempts     int          `cbor:"6,keyasint"` // number of failed runs after which a task fails
	MaxSlowdown     float64      `cbor:"7,keyasint"` // maximum slowdown, as a multiple of the critical path
	ObjectiveMillis int64        `cbor:"8,keyasint"` // allowed time beyond MaxSlowdown
	TimeoutMillis   int64        `cbor:"9,keyasint"` // timeout of one client call
	Policy          *QueuePolicy `cbor:"10,keyasint"`
	// Anonymous permits calls without the key of a tenant.
	Anonymous bool `cbor:"11,keyasint,omitempty"`
}

// Tenant is a group of callers that is identified by its keys.
type Tenant struct {
	Name     string   `cbor:"1,keyasint"`
	Keys     [][]byte `cbor:"2,keyasint,omitempty"` // SHA-256 hashes
	Priority int      `cbor:"3,keyasint,omitempty"` // 0 is the highest priority
	Weight   float64  `cbor:"4,keyasint"`
	// Cap bounds what runs of the tenant use at the same time. 0 means that a
	// resource is unlimited.
	Cap Resources `cbor:"5,keyasint,omitempty"`
}

// Pool is a set of interchangeable workers.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// EnforcesCapacity means that the pool's workers enforce their capacity:
	// they refuse tasks that exceed it.
	EnforcesCapacity bool `cbor:"2,keyasint,omitempty"`
	// Standby means that the pool's workers stay switched off until their
	// capacity is needed.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// QueueConfig is the configuration of queues and pools, set by operators.
type QueueConfig struct {
	Version uint64          `cbor:"1,keyasint"`
	Source  []byte          `cbor:"2,keyasint"` // configuration document as sent by the operator
	Queues  []WorkflowQueue `cbor:"3,keyasint"`
	Pools   []Pool          `cbor:"4,keyasint"`
	// Tenants are the callers with keys. If there are none, keys are ignored.
	Tenants []Tenant `cbor:"5,keyasint,omitempty"`
	// FormerTenants are tenants that a newer configuration removed while they had
	// open workflows, without their keys. Their caps still apply.
	FormerTenants []Tenant `cbor:"6,keyasint,omitempty"`
}

// Queue returns the queue with the name, or nil.
func (c *QueueConfig) Queue(name string) *WorkflowQueue {
	if c == nil {
		return nil
	}
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// Pool returns the pool with the name, or nil.
func (c *QueueConfig) Pool(name string) *Pool {
	if c == nil {
		return nil
	}
	for i := range c.Pools {
		if c.Pools[i].Name == name {
			return &c.Pools[i]
		}
	}
	return nil
}

// WorkflowStep is a set of identical tasks of a workflow.
type WorkflowStep struct {
	Count          int       `cbor:"1,keyasint"`
	Size           Resources `cbor:"2,keyasint"`
	EstimateMillis int64     `cbor:"3,keyasint,omitempty"`
	DependsOn      []int     `cbor:"4,keyasint,omitempty"` // indexes of earlier steps that must be completed first
	Checkpoints    bool      `cbor:"5,keyasint,omitempty"`
	Gang           bool      `cbor:"6,keyasint,omitempty"` // tasks run simultaneously or not at all
	SameRack       bool      `cbor:"7,keyasint,omitempty"` // tasks run slower if spread over several racks
	Label          string    `cbor:"8,keyasint,omitempty"` // label that a worker must have
	DataRack       string    `cbor:"9,keyasint,omitempty"` // rack on which the step runs fastest
	MaxPerWorker   int       `cbor:"10,keyasint,omitempty"`
	Duplicates     bool      `cbor:"11,keyasint,omitempty"` // copies of a task may run concurrently
	LongRunning    bool      `cbor:"12,keyasint,omitempty"` // restarted until the workflow is cancelled
	Image          string    `cbor:"13,keyasint,omitempty"`
	TailMillis     int64     `cbor:"14,keyasint,omitempty"` // tail-latency target of a serving task
	BestEffort     bool      `cbor:"15,keyasint,omitempty"` // best-effort: uses idle CPU and reserves none
	MaxUnavailable int       `cbor:"16,keyasint,omitempty"` // 0 for no limit
}

// Reservation returns the resources that a task of the step reserves on a
// worker. Best-effort tasks reserve no CPU.
func (s *WorkflowStep) Reservation() Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// WorkflowSpec is a workflow as it was submitted.
type WorkflowSpec struct {
	ID              string         `cbor:"1,keyasint"`
	Queue           string         `cbor:"2,keyasint"`
	Pool            string         `cbor:"3,keyasint"`
	Priority        int            `cbor:"4,keyasint"`
	MaxAttempts     int            `cbor:"5,keyasint"`
	MaxSlowdown     float64        `cbor:"6,keyasint"`
	ObjectiveMillis int64          `cbor:"7,keyasint"`
	Payload         string         `cbor:"8,keyasint"` // passed to each task
	Steps           []WorkflowStep `cbor:"9,keyasint"`
	// Occurrences is the number of times that the steps run; 0 means once and
	// immediately.
	Occurrences    int   `cbor:"10,keyasint,omitempty"`
	FirstAtMillis  int64 `cbor:"11,keyasint,omitempty"` // start of occurrence 0, Unix milliseconds
	IntervalMillis int64 `cbor:"12,keyasint,omitempty"`
	// Tenant is the name of the tenant that submitted the workflow; empty if the
	// caller was not identified.
	Tenant string `cbor:"13,keyasint,omitempty"`
}

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (s *WorkflowSpec) TasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// taskCount returns the number of tasks over all occurrences. ok is false if it
// exceeds MaxWorkflowTasks, a step is empty or there is no step. Each count is
// checked on its own, because the sum may overflow.
func (s *WorkflowSpec) taskCount() (n int, ok bool) {
	if s.Occurrences < 0 || s.Occurrences > MaxWorkflowTasks {
		return 0, false
	}
	for i := range s.Steps {
		count := s.Steps[i].Count
		if count <= 0 || count > MaxWorkflowTasks {
			return 0, false
		}
		if n += count; n > MaxWorkflowTasks {
			return 0, false
		}
	}
	n *= max(1, s.Occurrences)
	return n, n > 0 && n <= MaxWorkflowTasks
}

// TaskPosition is the position of a task within its workflow.
type TaskPosition struct {
	Occurrence, Step, Index int
}

// Position returns the position of the task with the given index in
// Workflow.Tasks.
func (s *WorkflowSpec) Position(task int) TaskPosition {
	width := s.TasksPerOccurrence()
	p := TaskPosition{Occurrence: task / width}
	rest := task % width
	for p.Step = range s.Steps {
		if rest < s.Steps[p.Step].Count {
			break
		}
		rest -= s.Steps[p.Step].Count
	}
	p.Index = rest
	return p
}

// FirstTask returns the index in Workflow.Tasks of the first task of a step.
func (s *WorkflowSpec) FirstTask(occurrence, step int) int {
	n := occurrence * s.TasksPerOccurrence()
	for i := range step {
		n += s.Steps[i].Count
	}
	return n
}

// WorkflowPhase is the phase of a workflow.
type WorkflowPhase string

// Phases of workflows.
const (
	WorkflowQueued    WorkflowPhase = "queued" // no task has been started
	WorkflowActive    WorkflowPhase = "active"
	WorkflowCompleted WorkflowPhase = "completed"
	WorkflowFailed    WorkflowPhase = "failed"
	WorkflowCancelled WorkflowPhase = "cancelled"
)

// Ended reports whether the phase is final.
func (p WorkflowPhase) Ended() bool { return p != WorkflowQueued && p != WorkflowActive }

// WorkflowTaskPhase is the phase of a workflow's task.
type WorkflowTaskPhase uint8

// Phases of a workflow's tasks. The start of a task in TaskStarted may not have
// reached the worker.
const (
	TaskWaiting WorkflowTaskPhase = iota
	TaskStarted
	TaskDone
)

// WorkflowTask is the state of one task of a workflow. Run is the number of its
// latest start, counted from 1.
type WorkflowTask struct {
	Phase      WorkflowTaskPhase `cbor:"1,keyasint,omitempty"`
	Run        uint64            `cbor:"2,keyasint,omitempty"`
	Failures   int               `cbor:"3,keyasint,omitempty"`
	Worker     string            `cbor:"4,keyasint,omitempty"`
	Checkpoint string            `cbor:"5,keyasint,omitempty"`
	// FailedRuns are the numbers of the runs counted in Failures. The failed runs
	// of a gang are recorded in its first task; those of long-running tasks are
	// not recorded.
	FailedRuns []uint64 `cbor:"6,keyasint,omitempty"`
	// EndedAt is the time at which the last run of a long-running task ended, in
	// Unix milliseconds, without runs that never began; 0 if no run has ended.
	EndedAt int64 `cbor:"7,keyasint,omitempty"`
	// CrashedRuns are the numbers of the runs whose worker crashed and that count
	// as evidence against the task. UnexplainedCrashes is the number of those
	// that the loss of many workers does not explain, IsolatedCrashes the number
	// of these that were alone on their worker.
	CrashedRuns        []uint64 `cbor:"8,keyasint,omitempty"`
	UnexplainedCrashes int      `cbor:"9,keyasint,omitempty"`
	IsolatedCrashes    int      `cbor:"10,keyasint,omitempty"`
	// WorkerStartedAt identifies the incarnation of the worker of the latest
	// start, in Unix milliseconds; 0 if unknown.
	WorkerStartedAt int64 `cbor:"11,keyasint,omitempty"`
	// LostRuns are the runs that were given up when the lease of their worker
	// expired, until it is known whether the worker had crashed.
	LostRuns []LostRun `cbor:"12,keyasint,omitempty"`
	// ExplainedRuns are the numbers of the runs whose worker crashed for a reason
	// that does not count against the task. LongestCrash is how long the longest
	// run that ended with a crash had been at work, in milliseconds.
	ExplainedRuns []uint64 `cbor:"13,keyasint,omitempty"`
	LongestCrash  int64    `cbor:"14,keyasint,omitempty"`
	// StartAnswered means that the start of the current run was carried out. It is
	// recorded for long-running tasks only.
	StartAnswered bool `cbor:"15,keyasint,omitempty"`
	// UnansweredOn is the worker of earlier starts without an answer, which may
	// still be carried out there; empty if there are none.
	UnansweredOn string `cbor:"16,keyasint,omitempty"`
}

// LostRun is a run whose worker stopped responding.
type LostRun struct {
	Run             uint64 `cbor:"1,keyasint"`
	Worker          string `cbor:"2,keyasint"`
	WorkerStartedAt int64  `cbor:"3,keyasint"` // Unix milliseconds; 0 if unknown
}

// IsRun reports whether s is the start of the task's current run.
func (t *WorkflowTask) IsRun(s TaskStart) bool {
	return t.Phase == TaskStarted && t.Run == s.Run && t.Worker == s.Worker
}

// Workflow is a submitted workflow. Tasks is empty once it has ended.
type Workflow struct {
	Spec        WorkflowSpec   `cbor:"1,keyasint"`
	Phase       WorkflowPhase  `cbor:"2,keyasint"`
	SubmittedAt int64          `cbor:"3,keyasint"` // Unix milliseconds
	EndedAt     int64          `cbor:"4,keyasint,omitempty"`
	Tasks       []WorkflowTask `cbor:"5,keyasint,omitempty"`
	// Reason is why the workflow was given up; empty if it was not.
	Reason string `cbor:"6,keyasint,omitempty"`
	// RunningAtEnd is the total size of the tasks that were recorded as started
	// when the workflow ended. Their runs may take some time to stop.
	RunningAtEnd Resources `cbor:"7,keyasint,omitempty"`
}

// PoolWorker is one incarnation of a worker that runs tasks of workflows. It is
// identified by ID and StartedAt.
type PoolWorker struct {
	ID        string    `cbor:"1,keyasint"`
	StartedAt int64     `cbor:"2,keyasint"` // start time, Unix milliseconds; 0 if unknown
	Pool      string    `cbor:"3,keyasint"`
	Address   string    `cbor:"4,keyasint"`
	Zone      string    `cbor:"5,keyasint"`
	Capacity  Resources `cbor:"6,keyasint"`
	Labels    []string  `cbor:"7,keyasint,omitempty"`
	Machine   string    `cbor:"8,keyasint,omitempty"`
	Draining  bool      `cbor:"9,keyasint,omitempty"`
}

// SetQueues replaces the configuration of queues and pools by a newer version.
type SetQueues struct {
	Config QueueConfig `cbor:"1,keyasint"`
}

// SubmitWorkflow creates a workflow. It has no effect if a workflow with the id
// exists.
type SubmitWorkflow struct {
	Spec WorkflowSpec `cbor:"1,keyasint"`
}

// RefuseWorkflow refuses a submission and all copies of it that follow in the log
// within ForMillis. It has no effect if the workflow exists. A copy may be on its
// way through another instance, and reach the log under another leader.
type RefuseWorkflow struct {
	ID        string `cbor:"1,keyasint"`
	ForMillis int64  `cbor:"2,keyasint"`
}

// RefusedWorkflow is a submission that was refused.
type RefusedWorkflow struct {
	ID    string `cbor:"1,keyasint"`
	Until int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// CancelWorkflow cancels a workflow that has not ended. If none with the id exists,
// submissions of the tenant with this id that follow in the log within ForMillis
// are not stored: a copy of one may still be on its way through another instance,
// and reach the log under another leader.
type CancelWorkflow struct {
	ID        string `cbor:"1,keyasint"`
	ForMillis int64  `cbor:"2,keyasint,omitempty"`
	// Tenant is the tenant of the caller. OnlyOwn leaves the workflows of other
	// tenants unchanged.
	Tenant  string `cbor:"3,keyasint,omitempty"`
	OnlyOwn bool   `cbor:"4,keyasint,omitempty"`
}

// CancelledSubmission is a submission that was cancelled before it arrived.
type CancelledSubmission struct {
	ID     string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint,omitempty"`
	Until  int64  `cbor:"3,keyasint"` // Unix milliseconds
}

// TaskStart records that a run of a task is about to be started on a worker.
type TaskStart struct {
	Workflow string `cbor:"1,keyasint"`
	Task     int    `cbor:"2,keyasint"`
	Run      uint64 `cbor:"3,keyasint"`
	Worker   string `cbor:"4,keyasint"`
	// WorkerStartedAt identifies the incarnation of the worker, in Unix
	// milliseconds; 0 if unknown.
	WorkerStartedAt int64 `cbor:"5,keyasint,omitempty"`
}

// TaskOutcome is the outcome of a run.
type TaskOutcome uint8

// Outcomes of runs. A run with OutcomeLost was stopped, its worker ended, or its
// lease expired.
const (
	OutcomeDone TaskOutcome = iota + 1
	OutcomeFailed
	OutcomeLost
)

// CrashKind is how much the crash of a worker says against a task that ran on
// it.
type CrashKind uint8

// Kinds of crashes.
const (
	CrashNone        CrashKind = iota // none, or one that says nothing against the task
	CrashMassLoss                     // many workers were lost at the same moment
	CrashUnexplained                  // nothing else explains the crash than the runs on the worker
	CrashIsolated                     // unexplained, and the run was alone on the worker
)

var crashKindNames = [...]string{"none", "mass-loss", "unexplained", "isolated"}

// String returns the kind as in logs.
func (k CrashKind) String() string { return crashKindNames[k] }

// TaskEnd records the end of a run.
type TaskEnd struct {
	Workflow   string      `cbor:"1,keyasint"`
	Task       int         `cbor:"2,keyasint"`
	Run        uint64      `cbor:"3,keyasint"`
	Outcome    TaskOutcome `cbor:"4,keyasint"`
	Checkpoint string      `cbor:"5,keyasint,omitempty"`
	NotStarted bool        `cbor:"6,keyasint,omitempty"` // the run did not start, as far as is known
	// Crash is the evidence against the task if the worker crashed.
	Crash CrashKind `cbor:"7,keyasint,omitempty"`
	// Cleared discards the evidence of earlier runs.
	Cleared bool `cbor:"8,keyasint,omitempty"`
	// GiveUp is why the workflow must not continue; empty if it may.
	GiveUp string `cbor:"9,keyasint,omitempty"`
	// LeaseExpired means that the run was given up because its worker did not
	// respond. It is a lost run until a later record of its end has Crash or
	// Resolved, which means that the crash, if any, says nothing.
	LeaseExpired bool `cbor:"10,keyasint,omitempty"`
	Resolved     bool `cbor:"11,keyasint,omitempty"`
	// Explained means that the worker crashed, but for a reason that does not
	// count against the task. Crash is then CrashNone.
	Explained bool `cbor:"12,keyasint,omitempty"`
	// WorkedMillis is how long the run had been at work when its worker crashed.
	WorkedMillis int64 `cbor:"13,keyasint,omitempty"`
	// Unanswered means that the start had no answer and may still be carried out by
	// a later incarnation of the worker.
	Unanswered bool `cbor:"14,keyasint,omitempty"`
}

// TaskRun identifies a run of a task.
type TaskRun struct {
	Workflow string `cbor:"1,keyasint"`
	Task     int    `cbor:"2,keyasint"`
	Run      uint64 `cbor:"3,keyasint"`
}

// RecordTasks records what is known of earlier starts, then the ends and then the
// starts of runs. Entries that no longer apply are ignored.
type RecordTasks struct {
	Ends   []TaskEnd   `cbor:"1,keyasint,omitempty"`
	Starts []TaskStart `cbor:"2,keyasint,omitempty"`
	// Answered are the runs of long-running tasks whose start was carried out.
	Answered []TaskRun `cbor:"3,keyasint,omitempty"`
	// Settled are the tasks whose unanswered starts can no longer be carried out; Run
	// is the last of them.
	Settled []TaskRun `cbor:"4,keyasint,omitempty"`
}

// RemovedWorker is a worker incarnation that was removed after a drain. The
// record prevents delayed reports from adding the incarnation again.
type RemovedWorker struct {
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint"` // Unix milliseconds
	At        int64  `cbor:"3,keyasint"` // time of removal, Unix milliseconds
}

// WasRemoved reports whether this incarnation of the worker, or a later one,
// was removed after a drain.
func (s *State) WasRemoved(w *PoolWorker) bool {
	d, ok := s.RemovedWorkers.Get(w.ID)
	return ok && w.StartedAt != 0 && w.StartedAt <= d.StartedAt
}

// SetPoolWorkers adds or updates worker incarnations and removes others. An
// incarnation that is draining stays draining until it is removed.
type SetPoolWorkers struct {
	Updated []PoolWorker `cbor:"1,keyasint,omitempty"`
	Removed []PoolWorker `cbor:"2,keyasint,omitempty"` // only ID and StartedAt are used
}

// SetEvacuation excludes the workers of an availability zone from workflow
// placement, or includes them again.
type SetEvacuation struct {
	Zone     string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint,omitempty"`
}

// ServingImage contains the estimates for the serving tasks of one image.
type ServingImage struct {
	Image         string              `cbor:"1,keyasint"`
	MinTailMillis float64             `cbor:"2,keyasint"` // lowest tail latency observed
	Load          float64             `cbor:"3,keyasint"` // mean utilisation by the tasks themselves
	Interference  []ImageInterference `cbor:"4,keyasint,omitempty"`
}

// ImageInterference is the interference coefficient of a best-effort image: the
// utilisation that it adds to co-located serving tasks when it uses all CPUs of
// a worker.
type ImageInterference struct {
	BestEffort string  `cbor:"1,keyasint"`
	Value      float64 `cbor:"2,keyasint"`
}

// SetInterference replaces the saved interference estimates.
type SetInterference struct {
	Images []ServingImage `cbor:"1,keyasint,omitempty"`
}

// Kind implements Body.
func (SetQueues) Kind() Kind { return KindSetQueues }

// Kind implements Body.
func (SubmitWorkflow) Kind() Kind { return KindSubmitWorkflow }

// Kind implements Body.
func (RefuseWorkflow) Kind() Kind { return KindRefuseWorkflow }

// Kind implements Body.
func (CancelWorkflow) Kind() Kind { return KindCancelWorkflow }

// Kind implements Body.
func (RecordTasks) Kind() Kind { return KindRecordTasks }

// Kind implements Body.
func (SetPoolWorkers) Kind() Kind { return KindSetPoolWorkers }

// Kind implements Body.
func (SetEvacuation) Kind() Kind { return KindSetEvacuation }

// Kind implements Body.
func (SetInterference) Kind() Kind { return KindSetInterference }
