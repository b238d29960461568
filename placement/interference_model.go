package placement

import "math"

// InterferenceModel estimates, by pairs of images, how much best-effort tasks
// slow down serving tasks, from the tail latencies that workers report. It is
// made for workloads in which a few unknown pairs interfere heavily, most pairs
// do not, and the load of the serving tasks varies.
//
// The tail latency of a serving task is modelled as that of a queue:
// floor/(1-u). The utilisation u is the task's own load plus, for each
// co-located task, the interference coefficient of the pair times the fraction
// of the worker's processors that the co-located task uses.
type InterferenceModel struct {
	floors map[string]float64 // shortest tail latency observed, by serving image, milliseconds
	loads  map[string]float64 // mean load without interference, by serving image
	// matrix contains the interference coefficients by best-effort image and
	// then by serving image, because the search for a worker reads the
	// coefficients of one best-effort image for many serving images.
	matrix      map[string]InterferenceCoefficients
	covariance  map[string]*errorCovariance // of the coefficients, by serving image
	lastSampled map[string]int64            // time of the last sample, by serving image
}

// InterferenceCoefficients are the interference coefficients of one best-effort
// image, by serving image.
type InterferenceCoefficients map[string]float64

// Coefficient returns the interference coefficient for a serving image.
func (p InterferenceCoefficients) Coefficient(serving string) float64 {
	if v, ok := p[serving]; ok {
		return v
	}
	return priorCoefficient
}

const (
	// priorCoefficient is the coefficient assumed for a pair that was not
	// observed. It lies between that of a pair that interferes and that of one
	// that does not.
	priorCoefficient = 0.35
	// priorDeviation is the assumed standard deviation of the coefficients of
	// all pairs.
	priorDeviation = 0.8
	// priorLoad is the assumed load of a serving image that was not observed.
	priorLoad = 0.45
	// priorFloorFraction is the assumed tail latency of a serving image without
	// load, as a fraction of its target.
	priorFloorFraction = 0.25
	// loadLearningRate is the fraction of a residual by which one observation
	// corrects the mean load of an image.
	loadLearningRate = 0.02
	// maxResidual bounds the residual of one observation, because tail
	// latencies have outliers.
	maxResidual = 0.4
	// tailNoise is the standard deviation of a utilisation derived from a tail
	// latency. It is large because a tail latency covers only half a second.
	tailNoise = 0.05
	// changeNoise is the additional standard deviation caused by co-located
	// tasks that began or ended during the sample, if they used all processors.
	changeNoise = 0.5
	// saturatedUtilisation is the utilisation above which a tail latency gives
	// only a lower bound of the load.
	saturatedUtilisation = 0.93
	// interferenceSafetyFactor is the factor by which the interference of a new
	// co-located task may exceed the estimate.
	interferenceSafetyFactor = 1.25
	// maxServingImages bounds the serving images in the model. Every leader
	// saves the model: with maxBestEffortImages coefficients each, it takes
	// some 100 KB at most.
	maxServingImages = 64
	// minCoefficientChange is the smallest change of a coefficient that is
	// stored. Smaller ones are not worth the cost.
	minCoefficientChange = 1e-4
	// tailTargetFraction is the fraction of its target up to which a tail
	// latency may grow.
	tailTargetFraction = 0.95
)

// NewInterferenceModel returns a model without observations.
func NewInterferenceModel() *InterferenceModel {
	return &InterferenceModel{
		floors: make(map[string]float64), loads: make(map[string]float64), matrix: make(map[string]InterferenceCoefficients), covariance: make(map[string]*errorCovariance),
		lastSampled: make(map[string]int64),
	}
}

// Coefficient returns the interference coefficient of a pair of images.
func (p *InterferenceModel) Coefficient(serving, bestEffort string) float64 {
	return p.matrix[bestEffort].Coefficient(serving)
}

// CoefficientsOf returns the interference coefficients of a best-effort image.
func (p *InterferenceModel) CoefficientsOf(bestEffort string) InterferenceCoefficients {
	return p.matrix[bestEffort]
}

// Load returns the mean load of a serving image without interference.
func (p *InterferenceModel) Load(serving string) float64 {
	if v, ok := p.loads[serving]; ok {
		return v
	}
	return priorLoad
}

// Utilisation returns the utilisation that corresponds to a tail latency of a
// serving image.
func (p *InterferenceModel) Utilisation(serving string, tailMillis, targetMillis int64) float64 {
	if tailMillis <= 0 {
		return 0
	}
	return max(0, 1-p.tailFloor(serving, targetMillis)/float64(tailMillis))
}

// Limit returns the highest utilisation at which a serving image meets its
// target.
func (p *InterferenceModel) Limit(serving string, targetMillis int64) float64 {
	return max(0, 1-p.tailFloor(serving, targetMillis)/(tailTargetFraction*float64(targetMillis)))
}

func (p *InterferenceModel) tailFloor(serving string, targetMillis int64) float64 {
	f := priorFloorFraction * float64(targetMillis)
	if observed, ok := p.floors[serving]; ok {
		return min(f, observed)
	}
	return f
}

func (p *InterferenceModel) setCoefficient(serving, bestEffort string, value float64) {
	if p.matrix[bestEffort] == nil {
		p.matrix[bestEffort] = make(InterferenceCoefficients)
	}
	p.matrix[bestEffort][serving] = math.Max(0, value)
}

func (p *InterferenceModel) deleteCoefficient(serving, bestEffort string) {
	delete(p.matrix[bestEffort], serving)
	if len(p.matrix[bestEffort]) == 0 {
		delete(p.matrix, bestEffort)
	}
}

// recordImage records the time of a sample of a serving image. If the image is
// new and the model is full, the image whose last sample is the oldest is
// removed.
func (p *InterferenceModel) recordImage(serving string, atMillis int64) {
	if _, ok := p.floors[serving]; !ok && len(p.floors) >= maxServingImages {
		oldest := ""
		for image := range p.floors {
			if oldest == "" || p.lastSampled[image] < p.lastSampled[oldest] || p.lastSampled[image] == p.lastSampled[oldest] && image < oldest {
				oldest = image
			}
		}
		for bestEffort := range p.matrix {
			p.deleteCoefficient(oldest, bestEffort)
		}
		delete(p.floors, oldest)
		delete(p.loads, oldest)
		delete(p.covariance, oldest)
		delete(p.lastSampled, oldest)
	}
	p.lastSampled[serving] = atMillis
}

// TailSample is one tail latency of a serving task and the CPU usage of the
// co-located tasks during its measurement.
type TailSample struct {
	Image        string
	AtMillis     int64 // middle of the measurement interval
	TailMillis   int64
	TargetMillis int64
	// Uses contains the fractions of the worker's processors that co-located
	// tasks used during the measurement, by image. Changing is the fraction
	// used by those tasks that began, ended or changed their execution rate.
	Uses     map[string]float64
	Changing float64
}

// Observe updates the model and the load of the task's step with a sample. It
// returns the residual: the difference between measured and expected
// utilisation.
func (p *InterferenceModel) Observe(load *Load, s TailSample) float64 {
	if s.TailMillis <= 0 || s.TargetMillis <= 0 {
		return 0
	}
	p.recordImage(s.Image, s.AtMillis)
	if f, ok := p.floors[s.Image]; !ok || float64(s.TailMillis) < f {
		p.floors[s.Image] = float64(s.TailMillis)
	}
	load.advance(s.AtMillis, p.Load(s.Image))
	utilisation := p.Utilisation(s.Image, s.TailMillis, s.TargetMillis)
	expected := load.level
	for image, use := range s.Uses {
		expected += p.Coefficient(s.Image, image) * use
	}
	if utilisation >= saturatedUtilisation && expected >= utilisation {
		return 0
	}
	residual := math.Max(-maxResidual, math.Min(maxResidual, utilisation-expected))
	covariance := p.covariance[s.Image]
	if covariance == nil {
		covariance = newErrorCovariance()
		p.covariance[s.Image] = covariance
	}
	noise := tailNoise + changeNoise*s.Changing
	variance, crossCovariances := covariance.observe(s.AtMillis, s.Uses, noise*noise+load.levelVar)
	for i, image := range covariance.images {
		if change := crossCovariances[i] / variance * residual; math.Abs(change) >= minCoefficientChange {
			p.setCoefficient(s.Image, image, p.Coefficient(s.Image, image)+change)
		}
	}
	for _, image := range covariance.evicted {
		p.deleteCoefficient(s.Image, image)
	}
	load.correct(residual, variance)
	p.loads[s.Image] = p.Load(s.Image) + loadLearningRate*(load.level-p.Load(s.Image))
	return residual
}
