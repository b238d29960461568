package placement_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
)

// Guards against runs that started at the lowest rate and are all raised as soon as
// one of them could run faster.
func TestRunsAtLowestRateAreNotRaisedTogether(t *testing.T) {
	run := func(percent int) placement.RunAtLowestRate {
		return placement.RunAtLowestRate{MilliCPU: 3800, Percent: percent}
	}
	for name, c := range map[string]struct {
		idle int64
		runs []placement.RunAtLowestRate
		want []bool
	}{
		"room for one":           {4000, []placement.RunAtLowestRate{run(10), run(10), run(10)}, []bool{false, true, true}},
		"raised ones come first": {4000, []placement.RunAtLowestRate{run(10), run(100)}, []bool{true, false}},
		"raised together":        {4000, []placement.RunAtLowestRate{run(100), run(100)}, []bool{false, true}},
		"no room":                {1000, []placement.RunAtLowestRate{run(10), run(100)}, []bool{true, true}},
		"room for all":           {20_000, []placement.RunAtLowestRate{run(10), run(10)}, []bool{false, false}},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.KeepLowestRate(c.idle, c.runs)).To(Equal(c.want))
		})
	}
}

// Guards against a run that stays at the full rate once others use the CPU.
func TestRaisedRunReturnsToTheLowestRate(t *testing.T) {
	tasks := []placement.CoLocatedTask{{Image: "l", Use: 0.9, Percent: 100, Lowest: true}, {Image: "l", Use: 0.9, Percent: 100}}
	NewWithT(t).Expect(placement.ExecutionRates(knownPair(4), nil, tasks)).To(Equal([]int{10, 100}))
}
