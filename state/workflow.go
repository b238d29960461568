package state

// A workflow is a batch job of steps with dependencies, submitted to a queue.
// Its tasks run on pool workers.

// QueuePolicy is how a policy service is asked which workers may run a step.
type QueuePolicy struct {
	DecisionMillis  int64 `cbor:"1,keyasint"` // fixed cost of one call
	PerWorkerMillis int64 `cbor:"2,keyasint"` // cost of each worker named in a call
	ValidMillis     int64 `cbor:"3,keyasint"` // how long a ticket is accepted
}

// WorkflowQueue takes workflows whose tasks run on the workers of one pool.
type WorkflowQueue struct {
	Name            string       `cbor:"1,keyasint"`
	Host            string       `cbor:"2,keyasint"`
	PathPrefix      string       `cbor:"3,keyasint"`
	Pool            string       `cbor:"4,keyasint"`
	Priority        int          `cbor:"5,keyasint"` // 0 is served first
	MaxAttempts     int          `cbor:"6,keyasint"` // failed runs after which a task is given up
	Stretch         float64      `cbor:"7,keyasint"` // allowed multiple of the longest chain of work
	ObjectiveMillis int64        `cbor:"8,keyasint"` // allowed time beyond Stretch
	TimeoutMillis   int64        `cbor:"9,keyasint"` // of one call of a client
	Policy          *QueuePolicy `cbor:"10,keyasint"`
}

// Pool is a set of interchangeable workers.
type Pool struct {
	Name string `cbor:"1,keyasint"`
	// Guarded says that the pool's workers refuse what exceeds their capacity.
	Guarded bool `cbor:"2,keyasint,omitempty"`
	// Standby pools are switched off until work needs them.
	Standby bool `cbor:"3,keyasint,omitempty"`
}

// QueueConfig is the operators' configuration of queues and pools.
type QueueConfig struct {
	Version uint64          `cbor:"1,keyasint"`
	Source  []byte          `cbor:"2,keyasint"` // document as the operator sent it
	Queues  []WorkflowQueue `cbor:"3,keyasint"`
	Pools   []Pool          `cbor:"4,keyasint"`
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

// WorkflowStep is a set of equal tasks.
type WorkflowStep struct {
	Count          int       `cbor:"1,keyasint"`
	Size           Resources `cbor:"2,keyasint"`
	EstimateMillis int64     `cbor:"3,keyasint,omitempty"`
	DependsOn      []int     `cbor:"4,keyasint,omitempty"` // earlier steps that must be completed
	Checkpoints    bool      `cbor:"5,keyasint,omitempty"`
	Gang           bool      `cbor:"6,keyasint,omitempty"` // tasks run all together or not at all
	SameRack       bool      `cbor:"7,keyasint,omitempty"` // tasks are slower on more than one rack
	Label          string    `cbor:"8,keyasint,omitempty"` // label that the worker must have
	DataRack       string    `cbor:"9,keyasint,omitempty"` // rack on which the step is fastest
	MaxPerWorker   int       `cbor:"10,keyasint,omitempty"`
	Duplicates     bool      `cbor:"11,keyasint,omitempty"` // copies of a task may run at the same time
	LongRunning    bool      `cbor:"12,keyasint,omitempty"` // restarted until the workflow is cancelled
	Image          string    `cbor:"13,keyasint,omitempty"`
	TailMillis     int64     `cbor:"14,keyasint,omitempty"` // target of the tail latency of a serving task
	Leftover       bool      `cbor:"15,keyasint,omitempty"` // uses processors that other tasks leave unused
	MaxUnavailable int       `cbor:"16,keyasint,omitempty"` // 0 for no limit
}

// Reserves returns what a task of the step takes of a worker's capacity.
func (s *WorkflowStep) Reserves() Resources {
	r := s.Size
	if s.Leftover {
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
	Stretch         float64        `cbor:"6,keyasint"`
	ObjectiveMillis int64          `cbor:"7,keyasint"`
	Payload         string         `cbor:"8,keyasint"` // handed to each task
	Steps           []WorkflowStep `cbor:"9,keyasint"`
	// Occurrences is how often the steps run; 0 for once and at once.
	Occurrences    int   `cbor:"10,keyasint,omitempty"`
	FirstAtMillis  int64 `cbor:"11,keyasint,omitempty"` // Unix time of occurrence 0
	IntervalMillis int64 `cbor:"12,keyasint,omitempty"`
}

// Width returns the number of tasks of one occurrence.
func (s *WorkflowSpec) Width() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// taskCount returns the number of tasks over all occurrences, if it is within
// MaxWorkflowTasks. Each count is checked by itself, as their sum may overflow.
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

// TaskPosition is the place of a task within its workflow.
type TaskPosition struct {
	Occurrence, Step, Index int
}

// Position returns the place of the task with the flat number.
func (s *WorkflowSpec) Position(task int) TaskPosition {
	width := s.Width()
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

// FirstTask returns the flat number of the first task of a step.
func (s *WorkflowSpec) FirstTask(occurrence, step int) int {
	n := occurrence * s.Width()
	for i := range step {
		n += s.Steps[i].Count
	}
	return n
}

// WorkflowPhase is the phase of a workflow.
type WorkflowPhase string

// Phases of workflows.
const (
	WorkflowQueued    WorkflowPhase = "queued" // no task has started yet
	WorkflowActive    WorkflowPhase = "active"
	WorkflowCompleted WorkflowPhase = "completed"
	WorkflowFailed    WorkflowPhase = "failed"
	WorkflowCancelled WorkflowPhase = "cancelled"
)

// Ended reports whether nothing more is started.
func (p WorkflowPhase) Ended() bool { return p != WorkflowQueued && p != WorkflowActive }

// WorkflowTaskPhase is the phase of a task of a workflow.
type WorkflowTaskPhase uint8

// Phases of tasks. A started task may or may not have reached its worker.
const (
	TaskWaiting WorkflowTaskPhase = iota
	TaskStarted
	TaskDone
)

// WorkflowTask is one task. Run numbers its starts from 1.
type WorkflowTask struct {
	Phase      WorkflowTaskPhase `cbor:"1,keyasint,omitempty"`
	Run        uint64            `cbor:"2,keyasint,omitempty"`
	Failures   int               `cbor:"3,keyasint,omitempty"`
	Worker     string            `cbor:"4,keyasint,omitempty"`
	Checkpoint string            `cbor:"5,keyasint,omitempty"`
	// FailedRuns are the runs that Failures counts. Those of a gang are kept
	// with its first task, those of long-running tasks not at all.
	FailedRuns []uint64 `cbor:"6,keyasint,omitempty"`
	// EndedAt is when the last run of a long-running task ended that began, Unix
	// milliseconds; 0 if none has.
	EndedAt int64 `cbor:"7,keyasint,omitempty"`
}

// Records reports whether the task's current run is the one of a start.
func (t *WorkflowTask) Records(s TaskStart) bool {
	return t.Phase == TaskStarted && t.Run == s.Run && t.Worker == s.Worker
}

// Workflow is a submitted workflow. Once it has ended it keeps no tasks.
type Workflow struct {
	Spec        WorkflowSpec   `cbor:"1,keyasint"`
	Phase       WorkflowPhase  `cbor:"2,keyasint"`
	SubmittedAt int64          `cbor:"3,keyasint"` // Unix milliseconds
	EndedAt     int64          `cbor:"4,keyasint,omitempty"`
	Tasks       []WorkflowTask `cbor:"5,keyasint,omitempty"`
}

// PoolWorker is one life of a worker that runs tasks of workflows.
type PoolWorker struct {
	ID       string    `cbor:"1,keyasint"`
	Born     int64     `cbor:"2,keyasint"` // Unix milliseconds of its start
	Pool     string    `cbor:"3,keyasint"`
	Address  string    `cbor:"4,keyasint"`
	Zone     string    `cbor:"5,keyasint"`
	Capacity Resources `cbor:"6,keyasint"`
	Labels   []string  `cbor:"7,keyasint,omitempty"`
	Machine  string    `cbor:"8,keyasint,omitempty"`
	Draining bool      `cbor:"9,keyasint,omitempty"`
}

// SetQueues replaces the configuration of queues by a newer version.
type SetQueues struct {
	Config QueueConfig `cbor:"1,keyasint"`
}

// SubmitWorkflow creates a workflow. One with a known id changes nothing.
type SubmitWorkflow struct {
	Spec WorkflowSpec `cbor:"1,keyasint"`
}

// CancelWorkflow ends a workflow.
type CancelWorkflow struct {
	ID string `cbor:"1,keyasint"`
}

// TaskStart says that a run of a task is about to be started.
type TaskStart struct {
	Workflow string `cbor:"1,keyasint"`
	Task     int    `cbor:"2,keyasint"`
	Run      uint64 `cbor:"3,keyasint"`
	Worker   string `cbor:"4,keyasint"`
}

// TaskOutcome is how a run ended.
type TaskOutcome uint8

// Outcomes of runs. A lost run was stopped, or ended with its worker or lease.
const (
	OutcomeDone TaskOutcome = iota + 1
	OutcomeFailed
	OutcomeLost
)

// TaskEnd says how a run ended.
type TaskEnd struct {
	Workflow   string      `cbor:"1,keyasint"`
	Task       int         `cbor:"2,keyasint"`
	Run        uint64      `cbor:"3,keyasint"`
	Outcome    TaskOutcome `cbor:"4,keyasint"`
	Checkpoint string      `cbor:"5,keyasint,omitempty"`
	Void       bool        `cbor:"6,keyasint,omitempty"` // the run is not known to have begun
}

// RecordTasks records ends and then starts of runs. Those that no longer
// apply change nothing.
type RecordTasks struct {
	Ends   []TaskEnd   `cbor:"1,keyasint,omitempty"`
	Starts []TaskStart `cbor:"2,keyasint,omitempty"`
}

// DepartedWorker is a life of a worker that drained and ended. Reports of it
// that arrive later don't bring it back.
type DepartedWorker struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"` // Unix milliseconds
	At   int64  `cbor:"3,keyasint"` // when it was forgotten, Unix milliseconds
}

// HasDeparted reports whether the life of the worker, or a later one, has ended
// after a drain.
func (s *State) HasDeparted(w *PoolWorker) bool {
	d, ok := s.Departed.Get(w.ID)
	return ok && w.Born != 0 && w.Born <= d.Born
}

// SetPoolWorkers makes lives of workers known and forgets others. A life that
// drains does so until its end.
type SetPoolWorkers struct {
	Workers []PoolWorker `cbor:"1,keyasint,omitempty"`
	Gone    []PoolWorker `cbor:"2,keyasint,omitempty"` // only ID and Born count
}

// SetEvacuation takes the workers of an availability zone out of use for
// workflows, or back.
type SetEvacuation struct {
	Zone string `cbor:"1,keyasint"`
	Out  bool   `cbor:"2,keyasint,omitempty"`
}

// ServingImage is what is known of the serving tasks of an image.
type ServingImage struct {
	Image       string          `cbor:"1,keyasint"`
	FloorMillis float64         `cbor:"2,keyasint"` // shortest tail seen
	Load        float64         `cbor:"3,keyasint"` // mean own utilisation
	Pressures   []ImagePressure `cbor:"4,keyasint,omitempty"`
}

// ImagePressure is the utilisation that a leftover image adds to serving tasks
// when it uses all processors of a worker.
type ImagePressure struct {
	Leftover string  `cbor:"1,keyasint"`
	Value    float64 `cbor:"2,keyasint"`
}

// SetPressures replaces the saved estimates of how images disturb each other.
type SetPressures struct {
	Images []ServingImage `cbor:"1,keyasint,omitempty"`
}

// Kind implements Body.
func (SetQueues) Kind() Kind { return KindSetQueues }

// Kind implements Body.
func (SubmitWorkflow) Kind() Kind { return KindSubmitWorkflow }

// Kind implements Body.
func (CancelWorkflow) Kind() Kind { return KindCancelWorkflow }

// Kind implements Body.
func (RecordTasks) Kind() Kind { return KindRecordTasks }

// Kind implements Body.
func (SetPoolWorkers) Kind() Kind { return KindSetPoolWorkers }

// Kind implements Body.
func (SetEvacuation) Kind() Kind { return KindSetEvacuation }

// Kind implements Body.
func (SetPressures) Kind() Kind { return KindSetPressures }
