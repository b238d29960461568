package replica_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
)

// chaos injects random failures. mu guards the nodes of the cluster.
type chaos struct {
	*cluster
	rng *rand.Rand
	mu  sync.Mutex
	// accepted contains the accepted changes in the order of their results.
	accepted []acceptedChange
	names    map[string]bool
	dirs     map[string]string
}

type acceptedChange struct {
	index uint64
	at    time.Time
}

const chaosLease = 300 * time.Millisecond

func newChaos(t *testing.T, seed uint64) *chaos {
	c := newCluster(t, 8, 7, 5, func(o *replica.Options) {
		o.FreshnessLease, o.RepairAfter = chaosLease, 400*time.Millisecond
		o.SnapshotEntries, o.TrailingEntries = 200, 20
	})
	h := &chaos{cluster: c, rng: rand.New(rand.NewPCG(seed, seed)), names: make(map[string]bool), dirs: make(map[string]string)}
	c.form("e1")
	for id, n := range c.nodes {
		h.dirs[id] = n.dir
	}
	return h
}

func (h *chaos) runningNode(id string) *node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.nodes[id]
}

// propose proposes commands through one instance until ctx ends.
func (h *chaos) propose(ctx context.Context, id string) {
	for i := 0; ctx.Err() == nil; i++ {
		n := h.runningNode(id)
		if n == nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		short, cancel := context.WithTimeout(ctx, 400*time.Millisecond)
		name := fmt.Sprintf("%s-%d", id, i)
		result, err := n.Propose(short, team(name))
		cancel()
		if err != nil {
			continue
		}
		h.mu.Lock()
		h.names[name] = true
		h.accepted = append(h.accepted, acceptedChange{index: result.Index, at: time.Now()})
		h.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}

// checkInvariants fails the test if a fresh instance lacks a change accepted
// more than a lease ago, or if an applied index decreases.
func (h *chaos) checkInvariants(ctx context.Context) {
	last := make(map[*node]uint64)
	var old uint64
	next := 0
	for ctx.Err() == nil {
		h.mu.Lock()
		nodes := make([]*node, 0, len(h.nodes))
		for _, n := range h.nodes {
			nodes = append(nodes, n)
		}
		for ; next < len(h.accepted) && time.Since(h.accepted[next].at) > chaosLease; next++ {
			old = max(old, h.accepted[next].index)
		}
		h.mu.Unlock()
		for _, n := range nodes {
			fresh := n.Fresh()
			index := n.State().Index
			if fresh && index < old {
				h.t.Errorf("%s is fresh at %d without change %d", n.id, index, old)
			}
			if index < last[n] {
				h.t.Errorf("applied index of %s decreased from %d to %d", n.id, last[n], index)
			}
			last[n] = index
		}
		time.Sleep(time.Millisecond)
	}
}

// injectFault injects one random fault.
func (h *chaos) injectFault() {
	id := h.ids[h.rng.IntN(len(h.ids))]
	other := h.ids[h.rng.IntN(len(h.ids))]
	switch h.rng.IntN(6) {
	case 0:
		h.partition(id, other)
	case 1, 2:
		h.makeNetworkUnreliable(h.rng.Uint64(), 5*time.Millisecond)
	case 3:
		h.restart(id, false)
	case 4:
		h.restart(id, h.allVotersRunning())
	case 5:
		if n := h.runningNode(id); n != nil {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_ = n.TransferLeadership(ctx)
			cancel()
		}
	}
}

// restart stops an instance and starts it again after a random delay, either
// with its disk or with a wiped one.
func (h *chaos) restart(id string, empty bool) {
	h.mu.Lock()
	n := h.nodes[id]
	delete(h.nodes, id)
	h.mu.Unlock()
	h.net.Join(id, nil)
	n.cancel()
	if err := <-n.ended; err != nil {
		h.t.Errorf("%s ended with %v", id, err)
	}
	if empty && n.dir != "" {
		if err := os.RemoveAll(n.dir); err != nil {
			h.t.Error(err)
		}
	}
	time.Sleep(time.Duration(h.rng.IntN(700)) * time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.start(id, h.dirs[id])
}

// allVotersRunning reports whether the group can lose a disk: it has 5 voters,
// and each runs with the disk that the leader knows. The leader's last contact
// with a voter cannot show this, because it counts from the leader's election.
func (h *chaos) allVotersRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, leader := range h.nodes {
		if !leader.Leadership().Self {
			continue
		}
		running := make(map[string]bool)
		voters := h.votersOf(leader)
		for _, id := range voters {
			running[id] = h.nodes[id] != nil && h.nodes[id].Status().Voter
		}
		return len(voters) == 5 && len(running) == 5 && !slices.Contains(slices.Collect(maps.Values(running)), false)
	}
	return false
}

// Guards against faults that need several failures at once, with real disks,
// timers and repair: lost accepted changes, diverging states or decreasing
// indexes, instances that are fresh without an old change, and groups that stop
// making progress.
func TestChaos(t *testing.T) {
	h := newChaos(t, 20261204)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	for _, id := range h.ids[1:4] {
		wg.Add(1)
		go func() { defer wg.Done(); h.propose(ctx, id) }()
	}
	wg.Add(1)
	go func() { defer wg.Done(); h.checkInvariants(ctx) }()
	actions := 15
	if testing.Short() {
		actions = 5
	}
	for range actions {
		h.injectFault()
		time.Sleep(time.Duration(50+h.rng.IntN(200)) * time.Millisecond)
	}
	h.net.SetFaultRule(nil)
	h.waitFresh()
	cancel()
	wg.Wait()
	h.put(h.leader(), "end")
	want := h.leader().State()
	for name := range h.names {
		_, ok := want.Teams.Get(name)
		h.g.Expect(ok).To(BeTrue(), "%s was accepted", name)
	}
	h.g.Expect(h.names).NotTo(BeEmpty())
	for _, n := range h.nodes {
		h.g.Eventually(func() bool { return hasTeam(n, "end") }, waitTimeout, "5ms").Should(BeTrue())
		h.g.Expect(n.State().Teams.Len()).To(BeNumerically(">=", len(h.names)))
	}
}
