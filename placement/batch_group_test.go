package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
)

// Guards against capacity that is reserved for batch tasks that the cap of their
// group does not let run.
func TestDemandOfAGroupIsLimited(t *testing.T) {
	g := NewWithT(t)
	const largestWorker = 16_000
	demand := func(limit int64) []placement.SizeDemand {
		d := placement.BatchDemand{GroupLimit: func(string) int64 { return limit }}
		for at := range int64(10) {
			a := arrival(1000*at, 0, 1000, 20_000_000)
			a.Group = "a"
			d.Add(a)
			d.Add(arrival(1000*at, 0, 1000, 3_000_000))
		}
		return d.Of(9999, 0, 0, largestWorker)
	}
	g.Expect(demand(0)[0].Mean).To(BeNumerically("~", 23_000, 10))
	g.Expect(demand(30_000)[0].Mean).To(BeNumerically("~", 23_000, 10))
	g.Expect(demand(5000)[0].Mean).To(BeNumerically("~", 8000, 10), "others keep their demand")
}
