package placement

import "apricotrouter/state"

// refillWindow is how long after its return a zone is filled at a bounded
// rate, in milliseconds.
const refillWindow = 120_000

// drainZones evicts the batch tasks from the availability zones that are out.
// Replicas are replaced first; see services.
func (p *plan) drainZones() {
	for i := range p.view.workers {
		w := &p.view.workers[i]
		if !p.view.zones[w.zone].out || w.worker.Reserved.IsZero() {
			continue
		}
		for t := range p.s.TasksOnWorker(w.worker.ID) {
			if t.Kind == state.KindBatch && t.Phase != state.PhaseStopping {
				p.stop(t, state.StopEvict, reasonZoneOut+"availability zone "+w.worker.Zone)
			}
		}
	}
}

// boundRefill sets the allowance of zones that came back recently: at time t
// after the return a zone may hold RefillPerSecond x t tasks.
func (p *plan) boundRefill() {
	for i := range p.view.zones {
		z := &p.view.zones[i]
		rec, ok := p.s.Zones.Get(z.name)
		if !ok || z.out || rec.ChangedAt == 0 || p.now-rec.ChangedAt >= refillWindow {
			continue
		}
		allowed := max(0, p.now-rec.ChangedAt) * p.RefillPerSecond / 1000
		z.allowance = max(0, allowed-p.heldIn(i))
	}
}

func (p *plan) heldIn(zone int) int64 {
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
