package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"apricotrouter/registry"
	"apricotrouter/state"
)

// tried lists where a request was already sent.
type tried struct {
	endpoints []*registry.Endpoint
	peers     []string
}

func (t *tried) add(g grant) {
	if g.endpoint != nil {
		t.endpoints = append(t.endpoints, g.endpoint)
	} else {
		t.peers = append(t.peers, g.peer)
	}
}

// placeNow returns a slot without waiting: on an owned endpoint, or else on a
// peer that has room.
func (d *Dispatcher) placeNow(rq *request, t *tried) (grant, bool) {
	s := d.opts.Log.State()
	d.opts.Registry.Sync(s)
	if e := d.acquire(rq.service, s, t); e != nil {
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

// place returns a slot, and waits for one if the request can still finish in
// time.
func (d *Dispatcher) place(ctx context.Context, rq *request, t *tried) (grant, *Problem) {
	if !d.opts.Log.Fresh() {
		return grant{}, d.notFresh()
	}
	first := len(t.endpoints)+len(t.peers) == 0
	if !first || rq.forwarded || rq.service.queue.size.Load() == 0 {
		if g, ok := d.placeNow(rq, t); ok {
			return g, nil
		}
	}
	if !first || rq.forwarded {
		return grant{}, noSlot()
	}
	if p := d.admit(rq); p != nil {
		return grant{}, p
	}
	return d.wait(ctx, rq)
}

func (d *Dispatcher) notFresh() *Problem {
	return notRun(http.StatusServiceUnavailable, "not-fresh", "instance has no confirmed state")
}

func noSlot() *Problem {
	return notRun(http.StatusServiceUnavailable, "no-free-slot", "no endpoint has a free slot")
}

// rank orders endpoints by what counts more than their load.
type rank struct {
	zoneOut   bool
	avoided   bool // failed a moment ago
	otherZone bool
	score     int64
}

func (r rank) before(o rank) bool {
	if r.zoneOut != o.zoneOut {
		return !r.zoneOut
	}
	if r.avoided != o.avoided {
		return !r.avoided
	}
	if r.otherZone != o.otherZone {
		return !r.otherZone
	}
	return r.score < o.score
}

// acquire takes a slot of the best owned endpoint, or returns nil.
func (d *Dispatcher) acquire(svc *service, s *state.State, t *tried) *registry.Endpoint {
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

func (d *Dispatcher) best(svc *service, pool *registry.Pool, s *state.State, t *tried, now time.Time) *registry.Endpoint {
	var best *registry.Endpoint
	var bestRank rank
	n := len(pool.Endpoints)
	start := int(svc.turn.Add(1)) % n
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
			zoneOut:   s.ZoneOut(e.Zone),
			avoided:   tg.health.avoided(now),
			otherZone: e.Zone != d.opts.Registry.Zone(),
			score:     tg.score(now),
		}
		if best == nil || r.before(bestRank) {
			best, bestRank = e, r
		}
	}
	return best
}

// admit refuses a request that can't finish in time.
func (d *Dispatcher) admit(rq *request) *Problem {
	if !d.opts.Registry.HasEndpoint(rq.service.name) {
		return notRun(http.StatusServiceUnavailable, "no-endpoint", "no endpoint of the service is known")
	}
	est := rq.service.estimate
	fastest := est.fastest()
	if fastest == 0 {
		return nil
	}
	turns := time.Duration(rq.service.queue.callers() + 1)
	wait := est.median() * turns / time.Duration(max(1, d.slots(rq.service)))
	if wait+fastest > rq.remaining() {
		return notRun(http.StatusServiceUnavailable, "overloaded", "request can't finish by its deadline")
	}
	return nil
}

// slots returns the number of slots of the owned endpoints of a service.
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

// wait queues a request until it gets a slot or can't finish any more.
func (d *Dispatcher) wait(ctx context.Context, rq *request) (grant, *Problem) {
	w := &waiter{caller: rq.caller, since: time.Now(), ch: make(chan grant, 1)}
	bound := max(minQueue, int(d.slots(rq.service))*queuePerSlot)
	d.metrics.queued.Inc()
	defer d.metrics.queued.Dec()
	rq.service.queue.push(w, bound)
	d.serveQueue(rq.service)
	timer := time.NewTimer(rq.remaining() - rq.service.estimate.fastest())
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
		d.giveBack(rq.service, <-w.ch)
	}
	return grant{}, noSlot()
}

// giveBack returns an unused slot.
func (d *Dispatcher) giveBack(svc *service, g grant) {
	if g.endpoint != nil {
		d.release(svc, g.endpoint)
		return
	}
	d.opts.Registry.ReleasePeerSlot(svc.name, g.peer)
}

// release gives a slot to the next waiter, or back to the endpoint.
func (d *Dispatcher) release(svc *service, e *registry.Endpoint) {
	q := svc.queue
	if q.size.Load() > 0 && e.CanReassignSlot() && d.opts.Log.Fresh() && q.pop(grant{endpoint: e}, d.overloaded(svc)) {
		return
	}
	e.Release()
}

// releaseFailed gives back a slot after a failure. The next waiter gets the
// best free slot, which need not be this one.
func (d *Dispatcher) releaseFailed(svc *service, e *registry.Endpoint) {
	e.Release()
	d.serveQueue(svc)
}

// overloaded reports whether more requests wait than run.
func (d *Dispatcher) overloaded(svc *service) bool {
	return svc.queue.size.Load() > max(1, d.slots(svc)/2)
}

// serveQueue gives slots that became free without a release here to waiters:
// on peers, on new endpoints, and after an announcement ended a request.
func (d *Dispatcher) serveQueue(svc *service) {
	for svc.queue.size.Load() > 0 && d.opts.Log.Fresh() {
		g, ok := d.placeNow(&request{service: svc}, &tried{})
		if !ok {
			return
		}
		if !svc.queue.pop(g, d.overloaded(svc)) {
			d.giveBack(svc, g)
			return
		}
	}
}
