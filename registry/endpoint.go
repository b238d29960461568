package registry

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/state"
)

// maxAnnounceDelay is how long an announcement may be in transit. If an
// endpoint does not return fences, an announcement that is received later than
// this after an event on this instance is taken to have been made after the
// event. The time for forwarding is bounded by ownerForwardTimeout.
const maxAnnounceDelay = 2 * time.Second

// Endpoint is one incarnation of an endpoint, as tracked by its owner. Its slot
// count is exact, because only the owner acquires slots.
type Endpoint struct {
	ID          string
	Service     string
	Address     string
	Zone        string
	Incarnation uint64

	slots            atomic.Int64
	connLimit        atomic.Int64
	inFlight         atomic.Int64 // attempts of this instance that may be running
	previousInFlight atomic.Int64 // attempts of previous owners that may be running
	ready            atomic.Bool
	attached         atomic.Pointer[any]
	onRelease        func(*Endpoint)

	mu            sync.Mutex
	owned         bool
	fence         uint64
	confirmed     bool // an announcement made after the takeover was received
	draining      bool
	expired       bool
	takenOver     time.Time
	lastAnnounced time.Time
	ttl           time.Duration
	sequence      uint64
	abandoned     map[string]time.Time // attempt ID to the time it was abandoned
}

func newEndpoint(e *state.Endpoint, onRelease func(*Endpoint)) *Endpoint {
	ep := &Endpoint{
		ID:          e.ID,
		Service:     e.Service,
		Address:     e.Address,
		Zone:        e.Zone,
		Incarnation: e.Incarnation,
		onRelease:   onRelease,
		ttl:         DefaultTTL,
		abandoned:   make(map[string]time.Time),
	}
	ep.slots.Store(e.Slots)
	ep.connLimit.Store(e.ConnectionLimit)
	return ep
}

// Ready reports whether the endpoint accepts new requests from this instance.
func (e *Endpoint) Ready() bool { return e.ready.Load() }

// Slots returns the maximum number of concurrent requests of the endpoint.
func (e *Endpoint) Slots() int64 { return e.slots.Load() }

// ConnectionLimit returns the maximum number of connections to the endpoint.
func (e *Endpoint) ConnectionLimit() int64 { return e.connLimit.Load() }

// InFlight returns the number of requests that may be running on the endpoint,
// including those of previous owners.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() + e.previousInFlight.Load() }

// Free returns the number of free slots. It is 0 if the endpoint is not ready.
func (e *Endpoint) Free() int64 {
	if !e.ready.Load() {
		return 0
	}
	return max(0, e.slots.Load()-e.InFlight())
}

// Acquire acquires a slot and reports whether one was free. The caller must
// then call Release or Abandon.
func (e *Endpoint) Acquire() bool {
	for {
		n := e.inFlight.Load()
		if !e.ready.Load() || n+e.previousInFlight.Load() >= e.slots.Load() {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release releases the slot of an attempt that has certainly ended.
func (e *Endpoint) Release() {
	e.inFlight.Add(-1)
	e.onRelease(e)
}

// CanReassignSlot reports whether a slot can be given directly to another
// request instead of being released.
func (e *Endpoint) CanReassignSlot() bool {
	return e.ready.Load() && e.InFlight() <= e.slots.Load()
}

// Abandon marks an attempt as abandoned. Its slot stays occupied until
// EndAbandoned is called or an announcement shows that the endpoint no longer
// runs it.
func (e *Endpoint) Abandon(attempt string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned[attempt] = now
}

// EndAbandoned releases the slot of an abandoned attempt that has certainly
// ended.
func (e *Endpoint) EndAbandoned(attempt string) {
	e.mu.Lock()
	_, ok := e.abandoned[attempt]
	delete(e.abandoned, attempt)
	e.mu.Unlock()
	if ok {
		e.Release()
	}
}

// Attach returns the value attached to the endpoint. It builds and attaches one
// on first use.
func (e *Endpoint) Attach(build func(*Endpoint) any) any {
	if v := e.attached.Load(); v != nil {
		return *v
	}
	v := build(e)
	e.attached.CompareAndSwap(nil, &v)
	return *e.attached.Load()
}

// Attached returns the value attached by Attach, or nil.
func (e *Endpoint) Attached() any {
	if v := e.attached.Load(); v != nil {
		return *v
	}
	return nil
}

// takeOver makes this instance the owner, with the given fence. The endpoint is
// not ready until an announcement made afterwards arrives, because it is not
// known until then which requests of previous owners are running.
func (e *Endpoint) takeOver(fence uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned = true
	e.fence = fence
	e.confirmed = false
	e.expired = false
	e.takenOver = now
	e.lastAnnounced = now
	e.updateReady()
}

// endOwnership ends the ownership. Requests in flight continue.
func (e *Endpoint) endOwnership() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned = false
	e.confirmed = false
	e.updateReady()
}

// Owned reports whether this instance owns the endpoint.
func (e *Endpoint) Owned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owned
}

func (e *Endpoint) currentFence() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fence
}

// setDraining stops new requests for the rest of the incarnation. It reports
// whether the endpoint was not draining before.
func (e *Endpoint) setDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.draining
	e.draining = true
	e.updateReady()
	return !was
}

// applyAnnouncement applies an announcement of this incarnation. ownPrefix is
// the prefix of the attempt IDs of this instance. It reports whether the owner
// still waits for an announcement made after the takeover.
func (e *Endpoint) applyAnnouncement(a *Announcement, ownPrefix string, now time.Time) (unconfirmed bool) {
	e.mu.Lock()
	if a.Sequence != 0 && a.Sequence <= e.sequence {
		defer e.mu.Unlock()
		return !e.confirmed
	}
	e.sequence = a.Sequence
	e.lastAnnounced = now
	e.expired = false
	e.ttl = a.TTL()
	e.slots.Store(a.Slots)
	e.connLimit.Store(a.ConnectionLimit)
	if a.Fence >= e.fence || now.Sub(e.takenOver) > maxAnnounceDelay {
		e.previousInFlight.Store(countPreviousOwners(a.RunningAttempts, ownPrefix))
		e.confirmed = true
	}
	ended := e.removeEnded(a, now)
	e.updateReady()
	unconfirmed = !e.confirmed
	e.mu.Unlock()
	for range ended {
		e.Release()
	}
	return unconfirmed
}

// removeEnded removes and counts the abandoned attempts that the endpoint no
// longer runs. Attempts abandoned within the last maxAnnounceDelay are skipped,
// because their requests may still reach the endpoint.
func (e *Endpoint) removeEnded(a *Announcement, now time.Time) int {
	if len(e.abandoned) == 0 {
		return 0
	}
	running := make(map[string]struct{}, len(a.RunningAttempts))
	for _, id := range a.RunningAttempts {
		running[id] = struct{}{}
	}
	ended := 0
	for id, at := range e.abandoned {
		if _, ok := running[id]; !ok && now.Sub(at) > maxAnnounceDelay {
			delete(e.abandoned, id)
			ended++
		}
	}
	return ended
}

// expire marks the endpoint as expired if the TTL of its last announcement has
// passed. It reports whether the endpoint is expired and whether that has
// changed.
func (e *Endpoint) expire(now time.Time) (expired, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.expired
	e.expired = now.Sub(e.lastAnnounced) > e.ttl
	e.updateReady()
	return e.expired, e.expired != was
}

// updateReady recomputes ready; e.mu is held.
func (e *Endpoint) updateReady() {
	e.ready.Store(e.owned && e.confirmed && !e.draining && !e.expired)
}

func countPreviousOwners(workInHand []string, ownPrefix string) int64 {
	var n int64
	for _, id := range workInHand {
		if !strings.HasPrefix(id, ownPrefix) {
			n++
		}
	}
	return n
}
