package fleet

import (
	"log/slog"
	"time"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

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

// recordEnded records that the workflow has ended. useful is set if it
// completed before its result was useless.
func (c *Controller) recordEnded(f *workflow, useful bool) {
	if f.inProgress {
		f.inProgress = false
		c.queueStats(f.queue).Ended(c.opts.Clock.Now().UnixMilli(), f.size, useful)
	}
}

// lateDeadline returns when the result of the workflow becomes useless, in Unix
// milliseconds.
func (f *workflow) lateDeadline() int64 { return f.submittedAt + lateFactor*(f.deadline-f.submittedAt) }

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
// thousandths of a processor times milliseconds.
func (c *Controller) workLeft(f *workflow) float64 {
	means := make([]float64, len(f.spec.Steps))
	for i := range means {
		means[i] = float64(c.estimate(f, i).Mean())
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

// rankJobs ranks the jobs that end by themselves in the pools in which more work
// waits than fits.
func (c *Controller) rankJobs(now time.Duration, waiting []placement.WaitingJob, pools map[string]*pool) {
	jobs := make(map[string][]admission.Job, len(pools))
	pressures := make(map[string]*admission.Pressure, len(pools))
	for i := range waiting {
		j := &waiting[i]
		f := c.workflows[j.ID]
		if pools[f.spec.Pool] == nil || j.Serving || !f.ends() {
			continue
		}
		p := pressures[f.spec.Pool]
		if p == nil {
			p = &admission.Pressure{Free: pools[f.spec.Pool].freeCapacity(), Queues: c.queues}
			pressures[f.spec.Pool] = p
		}
		f.addDemand(p, now)
		jobs[f.spec.Pool] = append(jobs[f.spec.Pool], admission.Job{
			ID: j.ID, Priority: j.Priority, Queue: f.queue, SubmittedAt: f.submittedAt, Deadline: j.Deadline,
			LateDeadline: j.LateDeadline, Work: f.work, WorkLeft: c.workLeft(f),
			CriticalPathMillis: j.RemainingMillis, Observed: j.Observed, Begun: f.inProgress,
		})
	}
	ranks := make(map[string]int)
	for name, p := range pressures {
		if p.Short() {
			admission.Order(c.opts.Clock.Now().UnixMilli(), jobs[name], p)
			for i := range jobs[name] {
				ranks[jobs[name][i].ID] = i + 1
			}
		}
	}
	for i := range waiting {
		waiting[i].Rank = ranks[waiting[i].ID]
	}
	c.recordPressure(now, pools, pressures)
}

// addDemand adds the ready tasks of the workflow to the pressure of its pool.
func (f *workflow) addDemand(p *admission.Pressure, now time.Duration) {
	for _, t := range f.tasks {
		if t.phase != taskReady {
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
	}
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
func (c *Controller) recordPressure(now time.Duration, pools map[string]*pool, pressures map[string]*admission.Pressure) {
	for name, p := range pressures {
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
		if pools[name] == nil || now-last < minPressurePause {
			continue
		}
		delete(c.shortPools, name)
		c.metrics.short.WithLabelValues(name).Set(0)
		event.Log(c.opts.Logger, event.PoolShort, slog.String("pool", name), slog.Bool("short", false))
	}
}
