package fleet

import "time"

// pacing is how fast a run may work, in percent.
type pacing struct {
	percent int
	measure int64
	at      time.Duration
}

// measured notes what a worker reported about a run.
func (c *Controller) measured(a *attempt, r *RunStatus) {
	a.pace.percent, a.pace.measure, a.pace.at = r.Percent, r.Measure, c.now()
}

func (c *Controller) pace(time.Duration) {}
