package fleet

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// occupancyLogInterval is the minimum interval between log entries about the
// occupancy of pools. Objectives of workflows are seconds, so the log shows
// what a late workflow waited for.
const occupancyLogInterval = time.Second

// idleWorkflowLimit is the time after which users count a workflow as lost if
// nothing of it runs while there is capacity, from the service terms.
const idleWorkflowLimit = 3 * time.Second

// taskKind classifies tasks by the CPU that they need.
type taskKind uint8

const (
	kindServing    taskKind = iota // reserve CPU indefinitely
	kindBatch                      // reserve CPU and end
	kindBestEffort                 // reserve no CPU
	taskKinds
)

var taskKindNames = [taskKinds]string{"serving", "batch", "leftover"}

func kindOf(s *state.WorkflowStep) taskKind {
	switch {
	case s.LongRunning:
		return kindServing
	case s.BestEffort:
		return kindBestEffort
	}
	return kindBatch
}

// waitingDemand is the demand of tasks that wait for a worker.
type waitingDemand struct {
	tasks       int
	milliCPU    int64
	longestWait time.Duration // longest wait of any of them
	task        *task         // longest-waiting task; tasks that ran before come first
	// fitting is the number of these tasks with no more CPU than is free on one
	// worker. expired is the number of these tasks whose workflow can no longer
	// end before its result becomes useless.
	fitting, expired int
}

// occupancy is the use of the CPU of a pool's usable workers, in thousandths of
// a processor.
type occupancy struct {
	workers                              int
	capacity, serving, free, largestFree int64
	// reservedWorkers is the number of workers reserved for serving tasks.
	// reservedFree is their part of free.
	reservedWorkers int
	reservedFree    int64
	waiting         [taskKinds]waitingDemand
}

// reportOccupancy sets the gauges of the pools after a placement pass and logs
// the pools in which tasks wait.
func (c *Controller) reportOccupancy(pools map[string]*pool) {
	now := c.now()
	if now < c.nextReport {
		return
	}
	c.nextReport = now + occupancyLogInterval
	c.reportTenants(now)
	occupancies := make(map[string]occupancy, len(pools))
	for name, p := range pools {
		occupancies[name] = p.occupancy()
	}
	waiting := c.waitingByPool(now, occupancies)
	for name, p := range pools {
		o := occupancies[name]
		o.waiting = waiting[name]
		c.metrics.setOccupancy(name, o)
		if o.waiting == [taskKinds]waitingDemand{} {
			continue
		}
		attrs := []slog.Attr{
			slog.String("pool", name), slog.Int("workers", o.workers), slog.Int64("milli_cpu", o.capacity),
			slog.Int64("serving_milli_cpu", o.serving), slog.Int64("free_milli_cpu", o.free),
			slog.Int64("largest_free_milli_cpu", o.largestFree), slog.Int("held", o.reservedWorkers), slog.Int64("held_milli_cpu", o.reservedFree),
		}
		for k, d := range o.waiting {
			attrs = append(attrs, slog.Group(taskKindNames[k], slog.Int("waiting", d.tasks),
				slog.Int64("milli_cpu", d.milliCPU), slog.Int64("longest_ms", d.longestWait.Milliseconds()),
				slog.Int("fitting", d.fitting), slog.Int("expired", d.expired)))
		}
		event.Log(c.opts.Logger, event.PoolCapacity, attrs...)
		c.logServingWait(name, p, o.waiting[kindServing].task)
		c.logBestEffortWait(name, p, o.waiting[kindBestEffort].task)
	}
}

// logServingWait logs why a waiting serving task can't be placed on the workers
// of its pool.
func (c *Controller) logServingWait(name string, p *pool, t *task) {
	if t == nil {
		return
	}
	waited := c.now() - t.waitingSince
	if !placement.NearlyOverdue(waited.Milliseconds()) {
		return
	}
	request := c.placementRequest(t, p, c.excludedWorkers(t, p))
	share := p.shares[t.shareKey()]
	var batchFree, batchReserved, batchUnit int64
	if share != nil {
		batchFree, batchReserved, batchUnit = share.Available()
	}
	rejections := placement.CountRejections(p.workers, request, share)
	reservedOn, reservedFree := "", int64(0)
	if t.reservedOn != nil {
		reservedOn, reservedFree = t.reservedOn.worker.ID, t.reservedOn.free().MilliCPU
	}
	event.Log(c.opts.Logger, event.ServingTaskWaiting,
		slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number), slog.Uint64("run", t.run), slog.String("pool", name),
		slog.Int64("waited_ms", waited.Milliseconds()), slog.Int64("milli_cpu", t.step.Size.MilliCPU), slog.Int64("memory_mib", t.step.Size.MemoryMiB),
		slog.Int("admitted", rejections.Admitted), slog.Int("processors", rejections.Processors), slog.Int("memory", rejections.Memory), slog.Int("accelerators", rejections.Accelerators),
		slog.Int("label", rejections.Label), slog.Int("excluded", rejections.Excluded), slog.Int("held", rejections.ReservedForOthers), slog.Int("share", rejections.BatchReservation),
		slog.Int64("largest_admitted_milli_cpu", rejections.LargestAdmitted), slog.Int("unusable", c.unusableWorkers(name, p)),
		slog.Int("failed_on", len(t.avoid)), slog.Int64("share_room_milli_cpu", batchFree), slog.Int64("share_kept_milli_cpu", batchReserved), slog.Int64("share_unit_milli_cpu", batchUnit), slog.Int("idle", p.idleCapacity),
		slog.Int("set_aside", p.setAsideWorkers(t.step)), slog.String("reserved_on", reservedOn), slog.Int64("reserved_free_milli_cpu", reservedFree),
		slog.Int("reservations", len(c.reserved)), slog.Int("max_reservations", placement.MaxReserved(len(p.sessions))),
		c.unusableByReason(name, p, t.step))
}

// setAsideWorkers counts the workers of the pool on which a task of the step fits
// but for the capacity that is set aside for other tasks.
func (p *pool) setAsideWorkers(step *state.WorkflowStep) int {
	n := 0
	for i, s := range p.sessions {
		if size := step.Reservation(); size.FitsIn(s.free()) && !size.FitsIn(p.allWorkers[i].Free) {
			n++
		}
	}
	return n
}

// unusableByReason counts the workers of a pool that are excluded from the
// placement pass although a task of the step fits there, by reason.
func (c *Controller) unusableByReason(name string, p *pool, step *state.WorkflowStep) slog.Attr {
	counts := make(map[string]int)
	for _, s := range c.sessions {
		if _, usable := p.indexOf(s); s.worker.Pool == name && !usable && step.Reservation().FitsIn(s.free()) {
			counts[s.unusableReason(c, c.now())]++
		}
	}
	attrs := make([]any, 0, len(counts))
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		attrs = append(attrs, slog.Int(reason, counts[reason]))
	}
	return slog.Group("unusable_by", attrs...)
}

// logBestEffortWait logs what keeps the longest-waiting best-effort task from the
// workers of its pool: the bound that the least workers meet is the one to raise.
func (c *Controller) logBestEffortWait(name string, p *pool, t *task) {
	if t == nil || c.now()-t.waitingSince < occupancyLogInterval {
		return
	}
	r := placement.CountRejections(p.workers, c.placementRequest(t, p, c.excludedWorkers(t, p)), nil)
	var runs, withServing int
	var used, idle, reserved int64
	for _, w := range p.allWorkers {
		runs, used, idle, reserved = runs+w.BestEffort, used+w.BestEffortCPU, idle+max(0, w.IdleCPU), reserved+w.Capacity.MilliCPU-w.Free.MilliCPU
		if len(w.ServingGroups) > 0 {
			withServing++
		}
	}
	event.Log(c.opts.Logger, event.BestEffortTaskWaiting,
		slog.String("workflow", t.workflow.spec.ID), slog.Int("task", t.number), slog.String("pool", name), slog.String("image", t.step.Image),
		slog.Int64("waited_ms", (c.now()-t.waitingSince).Milliseconds()), slog.Int64("milli_cpu", t.step.Size.MilliCPU), slog.Int64("memory_mib", t.step.Size.MemoryMiB),
		slog.Int("admitted", r.Admitted), slog.Int("memory", r.Memory), slog.Int("idle_processors", r.IdleProcessors), slog.Int("interference", r.Interference),
		slog.Int("accelerators", r.Accelerators), slog.Int("label", r.Label), slog.Int("excluded", r.Excluded), slog.Int("held", r.ReservedForOthers),
		slog.Int("workers_with_serving_tasks", withServing), slog.Int("running", runs), slog.Int64("running_milli_cpu", used), slog.Int64("idle_milli_cpu", idle),
		slog.Int64("reserved_milli_cpu", reserved), slog.Int("idle_workflows", c.idleWorkflows(name, p)))
}

// idleWorkflows counts the workflows of a pool of which nothing has run for
// idleWorkflowLimit, although a best-effort task of them waits for a worker.
func (c *Controller) idleWorkflows(name string, p *pool) int {
	n := 0
	for _, f := range c.workflows {
		if f.spec.Pool == name && f.readyTasks > 0 && slices.ContainsFunc(f.tasks, func(t *task) bool {
			return t.step.BestEffort && t.idleFor(p.now) >= idleWorkflowLimit.Milliseconds()
		}) {
			n++
		}
	}
	return n
}

// unusableWorkers counts the workers of a pool that are excluded from the
// placement pass.
func (c *Controller) unusableWorkers(name string, p *pool) int {
	n := -len(p.sessions)
	for _, s := range c.sessions {
		if s.worker.Pool == name {
			n++
		}
	}
	return n
}

func (p *pool) occupancy() occupancy {
	o := occupancy{workers: len(p.sessions), reservedWorkers: len(p.reservedInPass)}
	for i, s := range p.sessions {
		free := max(0, s.free().MilliCPU) // negative after the capacity shrank
		o.capacity += s.worker.Capacity.MilliCPU
		o.free += free
		o.largestFree = max(o.largestFree, free)
		if p.reservedInPass[i] {
			o.reservedFree += free
		}
		for _, a := range s.attempts {
			if a.task.step.LongRunning {
				o.serving += a.reservation().MilliCPU
			}
		}
	}
	return o
}

func (c *Controller) waitingByPool(now time.Duration, occupancies map[string]occupancy) map[string][taskKinds]waitingDemand {
	waiting := make(map[string][taskKinds]waitingDemand)
	wall := c.opts.Clock.Now().UnixMilli()
	for _, f := range c.workflows {
		if f.readyTasks == 0 {
			continue
		}
		kinds := waiting[f.spec.Pool]
		largestFree := occupancies[f.spec.Pool].largestFree
		job := c.waitingJob(f, now)
		expired := job.Expired(wall)
		for _, t := range f.tasks {
			if t.phase != taskReady || !c.capAllows(t) { // a cap is no lack of capacity
				continue
			}
			d := &kinds[kindOf(t.step)]
			d.tasks++
			d.milliCPU += t.step.Size.MilliCPU
			d.longestWait = max(d.longestWait, now-t.waitingSince)
			if t.step.Reservation().MilliCPU <= largestFree {
				d.fitting++
			}
			if expired {
				d.expired++
			}
			if d.task == nil || t.logsBefore(d.task) {
				d.task = t
			}
		}
		waiting[f.spec.Pool] = kinds
	}
	return waiting
}

// logsBefore reports whether the log should name the waiting task rather than
// another: a task that ran before precedes one that did not, then the task that
// has waited longer.
func (t *task) logsBefore(other *task) bool {
	if t.ranBefore() != other.ranBefore() {
		return t.ranBefore()
	}
	return t.waitingSince < other.waitingSince
}

// logLateWorkflows logs each workflow that has missed its objective, once.
func (c *Controller) logLateWorkflows() {
	wall, now := c.opts.Clock.Now().UnixMilli(), c.now()
	for _, f := range c.workflows {
		if f.late || wall <= f.deadline || f.spec.Occurrences > 0 || f.hasServingTasks() {
			continue
		}
		f.late = true
		var done, running, waiting int
		var longestWait time.Duration
		for _, t := range f.tasks {
			switch t.phase {
			case taskDone:
				done++
			case taskOnWorker:
				running++
			case taskReady:
				waiting++
				longestWait = max(longestWait, now-t.waitingSince)
			}
		}
		c.metrics.late.WithLabelValues(f.queue, strconv.FormatBool(waiting > 0)).Inc()
		event.Log(c.opts.Logger, event.WorkflowMissedObjective, slog.String("workflow", f.spec.ID), slog.String("queue", f.queue),
			slog.String("pool", f.spec.Pool), slog.Int("tasks", len(f.tasks)), slog.Int("done", done), slog.Int("running", running), slog.Int("waiting", waiting),
			slog.Int64("work_milli_cpu_ms", totalWork(f.spec)), slog.Int64("largest_milli_cpu", largestTaskCPU(f.spec)),
			slog.Int64("longest_wait_ms", longestWait.Milliseconds()), slog.Int64("objective_ms", f.deadline-f.submittedAt),
			slog.Int64("held_ms", (now-c.activatedAt).Milliseconds()))
	}
}

// hasServingTasks reports whether the workflow has serving tasks, which run
// indefinitely.
func (f *workflow) hasServingTasks() bool {
	for i := range f.spec.Steps {
		if f.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// totalWork returns the estimated work of all tasks, in thousandths of a
// processor times milliseconds.
func totalWork(spec *state.WorkflowSpec) int64 {
	total := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		total += int64(s.Count) * s.Size.MilliCPU * s.EstimateMillis
	}
	return total
}

// largestTaskCPU returns the CPU request of the largest task, in thousandths of
// a processor.
func largestTaskCPU(spec *state.WorkflowSpec) int64 {
	largest := int64(0)
	for i := range spec.Steps {
		largest = max(largest, spec.Steps[i].Size.MilliCPU)
	}
	return largest
}
