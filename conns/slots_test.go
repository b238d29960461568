package conns_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/conns"
)

// Guards against more calls in flight than the limit, and against a slot that is
// lost when a call gives up while it waits.
func TestSlotsAreNeitherExceededNorLost(t *testing.T) {
	g := NewWithT(t)
	const limit, calls = 3, 400
	var s conns.Slots
	var inFlight, most atomic.Int64
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rand.IntN(3000))*time.Microsecond)
			defer cancel()
			if s.Acquire(ctx, limit) != nil {
				return
			}
			defer s.Release()
			for n := inFlight.Add(1); ; {
				if m := most.Load(); n <= m || most.CompareAndSwap(m, n) {
					break
				}
			}
			time.Sleep(time.Duration(rand.IntN(100)) * time.Microsecond)
			inFlight.Add(-1)
		})
	}
	wg.Wait()
	g.Expect(most.Load()).To(BeNumerically("<=", limit))
	for range limit {
		g.Expect(s.Acquire(t.Context(), limit)).To(Succeed(), "a slot is lost")
	}
	full, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	g.Expect(errors.Is(s.Acquire(full, limit), context.DeadlineExceeded)).To(BeTrue())
}
