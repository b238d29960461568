package placement

import "apricotrouter/state"

// workerView is what a plan needs of one worker, with the decisions of the
// plan taken into account.
type workerView struct {
	worker *state.Worker
	zone   int             // index into view.zones
	free   state.Resources // capacity less reservations and this plan's placements
	usable bool            // takes tasks at all
	single bool            // quarantined: one task at a time
	// reserved is set if the worker is kept for a task.
	reserved *reservation
}

// zoneView is what a plan needs of one availability zone.
type zoneView struct {
	name string
	out  bool
	// allowance is the number of tasks that may still be placed in the zone
	// while it is being filled again; negative for no bound.
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

// suspectOwners is the number of different jobs whose tasks fail on a worker
// before it is quarantined.
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
			p.view.zones = append(p.view.zones, zoneView{name: w.Zone, out: p.s.ZoneOut(w.Zone), allowance: -1})
		}
		p.view.byID[w.ID] = len(p.view.workers)
		p.view.workers = append(p.view.workers, p.viewOf(w, z))
	}
	p.boundRefill()
	p.countOveruse()
}

func (p *plan) viewOf(w *state.Worker, zone int) workerView {
	v := workerView{worker: w, zone: zone, free: w.Capacity.Sub(w.Reserved)}
	suspect := w.Condition == state.WorkerQuarantined || len(w.FailedOwners) >= suspectOwners
	v.usable = w.Condition != state.WorkerLost && !p.view.zones[zone].out
	v.single = suspect
	if v.usable && !suspect {
		p.view.capacity = p.view.capacity.Add(w.Capacity)
		p.view.largest = p.view.largest.Max(w.Capacity)
	}
	if v.single && (!w.Reserved.IsZero() || !p.probeDue(w)) {
		v.usable = false
	}
	return v
}

// take marks the worker as holding one more task of the size.
func (v *view) take(i int, size state.Resources) {
	w := &v.workers[i]
	w.free = w.free.Sub(size)
	if w.single {
		w.usable = false
	}
	if z := &v.zones[w.zone]; z.allowance > 0 {
		z.allowance--
	}
}

// countOveruse takes from the workers what their tasks use beyond what they
// declare. For a task that the last sample does not show, the statistics of
// its class are used.
func (p *plan) countOveruse() {
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
			used, ok := sampled[sampledTask{t.ID, t.Incarnation}]
			if !ok {
				used = p.obs.Estimates.Size(t)
			}
			over = over.Add(used.Sub(t.Resources))
		}
		w.free = w.free.Sub(over.Positive())
	}
}

// sampledTask names one incarnation of a task in a sample.
type sampledTask struct {
	task        string
	incarnation uint64
}

func sampledUse(o *WorkerObservation) map[sampledTask]state.Resources {
	if o == nil || o.Sample == nil {
		return nil
	}
	use := make(map[sampledTask]state.Resources, len(o.Sample.Tasks))
	for _, t := range o.Sample.Tasks {
		use[sampledTask{t.Task, t.Incarnation}] = t.Used
	}
	return use
}
