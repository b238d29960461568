package dispatch

import "sync/atomic"

// Balances of a budget, in thousandths of a request.
const (
	budgetUnit    = 1000
	budgetInitial = 3 * budgetUnit  // allows a few retries under low traffic
	budgetMax     = 10 * budgetUnit // bounds the burst after a period without retries
)

// budget limits retries or hedges to a share of the requests.
type budget struct {
	share   int64 // deposit of each request, in thousandths of a request
	balance *atomic.Int64
}

func newBudget(share int64) budget {
	b := budget{share: share, balance: new(atomic.Int64)}
	b.balance.Store(budgetInitial)
	return b
}

// deposit credits the budget for one request.
func (b *budget) deposit() {
	if b.balance.Load() < budgetMax {
		b.balance.Add(b.share)
	}
}

// withdraw reports whether a request may be sent again and, if so, debits the
// budget.
func (b *budget) withdraw() bool {
	for {
		n := b.balance.Load()
		if n < budgetUnit {
			return false
		}
		if b.balance.CompareAndSwap(n, n-budgetUnit) {
			return true
		}
	}
}
