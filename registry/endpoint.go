package registry

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/state"
)

// announceDelayBound is the age beyond which an announcement that is only now
// received is taken to have been made after an event of this instance, if the
// endpoint does not repeat fences. Receivers give up passing one on after
// passOnTimeout.
const announceDelayBound = 2 * time.Second

// Endpoint is one incarnation of an endpoint as its owner sees it. Its slot
// count is exact: only the owner acquires slots.
type Endpoint struct {
	ID          string
	Service     string
	Address     string
	Zone        string
	Incarnation uint64

	slots     atomic.Int64
	connLimit atomic.Int64
	inFlight  atomic.Int64 // attempts of this instance that may be running
	foreign   atomic.Int64 // attempts of earlier owners that may be running
	ready     atomic.Bool
	attached  atomic.Pointer[any]
	released  func(*Endpoint)

	mu        sync.Mutex
	owned     bool
	fence     uint64
	confirmed bool // an announcement made after the takeover was received
	draining  bool
	silent    bool
	takenOver time.Time
	lastHeard time.Time
	ttl       time.Duration
	sequence  uint64
	lingering map[string]time.Time // attempt id to the time it was abandoned
}

func newEndpoint(e *state.Endpoint, released func(*Endpoint)) *Endpoint {
	ep := &Endpoint{
		ID:          e.ID,
		Service:     e.Service,
		Address:     e.Address,
		Zone:        e.Zone,
		Incarnation: e.Incarnation,
		released:    released,
		ttl:         DefaultTTL,
		lingering:   make(map[string]time.Time),
	}
	ep.slots.Store(e.Slots)
	ep.connLimit.Store(e.ConnectionLimit)
	return ep
}

// Ready reports whether the endpoint takes new requests from this instance.
func (e *Endpoint) Ready() bool { return e.ready.Load() }

// Slots returns the number of requests that the endpoint runs at once.
func (e *Endpoint) Slots() int64 { return e.slots.Load() }

// ConnectionLimit returns how many connections the endpoint accepts.
func (e *Endpoint) ConnectionLimit() int64 { return e.connLimit.Load() }

// InFlight returns the number of requests that may be running on the
// endpoint, those of earlier owners included.
func (e *Endpoint) InFlight() int64 { return e.inFlight.Load() + e.foreign.Load() }

// Free returns the number of free slots, 0 if the endpoint is not ready.
func (e *Endpoint) Free() int64 {
	if !e.ready.Load() {
		return 0
	}
	return max(0, e.slots.Load()-e.InFlight())
}

// Acquire takes a slot and reports whether one was free. The caller must end
// it with Release or Linger.
func (e *Endpoint) Acquire() bool {
	for {
		n := e.inFlight.Load()
		if !e.ready.Load() || n+e.foreign.Load() >= e.slots.Load() {
			return false
		}
		if e.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives back a slot whose attempt has certainly ended.
func (e *Endpoint) Release() {
	e.inFlight.Add(-1)
	e.released(e)
}

// MayPassOn reports whether a slot that is being given back may go to another
// request at once.
func (e *Endpoint) MayPassOn() bool {
	return e.ready.Load() && e.InFlight() <= e.slots.Load()
}

// Linger keeps the slot of an abandoned attempt until EndLinger, or until an
// announcement shows that the endpoint no longer runs it.
func (e *Endpoint) Linger(attempt string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lingering[attempt] = now
}

// EndLinger gives back the slot of an abandoned attempt that has certainly
// ended.
func (e *Endpoint) EndLinger(attempt string) {
	e.mu.Lock()
	_, ok := e.lingering[attempt]
	delete(e.lingering, attempt)
	e.mu.Unlock()
	if ok {
		e.Release()
	}
}

// Attach returns what the request path keeps with the endpoint, and builds it
// at first use.
func (e *Endpoint) Attach(build func(*Endpoint) any) any {
	if v := e.attached.Load(); v != nil {
		return *v
	}
	v := build(e)
	e.attached.CompareAndSwap(nil, &v)
	return *e.attached.Load()
}

// Attached returns what Attach built, or nil.
func (e *Endpoint) Attached() any {
	if v := e.attached.Load(); v != nil {
		return *v
	}
	return nil
}

// takeOver makes this instance the owner under a fence. Until an announcement
// made afterwards arrives, it is not known what earlier owners' requests run,
// so that the endpoint takes nothing.
func (e *Endpoint) takeOver(fence uint64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned = true
	e.fence = fence
	e.confirmed = false
	e.silent = false
	e.takenOver = now
	e.lastHeard = now
	e.update()
}

// lose ends the ownership. Requests in flight go on.
func (e *Endpoint) lose() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.owned = false
	e.confirmed = false
	e.update()
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
// whether that is new.
func (e *Endpoint) setDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.draining
	e.draining = true
	e.update()
	return !was
}

// heard takes an announcement of this incarnation. ownPrefix is the prefix of
// the attempt ids of this instance. It reports whether the owner is still
// waiting for an announcement made after the takeover.
func (e *Endpoint) heard(a *Announcement, ownPrefix string, now time.Time) (unconfirmed bool) {
	e.mu.Lock()
	if a.Sequence != 0 && a.Sequence <= e.sequence {
		defer e.mu.Unlock()
		return !e.confirmed
	}
	e.sequence = a.Sequence
	e.lastHeard = now
	e.silent = false
	e.ttl = a.TTL()
	e.slots.Store(a.Slots)
	e.connLimit.Store(a.ConnectionLimit)
	if a.Fence >= e.fence || now.Sub(e.takenOver) > announceDelayBound {
		e.foreign.Store(countForeign(a.WorkInHand, ownPrefix))
		e.confirmed = true
	}
	ended := e.endedAttempts(a, now)
	e.update()
	unconfirmed = !e.confirmed
	e.mu.Unlock()
	for range ended {
		e.Release()
	}
	return unconfirmed
}

// endedAttempts removes and counts the abandoned attempts that the endpoint
// no longer runs. Attempts abandoned shortly before may still reach it.
func (e *Endpoint) endedAttempts(a *Announcement, now time.Time) int {
	if len(e.lingering) == 0 {
		return 0
	}
	running := make(map[string]struct{}, len(a.WorkInHand))
	for _, id := range a.WorkInHand {
		running[id] = struct{}{}
	}
	ended := 0
	for id, at := range e.lingering {
		if _, ok := running[id]; !ok && now.Sub(at) > announceDelayBound {
			delete(e.lingering, id)
			ended++
		}
	}
	return ended
}

// expire marks the endpoint silent if its last announcement no longer holds.
// It reports whether the endpoint is silent and whether that is new.
func (e *Endpoint) expire(now time.Time) (silent, changed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	was := e.silent
	e.silent = now.Sub(e.lastHeard) > e.ttl
	e.update()
	return e.silent, e.silent != was
}

// update computes ready; e.mu is held.
func (e *Endpoint) update() {
	e.ready.Store(e.owned && e.confirmed && !e.draining && !e.silent)
}

func countForeign(workInHand []string, ownPrefix string) int64 {
	var n int64
	for _, id := range workInHand {
		if !strings.HasPrefix(id, ownPrefix) {
			n++
		}
	}
	return n
}
