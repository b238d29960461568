package state

import (
	"fmt"
	"iter"
	"strings"
)

// keySeparator separates the parts of a secondary index key. Ids can't contain
// it.
const keySeparator = "\x00"

func key(parts ...string) string { return strings.Join(parts, keySeparator) }

// lastPart returns the last part of a secondary index key.
func lastPart(k string) string {
	return k[strings.LastIndex(k, keySeparator)+1:]
}

// AuditKey returns the key of an audit record. Keys are ordered by sequence
// number.
func AuditKey(sequence uint64) string { return fmt.Sprintf("%020d", sequence) }

// BucketKey returns the key of a ledger bucket. Keys are ordered by number.
func BucketKey(number int) string { return fmt.Sprintf("%03d", number) }

// Task returns a task, or nil if it does not exist.
func (s *State) Task(id string) *Task {
	t, _ := s.Tasks.Get(id)
	return t
}

// TasksOnWorker yields the tasks with a reservation on a worker.
func (s *State) TasksOnWorker(id string) iter.Seq[*Task] {
	return s.tasksByWorker.valuesWithPrefix(key(id, ""))
}

// TasksOf yields the tasks of a service or job, including ended tasks.
func (s *State) TasksOf(kind TaskKind, owner string) iter.Seq[*Task] {
	return s.tasksByIndex(s.tasksByOwner, key(string(kind), owner, ""))
}

// PendingTasks yields the pending tasks, ordered by rank, team and time of
// submission.
func (s *State) PendingTasks() iter.Seq[*Task] {
	return s.tasksByIndex(s.pending, "")
}

// PendingCount returns the number of pending tasks.
func (s *State) PendingCount() int { return s.pending.Len() }

func (s *State) tasksByIndex(index Table[struct{}], prefix string) iter.Seq[*Task] {
	return func(yield func(*Task) bool) {
		for k := range index.WithPrefix(prefix) {
			if t, ok := s.Tasks.Get(lastPart(k)); ok && !yield(t) {
				return
			}
		}
	}
}

// OwnedBy yields the assignments of a kind that an entry instance owns.
func (s *State) OwnedBy(instance string, kind AssignmentKind) iter.Seq[*Assignment] {
	return func(yield func(*Assignment) bool) {
		for k := range s.assignmentsByOwner.WithPrefix(key(instance, AssignmentKey(kind, ""))) {
			if a, ok := s.Assignments.Get(lastPart(k)); ok && !yield(a) {
				return
			}
		}
	}
}

// TeamUsed returns the resources reserved by the batch tasks of a team.
func (s *State) TeamUsed(team string) Resources {
	r, _ := s.teamUsage.Get(team)
	return r
}
