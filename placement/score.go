package placement

import (
	"slices"

	"apricotrouter/state"
)

// replicaCounts counts the replicas of one service by zone, rack and worker.
// Replicas are spread over all three.
type replicaCounts struct {
	zones   map[int]int
	racks   map[string]int
	workers map[int]int
}

// Terms of a worker's score. A lower score is better.
const (
	scoreSameWorker = 1000
	scoreSameZone   = 100
	scoreSameRack   = 10
	// scorePerRise is the penalty per unit of expected increase in a replica's
	// latency ratio. An increase of 1 weighs as much as two replicas in the
	// same zone.
	scorePerRise = 200
	// scoreUnusedAccelerators is the penalty for placing a task that needs no
	// accelerators on a worker with free ones, which other tasks may need.
	scoreUnusedAccelerators = 5
	// scoreProbe makes a quarantined worker the first choice for the next task.
	// The result shows whether the worker has recovered.
	scoreProbe = -10_000
)

// chooseWorker returns the index of the best worker for the task, or -1.
// avoided is true if the task waits only because it would slow down a service.
func (p *plan) chooseWorker(t *state.Task, size state.Resources) (index int, avoided bool) {
	best, bestScore, fitsAny := -1, 0.0, false
	harmful := t.Kind == state.KindBatch && p.isHarmfulClass(t.Class)
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if !w.usable || !size.FitsIn(w.free) {
			continue
		}
		fitsAny = true
		if !p.mayPlace(t, i, size) {
			continue
		}
		score := p.score(t, i, size)
		if harmful {
			expectedRise := p.expectedRise(t, i, size)
			if expectedRise > minAvoidedRise && p.now-t.QueuedAt < avoidDuration(t) {
				avoided = true
				continue
			}
			score += scorePerRise * expectedRise
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	if !fitsAny {
		p.unplaceable = append(p.unplaceable, size)
	}
	return best, avoided && best < 0
}

// mayPlace reports whether the task may be placed on the worker. It does not
// check free capacity.
func (p *plan) mayPlace(t *state.Task, i int, size state.Resources) bool {
	w := &p.view.workers[i]
	switch {
	case p.view.zones[w.zone].allowance == 0:
		return false
	case w.probing && (t.Rank() < state.RankNormal || len(t.Failures) > 0):
		return false
	case len(t.Failures) > 0 && failedOn(t, w.worker.ID) && len(t.Failures) < len(p.view.workers):
		return false
	case w.reserved != nil && !w.reserved.admits(p, t, size):
		return false
	}
	return true
}

// avoidDuration returns, in milliseconds, for how long after queueing a task is
// not placed next to services that it slows down. It is 0 for urgent tasks. It
// doubles with every eviction, so that a task that fits only next to such a
// service is not placed there and evicted every minute.
func avoidDuration(t *state.Task) int64 {
	if t.Rank() <= state.RankUrgent {
		return 0
	}
	return min(int64(firstAvoidDuration)<<min(t.Evictions, maxAvoidDoublings), maxAvoidDuration)
}

func failedOn(t *state.Task, worker string) bool {
	return slices.ContainsFunc(t.Failures, func(f state.Failure) bool { return f.Worker == worker })
}

func (p *plan) score(t *state.Task, i int, size state.Resources) float64 {
	w := &p.view.workers[i]
	freeAfter := dominantFraction(w.free.Sub(size), w.worker.Capacity)
	if t.Kind == state.KindLatencyCritical {
		freeAfter = -freeAfter
		return p.spreadScore(t.Owner, i) + scorePerRise*p.riseFromBatch(t.Owner, i) + freeAfter
	}
	score := freeAfter
	if size.Accelerators == 0 && w.free.Accelerators > 0 {
		score += scoreUnusedAccelerators
	}
	if w.probing {
		score += scoreProbe
	}
	return score
}

func (p *plan) spreadScore(service string, i int) float64 {
	p.countReplicas()
	s := p.replicasByService[service]
	if s == nil {
		return 0
	}
	w := &p.view.workers[i]
	return float64(scoreSameWorker*s.workers[i] + scoreSameZone*s.zones[w.zone] + scoreSameRack*s.racks[w.worker.Rack])
}

// countReplicas counts the replicas on each worker, rack and zone, once per
// plan.
func (p *plan) countReplicas() {
	if p.replicasByService != nil {
		return
	}
	p.replicasByService = make(map[string]*replicaCounts)
	p.servicesByWorker = make([][]string, len(p.view.workers))
	for _, set := range p.replicaSets {
		for _, t := range set.sorted {
			if i, ok := p.view.byID[t.Worker]; ok {
				p.recordReplica(t.Owner, i)
			}
		}
	}
}

// recordReplica counts a replica of the service on a worker.
func (p *plan) recordReplica(service string, i int) {
	s := p.replicasByService[service]
	if s == nil {
		s = &replicaCounts{zones: map[int]int{}, racks: map[string]int{}, workers: map[int]int{}}
		p.replicasByService[service] = s
	}
	w := &p.view.workers[i]
	if s.workers[i] == 0 {
		p.servicesByWorker[i] = append(p.servicesByWorker[i], service)
	}
	s.workers[i]++
	s.zones[w.zone]++
	s.racks[w.worker.Rack]++
}

func (p *plan) recordPlacement(t *state.Task, i int) {
	if t.Kind == state.KindLatencyCritical && p.replicasByService != nil {
		p.recordReplica(t.Owner, i)
	}
}
