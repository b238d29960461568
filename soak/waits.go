package soak

import (
	"slices"
	"time"

	"apricotrouter/fleet"
	"apricotrouter/state"
)

const (
	// servingWait is the maximum time that a serving task may be without a run
	// while capacity is free, from the service terms.
	servingWait = 6 * time.Second
	// lostAfter is how long work may wait beside free capacity, for serving tasks in
	// addition to servingWait.
	lostAfter = 3 * time.Second
	// undisturbedTime is how long no fault may have been active for a wait to count:
	// a worker's lease, an election and the placement that follows.
	undisturbedTime = 7 * time.Second
)

// span is a time from one moment until before another; a zero end means that it
// has not ended.
type span struct{ from, to time.Time }

func (s span) contains(t time.Time) bool {
	return !t.Before(s.from) && (s.to.IsZero() || t.Before(s.to))
}

// usage is what one run occupies on its worker.
type usage struct {
	span
	worker   string
	tenant   string // its key
	reserved state.Resources
}

// history is what the check of waits knows of a run.
type history struct {
	up           map[string][]span // the lifetimes of each worker's incarnations
	usages       []usage
	disturbances []span // faults on control instances and workers
}

// free returns how many tasks of a size fit on the workers that are up at a moment,
// and whether less than half of their capacity is reserved.
func (h *history) free(at time.Time, size state.Resources) (fitting int64, unreserved bool) {
	reserved := make(map[string]state.Resources)
	for _, u := range h.usages {
		if u.contains(at) {
			r := reserved[u.worker]
			reserved[u.worker] = state.Resources{MilliCPU: r.MilliCPU + u.reserved.MilliCPU, MemoryMiB: r.MemoryMiB + u.reserved.MemoryMiB}
		}
	}
	var total, used state.Resources
	for worker, lifetimes := range h.up {
		if !slices.ContainsFunc(lifetimes, func(s span) bool { return s.contains(at) }) {
			continue
		}
		r := reserved[worker]
		cpu, memory := workerCapacity.MilliCPU-r.MilliCPU, workerCapacity.MemoryMiB-r.MemoryMiB
		fitting += max(0, min(cpu/size.MilliCPU, memory/size.MemoryMiB))
		total.MilliCPU, total.MemoryMiB = total.MilliCPU+workerCapacity.MilliCPU, total.MemoryMiB+workerCapacity.MemoryMiB
		used.MilliCPU, used.MemoryMiB = used.MilliCPU+r.MilliCPU, used.MemoryMiB+r.MemoryMiB
	}
	return fitting, 2*used.MilliCPU < total.MilliCPU && 2*used.MemoryMiB < total.MemoryMiB
}

// fitsTwice reports whether two tasks of the size of all tasks fit at a moment.
func (h *history) fitsTwice(at time.Time) bool {
	fitting, _ := h.free(at, taskSize)
	return fitting >= 2
}

// mostlyFree reports whether two tasks fit at a moment, into the cap of a tenant as
// well, and less than half of the capacity is reserved. cap 0 means none.
func (h *history) mostlyFree(at time.Time, tenant string, capMilliCPU int64) bool {
	running := int64(0)
	for _, u := range h.usages {
		if u.tenant == tenant && u.contains(at) {
			running += taskMilliCPU
		}
	}
	fitting, unreserved := h.free(at, taskSize)
	return fitting >= 2 && unreserved && (capMilliCPU == 0 || running+2*taskMilliCPU <= capMilliCPU)
}

// lostAt returns the first moment in a wait, which has an end, at which free has
// held for lostAfter and no fault has been active for undisturbedTime, or zero.
func (h *history) lostAt(wait span, free func(time.Time) bool) time.Time {
	wait.from = h.undisturbedFrom(wait.from.Add(lostAfter)).Add(-lostAfter) // earlier moments can't count
	if wait.to.Sub(wait.from) < lostAfter {
		return time.Time{}
	}
	changes := []time.Time{wait.from} // free does not change between two of these
	add := func(s span) {
		for _, t := range []time.Time{s.from, s.to} {
			if wait.contains(t) {
				changes = append(changes, t)
			}
		}
	}
	for _, u := range h.usages {
		add(u.span)
	}
	for _, lifetimes := range h.up {
		for _, s := range lifetimes {
			add(s)
		}
	}
	slices.SortFunc(changes, time.Time.Compare)
	var since time.Time // free since then; zero if it is not
	for i, t := range changes {
		end := wait.to
		if i+1 < len(changes) {
			end = changes[i+1]
		}
		switch {
		case !free(t):
			since = time.Time{}
			continue
		case since.IsZero():
			since = t
		}
		if at := h.undisturbedFrom(since.Add(lostAfter)); !at.After(end) {
			return at
		}
	}
	return time.Time{}
}

// undisturbedFrom returns the first moment from t on at which no fault has been
// active for undisturbedTime.
func (h *history) undisturbedFrom(t time.Time) time.Time {
	const never = 24 * time.Hour
	ordered := slices.SortedFunc(slices.Values(h.disturbances), func(a, b span) int { return a.from.Compare(b.from) })
	for _, d := range ordered {
		switch {
		case d.from.After(t):
			return t
		case d.to.IsZero():
			return t.Add(never)
		}
		t = laterOf(t, d.to.Add(undisturbedTime))
	}
	return t
}

// lostServingTask returns the first moment at which a serving task with the given
// runs was lost, or zero. Its job was cancelled at until. A task that has never run
// is not lost: the service terms count from the end of a run.
func (h *history) lostServingTask(runs []span, until time.Time) time.Time {
	slices.SortFunc(runs, func(a, b span) int { return a.from.Compare(b.from) })
	for i, r := range runs {
		next := until
		if i+1 < len(runs) {
			next = earlierOf(next, runs[i+1].from)
		}
		if r.to.IsZero() {
			continue
		}
		if at := h.lostAt(span{r.to.Add(servingWait), next}, h.fitsTwice); !at.IsZero() {
			return at
		}
	}
	return time.Time{}
}

// lostJob returns the first moment at which nothing of a job had run for wait and
// lostAfter, or zero. runs are all runs of the job, and a task's turn has come for
// the whole of due.
func (h *history) lostJob(runs []span, due span, wait time.Duration, free func(time.Time) bool) time.Time {
	slices.SortFunc(runs, func(a, b span) int { return a.from.Compare(b.from) })
	idle := due.from // nothing has run since then
	for _, r := range append(runs, span{from: due.to}) {
		if at := h.lostAt(span{idle.Add(wait), earlierOf(r.from, due.to)}, free); !at.IsZero() {
			return at
		}
		if r.to.IsZero() {
			break
		}
		idle = laterOf(idle, r.to)
	}
	return time.Time{}
}

// history returns what the records of the workers and the faults say of the run.
func (r *run) history(runs map[fleet.TaskPosition][]record) *history {
	h := &history{up: make(map[string][]span), disturbances: slices.Clone(r.disturbances)}
	for _, w := range r.workers {
		for i, l := range w.incarnations {
			started := time.UnixMilli(l.startedAt)
			if i > 0 { // a worker that is down is a fault, also if one of its tasks crashed it
				h.disturbances = append(h.disturbances, span{w.incarnations[i-1].endedAt, started})
			}
			h.up[w.id] = append(h.up[w.id], span{started, l.endedAt})
		}
	}
	for p, all := range runs {
		j := r.jobs[p.Workflow]
		if j == nil || p.Step >= len(j.steps) {
			continue // reported by checkTask
		}
		for _, rec := range all {
			h.usages = append(h.usages, usage{span{rec.Started, rec.Ended}, rec.Worker, j.key, j.steps[p.Step].Reservation()})
		}
	}
	return h
}

// checkWaits checks that no accepted work waited while capacity was free for it.
func (r *run) checkWaits(runs map[fleet.TaskPosition][]record) {
	h, observed := r.history(runs), time.Now()
	caps := make(map[string]int64)
	for _, t := range tenants {
		caps[t.Key] = t.CapMilliCPU
	}
	taskRuns, jobRuns := make(map[fleet.TaskPosition][]span), make(map[string][]span)
	for p, all := range runs {
		for _, rec := range all {
			taskRuns[p] = append(taskRuns[p], span{rec.Started, rec.Ended})
		}
		jobRuns[p.Workflow] = append(jobRuns[p.Workflow], taskRuns[p]...)
	}
	for _, j := range r.jobs {
		if !j.accepted {
			continue
		}
		until, wait := observed, time.Duration(0)
		if !j.cancelSent.IsZero() {
			until = j.cancelSent
		}
		due := span{j.acceptedAt, until}
		if j.serves() {
			wait = servingWait
			for _, s := range jobRuns[j.id] {
				due.to = earlierOf(due.to, s.from) // what follows is checked by task
			}
			for i := range j.steps[0].Count {
				p := fleet.TaskPosition{Workflow: j.id, Index: i}
				if at := h.lostServingTask(taskRuns[p], until); !at.IsZero() {
					r.report("serving task %v has no run at %s, but capacity is free for two: %+v", p, at.Format(clockFormat), runs[p])
				}
			}
		} else if j.phase != "" {
			due.to = earlierOf(due.to, lastStart(jobRuns[j.id])) // no task's turn comes later
		}
		free := func(at time.Time) bool { return h.mostlyFree(at, j.key, caps[j.key]) }
		if at := h.lostJob(jobRuns[j.id], due, wait, free); !at.IsZero() {
			r.report("job %s (%s) has nothing running at %s, but most capacity is not reserved: accepted at %s, %d runs, cancelled %t",
				j.id, j.phase, at.Format(clockFormat), j.acceptedAt.Format(clockFormat), len(jobRuns[j.id]), j.cancelled)
		}
	}
}

func lastStart(runs []span) time.Time {
	var last time.Time
	for _, s := range runs {
		last = laterOf(last, s.from)
	}
	return last
}
