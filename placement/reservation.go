package placement

import (
	"cmp"
	"slices"

	"apricotrouter/state"
)

const (
	// unknownRunTime is the run time assumed for a task that declares none and
	// whose class was not observed, in milliseconds.
	unknownRunTime = 3_600_000
	// stopDuration is the expected duration of a checkpoint and stop, in
	// milliseconds.
	stopDuration = 2000
	// reserveAfter is how long a task waits before a worker is reserved for it,
	// in milliseconds.
	reserveAfter = 2000
	// exclusiveAfter is how long a task waits before its reserved worker
	// accepts no other task, in milliseconds. This prevents starvation if
	// declared run times are wrong.
	exclusiveAfter = 300_000
)

// reservation reserves a worker for a blocked task.
type reservation struct {
	task *state.Task
	// availableAt is when the worker is expected to have enough free capacity,
	// in Unix milliseconds.
	availableAt int64
	// spare is the capacity that will then remain next to the blocked task.
	spare     state.Resources
	exclusive bool
}

// admits reports whether the task may use the worker without delaying the
// blocked task: it ends before availableAt, or fits into the spare capacity.
func (r *reservation) admits(p *plan, t *state.Task, size state.Resources) bool {
	if t.ID == r.task.ID {
		return true
	}
	if r.exclusive || t.Kind == state.KindLatencyCritical {
		return false
	}
	return p.now+p.runTime(t) <= r.availableAt || size.FitsIn(r.spare)
}

// resident is a task with a reservation on a worker.
type resident struct {
	task *state.Task
	end  int64 // expected end, in Unix milliseconds
}

// residents returns the tasks on the worker, sorted by their expected ends.
func (p *plan) residents(i int) []resident {
	if p.residentsByWorker == nil {
		p.residentsByWorker = make([][]resident, len(p.view.workers))
	}
	if p.residentsByWorker[i] != nil {
		return p.residentsByWorker[i]
	}
	all := []resident{}
	for t := range p.s.TasksOnWorker(p.view.workers[i].worker.ID) {
		all = append(all, resident{task: t, end: p.expectedEnd(t)})
	}
	slices.SortStableFunc(all, func(a, b resident) int { return cmp.Compare(a.end, b.end) })
	p.residentsByWorker[i] = all
	return all
}

const noExpectedEnd = int64(1) << 62

// expectedEnd returns when the task is expected to release its worker, in Unix
// milliseconds. For a task that has exceeded its expected run time, the
// remaining time is estimated as half of its run time so far.
func (p *plan) expectedEnd(t *state.Task) int64 {
	switch {
	case t.Phase == state.PhaseStopping || p.stopped[t.ID]:
		return p.now + stopDuration
	case t.Kind == state.KindLatencyCritical:
		return noExpectedEnd
	case t.StartedAt == 0:
		return p.now + p.runTime(t)
	}
	end := t.StartedAt + p.runTime(t)
	if end <= p.now {
		end = p.now + (p.now-t.StartedAt)/2
	}
	return end
}

// reserveCapacity reserves a worker for a task that does not fit on any worker
// now. For a replica or an urgent task it may also evict tasks of lower ranks.
// It reports whether capacity for the task is reserved.
func (p *plan) reserveCapacity(t *state.Task, size state.Resources) bool {
	urgent := t.Rank() <= state.RankUrgent
	if urgent && p.claimSpare(size) {
		return true
	}
	if urgent && p.blockedUrgent >= maxBlockedUrgent || !urgent && p.blocked >= maxBlockedJobs {
		return false
	}
	if !urgent && p.now-t.QueuedAt < reserveAfter {
		return false
	}
	if urgent {
		p.blockedUrgent++
	} else {
		p.blocked++
	}
	return p.reserveOrPreempt(t, size, urgent)
}

// claimSpare claims spare capacity of an earlier reservation that becomes
// available soon, and reports whether there was enough.
func (p *plan) claimSpare(size state.Resources) bool {
	for _, r := range p.imminent {
		if size.FitsIn(r.spare) {
			r.spare = r.spare.Sub(size)
			return true
		}
	}
	return false
}

func (p *plan) reserveOrPreempt(t *state.Task, size state.Resources, urgent bool) bool {
	i, at := p.earliestWorker(t, size)
	if urgent && (i < 0 || at > p.now+stopDuration) {
		if j, victims := p.cheapestPreemption(t, size); j >= 0 {
			p.preempt(t, victims)
			i, at = j, p.now+stopDuration
		}
	}
	if i < 0 {
		return false
	}
	p.reserve(t, size, i, at)
	return true
}

func (p *plan) reserve(t *state.Task, size state.Resources, i int, availableAt int64) {
	w := &p.view.workers[i]
	available := w.free
	for _, r := range p.residents(i) {
		if r.end <= availableAt || p.stopped[r.task.ID] {
			available = available.Add(r.task.Resources)
		}
	}
	w.reserved = &reservation{task: t, availableAt: availableAt, spare: available.Sub(size), exclusive: p.now-t.QueuedAt >= exclusiveAfter}
	if availableAt <= p.now+stopDuration {
		p.imminent = append(p.imminent, w.reserved)
	}
}

// isCandidate reports whether the worker could run the task if it were empty.
func (p *plan) isCandidate(t *state.Task, i int, size state.Resources) bool {
	w := &p.view.workers[i]
	return w.usable && !w.probing && w.reserved == nil &&
		p.view.zones[w.zone].allowance != 0 &&
		size.FitsIn(w.worker.Capacity) && !failedOn(t, w.worker.ID)
}

// earliestWorker returns the worker that is expected to have enough free
// capacity first, and when, in Unix milliseconds.
func (p *plan) earliestWorker(t *state.Task, size state.Resources) (int, int64) {
	best, bestAt := -1, noExpectedEnd
	for i := range p.view.workers {
		if !p.isCandidate(t, i, size) {
			continue
		}
		available := p.view.workers[i].free
		for _, r := range p.residents(i) {
			if r.end >= bestAt {
				break
			}
			available = available.Add(r.task.Resources)
			if size.FitsIn(available) {
				best, bestAt = i, r.end
				break
			}
		}
	}
	return best, bestAt
}

// cheapestPreemption returns the worker on which the fewest tasks of lower
// ranks have to be evicted to place the task, and these tasks.
func (p *plan) cheapestPreemption(t *state.Task, size state.Resources) (int, []*state.Task) {
	best, fewest := -1, []*state.Task(nil)
	for i := range p.view.workers {
		if !p.isCandidate(t, i, size) {
			continue
		}
		victims, ok := p.victims(t, i, size)
		if ok && (best < 0 || len(victims) < len(fewest)) {
			best, fewest = i, victims
		}
	}
	if best < 0 || p.preempted+len(fewest) > p.MaxPreemptions {
		return -1, nil
	}
	return best, fewest
}

// victims returns the tasks of lower ranks on a worker that have to be evicted
// to place the task, lowest rank first and then largest first. It reports
// whether that frees enough capacity.
func (p *plan) victims(t *state.Task, i int, size state.Resources) ([]*state.Task, bool) {
	available := p.view.workers[i].free
	var lower []*state.Task
	for _, r := range p.residents(i) {
		switch {
		case r.task.Phase == state.PhaseStopping || p.stopped[r.task.ID]:
			available = available.Add(r.task.Resources)
		case r.task.Rank() > t.Rank():
			lower = append(lower, r.task)
		}
	}
	slices.SortStableFunc(lower, func(a, b *state.Task) int {
		if c := cmp.Compare(b.Rank(), a.Rank()); c != 0 {
			return c
		}
		return cmp.Compare(dominantFraction(b.Resources, size), dominantFraction(a.Resources, size))
	})
	for n, v := range lower {
		if size.FitsIn(available) {
			return lower[:n], true
		}
		available = available.Add(v.Resources)
	}
	return lower, size.FitsIn(available)
}

func (p *plan) preempt(t *state.Task, victims []*state.Task) {
	for _, v := range victims {
		p.stop(v, state.StopEvict, reasonPreemption+"makes room for "+t.ID)
	}
	p.preempted += len(victims)
}

// runTime returns the expected run time of a task in milliseconds.
func (p *plan) runTime(t *state.Task) int64 {
	if d := p.obs.Estimates.RunTime(t); d > 0 {
		return d
	}
	return unknownRunTime
}

// size returns the resources to plan with. If the corrected size exceeds every
// worker, the declared size is used, because the task would otherwise wait
// forever.
func (p *plan) size(t *state.Task) state.Resources {
	size := p.obs.Estimates.Size(t)
	if size == t.Resources || size.FitsIn(p.view.largest) {
		return size
	}
	return t.Resources
}
