package placement

import "math"

// Pressure estimates how much tasks that use leftover processors disturb
// serving tasks, by pairs of images, from the tail latencies that workers
// report. It answers a load in which a few pairs disturb each other heavily and
// most do not, nothing says which, and the load of the serving tasks swings.
//
// The tail of a serving task grows like that of a queue: floor/(1-u), where u
// is its utilisation: its own load and, for each neighbour, the pressure of the
// pair times the share of the worker's processors that the neighbour uses.
type Pressure struct {
	floors map[string]float64 // shortest tail seen, by serving image, milliseconds
	loads  map[string]float64 // mean own load, by serving image
	// pairs holds the pressures by leftover and then by serving image: a
	// search for room asks for many serving images of one leftover image.
	pairs  map[string]Pressures
	errors map[string]*covariance // of the pressures, by serving image
	seen   map[string]int64       // time of the last sample, by serving image
}

// Pressures are those of one leftover image, by serving image.
type Pressures map[string]float64

// Of returns the pressure on a serving image.
func (p Pressures) Of(serving string) float64 {
	if v, ok := p[serving]; ok {
		return v
	}
	return priorPressure
}

const (
	// priorPressure is assumed of a pair that was not seen: between a pair
	// that disturbs and one that does not.
	priorPressure = 0.35
	// pressureSpread is the standard deviation assumed between pairs.
	pressureSpread = 0.8
	// priorLoad is the own load assumed of a serving image.
	priorLoad = 0.45
	// priorFloorShare is the tail without load assumed of a serving image, as
	// a share of its target.
	priorFloorShare = 0.25
	// loadRate is the share of an error that one observation corrects in the
	// mean load of an image.
	loadRate = 0.02
	// maxError bounds the error of one observation, as tails have outliers.
	maxError = 0.4
	// tailNoise is the standard deviation of a utilisation that a tail means:
	// tails are rough figures of half a second.
	tailNoise = 0.05
	// changeNoise is what neighbours that began or ended meanwhile add to it,
	// for all processors.
	changeNoise = 0.5
	// saturated is the utilisation from which a tail only tells that there is
	// more load than it shows.
	saturated = 0.93
	// pressureSafety is the factor by which a new neighbour may disturb more
	// than estimated.
	pressureSafety = 1.25
	// maxServing bounds the serving images that are kept, as every leader
	// saves them: with maxPairs each, some 100 KB at most.
	maxServing = 64
	// leastChange is the change of a pressure that is not worth its cost.
	leastChange = 1e-4
	// targetShare is the share of a target up to which tails are let grow.
	targetShare = 0.95
)

// NewPressure returns an estimate that has seen nothing.
func NewPressure() *Pressure {
	return &Pressure{
		floors: make(map[string]float64), loads: make(map[string]float64), pairs: make(map[string]Pressures), errors: make(map[string]*covariance),
		seen: make(map[string]int64),
	}
}

// Of returns the pressure of a pair.
func (p *Pressure) Of(serving, leftover string) float64 { return p.pairs[leftover].Of(serving) }

// By returns the pressures of a leftover image.
func (p *Pressure) By(leftover string) Pressures { return p.pairs[leftover] }

// Load returns the mean own load of a serving image.
func (p *Pressure) Load(serving string) float64 {
	if v, ok := p.loads[serving]; ok {
		return v
	}
	return priorLoad
}

// Utilisation returns the utilisation that a tail of a serving image means.
func (p *Pressure) Utilisation(serving string, tailMillis, targetMillis int64) float64 {
	if tailMillis <= 0 {
		return 0
	}
	return max(0, 1-p.floor(serving, targetMillis)/float64(tailMillis))
}

// Limit returns the utilisation up to which a serving image keeps its target.
func (p *Pressure) Limit(serving string, targetMillis int64) float64 {
	return max(0, 1-p.floor(serving, targetMillis)/(targetShare*float64(targetMillis)))
}

func (p *Pressure) floor(serving string, targetMillis int64) float64 {
	f := priorFloorShare * float64(targetMillis)
	if seen, ok := p.floors[serving]; ok {
		return min(f, seen)
	}
	return f
}

func (p *Pressure) set(serving, leftover string, value float64) {
	if p.pairs[leftover] == nil {
		p.pairs[leftover] = make(Pressures)
	}
	p.pairs[leftover][serving] = math.Max(0, value)
}

func (p *Pressure) drop(serving, leftover string) {
	delete(p.pairs[leftover], serving)
	if len(p.pairs[leftover]) == 0 {
		delete(p.pairs, leftover)
	}
}

// noteImage makes room for a serving image that was not seen: the one without
// samples for longest gives way.
func (p *Pressure) noteImage(serving string, atMillis int64) {
	if _, ok := p.floors[serving]; !ok && len(p.floors) >= maxServing {
		oldest := ""
		for image := range p.floors {
			if oldest == "" || p.seen[image] < p.seen[oldest] || p.seen[image] == p.seen[oldest] && image < oldest {
				oldest = image
			}
		}
		for leftover := range p.pairs {
			p.drop(oldest, leftover)
		}
		delete(p.floors, oldest)
		delete(p.loads, oldest)
		delete(p.errors, oldest)
		delete(p.seen, oldest)
	}
	p.seen[serving] = atMillis
}

// Sample is one tail of a serving task and what ran beside it.
type Sample struct {
	Image        string
	AtMillis     int64 // middle of the time that the tail covers
	TailMillis   int64
	TargetMillis int64
	// Uses are the shares of the worker's processors that the neighbours used
	// meanwhile, by image, and Changing the share of those that began, ended or
	// changed their pace.
	Uses     map[string]float64
	Changing float64
}

// Observe learns from a sample. load is that of the task's step. It returns by
// how much the utilisation was higher than expected.
func (p *Pressure) Observe(load *Load, s Sample) float64 {
	if s.TailMillis <= 0 || s.TargetMillis <= 0 {
		return 0
	}
	p.noteImage(s.Image, s.AtMillis)
	if f, ok := p.floors[s.Image]; !ok || float64(s.TailMillis) < f {
		p.floors[s.Image] = float64(s.TailMillis)
	}
	load.advance(s.AtMillis, p.Load(s.Image))
	u := p.Utilisation(s.Image, s.TailMillis, s.TargetMillis)
	expected := load.level
	for image, use := range s.Uses {
		expected += p.Of(s.Image, image) * use
	}
	if u >= saturated && expected >= u {
		return 0
	}
	miss := math.Max(-maxError, math.Min(maxError, u-expected))
	errors := p.errors[s.Image]
	if errors == nil {
		errors = newCovariance()
		p.errors[s.Image] = errors
	}
	noise := tailNoise + changeNoise*s.Changing
	spread, shared := errors.observe(s.Uses, noise*noise+load.levelVar)
	for i, image := range errors.images {
		if change := shared[i] / spread * miss; math.Abs(change) >= leastChange {
			p.set(s.Image, image, p.Of(s.Image, image)+change)
		}
	}
	for _, image := range errors.evicted {
		p.drop(s.Image, image)
	}
	load.correct(miss, spread)
	p.loads[s.Image] = p.Load(s.Image) + loadRate*(load.level-p.Load(s.Image))
	return miss
}
