package dispatch

import "sync/atomic"

// Amounts of a budget in thousandths of a request.
const (
	budgetUnit  = 1000
	budgetStart = 3 * budgetUnit  // allows a few when there is little traffic
	budgetCap   = 10 * budgetUnit // bounds a burst after a quiet time
)

// budget allows a share of requests to be sent again.
type budget struct {
	share int64 // thousandths added by each request
	left  *atomic.Int64
}

func newBudget(share int64) budget {
	b := budget{share: share, left: new(atomic.Int64)}
	b.left.Store(budgetStart)
	return b
}

// earn counts a request.
func (b *budget) earn() {
	if b.left.Load() < budgetCap {
		b.left.Add(b.share)
	}
}

// take reports whether a request may be sent again, and counts that.
func (b *budget) take() bool {
	for {
		n := b.left.Load()
		if n < budgetUnit {
			return false
		}
		if b.left.CompareAndSwap(n, n-budgetUnit) {
			return true
		}
	}
}
