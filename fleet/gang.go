package fleet

import (
	"slices"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// placeGang places all tasks of a gang, or none. They share the run number.
func (c *Controller) placeGang(t *task, p *pool, usesReserved bool) {
	members := t.gang()
	var number uint64
	for _, m := range members {
		if m.phase != taskReady || !m.mayStart() {
			return
		}
		m.expireRefusals(c.now())
		number = max(number, m.run+1)
	}
	confined, usable := confinedMembers(members, p, c.sessions)
	if !usable {
		return
	}
	defer p.releaseAside(members, confined)()
	workers := slices.Clone(p.workers)
	if usesReserved {
		copy(workers, p.allWorkers)
	}
	for i, s := range p.sessions {
		if slices.ContainsFunc(members, func(m *task) bool { _, refused := m.refusedUntil[s.worker.ID]; return refused }) {
			workers[i] = nil
		}
	}
	request := c.placementRequest(t, p, nil)
	for _, rack := range gangRacks(t.step, p) {
		if chosen := chooseGang(t, request, len(members), confined, p, workers, rack); chosen != nil {
			for i, m := range members {
				c.startOn(m, p, chosen[i], request, number)
			}
			return
		}
	}
}

// gangRacks returns the rack labels to which a gang may be confined, in the
// order in which they are tried; "" means any worker.
func gangRacks(s *state.WorkflowStep, p *pool) []string {
	if !s.SameRack {
		return []string{""}
	}
	seen := make(map[string]bool)
	var racks []string
	for _, r := range p.workers {
		if r == nil {
			continue
		}
		for _, l := range r.Labels {
			if !seen[l] && l != s.Label {
				seen[l] = true
				racks = append(racks, l)
			}
		}
	}
	slices.Sort(racks)
	return append(racks, "")
}

// chooseGang returns the index of a worker for each member of a gang, or nil. The
// workers of confined members are given by member.
func chooseGang(t *task, request placement.PoolTask, members int, confined map[int]int, p *pool, workers []*placement.WorkerCapacity, label string) []int {
	trial := make([]*placement.WorkerCapacity, len(workers))
	for i, r := range workers {
		if r != nil && (label == "" || slices.Contains(r.Labels, label)) {
			worker := *r
			worker.ServingGroups = slices.Clone(r.ServingGroups)
			trial[i] = &worker
		}
	}
	onWorker := make(map[int]int)
	only := -1 // worker of a confined member
	request.Excluded = func(i int) bool {
		return only >= 0 && i != only || p.sessions[i].stepRuns.exceedLimit(t, onWorker[i]+1)
	}
	chosen := make([]int, members)
	choose := func(member int) bool {
		i := placement.ChooseWorker(trial, request)
		if i < 0 {
			return false
		}
		trial[i].Reserve(request)
		onWorker[i]++
		chosen[member] = i
		return true
	}
	for m, i := range confined {
		if only = i; !choose(m) {
			return nil
		}
	}
	only = -1
	for m := range members {
		if _, placed := confined[m]; !placed && !choose(m) {
			return nil
		}
	}
	return chosen
}
