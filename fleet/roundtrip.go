package fleet

import (
	"context"
	"time"
)

const (
	// minStartTimeout covers a lost packet on a link between availability
	// zones, which is retransmitted after 200 ms.
	minStartTimeout = 350 * time.Millisecond
	// The gains and the factor of the round-trip estimate are those of TCP's
	// retransmission timer (RFC 6298).
	meanGain      = 0.125
	deviationGain = 0.25
	deviations    = 4
)

// roundTripEstimator estimates the response time of calls. An unanswered call
// times out early where responses are fast, and late where the instance or the
// network is slow. The zero value has no samples.
type roundTripEstimator struct {
	sampled         bool
	mean, deviation time.Duration
}

// observe adds the duration of a call that got a response.
func (r *roundTripEstimator) observe(d time.Duration) {
	if !r.sampled {
		r.sampled, r.mean, r.deviation = true, d, d/2
		return
	}
	r.deviation += time.Duration(deviationGain * float64((d-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanGain * float64(d-r.mean))
}

// timeout returns the timeout of a call: startTimeout without samples, and at
// most that.
func (r *roundTripEstimator) timeout() time.Duration {
	if !r.sampled {
		return startTimeout
	}
	return min(startTimeout, max(minStartTimeout, r.mean+deviations*r.deviation))
}

// stallGrace is how long a response may still be read after the timeout. After
// a stall of the whole process, the timer and a response that has arrived are
// both handled late, and the timer first.
const stallGrace = 50 * time.Millisecond

// callContext returns a context for a call with the timeout.
func callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	first := time.AfterFunc(timeout, func() { time.AfterFunc(stallGrace, expire) })
	return ctx, func() {
		first.Stop()
		cancel(context.Canceled)
	}
}
