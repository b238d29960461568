package fleet

import (
	"log/slog"
	"math"
	"slices"
	"time"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// resetAdmission forgets what was learned about queues and pools.
func (c *Controller) resetAdmission() {
	c.queues, c.rates = make(map[string]*admission.QueueStats), make(map[string]*admission.Rate)
	c.shortPools, c.nextBacklog = make(map[string]time.Duration), 0
}

// queueStats returns the statistics of a queue.
func (c *Controller) queueStats(queue string) *admission.QueueStats {
	q := c.queues[queue]
	if q == nil {
		q = &admission.QueueStats{}
		c.queues[queue] = q
	}
	return q
}

// ends reports whether a workflow runs once and ends by itself, so that its
// objective applies to it as a whole.
func (f *workflow) ends() bool { return f.spec.Occurrences == 0 && !f.hasServingTasks() }

// recordBegun records that a task of the workflow has started.
func (c *Controller) recordBegun(f *workflow) {
	if !f.inProgress && f.ends() {
		f.inProgress, f.size = true, c.queueStats(f.queue).Started(f.work)
	}
}

// recordEnded records that the workflow has ended. w is its last state, or nil if
// it is not known.
func (c *Controller) recordEnded(f *workflow, w *state.Workflow) {
	if !f.inProgress {
		return
	}
	f.inProgress = false
	q, p, useful := c.queueStats(f.queue), c.criticalPath(f), false
	if w != nil && w.Phase == state.WorkflowCompleted {
		useful = w.EndedAt <= f.submittedAt+lateFactor*f.objective(p)
		if declared := criticalPathMillis(f.spec); declared > 0 {
			q.Completed(float64(p.total) / float64(declared))
		}
	}
	q.Ended(c.opts.Clock.Now().UnixMilli(), f.size, useful)
}

// estimatedWork returns the work of all tasks of a workflow that runs once, in
// thousandths of a processor times milliseconds.
func estimatedWork(spec *state.WorkflowSpec) float64 {
	work := 0.0
	for i := range spec.Steps {
		s := &spec.Steps[i]
		work += float64(s.Count) * float64(s.Size.MilliCPU) * float64(s.EstimateMillis)
	}
	return work
}

// workLeft returns the estimated work of the unfinished tasks of a workflow, in
// thousandths of a processor times milliseconds, by the estimates of this
// placement pass.
func (f *workflow) workLeft() float64 {
	means := make([]float64, len(f.spec.Steps))
	for i := range means {
		means[i] = float64(f.estimates[i].Mean())
	}
	left := 0.0
	for _, t := range f.tasks {
		if t.phase == taskDone {
			continue
		}
		work := float64(t.step.Size.MilliCPU) * means[t.pos.Step]
		if t.attempt != nil {
			work *= float64(fullRate-t.attempt.runStats.progress) / fullRate
		}
		left += work
	}
	return left
}

// poolJobs are the waiting jobs of a pool that end by themselves.
type poolJobs struct {
	jobs     []admission.Job
	pressure admission.Pressure
}

// rankJobs ranks the jobs that end by themselves in the pools in which more work
// waits than fits. It returns the jobs by pool.
func (c *Controller) rankJobs(now time.Duration, waiting []placement.WaitingJob, pools map[string]*pool) map[string]*poolJobs {
	byPool := make(map[string]*poolJobs, len(pools))
	for i := range waiting {
		j := &waiting[i]
		f := c.workflows[j.ID]
		if pools[f.spec.Pool] == nil || j.Serving || !f.ends() {
			continue
		}
		p := byPool[f.spec.Pool]
		if p == nil {
			p = &poolJobs{pressure: admission.Pressure{
				Free: pools[f.spec.Pool].freeCapacity(), Queues: c.queues, Tenants: c.tenants.table.Len() > 0,
			}}
			byPool[f.spec.Pool] = p
		}
		work, size := c.addDemand(f, &p.pressure, now)
		if work <= 0 {
			continue // the cap of its tenant holds it back
		}
		p.jobs = append(p.jobs, admission.Job{
			ID: j.ID, Priority: j.Priority, Queue: f.queue, SubmittedAt: f.submittedAt, Deadline: j.Deadline,
			LateDeadline: j.LateDeadline, Work: f.work, WorkLeft: f.workLeft(), WorkReady: work, Ready: size,
			CriticalPathMillis: j.RemainingMillis, Observed: j.Observed, Begun: f.inProgress,
		})
	}
	ranks := make(map[string]int)
	for _, p := range byPool {
		if p.pressure.Short() {
			admission.Order(c.opts.Clock.Now().UnixMilli(), p.jobs, &p.pressure)
			for i := range p.jobs {
				ranks[p.jobs[i].ID] = i + 1
			}
		}
	}
	for i := range waiting {
		waiting[i].Rank = ranks[waiting[i].ID]
	}
	c.recordPressure(now, byPool)
	return byPool
}

// addDemand adds the ready tasks of a workflow that the cap of its tenant permits
// to the pressure of its pool, and returns their work and the size in which all of
// them fit.
func (c *Controller) addDemand(f *workflow, p *admission.Pressure, now time.Duration) (work float64, size admission.TaskSize) {
	var last *state.WorkflowStep
	for _, t := range f.tasks {
		if t.phase != taskReady || !c.capAllows(t) {
			continue
		}
		r := t.step.Reservation()
		p.Waiting.MilliCPU += r.MilliCPU
		if t.step.BestEffort {
			p.Waiting.IdleMilliCPU += t.step.Size.MilliCPU
		}
		p.Waiting.MemoryMiB += r.MemoryMiB
		p.Waiting.Accelerators += r.Accelerators
		p.LongestWaitMillis = max(p.LongestWaitMillis, (now - t.waitingSince).Milliseconds())
		work += max(1, float64(t.step.Size.MilliCPU)*float64(t.step.EstimateMillis))
		if t.step != last {
			size, last = largestSize(size, sizeOf(t.step), last == nil), t.step
		}
	}
	return work, size
}

// largestSize returns the size in which tasks of both sizes fit. Tasks of
// different kinds fit in none.
func largestSize(a, b admission.TaskSize, first bool) admission.TaskSize {
	if first {
		return b
	}
	if a.BestEffort != b.BestEffort || a.Image != b.Image {
		b.MilliCPU = math.MaxInt64
	}
	b.MilliCPU, b.MemoryMiB, b.Accelerators = max(a.MilliCPU, b.MilliCPU), max(a.MemoryMiB, b.MemoryMiB), max(a.Accelerators, b.Accelerators)
	return b
}

// sizeOf returns what decides whether a task of the step fits on a worker.
func sizeOf(s *state.WorkflowStep) admission.TaskSize {
	size := admission.TaskSize{
		BestEffort: s.BestEffort, MilliCPU: s.Size.MilliCPU, MemoryMiB: s.Size.MemoryMiB, Accelerators: s.Size.Accelerators,
	}
	if s.BestEffort {
		size.Image = s.Image
	}
	return size
}

// freeCapacity returns the free capacity of the usable workers.
func (p *pool) freeCapacity() admission.Demand {
	var free admission.Demand
	for _, w := range p.workers {
		if w != nil {
			free.MilliCPU += max(0, w.Free.MilliCPU)
			free.IdleMilliCPU += max(0, w.IdleCPU)
			free.MemoryMiB += max(0, w.Free.MemoryMiB)
			free.Accelerators += max(0, w.Free.Accelerators)
		}
	}
	return free
}

// minPressurePause is how long all waiting work of a pool must have fitted
// before the shortage counts as over. It bounds the number of events.
const minPressurePause = time.Second

// recordPressure sets the metrics and logs in which pools a shortage has begun
// or ended.
func (c *Controller) recordPressure(now time.Duration, byPool map[string]*poolJobs) {
	for name, jobs := range byPool {
		p := &jobs.pressure
		if !p.Short() {
			continue
		}
		if _, short := c.shortPools[name]; !short {
			c.metrics.short.WithLabelValues(name).Set(1)
			event.Log(c.opts.Logger, event.PoolShort, slog.String("pool", name), slog.Bool("short", true),
				slog.Int64("waiting_milli_cpu", p.Waiting.MilliCPU), slog.Int64("free_milli_cpu", p.Free.MilliCPU),
				slog.Int64("waiting_leftover_milli_cpu", p.Waiting.IdleMilliCPU), slog.Int64("idle_milli_cpu", p.Free.IdleMilliCPU),
				slog.Int64("waiting_memory_mib", p.Waiting.MemoryMiB), slog.Int64("free_memory_mib", p.Free.MemoryMiB),
				slog.Int64("longest_wait_ms", p.LongestWaitMillis))
		}
		c.shortPools[name] = now
	}
	for name, last := range c.shortPools {
		if now-last < minPressurePause {
			continue
		}
		delete(c.shortPools, name)
		c.metrics.short.WithLabelValues(name).Set(0)
		event.Log(c.opts.Logger, event.PoolShort, slog.String("pool", name), slog.Bool("short", false))
	}
}

// recordCompleted counts the work of a completed task for the rate of its pool.
func (c *Controller) recordCompleted(t *task) {
	if !t.step.LongRunning {
		c.rate(t.workflow.spec.Pool).Completed(float64(t.step.Size.MilliCPU) * float64(t.step.EstimateMillis))
	}
}

// rate returns the rate at which a pool completes work.
func (c *Controller) rate(pool string) *admission.Rate {
	r := c.rates[pool]
	if r == nil {
		r = &admission.Rate{}
		c.rates[pool] = r
	}
	return r
}

// backlogInterval is the minimum interval between updates of the backlogs. The
// waits for which submissions are refused are seconds.
const backlogInterval = 200 * time.Millisecond

// backlogOutdated reports whether there is a backlog of a pool in which
// everything fits now.
func (c *Controller) backlogOutdated(byPool map[string]*poolJobs) bool {
	if backlogs := c.backlogs.Load(); backlogs != nil {
		for name, b := range *backlogs {
			if jobs := byPool[name]; b != nil && (jobs == nil || !jobs.pressure.Short()) {
				return true
			}
		}
	}
	return false
}

// clearBacklogs records that no task waits.
func (c *Controller) clearBacklogs() {
	for _, r := range c.rates {
		r.Observe(c.opts.Clock.Now().UnixMilli(), false)
	}
	if c.backlogOutdated(nil) {
		c.backlogs.Store(nil)
		c.metrics.drain.Reset()
	}
}

// publishBacklogs updates the backlogs by which submissions are decided, after a
// pass that considered all tasks.
func (c *Controller) publishBacklogs(now time.Duration, pools map[string]*pool, byPool map[string]*poolJobs) {
	if now < c.nextBacklog && !c.backlogOutdated(byPool) {
		return
	}
	c.nextBacklog = now + backlogInterval
	wall := c.opts.Clock.Now().UnixMilli()
	backlogs := make(map[string]*admission.Backlog, len(byPool))
	for name, p := range pools {
		jobs := byPool[name]
		unplaced := p.unplacedSizes()
		c.rate(name).Observe(wall, jobs != nil && jobs.pressure.Exceeds() && len(unplaced) > 0)
		if jobs != nil {
			jobs.dropPlaced(c)
			backlogs[name] = admission.NewBacklog(wall, jobs.jobs, &jobs.pressure, c.rate(name), unplaced)
		}
		c.metrics.drain.WithLabelValues(name).Set(float64(backlogs[name].DrainMillis()) / 1000)
	}
	c.backlogs.Store(&backlogs)
}

// dropPlaced subtracts the work that was placed in this pass.
func (p *poolJobs) dropPlaced(c *Controller) {
	p.jobs = slices.DeleteFunc(p.jobs, func(j admission.Job) bool { return c.workflows[j.ID].readyTasks == 0 })
	for i := range p.jobs {
		var pressure admission.Pressure
		p.jobs[i].WorkReady, p.jobs[i].Ready = c.addDemand(c.workflows[p.jobs[i].ID], &pressure, c.now())
	}
}

// unplacedSizes returns the sizes of tasks without special requirements that
// fitted on no worker in this pass.
func (p *pool) unplacedSizes() []admission.TaskSize {
	var sizes []admission.TaskSize
	for class, r := range p.smallestUnplaced {
		if class.kind != kindServing {
			sizes = append(sizes, admission.TaskSize{
				BestEffort: class.bestEffort, Image: class.image, MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryMiB, Accelerators: r.Accelerators,
			})
		}
	}
	return sizes
}

// MaxCallMillis is the longest time for which an instance tries to carry out a
// client's call.
const MaxCallMillis = 60_000

// submission returns what decides about the admission of a workflow, and whether
// it may be refused: serving tasks, and workflows that run several times, have
// no end that could be forecast.
func submission(spec *state.WorkflowSpec, q *state.WorkflowQueue, req *Request, now int64) (*admission.Submission, bool) {
	if spec.Occurrences > 0 {
		return nil, false
	}
	work, objective := estimatedWork(spec), objectiveMillis(spec)
	s := &admission.Submission{
		Job: admission.Job{
			ID: spec.ID, Priority: spec.Priority, Queue: spec.Queue, SubmittedAt: now, Deadline: now + objective,
			LateDeadline: now + lateFactor*objective, Work: work, WorkLeft: work, CriticalPathMillis: criticalPathMillis(spec),
		},
		CopiesMillis: copiesMillis(q, req),
	}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		if step.LongRunning {
			return nil, false
		}
		if len(step.DependsOn) == 0 {
			s.Initial = append(s.Initial, sizeOf(step))
		}
	}
	return s, true
}

// copiesMillis returns how long copies of a submission may be on their way.
func copiesMillis(q *state.WorkflowQueue, req *Request) int64 {
	return min(max(q.TimeoutMillis, req.TimeoutMillis), MaxCallMillis) + attemptTimeout.Milliseconds()
}
