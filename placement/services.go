package placement

import (
	"slices"

	"apricotrouter/state"
)

// drainLimit is how long a replica in an availability zone that is out waits
// for its replacement before it is stopped all the same, in milliseconds.
const drainLimit = 60_000

// replicaSet is the replicas of one service as a plan sees them.
type replicaSet struct {
	service *state.Service
	staying map[string]*state.Task
	ordered []*state.Task // staying ones by id
	// replacedBy maps a staying replica to the staying one that replaces it.
	replacedBy map[string]*state.Task
}

// services keeps the services at their number of replicas and replaces
// replicas in zones that are out.
func (p *plan) services() {
	for _, svc := range p.s.Services.All() {
		set := p.replicaSet(svc)
		p.sets = append(p.sets, set)
		p.fill(set)
		for _, t := range set.ordered {
			p.replaceReplica(set, t)
		}
	}
}

func (p *plan) replicaSet(svc *state.Service) *replicaSet {
	set := &replicaSet{service: svc, staying: map[string]*state.Task{}, replacedBy: map[string]*state.Task{}}
	for t := range p.s.TasksOf(state.KindLatencyCritical, svc.Spec.Name) {
		if t.Staying() {
			set.staying[t.ID] = t
			set.ordered = append(set.ordered, t)
		}
	}
	for _, t := range set.ordered {
		if t.Replaces != "" && set.staying[t.Replaces] != nil {
			set.replacedBy[t.Replaces] = t
		}
	}
	return set
}

// fill adds missing replicas and stops those that are too many, the ones that
// do not run yet first.
func (p *plan) fill(set *replicaSet) {
	count := int64(len(set.staying) - len(set.replacedBy))
	want := set.service.Spec.Replicas
	if count < want {
		p.bodies = append(p.bodies, state.AddReplicas{Service: set.service.Spec.Name})
	}
	if count <= want {
		return
	}
	for _, t := range p.leastSettled(set)[:count-want] {
		p.stop(t, state.StopRemove, "more replicas than the service asks for")
		if r := set.replacedBy[t.ID]; r != nil {
			p.stop(r, state.StopRemove, "the replica it replaces is removed")
		}
	}
}

// leastSettled returns the replicas that count, those first whose stop
// interrupts least.
func (p *plan) leastSettled(set *replicaSet) []*state.Task {
	all := slices.DeleteFunc(slices.Clone(set.ordered), func(t *state.Task) bool {
		return set.staying[t.Replaces] != nil
	})
	slices.SortStableFunc(all, func(a, b *state.Task) int {
		leavingA, _ := p.leaving(a)
		leavingB, _ := p.leaving(b)
		if leavingA != leavingB {
			if leavingA {
				return -1
			}
			return 1
		}
		return settled(a) - settled(b)
	})
	return all
}

// settled orders the phases of a replica by how much a stop would interrupt.
func settled(t *state.Task) int {
	return slices.Index([]state.TaskPhase{state.PhasePending, state.PhaseStopping, state.PhaseStarting, state.PhaseRunning}, t.Phase)
}

// replaceReplica replaces a replica in a zone that is out, or of another size
// than the service now asks for: it adds the replacement, and stops the
// original once the replacement runs.
func (p *plan) replaceReplica(set *replicaSet, t *state.Task) {
	if p.stopped[t.ID] {
		return
	}
	r := set.replacedBy[t.ID]
	leaving, since := p.leaving(t)
	outdated := t.Resources != set.service.Spec.Resources
	due := leaving || outdated && int64(len(set.replacedBy)) < rollingLimit(set)
	switch {
	case r != nil && r.Phase == state.PhaseRunning:
		p.stop(t, state.StopRemove, "replaced by "+r.ID)
	case leaving && t.Phase == state.PhaseStarting:
		p.stop(t, state.StopReplace, "availability zone is out")
	case leaving && r != nil && p.now-since >= drainLimit && t.Phase == state.PhaseRunning:
		p.stop(t, state.StopRemove, "availability zone is out and no replacement runs in time")
	case due && r == nil && t.Phase == state.PhaseRunning && set.staying[t.Replaces] == nil:
		p.bodies = append(p.bodies, state.AddReplicas{Service: t.Owner, Replaces: t.ID})
		set.replacedBy[t.ID] = t // counts against the limit
	case !leaving && !outdated && r != nil && r.Phase == state.PhasePending:
		p.stop(r, state.StopRemove, "the replica it replaces stays")
	}
}

// rollingLimit is the number of replicas of a service that are replaced at
// once after a change of its size.
func rollingLimit(set *replicaSet) int64 {
	return max(1, set.service.Spec.Replicas/10)
}

// leaving reports whether the replica's zone is out, and since when.
func (p *plan) leaving(t *state.Task) (bool, int64) {
	if !t.Holds() {
		return false, 0
	}
	i, ok := p.view.byID[t.Worker]
	if !ok || !p.view.zones[p.view.workers[i].zone].out {
		return false, 0
	}
	rec, _ := p.s.Zones.Get(p.view.zones[p.view.workers[i].zone].name)
	return true, rec.ChangedAt
}
