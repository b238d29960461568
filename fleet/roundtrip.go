package fleet

import (
	"context"
	"time"
)

const (
	// minStartTimeout covers a lost packet on a link between availability
	// zones, which is sent again after 200 ms.
	minStartTimeout = 350 * time.Millisecond
	// The gains and the factor of a round trip estimate are those of TCP's
	// retransmission timer (RFC 6298).
	meanGain      = 0.125
	deviationGain = 0.25
	deviations    = 4
)

// roundTrip estimates how long answers take, so that a call without one is
// given up early where answers are fast and late where the instance or the
// network is slow. The zero value has seen nothing.
type roundTrip struct {
	seen            bool
	mean, deviation time.Duration
}

// observe takes the time of an answered call in.
func (r *roundTrip) observe(d time.Duration) {
	if !r.seen {
		r.seen, r.mean, r.deviation = true, d, d/2
		return
	}
	r.deviation += time.Duration(deviationGain * float64((d-r.mean).Abs()-r.deviation))
	r.mean += time.Duration(meanGain * float64(d-r.mean))
}

// timeout returns how long to wait for an answer: startTimeout while nothing
// is known, and never longer.
func (r *roundTrip) timeout() time.Duration {
	if !r.seen {
		return startTimeout
	}
	return min(startTimeout, max(minStartTimeout, r.mean+deviations*r.deviation))
}

// stallGrace is how long an answer may still be read after the time for it is
// over. If the whole process stood still, the timer and the answer that has
// arrived are both found late, and the timer first.
const stallGrace = 50 * time.Millisecond

// callContext returns a context for a call that may take as long as timeout.
func callContext(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	first := time.AfterFunc(timeout, func() { time.AfterFunc(stallGrace, expire) })
	return ctx, func() {
		first.Stop()
		cancel(context.Canceled)
	}
}
