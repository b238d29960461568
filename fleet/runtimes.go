package fleet

import (
	"log/slog"
	"math"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/runtimes"
	"apricotrouter/state"
)

const (
	// usualQuantile is the quantile of run times that a task is expected not to
	// exceed on another worker. Above it, a task may itself take long.
	usualQuantile = 0.75
	// longQuantile is the quantile of run times that few tasks exceed.
	longQuantile = 0.9
	// minProjectedProgress is the progress in percent from which the end of a run
	// is projected from its own speed. Reports are rounded to a percent.
	minProjectedProgress = 20
	// maxProgressAge is the age of the last progress up to which the end of a run
	// is projected from its own speed. A run that is older has stalled.
	maxProgressAge = pollWait + pollWait/2
	// runTimesChangedInterval is the minimum interval between log entries about
	// changes of run times.
	runTimesChangedInterval = time.Second
)

// learned is what the leader has learned from completed runs in its term.
type learned struct {
	model   *runtimes.Model
	workers *runtimes.Workers
	opened  uint64 // number of workflows that were opened
	// nextChangeLog and nextWorkerLog are the earliest times of the next log
	// entries about a change of run times and about the speed of a worker.
	nextChangeLog, nextWorkerLog time.Duration
}

func newLearned() learned {
	return learned{model: runtimes.NewModel(), workers: runtimes.NewWorkers()}
}

// runTimeKey returns the key of the run times of a step's tasks.
func runTimeKey(queue string, s *state.WorkflowStep) runtimes.Key {
	return runtimes.Key{Queue: queue, Image: s.Image, Size: runtimes.SizeRange(s.Size.MilliCPU)}
}

// estimate returns the run time of a task of the step at full speed, corrected
// by the tasks of the step that have been done.
func (c *Controller) estimate(f *workflow, step int) runtimes.Estimate {
	s := &f.spec.Steps[step]
	e := c.learned.model.Estimate(runTimeKey(f.queue, s), s.EstimateMillis)
	n := f.completedRuns[step]
	if n == 0 {
		return e
	}
	return e.Given(n, math.Exp(f.completedLogs[step]/float64(n)))
}

// updateEstimates returns the current estimates of all steps of a workflow and
// keeps them for the rest of a placement pass.
func (c *Controller) updateEstimates(f *workflow) []runtimes.Estimate {
	f.estimates = f.estimates[:0]
	for i := range f.spec.Steps {
		f.estimates = append(f.estimates, c.estimate(f, i))
	}
	return f.estimates
}

// path is the estimated critical path of a workflow, in milliseconds.
type path struct {
	left  int64 // of the remaining work
	total int64 // of the whole work, at full speed
	// observed is set if left is based on observed run times.
	observed bool
}

// criticalPath estimates the critical path of a workflow.
func (c *Controller) criticalPath(f *workflow) path {
	now := c.now()
	estimates := c.updateEstimates(f)
	steps := make([]stepPath, len(f.spec.Steps))
	for i := range steps {
		steps[i].whole = f.longestRuns[i]
	}
	var p path
	for _, t := range f.tasks {
		if t.phase != taskDone {
			steps[t.pos.Step].add(c, t, estimates[t.pos.Step], now)
			p.observed = p.observed || estimates[t.pos.Step].Runs() > 0
		}
	}
	p.left = criticalPath(f.spec, func(step int) int64 { return steps[step].left(estimates[step]) })
	p.total = criticalPath(f.spec, func(step int) int64 { return steps[step].total(estimates[step], f.spec.Steps[step].Count) })
	return p
}

// stepPath is what is known about the tasks of a step: the longest time that a run
// still needs and that one takes as a whole, and the tasks of which nothing more
// than their step is known. Some of these have begun, up to begunPercent.
type stepPath struct {
	longest, whole int64 // milliseconds
	tasks          int
	begun          int
	begunPercent   int
}

func (r *stepPath) add(c *Controller, t *task, e runtimes.Estimate, now time.Duration) {
	switch {
	case t.step.LongRunning:
		r.longest = max(r.longest, t.step.EstimateMillis)
	case t.attempt == nil:
		r.tasks++
	case e.Runs() == 0:
		r.longest = max(r.longest, t.step.EstimateMillis*int64(fullRate-t.attempt.runStats.progress)/fullRate)
	default:
		a := t.attempt
		if left, whole, ok := a.runStats.projectedMillis(now); ok {
			r.longest = max(r.longest, left)
			if a.runStats.reducedTime(a.startedAt, now) < minReduced {
				whole = int64(float64(whole) / max(1, c.learned.workers.Slowdown(a.session.worker.ID, now.Milliseconds())))
				r.whole = max(r.whole, whole)
			}
			return
		}
		progress := a.runStats.progress
		if r.begun == 0 || progress < r.begunPercent {
			r.begunPercent = progress
		}
		r.begun++
	}
}

// left returns how long the step still takes, in milliseconds.
func (r *stepPath) left(e runtimes.Estimate) int64 {
	longest := r.longest
	if r.tasks > 0 {
		if e.Runs() == 0 {
			return max(longest, e.Declared())
		}
		longest = max(longest, longestOf(e, r.tasks))
	}
	if r.begun > 0 {
		longest = max(longest, longestOf(e, r.begun)*int64(fullRate-r.begunPercent)/fullRate)
	}
	return longest
}

// total returns how long the whole step takes at full speed, in milliseconds.
func (r *stepPath) total(e runtimes.Estimate, tasks int) int64 {
	unknown := r.tasks + r.begun
	if r.whole == 0 {
		unknown = tasks // no run was observed
	}
	switch {
	case e.Runs() == 0:
		return e.Declared()
	case unknown > 0:
		return max(r.whole, e.LargestOf(unknown))
	}
	return r.whole
}

// longestOf returns the time that the longest of a number of tasks is expected
// to take, in milliseconds. Where run times hardly differ, the safety factor of
// declared ones still applies.
func longestOf(e runtimes.Estimate, tasks int) int64 {
	return max(e.LargestOf(tasks), int64(placement.RemainingTimeFactor*float64(e.Quantile(0.5))))
}

// projectedMillis returns the remaining time of a run and that of the whole task,
// from its own speed, and whether its progress shows them.
func (m *runStats) projectedMillis(now time.Duration) (left, whole int64, ok bool) {
	done, took, age := m.progress-m.firstProgress, m.lastProgressAt-m.firstReportAt, now-m.lastProgressAt
	if !m.reported || done < minProjectedProgress || took <= 0 || age > maxProgressAge {
		return 0, 0, false
	}
	remaining := took*time.Duration(fullProgress-m.progress)/time.Duration(done) - age
	return max(0, remaining).Milliseconds(), (took * fullProgress / time.Duration(done)).Milliseconds(), true
}

// reducedTime returns how much of the time since the start of a run was lost by
// reduced execution rates.
func (m *runStats) reducedTime(startedAt, now time.Duration) time.Duration {
	since := now - max(startedAt, m.rateSetAt)
	return m.reduced + max(0, since)*time.Duration(fullRate-m.rate)/fullRate
}

// Kinds of completed runs, by what their duration says about the run time of
// the task.
const (
	runWhole   = "whole"
	runResumed = "resumed"
	runReduced = "reduced-rate"
	runSlow    = "slow-worker"
	runNotUsed = "not-used"
)

// Run times with which actual ones are compared, as in metrics.
const (
	againstDeclared = "declared"
	againstLearned  = "learned"
)

// minReduced is the least time lost by reduced execution rates that makes a run
// a rate-limited one in the metrics.
const minReduced = 50 * time.Millisecond

// recordRunTime learns from a run that completed its task.
func (c *Controller) recordRunTime(a *attempt) {
	t, f, now := a.task, a.task.workflow, c.now()
	if t.step.LongRunning {
		return
	}
	// The start and the execution rate of an adopted run are not known, nor is the
	// end of one whose worker did not respond.
	if a.adopted || a.session.silentUntil >= a.startedAt && a.session.silentUntil > 0 {
		c.metrics.runTimes.WithLabelValues(runNotUsed).Inc()
		return
	}
	m := &a.runStats
	kind := runWhole
	run := runtimes.FullRun{Millis: (now - a.startedAt).Milliseconds(), Slowdown: c.learned.workers.Slowdown(a.session.worker.ID, now.Milliseconds())}
	reduced := m.reducedTime(a.startedAt, now)
	if t.checkpoint != "" {
		// The progress at the start is not known, but that at the first report is.
		kind = runResumed
		run.Millis, run.DonePercent = (now - m.firstReportAt).Milliseconds(), m.firstProgress
		reduced -= m.reducedAtFirst
		if !m.reported {
			run.Millis = 0
		}
	}
	if reduced >= minReduced {
		kind, run.ReducedMillis = runReduced, reduced.Milliseconds()
	}
	if run.Slowdown > 1 {
		kind = runSlow
	}
	actual, ok := run.ActualMillis()
	if !ok {
		c.metrics.runTimes.WithLabelValues(runNotUsed).Inc()
		return
	}
	c.metrics.runTimes.WithLabelValues(kind).Inc()
	c.learnRunTime(a, actual, run.Slowdown, now)
	step := t.pos.Step
	f.completedRuns[step]++
	f.completedLogs[step] += math.Log(float64(actual))
	f.longestRuns[step] = max(f.longestRuns[step], actual)
}

// learnRunTime updates the learned run times and the speed of the worker. actual
// is the run time in milliseconds without the slowdown of the worker.
func (c *Controller) learnRunTime(a *attempt, actual int64, slowdown float64, now time.Duration) {
	t, f := a.task, a.task.workflow
	declared, key := t.step.EstimateMillis, runTimeKey(f.queue, t.step)
	if declared <= 0 {
		return
	}
	// The tasks of the step that ended before tell more about a worker than other
	// steps do.
	expected := c.estimate(f, t.pos.Step)
	median := expected.Quantile(0.5)
	c.metrics.runTimeRatio.WithLabelValues(againstDeclared).Observe(float64(actual) / float64(declared))
	if expected.Runs() > 0 && median > 0 {
		c.metrics.runTimeRatio.WithLabelValues(againstLearned).Observe(float64(actual) / float64(median))
		c.observeSpeed(a, slowdown*float64(actual)/float64(median), now)
	}
	change := c.learned.model.Observe(key, f.stepNumber(t), declared, actual, now.Milliseconds())
	c.metrics.runTimeKeys.Set(float64(c.learned.model.Len()))
	if change == nil {
		return
	}
	c.metrics.runTimeChanges.Inc()
	if now < c.learned.nextChangeLog {
		return
	}
	c.learned.nextChangeLog = now + runTimesChangedInterval
	event.Log(c.opts.Logger, event.RunTimesChanged, slog.String("queue", key.Queue), slog.String("image", key.Image),
		slog.Int64("milli_cpu", t.step.Size.MilliCPU), slog.Float64("ratio_before", change.Before), slog.Float64("ratio", change.After),
		slog.String("workflow", f.spec.ID), slog.Int("step", t.pos.Step))
}

const (
	// slowRunFactor is how many times longer than the median a run has to take
	// for its worker to be judged before it ends. Slow runs are moved and then
	// never complete.
	slowRunFactor = 2.0
	// slowWorkersLogInterval is the minimum interval between log entries about
	// slow workers.
	slowWorkersLogInterval = time.Second
)

// observeSlowRun judges the speed of a worker by the progress of a run that
// takes much longer than usual. Such workers may appear healthy otherwise.
func (c *Controller) observeSlowRun(a *attempt, e runtimes.Estimate, now time.Duration) {
	m := &a.runStats
	if m.speedObserved || a.adopted || m.rate != fullRate || m.reduced > 0 || e.Runs() == 0 {
		return
	}
	median := float64(e.Quantile(0.5))
	if median <= 0 {
		return
	}
	took := float64((now - m.firstReportAt).Milliseconds())
	if done := m.progress - m.firstProgress; done >= minProjectedProgress {
		took = float64((m.lastProgressAt - m.firstReportAt).Milliseconds()) * fullProgress / float64(done)
	} else if took < float64(e.Quantile(longQuantile)) {
		return // a run of a long task makes little progress at first
	}
	if ratio := took / median; ratio >= slowRunFactor {
		c.observeSpeed(a, ratio, now)
	}
}

// observeSpeed counts a run in the speed of its worker, once.
func (c *Controller) observeSpeed(a *attempt, ratio float64, now time.Duration) {
	if a.runStats.speedObserved {
		return
	}
	a.runStats.speedObserved = true
	id, at := a.session.worker.ID, now.Milliseconds()
	before := c.learned.workers.Slowdown(id, at)
	c.learned.workers.Observe(id, ratio, at)
	after := c.learned.workers.Slowdown(id, at)
	if (before > 1) == (after > 1) {
		return
	}
	c.metrics.slowWorkers.Inc()
	if now < c.learned.nextWorkerLog {
		return
	}
	c.learned.nextWorkerLog = now + slowWorkersLogInterval
	event.Log(c.opts.Logger, event.WorkerSpeedChanged, slog.String("worker", id), slog.Float64("slowdown_before", before),
		slog.Float64("slowdown", after), slog.Float64("run_ratio", ratio), slog.String("workflow", a.run.Workflow),
		slog.Int("task", a.run.Task), slog.Uint64("run", a.run.Number))
}

// stepNumber returns a number that identifies a step of one occurrence.
func (f *workflow) stepNumber(t *task) uint64 {
	const stepBits = 32
	return f.number<<stepBits | uint64(t.pos.Occurrence*len(f.spec.Steps)+t.pos.Step)
}

// logEstimate logs what the run times of a new workflow are thought to be,
// unless only the declared ones are known. A controller that reloads the
// replicated state does not log thousands of workflows again.
func (c *Controller) logEstimate(f *workflow) {
	if age := c.opts.Clock.Now().UnixMilli() - f.submittedAt; age > (c.now() - c.activatedAt).Milliseconds() {
		return
	}
	widest, learned := -1, false
	for i := range f.spec.Steps {
		s := &f.spec.Steps[i]
		learned = learned || !s.LongRunning && c.estimate(f, i).Runs() > 0
		if widest < 0 || s.Count > f.spec.Steps[widest].Count {
			widest = i
		}
	}
	if !learned {
		return
	}
	s, e := &f.spec.Steps[widest], c.estimate(f, widest)
	path := c.criticalPath(f)
	event.Log(c.opts.Logger, event.WorkflowEstimated, slog.String("workflow", f.spec.ID), slog.String("queue", f.queue),
		slog.Int64("objective_ms", f.deadline-f.submittedAt), slog.Int64("declared_path_ms", criticalPathMillis(f.spec)),
		slog.Int64("path_ms", path.total),
		slog.Group("widest", slog.Int("step", widest), slog.String("image", s.Image), slog.Int("tasks", s.Count),
			slog.Int64("declared_ms", s.EstimateMillis), slog.Int64("mean_ms", e.Mean()), slog.Int64("p50_ms", e.Quantile(0.5)),
			slog.Int64("p90_ms", e.Quantile(longQuantile)), slog.Int64("longest_ms", e.LargestOf(s.Count)),
			slog.Float64("runs", math.Round(e.Runs())), slog.Float64("trust", e.Trust())))
}
