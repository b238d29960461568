package placement

// RunProgress is the progress of a run, as reported by its worker.
type RunProgress struct {
	// EstimateMillis is the duration of the whole task at full speed that it is
	// expected not to exceed on another worker. LongMillis is the duration that
	// few tasks of its kind exceed.
	EstimateMillis, LongMillis int64
	// Progress is the current progress. InitialProgress is the progress at the
	// first report of the run, ObservedMillis earlier. Both are in percent.
	Progress, InitialProgress int
	ObservedMillis            int64
	// UnchangedMillis is the time since Progress last changed.
	UnchangedMillis int64
	// RatePercent is the execution rate at which the run may work.
	RatePercent int
	// CheckpointPercent is the progress from which another run could resume, in
	// percent.
	CheckpointPercent int
	// RestartMillis is the cost of starting the task on another worker, without
	// the work itself.
	RestartMillis int64
}

const (
	// minObservedMillis is how long a run is observed before its speed is
	// evaluated. Reports arrive about every second.
	minObservedMillis = 900
	// A run is stalled if its progress has not changed for minUnchangedMillis
	// and for maxUnchangedFraction of its longest duration. The fraction is needed
	// because one percent of a long task takes long.
	minUnchangedMillis   = 1500
	maxUnchangedFraction = 0.15
	// minSpeedup is the minimum ratio of the remaining time on the current
	// worker to that on another one for a restart to pay off. It is large
	// because the estimates are rough.
	minSpeedup = 3.0
	// minGainMillis is the fixed gain required in addition.
	minGainMillis = 500
)

// Stalled reports whether a run makes no progress. Tasks may hang on a worker
// that otherwise appears healthy.
func Stalled(r RunProgress) bool {
	return r.RatePercent > 0 && r.Progress < fullRate && float64(r.UnchangedMillis) > max(minUnchangedMillis, maxUnchangedFraction*float64(max(r.EstimateMillis, r.LongMillis)))
}

// IsStraggler reports whether a run should be restarted on another worker
// because its worker is several times slower than others, or because the run is
// stalled.
func IsStraggler(r RunProgress) bool {
	if r.RatePercent <= 0 || r.Progress >= fullRate {
		return false
	}
	if Stalled(r) {
		return true
	}
	if r.ObservedMillis < minObservedMillis {
		return false
	}
	elsewhere := float64(r.EstimateMillis)*float64(fullRate-r.CheckpointPercent)/fullRate + float64(r.RestartMillis)
	done := float64(r.Progress - r.InitialProgress)
	if done <= 0 {
		return false // not stalled yet
	}
	// The measured progress is scaled to full speed.
	rate := done / float64(r.ObservedMillis) * fullRate / float64(r.RatePercent)
	remaining := float64(fullRate-r.Progress) / rate
	return remaining > minSpeedup*elsewhere+minGainMillis
}
