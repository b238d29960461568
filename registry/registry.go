package registry

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// Intervals and timeouts.
const (
	// broadcastInterval is the interval at which free slots are sent to the
	// peers without a change.
	broadcastInterval = 200 * time.Millisecond
	// minBroadcastInterval is the minimum interval between two broadcasts after
	// changes.
	minBroadcastInterval = 50 * time.Millisecond
	proposeTimeout       = 2 * time.Second
)

// Options configures a Registry.
type Options struct {
	Self string // ID of this entry instance
	Zone string // availability zone of this entry instance
	// Start is a random number that identifies this process start. It makes
	// attempt IDs unique across restarts.
	Start uint64
	Log   replica.Log
	Peers transport.Peers
	// Mux receives the handlers of KindAnnounce and KindFreeSlots.
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// ownershipTables are the tables of the state that determine which endpoints an
// instance owns.
type ownershipTables struct {
	assignments state.Table[*state.Assignment]
	endpoints   state.Table[*state.Endpoint]
}

// Pool contains the endpoints of one service that this instance owns. It is
// immutable.
type Pool struct {
	Service   string
	Endpoints []*Endpoint
}

// Free returns the number of free slots of all endpoints in the pool.
func (p *Pool) Free() int64 {
	var free int64
	for _, e := range p.Endpoints {
		free += e.Free()
	}
	return free
}

// Registry tracks the endpoints of an entry instance.
type Registry struct {
	opts         Options
	pools        atomic.Pointer[map[string]*Pool]
	applied      atomic.Pointer[ownershipTables] // tables from which the pools were built
	peerSlots    peerSlotTable
	metrics      *metrics
	prefix       string // prefix of the attempt IDs of this instance
	shuttingDown atomic.Bool
	changed      chan struct{} // wakes Run: an endpoint was full and has a free slot, or an announcement was applied

	mu        sync.Mutex
	endpoints map[string]*Endpoint // owned, or with attempts in flight
	proposing map[string]state.Endpoint
	proposals sync.WaitGroup
}

// New returns a Registry and registers its handlers.
func New(opts Options) *Registry {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	r := &Registry{
		opts:      opts,
		metrics:   newMetrics(opts.Registerer),
		prefix:    opts.Self + "-" + strconv.FormatUint(opts.Start, 36) + "-",
		changed:   make(chan struct{}, 1),
		endpoints: make(map[string]*Endpoint),
		proposing: make(map[string]state.Endpoint),
	}
	r.pools.Store(&map[string]*Pool{})
	r.applied.Store(&ownershipTables{})
	transport.OnCall(opts.Mux, transport.KindAnnounce, r.handleAnnounce)
	transport.OnOneWay(opts.Mux, transport.KindFreeSlots, r.peerSlots.received(opts.Clock))
	return r
}

// AttemptPrefix returns the prefix of the attempt IDs of this instance. It is
// different after each process start.
func (r *Registry) AttemptPrefix() string { return r.prefix }

// Zone returns the availability zone of this instance.
func (r *Registry) Zone() string { return r.opts.Zone }

// Pool returns the owned endpoints of a service, or nil if there are none.
func (r *Registry) Pool(service string) *Pool {
	return (*r.pools.Load())[service]
}

// Pools returns the owned endpoints by service.
func (r *Registry) Pools() map[string]*Pool { return *r.pools.Load() }

// StopNewRequests stops all new requests to owned endpoints. It must be called
// before this instance proposes the hand-over of its assignments.
func (r *Registry) StopNewRequests() {
	r.mu.Lock()
	r.shuttingDown.Store(true)
	r.applied.Store(&ownershipTables{})
	r.mu.Unlock()
	r.Sync(r.opts.Log.State())
}

// Run applies changes of the log, broadcasts free slots and expires endpoints
// until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(broadcastInterval)
	defer ticker.Stop()
	defer r.proposals.Wait()
	lastSent := time.Time{}
	for {
		logChanged := r.opts.Log.Changed()
		r.Sync(r.opts.Log.State())
		if now := r.opts.Clock.Now(); now.Sub(lastSent) >= minBroadcastInterval {
			r.broadcastFreeSlots()
			lastSent = now
		}
		select {
		case <-ctx.Done():
			return nil
		case <-logChanged:
		case <-r.changed:
		case <-ticker.Chan():
			r.expire(ctx)
		}
	}
}

// wake makes Run start its next iteration. It does not block.
func (r *Registry) wake() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// slotReleased triggers a broadcast of the free slots when the endpoint was
// full before.
func (r *Registry) slotReleased(e *Endpoint) {
	if e.Free() == 1 {
		r.wake()
	}
}

// Sync updates the owned endpoints from a state. A request calls it with the
// state that it uses, so that it does not use an endpoint that this state
// assigns to another instance. It costs one comparison if nothing has changed.
func (r *Registry) Sync(s *state.State) {
	if *r.applied.Load() == (ownershipTables{s.Assignments, s.Endpoints}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The state may have changed while this call waited for the lock.
	s = r.opts.Log.State()
	next := &ownershipTables{s.Assignments, s.Endpoints}
	if *r.applied.Load() == *next {
		return
	}
	now := r.opts.Clock.Now()
	owned := make(map[string]struct{})
	for _, a := range s.Assignments.WithPrefix(string(state.AssignEndpoint) + "/") {
		if a.Owner != r.opts.Self || r.shuttingDown.Load() {
			continue
		}
		if info, ok := s.Endpoints.Get(a.ID); ok {
			r.ensureOwned(info, a.Fence, now)
			owned[a.ID] = struct{}{}
		}
	}
	for id, e := range r.endpoints {
		if _, ok := owned[id]; !ok {
			r.releaseOwnership(id, e)
		}
	}
	r.buildPools()
	r.applied.Store(next)
}

// ensureOwned takes over an endpoint that is not owned yet and applies changes
// to one that is; r.mu is held.
func (r *Registry) ensureOwned(info *state.Endpoint, fence uint64, now time.Time) {
	e := r.endpoints[info.ID]
	if e == nil || e.Incarnation != info.Incarnation || e.Address != info.Address {
		if e != nil {
			e.endOwnership()
		}
		e = newEndpoint(info, r.slotReleased)
		r.endpoints[info.ID] = e
	}
	if !e.Owned() || e.currentFence() != fence {
		e.takeOver(fence, now)
		event.Log(r.opts.Logger, event.EndpointOwned, slog.String("endpoint", e.ID), slog.Uint64("fence", fence))
	}
	if info.Draining && e.setDraining() {
		event.Log(r.opts.Logger, event.EndpointDraining, slog.String("endpoint", e.ID))
	}
}

// releaseOwnership ends the ownership of an endpoint, and deletes it if no
// attempt is in flight; r.mu is held.
func (r *Registry) releaseOwnership(id string, e *Endpoint) {
	if e.Owned() {
		e.endOwnership()
		event.Log(r.opts.Logger, event.EndpointReleased, slog.String("endpoint", id))
	}
	if e.inFlight.Load() == 0 {
		delete(r.endpoints, id)
	}
}

// buildPools publishes the owned endpoints by service; r.mu is held.
func (r *Registry) buildPools() {
	pools := make(map[string]*Pool)
	for _, id := range slices.Sorted(maps.Keys(r.endpoints)) {
		e := r.endpoints[id]
		if !e.Owned() {
			continue
		}
		p := pools[e.Service]
		if p == nil {
			p = &Pool{Service: e.Service}
			pools[e.Service] = p
		}
		p.Endpoints = append(p.Endpoints, e)
	}
	r.pools.Store(&pools)
	r.metrics.owned.Set(float64(len(r.endpoints)))
}

// lookup returns an endpoint that this instance owns, or nil.
func (r *Registry) lookup(id string) *Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[id]; e != nil && e.Owned() {
		return e
	}
	return nil
}

// expire marks endpoints as expired whose announcements have stopped, and
// proposes their removal.
func (r *Registry) expire(ctx context.Context) {
	now := r.opts.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, e := range r.endpoints {
		if !e.Owned() {
			if e.inFlight.Load() == 0 {
				delete(r.endpoints, id)
			}
			continue
		}
		expired, changed := e.expire(now)
		if changed && expired {
			event.Log(r.opts.Logger, event.EndpointExpired, slog.String("endpoint", id))
		}
		if expired {
			r.proposeRemoval(ctx, e)
		}
	}
}
