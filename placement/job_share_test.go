package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
)

// Guards against shares that put work without use first, that delay serving tasks
// which have waited too long, or that outweigh the priority of a queue.
func TestSharesOrderUsefulWorkOfAPriority(t *testing.T) {
	g := NewWithT(t)
	const now = 10_000
	jobs := []placement.WaitingJob{
		{ID: "expired", Deadline: 8000, LateDeadline: 9000, RemainingMillis: 1000},
		{ID: "excess, late", Deadline: 9000, LateDeadline: 90_000, RemainingMillis: 1000, Excess: true},
		{ID: "excess, on time", Deadline: 80_000, LateDeadline: 90_000, RemainingMillis: 1000, Excess: true},
		{ID: "excess, expired", Deadline: 8000, LateDeadline: 9500, RemainingMillis: 1000, Excess: true},
		{ID: "high share, on time", Deadline: 20_000, LateDeadline: 90_000, RemainingMillis: 1000, Share: 0.5},
		{ID: "low share, late", Deadline: 9000, LateDeadline: 90_000, RemainingMillis: 1000, Share: 0.1},
		{ID: "low share, on time", Deadline: 30_000, LateDeadline: 90_000, RemainingMillis: 1000, Share: 0.1},
		{ID: "highest share", Deadline: 20_000, LateDeadline: 90_000, RemainingMillis: 1000, Share: 0.7},
		{ID: "starved", Serving: true, WaitedMillis: 900, Share: 0.9},
		{ID: "beyond share", Serving: true, WaitedMillis: 5000, ExceedsShare: true},
		{ID: "urgent", Priority: -1, Deadline: 9000, LateDeadline: 90_000, RemainingMillis: 1000, Share: 0.9, Excess: true},
	}
	placement.OrderJobs(now, jobs)
	var order []string
	for _, j := range jobs {
		order = append(order, j.ID)
	}
	g.Expect(order).To(Equal([]string{
		"urgent", "starved", "low share, on time", "low share, late", "high share, on time", "highest share",
		"excess, late", "excess, on time", "beyond share", "excess, expired", "expired",
	}))
}
