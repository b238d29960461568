package placement

import "apricotrouter/state"

// refillWindow is how long the rate of placements in a zone is limited after
// the zone has returned to service, in milliseconds.
const refillWindow = 120_000

// drainBatchTasks evicts the batch tasks from drained availability zones.
// Replicas are replaced by services before they are stopped.
func (p *plan) drainBatchTasks() {
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if !p.view.zones[w.zone].drained || w.worker.Reserved.IsZero() {
			continue
		}
		for t := range p.s.TasksOnWorker(w.worker.ID) {
			if t.Kind == state.KindBatch && t.Phase != state.PhaseStopping {
				p.stop(t, state.StopEvict, reasonZoneDrained+"availability zone "+w.worker.Zone)
			}
		}
	}
}

// limitRefill sets the allowance of zones that returned to service recently. At
// time t after the return, a zone may have RefillPerSecond x t tasks.
func (p *plan) limitRefill() {
	for i := range p.view.zones {
		z := &p.view.zones[i]
		rec, ok := p.s.Zones.Get(z.name)
		if !ok || z.drained || rec.ChangedAt == 0 || p.now-rec.ChangedAt >= refillWindow {
			continue
		}
		allowed := max(0, p.now-rec.ChangedAt) * p.RefillPerSecond / 1000
		z.allowance = max(0, allowed-p.tasksInZone(i))
	}
}

func (p *plan) tasksInZone(zone int) int64 {
	var n int64
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if w.zone != zone || w.worker.Reserved.IsZero() {
			continue
		}
		for range p.s.TasksOnWorker(w.worker.ID) {
			n++
		}
	}
	return n
}
