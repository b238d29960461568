package workerstandin

import (
	"fmt"
	"slices"
	"time"

	"apricotrouter/worker"
)

// AllRecords returns the records of the workers.
func AllRecords(workers ...*Worker) []Record {
	var all []Record
	for _, w := range workers {
		all = append(all, w.Records()...)
	}
	return all
}

// Overlaps describes each pair of concurrent runs of the same task.
func Overlaps(records []Record) []string {
	sorted := slices.Clone(records)
	slices.SortStableFunc(sorted, func(a, b Record) int { return a.Start.Compare(b.Start) })
	var found []string
	last := make(map[string]Record) // by task, the run that ends last
	for _, r := range sorted {
		prev, ok := last[r.Task]
		if ok && (prev.End == EndNone || prev.Finish.After(r.Start)) {
			found = append(found, fmt.Sprintf("%s on %s until %s and %s on %s from %s",
				prev.TaskKey, prev.Worker, clockTime(prev.Finish), r.TaskKey, r.Worker, clockTime(r.Start)))
		}
		if !ok || prev.End != EndNone && (r.End == EndNone || r.Finish.After(prev.Finish)) {
			last[r.Task] = r
		}
	}
	return found
}

// Repeated describes the task incarnations that were started more than once and
// the tasks that completed more than once.
func Repeated(records []Record) []string {
	starts := make(map[worker.TaskKey]int)
	exits := make(map[string]int)
	var found []string
	for _, r := range records {
		starts[r.TaskKey]++
		if starts[r.TaskKey] == 2 {
			found = append(found, r.TaskKey.String()+" started twice")
		}
		if r.End != EndExited {
			continue
		}
		exits[r.Task]++
		if exits[r.Task] == 2 {
			found = append(found, r.Task+" completed twice")
		}
	}
	return found
}

// StartedBetween returns the runs that started after from and not after to.
func StartedBetween(records []Record, from, to time.Time) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool {
		return !r.Start.After(from) || r.Start.After(to)
	})
}

func clockTime(t time.Time) string {
	if t.IsZero() {
		return "now"
	}
	return t.Format("15:04:05.000")
}
