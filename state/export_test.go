package state

import (
	"fmt"
	"reflect"
)

// CheckIndexes returns an error if a secondary index differs from the index
// rebuilt from a snapshot.
func CheckIndexes(s *State) error {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	fresh, err := DecodeSnapshot(data)
	if err != nil {
		return err
	}
	checks := []struct {
		name      string
		got, want any
	}{
		{"tasksByWorker", entries(s.tasksByWorker), entries(fresh.tasksByWorker)},
		{"tasksByOwner", entries(s.tasksByOwner), entries(fresh.tasksByOwner)},
		{"pending", entries(s.pending), entries(fresh.pending)},
		{"assignmentsByOwner", entries(s.assignmentsByOwner), entries(fresh.assignmentsByOwner)},
		{"requestsByAge", entries(s.requestsByAge), entries(fresh.requestsByAge)},
		{"endedJobsByAge", entries(s.endedJobsByAge), entries(fresh.endedJobsByAge)},
		{"teamUsage", entries(s.teamUsage), entries(fresh.teamUsage)},
	}
	for _, c := range checks {
		if !reflect.DeepEqual(c.got, c.want) {
			return fmt.Errorf("index %s is %v, rebuilt index is %v", c.name, c.got, c.want)
		}
	}
	return nil
}

func entries[T any](t Table[T]) []any {
	var all []any
	for k, v := range t.All() {
		all = append(all, k, v)
	}
	return all
}
