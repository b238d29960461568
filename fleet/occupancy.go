package fleet

import (
	"log/slog"
	"strconv"
	"time"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/state"
)

// occupancyInterval is how often the room of pools is logged at most: often
// enough to tell what a workflow waited for, whose objective is seconds.
const occupancyInterval = time.Second

// taskKind tells tasks apart by the room that they need.
type taskKind uint8

const (
	kindServing  taskKind = iota // reserve processors without an end
	kindBatch                    // reserve processors and end
	kindLeftover                 // reserve no processors
	taskKinds
)

var taskKindNames = [taskKinds]string{"serving", "batch", "leftover"}

func kindOf(s *state.WorkflowStep) taskKind {
	switch {
	case s.LongRunning:
		return kindServing
	case s.Leftover:
		return kindLeftover
	}
	return kindBatch
}

// demand is tasks that wait for a worker.
type demand struct {
	tasks    int
	milliCPU int64
	longest  time.Duration // that one of them has waited
	task     *task         // which has waited longest, of those that ran before if there are any
}

// occupancy is how the processors of a pool's usable workers are used, in
// thousandths.
type occupancy struct {
	workers                              int
	capacity, serving, free, largestFree int64
	// held are workers that are kept for serving tasks, with heldFree of free.
	held     int
	heldFree int64
	waiting  [taskKinds]demand
}

// reportRoom sets the gauges of the pools after a round, and logs those whose
// tasks wait.
func (c *Controller) reportRoom(pools map[string]*pool) {
	now := c.now()
	if now < c.nextReport {
		return
	}
	c.nextReport = now + occupancyInterval
	waiting := c.waitingByPool(now)
	for name, p := range pools {
		o := p.occupancy()
		o.waiting = waiting[name]
		c.metrics.occupied(name, o)
		if o.waiting == [taskKinds]demand{} {
			continue
		}
		attrs := []slog.Attr{
			slog.String("pool", name), slog.Int("workers", o.workers), slog.Int64("milli_cpu", o.capacity),
			slog.Int64("serving_milli_cpu", o.serving), slog.Int64("free_milli_cpu", o.free),
			slog.Int64("largest_free_milli_cpu", o.largestFree), slog.Int("held", o.held), slog.Int64("held_milli_cpu", o.heldFree),
		}
		for k, d := range o.waiting {
			attrs = append(attrs, slog.Group(taskKindNames[k], slog.Int("waiting", d.tasks),
				slog.Int64("milli_cpu", d.milliCPU), slog.Int64("longest_ms", d.longest.Milliseconds())))
		}
		event.Log(c.opts.Logger, event.PoolRoom, attrs...)
		c.reportServingWait(name, p, o.waiting[kindServing].task)
	}
}

// reportServingWait logs what keeps a serving task that waits off the workers of
// its pool.
func (c *Controller) reportServingWait(name string, p *pool, t *task) {
	if t == nil {
		return
	}
	waited := c.now() - t.readyAt
	if !placement.NearlyOverdue(waited.Milliseconds()) {
		return
	}
	request, _ := c.poolTask(t, p, c.barred(t, p))
	share := p.shares[t.flow.spec.Priority]
	var room, kept int64
	if share != nil {
		room, kept = share.Room()
	}
	n := placement.Refuse(p.rooms, request, share)
	event.Log(c.opts.Logger, event.ServingTaskWaits,
		slog.String("workflow", t.flow.spec.ID), slog.Int("task", t.number), slog.Uint64("run", t.run), slog.String("pool", name),
		slog.Int64("waited_ms", waited.Milliseconds()), slog.Int64("milli_cpu", t.step.Size.MilliCPU), slog.Int64("memory_mib", t.step.Size.MemoryMiB),
		slog.Int("admitted", n.Admitted), slog.Int("processors", n.Processors), slog.Int("memory", n.Memory), slog.Int("accelerators", n.Accelerators),
		slog.Int("label", n.Label), slog.Int("excluded", n.Excluded), slog.Int("held", n.Held), slog.Int("share", n.Share),
		slog.Int64("largest_admitted_milli_cpu", n.LargestAdmitted), slog.Int("unusable", c.unusableWorkers(name, p)),
		slog.Int("failed_on", len(t.avoid)), slog.Int64("share_room_milli_cpu", room), slog.Int64("share_kept_milli_cpu", kept), slog.Int("idle", p.idle))
}

// unusableWorkers counts the workers of a pool that are left out of a round.
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
	o := occupancy{workers: len(p.sessions), held: len(p.keptFor)}
	for i, s := range p.sessions {
		free := s.free().MilliCPU
		o.capacity += s.worker.Capacity.MilliCPU
		o.free += free
		o.largestFree = max(o.largestFree, free)
		if p.keptFor[i] {
			o.heldFree += free
		}
		for _, a := range s.attempts {
			if a.task.step.LongRunning {
				o.serving += a.reserves().MilliCPU
			}
		}
	}
	return o
}

func (c *Controller) waitingByPool(now time.Duration) map[string][taskKinds]demand {
	waiting := make(map[string][taskKinds]demand)
	for _, f := range c.flows {
		if f.ready == 0 {
			continue
		}
		kinds := waiting[f.spec.Pool]
		for _, t := range f.tasks {
			if t.phase != taskReady {
				continue
			}
			d := &kinds[kindOf(t.step)]
			d.tasks++
			d.milliCPU += t.step.Size.MilliCPU
			d.longest = max(d.longest, now-t.readyAt)
			if d.task == nil || t.missedMore(d.task) {
				d.task = t
			}
		}
		waiting[f.spec.Pool] = kinds
	}
	return waiting
}

// missedMore reports whether a waiting task is missed more than another: one
// that ran before more than one that did not, and otherwise the earlier one.
func (t *task) missedMore(other *task) bool {
	if t.ranBefore() != other.ranBefore() {
		return t.ranBefore()
	}
	return t.readyAt < other.readyAt
}

// reportLate logs workflows that have missed their objective, each once.
func (c *Controller) reportLate() {
	wall, now := c.opts.Clock.Now().UnixMilli(), c.now()
	for _, f := range c.flows {
		if f.late || wall <= f.deadline || f.spec.Occurrences > 0 || f.endless() {
			continue
		}
		f.late = true
		var done, running, waiting int
		var longest time.Duration
		for _, t := range f.tasks {
			switch t.phase {
			case taskDone:
				done++
			case taskOnWorker:
				running++
			case taskReady:
				waiting++
				longest = max(longest, now-t.readyAt)
			}
		}
		c.metrics.late.WithLabelValues(f.queue, strconv.FormatBool(waiting > 0)).Inc()
		event.Log(c.opts.Logger, event.WorkflowLate, slog.String("workflow", f.spec.ID), slog.String("queue", f.queue),
			slog.String("pool", f.spec.Pool), slog.Int("tasks", len(f.tasks)), slog.Int("done", done), slog.Int("running", running), slog.Int("waiting", waiting),
			slog.Int64("work_milli_cpu_ms", workOf(f.spec)), slog.Int64("largest_milli_cpu", largestOf(f.spec)),
			slog.Int64("longest_wait_ms", longest.Milliseconds()), slog.Int64("objective_ms", f.deadline-f.submittedAt),
			slog.Int64("held_ms", (now-c.takeover).Milliseconds()))
	}
}

// endless reports whether the workflow has serving tasks, which have no end.
func (f *flow) endless() bool {
	for i := range f.spec.Steps {
		if f.spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// workOf returns the estimated work of all tasks in thousandths of a processor
// times milliseconds.
func workOf(spec *state.WorkflowSpec) int64 {
	total := int64(0)
	for i := range spec.Steps {
		s := &spec.Steps[i]
		total += int64(s.Count) * s.Size.MilliCPU * s.EstimateMillis
	}
	return total
}

// largestOf returns the processors of the largest task, in thousandths.
func largestOf(spec *state.WorkflowSpec) int64 {
	most := int64(0)
	for i := range spec.Steps {
		most = max(most, spec.Steps[i].Size.MilliCPU)
	}
	return most
}
