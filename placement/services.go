package placement

import (
	"slices"

	"apricotrouter/state"
)

// maxReplacementWait is how long a replica in a drained availability zone waits
// for its replacement before it is stopped without one, in milliseconds.
const maxReplacementWait = 60_000

// replicaSet is the set of active replicas of one service: those that have not
// ended and are not being ended.
type replicaSet struct {
	service *state.Service
	active  map[string]*state.Task
	sorted  []*state.Task // active replicas, sorted by id
	// replacedBy maps the id of an active replica to the active replica that
	// replaces it.
	replacedBy map[string]*state.Task
}

// services adjusts the number of replicas of each service and replaces replicas
// in drained zones.
func (p *plan) services() {
	for _, svc := range p.s.Services.All() {
		set := p.replicaSet(svc)
		p.replicaSets = append(p.replicaSets, set)
		p.scale(set)
		for _, t := range set.sorted {
			p.replaceReplica(set, t)
		}
	}
}

func (p *plan) replicaSet(svc *state.Service) *replicaSet {
	set := &replicaSet{service: svc, active: map[string]*state.Task{}, replacedBy: map[string]*state.Task{}}
	for t := range p.s.TasksOf(state.KindLatencyCritical, svc.Spec.Name) {
		if t.IsActive() {
			set.active[t.ID] = t
			set.sorted = append(set.sorted, t)
		}
	}
	for _, t := range set.sorted {
		if t.Replaces != "" && set.active[t.Replaces] != nil {
			set.replacedBy[t.Replaces] = t
		}
	}
	return set
}

// scale adds missing replicas and stops excess ones, starting with those that
// are not running yet.
func (p *plan) scale(set *replicaSet) {
	count := int64(len(set.active) - len(set.replacedBy))
	want := set.service.Spec.Replicas
	if count < want {
		p.bodies = append(p.bodies, state.AddReplicas{Service: set.service.Spec.Name})
	}
	if count <= want {
		return
	}
	for _, t := range p.removalOrder(set)[:count-want] {
		p.stop(t, state.StopRemove, "more replicas than the service asks for")
		if r := set.replacedBy[t.ID]; r != nil {
			p.stop(r, state.StopRemove, "the replica it replaces is removed")
		}
	}
}

// removalOrder returns the replicas that are not replacements, sorted by how
// much work a stop interrupts, least first.
func (p *plan) removalOrder(set *replicaSet) []*state.Task {
	all := slices.DeleteFunc(slices.Clone(set.sorted), func(t *state.Task) bool {
		return set.active[t.Replaces] != nil
	})
	slices.SortStableFunc(all, func(a, b *state.Task) int {
		drainedA, _ := p.zoneDrained(a)
		drainedB, _ := p.zoneDrained(b)
		if drainedA != drainedB {
			if drainedA {
				return -1
			}
			return 1
		}
		return removalCost(a) - removalCost(b)
	})
	return all
}

// removalCost orders the phases of a replica by how much work a stop
// interrupts.
func removalCost(t *state.Task) int {
	return slices.Index([]state.TaskPhase{state.PhasePending, state.PhaseStopping, state.PhaseStarting, state.PhaseRunning}, t.Phase)
}

// replaceReplica replaces a replica that is in a drained zone or whose size
// differs from the specification of the service. It adds the replacement, and
// stops the original once the replacement runs.
func (p *plan) replaceReplica(set *replicaSet, t *state.Task) {
	if p.stopped[t.ID] {
		return
	}
	r := set.replacedBy[t.ID]
	zoneDrained, since := p.zoneDrained(t)
	outdated := t.Resources != set.service.Spec.Resources
	shouldReplace := zoneDrained || outdated && int64(len(set.replacedBy)) < maxConcurrentReplacements(set)
	switch {
	case r != nil && r.Phase == state.PhaseRunning:
		p.stop(t, state.StopRemove, "replaced by "+r.ID)
	case zoneDrained && t.Phase == state.PhaseStarting:
		p.stop(t, state.StopReplace, "availability zone is out")
	case zoneDrained && r != nil && p.now-since >= maxReplacementWait && t.Phase == state.PhaseRunning:
		p.stop(t, state.StopRemove, "availability zone is out and no replacement runs in time")
	case shouldReplace && r == nil && t.Phase == state.PhaseRunning && set.active[t.Replaces] == nil:
		p.bodies = append(p.bodies, state.AddReplicas{Service: t.Owner, Replaces: t.ID})
		set.replacedBy[t.ID] = t // counts towards maxConcurrentReplacements
	case !zoneDrained && !outdated && r != nil && r.Phase == state.PhasePending:
		p.stop(r, state.StopRemove, "the replica it replaces stays")
	}
}

// maxConcurrentReplacements is the number of replicas of a service that may be
// replaced at the same time after a change of its size.
func maxConcurrentReplacements(set *replicaSet) int64 {
	return max(1, set.service.Spec.Replicas/10)
}

// zoneDrained reports whether the replica's zone is drained, and since when, in
// Unix milliseconds.
func (p *plan) zoneDrained(t *state.Task) (bool, int64) {
	if !t.HasReservation() {
		return false, 0
	}
	i, ok := p.view.byID[t.Worker]
	if !ok || !p.view.zones[p.view.workers[i].zone].drained {
		return false, 0
	}
	rec, _ := p.s.Zones.Get(p.view.zones[p.view.workers[i].zone].name)
	return true, rec.ChangedAt
}
