package admission

import "slices"

const (
	// rateWindow is how long a pool is observed for one measurement of its rate,
	// in milliseconds. Several tasks of most workflows end in that time.
	rateWindow = 5000
	// rateRetention is how long a measurement counts, in milliseconds. It covers
	// the waves of demand, in which less urgent work gets more or less capacity.
	rateRetention = 60_000
	// maxRateGap is the interval between observations, in milliseconds, above
	// which it is not known that work waited throughout. Passes are at most a
	// second apart while tasks wait.
	maxRateGap = 2000
)

// Rate learns how much work a pool completes while more work waits than fits.
// The zero value has learned nothing.
type Rate struct {
	completed   float64 // since begin
	begin       int64   // of the current measurement; 0 if there is none
	observed    int64   // time of the last observation
	measurement []rateMeasurement
}

type rateMeasurement struct {
	at    int64
	value float64 // work per millisecond
}

// Completed records that a task with the given work has completed.
func (r *Rate) Completed(work float64) { r.completed += work }

// Observe records, at intervals well below rateWindow, whether more work waits
// than fits. A measurement covers rateWindow in which it did throughout.
func (r *Rate) Observe(now int64, short bool) {
	switch {
	case !short:
		r.begin = 0
	case r.begin == 0 || now-r.observed > maxRateGap:
		r.begin, r.completed = now, 0
	case now-r.begin >= rateWindow:
		r.measurement = append(r.measurement, rateMeasurement{now, r.completed / float64(now-r.begin)})
		r.begin, r.completed = now, 0
	}
	r.observed = now
	r.measurement = slices.DeleteFunc(r.measurement, func(m rateMeasurement) bool { return now-m.at > rateRetention })
}

// Highest returns the highest measured rate, in work per millisecond, or 0 if
// there is none.
func (r *Rate) Highest() float64 {
	highest := 0.0
	for _, m := range r.measurement {
		highest = max(highest, m.value)
	}
	return highest
}
