package placement

// errorCovariance is the covariance matrix of the errors of the interference
// coefficients for one serving image. The full matrix is needed because images
// that usually run at the same time can only be distinguished when the CPU use
// of one of them changes.
type errorCovariance struct {
	images   []string
	rows     map[string]int // by image
	lastUsed []uint64       // number of the observation in which the image was last seen
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
)

func newErrorCovariance() *errorCovariance { return &errorCovariance{rows: make(map[string]int)} }

// row returns the row of an image. A new image gets the prior variance.
func (c *errorCovariance) row(image string) int {
	if i, ok := c.rows[image]; ok {
		return i
	}
	i := len(c.images)
	if i < maxBestEffortImages {
		c.images, c.lastUsed = append(c.images, image), append(c.lastUsed, 0)
		for j := range c.values {
			c.values[j] = append(c.values[j], 0)
		}
		c.values = append(c.values, make([]float64, i+1))
	} else {
		i = c.leastRecentlyUsed()
		delete(c.rows, c.images[i])
		c.evicted = append(c.evicted, c.images[i])
		c.images[i] = image
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

// observe updates the covariance with one observation of the sum of the
// coefficients, weighted by uses. otherVariance is the part of the variance
// that is not caused by interference. It returns the variance of the
// observation and the covariance of each image's coefficient with the
// observation. The slice is valid until the next call.
func (c *errorCovariance) observe(uses map[string]float64, otherVariance float64) (variance float64, crossCovariances []float64) {
	c.observations++
	c.evicted = c.evicted[:0]
	for image := range uses {
		c.lastUsed[c.row(image)] = c.observations
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
