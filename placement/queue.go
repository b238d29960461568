package placement

import (
	"cmp"
	"slices"

	"apricotrouter/state"
)

const (
	// maxScan bounds the pending tasks that one plan looks at.
	maxScan = 4096
	// maxBlocked bounds the blocked jobs for which one plan looks for room, and
	// maxBlockedUrgent the replicas and urgent tasks, of which each counts.
	maxBlocked       = 16
	maxBlockedUrgent = 128
	// failureBackoff is the pause after the first failure of a task, in
	// milliseconds. It doubles with every failure up to maxFailureBackoff.
	failureBackoff    = 1000
	maxFailureBackoff = 60_000
)

// teamUse is what a team holds, with the placements of the plan.
type teamUse struct {
	used   state.Resources
	quota  state.Resources
	weight float64
}

// queueState is one queue while it is being worked off.
type queueState struct {
	cursor *state.QueueCursor
	team   *teamUse
}

// placePending places pending tasks: ranks strictly in order, and within a
// rank always a task of the team that holds least against its weight.
func (p *plan) placePending() {
	queues := p.s.PendingQueues()
	teams := make(map[string]*teamUse)
	for rank := state.RankLatencyCritical; rank <= state.RankLow; rank++ {
		var active []*queueState
		for _, q := range queues {
			if q.Rank == rank {
				active = append(active, p.openQueue(q, teams))
			}
		}
		p.placeRank(active)
	}
}

func (p *plan) placeRank(active []*queueState) {
	for len(active) > 0 && p.scanned < maxScan && len(p.placements) < p.MaxPlacements {
		p.scanned++
		q := slices.MinFunc(active, func(a, b *queueState) int {
			return cmp.Compare(p.share(a.team), p.share(b.team))
		})
		t := q.cursor.Next()
		if t == nil {
			active = slices.DeleteFunc(active, func(o *queueState) bool { return o == q })
			continue
		}
		p.placeOne(q, t)
	}
}

func (p *plan) openQueue(q state.Queue, teams map[string]*teamUse) *queueState {
	u := teams[q.Team]
	if u == nil {
		u = &teamUse{used: p.s.TeamUsed(q.Team), weight: 1}
		if team, ok := p.s.Teams.Get(q.Team); ok {
			u.quota, u.weight = team.Quota, float64(max(1, team.Weight))
		}
		teams[q.Team] = u
	}
	return &queueState{cursor: p.s.Pending(q), team: u}
}

// share is the largest fraction of the cluster that the team holds in any
// dimension, divided by its weight.
func (p *plan) share(u *teamUse) float64 {
	return fraction(u.used, p.view.capacity) / u.weight
}

// fraction returns the largest ratio of r to of in any dimension.
func fraction(r, of state.Resources) float64 {
	return max(ratio(r.MilliCPU, of.MilliCPU), ratio(r.MemoryMiB, of.MemoryMiB), ratio(r.Accelerators, of.Accelerators))
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (p *plan) placeOne(q *queueState, t *state.Task) {
	if p.waitsAfterFailure(t) {
		return
	}
	if t.Kind == state.KindBatch && !q.team.used.Add(t.Resources).Within(q.team.quota) {
		q.cursor.SkipOwner()
		return
	}
	size := p.size(t)
	i, avoided := -1, false
	if !p.tooLargeNow(size) {
		i, avoided = p.choose(t, size)
	}
	if i < 0 {
		made := !avoided && p.makeRoom(t, size)
		if len(t.Failures) == 0 && !(made && t.Rank() <= state.RankUrgent) {
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
	p.view.take(i, size)
	p.placements = append(p.placements, state.Placement{
		Task: t.ID, Incarnation: t.Incarnation + 1, Worker: p.view.workers[i].worker.ID,
	})
	p.notePlaced(t, i)
}

// waitsAfterFailure reports whether a task that failed is still to wait.
func (p *plan) waitsAfterFailure(t *state.Task) bool {
	n := len(t.Failures)
	if n == 0 {
		return false
	}
	pause := min(int64(failureBackoff)<<min(n-1, 16), maxFailureBackoff)
	return p.now-t.Failures[n-1].At < pause
}

// tooLargeNow reports whether a task of at most the size has already found no
// worker with enough left.
func (p *plan) tooLargeNow(size state.Resources) bool {
	for _, s := range p.noRoom {
		if s.Fits(size) {
			return true
		}
	}
	return false
}
