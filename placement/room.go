package placement

import (
	"cmp"
	"slices"

	"apricotrouter/state"
)

const (
	// unknownRunTime is assumed for a task that declares none and whose class
	// has not been observed, in milliseconds.
	unknownRunTime = 3_600_000
	// stopTime is how long a checkpoint and stop are expected to take, in
	// milliseconds.
	stopTime = 2000
	// reserveAfter is how long a task waits before a worker is reserved for
	// it, in milliseconds.
	reserveAfter = 2000
	// strictAfter is how long a task waits before its reserved worker takes
	// nothing else, so that wrong run times can't starve it, in milliseconds.
	strictAfter = 300_000
)

// reservation keeps a worker for a blocked task.
type reservation struct {
	task *state.Task
	// at is when the worker is expected to have room, in Unix milliseconds.
	at int64
	// spare is what will be left then beside the blocked task.
	spare  state.Resources
	strict bool
}

// admits reports whether the task may use the worker without delaying the
// blocked one: it ends before, or fits beside it.
func (r *reservation) admits(p *plan, t *state.Task, size state.Resources) bool {
	if t.ID == r.task.ID {
		return true
	}
	if r.strict || t.Kind == state.KindLatencyCritical {
		return false
	}
	return p.now+p.runTime(t) <= r.at || size.Fits(r.spare)
}

// resident is a task that holds a reservation on a worker.
type resident struct {
	task *state.Task
	end  int64 // when it is expected to have ended, in Unix milliseconds
}

// residents returns the tasks on the worker in the order of their expected ends.
func (p *plan) residents(i int) []resident {
	if p.residentsOf == nil {
		p.residentsOf = make([][]resident, len(p.view.workers))
	}
	if p.residentsOf[i] != nil {
		return p.residentsOf[i]
	}
	all := []resident{}
	for t := range p.s.TasksOnWorker(p.view.workers[i].worker.ID) {
		all = append(all, resident{task: t, end: p.expectedEnd(t)})
	}
	slices.SortStableFunc(all, func(a, b resident) int { return cmp.Compare(a.end, b.end) })
	p.residentsOf[i] = all
	return all
}

const never = int64(1) << 62

// expectedEnd returns when the task will probably release its worker. A task
// that runs longer than expected is taken to run for half as long again.
func (p *plan) expectedEnd(t *state.Task) int64 {
	switch {
	case t.Phase == state.PhaseStopping || p.stopped[t.ID]:
		return p.now + stopTime
	case t.Kind == state.KindLatencyCritical:
		return never
	case t.StartedAt == 0:
		return p.now + p.runTime(t)
	}
	end := t.StartedAt + p.runTime(t)
	if end <= p.now {
		end = p.now + (p.now-t.StartedAt)/2
	}
	return end
}

// makeRoom reserves a worker for a task that fits nowhere now, and evicts
// tasks of lower ranks for a replica or an urgent task. It reports whether the
// task will have room.
func (p *plan) makeRoom(t *state.Task, size state.Resources) bool {
	urgent := t.Rank() <= state.RankUrgent
	if urgent && p.useSpare(size) {
		return true
	}
	if urgent && p.blockedUrgent >= maxBlockedUrgent || !urgent && p.blocked >= maxBlocked {
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
	return p.findRoom(t, size, urgent)
}

// useSpare uses what an earlier reservation leaves over, and reports whether
// there was enough.
func (p *plan) useSpare(size state.Resources) bool {
	for _, r := range p.soon {
		if size.Fits(r.spare) {
			r.spare = r.spare.Sub(size)
			return true
		}
	}
	return false
}

func (p *plan) findRoom(t *state.Task, size state.Resources, urgent bool) bool {
	i, at := p.soonest(t, size)
	if urgent && (i < 0 || at > p.now+stopTime) {
		if j, victims := p.cheapestPreemption(t, size); j >= 0 {
			p.preempt(t, victims)
			i, at = j, p.now+stopTime
		}
	}
	if i < 0 {
		return false
	}
	p.reserve(t, size, i, at)
	return true
}

func (p *plan) reserve(t *state.Task, size state.Resources, i int, at int64) {
	w := &p.view.workers[i]
	room := w.free
	for _, r := range p.residents(i) {
		if r.end <= at || p.stopped[r.task.ID] {
			room = room.Add(r.task.Resources)
		}
	}
	w.reserved = &reservation{task: t, at: at, spare: room.Sub(size), strict: p.now-t.QueuedAt >= strictAfter}
	if at <= p.now+stopTime {
		p.soon = append(p.soon, w.reserved)
	}
}

// candidate reports whether the worker could hold the task if it were empty.
func (p *plan) candidate(t *state.Task, i int, size state.Resources) bool {
	w := &p.view.workers[i]
	return w.usable && !w.single && w.reserved == nil &&
		p.view.zones[w.zone].allowance != 0 &&
		size.Fits(w.worker.Capacity) && !failedOn(t, w.worker.ID)
}

// soonest returns the worker that is expected to have room first, and when.
func (p *plan) soonest(t *state.Task, size state.Resources) (int, int64) {
	best, bestAt := -1, never
	for i := range p.view.workers {
		if !p.candidate(t, i, size) {
			continue
		}
		room := p.view.workers[i].free
		for _, r := range p.residents(i) {
			if r.end >= bestAt {
				break
			}
			room = room.Add(r.task.Resources)
			if size.Fits(room) {
				best, bestAt = i, r.end
				break
			}
		}
	}
	return best, bestAt
}

// cheapestPreemption returns the worker on which evicting the fewest tasks of
// lower ranks makes room, and these tasks.
func (p *plan) cheapestPreemption(t *state.Task, size state.Resources) (int, []*state.Task) {
	best, fewest := -1, []*state.Task(nil)
	for i := range p.view.workers {
		if !p.candidate(t, i, size) {
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

// victims returns tasks of lower ranks on a worker whose eviction makes room:
// lowest rank first, then largest first.
func (p *plan) victims(t *state.Task, i int, size state.Resources) ([]*state.Task, bool) {
	room := p.view.workers[i].free
	var lower []*state.Task
	for _, r := range p.residents(i) {
		switch {
		case r.task.Phase == state.PhaseStopping || p.stopped[r.task.ID]:
			room = room.Add(r.task.Resources)
		case r.task.Rank() > t.Rank():
			lower = append(lower, r.task)
		}
	}
	slices.SortStableFunc(lower, func(a, b *state.Task) int {
		if c := cmp.Compare(b.Rank(), a.Rank()); c != 0 {
			return c
		}
		return cmp.Compare(fraction(b.Resources, size), fraction(a.Resources, size))
	})
	for n, v := range lower {
		if size.Fits(room) {
			return lower[:n], true
		}
		room = room.Add(v.Resources)
	}
	return lower, size.Fits(room)
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

// size returns the resources to plan with. A corrected size that no worker
// could hold would keep the task waiting forever, so then the declared one is
// used.
func (p *plan) size(t *state.Task) state.Resources {
	size := p.obs.Estimates.Size(t)
	if size == t.Resources || size.Fits(p.view.largest) {
		return size
	}
	return t.Resources
}
