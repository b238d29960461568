package dispatch

import (
	"sync/atomic"
	"time"

	"apricotrouter/registry"
)

// target is the routing state of one owned endpoint.
type target struct {
	endpoint *registry.Endpoint
	pool     *connPool
	// latency is the exponentially decayed mean latency of successful attempts,
	// in nanoseconds.
	latency atomic.Int64
	// sampledAt is the time of the last sample of latency, in Unix nanoseconds.
	sampledAt atomic.Int64
	health    health
}

const (
	// latencyDecay is the inverse of the weight of a new sample.
	latencyDecay = 8
	// latencyHalfLife is the time without new samples after which an estimate
	// has lost half of its weight. Without it, an endpoint with one slow sample
	// would get no request that could correct the estimate.
	latencyHalfLife = time.Second
	maxHalvings     = 30
)

// observe adds the latency of an attempt that succeeded at now. Of two
// concurrent calls, one sample may be lost, which does not matter for a mean.
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

// halvings returns the number of half-lives since the last sample, at most
// maxHalvings.
func (t *target) halvings(now time.Time) int64 {
	age := now.UnixNano() - t.sampledAt.Load()
	return min(max(age/int64(latencyHalfLife), 0), maxHalvings)
}

// score returns the expected wait of one more request, by which endpoints are
// compared.
func (t *target) score(now time.Time) int64 {
	return (t.endpoint.InFlight() + 1) * max(t.expected(now), int64(time.Microsecond))
}

// expected returns the decayed mean latency, halved for each half-life without
// a sample, in nanoseconds.
func (t *target) expected(now time.Time) int64 {
	return t.latency.Load() >> t.halvings(now)
}

// targetOf returns the target of an endpoint and creates it on first use.
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
