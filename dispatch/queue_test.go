package dispatch

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func pushWaiter(q *queue, caller string, bound int) *waiter {
	w := &waiter{caller: caller, ch: make(chan grant, 1)}
	q.push(w, bound)
	return w
}

func wasGranted(w *waiter) bool {
	select {
	case g := <-w.ch:
		return g.peer != ""
	default:
		return false
	}
}

// Guards against one caller that floods a service and starves the others.
func TestQueueIsFairToCallers(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	for range 50 {
		pushWaiter(q, "flood", 20)
	}
	quiet := pushWaiter(q, "quiet", 20)
	g.Expect(int(q.size.Load())).To(Equal(20))
	q.pop(grant{peer: "x"}, true)
	q.pop(grant{peer: "x"}, true)
	g.Expect(wasGranted(quiet)).To(BeTrue())
}

// Guards against an overloaded queue that serves only requests that have
// already missed their deadlines.
func TestNewestGoesFirstUnderOverload(t *testing.T) {
	g := NewWithT(t)
	q := newQueue()
	first := pushWaiter(q, "a", 10)
	second := pushWaiter(q, "a", 10)
	third := pushWaiter(q, "a", 10)
	q.pop(grant{peer: "x"}, true)
	g.Expect(wasGranted(third)).To(BeTrue())
	q.pop(grant{peer: "x"}, false)
	g.Expect(wasGranted(first)).To(BeTrue())
	g.Expect(q.remove(second)).To(BeTrue())
	g.Expect(q.remove(second)).To(BeFalse())
	g.Expect(q.pop(grant{peer: "x"}, false)).To(BeFalse())
}

// Guards against waiters that get no result or more than one, for random
// sequences of operations.
func TestEveryWaiterGetsOneResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		bound := rapid.IntRange(1, 8).Draw(t, "bound")
		var all []*waiter
		removed, popped := 0, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				all = append(all, pushWaiter(q, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), bound))
			case 2:
				if q.pop(grant{peer: "x"}, rapid.Bool().Draw(t, "newest")) {
					popped++
				}
			case 3:
				if len(all) > 0 && q.remove(rapid.SampledFrom(all).Draw(t, "waiter")) {
					removed++
				}
			}
		}
		granted, evicted := 0, 0
		for _, w := range all {
			select {
			case g := <-w.ch:
				if g.peer != "" {
					granted++
				} else {
					evicted++
				}
			default:
			}
		}
		left := int(q.size.Load())
		if granted != popped || granted+evicted+removed+left != len(all) || left > bound {
			t.Fatalf("%d waiters: %d granted of %d, %d evicted, %d removed, %d left", len(all), granted, popped, evicted, removed, left)
		}
	})
}

// Guards against more retries or hedges than the configured share of the
// requests.
func TestBudgetBoundsItsShare(t *testing.T) {
	g := NewWithT(t)
	b := newBudget(retryShare)
	taken := 0
	for range 10_000 {
		b.deposit()
		for b.withdraw() {
			taken++
		}
	}
	g.Expect(taken).To(BeNumerically("~", 1000, 10))
}

// Guards against estimates that are dominated by old samples.
func TestEstimateFollowsRecentSamples(t *testing.T) {
	g := NewWithT(t)
	e := newEstimate()
	scratch := newHistogram()
	now := time.Unix(1000, 0)
	e.publish(now, scratch)
	g.Expect(e.p95Latency()).To(BeZero())
	step := func(d time.Duration) {
		for range 100 {
			e.observe(d)
		}
		now = now.Add(estimateWindow)
		e.publish(now, scratch)
	}
	step(time.Second)
	g.Expect(e.p95Latency()).To(BeNumerically("~", time.Second, 20*time.Millisecond))
	step(time.Millisecond)
	step(time.Millisecond)
	step(time.Millisecond)
	g.Expect(e.p95Latency()).To(BeNumerically("~", time.Millisecond, 20*time.Microsecond))
	for range 3 {
		now = now.Add(estimateWindow)
		e.publish(now, scratch)
	}
	g.Expect(e.p95Latency()).To(BeZero())
}
