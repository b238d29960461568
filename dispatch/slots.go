package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"apricotrouter/registry"
	"apricotrouter/state"
)

// attempted lists the endpoints and peers that a request was already sent to.
type attempted struct {
	endpoints []*registry.Endpoint
	peers     []string
}

func (t *attempted) add(g grant) {
	if g.endpoint != nil {
		t.endpoints = append(t.endpoints, g.endpoint)
	} else {
		t.peers = append(t.peers, g.peer)
	}
}

// tryAcquireSlot acquires a slot without waiting: on an owned endpoint, or else
// on a peer with free slots.
func (d *Dispatcher) tryAcquireSlot(rq *request, t *attempted) (grant, bool) {
	s := d.opts.Log.State()
	d.opts.Registry.Sync(s)
	if e := d.acquireOwned(rq.service, s, t); e != nil {
		return grant{endpoint: e}, true
	}
	if rq.forwarded {
		return grant{}, false
	}
	if peer := d.opts.Registry.AcquirePeerSlot(rq.service.name, t.peers); peer != "" {
		return grant{peer: peer}, true
	}
	return grant{}, false
}

// acquireSlot acquires a slot. It queues the request if there is none and the
// request can still finish by its deadline.
func (d *Dispatcher) acquireSlot(ctx context.Context, rq *request, t *attempted) (grant, *Problem) {
	if !d.opts.Log.Fresh() {
		return grant{}, d.notFreshProblem()
	}
	first := len(t.endpoints)+len(t.peers) == 0
	if !first || rq.forwarded || rq.service.queue.size.Load() == 0 {
		if g, ok := d.tryAcquireSlot(rq, t); ok {
			return g, nil
		}
	}
	if !first || rq.forwarded {
		return grant{}, noSlotProblem()
	}
	if p := d.admit(rq); p != nil {
		return grant{}, p
	}
	return d.waitForSlot(ctx, rq)
}

func (d *Dispatcher) notFreshProblem() *Problem {
	return notRun(http.StatusServiceUnavailable, "not-fresh", "instance has no confirmed state")
}

func noSlotProblem() *Problem {
	return notRun(http.StatusServiceUnavailable, "no-free-slot", "no endpoint has a free slot")
}

// rank orders endpoints by drained zone, recent failures and zone, and then by
// expected wait.
type rank struct {
	zoneDrained bool
	avoided     bool // failed or refused recently
	otherZone   bool
	score       int64
}

func (r rank) betterThan(o rank) bool {
	if r.zoneDrained != o.zoneDrained {
		return !r.zoneDrained
	}
	if r.avoided != o.avoided {
		return !r.avoided
	}
	if r.otherZone != o.otherZone {
		return !r.otherZone
	}
	return r.score < o.score
}

// acquireOwned acquires a slot on the best owned endpoint, or returns nil.
func (d *Dispatcher) acquireOwned(svc *service, s *state.State, t *attempted) *registry.Endpoint {
	pool := d.opts.Registry.Pool(svc.name)
	if pool == nil {
		return nil
	}
	now := d.opts.Clock.Now()
	for range pool.Endpoints {
		best := d.best(svc, pool, s, t, now)
		if best == nil || best.Acquire() {
			return best
		}
	}
	return nil
}

func (d *Dispatcher) best(svc *service, pool *registry.Pool, s *state.State, t *attempted, now time.Time) *registry.Endpoint {
	var best *registry.Endpoint
	var bestRank rank
	n := len(pool.Endpoints)
	start := int(svc.searchStart.Add(1)) % n
	for i := range n {
		e := pool.Endpoints[(start+i)%n]
		if e.Free() <= 0 || slices.Contains(t.endpoints, e) {
			continue
		}
		tg := d.targetOf(e)
		if tg.health.ejected(now) {
			continue
		}
		r := rank{
			zoneDrained: s.IsZoneDrained(e.Zone),
			avoided:     tg.health.avoided(now),
			otherZone:   e.Zone != d.opts.Registry.Zone(),
			score:       tg.score(now),
		}
		if best == nil || r.betterThan(bestRank) {
			best, bestRank = e, r
		}
	}
	return best
}

// admit rejects a request that can't finish by its deadline.
func (d *Dispatcher) admit(rq *request) *Problem {
	if !d.opts.Registry.HasEndpoint(rq.service.name) {
		return notRun(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service is known")
	}
	est := rq.service.estimate
	p10Latency := est.p10Latency()
	if p10Latency == 0 {
		return nil
	}
	position := time.Duration(rq.service.queue.callerCount() + 1)
	wait := est.p50Latency() * position / time.Duration(max(1, d.slots(rq.service)))
	if wait+p10Latency > rq.remaining() {
		return notRun(http.StatusServiceUnavailable, "overloaded", "request can't finish by its deadline")
	}
	return nil
}

// slots returns the number of slots of the owned endpoints of a service that
// are ready.
func (d *Dispatcher) slots(svc *service) int64 {
	pool := d.opts.Registry.Pool(svc.name)
	if pool == nil {
		return 0
	}
	var n int64
	for _, e := range pool.Endpoints {
		if e.Ready() {
			n += e.Slots()
		}
	}
	return n
}

// waitForSlot queues a request until it is granted a slot or can no longer
// finish by its deadline.
func (d *Dispatcher) waitForSlot(ctx context.Context, rq *request) (grant, *Problem) {
	w := &waiter{caller: rq.caller, since: time.Now(), ch: make(chan grant, 1)}
	bound := max(minQueue, int(d.slots(rq.service))*queuePerSlot)
	d.metrics.queued.Inc()
	defer d.metrics.queued.Dec()
	rq.service.queue.push(w, bound)
	d.grantQueued(rq.service)
	timer := time.NewTimer(rq.remaining() - rq.service.estimate.p10Latency())
	defer timer.Stop()
	select {
	case g := <-w.ch:
		if g == (grant{}) {
			return g, notRun(http.StatusServiceUnavailable, "overloaded", "queue of the service is full")
		}
		return g, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	if !rq.service.queue.remove(w) {
		d.returnSlot(rq.service, <-w.ch)
	}
	return grant{}, noSlotProblem()
}

// returnSlot releases a slot that was not used.
func (d *Dispatcher) returnSlot(svc *service, g grant) {
	if g.endpoint != nil {
		d.releaseSlot(svc, g.endpoint)
		return
	}
	d.opts.Registry.ReleasePeerSlot(svc.name, g.peer)
}

// releaseSlot grants the slot of an ended attempt to the next waiter, or
// releases it.
func (d *Dispatcher) releaseSlot(svc *service, e *registry.Endpoint) {
	q := svc.queue
	if q.size.Load() > 0 && e.CanReassignSlot() && d.opts.Log.Fresh() && q.pop(grant{endpoint: e}, d.overloaded(svc)) {
		return
	}
	e.Release()
}

// releaseAfterFailure releases the slot of a failed attempt. The next waiter is
// granted the best free slot, which may be on another endpoint.
func (d *Dispatcher) releaseAfterFailure(svc *service, e *registry.Endpoint) {
	e.Release()
	d.grantQueued(svc)
}

// overloaded reports whether the queue is longer than half of the slots.
func (d *Dispatcher) overloaded(svc *service) bool {
	return svc.queue.size.Load() > max(1, d.slots(svc)/2)
}

// grantQueued grants waiters the slots that became free without releaseSlot: on
// peers, on new endpoints, and after an announcement showed that an abandoned
// attempt has ended.
func (d *Dispatcher) grantQueued(svc *service) {
	for svc.queue.size.Load() > 0 && d.opts.Log.Fresh() {
		g, ok := d.tryAcquireSlot(&request{service: svc}, &attempted{})
		if !ok {
			return
		}
		if !svc.queue.pop(g, d.overloaded(svc)) {
			d.returnSlot(svc, g)
			return
		}
	}
}
