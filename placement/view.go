package placement

import "apricotrouter/state"

// workerView is the view of one worker, including the decisions of the plan.
type workerView struct {
	worker  *state.Worker
	zone    int             // index into view.zones
	free    state.Resources // capacity without reservations and this plan's placements
	usable  bool            // can take tasks
	probing bool            // suspect or quarantined: takes one task at a time
	// reserved is the reservation of the worker for a blocked task, or nil.
	reserved *reservation
}

// zoneView is the view of one availability zone.
type zoneView struct {
	name    string
	drained bool
	// allowance is the number of tasks that may still be placed in a zone that
	// is being refilled. It is negative if there is no limit.
	allowance int64
}

// view is the cluster as the plan sees it.
type view struct {
	workers  []workerView
	byID     map[string]int
	zones    []zoneView
	capacity state.Resources // of the usable workers
	// largest is the largest capacity of a usable worker in each dimension.
	largest state.Resources
}

// suspectOwners is the number of different jobs whose tasks must fail on a
// worker before it is quarantined.
const suspectOwners = 3

func (p *plan) buildView() {
	n := p.s.Workers.Len()
	p.view = view{workers: make([]workerView, 0, n), byID: make(map[string]int, n)}
	zones := make(map[string]int)
	for _, w := range p.s.Workers.All() {
		z, ok := zones[w.Zone]
		if !ok {
			z = len(p.view.zones)
			zones[w.Zone] = z
			p.view.zones = append(p.view.zones, zoneView{name: w.Zone, drained: p.s.IsZoneDrained(w.Zone), allowance: -1})
		}
		p.view.byID[w.ID] = len(p.view.workers)
		p.view.workers = append(p.view.workers, p.newWorkerView(w, z))
	}
	p.limitRefill()
	p.subtractOveruse()
}

func (p *plan) newWorkerView(w *state.Worker, zone int) workerView {
	v := workerView{worker: w, zone: zone, free: w.Capacity.Sub(w.Reserved)}
	suspect := w.Condition == state.WorkerQuarantined || len(w.FailedOwners) >= suspectOwners
	v.usable = w.Condition != state.WorkerLost && !p.view.zones[zone].drained
	v.probing = suspect
	if v.usable && !suspect {
		p.view.capacity = p.view.capacity.Add(w.Capacity)
		p.view.largest = p.view.largest.Max(w.Capacity)
	}
	if v.probing && (!w.Reserved.IsZero() || !p.probeDue(w)) {
		v.usable = false
	}
	return v
}

// reserve reserves the size on the worker.
func (v *view) reserve(i int, size state.Resources) {
	w := &v.workers[i]
	w.free = w.free.Sub(size)
	if w.probing {
		w.usable = false
	}
	if z := &v.zones[w.zone]; z.allowance > 0 {
		z.allowance--
	}
}

// subtractOveruse subtracts from the free capacity what tasks use beyond their
// declared size. For a task that is not in the last sample, the statistics of
// its class are used.
func (p *plan) subtractOveruse() {
	if !p.obs.Estimates.Oversized() {
		return
	}
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if w.worker.Reserved.IsZero() {
			continue
		}
		sampled := sampledUse(p.obs.Workers[w.worker.ID])
		var over state.Resources
		for t := range p.s.TasksOnWorker(w.worker.ID) {
			used, ok := sampled[taskRun{t.ID, t.Incarnation}]
			if !ok {
				used = p.obs.Estimates.Size(t)
			}
			over = over.Add(used.Sub(t.Resources))
		}
		w.free = w.free.Sub(over.ClampToZero())
	}
}

// taskRun identifies one incarnation of a task.
type taskRun struct {
	task        string
	incarnation uint64
}

func sampledUse(o *WorkerObservation) map[taskRun]state.Resources {
	if o == nil || o.Sample == nil {
		return nil
	}
	use := make(map[taskRun]state.Resources, len(o.Sample.Tasks))
	for _, t := range o.Sample.Tasks {
		use[taskRun{t.Task, t.Incarnation}] = t.Used
	}
	return use
}
