package placement

// covariance is that of the errors of the pressures on one serving image. The
// whole matrix is kept, since images that run side by side most of the time are
// only told apart by the moments at which one of them changes.
type covariance struct {
	images []string
	rows   map[string]int // by image
	used   []uint64       // observation at which an image was last seen
	values [][]float64
	// evicted are the images that gave way during the last observation.
	evicted []string
	shared  []float64 // of the last observation: covariance of each pressure with the sum
	count   uint64
}

const (
	// maxPairs bounds the leftover images that are told apart for one serving
	// image. The one that was not seen for longest gives way.
	maxPairs = 48
	// minVariance keeps an estimate able to follow a slow change.
	minVariance = 0.0025
)

func newCovariance() *covariance { return &covariance{rows: make(map[string]int)} }

// row returns the row of an image, with the spread of an unknown one if new.
func (c *covariance) row(image string) int {
	if i, ok := c.rows[image]; ok {
		return i
	}
	i := len(c.images)
	if i < maxPairs {
		c.images, c.used = append(c.images, image), append(c.used, 0)
		for j := range c.values {
			c.values[j] = append(c.values[j], 0)
		}
		c.values = append(c.values, make([]float64, i+1))
	} else {
		i = c.oldest()
		delete(c.rows, c.images[i])
		c.evicted = append(c.evicted, c.images[i])
		c.images[i] = image
		for j := range c.values {
			c.values[i][j], c.values[j][i] = 0, 0
		}
	}
	c.values[i][i] = pressureSpread * pressureSpread
	c.rows[image] = i
	return i
}

func (c *covariance) oldest() int {
	least := 0
	for i, n := range c.used {
		if n < c.used[least] {
			least = i
		}
	}
	return least
}

// observe takes one observation of a sum of pressures, weighted by the uses,
// into account. other is the variance of what is not due to pressures. It
// returns the variance of the observation, and for each of images the
// covariance of its pressure with the observation, valid until the next one.
func (c *covariance) observe(uses map[string]float64, other float64) (spread float64, shared []float64) {
	c.count++
	c.evicted = c.evicted[:0]
	for image := range uses {
		c.used[c.row(image)] = c.count
	}
	shared = append(c.shared[:0], make([]float64, len(c.images))...)
	c.shared = shared
	spread = other
	for image, use := range uses {
		row, ok := c.rows[image]
		if !ok {
			continue // more images at once than are told apart
		}
		for i, v := range c.values[row] {
			shared[i] += v * use
		}
	}
	for image, use := range uses {
		if row, ok := c.rows[image]; ok {
			spread += shared[row] * use
		}
	}
	for i, of := range shared {
		if of == 0 {
			continue
		}
		row, share := c.values[i], of/spread
		for j := range row {
			row[j] -= share * shared[j]
		}
		row[i] = max(minVariance, row[i])
	}
	return spread, shared
}
