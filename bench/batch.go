package bench

import (
	"time"

	"apricotrouter/placement"
	"apricotrouter/state"
)

// interference compares the responses to interference. All run for the same
// time on the same jobs; "ignore" is the baseline.
func (b *bench) interference() error {
	var ignored outcome
	for _, policy := range []placement.InterferencePolicy{
		placement.InterferenceIgnore, placement.InterferenceEvictAtOnce, placement.InterferenceStepwise,
	} {
		w, err := startWorld(policy)
		if err != nil {
			return err
		}
		o, err := w.run(nil)
		w.stop()
		if err != nil {
			return err
		}
		if policy == placement.InterferenceIgnore {
			ignored = o
		}
		b.reportBatch(string(policy), o, ignored)
	}
	return nil
}

func (b *bench) reportBatch(name string, o, baseline outcome) {
	b.compare(name, "batch work", o.work, baseline.work, "s")
	b.compare(name, "batch tasks completed", o.completed, baseline.completed, "")
	b.add(name, "evictions", o.evictions, "")
	b.add(name, "runs lost with a lease", o.lost, "")
	b.compare(name, "replica time slow", o.slow*percent, baseline.slow*percent, "%")
	b.compare(name, "latency ratio p99", o.p99, baseline.p99, "")
	b.add(name, "violations", o.violations, "")
}

// zone compares the work completed across an availability zone leaving and
// returning with that of a run without a change.
func (b *bench) zone() error {
	const out, in = worldTime / 5, worldTime / 2
	calm, err := zoneRun(nil)
	if err != nil {
		return err
	}
	b.reportBatch("no change", calm, outcome{})
	changed, err := zoneRun(func(w *world) map[time.Duration]func() error {
		return map[time.Duration]func() error{
			out: func() error { return w.setZone(true) },
			in:  func() error { return w.setZone(false) },
		}
	})
	if err != nil {
		return err
	}
	b.reportBatch("1 of 3 zones out for 30% of the time", changed, calm)
	// The replicas of the zone move to the others, so batch work loses all the
	// processors of the zone.
	perZone := workersPerZone * worldWorker.MilliCPU
	forBatch := zoneCount*perZone - replicas*taskSize.MilliCPU
	lost := float64(in-out) / float64(worldTime) * float64(perZone) / float64(forBatch)
	b.add("1 of 3 zones out for 30% of the time", "work by capacity", (1-lost)*percent, "%")
	return nil
}

func zoneRun(plan func(*world) map[time.Duration]func() error) (outcome, error) {
	w, err := startWorld(placement.InterferenceStepwise)
	if err != nil {
		return outcome{}, err
	}
	defer w.stop()
	if plan == nil {
		return w.run(nil)
	}
	return w.run(plan(w))
}

func (w *world) setZone(out bool) error {
	z, _ := w.log.State().Zones.Get(zoneName(1))
	return w.proposeAll(state.SetZone{Name: z.Name, Out: out, ExpectedVersion: z.Version})
}
