package placement

import "math"

// Load is a Kalman filter for the load that serving tasks receive from their
// users, without interference. All tasks of a workflow step serve the same
// users, so their loads rise and fall together, and level and trend are
// estimated from the samples of all of them. A load can swing within seconds;
// the tail latency of a single task would show that too late. The zero value
// has no observations.
type Load struct {
	observed     bool
	atMillis     int64   // time of the estimate
	level, trend float64 // utilisation, and its change per second
	// Variances of level and trend, and their covariance.
	levelVar, trendVar, covariance float64
}

const (
	// loadDeviation is the assumed standard deviation of the level before the
	// first observation.
	loadDeviation = 0.15
	// trendDeviation is the assumed standard deviation of the trend before the
	// first observation, per second.
	trendDeviation = 0.08
	// levelTimeConstant and trendTimeConstant are the time constants, in
	// seconds, with which the level returns to the mean of its image and the
	// trend decays without observations.
	levelTimeConstant = 20.0
	trendTimeConstant = 10.0
	// trendNoise is the variance that the trend gains per second. Loads reverse
	// their direction within several seconds.
	trendNoise = 0.004
)

// Predict returns the load expected at a time. The time is in Unix or monotonic
// milliseconds, the same as in InterferenceModel.Observe. Without observations,
// Predict returns prior.
func (l *Load) Predict(millis int64, prior float64) float64 {
	if !l.observed {
		return prior
	}
	return math.Max(0, l.level+l.trend*l.secondsSince(millis))
}

// PredictMax returns the higher of the loads expected at two times.
func (l *Load) PredictMax(from, to int64, prior float64) float64 {
	return math.Max(l.Predict(from, prior), l.Predict(to, prior))
}

// Deviation returns the standard deviation of the level.
func (l *Load) Deviation() float64 {
	if !l.observed {
		return loadDeviation
	}
	return math.Sqrt(l.levelVar)
}

func (l *Load) secondsSince(millis int64) float64 { return float64(millis-l.atMillis) / 1000 }

// advance moves the estimate to a time. An observation that arrives out of
// order is treated as if it were made at the time of the latest one.
func (l *Load) advance(millis int64, prior float64) {
	if !l.observed {
		l.observed, l.atMillis, l.level = true, millis, prior
		l.levelVar, l.trendVar = loadDeviation*loadDeviation, trendDeviation*trendDeviation
		return
	}
	dt := l.secondsSince(millis)
	if dt <= 0 {
		return
	}
	l.atMillis = millis
	l.level += l.trend*dt + (prior-l.level)*(1-math.Exp(-dt/levelTimeConstant))
	l.trend *= math.Exp(-dt / trendTimeConstant)
	l.levelVar += 2*dt*l.covariance + dt*dt*l.trendVar
	l.covariance += dt * l.trendVar
	l.trendVar = math.Min(l.trendVar+trendNoise*dt, trendDeviation*trendDeviation)
	l.levelVar = math.Min(l.levelVar, loadDeviation*loadDeviation)
}

// correct updates the estimate with the residual of an observation. variance is
// the variance of the residual.
func (l *Load) correct(residual, variance float64) {
	levelGain, trendGain := l.levelVar/variance, l.covariance/variance
	// With a negative load, the interference coefficients would compensate for
	// it.
	l.level = math.Max(0, l.level+levelGain*residual)
	l.trend += trendGain * residual
	l.trendVar -= trendGain * l.covariance
	l.covariance -= levelGain * l.covariance
	l.levelVar -= levelGain * l.levelVar
}
