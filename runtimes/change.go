package runtimes

import "math"

const (
	// changeDrift is the deviation of the rank of runs from 0.5 that is tolerated.
	// After a change by a factor of 3 the ranks deviate by 0.4 for the poor
	// declarations of the package comment, and by 0.5 for good ones.
	changeDrift = 0.15
	// changeThreshold is the sum of further deviations that means a change. With
	// the standard deviation of ranks, 0.29, it is exceeded by chance about once
	// in 50,000 independent runs, and after 12 of them if their ranks deviate by
	// 0.4. A change that is none costs the memory of rare runs.
	changeThreshold = 3.0
	// minChange is the factor below which a change is left to ageing: estimates
	// are not more precise than that.
	minChange = 1.25
	// maxRecentRuns bounds the runs with which a distribution starts anew.
	maxRecentRuns = 64
)

// changeTest finds abrupt changes of a distribution: a cumulative sum test in
// both directions on the ranks of runs. It uses ranks, because a run that takes
// seven times as long must not look like a change.
type changeTest struct {
	last           [maxRecentRuns]sample
	next           int
	faster, slower changeSum
	// correlation is that of the runs of a step, as of the last run without
	// indication of a change. A change itself looks like a correlation.
	correlation float64
}

// changeSum is the sum in one direction, and the number of runs since it was 0.
type changeSum struct {
	sum  float64
	runs int
}

func (c *changeSum) add(deviation, weight float64) {
	c.sum += weight * (deviation - changeDrift)
	c.runs++
	if c.sum <= 0 {
		*c = changeSum{}
	}
}

// add records a run of a distribution, before the distribution does. If the
// distribution has changed, it returns the runs since then, in no particular
// order, else nil.
func (c *changeTest) add(d *distribution, s sample) []sample {
	if d.total < minRuns*d.scale {
		return nil
	}
	if c.faster.runs == 0 && c.slower.runs == 0 {
		c.correlation = d.correlation()
	}
	logRatio := s.actual - d.base(s.declared)
	deviation, weight := d.rank(logRatio)-0.5, c.weight(d, s.step)
	c.last[c.next%maxRecentRuns] = s
	c.next++
	c.faster.add(-deviation, weight)
	c.slower.add(deviation, weight)
	for _, sum := range []changeSum{c.faster, c.slower} {
		if sum.sum < changeThreshold {
			continue
		}
		if recent := c.recent(sum.runs); c.factor(d, recent) >= minChange {
			return recent
		}
	}
	return nil
}

// weight returns how much a run adds to what the earlier runs of its step have
// shown.
func (c *changeTest) weight(d *distribution, step uint64) float64 {
	runs := 1.0
	if p := d.stepRuns(step); p != nil {
		runs = float64(p.runs + 1)
	}
	independent := func(n float64) float64 { return n / (1 + (n-1)*c.correlation) }
	if runs == 1 {
		return 1
	}
	return independent(runs) - independent(runs-1)
}

// recent returns the last runs.
func (c *changeTest) recent(runs int) []sample {
	n := min(runs, maxRecentRuns, c.next)
	recent := make([]sample, n)
	for i := range recent {
		recent[i] = c.last[(c.next-1-i)%maxRecentRuns]
	}
	return recent
}

// factor returns the factor between the geometric means of the distribution and
// of recent runs, at least 1.
func (c *changeTest) factor(d *distribution, recent []sample) float64 {
	sum := 0.0
	for _, s := range recent {
		sum += s.actual - d.base(s.declared)
	}
	return math.Exp(math.Abs(sum/float64(len(recent)) - d.logRatios/d.total))
}
