package placement

import "math"

// Load pattern: thousands of best-effort tasks of a few images wait in a pool in
// which hardly any worker has room for another one. Each pass then searches all
// workers for each size of a task in vain. The largest CPU that any worker still
// takes for an image rejects most of them without a search.

// LargestBestEffort returns an upper bound of the CPU of a task of a best-effort
// image that starts at the full rate on any of the workers, in thousandths of a
// processor; -1 if there is none. It ignores memory, labels and excluded workers.
func LargestBestEffort(workers []*WorkerCapacity, m *InterferenceModel, image string) int64 {
	largest := int64(-1)
	var coefficients InterferenceCoefficients
	if m != nil {
		coefficients = m.CoefficientsOf(image)
	}
	for _, r := range workers {
		if r == nil {
			continue
		}
		bound := r.idleBound()
		if m != nil && bound > largest {
			bound = min(bound, r.interferenceBound(coefficients, bound))
		}
		if largest = max(largest, bound); largest == math.MaxInt64 {
			return largest
		}
	}
	return largest
}

// idleBound returns the largest CPU that the idle CPU of the worker permits at the
// full rate, see fitsOn.
func (r *WorkerCapacity) idleBound() int64 {
	switch {
	case r.BestEffort == 0:
		return math.MaxInt64
	case r.IdleCPU < 0:
		return -1
	}
	return maxCPUOvercommit*r.IdleCPU + maxCPUOvercommit - 1
}

// interferenceBound returns the largest CPU, at most bound, with which the serving
// tasks of the worker stay below their limits, rounded up.
func (r *WorkerCapacity) interferenceBound(coefficients InterferenceCoefficients, bound int64) int64 {
	for i := range r.ServingGroups {
		s := &r.ServingGroups[i]
		if s.Headroom < 0 {
			return -1
		}
		if perCPU := interferenceSafetyFactor * coefficients.Coefficient(s.Image); perCPU > 0 {
			if most := s.Headroom / perCPU * float64(r.Capacity.MilliCPU); most < float64(bound) {
				bound = int64(most) + 1
			}
		}
	}
	return bound
}
