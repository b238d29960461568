// Package state implements the replicated state machine: the aggregates, the
// typed commands that change them, and the deterministic application of
// commands. A State is immutable and can be read without locks.
package state

import "iter"

// State is the complete replicated state at one log index.
type State struct {
	Index uint64 // log index of the last applied command
	Time  int64  // latest time of an applied command, Unix milliseconds

	Zones       Table[*ZoneRecord]
	Services    Table[*Service]
	Jobs        Table[*Job]
	Tasks       Table[*Task]
	Workers     Table[*Worker]
	Endpoints   Table[*Endpoint]
	Assignments Table[*Assignment] // by AssignmentKey
	Instances   Table[*Instance]
	Teams       Table[*Team]
	Buckets     Table[*LedgerBucket] // by BucketKey
	Requests    Table[*RequestResult]
	Audit       AuditTrail

	Queues         *QueueConfig // nil until a configuration is applied
	Workflows      Table[*Workflow]
	PoolWorkers    Table[*PoolWorker]
	RemovedWorkers Table[*RemovedWorker] // pool worker incarnations removed after a drain
	// RefusedWorkflows are the submissions that were refused a short time ago.
	RefusedWorkflows Table[*RefusedWorkflow]
	// CancelledSubmissions are the submissions that were cancelled a short time ago,
	// before they arrived, by TENANT, ID.
	CancelledSubmissions Table[*CancelledSubmission]
	Evacuated            Table[string] // availability zones excluded from workflow placement
	// Interference are the last saved interference estimates, from which a new
	// leader starts; nil if there are none.
	Interference *SetInterference

	// NextAudit is the sequence number of the next audit record.
	NextAudit uint64

	// Secondary indexes. They are rebuilt from the tables above when a snapshot
	// is decoded. The parts of their keys are separated by keySeparator.
	tasksByWorker      Table[*Task]     // WORKER, TASK of tasks with a reservation
	tasksByOwner       Table[struct{}]  // KIND, OWNER, TASK of all tasks
	pending            Table[struct{}]  // queueKey of pending tasks
	assignmentsByOwner Table[struct{}]  // INSTANCE, KIND/ID of assignments
	requestsByAge      Table[string]    // ids of Requests, oldest first
	endedJobsByAge     Table[string]    // ids of jobs whose tasks have all ended, oldest first
	teamUsage          Table[Resources] // TEAM; resources reserved by its batch tasks

	openWorkflows  Table[struct{}] // ids of workflows that have not ended
	endedWorkflows Table[string]   // ids of workflows that have ended, oldest first

	cancelledByAge Table[string] // keys of CancelledSubmissions, those that end first come first
}

// OpenWorkflows yields the ids of the workflows that have not ended.
func (s *State) OpenWorkflows() iter.Seq2[string, struct{}] { return s.openWorkflows.All() }

// EndedCount returns the number of stored workflows that have ended.
func (s *State) EndedCount() int { return s.endedWorkflows.Len() }

// EndedWorkflows yields the ids of the workflows that have ended, oldest first.
func (s *State) EndedWorkflows() iter.Seq2[string, string] { return s.endedWorkflows.All() }

// IsZoneEvacuated reports whether the availability zone is excluded from
// workflow placement by an evacuation.
func (s *State) IsZoneEvacuated(zone string) bool {
	_, evacuated := s.Evacuated.Get(zone)
	return evacuated
}

// New returns an empty state.
func New() *State {
	return &State{NextAudit: 1}
}

// AssignmentKey returns the key of an assignment.
func AssignmentKey(kind AssignmentKind, id string) string {
	return string(kind) + "/" + id
}

// Assignment returns the assignment of an endpoint or worker, or nil if it has
// none.
func (s *State) Assignment(kind AssignmentKind, id string) *Assignment {
	a, _ := s.Assignments.Get(AssignmentKey(kind, id))
	return a
}

// IsZoneDrained reports whether the availability zone is drained. It returns
// false for an unknown zone.
func (s *State) IsZoneDrained(name string) bool {
	z, ok := s.Zones.Get(name)
	return ok && z.Out
}
