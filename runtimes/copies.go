package runtimes

// Straggler is a run that may be copied: the task is started a second time
// elsewhere, and the first run that completes counts.
type Straggler struct {
	// Tasks is the number of tasks of the step, Unfinished those that have not
	// been done, and Waiting those of these that have not started.
	Tasks, Unfinished, Waiting int
	// RemainingMillis is how long the run will still take, ElsewhereMillis how
	// long a run on another worker takes from its start, and RestartMillis the
	// delay until it starts.
	RemainingMillis, ElsewhereMillis, RestartMillis int64
}

const (
	// stragglerShare is the reciprocal of the share of a step that stragglers are.
	// If more of it is unfinished, the step doesn't wait for them alone.
	stragglerShare = 3
	// minCopyGain is the ratio of the remaining time of a run to the time until a
	// copy is done from which a copy pays off. A copy uses idle capacity, and the
	// run that it copies continues, so that little is lost if it doesn't.
	minCopyGain = 1.5
	// maxCopyShare is the reciprocal of the number of copies per worker of a pool.
	maxCopyShare = 8
)

// CopyPays reports whether a run should be copied to idle capacity.
//
// Load pattern: one run in 33 takes seven times as long, on any worker. In a
// step of 20 tasks nearly every second time one does, and the step ends with it
// although capacity is idle.
func CopyPays(s Straggler) bool {
	if s.Waiting > 0 || s.Unfinished > MaxStragglers(s.Tasks) {
		return false
	}
	return float64(s.RemainingMillis) > minCopyGain*float64(s.ElsewhereMillis+s.RestartMillis)
}

// MaxStragglers returns how many unfinished tasks of a step may be stragglers.
func MaxStragglers(tasks int) int { return max(1, tasks/stragglerShare) }

// MaxCopies returns how many copies may run in a pool at a time. Copies never
// delay other work, but they interfere with the tasks beside them.
func MaxCopies(poolWorkers int) int { return max(1, poolWorkers/maxCopyShare) }
