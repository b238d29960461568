package placement

// errorCovariance is the covariance matrix of the errors of the interference
// coefficients for one serving image. The full matrix is needed because images
// that usually run at the same time can only be distinguished when the CPU use
// of one of them changes.
type errorCovariance struct {
	images   []string
	rows     map[string]int // by image
	lastUsed []uint64       // number of the observation in which the image was last seen
	workedAt []int64        // time of the last observation in which the image used CPU; 0 if there was none
	values   [][]float64
	// evicted lists the images that were replaced during the last observation.
	evicted          []string
	crossCovariances []float64 // of the last observation: covariance of each coefficient with the weighted sum
	observations     uint64
}

const (
	// maxBestEffortImages bounds the best-effort images that are distinguished
	// for one serving image. The least recently seen image is replaced.
	maxBestEffortImages = 48
	// minVariance is a lower bound that allows an estimate to follow a slow
	// change.
	minVariance = 0.0025
	// staleAfterMillis is the time without an observation after which a
	// coefficient becomes less certain. While tasks of an image run, there are
	// several observations in that time.
	staleAfterMillis = 3000
	// staleVariance is the variance that a coefficient which is not observed
	// gains per second. After half a minute it is as uncertain as that of an
	// unknown pair: interference changes with the work of both images.
	staleVariance = 0.02
	// minObservedUse is the fraction of the processors from which the use of an
	// image tells something about its coefficient.
	minObservedUse = 1e-3
)

func newErrorCovariance() *errorCovariance { return &errorCovariance{rows: make(map[string]int)} }

// row returns the row of an image. A new image gets the prior variance.
func (c *errorCovariance) row(image string) int {
	if i, ok := c.rows[image]; ok {
		return i
	}
	i := len(c.images)
	if i < maxBestEffortImages {
		c.images, c.lastUsed, c.workedAt = append(c.images, image), append(c.lastUsed, 0), append(c.workedAt, 0)
		for j := range c.values {
			c.values[j] = append(c.values[j], 0)
		}
		c.values = append(c.values, make([]float64, i+1))
	} else {
		i = c.leastRecentlyUsed()
		delete(c.rows, c.images[i])
		c.evicted = append(c.evicted, c.images[i])
		c.images[i], c.workedAt[i] = image, 0
		for j := range c.values {
			c.values[i][j], c.values[j][i] = 0, 0
		}
	}
	c.values[i][i] = priorDeviation * priorDeviation
	c.rows[image] = i
	return i
}

func (c *errorCovariance) leastRecentlyUsed() int {
	least := 0
	for i, n := range c.lastUsed {
		if n < c.lastUsed[least] {
			least = i
		}
	}
	return least
}

// age increases the variance of a coefficient that was not observed for a time.
// The estimate may be wrong by now, and one that is too high is only corrected
// by rare and slow runs, which carry little weight if it counts as certain.
func (c *errorCovariance) age(i int, atMillis int64) {
	if last := c.workedAt[i]; last > 0 && atMillis-last > staleAfterMillis {
		aged := c.values[i][i] + staleVariance*float64(atMillis-last)/1000
		c.values[i][i] = max(c.values[i][i], min(priorDeviation*priorDeviation, aged))
	}
	c.workedAt[i] = max(c.workedAt[i], atMillis)
}

// observe updates the covariance with one observation of the sum of the
// coefficients at a time, weighted by uses. otherVariance is the part of the variance
// that is not caused by interference. It returns the variance of the
// observation and the covariance of each image's coefficient with the
// observation. The slice is valid until the next call.
func (c *errorCovariance) observe(atMillis int64, uses map[string]float64, otherVariance float64) (variance float64, crossCovariances []float64) {
	c.observations++
	c.evicted = c.evicted[:0]
	for image, use := range uses {
		i := c.row(image)
		c.lastUsed[i] = c.observations
		if use >= minObservedUse {
			c.age(i, atMillis)
		}
	}
	crossCovariances = append(c.crossCovariances[:0], make([]float64, len(c.images))...)
	c.crossCovariances = crossCovariances
	variance = otherVariance
	for image, use := range uses {
		row, ok := c.rows[image]
		if !ok {
			continue // more concurrent images than maxBestEffortImages
		}
		for i, v := range c.values[row] {
			crossCovariances[i] += v * use
		}
	}
	for image, use := range uses {
		if row, ok := c.rows[image]; ok {
			variance += crossCovariances[row] * use
		}
	}
	for i, cross := range crossCovariances {
		if cross == 0 {
			continue
		}
		row, gain := c.values[i], cross/variance
		for j := range row {
			row[j] -= gain * crossCovariances[j]
		}
		row[i] = max(minVariance, row[i])
	}
	return variance, crossCovariances
}
