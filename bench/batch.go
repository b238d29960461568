package bench

import (
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// measureInterference compares the interference policies. All run for the same
// time on the same jobs; the baseline is "ignore".
func (b *bench) measureInterference() error {
	var baseline outcome
	for _, policy := range []placement.InterferencePolicy{
		placement.InterferenceIgnore, placement.InterferenceEvictAtOnce, placement.InterferenceStepwise,
	} {
		s, err := startSimulation(policy)
		if err != nil {
			return err
		}
		o, err := s.run(nil)
		s.stop()
		if err != nil {
			return err
		}
		if policy == placement.InterferenceIgnore {
			baseline = o
		}
		b.reportBatch(string(policy), o, baseline)
	}
	return nil
}

func (b *bench) reportBatch(name string, o, baseline outcome) {
	b.compare(name, "batch work", o.workSeconds, baseline.workSeconds, "s")
	b.compare(name, "batch tasks completed", o.completed, baseline.completed, "")
	b.add(name, "evictions", o.evictions, "")
	b.add(name, "runs lost with a lease", o.leaseLosses, "")
	b.compare(name, "replica time slow", o.slowFraction*percent, baseline.slowFraction*percent, "%")
	b.compare(name, "latency ratio p99", o.latencyRatioP99, baseline.latencyRatioP99, "")
	b.add(name, "violations", o.violations, "")
}

// measureZoneDrain compares the work completed while an availability zone is
// drained and returned to service with that of a run without a change.
func (b *bench) measureZoneDrain() error {
	const drainAt, returnAt = simulatedTime / 5, simulatedTime / 2
	baseline, err := runZoneScenario(nil)
	if err != nil {
		return err
	}
	b.reportBatch("no change", baseline, outcome{})
	drained, err := runZoneScenario(func(w *simulation) map[time.Duration]func() error {
		return map[time.Duration]func() error{
			drainAt:  func() error { return w.setZone(true) },
			returnAt: func() error { return w.setZone(false) },
		}
	})
	if err != nil {
		return err
	}
	b.reportBatch("1 of 3 zones out for 30% of the time", drained, baseline)
	// The replicas of the drained zone move to the other zones, so batch tasks lose
	// the whole CPU capacity of the zone.
	perZone := workersPerZone * workerCapacity.MilliCPU
	forBatch := zoneCount*perZone - replicas*taskSize.MilliCPU
	lostFraction := float64(returnAt-drainAt) / float64(simulatedTime) * float64(perZone) / float64(forBatch)
	b.add("1 of 3 zones out for 30% of the time", "work by capacity", (1-lostFraction)*percent, "%")
	return nil
}

func runZoneScenario(schedule func(*simulation) map[time.Duration]func() error) (outcome, error) {
	s, err := startSimulation(placement.InterferenceStepwise)
	if err != nil {
		return outcome{}, err
	}
	defer s.stop()
	if schedule == nil {
		return s.run(nil)
	}
	return s.run(schedule(s))
}

func (w *simulation) setZone(out bool) error {
	z, _ := w.log.State().Zones.Get(zoneName(1))
	return w.proposeAll(state.SetZone{Name: z.Name, Out: out, ExpectedVersion: z.Version})
}
