package placement

import (
	"math"

	"apricotrouter/state"
)

// Parameters of the latency model. An effect is the increase in a service's
// latency ratio if the tasks of a class used all processors of the worker.
const (
	// effectVariance is the variance of an effect before the first sample.
	effectVariance = 100.0
	// baselineVariance is the variance of the increase that is caused by the
	// service's own load.
	baselineVariance = 1.0
	// noiseVariance is the variance of one measured latency ratio.
	noiseVariance = 0.1
	// effectDrift and baselineDrift are the variance that an estimate gains per
	// second. The load of a service changes faster than the effect of a class,
	// so an increase at all replicas is attributed to the service itself.
	effectDrift   = 0.02
	baselineDrift = 0.02
	// confidence is the number of standard deviations between the mean and the
	// lower bound.
	confidence = 1.64
	// minEffectSamples is the number of samples that an effect requires before
	// its lower bound is used.
	minEffectSamples = 2
)

// pair is a service and a class of batch tasks.
type pair struct {
	service string
	class   string // empty for the service's own baseline
}

// estimate is a mean with its variance.
type estimate struct {
	mean     float64
	variance float64
	samples  int
	at       int64 // last sample, Unix milliseconds
}

// Estimates contains the effects of classes on services, and the sizes and run
// times of classes. Estimates age with the times of the samples, not with the
// local clock. The zero value contains no estimates.
type Estimates struct {
	pairs   map[pair]*estimate
	classes map[string]*classStats
}

// NewEstimates returns estimates without any samples.
func NewEstimates() *Estimates {
	return &Estimates{pairs: make(map[pair]*estimate), classes: make(map[string]*classStats)}
}

// Effect is the estimated effect of a class on a service.
type Effect struct {
	Mean    float64
	Lower   float64 // lower bound, see confidence
	Samples int
}

// Effect returns the effect of the class on the service. The lower bound is 0
// if there are fewer than minEffectSamples samples.
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

// load is the fraction of a worker's processors that the tasks of a class used.
type load struct {
	class string
	share float64
}

// learn updates the estimates with a latency ratio of a service, measured while
// the loads ran on the same worker. The increase is attributed to the loads and
// to the service's baseline in proportion to the variance of each, as in a
// Kalman filter with independent effects.
func (e *Estimates) learn(service string, latencyRatio float64, loads []load, at int64) {
	baseline := e.estimateOf(pair{service, ""}, baselineVariance, baselineDrift, at)
	expected, total := baseline.mean, noiseVariance+baseline.variance
	ests := make([]*estimate, len(loads))
	for i, l := range loads {
		ests[i] = e.estimateOf(pair{service, l.class}, effectVariance, effectDrift, at)
		expected += ests[i].mean * l.share
		total += ests[i].variance * l.share * l.share
	}
	residual := latencyRatio - 1 - expected
	baseline.update(1, residual, total)
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

// Parameters of the class statistics.
const (
	// averageWeight is the weight of a new value in the averages of a class.
	averageWeight = 0.1
	// minClassSamples is the number of values required before a correction
	// applies.
	minClassSamples = 5
	// sizeMarginDeviations is the margin added to the mean usage, in standard
	// deviations.
	sizeMarginDeviations = 1.3
	// maxCorrection is the maximum factor by which a declared value is
	// corrected.
	maxCorrection = 8.0
	// minCorrection is the smallest factor that is applied to a declared size.
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
	w := max(averageWeight, 1/float64(a.count))
	d := v - a.mean
	a.mean += w * d
	a.variance = (1 - w) * (a.variance + w*d*d)
}

// classStats compares the measured usage and run times of the tasks of a class
// with the declared values.
type classStats struct {
	cpu     average // used / declared
	memory  average // used / declared
	run     average // run time / declared run time
	seconds average // run time in seconds
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
	// The usage of a throttled task does not show its demand.
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

// Size returns the resources to plan with for a task: the declared ones, or
// more if tasks of its class use more than they declare.
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
	factor := min(a.mean+sizeMarginDeviations*math.Sqrt(a.variance), maxCorrection)
	if factor < minCorrection {
		return declared
	}
	return int64(float64(declared) * factor)
}

// RunTime returns the expected run time of a task in milliseconds: the declared
// one, corrected by the measured run times of its class. It is 0 if neither is
// available.
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

// harmfulPairs returns the pairs whose effect has a lower bound above 0, in no
// particular order.
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

// Oversized reports whether the tasks of any class use more than they declare.
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
