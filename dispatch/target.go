package dispatch

import (
	"sync/atomic"
	"time"

	"apricotrouter/registry"
)

// target is what the request path keeps with an owned endpoint.
type target struct {
	endpoint *registry.Endpoint
	pool     *connPool
	// latency is the decayed mean time of successful attempts, nanoseconds.
	latency atomic.Int64
	// sampledAt is when latency got its last sample, Unix nanoseconds.
	sampledAt atomic.Int64
	health    health
}

const (
	// latencyDecay is the weight of one new sample, as a divisor.
	latencyDecay = 8
	// latencyHalfLife is the time in which an estimate without new samples
	// loses half of its weight. Without it an endpoint with one slow sample
	// gets no request that could correct the estimate.
	latencyHalfLife = time.Second
	maxHalvings     = 30
)

// observe takes the time of an attempt that succeeded at now. Two that finish
// at once may lose one sample, which does not matter to a mean.
func (t *target) observe(d time.Duration, now time.Time) {
	old, halvings := t.latency.Load(), t.halvings(now)
	t.sampledAt.Store(now.UnixNano())
	if old == 0 {
		t.latency.Store(int64(d))
		return
	}
	weighted := (old - int64(d)) * (latencyDecay - 1) / latencyDecay
	t.latency.Store(int64(d) + weighted/(1<<halvings))
}

// halvings returns how many half-lives have passed since the last sample.
func (t *target) halvings(now time.Time) int64 {
	age := now.UnixNano() - t.sampledAt.Load()
	return min(max(age/int64(latencyHalfLife), 0), maxHalvings)
}

// score orders targets: the expected wait if one more request is sent.
func (t *target) score(now time.Time) int64 {
	return (t.endpoint.InFlight() + 1) * max(t.expected(now), int64(time.Microsecond))
}

// expected returns the decayed mean, halved for each half-life without a
// sample, in nanoseconds.
func (t *target) expected(now time.Time) int64 {
	return t.latency.Load() >> t.halvings(now)
}

// targetOf returns the target of an endpoint and builds it at first use.
func (d *Dispatcher) targetOf(e *registry.Endpoint) *target {
	if v := e.Attached(); v != nil {
		return v.(*target)
	}
	return e.Attach(func(e *registry.Endpoint) any {
		t := &target{
			endpoint: e,
			pool:     &connPool{address: e.Address, limit: e.ConnectionLimit, clock: d.opts.Clock, dialer: d.dialer},
		}
		d.addTarget(t)
		return t
	}).(*target)
}
