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

// Intervals of the loop.
const (
	// roomInterval is how often free slots are sent when nothing changes.
	roomInterval = 200 * time.Millisecond
	// roomMinInterval is the shortest pause between two sends on change.
	roomMinInterval = 50 * time.Millisecond
	proposeTimeout  = 2 * time.Second
)

// Options are the settings and collaborators of a Registry.
type Options struct {
	Self string // id of this entry instance
	Zone string // availability zone of this entry instance
	// Start is a random number of this start of the process. It keeps attempt
	// ids of different starts apart.
	Start uint64
	Log   replica.Log
	Peers transport.Peers
	// Mux gets the handlers of KindAnnounce and KindRoom.
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// tables is the part of the state that decides what is owned.
type tables struct {
	assignments state.Table[*state.Assignment]
	endpoints   state.Table[*state.Endpoint]
}

// Pool is the endpoints of one service that this instance owns. It is
// immutable.
type Pool struct {
	Service   string
	Endpoints []*Endpoint
}

// Free returns the number of free slots.
func (p *Pool) Free() int64 {
	var free int64
	for _, e := range p.Endpoints {
		free += e.Free()
	}
	return free
}

// Registry keeps the endpoints of an entry instance.
type Registry struct {
	opts    Options
	pools   atomic.Pointer[map[string]*Pool]
	applied atomic.Pointer[tables] // what the pools reflect
	rooms   roomTable
	metrics *metrics
	prefix  string // of the attempt ids of this instance
	leaving atomic.Bool
	changed chan struct{} // a slot count crossed zero, or endpoints changed

	mu        sync.Mutex
	endpoints map[string]*Endpoint // owned now, or with attempts in flight
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
	r.applied.Store(&tables{})
	transport.OnCall(opts.Mux, transport.KindAnnounce, r.announced)
	transport.OnNotice(opts.Mux, transport.KindRoom, r.rooms.received(opts.Clock))
	return r
}

// AttemptPrefix returns the prefix of the attempt ids of this instance. It is
// different in each start of the process.
func (r *Registry) AttemptPrefix() string { return r.prefix }

// Zone returns the availability zone of this instance.
func (r *Registry) Zone() string { return r.opts.Zone }

// Pool returns the owned endpoints of a service, or nil.
func (r *Registry) Pool(service string) *Pool {
	return (*r.pools.Load())[service]
}

// Pools returns the owned endpoints of all services.
func (r *Registry) Pools() map[string]*Pool { return *r.pools.Load() }

// Leave stops all new requests to owned endpoints. A daemon calls it before
// it proposes to hand over its assignments.
func (r *Registry) Leave() {
	r.mu.Lock()
	r.leaving.Store(true)
	r.applied.Store(&tables{})
	r.mu.Unlock()
	r.Sync(r.opts.Log.State())
}

// Run follows the log, the times to live and the free slots until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(roomInterval)
	defer ticker.Stop()
	defer r.proposals.Wait()
	lastSent := time.Time{}
	for {
		logChanged := r.opts.Log.Changed()
		r.Sync(r.opts.Log.State())
		if now := r.opts.Clock.Now(); now.Sub(lastSent) >= roomMinInterval {
			r.sendRoom()
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

// signal wakes the loop without blocking.
func (r *Registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// slotReleased sends the free slots early when an endpoint was full.
func (r *Registry) slotReleased(e *Endpoint) {
	if e.Free() == 1 {
		r.signal()
	}
}

// Sync brings the owned endpoints in line with a state, so that a request
// that has seen the state uses no endpoint which the state gives to another
// instance. It costs one comparison if nothing changed.
func (r *Registry) Sync(s *state.State) {
	if *r.applied.Load() == (tables{s.Assignments, s.Endpoints}) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The state may have moved on while this waited for the lock.
	s = r.opts.Log.State()
	next := &tables{s.Assignments, s.Endpoints}
	if *r.applied.Load() == *next {
		return
	}
	now := r.opts.Clock.Now()
	owned := make(map[string]struct{})
	for _, a := range s.Assignments.WithPrefix(string(state.AssignEndpoint) + "/") {
		if a.Owner != r.opts.Self || r.leaving.Load() {
			continue
		}
		if info, ok := s.Endpoints.Get(a.ID); ok {
			r.own(info, a.Fence, now)
			owned[a.ID] = struct{}{}
		}
	}
	for id, e := range r.endpoints {
		if _, ok := owned[id]; !ok {
			r.disown(id, e)
		}
	}
	r.buildPools()
	r.applied.Store(next)
}

// own takes over an endpoint or follows a change of it; r.mu is held.
func (r *Registry) own(info *state.Endpoint, fence uint64, now time.Time) {
	e := r.endpoints[info.ID]
	if e == nil || e.Incarnation != info.Incarnation || e.Address != info.Address {
		if e != nil {
			e.lose()
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

// disown gives up an endpoint and forgets it once nothing is in flight; r.mu
// is held.
func (r *Registry) disown(id string, e *Endpoint) {
	if e.Owned() {
		e.lose()
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

// expire finds endpoints whose announcements stopped and proposes to remove
// them.
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
		silent, changed := e.expire(now)
		if changed && silent {
			event.Log(r.opts.Logger, event.EndpointSilent, slog.String("endpoint", id))
		}
		if silent {
			r.proposeRemoval(ctx, e)
		}
	}
}
