package placement

// RunProgress is how far a run has come, as its worker reports it.
type RunProgress struct {
	// EstimateMillis is how long the whole task should take at full speed.
	EstimateMillis int64
	// Progress and Begin are the percent done now and when the run was first
	// reported, ObservedMillis earlier.
	Progress, Begin int
	ObservedMillis  int64
	// StillMillis is how long Progress has not changed.
	StillMillis int64
	// Percent is the pace at which it may work.
	Percent int
	// Kept is the progress that another run could resume from, in percent.
	Kept int
	// RestartMillis is what it costs to start the task elsewhere besides work.
	RestartMillis int64
}

const (
	// minObserved is how long a run is observed before it is judged: reports
	// come about every second.
	minObserved = 900
	// minStill and stillShare say how long a run stands still before it counts
	// as stalled: a percent of a long task takes its time.
	minStill   = 1500
	stillShare = 0.15
	// gainFactor is how many times longer the rest must take here than
	// elsewhere before a move pays, as estimates are rough.
	gainFactor = 3.0
	// gainMillis is the same as a fixed part.
	gainMillis = 500
)

// Stalled reports whether a run stands still. It answers workers on which
// tasks hang although everything else about the worker looks sound.
func Stalled(r RunProgress) bool {
	return r.Percent > 0 && r.Progress < fullPace && float64(r.StillMillis) > max(minStill, stillShare*float64(r.EstimateMillis))
}

// Straggles reports whether a run should be started anew on another worker. It
// answers workers that are several times slower than others, or hang.
func Straggles(r RunProgress) bool {
	if r.Percent <= 0 || r.Progress >= fullPace {
		return false
	}
	if Stalled(r) {
		return true
	}
	if r.ObservedMillis < minObserved {
		return false
	}
	elsewhere := float64(r.EstimateMillis)*float64(fullPace-r.Kept)/fullPace + float64(r.RestartMillis)
	done := float64(r.Progress - r.Begin)
	if done <= 0 {
		return false // not stalled yet
	}
	// At full pace it would be that much faster.
	rate := done / float64(r.ObservedMillis) * fullPace / float64(r.Percent)
	here := float64(fullPace-r.Progress) / rate
	return here > gainFactor*elsewhere+gainMillis
}
