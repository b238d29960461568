package fleet

import (
	"context"
	"log/slog"
	"math"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
)

const (
	// measureLag is the time that a worker's measures look back.
	measureLag = 500 * time.Millisecond
	// paceSlack covers the way of a pace to its worker.
	paceSlack = 50 * time.Millisecond
	// warmTime is how long the measures of a new serving task are not used.
	warmTime = 2 * time.Second
	// saveInterval bounds how often estimates are committed. They settle
	// within several seconds.
	saveInterval = 2 * time.Second
	// biasRate is the share of a new miss in the bias of a serving task.
	biasRate = 0.5
	// paceHorizon is the time until the next decision about a worker is in
	// force: a look, and the delay of a pace.
	paceHorizon = 700 * time.Millisecond
	// placeHorizon is how far ahead a new neighbour must fit. Later it can
	// still be slowed.
	placeHorizon = 1500 * time.Millisecond
	// fullProgress is the progress at which a serving task is at work.
	fullProgress = 100
)

// settleTime is after how long a measure shows the effect of a change.
func (c *Controller) settleTime() time.Duration {
	return measureLag + c.opts.Limits.PaceDelay + paceSlack
}

// measures is what the reports of a worker say of one run.
type measures struct {
	progress int           // percent of the work, or of the startup of a serving task
	seen     bool          // it was reported
	begin    int           // progress at the first report
	beganAt  time.Duration // of the first report
	movedAt  time.Duration // when progress was last seen to change
	blamed   bool          // its worker was left out since progress does not change
	value    int64         // tail in milliseconds, or processors in thousandths
	pace     int           // percent last asked for
	// paceUnknown is set while an earlier leader may have asked for another pace.
	paceUnknown bool
	pacedAt     time.Duration // when the pace was changed
	calling     bool
	over        bool // the tail of a serving task was over its target at the last report
	overSince   time.Duration
	bias        float64 // by how much a tail was higher than expected lately
}

// full is the pace of a run that was not slowed.
const full = 100

// measured notes what a worker reported about a run.
func (c *Controller) measured(a *attempt, r *RunStatus) {
	a.measures.notice(r.Progress, c.now())
	a.measures.value = r.Measure
}

// departure is a task on leftover processors that ended within the time that
// the next measures cover.
type departure struct {
	image string
	use   float64 // share of the worker's processors
	at    time.Duration
}

// noteDeparture keeps what an ended run used, as measures look back.
func (c *Controller) noteDeparture(a *attempt) {
	if s := a.session; a.task.step.Leftover && a.measures.seen {
		s.departed = append(s.departed, departure{a.task.step.Image, s.share(a.measures.value), c.now()})
	}
}

// surroundings is what ran beside the serving tasks of a worker while its
// measures were taken.
type surroundings struct {
	uses     map[string]float64 // shares of the processors by image
	changing float64            // share of those that began, ended or changed their pace
}

func (c *Controller) surroundings(s *session, leftovers []*attempt, now time.Duration) surroundings {
	around := surroundings{uses: make(map[string]float64)}
	for _, a := range leftovers {
		around.uses[a.task.step.Image] += s.share(a.measures.value)
		if now-max(a.startedAt, a.measures.pacedAt) < c.settleTime() {
			around.changing += s.share(a.task.step.Size.MilliCPU)
		}
	}
	kept := s.departed[:0]
	for _, d := range s.departed {
		left := measureLag - (now - d.at)
		if left <= 0 {
			continue
		}
		kept = append(kept, d)
		around.uses[d.image] += d.use * float64(left) / float64(measureLag)
		around.changing += d.use
	}
	s.departed = kept
	return around
}

// observe learns from the tails of a worker's serving tasks, and paces their
// neighbours.
func (c *Controller) observe(s *session) {
	now := c.now()
	var servers, leftovers, warm []*attempt
	for _, a := range s.attempts {
		switch {
		case a.phase != attemptRunning || a.stopping:
		case a.task.step.LongRunning && a.task.step.TailMillis > 0:
			servers = append(servers, a)
			if a.measures.progress >= fullProgress && (a.adopted || now-a.startedAt > warmTime) {
				warm = append(warm, a)
			}
		case a.task.step.Leftover:
			leftovers = append(leftovers, a)
		}
	}
	around := c.surroundings(s, leftovers, now)
	for _, a := range warm {
		c.observeServer(a, around, now)
	}
	for _, a := range servers {
		a.measures.noticeTail(a.task.step.TailMillis, now)
	}
	if len(leftovers) > 0 {
		c.setPaces(s, servers, leftovers, now)
	}
}

// savePressures commits the estimates for the next leader, which would
// otherwise have to learn them at the expense of serving tasks.
func (c *Controller) savePressures(now time.Duration) {
	if c.saving || now < c.nextSave || !c.leads() || !c.pressure.Differs(c.opts.Log.State().Pressures) {
		return
	}
	c.saving, c.nextSave = true, now+saveInterval
	c.change(c.pressure.Save(), func(err error) {
		c.saving = false
		if err != nil {
			event.Log(c.opts.Logger, event.PressuresNotSaved, slog.Any("error", err))
		}
	})
}

// share returns a part of the worker's processors.
func (s *session) share(milliCPU int64) float64 {
	if s.worker.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(milliCPU) / float64(s.worker.Capacity.MilliCPU)
}

func (c *Controller) observeServer(a *attempt, around surroundings, now time.Duration) {
	step := a.task.step
	miss := c.pressure.Observe(a.load(), placement.Sample{
		Image: step.Image, AtMillis: (now - measureLag/2).Milliseconds(), TailMillis: a.measures.value,
		TargetMillis: step.TailMillis, Uses: around.uses, Changing: around.changing,
	})
	a.measures.bias += biasRate * (max(0, miss) - a.measures.bias)
}

// holdAfter is after how long over its target the neighbours of a serving task
// are held. The tail was over for up to a look and the time that measures look
// back before it was seen, and the hold takes another look to be in force.
func (c *Controller) holdAfter() time.Duration {
	if c.opts.Limits.MaxOverTarget <= 0 {
		return math.MaxInt64
	}
	return max(0, c.opts.Limits.MaxOverTarget-measureLag-2*paceWait-2*c.settleTime())
}

// noticeTail follows for how long a tail has been over its target.
func (m *measures) noticeTail(target int64, now time.Duration) {
	switch {
	case m.value <= target:
		m.over = false
	case !m.over:
		m.over, m.overSince = true, now
	}
}

// overFor returns for how long the tail has been seen over its target.
func (m *measures) overFor(now time.Duration) time.Duration {
	if !m.over {
		return 0
	}
	return now - m.overSince
}

// load returns the load that the serving tasks of the run's step share.
func (a *attempt) load() *placement.Load { return &a.task.flow.loads[a.task.pos.Step] }

// expectedLoad returns the highest load of a serving task, without neighbours,
// that is expected until a time from now.
func (c *Controller) expectedLoad(a *attempt, now, until time.Duration) float64 {
	return a.measures.bias + a.load().Highest(now.Milliseconds(), (now+until).Milliseconds(), c.pressure.Load(a.task.step.Image))
}

func (c *Controller) setPaces(s *session, servers, leftovers []*attempt, now time.Duration) {
	model := make([]placement.Server, len(servers))
	for i, a := range servers {
		step := a.task.step
		u := c.expectedLoad(a, now, paceHorizon)
		for _, l := range leftovers {
			u += c.pressure.Of(step.Image, l.task.step.Image) * s.share(l.task.step.Size.MilliCPU) * float64(l.measures.pace) / full
		}
		limit := c.pressure.Limit(step.Image, step.TailMillis)
		if a.measures.overFor(now) >= c.holdAfter() {
			limit = 0 // whatever the estimates say
		}
		model[i] = placement.Server{Image: step.Image, Utilisation: u, Limit: limit}
	}
	neighbours := make([]placement.Neighbour, len(leftovers))
	for i, a := range leftovers {
		neighbours[i] = placement.Neighbour{Image: a.task.step.Image, Use: s.share(a.task.step.Size.MilliCPU), Percent: a.measures.pace}
	}
	for i, pace := range placement.Paces(c.pressure, model, neighbours) {
		a := leftovers[i]
		if pace == a.measures.pace && !a.measures.paceUnknown {
			continue
		}
		if pace < movePace && a.task.step.Checkpoints && a.measures.progress < moveProgress &&
			c.worstPressure(a, servers) >= movePressure {
			c.stop(a, "it disturbs a serving task")
			continue
		}
		c.setPace(a, pace)
	}
}

const (
	// movePace is the pace below which a run with a checkpoint is rather moved
	// to another worker.
	movePace = 40
	// moveProgress is the progress from which a run is rather finished.
	moveProgress = 80
	// movePressure is the pressure from which a pair does not fit together.
	movePressure = 0.6
)

// worstPressure returns the highest pressure of a run on the servers.
func (c *Controller) worstPressure(a *attempt, servers []*attempt) float64 {
	worst := 0.0
	for _, s := range servers {
		worst = max(worst, c.pressure.Of(s.task.step.Image, a.task.step.Image))
	}
	return worst
}

// setPace asks the worker for another pace. Without an answer the pace is
// taken as it was, and the next report decides anew.
func (c *Controller) setPace(a *attempt, pace int) {
	if a.measures.calling {
		return
	}
	old := a.measures.pace
	unknown := a.measures.paceUnknown
	a.measures.pace, a.measures.pacedAt, a.measures.calling, a.measures.paceUnknown = pace, c.now(), true, false
	event.Log(c.opts.Logger, event.TaskPaced, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.Int("percent", pace),
		slog.Int("before", old), slog.String("image", a.task.step.Image))
	call := PaceCall{Run: a.run, Position: a.position(), Fence: c.fence, Percent: pace}
	s := a.session
	c.call(callPace, func() *workerCall {
		if a.phase == attemptEnded {
			return nil
		}
		var err error
		return &workerCall{
			timeout: startTimeout,
			send:    func(ctx context.Context) { err = s.api.Pace(ctx, call) },
			done: func() {
				a.measures.calling = false
				if err != nil {
					a.measures.pace, a.measures.paceUnknown = old, unknown
				}
			},
		}
	})
}
