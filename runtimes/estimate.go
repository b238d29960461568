package runtimes

import "math"

// Estimate is what is known about the run time of a task.
type Estimate struct {
	declared float64 // milliseconds
	base     float64 // run time with a ratio of 1, in milliseconds
	runs     float64 // weight of the runs on which it is based
	d        *distribution
	shift    float64 // added to logarithms of ratios
	spread   float64 // factor of the distance of logarithms from their median
}

// Runs returns the weight of the recent runs on which the estimate is based; 0
// means that it is the declared run time.
func (e Estimate) Runs() float64 { return e.runs }

// Declared returns the declared run time in milliseconds.
func (e Estimate) Declared() int64 { return millis(e.declared) }

// Trust returns how far the estimate follows the declared run time: 1 means
// that it is proportional to it, 0 that it ignores it.
func (e Estimate) Trust() float64 {
	if e.d == nil {
		return 1
	}
	return e.d.summarised().slope
}

// Mean returns the expected run time in milliseconds.
func (e Estimate) Mean() int64 {
	if e.d == nil {
		return millis(e.base)
	}
	mean := (e.d.ratios + declaredRuns*e.d.scale) / (e.d.total + declaredRuns*e.d.scale)
	return millis(e.base * mean * math.Exp(e.shift))
}

// Quantile returns the run time in milliseconds that a share q of runs does not
// exceed.
func (e Estimate) Quantile(q float64) int64 {
	if e.d == nil {
		return millis(e.base)
	}
	log := e.d.logQuantile(q)
	if e.spread < 1 {
		median := e.d.logQuantile(0.5)
		log = median + e.spread*(log-median)
	}
	return millis(e.base * math.Exp(log+e.shift))
}

// LargestOf returns the median of the largest run time of n tasks of a step, in
// milliseconds. The mean would depend on the rarest runs, of which too few are
// known. Tasks of a step have similar run times, so fewer of them count.
func (e Estimate) LargestOf(n int) int64 {
	if e.d == nil || n <= 0 {
		return millis(e.base)
	}
	independent := 1 + float64(n-1)*(1-e.d.summarised().correlation)
	return e.Quantile(math.Exp2(-1 / independent))
}

// Given returns the estimate for a step of which n tasks have been done, with
// the given geometric mean of their run times in milliseconds.
func (e Estimate) Given(n int, meanMillis float64) Estimate {
	if n <= 0 || meanMillis <= 0 || e.base <= 0 {
		return e
	}
	if e.d == nil {
		e.base = max(e.base, meanMillis)
		return e
	}
	correlation := e.d.summarised().correlation
	weight := float64(n) * correlation / (1 + float64(n-1)*correlation)
	e.shift += weight * (math.Log(meanMillis/e.base) - e.d.meanLog())
	e.spread = math.Sqrt(max(0, 1-correlation*weight))
	return e
}

func millis(v float64) int64 { return int64(math.Round(min(v, math.MaxInt64/2))) }

// Left returns the median of the remaining run time of a run that has run for
// elapsedMillis and shows no progress, in milliseconds. Beyond the runs that were
// observed, a run is expected to take as long again.
func (e Estimate) Left(elapsedMillis int64) int64 {
	if e.d == nil {
		return max(0, millis(e.base)-elapsedMillis)
	}
	ended := e.share(elapsedMillis)
	if ended > maxShare {
		return elapsedMillis
	}
	return max(0, e.Quantile(1-(1-ended)/2)-elapsedMillis)
}

// maxShare is the share of runs that have ended from which the distribution says
// too little about the others.
const maxShare = 0.99

// share returns the share of runs that take no longer than a run time.
func (e Estimate) share(millis int64) float64 {
	if millis <= 0 || e.base <= 0 {
		return 0
	}
	logRatio := math.Log(float64(millis)/e.base) - e.shift
	if e.spread > 0 && e.spread < 1 {
		median := e.d.logQuantile(0.5)
		logRatio = median + (logRatio-median)/e.spread
	}
	below := &e.d.summarised().below
	return below[binOf(logRatio)] / below[bins-1]
}
