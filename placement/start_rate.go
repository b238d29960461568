package placement

// Load pattern: every worker has a serving task with which the image of the
// waiting best-effort tasks interferes, so that none of them fits at full speed.
// At a lower execution rate they would run. The worker and the rate at which a
// task starts there are therefore one decision. Under overload, with tasks of
// several images waiting, workers go first to the tasks that can run there at
// the full rate: these use the headroom of the serving tasks best. An estimate of the interference
// may be wrong and is only corrected by a run, so a task that has waited for
// long starts at the lowest rate, whatever the estimate says.
//
// Load pattern: more best-effort workflows wait than fit, beside much capacity that
// nothing reserves, and others that are of more use keep arriving. The same
// workflows would wait for as long as they do. One task of each therefore starts
// at the lowest rate, whether or not CPU is idle; as many as memory permits.

const (
	// probeWait is how long a best-effort task waits, in milliseconds, until it
	// may start at the lowest rate although the model expects a serving task to
	// exceed its limit. Users count a workflow as lost if nothing of it has run
	// for 3 s while there is capacity. A placement pass, the commit of the start
	// and its call take the rest of that time.
	probeWait = 1500
	// maxReservedPercent is the percentage of a pool's CPU that may be reserved for
	// a workflow to start at the lowest rate. Users count a workflow as lost beside
	// half of the capacity, by what runs; reservations include starts and ends that
	// are still being recorded.
	maxReservedPercent = 55
	// busyProbeWait replaces probeWait while more than half of the CPU of the
	// pool is in use. Tasks then wait for capacity, mostly, and one that
	// starts at the lowest rate may miss a better worker.
	busyProbeWait = 60_000
	// onTimeProbeWait replaces probeWait for a workflow of which nothing runs and
	// that can still meet its objective. Users look for waiting work 14 s after the
	// last submission.
	onTimeProbeWait = 8000
	// maxStartRate is the highest result of MinStartRate. A task that finds no
	// worker for the full rate starts at once at half of it: waiting would cost
	// as much unless the next worker becomes free within its run time.
	maxStartRate = 50
	// lowStartRate is the result of MinStartRate once a task has waited for
	// longer than its own run time. Slower runs keep capacity, such as memory,
	// from tasks that could use it better.
	lowStartRate = 25
	// reducedRateWeight is the weight, in the score of a worker, of the part of
	// full speed that a task lacks there. It exceeds all other terms of the
	// score, so that a worker for the full rate precedes all others.
	reducedRateWeight = 10.0
)

// StartWait describes the wait of a best-effort task.
type StartWait struct {
	WaitedMillis   int64
	EstimateMillis int64 // duration of the task at the full rate
	// ImageRuns is set if tasks of its image are running in the pool. The model
	// then learns from them.
	ImageRuns bool
	// HalfIdle is set if at most half of the CPU of the pool is in use.
	HalfIdle bool
	// IdleMillis is how long nothing of the workflow has run while the task waited.
	IdleMillis int64
	// Late is set if the workflow can no longer meet its objective.
	Late bool
	// Unreserved is the result of MostlyUnreserved for the pool.
	Unreserved bool
}

// MostlyUnreserved reports whether so little of a pool's CPU is reserved that
// something of each workflow has to run.
func MostlyUnreserved(reserved, capacity int64) bool {
	return capacity > 0 && 100*reserved <= maxReservedPercent*capacity
}

// workflowOverdue reports whether the task starts at the lowest rate because
// nothing else of its workflow runs. While the workflow can meet its objective, it
// precedes late ones wherever there is room for the full rate, and a slow run would
// make it late, so that it waits longer.
func (w StartWait) workflowOverdue() bool {
	wait := int64(onTimeProbeWait)
	if w.Late {
		wait = probeWait
	}
	return w.Unreserved && w.IdleMillis >= wait
}

// MinStartRate returns the lowest execution rate, in percent, at which a
// best-effort task starts rather than waits, after all waiting tasks have been
// offered the workers on which they can run at the full rate. A task that has
// waited is likely to wait as long again, so that a start is of use if the task
// then ends earlier. While more than half of the pool is in use, tasks wait for
// capacity, mostly, and slow runs keep it from those that could use it better. The
// result is minRate if the task may start on a worker
// where the model expects a serving task to exceed its limit, after a bounded wait:
// one task of an image, and one of each workflow while most of the pool is not
// reserved. Serving tasks stay below their targets, because ExecutionRates pauses
// the runs that exceed the limits.
func MinStartRate(w StartWait) int {
	probe := int64(busyProbeWait)
	if w.HalfIdle {
		probe = probeWait
	}
	switch {
	case !w.ImageRuns && w.WaitedMillis >= probe, w.workflowOverdue():
		return minRate
	case !w.HalfIdle:
		return fullRate
	case w.WaitedMillis > w.EstimateMillis:
		return lowStartRate
	}
	return maxStartRate
}

// MayStartReduced reports whether a best-effort task that fits nowhere at the full
// rate may start below it, whatever its image.
func MayStartReduced(w StartWait) bool {
	return w.HalfIdle || w.WaitedMillis >= busyProbeWait || w.workflowOverdue()
}

// StartRate returns the execution rate, in percent, at which a task starts on a
// worker, or 0 if interference forbids that. Only best-effort tasks start below
// the full rate.
func StartRate(r *WorkerCapacity, t PoolTask) int {
	if !t.Step.BestEffort || t.InterferenceModel == nil {
		return fullRate
	}
	fit, _ := interferenceFit(r, fractionOf(t.Step.Size.MilliCPU, r.Capacity.MilliCPU), t.interferenceCoefficients())
	return t.startRate(r, fit)
}

// startRate returns the execution rate, in percent, at which a best-effort task
// starts on a worker where the fraction fit of its full speed fits, or 0.
func (t *PoolTask) startRate(r *WorkerCapacity, fit float64) int {
	rate := int(fit * fullRate)
	if !t.fitsIdleCPU(r) {
		rate = min(rate, minRate) // only at the lowest rate, see fitsOn
	}
	switch {
	case rate >= fullRate:
		return fullRate
	case t.MinStartRate == 0:
		return 0
	case rate >= t.MinStartRate:
		return rate
	case t.MinStartRate == minRate && !r.OverTarget:
		return minRate
	}
	return 0
}

// interferenceFit returns the part of full speed, at most 1, at which the load
// of a new task fits into the headroom of all serving tasks of the worker,
// including interferenceSafetyFactor, and the maximum utilisation that it adds
// to one of them at full speed. Below 0, a serving task exceeds its limit
// without it.
func interferenceFit(r *WorkerCapacity, use float64, coefficients InterferenceCoefficients) (fit, added float64) {
	fit = 1
	for i := range r.ServingGroups {
		s := &r.ServingGroups[i]
		increase := coefficients.Coefficient(s.Image) * use
		added = max(added, increase)
		fit = min(fit, rateFraction(increase, s.Headroom))
	}
	return fit, added
}

// rateFraction returns the part of full speed, at most 1, at which a task that
// adds increase to the utilisation of a serving task fits into its headroom.
func rateFraction(increase, headroom float64) float64 {
	switch required := interferenceSafetyFactor * increase; {
	case required <= headroom:
		return 1
	case required <= 0:
		return 0
	default:
		return max(-1, headroom/required)
	}
}
