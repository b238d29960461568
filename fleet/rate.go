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
	// measureWindow is the time window covered by the measurements of a worker.
	measureWindow = 500 * time.Millisecond
	// rateCallDelay covers the delivery of a rate change to its worker.
	rateCallDelay = 50 * time.Millisecond
	// warmupTime is how long the measurements of a new serving task are
	// ignored.
	warmupTime = 2 * time.Second
	// interferenceSaveInterval is the minimum interval between commits of the
	// interference model. The estimates settle within several seconds.
	interferenceSaveInterval = 2 * time.Second
	// biasGain is the weight of a new excess in the load bias of a serving
	// task.
	biasGain = 0.5
	// rateHorizon is the time until the next decision about a worker takes
	// effect: one poll and the delay of a rate change.
	rateHorizon = 700 * time.Millisecond
	// placementHorizon is how far ahead a new co-located task must fit. After
	// that it can be rate-limited.
	placementHorizon = 1500 * time.Millisecond
	// fullProgress is the progress at which a serving task has finished its
	// startup.
	fullProgress = 100
)

// settleTime returns the time until measurements show the effect of a change.
func (c *Controller) settleTime() time.Duration {
	return measureWindow + c.opts.Limits.RateDelay + rateCallDelay
}

// runStats are statistics of one run, from the reports of its worker.
type runStats struct {
	progress       int           // percent of the work, or of the startup of a serving task
	reported       bool          // at least one report has arrived
	firstProgress  int           // progress at the first report
	firstReportAt  time.Duration // time of the first report
	lastProgressAt time.Duration // time of the last observed change of progress
	stallCounted   bool          // the stall of this run was counted against its worker
	speedObserved  bool          // the run has been counted in the speed of its worker
	measure        int64         // tail latency in milliseconds, or CPU use in thousandths
	// rate is the last requested execution rate in percent. Before the run is
	// known to have started, it is requested right after the start.
	rate      int
	startRate int // rate at which the run was placed
	// rateUnknown is set while an earlier leader may have requested another
	// rate.
	rateUnknown     bool
	rateSetAt       time.Duration // time of the last rate change
	reduced         time.Duration // time lost by reduced execution rates before that
	reducedAtFirst  time.Duration // time lost until the first report
	rateCallPending bool
	overTarget      bool // tail latency of a serving task exceeded its target at the last report
	overTargetSince time.Duration
	loadBias        float64 // smoothed excess of the tail latency over the model, as load
}

// fullRate is the execution rate, in percent, of a run that is not
// rate-limited.
const fullRate = 100

// recordStatus records a worker's report about a run.
func (c *Controller) recordStatus(a *attempt, r *RunStatus) {
	a.runStats.recordProgress(r.Progress, a.startedAt, c.now())
	a.runStats.measure = r.Measure
}

// recentExit is a best-effort task that ended within the time window of the
// next measurements.
type recentExit struct {
	image     string
	usedShare float64 // share of the worker's CPU
	exitedAt  time.Duration
}

// recordExit records the CPU use of an ended run, which the next measurements
// still include.
func (c *Controller) recordExit(a *attempt) {
	if s := a.session; a.task.step.BestEffort && a.runStats.reported {
		s.recentExits = append(s.recentExits, recentExit{a.task.step.Image, s.cpuShare(a.runStats.measure), c.now()})
	}
}

// colocatedLoad is the load of best-effort tasks on a worker during the time
// window of the measurements of its serving tasks.
type colocatedLoad struct {
	uses          map[string]float64 // shares of the worker's CPU by image
	changingShare float64            // CPU share of the tasks that started, ended or changed their rate
}

func (c *Controller) colocatedLoad(s *session, bestEffort []*attempt, now time.Duration) colocatedLoad {
	load := colocatedLoad{uses: make(map[string]float64)}
	for _, a := range bestEffort {
		load.uses[a.task.step.Image] += s.cpuShare(a.runStats.measure)
		if now-max(a.startedAt, a.runStats.rateSetAt) < c.settleTime() {
			load.changingShare += s.cpuShare(a.task.step.Size.MilliCPU)
		}
	}
	remaining := s.recentExits[:0]
	for _, d := range s.recentExits {
		overlap := measureWindow - (now - d.exitedAt)
		if overlap <= 0 {
			continue
		}
		remaining = append(remaining, d)
		load.uses[d.image] += d.usedShare * float64(overlap) / float64(measureWindow)
		load.changingShare += d.usedShare
	}
	s.recentExits = remaining
	return load
}

// observeWorker updates the interference model from the tail latencies of the
// worker's serving tasks and sets the execution rates of co-located tasks.
func (c *Controller) observeWorker(s *session) {
	now := c.now()
	var servingTasks, bestEffort, warm []*attempt
	for _, a := range s.attempts {
		switch {
		case a.phase != attemptRunning || a.stopping:
		case a.task.step.LongRunning && a.task.step.TailMillis > 0:
			servingTasks = append(servingTasks, a)
			if a.runStats.progress >= fullProgress && (a.adopted || now-a.startedAt > warmupTime) {
				warm = append(warm, a)
			}
		case a.task.step.BestEffort:
			bestEffort = append(bestEffort, a)
		}
	}
	colocated := c.colocatedLoad(s, bestEffort, now)
	for _, a := range warm {
		c.observeServingTask(a, colocated, now)
	}
	for _, a := range servingTasks {
		a.runStats.recordTail(a.task.step.TailMillis, now)
	}
	if len(bestEffort) > 0 {
		c.setRates(s, servingTasks, bestEffort, now)
	}
}

// saveInterference commits the interference model. Otherwise the next leader
// would have to learn it again at the expense of serving tasks.
func (c *Controller) saveInterference(now time.Duration) {
	if c.saving || now < c.nextSave || !c.leads() || !c.interference.Differs(c.opts.Log.State().Interference) {
		return
	}
	c.saving, c.nextSave = true, now+interferenceSaveInterval
	c.proposeChange(c.interference.Save(), func(err error) {
		c.saving = false
		if err != nil {
			event.Log(c.opts.Logger, event.InterferenceNotSaved, slog.Any("error", err))
		}
	})
}

// cpuShare returns an amount of CPU as a share of the worker's capacity.
func (s *session) cpuShare(milliCPU int64) float64 {
	if s.worker.Capacity.MilliCPU <= 0 {
		return 0
	}
	return float64(milliCPU) / float64(s.worker.Capacity.MilliCPU)
}

func (c *Controller) observeServingTask(a *attempt, colocated colocatedLoad, now time.Duration) {
	step := a.task.step
	excess := c.interference.Observe(a.load(), placement.TailSample{
		Image: step.Image, AtMillis: (now - measureWindow/2).Milliseconds(), TailMillis: a.runStats.measure,
		TargetMillis: step.TailMillis, Uses: colocated.uses, Changing: colocated.changingShare,
	})
	a.runStats.loadBias += biasGain * (max(0, excess) - a.runStats.loadBias)
}

// pauseAfter returns how long a serving task may be observed above its target
// before co-located tasks are paused. The tail latency was already above the
// target for up to one poll and one measurement window before it was observed,
// and the pause takes another poll to take effect.
func (c *Controller) pauseAfter() time.Duration {
	if c.opts.Limits.MaxOverTarget <= 0 {
		return math.MaxInt64
	}
	return max(0, c.opts.Limits.MaxOverTarget-measureWindow-2*ratePollWait-2*c.settleTime())
}

// recordTail records since when the tail latency has been above the target.
func (m *runStats) recordTail(target int64, now time.Duration) {
	switch {
	case m.measure <= target:
		m.overTarget = false
	case !m.overTarget:
		m.overTarget, m.overTargetSince = true, now
	}
}

// overTargetFor returns how long the tail latency has been observed above its
// target.
func (m *runStats) overTargetFor(now time.Duration) time.Duration {
	if !m.overTarget {
		return 0
	}
	return now - m.overTargetSince
}

// load returns the load filter shared by the serving tasks of the run's step.
func (a *attempt) load() *placement.Load { return &a.task.workflow.loads[a.task.pos.Step] }

// expectedLoad returns the highest load of a serving task, without co-located
// tasks, that is expected within the duration until from now.
func (c *Controller) expectedLoad(a *attempt, now, until time.Duration) float64 {
	return a.runStats.loadBias + a.load().PredictMax(now.Milliseconds(), (now+until).Milliseconds(), c.interference.Load(a.task.step.Image))
}

func (c *Controller) setRates(s *session, servingTasks, bestEffort []*attempt, now time.Duration) {
	servers := make([]placement.ServingTask, len(servingTasks))
	for i, a := range servingTasks {
		step := a.task.step
		load := c.expectedLoad(a, now, rateHorizon)
		for _, l := range bestEffort {
			load += c.interference.Coefficient(step.Image, l.task.step.Image) * s.cpuShare(l.task.step.Size.MilliCPU) * float64(l.runStats.rate) / fullRate
		}
		limit := c.interference.Limit(step.Image, step.TailMillis)
		if a.runStats.overTargetFor(now) >= c.pauseAfter() {
			limit = 0 // overrides the estimates
		}
		servers[i] = placement.ServingTask{Image: step.Image, Utilisation: load, Limit: limit, OverTarget: a.runStats.overTarget}
	}
	lowest := c.keepLowestRate(s, bestEffort)
	colocated := make([]placement.CoLocatedTask, len(bestEffort))
	for i, a := range bestEffort {
		colocated[i] = placement.CoLocatedTask{
			Image: a.task.step.Image, Use: s.cpuShare(a.task.step.Size.MilliCPU), Percent: a.runStats.rate,
			Settling: now-max(a.startedAt, a.runStats.rateSetAt) < c.settleTime(),
			Lowest:   lowest[a],
		}
		if a.runStats.rate == 0 {
			colocated[i].PausedMillis = (now - a.runStats.rateSetAt).Milliseconds()
		}
	}
	for i, rate := range placement.ExecutionRates(c.interference, servers, colocated) {
		a := bestEffort[i]
		if rate == a.runStats.rate && !a.runStats.rateUnknown {
			continue
		}
		if rate < moveBelowRate && a.runStats.startRate == fullRate && a.task.step.Checkpoints && a.runStats.progress < maxMoveProgress &&
			c.maxInterference(a, servingTasks) >= minMoveInterference {
			c.stop(a, "it disturbs a serving task")
			continue
		}
		c.setRate(a, rate)
	}
}

// keepLowestRate reports which best-effort runs of a worker must not run faster than
// at the lowest rate, at which they started.
func (c *Controller) keepLowestRate(s *session, bestEffort []*attempt) map[*attempt]bool {
	var attempts []*attempt
	var runs []placement.RunAtLowestRate
	for _, a := range bestEffort {
		if placement.StartedAtLowestRate(a.runStats.startRate) {
			attempts = append(attempts, a)
			runs = append(runs, placement.RunAtLowestRate{MilliCPU: a.task.step.Size.MilliCPU, Percent: a.runStats.rate})
		}
	}
	if len(runs) == 0 || len(bestEffort) == 1 {
		return nil
	}
	if !s.resourcesValid {
		c.updateResources(s)
	}
	idle := s.resources.IdleCPU
	for _, r := range runs {
		idle += r.MilliCPU * int64(r.Percent) / fullRate
	}
	keep := make(map[*attempt]bool)
	for i, lowest := range placement.KeepLowestRate(idle, runs) {
		keep[attempts[i]] = lowest
	}
	return keep
}

const (
	// moveBelowRate is the execution rate in percent below which a run with a
	// checkpoint is moved to another worker instead, unless it was placed at a
	// reduced rate: there was no worker for the full rate, and it could move
	// from worker to worker.
	moveBelowRate = 40
	// maxMoveProgress is the progress in percent from which a run is no longer
	// moved.
	maxMoveProgress = 80
	// minMoveInterference is the interference coefficient from which two images
	// should not be co-located.
	minMoveInterference = 0.6
)

// maxInterference returns the highest interference coefficient of a run with
// the serving tasks.
func (c *Controller) maxInterference(a *attempt, servingTasks []*attempt) float64 {
	highest := 0.0
	for _, s := range servingTasks {
		highest = max(highest, c.interference.Coefficient(s.task.step.Image, a.task.step.Image))
	}
	return highest
}

// startAt sets the execution rate at which a placed run starts.
func (m *runStats) startAt(rate int) { m.rate, m.startRate = rate, rate }

// sendStartRate sends the rate at which a run was placed once the run has
// started: workers start every run at the full rate. The call belongs to the
// start, so it precedes other calls in the same way.
func (c *Controller) sendStartRate(a *attempt) {
	if m := &a.runStats; !a.adopted && !a.stopping && m.rate < fullRate && !m.rateCallPending {
		c.requestRate(a, fullRate, m.rate, callStart)
	}
}

// setRate sends a new execution rate to the worker. If the call fails, the next
// report leads to a new decision.
func (c *Controller) setRate(a *attempt, rate int) {
	if !a.runStats.rateCallPending {
		a.runStats.reduced = a.runStats.reducedTime(a.startedAt, c.now())
		c.requestRate(a, a.runStats.rate, rate, callSetRate)
	}
}

// requestRate changes the execution rate of a run from old to rate. After a call
// without a response either of them may be in force; the higher one is assumed,
// because serving tasks must not be harmed by a rate that is not known.
func (c *Controller) requestRate(a *attempt, old, rate int, class callClass) {
	unknown := a.runStats.rateUnknown
	a.runStats.rate, a.runStats.rateSetAt, a.runStats.rateCallPending, a.runStats.rateUnknown = rate, c.now(), true, false
	a.session.resourcesValid = false
	event.Log(c.opts.Logger, event.TaskRateChanged, slog.String("workflow", a.run.Workflow), slog.Int("task", a.run.Task),
		slog.Uint64("run", a.run.Number), slog.String("worker", a.session.worker.ID), slog.Int("percent", rate),
		slog.Int("before", old), slog.String("image", a.task.step.Image))
	s := a.session
	call := SetRateCall{Run: a.run, Position: a.position(), Fence: s.fence, Percent: rate}
	c.call(class, func() *workerCall {
		if a.phase == attemptEnded {
			return nil
		}
		var err error
		return &workerCall{
			timeout: startTimeout,
			send:    func(ctx context.Context) { err = s.api.SetRate(ctx, call) },
			done: func() {
				a.runStats.rateCallPending, s.resourcesValid = false, false
				neverSent, _ := unsent(err)
				switch {
				case err == nil:
				case neverSent || refusal(err) != 0:
					a.runStats.rate, a.runStats.rateUnknown = old, unknown
				default:
					a.runStats.rate, a.runStats.rateUnknown = max(old, rate), true
				}
			},
		}
	})
}
