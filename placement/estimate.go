package placement

import (
	"math"

	"apricotrouter/state"
)

// Settings of the estimation. An effect is the rise of a service's latency
// ratio if the tasks of a class used all processors of the worker.
const (
	// effectVariance is the variance of an effect before the first sample.
	effectVariance = 100.0
	// ownVariance is the variance of a service's own rise, from its load.
	ownVariance = 1.0
	// noiseVariance is the variance of one measured latency ratio.
	noiseVariance = 0.1
	// effectDrift and ownDrift are the variance that an estimate gains per
	// second. The load of a service changes faster than the effect of a class,
	// so a rise that all replicas show is taken as the service's own.
	effectDrift = 0.02
	ownDrift    = 0.02
	// confidence is the number of standard deviations of the lower bound.
	confidence = 1.64
	// minEffectSamples is the number of samples before an estimate counts.
	minEffectSamples = 2
)

// pair is a service and a class of batch tasks.
type pair struct {
	service string
	class   string // empty for the service's own rise
}

// estimate is a value with its variance.
type estimate struct {
	mean     float64
	variance float64
	samples  int
	at       int64 // last sample, Unix milliseconds
}

// Estimates are effects of pairs, and sizes and run times of classes. They are
// derived from samples by the time of sampling. The zero value knows nothing.
type Estimates struct {
	pairs   map[pair]*estimate
	classes map[string]*classStats
}

// NewEstimates returns estimates that know nothing.
func NewEstimates() *Estimates {
	return &Estimates{pairs: make(map[pair]*estimate), classes: make(map[string]*classStats)}
}

// Effect is the estimated effect of a class on a service.
type Effect struct {
	Mean    float64
	Lower   float64 // lower bound at the confidence used
	Samples int
}

// Effect returns the effect of the class on the service. Without enough
// samples the lower bound is 0.
func (e *Estimates) Effect(service, class string) Effect {
	if e == nil {
		return Effect{}
	}
	est := e.pairs[pair{service, class}]
	if est == nil {
		return Effect{}
	}
	f := Effect{Mean: max(0, est.mean), Samples: est.samples}
	if est.samples >= minEffectSamples {
		f.Lower = max(0, est.mean-confidence*math.Sqrt(est.variance))
	}
	return f
}

// load is the share of a worker's processors that the tasks of a class used.
type load struct {
	class string
	share float64
}

// learn takes in one measured latency ratio of a service next to the loads.
// It attributes the rise to the loads and to the service itself in proportion
// to how uncertain each still is, as a Kalman filter with independent effects.
func (e *Estimates) learn(service string, latencyRatio float64, loads []load, at int64) {
	own := e.estimateOf(pair{service, ""}, ownVariance, ownDrift, at)
	expected, total := own.mean, noiseVariance+own.variance
	ests := make([]*estimate, len(loads))
	for i, l := range loads {
		ests[i] = e.estimateOf(pair{service, l.class}, effectVariance, effectDrift, at)
		expected += ests[i].mean * l.share
		total += ests[i].variance * l.share * l.share
	}
	residual := latencyRatio - 1 - expected
	own.update(1, residual, total)
	for i, l := range loads {
		ests[i].update(l.share, residual, total)
	}
}

func (e *Estimates) estimateOf(key pair, prior, drift float64, at int64) *estimate {
	est := e.pairs[key]
	if est == nil {
		est = &estimate{variance: prior, at: at}
		e.pairs[key] = est
	}
	if at > est.at {
		est.variance = min(prior, est.variance+drift*float64(at-est.at)/1000)
		est.at = at
	}
	return est
}

func (est *estimate) update(share, residual, total float64) {
	gain := est.variance * share / total
	est.mean += gain * residual
	est.variance -= gain * share * est.variance
	est.samples++
}

// Settings of class statistics.
const (
	// classWeight is the weight of a new value in a class's averages.
	classWeight = 0.1
	// minClassSamples is the number of values before a correction applies.
	minClassSamples = 5
	// sizeDeviations is added to the mean use, in standard deviations.
	sizeDeviations = 1.3
	// maxCorrection bounds how far a declared value is corrected.
	maxCorrection = 8.0
	// minCorrection is the smallest correction of a size worth making.
	minCorrection = 1.05
)

// average is an exponentially weighted mean and variance.
type average struct {
	mean     float64
	variance float64
	count    int
}

func (a *average) add(v float64) {
	a.count++
	w := max(classWeight, 1/float64(a.count))
	d := v - a.mean
	a.mean += w * d
	a.variance = (1 - w) * (a.variance + w*d*d)
}

// classStats compares what tasks of a class used with what they declared.
type classStats struct {
	cpu     average // used / declared
	memory  average // used / declared
	run     average // run time / declared run time
	seconds average // run time
}

func (e *Estimates) class(name string) *classStats {
	c := e.classes[name]
	if c == nil {
		c = &classStats{}
		e.classes[name] = c
	}
	return c
}

func (e *Estimates) learnSize(t *state.Task, used state.Resources) {
	c := e.class(t.Class)
	// A throttled task uses less than it would, so its use says nothing.
	if t.Resources.MilliCPU > 0 && t.Throttle == 0 {
		c.cpu.add(ratio(used.MilliCPU, t.Resources.MilliCPU))
	}
	if t.Resources.MemoryMiB > 0 {
		c.memory.add(ratio(used.MemoryMiB, t.Resources.MemoryMiB))
	}
}

func (e *Estimates) learnRunTime(t *state.Task) {
	seconds := float64(t.EndedAt-t.StartedAt) / 1000
	if seconds <= 0 {
		return
	}
	c := e.class(t.Class)
	c.seconds.add(seconds)
	if t.ExpectedSeconds > 0 {
		c.run.add(seconds / float64(t.ExpectedSeconds))
	}
}

// Size returns the resources to plan with for a task: what it declares, or
// more if the tasks of its class use more.
func (e *Estimates) Size(t *state.Task) state.Resources {
	size := t.Resources
	if e == nil || t.Kind != state.KindBatch {
		return size
	}
	c := e.classes[t.Class]
	if c == nil {
		return size
	}
	size.MilliCPU = c.cpu.correct(size.MilliCPU)
	size.MemoryMiB = c.memory.correct(size.MemoryMiB)
	return size
}

func (a *average) correct(declared int64) int64 {
	if a.count < minClassSamples {
		return declared
	}
	factor := min(a.mean+sizeDeviations*math.Sqrt(a.variance), maxCorrection)
	if factor < minCorrection {
		return declared
	}
	return int64(float64(declared) * factor)
}

// RunTime returns the expected run time of a task in milliseconds: what it
// declares, corrected by what tasks of its class took, or 0 if unknown.
func (e *Estimates) RunTime(t *state.Task) int64 {
	declared := t.ExpectedSeconds * 1000
	if e == nil || e.classes[t.Class] == nil {
		return declared
	}
	c := e.classes[t.Class]
	switch {
	case declared > 0 && c.run.count >= minClassSamples:
		return int64(float64(declared) * c.run.mean)
	case declared == 0 && c.seconds.count >= minClassSamples:
		return int64(c.seconds.mean * 1000)
	}
	return declared
}

// harmfulPairs returns the pairs with a confident effect, in no order.
func (e *Estimates) harmfulPairs() []pair {
	if e == nil {
		return nil
	}
	var all []pair
	for key := range e.pairs {
		if key.class != "" && e.Effect(key.service, key.class).Lower > 0 {
			all = append(all, key)
		}
	}
	return all
}

// Oversized reports whether any class uses more than it declares.
func (e *Estimates) Oversized() bool {
	if e == nil {
		return false
	}
	for _, c := range e.classes {
		if c.cpu.correct(1000) > 1000 || c.memory.correct(1000) > 1000 {
			return true
		}
	}
	return false
}
