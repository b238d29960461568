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
	health  health
}

// latencyDecay is the weight of one new sample, as a divisor.
const latencyDecay = 8

// observe takes the time of a successful attempt. Two that finish at once may
// lose one sample, which does not matter to a mean.
func (t *target) observe(d time.Duration) {
	old := t.latency.Load()
	if old == 0 {
		t.latency.Store(int64(d))
		return
	}
	t.latency.Store(old + (int64(d)-old)/latencyDecay)
}

// score orders targets: the expected wait if one more request is sent.
func (t *target) score() int64 {
	return (t.endpoint.InFlight() + 1) * max(t.latency.Load(), int64(time.Microsecond))
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
