package registry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"apricotrouter/standin/statelog"
	"apricotrouter/state"
	"apricotrouter/transport"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// fixture is a registry with a fake clock.
type fixture struct {
	*WithT
	log   *statelog.Log
	clock *clockwork.FakeClock
	r     *Registry
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{WithT: NewWithT(t), log: statelog.New(), clock: clockwork.NewFakeClock()}
	mux := transport.NewMux()
	peers := transport.NewFakeNetwork().Join("self", mux)
	f.r = New(Options{Self: "self", Zone: "z1", Start: 7, Log: f.log, Peers: peers, Mux: mux, Clock: f.clock})
	return f
}

// own registers an endpoint, assigns it to this instance and returns the fence.
func (f *fixture) own(a *Announcement) uint64 {
	var fence uint64
	f.log.Update(func(s *state.State) {
		info := a.endpoint()
		s.Endpoints = s.Endpoints.Put(a.ID, &info)
		key := state.AssignmentKey(state.AssignEndpoint, a.ID)
		s.Assignments = s.Assignments.Put(key, &state.Assignment{Kind: state.AssignEndpoint, ID: a.ID, Owner: "self", Fence: s.Index})
		fence = s.Index
	})
	f.r.Sync(f.log.State())
	return fence
}

func (f *fixture) announce(a Announcement) *AnnounceResponse {
	answer, err := f.r.receive(context.Background(), &a)
	f.Expect(err).NotTo(HaveOccurred())
	return answer
}

func (f *fixture) endpoint() *Endpoint { return f.r.Pool("receipts").Endpoints[0] }

func example() Announcement {
	return Announcement{
		ID: "e1", Service: "receipts", Address: "127.0.0.1:1", Zone: "z1",
		Slots: 2, ConnectionLimit: 4, Incarnation: 3, Sequence: 1,
	}
}

// Guards against new requests before it is known which requests of previous
// owners are still running.
func TestTakeoverWaitsForAnnouncementMadeAfterwards(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.RunningAttempts = []string{"old-owner-1"}
	fence := f.own(&a)
	response := f.announce(a)
	f.Expect(response.Fence).To(Equal(fence))
	f.Expect(response.ReannounceMillis).To(BeNumerically(">", 0))
	f.Expect(f.endpoint().Acquire()).To(BeFalse(), "the announcement may be older than the takeover")
	a.Fence, a.Sequence = fence, 2
	f.announce(a)
	f.Expect(f.endpoint().Acquire()).To(BeTrue())
	f.Expect(f.endpoint().Acquire()).To(BeFalse(), "the request of the previous owner occupies the other slot")
	a.Sequence, a.RunningAttempts = 3, nil
	f.announce(a)
	f.Expect(f.endpoint().Acquire()).To(BeTrue())
	f.Expect(f.endpoint().Acquire()).To(BeFalse())
}

// Guards against an announcement that arrives out of order and reverts a newer
// one.
func TestOvertakenAnnouncementIsDropped(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.Fence = f.own(&a)
	busy := a
	busy.Sequence, busy.RunningAttempts = 2, []string{"x-1", "x-2"}
	f.announce(busy)
	f.announce(a)
	f.Expect(f.endpoint().Free()).To(BeZero())
	draining := a
	draining.Sequence, draining.Draining = 4, true
	f.announce(draining)
	late := a
	late.Sequence = 3
	f.announce(late)
	newer := a
	newer.Sequence = 5
	f.announce(newer)
	f.Expect(f.endpoint().Acquire()).To(BeFalse(), "draining can't be revoked within an incarnation")
}

// Guards against reuse of a slot while an abandoned attempt may still be
// running.
func TestAbandonedAttemptKeepsItsSlot(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.Slots = 1
	a.Fence = f.own(&a)
	f.announce(a)
	e := f.endpoint()
	f.Expect(e.Acquire()).To(BeTrue())
	e.Abandon("self-7-1", f.clock.Now())
	a.Sequence++
	f.announce(a)
	f.Expect(e.Acquire()).To(BeFalse(), "the request may not have arrived when this was announced")
	f.clock.Advance(maxAnnounceDelay + time.Second)
	a.Sequence, a.RunningAttempts = a.Sequence+1, []string{"self-7-1"}
	f.announce(a)
	f.Expect(e.Acquire()).To(BeFalse())
	a.Sequence, a.RunningAttempts = a.Sequence+1, nil
	f.announce(a)
	f.Expect(e.Acquire()).To(BeTrue())
	e.EndAbandoned("self-7-1")
	f.Expect(e.InFlight()).To(Equal(int64(1)), "a slot is released only once")
}

// Guards against requests to an endpoint that has expired or was assigned to
// another instance.
func TestEndpointIsLost(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.Fence = f.own(&a)
	f.announce(a)
	e := f.endpoint()
	f.clock.Advance(DefaultTTL + time.Second)
	f.r.expire(context.Background())
	f.r.proposals.Wait()
	f.Expect(e.Acquire()).To(BeFalse())
	proposed := f.log.Proposed()
	f.Expect(proposed).To(HaveLen(1))
	var removal state.RemoveEndpoint
	f.Expect(cbor.Unmarshal(proposed[0].Body, &removal)).To(Succeed())
	f.Expect(removal).To(Equal(state.RemoveEndpoint{ID: "e1", Incarnation: 3, Fence: a.Fence}))
	a.Sequence++
	f.announce(a)
	f.Expect(e.Acquire()).To(BeTrue(), "the endpoint has announced itself again")
	f.log.Update(func(s *state.State) {
		s.Assignments = s.Assignments.Delete(state.AssignmentKey(state.AssignEndpoint, "e1"))
	})
	f.r.Sync(f.log.State())
	f.Expect(e.Acquire()).To(BeFalse())
	f.Expect(f.r.Pool("receipts")).To(BeNil())
}

// Guards against requests to endpoints that are being handed over.
func TestLeaveStopsAllEndpoints(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.Fence = f.own(&a)
	f.announce(a)
	e := f.endpoint()
	f.r.StopNewRequests()
	f.Expect(e.Acquire()).To(BeFalse())
	f.log.Update(func(*state.State) {})
	f.r.Sync(f.log.State())
	f.Expect(f.r.Pool("receipts")).To(BeNil())
}

// Guards against requests to the earlier incarnation of a restarted endpoint,
// and against a late announcement of that incarnation that replaces the new
// one.
func TestRestartedEndpoint(t *testing.T) {
	f := newFixture(t)
	a := example()
	a.Fence = f.own(&a)
	f.announce(a)
	before := f.endpoint()
	next := a
	next.Incarnation, next.Address, next.Sequence = 4, "127.0.0.1:2", 1
	f.announce(next)
	f.Expect(before.Acquire()).To(BeFalse())
	f.Expect(f.log.Proposed()).To(HaveLen(1))
	f.announce(a)
	f.Expect(f.log.Proposed()).To(HaveLen(1))
	next.Fence = f.own(&next)
	f.announce(next)
	f.Expect(f.endpoint().Address).To(Equal("127.0.0.1:2"))
	f.Expect(f.endpoint().Acquire()).To(BeTrue())
}

// Guards against accepting announcements of endpoints that can't be used.
func TestInvalidAnnouncementsAreRefused(t *testing.T) {
	f := newFixture(t)
	cases := map[string]func(*Announcement){
		"id":               func(a *Announcement) { a.ID = "" },
		"service":          func(a *Announcement) { a.Service = "" },
		"zone":             func(a *Announcement) { a.Zone = "" },
		"slots":            func(a *Announcement) { a.Slots = 0 },
		"connection_limit": func(a *Announcement) { a.ConnectionLimit = 1 },
		"address":          func(a *Announcement) { a.Address = "nowhere" },
		"ttl_ms":           func(a *Announcement) { a.TTLMillis = -1 },
	}
	for name, change := range cases {
		a := example()
		change(&a)
		body, err := json.Marshal(&a)
		f.Expect(err).NotTo(HaveOccurred())
		w := httptest.NewRecorder()
		f.r.AnnounceHandler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/announce", bytes.NewReader(body)))
		f.Expect(w.Code).To(Equal(http.StatusBadRequest))
		f.Expect(w.Body.String()).To(ContainSubstring(name))
	}
	f.Expect(f.log.Proposed()).To(BeEmpty())
}

// Guards against forwarding to peers that are full, have stopped sending, or
// are in another zone without need.
func TestPeerFreeSlots(t *testing.T) {
	f := newFixture(t)
	receiveMessage := func(peer, zone string, free int64) {
		f.r.peerSlots.received(f.clock)(peer, &FreeSlotsMessage{Zone: zone, Services: []ServiceFreeSlots{{"receipts", free}}})
	}
	receiveMessage("far", "z2", 9)
	receiveMessage("near", "z1", 1)
	f.Expect(f.r.AcquirePeerSlot("receipts", nil)).To(Equal("near"))
	f.Expect(f.r.AcquirePeerSlot("receipts", nil)).To(Equal("far"), "the free slot of near is acquired")
	f.r.ReleasePeerSlot("receipts", "near")
	f.Expect(f.r.AcquirePeerSlot("receipts", []string{"near"})).To(Equal("far"))
	f.r.MarkPeerFull("receipts", "near")
	f.Expect(f.r.AcquirePeerSlot("receipts", []string{"far"})).To(BeEmpty())
	f.clock.Advance(peerSlotsTTL + time.Millisecond)
	f.Expect(f.r.AcquirePeerSlot("receipts", nil)).To(BeEmpty())
	f.Expect(f.r.HasEndpoint("receipts")).To(BeFalse())
}

// Guards against wrong slot counts when slots are acquired and released
// concurrently.
func TestSlotsAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.Int64Range(1, 6).Draw(rt, "slots")
		e := newEndpoint(&state.Endpoint{Slots: slots}, func(*Endpoint) {})
		e.ready.Store(true)
		var concurrent, highest atomic.Int64
		var wg sync.WaitGroup
		for range rapid.IntRange(2, 12).Draw(rt, "callers") {
			wg.Go(func() {
				for range 50 {
					if !e.Acquire() {
						continue
					}
					n := concurrent.Add(1)
					runtime.Gosched()
					for old := highest.Load(); n > old && !highest.CompareAndSwap(old, n); old = highest.Load() {
						continue
					}
					concurrent.Add(-1)
					e.Release()
				}
			})
		}
		wg.Wait()
		if highest.Load() > slots || e.InFlight() != 0 {
			rt.Fatalf("%d acquired concurrently of %d slots, %d still in flight", highest.Load(), slots, e.InFlight())
		}
	})
}
