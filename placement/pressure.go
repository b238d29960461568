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
	pairs map[string]Pressures
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
	// priorLoad is the own load assumed of a serving image.
	priorLoad = 0.45
	// priorFloorShare is the tail without load assumed of a serving image, as
	// a share of its target.
	priorFloorShare = 0.25
	// learnRate is the share of an error that one observation corrects.
	learnRate = 0.25
	// loadRate is the same for the own load, which swings by itself.
	loadRate = 0.02
	// maxError bounds the error of one observation, as tails have outliers.
	maxError = 0.4
	// minPressure bounds the divisor of a correction, so that a neighbour that
	// hardly works teaches nothing.
	minUse = 0.02
	// targetShare is the share of a target up to which tails are let grow.
	targetShare = 0.88
)

// NewPressure returns an estimate that has seen nothing.
func NewPressure() *Pressure {
	return &Pressure{floors: make(map[string]float64), loads: make(map[string]float64), pairs: make(map[string]Pressures)}
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

// Observe learns from one tail of a serving task. uses are the shares of the
// worker's processors that its neighbours used meanwhile, by image.
func (p *Pressure) Observe(serving string, tailMillis, targetMillis int64, uses map[string]float64) {
	if tailMillis <= 0 || targetMillis <= 0 {
		return
	}
	if f, ok := p.floors[serving]; !ok || float64(tailMillis) < f {
		p.floors[serving] = float64(tailMillis)
	}
	expected := p.Load(serving)
	var squares float64
	for image, use := range uses {
		expected += p.Of(serving, image) * use
		squares += use * use
	}
	u := p.Utilisation(serving, tailMillis, targetMillis)
	miss := math.Max(-maxError, math.Min(maxError, u-math.Min(expected, 1)))
	p.loads[serving] = p.Load(serving) + loadRate*miss
	for image, use := range uses {
		v := p.Of(serving, image) + learnRate*miss*use/(squares+minUse)
		if p.pairs[image] == nil {
			p.pairs[image] = make(Pressures)
		}
		p.pairs[image][serving] = max(0, v)
	}
}
