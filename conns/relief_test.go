package conns

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	kib = 1 << 10
	mib = 1 << 20
)

// Guards against a memory budget that gives up clients on time, or small ones,
// while slow or large ones hold the memory.
func TestMemoryIsFreedBySlowAndLargeConnectionsFirst(t *testing.T) {
	g := NewWithT(t)
	all := []pendingConn{
		0: {held: 20 * kib, received: 300, age: 100 * time.Millisecond, begun: true},
		1: {held: 3 * mib, received: mib, age: 10 * time.Second, begun: true},         // on time: 102 KiB/s
		2: {held: mib, received: 300 * kib, age: 20 * time.Second, begun: true},       // late and large
		3: {held: 20 * kib, received: 300, age: 4 * time.Second, begun: true},         // late and small
		4: {held: 300 * kib, received: 90 * kib, age: 2 * time.Second, begun: true},   // on time
		5: {held: 16 * kib, age: time.Minute},                                         // idle
		6: {held: 2 * mib, received: 600 * kib, age: 15 * time.Second, begun: true},   // late and larger
		7: {held: mib, received: 300 * kib, age: 500 * time.Millisecond, begun: true}, // has just begun
	}
	g.Expect(chooseForMemory(all, 0)).To(BeEmpty())
	g.Expect(chooseForMemory(all, 1)).To(Equal([]int{6}))
	g.Expect(chooseForMemory(all, 2*mib+1)).To(Equal([]int{6, 2}))
	g.Expect(chooseForMemory(all, 1<<40)).To(Equal([]int{6, 2, 3, 1, 7, 4, 0, 5}))
}

// Guards against a full set of connections that is relieved at the expense of
// clients that have only just connected or that send as fast as they can.
func TestConnectionsAreFreedByTheOldestLateOnes(t *testing.T) {
	g := NewWithT(t)
	all := []pendingConn{
		0: {age: 200 * time.Millisecond},
		1: {age: 2 * time.Second},
		2: {received: 900 * kib, age: 10 * time.Second, begun: true},
		3: {received: 10, age: 5 * time.Second, begun: true},
	}
	g.Expect(chooseForConnections(all, 1)).To(Equal([]int{3}))
	g.Expect(chooseForConnections(all, 9)).To(Equal([]int{3, 1}))
	g.Expect(chooseForConnections(all[:1], 9)).To(BeEmpty())
}

// Replays crowds of hostile clients beside ordinary ones, with fixed seeds, and
// compares the decision with closing the newest connection when the memory is
// used up. Guards against a decision by which ordinary clients lose more requests.
func TestOrdinaryClientsOutlastHostileOnes(t *testing.T) {
	const (
		ordinary, hostile = 60, 300
		budget            = 40 * mib
	)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var all []pendingConn
		var used int64
		for i := range ordinary + hostile {
			p := pendingConn{begun: true}
			if i < ordinary { // up to 256 KiB, at 100 to 250 KiB/s
				rate := 100 + r.Int64N(150)
				p.age = time.Duration(r.Int64N(int64(time.Second)))
				p.received = min(256*kib, int64(p.age.Seconds()*float64(rate*kib))+300)
			} else { // anything from drips to a megabyte, held for seconds
				p.received = 100 + r.Int64N(mib)
				p.age = time.Duration(r.Int64N(int64(30 * time.Second)))
			}
			p.held = 16*kib + 3*p.received
			used += p.held
			all = append(all, p)
		}
		lost := func(chosen []int) (n int) {
			for _, i := range chosen {
				if i < ordinary {
					n++
				}
			}
			return n
		}
		newest := func() (chosen []int) {
			for excess := used - budget; excess > 0; {
				best := -1
				for i, p := range all {
					if !slices.Contains(chosen, i) && (best < 0 || p.age < all[best].age) {
						best = i
					}
				}
				excess -= all[best].held
				chosen = append(chosen, best)
			}
			return chosen
		}
		g := NewWithT(t)
		chosen := chooseForMemory(all, used-budget)
		freed := int64(0)
		for _, i := range chosen {
			freed += all[i].held
		}
		g.Expect(freed).To(BeNumerically(">=", used-budget), "seed %d", seed)
		before, after := lost(newest()), lost(chosen)
		g.Expect(after).To(BeNumerically("<", before), "seed %d", seed)
		g.Expect(after).To(BeZero(), "seed %d", seed)
	}
}
