package placement

// Load pattern: the demand of batch tasks has fallen, or was declared too high,
// and serving tasks that have lost their runs wait beside free capacity, because
// it is reserved for batch tasks of which none waits. The reservation of
// BatchReservationSize follows the declared work that has arrived in the last
// 10 s. It is therefore bounded by what batch tasks have really needed: for
// restarts in the last 2 s, and with a margin in the last 10 s for other tasks.

const (
	// presentWindow is the window of the demand that bounds the reservation for
	// restarts, in milliseconds. Several batch tasks begin and end in it, so
	// that it includes ordinary bursts.
	presentWindow = idleWindow
	// maxDemandGap is the longest time between two observations of a continuous
	// series, in milliseconds. There is a placement pass every second.
	maxDemandGap = 1500
	// demandSampleMillis is the time covered by one sample, which bounds their
	// number.
	demandSampleMillis = 100
)

// PresentDemand tracks the CPU of the batch tasks of a pool that run or wait, in
// thousandths of a processor. The zero value has no observations.
type PresentDemand struct {
	since, last int64 // of the continuous series of observations, Unix milliseconds
	samples     []demandSample
}

// demandSample is the highest demand observed within demandSampleMillis from at.
type demandSample struct{ at, milliCPU int64 }

// Observe records the demand at a time in Unix milliseconds.
func (d *PresentDemand) Observe(now, milliCPU int64) {
	if len(d.samples) == 0 || now-d.last > maxDemandGap {
		d.since, d.samples = now, d.samples[:0]
	}
	d.last = now
	if n := len(d.samples); n > 0 && now-d.samples[n-1].at < demandSampleMillis {
		d.samples[n-1].milliCPU = max(d.samples[n-1].milliCPU, milliCPU)
		return
	}
	first := 0
	for first < len(d.samples) && now-d.samples[first].at > demandWindow {
		first++
	}
	d.samples = append(d.samples[first:], demandSample{now, milliCPU})
}

// peak returns the highest demand during a window that ends now. It is not known
// until the demand has been observed for that long.
func (d *PresentDemand) peak(now, window int64) (milliCPU int64, known bool) {
	if now-d.last > maxDemandGap || now-d.since < window {
		return 0, false
	}
	for i, s := range d.samples {
		// The demand of a sample lasts until the next one.
		if i+1 == len(d.samples) || now-d.samples[i+1].at <= window {
			milliCPU = max(milliCPU, s.milliCPU)
		}
	}
	return milliCPU, true
}

// Reservation returns the part of a batch reservation, in thousandths of a
// processor, that holds for serving tasks which never ran. These keep what they
// get, so it covers bursts above the highest demand of demandWindow. It is less
// than the reservation where run times are declared too high.
func (d *PresentDemand) Reservation(now, reserved int64) int64 {
	if peak, known := d.peak(now, demandWindow); known {
		return min(reserved, int64(batchDemandFactor*float64(peak)))
	}
	return reserved
}

// RestartReservation returns the part of a batch reservation, in thousandths of
// a processor, that holds for serving tasks which ran before. These do not
// increase the demand of the serving tasks, so they may use what no batch task
// has needed for presentWindow.
func (d *PresentDemand) RestartReservation(now, reserved int64) int64 {
	if peak, known := d.peak(now, presentWindow); known {
		return min(reserved, peak)
	}
	return reserved
}
