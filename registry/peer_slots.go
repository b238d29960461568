package registry

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"apricotrouter/transport"
)

// peerSlotsTTL is how long the free slots received from a peer are used.
const peerSlotsTTL = time.Second

// FreeSlotsMessage is the message by which an instance sends its free slots to
// its peers.
type FreeSlotsMessage struct {
	Zone     string             `cbor:"1,keyasint"`
	Services []ServiceFreeSlots `cbor:"2,keyasint,omitempty"`
}

// ServiceFreeSlots is the number of free slots of one service.
type ServiceFreeSlots struct {
	Service string `cbor:"1,keyasint"`
	Free    int64  `cbor:"2,keyasint"`
}

// peerFreeSlots is the content of the last FreeSlotsMessage of a peer. It is
// immutable except for the counts, from which this instance deducts the
// requests that it has forwarded since.
type peerFreeSlots struct {
	zone     string
	received time.Time
	free     map[string]*atomic.Int64
}

// peerSlotTable contains the free slots of the peers. Reads take no lock.
type peerSlotTable struct {
	mu    sync.Mutex
	peers atomic.Pointer[map[string]*peerFreeSlots]
}

// received returns the handler that stores the messages of the peers.
func (t *peerSlotTable) received(clock clockwork.Clock) func(string, *FreeSlotsMessage) {
	return func(from string, message *FreeSlotsMessage) {
		next := &peerFreeSlots{zone: message.Zone, received: clock.Now(), free: make(map[string]*atomic.Int64, len(message.Services))}
		for _, s := range message.Services {
			free := new(atomic.Int64)
			free.Store(s.Free)
			next.free[s.Service] = free
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		peers := make(map[string]*peerFreeSlots)
		if old := t.peers.Load(); old != nil {
			maps.Copy(peers, *old)
		}
		peers[from] = next
		t.peers.Store(&peers)
	}
}

// AcquirePeerSlot selects the peer with the most free slots of a service,
// deducts one and returns the ID of the peer. Peers in the availability zone of
// this instance are preferred, and those in except are skipped. It returns ""
// if no peer is known to have a free slot.
func (r *Registry) AcquirePeerSlot(service string, except []string) string {
	peers := r.peerSlots.peers.Load()
	if peers == nil {
		return ""
	}
	now := r.opts.Clock.Now()
	best, bestSameZone, bestFree := "", false, int64(0)
	var taken *atomic.Int64
	for id, p := range *peers {
		free := p.free[service]
		if free == nil || now.Sub(p.received) > peerSlotsTTL || slices.Contains(except, id) {
			continue
		}
		n, sameZone := free.Load(), p.zone == r.opts.Zone
		if n <= 0 || (bestSameZone && !sameZone) || (bestSameZone == sameZone && n <= bestFree) {
			continue
		}
		best, bestSameZone, bestFree, taken = id, sameZone, n, free
	}
	if taken != nil {
		taken.Add(-1)
	}
	return best
}

// ReleasePeerSlot adds back a slot deducted by AcquirePeerSlot, after the
// request has ended.
func (r *Registry) ReleasePeerSlot(service, peer string) {
	if free := r.peerFree(service, peer); free != nil {
		free.Add(1)
	}
}

// MarkPeerFull sets the free slots of a peer to 0 until its next message.
func (r *Registry) MarkPeerFull(service, peer string) {
	if free := r.peerFree(service, peer); free != nil {
		free.Store(0)
	}
}

func (r *Registry) peerFree(service, peer string) *atomic.Int64 {
	peers := r.peerSlots.peers.Load()
	if peers == nil || (*peers)[peer] == nil {
		return nil
	}
	return (*peers)[peer].free[service]
}

// HasEndpoint reports whether this instance owns an endpoint of the service or
// a peer has recently reported one.
func (r *Registry) HasEndpoint(service string) bool {
	if r.Pool(service) != nil {
		return true
	}
	peers := r.peerSlots.peers.Load()
	if peers == nil {
		return false
	}
	now := r.opts.Clock.Now()
	for _, p := range *peers {
		if p.free[service] != nil && now.Sub(p.received) <= peerSlotsTTL {
			return true
		}
	}
	return false
}

// broadcastFreeSlots sends the free slots of the owned endpoints to all peers.
func (r *Registry) broadcastFreeSlots() {
	message := &FreeSlotsMessage{Zone: r.opts.Zone}
	var free int64
	for _, service := range slices.Sorted(maps.Keys(r.Pools())) {
		n := r.Pool(service).Free()
		free += n
		message.Services = append(message.Services, ServiceFreeSlots{Service: service, Free: n})
	}
	r.metrics.freeSlots.Set(float64(free))
	for id := range r.opts.Log.State().Instances.All() {
		if id != r.opts.Self {
			// A lost message is replaced by the next one.
			_ = r.opts.Peers.SendOneWay(id, transport.KindFreeSlots, message)
		}
	}
}
