package state

import (
	"fmt"
	"reflect"
)

// CheckIndexes compares the secondary indexes with ones built anew.
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
		{"byOwner", entries(s.byOwner), entries(fresh.byOwner)},
		{"requestAges", entries(s.requestAges), entries(fresh.requestAges)},
		{"endedJobs", entries(s.endedJobs), entries(fresh.endedJobs)},
		{"teamUsed", entries(s.teamUsed), entries(fresh.teamUsed)},
	}
	for _, c := range checks {
		if !reflect.DeepEqual(c.got, c.want) {
			return fmt.Errorf("index %s: %v, built anew: %v", c.name, c.got, c.want)
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
