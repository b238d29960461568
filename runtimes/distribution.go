package runtimes

import (
	"math"
	"sort"
)

const (
	// halfLifeRuns and halfLifeMillis are the number of runs and the time after
	// which the weight of a run has halved. 256 runs contain two or three of the
	// slowest hundredth.
	halfLifeRuns   = 256
	halfLifeMillis = 60_000
	// forgetMillis is the time without a run after which a distribution starts
	// anew. The weight of the last run is then below a millionth of a run, and the
	// growth of weights could exceed the range of numbers after hours.
	forgetMillis = 20 * halfLifeMillis
	// binsPerDoubling is the number of bins per factor of two of the ratio, 2.2%
	// each. Ratios are counted between 2^-maxDoublings and 2^maxDoublings.
	binsPerDoubling = 32
	maxDoublings    = 6
	bins            = 2*maxDoublings*binsPerDoubling + 1
	declaredBin     = maxDoublings * binsPerDoubling // of the ratio 1
	// declaredRuns is the weight of the declared run time, in runs.
	declaredRuns = 2.0
	// slopeDeviation is the prior standard deviation of slope around 1. Evidence
	// against the declarations has to be clear, because their errors within a step
	// are alike.
	slopeDeviation = 0.15
	// minResidual is the least standard deviation of the error of declarations, as
	// a factor, that is assumed for the slope. The first few steps may agree by
	// chance.
	minResidual = 0.1
	// maxScale bounds the weight of a run before all weights are scaled down.
	maxScale = 1e6
	// rememberedSteps is the number of steps of which the last run is remembered.
	// It covers the steps of a key that run at the same time.
	rememberedSteps = 32
	// priorCorrelation is the correlation of run times within a step that is
	// assumed at first, and priorPairs its weight in pairs of runs.
	priorCorrelation, priorPairs = 0.3, 10
	// maxCorrelation keeps a margin for the next task of a step.
	maxCorrelation = 0.95
)

// sample is one run. The run times are logarithms of milliseconds.
type sample struct {
	step             uint64
	declared, actual float64
}

// distribution is the distribution of run times relative to a combination of
// their declared run times. Weights of runs grow with time instead of decaying,
// so that an observation costs the same for all sizes.
type distribution struct {
	weights [bins]float32 // by ratio of the actual run time to the base
	total   float64       // sum of weights
	ratios  float64       // sum of ratios
	begun   float64       // weight of the first runs of steps
	scale   float64       // weight of a run at the time at
	at      int64         // last observation, in milliseconds

	// Sums over the logarithms of declared and actual run times, for the slope.
	x, y, xx, xy, yy float64
	// Sums over the logarithm of the ratio to the base.
	logRatios, squares float64
	// covariance is the sum of products of deviations of consecutive runs of a
	// step, and pairs is their weight.
	covariance, pairs float64
	// prior is the correlation that is assumed without pairs.
	prior    float64
	steps    [rememberedSteps]stepDeviation
	nextStep int
	change   changeTest
	summary  summary
}

// summary is what estimates need of a distribution. Thousands of waiting tasks
// share it until the next run ends.
type summary struct {
	valid              bool
	slope, correlation float64
	below              [bins]float64 // sum of the weights up to and including a bin
}

// summarised returns the current summary.
func (d *distribution) summarised() *summary {
	s := &d.summary
	if s.valid {
		return s
	}
	s.valid, s.correlation, s.slope = true, d.correlation(), d.slope()
	sum := 0.0
	for i, w := range d.weights {
		if sum += float64(w); i == declaredBin {
			sum += declaredRuns * d.scale
		}
		s.below[i] = sum
	}
	return s
}

// stepDeviation is the deviation of the last run of a step.
type stepDeviation struct {
	step      uint64
	runs      int
	deviation float64
}

func newDistribution(now int64) *distribution {
	return &distribution{scale: 1, at: now, prior: priorCorrelation}
}

// runsAt returns the weight of the recent runs at a time, in runs.
func (d *distribution) runsAt(now int64) float64 {
	return d.total / d.scale * math.Exp2(-float64(max(0, now-d.at))/halfLifeMillis)
}

// slope returns how well declared run times predict: 1 if actual run times are
// proportional to them, 0 if they are unrelated. It is the slope of a regression
// in logarithms with a prior at 1 whose weight depends on the residuals.
func (d *distribution) slope() float64 {
	if d.total <= 0 {
		return 1
	}
	varX, cov, varY := d.xx-d.x*d.x/d.total, d.xy-d.x*d.y/d.total, d.yy-d.y*d.y/d.total
	// Variance of the actual minus the declared logarithms. Runs of a step are
	// alike and count for fewer.
	residual := max(minResidual*minResidual, (varY-2*cov+varX)/d.total)
	alike := 1 + max(0, d.total/max(d.scale, d.begun)-1)*d.correlation()
	prior := d.scale * residual * alike / (slopeDeviation * slopeDeviation)
	return min(1, max(0, (cov+prior)/(varX+prior)))
}

// base returns the run time that a declared one stands for, before the
// distribution applies: the declared one, moved towards the mean of the key as
// far as declarations fail to predict. Both are logarithms.
func (d *distribution) base(declared float64) float64 {
	if d.total <= 0 {
		return declared
	}
	mean := d.x / d.total
	return mean + d.summarised().slope*(declared-mean)
}

// meanLog returns the mean of the logarithm of the ratio.
func (d *distribution) meanLog() float64 {
	return d.logRatios / (d.total + declaredRuns*d.scale)
}

// correlation returns the correlation of the run times of two tasks of a step.
func (d *distribution) correlation() float64 {
	if d.total <= 0 || d.pairs <= 0 {
		return d.prior
	}
	mean := d.logRatios / d.total
	variance := d.squares/d.total - mean*mean
	if variance <= 0 {
		return d.prior
	}
	pairs := priorPairs * d.scale
	c := (d.covariance/variance + pairs*d.prior) / (d.pairs + pairs)
	return min(maxCorrelation, max(0, c))
}

// observe records a run. If the last runs show that the distribution has
// changed, it starts anew with these and returns the geometric mean of the ratio
// before.
func (d *distribution) observe(s sample, now int64) (before float64, changed bool) {
	if now-d.at > forgetMillis {
		prior := d.correlation()
		*d = *newDistribution(now)
		d.prior = prior
	}
	recent := d.change.add(d, s)
	if recent == nil {
		d.record(s, now)
		return 0, false
	}
	before = math.Exp(d.meanLog())
	correlation := d.change.correlation
	*d = *newDistribution(now)
	d.prior = correlation
	for _, r := range recent {
		d.record(r, now)
	}
	return before, true
}

func (d *distribution) record(s sample, now int64) {
	d.scale *= math.Exp2(float64(max(0, now-d.at))/halfLifeMillis + 1.0/halfLifeRuns)
	d.at = max(d.at, now)
	logRatio := s.actual - d.base(s.declared)
	d.summary.valid = false
	if d.scale > maxScale {
		d.rescale()
	}
	d.recordStep(s.step, logRatio)
	w := d.scale
	d.weights[binOf(logRatio)] += float32(w)
	d.total += w
	limit := maxDoublings * math.Ln2
	d.ratios += w * math.Exp(min(limit, max(-limit, logRatio)))
	d.x, d.y = d.x+w*s.declared, d.y+w*s.actual
	d.xx, d.xy, d.yy = d.xx+w*s.declared*s.declared, d.xy+w*s.declared*s.actual, d.yy+w*s.actual*s.actual
	d.logRatios, d.squares = d.logRatios+w*logRatio, d.squares+w*logRatio*logRatio
}

// rescale divides all weights by the current scale.
func (d *distribution) rescale() {
	f := 1 / d.scale
	for i := range d.weights {
		d.weights[i] *= float32(f)
	}
	for _, v := range []*float64{
		&d.total, &d.ratios, &d.begun, &d.x, &d.y, &d.xx, &d.xy, &d.yy, &d.logRatios, &d.squares, &d.covariance, &d.pairs, &d.scale,
	} {
		*v *= f
	}
}

// recordStep pairs the run with the previous one of its step.
func (d *distribution) recordStep(step uint64, logRatio float64) {
	deviation := 0.0
	if d.total > 0 {
		deviation = logRatio - d.logRatios/d.total
	}
	if p := d.stepRuns(step); p != nil {
		d.covariance += d.scale * p.deviation * deviation
		d.pairs += d.scale
		p.deviation = deviation
		p.runs++
		return
	}
	d.begun += d.scale
	d.steps[d.nextStep] = stepDeviation{step: step, runs: 1, deviation: deviation}
	d.nextStep = (d.nextStep + 1) % rememberedSteps
}

// stepRuns returns what is remembered of a step, or nil.
func (d *distribution) stepRuns(step uint64) *stepDeviation {
	for i := range d.steps {
		if p := &d.steps[i]; p.runs > 0 && p.step == step {
			return p
		}
	}
	return nil
}

// binOf returns the bin of the logarithm of a ratio. A ratio of 1 is in the
// middle of its bin.
func binOf(logRatio float64) int {
	i := math.Round((logRatio/math.Ln2 + maxDoublings) * binsPerDoubling)
	return int(min(bins-1, max(0, i)))
}

// logQuantile returns the logarithm of a quantile of the ratio. Within a bin,
// runs are assumed to be spread evenly.
func (d *distribution) logQuantile(q float64) float64 {
	below := &d.summarised().below
	rank := min(1, max(0, q)) * below[bins-1]
	bin := sort.Search(bins-1, func(i int) bool { return below[i] >= rank })
	before := 0.0
	if bin > 0 {
		before = below[bin-1]
	}
	if below[bin] <= before {
		return binLog(bin, 0)
	}
	return binLog(bin, (rank-before)/(below[bin]-before))
}

// binLog returns the logarithm of the ratio at a fraction of a bin.
func binLog(bin int, fraction float64) float64 {
	return ((float64(bin)-0.5+fraction)/binsPerDoubling - maxDoublings) * math.Ln2
}

// rank returns the share of recent runs with a lower ratio.
func (d *distribution) rank(logRatio float64) float64 {
	s, bin := d.summarised(), binOf(logRatio)
	at, declared := float64(d.weights[bin]), declaredRuns*d.scale
	if bin < declaredBin {
		declared = 0
	}
	return (s.below[bin] - declared - at/2) / d.total
}
