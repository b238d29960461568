package runtimes

import "math"

const (
	// workerHalfLifeMillis is the time after which the weight of a run in the
	// speed of its worker has halved. Workers become slow and recover within
	// minutes.
	workerHalfLifeMillis = 20_000
	// workerPriorRuns is the weight of the assumption that a worker has ordinary
	// speed. One run in 33 takes seven times as long on any worker, so that a few
	// slow runs prove nothing.
	workerPriorRuns = 3.0
	// maxRunDeviation bounds what one run says, as a factor.
	maxRunDeviation = 3.0
	// poolGain is the weight of a run in the mean deviation of all workers.
	poolGain = 0.02
	// slowFactor is the factor from which a worker is slow.
	slowFactor = 1.5
)

// Workers has the speeds of workers relative to each other.
type Workers struct {
	speeds map[string]*workerSpeed
	// mean is the mean deviation of all workers. It rises if run times change
	// everywhere, which does not make a worker slow.
	mean float64
}

// workerSpeed has the sum of the logarithms of actual over expected run times,
// less the mean of all workers, and their weight at the time at.
type workerSpeed struct {
	sum, runs float64
	at        int64
}

// NewWorkers returns the speeds without observations.
func NewWorkers() *Workers { return &Workers{speeds: make(map[string]*workerSpeed)} }

// Observe records a run on a worker, as the ratio of its run time to the median
// of its estimate. now is in milliseconds.
func (w *Workers) Observe(worker string, ratio float64, now int64) {
	if ratio <= 0 {
		return
	}
	limit := math.Log(maxRunDeviation)
	deviation := min(limit, max(-limit, math.Log(ratio)))
	w.mean += poolGain * (deviation - w.mean)
	s := w.speeds[worker]
	if s == nil {
		s = &workerSpeed{at: now}
		w.speeds[worker] = s
	}
	s.decay(now)
	s.sum += min(limit, max(-limit, deviation-w.mean))
	s.runs++
}

func (s *workerSpeed) decay(now int64) {
	f := math.Exp2(-float64(max(0, now-s.at)) / workerHalfLifeMillis)
	s.sum, s.runs, s.at = s.sum*f, s.runs*f, max(s.at, now)
}

// Slowdown returns how many times longer tasks take on a worker than on others.
// It is 1 unless several runs show that the worker is slow.
func (w *Workers) Slowdown(worker string, now int64) float64 {
	if f := w.Factor(worker, now); f >= slowFactor {
		return f
	}
	return 1
}

// Factor returns how many times longer tasks take on a worker than on others;
// less than 1 for a fast one. It is 1 without observations.
func (w *Workers) Factor(worker string, now int64) float64 {
	s := w.speeds[worker]
	if s == nil {
		return 1
	}
	f := math.Exp2(-float64(max(0, now-s.at)) / workerHalfLifeMillis)
	return math.Exp(s.sum * f / (s.runs*f + workerPriorRuns))
}

// Forget discards what is known about a worker.
func (w *Workers) Forget(worker string) { delete(w.speeds, worker) }

// Len returns the number of workers with observations.
func (w *Workers) Len() int { return len(w.speeds) }
