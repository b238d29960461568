package placement

import (
	"slices"

	"apricotrouter/state"
)

// spread counts the replicas of one service, so that they can be spread.
type spread struct {
	zones   map[int]int
	racks   map[string]int
	workers map[int]int
}

// Weights of the score of a worker. A lower score is better.
const (
	scoreSameWorker = 1000
	scoreSameZone   = 100
	scoreSameRack   = 10
	// scoreRise weighs the expected rise of a replica's latency ratio, so that
	// a rise of 1 counts as much as two replicas in the zone.
	scoreRise = 200
	// scoreAccelerators keeps workers with free accelerators for tasks that
	// need them.
	scoreAccelerators = 5
	// scoreProbe makes a quarantined worker take the next task, which shows
	// whether it works again.
	scoreProbe = -10_000
)

// choose returns the index of the best worker for the task, or -1. Avoided
// reports whether the task waits only because it would slow down a service.
func (p *plan) choose(t *state.Task, size state.Resources) (index int, avoided bool) {
	best, bestScore, anyRoom := -1, 0.0, false
	harmful := t.Kind == state.KindBatch && p.isHarmful(t.Class)
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if !w.usable || !size.Fits(w.free) {
			continue
		}
		anyRoom = true
		if !p.allows(t, i, size) {
			continue
		}
		score := p.score(t, i, size)
		if harmful {
			rise := p.rise(t, i, size)
			if rise > avoidRise && p.now-t.QueuedAt < avoidPatience(t) {
				avoided = true
				continue
			}
			score += scoreRise * rise
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if !anyRoom {
		p.noRoom = append(p.noRoom, size)
	}
	return best, avoided && best < 0
}

// allows reports whether the worker may take the task as far as it goes
// beyond room.
func (p *plan) allows(t *state.Task, i int, size state.Resources) bool {
	w := &p.view.workers[i]
	switch {
	case p.view.zones[w.zone].allowance == 0:
		return false
	case w.single && (t.Rank() < state.RankNormal || len(t.Failures) > 0):
		return false
	case len(t.Failures) > 0 && failedOn(t, w.worker.ID) && len(t.Failures) < len(p.view.workers):
		return false
	case w.reserved != nil && !w.reserved.admits(p, t, size):
		return false
	}
	return true
}

// avoidPatience is how long a task is kept away from services that it slows
// down. Urgent tasks don't wait for that. The time doubles with every eviction, so that a task that only fits next to
// such a service does not come back every minute.
func avoidPatience(t *state.Task) int64 {
	if t.Rank() <= state.RankUrgent {
		return 0
	}
	return min(int64(avoidTime)<<min(t.Evictions, maxAvoidDoublings), maxAvoidTime)
}

func failedOn(t *state.Task, worker string) bool {
	return slices.ContainsFunc(t.Failures, func(f state.Failure) bool { return f.Worker == worker })
}

func (p *plan) score(t *state.Task, i int, size state.Resources) float64 {
	w := &p.view.workers[i]
	left := fraction(w.free.Sub(size), w.worker.Capacity)
	if t.Kind == state.KindLatencyCritical {
		left = -left
		return p.spreadScore(t.Owner, i) + scoreRise*p.riseFrom(t.Owner, i) + left
	}
	score := left
	if size.Accelerators == 0 && w.free.Accelerators > 0 {
		score += scoreAccelerators
	}
	if w.single {
		score += scoreProbe
	}
	return score
}

func (p *plan) spreadScore(service string, i int) float64 {
	p.countReplicas()
	s := p.spreads[service]
	if s == nil {
		return 0
	}
	w := &p.view.workers[i]
	return float64(scoreSameWorker*s.workers[i] + scoreSameZone*s.zones[w.zone] + scoreSameRack*s.racks[w.worker.Rack])
}

// countReplicas counts where the replicas are, once per plan.
func (p *plan) countReplicas() {
	if p.spreads != nil {
		return
	}
	p.spreads = make(map[string]*spread)
	p.hosted = make([][]string, len(p.view.workers))
	for _, set := range p.sets {
		for _, t := range set.ordered {
			if i, ok := p.view.byID[t.Worker]; ok {
				p.noteReplica(t.Owner, i)
			}
		}
	}
}

// noteReplica counts a replica on a worker.
func (p *plan) noteReplica(service string, i int) {
	s := p.spreads[service]
	if s == nil {
		s = &spread{zones: map[int]int{}, racks: map[string]int{}, workers: map[int]int{}}
		p.spreads[service] = s
	}
	w := &p.view.workers[i]
	if s.workers[i] == 0 {
		p.hosted[i] = append(p.hosted[i], service)
	}
	s.workers[i]++
	s.zones[w.zone]++
	s.racks[w.worker.Rack]++
}

func (p *plan) notePlaced(t *state.Task, i int) {
	if t.Kind == state.KindLatencyCritical && p.spreads != nil {
		p.noteReplica(t.Owner, i)
	}
}
