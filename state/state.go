// Package state holds the replicated state: its aggregates, the typed
// commands that change them, and the deterministic application of a command.
// A State is immutable, so a reader may keep one for as long as it likes.
package state

import "iter"

// State is the value of all replicated state at one log index.
type State struct {
	Index uint64 // log index of the last applied command
	Time  int64  // time of the last applied command, Unix milliseconds

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

	Queues      *QueueConfig // nil before the first configuration
	Workflows   Table[*Workflow]
	PoolWorkers Table[*PoolWorker]
	Departed    Table[*DepartedWorker] // lives of pool workers that ended after a drain
	Evacuated   Table[string]          // availability zones that workflows must not use
	// Pressures are the last saved estimates, for the next leader; nil if none.
	Pressures *SetPressures

	// NextAudit is the sequence number of the next audit record.
	NextAudit uint64

	// Secondary indexes, rebuilt from the tables above when a snapshot is
	// decoded. The parts of a key are separated by keySeparator.
	tasksByWorker Table[*Task]     // WORKER, TASK of tasks that hold a reservation
	tasksByOwner  Table[struct{}]  // KIND, OWNER, TASK of all tasks
	pending       Table[struct{}]  // queueKey of pending tasks
	byOwner       Table[struct{}]  // INSTANCE, KIND/ID of assignments
	requestAges   Table[string]    // age order of Requests
	endedJobs     Table[string]    // age order of jobs whose tasks have all ended
	teamUsed      Table[Resources] // what the batch tasks of a team hold

	openWorkflows  Table[struct{}] // ids of workflows that have not ended
	endedWorkflows Table[string]   // age order of the others
}

// OpenWorkflows yields the ids of the workflows that have not ended.
func (s *State) OpenWorkflows() iter.Seq2[string, struct{}] { return s.openWorkflows.All() }

// EndedWorkflows yields the ids of the workflows that have ended, oldest first.
func (s *State) EndedWorkflows() iter.Seq2[string, string] { return s.endedWorkflows.All() }

// ZoneEvacuated reports whether workflows must not use the availability zone.
func (s *State) ZoneEvacuated(zone string) bool {
	_, out := s.Evacuated.Get(zone)
	return out
}

// New returns the empty state before the first command.
func New() *State {
	return &State{NextAudit: 1}
}

// AssignmentKey returns the key of an assignment.
func AssignmentKey(kind AssignmentKind, id string) string {
	return string(kind) + "/" + id
}

// Assignment returns the assignment of an endpoint or worker, or nil.
func (s *State) Assignment(kind AssignmentKind, id string) *Assignment {
	a, _ := s.Assignments.Get(AssignmentKey(kind, id))
	return a
}

// ZoneOut reports whether operators have taken the availability zone out. An
// unknown zone is in.
func (s *State) ZoneOut(name string) bool {
	z, ok := s.Zones.Get(name)
	return ok && z.Out
}
