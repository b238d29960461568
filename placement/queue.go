package placement

import (
	"cmp"
	"slices"

	"apricotrouter/state"
)

const (
	// maxScannedTasks limits the pending tasks that one plan examines.
	maxScannedTasks = 4096
	// maxBlockedJobs limits the blocked jobs for which one plan searches for
	// capacity. maxBlockedUrgent limits the replicas and urgent tasks, which
	// are counted one by one.
	maxBlockedJobs   = 16
	maxBlockedUrgent = 128
	// failureBackoff is the delay after the first failure of a task, in
	// milliseconds. It doubles with every failure up to maxFailureBackoff.
	failureBackoff    = 1000
	maxFailureBackoff = 60_000
)

// teamUsage is the resources reserved by a team, including the placements of
// the plan.
type teamUsage struct {
	used   state.Resources
	quota  state.Resources
	weight float64
}

// openQueue is a queue from which pending tasks are being placed.
type openQueue struct {
	cursor *state.QueueCursor
	team   *teamUsage
}

// placePending places pending tasks. Ranks are strictly ordered. Within a rank,
// the next task is always one of the team with the smallest dominant share.
func (p *plan) placePending() {
	queues := p.s.PendingQueues()
	teams := make(map[string]*teamUsage)
	for rank := state.RankLatencyCritical; rank <= state.RankLow; rank++ {
		var active []*openQueue
		for _, q := range queues {
			if q.Rank == rank {
				active = append(active, p.newOpenQueue(q, teams))
			}
		}
		p.placeRank(active)
	}
}

func (p *plan) placeRank(active []*openQueue) {
	for len(active) > 0 && p.scanned < maxScannedTasks && len(p.placements) < p.MaxPlacements {
		p.scanned++
		q := slices.MinFunc(active, func(a, b *openQueue) int {
			return cmp.Compare(p.dominantShare(a.team), p.dominantShare(b.team))
		})
		t := q.cursor.Next()
		if t == nil {
			active = slices.DeleteFunc(active, func(o *openQueue) bool { return o == q })
			continue
		}
		p.placeTask(q, t)
	}
}

func (p *plan) newOpenQueue(q state.Queue, teams map[string]*teamUsage) *openQueue {
	u := teams[q.Team]
	if u == nil {
		u = &teamUsage{used: p.s.TeamUsed(q.Team), weight: 1}
		if team, ok := p.s.Teams.Get(q.Team); ok {
			u.quota, u.weight = team.Quota, float64(max(1, team.Weight))
		}
		teams[q.Team] = u
	}
	return &openQueue{cursor: p.s.Pending(q), team: u}
}

// dominantShare returns the largest fraction of the cluster that the team has
// reserved in any dimension, divided by the team's weight.
func (p *plan) dominantShare(u *teamUsage) float64 {
	return dominantFraction(u.used, p.view.capacity) / u.weight
}

// dominantFraction returns the largest ratio of r to of in any dimension.
func dominantFraction(r, of state.Resources) float64 {
	return max(ratio(r.MilliCPU, of.MilliCPU), ratio(r.MemoryMiB, of.MemoryMiB), ratio(r.Accelerators, of.Accelerators))
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (p *plan) placeTask(q *openQueue, t *state.Task) {
	if p.inFailureBackoff(t) || p.stopped[t.ID] {
		return
	}
	if t.Kind == state.KindBatch && !q.team.used.Add(t.Resources).WithinQuota(q.team.quota) {
		q.cursor.SkipOwner()
		return
	}
	size := p.size(t)
	i, avoided := -1, false
	if !p.isUnplaceable(size) {
		i, avoided = p.chooseWorker(t, size)
	}
	if i < 0 {
		reserved := !avoided && p.reserveCapacity(t, size)
		if len(t.Failures) == 0 && !(reserved && t.Rank() <= state.RankUrgent) {
			q.cursor.SkipOwner()
		}
		return
	}
	p.place(t, i, size)
	if t.Kind == state.KindBatch {
		q.team.used = q.team.used.Add(t.Resources)
	}
}

func (p *plan) place(t *state.Task, i int, size state.Resources) {
	p.view.reserve(i, size)
	p.placements = append(p.placements, state.Placement{
		Task: t.ID, Incarnation: t.Incarnation + 1, Worker: p.view.workers[i].worker.ID,
	})
	p.recordPlacement(t, i)
}

// inFailureBackoff reports whether the delay after the last failure of the task
// has not yet passed.
func (p *plan) inFailureBackoff(t *state.Task) bool {
	n := len(t.Failures)
	if n == 0 {
		return false
	}
	pause := min(int64(failureBackoff)<<min(n-1, 16), maxFailureBackoff)
	return p.now-t.Failures[n-1].At < pause
}

// isUnplaceable reports whether no worker has enough free capacity for the
// size, according to the search for a task of the same or a smaller size.
func (p *plan) isUnplaceable(size state.Resources) bool {
	for _, s := range p.unplaceable {
		if s.FitsIn(size) {
			return true
		}
	}
	return false
}
