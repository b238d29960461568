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

// roomTTL is how long the free slots that a peer sent are believed.
const roomTTL = time.Second

// Room is the notice in which an instance tells its free slots.
type Room struct {
	Zone     string        `cbor:"1,keyasint"`
	Services []ServiceRoom `cbor:"2,keyasint,omitempty"`
}

// ServiceRoom is the number of free slots of one service.
type ServiceRoom struct {
	Service string `cbor:"1,keyasint"`
	Free    int64  `cbor:"2,keyasint"`
}

// peerRoom is what a peer told last. It is immutable but for the counts,
// which this instance changes by what it sent there since.
type peerRoom struct {
	zone     string
	received time.Time
	free     map[string]*atomic.Int64
}

// roomTable holds the free slots of the peers. Readers take no lock.
type roomTable struct {
	mu    sync.Mutex
	peers atomic.Pointer[map[string]*peerRoom]
}

func (t *roomTable) received(clock clockwork.Clock) func(string, *Room) {
	return func(from string, room *Room) {
		next := &peerRoom{zone: room.Zone, received: clock.Now(), free: make(map[string]*atomic.Int64, len(room.Services))}
		for _, s := range room.Services {
			free := new(atomic.Int64)
			free.Store(s.Free)
			next.free[s.Service] = free
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		peers := make(map[string]*peerRoom)
		if old := t.peers.Load(); old != nil {
			maps.Copy(peers, *old)
		}
		peers[from] = next
		t.peers.Store(&peers)
	}
}

// TakeRoom returns the peer with the most free slots of a service and counts
// one of them as taken. A peer in the own availability zone is preferred.
// Peers in except are left out. It returns "" if no peer is known to have a
// free slot.
func (r *Registry) TakeRoom(service string, except []string) string {
	peers := r.rooms.peers.Load()
	if peers == nil {
		return ""
	}
	now := r.opts.Clock.Now()
	best, bestNear, bestFree := "", false, int64(0)
	var taken *atomic.Int64
	for id, p := range *peers {
		free := p.free[service]
		if free == nil || now.Sub(p.received) > roomTTL || slices.Contains(except, id) {
			continue
		}
		n, near := free.Load(), p.zone == r.opts.Zone
		if n <= 0 || (bestNear && !near) || (bestNear == near && n <= bestFree) {
			continue
		}
		best, bestNear, bestFree, taken = id, near, n, free
	}
	if taken != nil {
		taken.Add(-1)
	}
	return best
}

// ReturnRoom counts a slot of a peer as free again, after a request that
// TakeRoom counted has ended.
func (r *Registry) ReturnRoom(service, peer string) {
	if free := r.peerFree(service, peer); free != nil {
		free.Add(1)
	}
}

// NoRoom notes that a peer had no free slot, until it tells otherwise.
func (r *Registry) NoRoom(service, peer string) {
	if free := r.peerFree(service, peer); free != nil {
		free.Store(0)
	}
}

func (r *Registry) peerFree(service, peer string) *atomic.Int64 {
	peers := r.rooms.peers.Load()
	if peers == nil || (*peers)[peer] == nil {
		return nil
	}
	return (*peers)[peer].free[service]
}

// Served reports whether this instance or a peer has told of an endpoint of
// the service.
func (r *Registry) Served(service string) bool {
	if r.Pool(service) != nil {
		return true
	}
	peers := r.rooms.peers.Load()
	if peers == nil {
		return false
	}
	now := r.opts.Clock.Now()
	for _, p := range *peers {
		if p.free[service] != nil && now.Sub(p.received) <= roomTTL {
			return true
		}
	}
	return false
}

// sendRoom tells all peers the free slots of the owned endpoints.
func (r *Registry) sendRoom() {
	room := &Room{Zone: r.opts.Zone}
	var free int64
	for _, service := range slices.Sorted(maps.Keys(r.Pools())) {
		n := r.Pool(service).Free()
		free += n
		room.Services = append(room.Services, ServiceRoom{Service: service, Free: n})
	}
	r.metrics.freeSlots.Set(float64(free))
	for id := range r.opts.Log.State().Instances.All() {
		if id != r.opts.Self {
			// A lost notice is made up for by the next one.
			_ = r.opts.Peers.Notify(id, transport.KindRoom, room)
		}
	}
}
