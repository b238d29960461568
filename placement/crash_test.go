package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/placement"
	"apricotrouter/state"
)

func TestJudgeCrash(t *testing.T) {
	suspect := placement.CrashEvidence{Crashes: 2, Unexplained: 2}
	for name, tc := range map[string]struct {
		evidence placement.CrashEvidence
		crash    placement.WorkerCrash
		want     placement.CrashVerdict
		isolate  bool
	}{
		"first crash": {
			crash: placement.WorkerCrash{PoolWorkers: 60},
			want:  placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1}},
		},
		"second crash isolates": {
			evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1}, crash: placement.WorkerCrash{PoolWorkers: 60},
			want:    placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: suspect},
			isolate: true,
		},
		"alone by chance before it was suspect": {
			evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1}, crash: placement.WorkerCrash{PoolWorkers: 60, Isolated: true},
			want:    placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: suspect},
			isolate: true,
		},
		"isolated": {
			evidence: suspect, crash: placement.WorkerCrash{PoolWorkers: 60, Isolated: true},
			want:    placement.CrashVerdict{Kind: state.CrashIsolated, Evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 3, Isolated: 1}},
			isolate: true,
		},
		"isolated twice": {
			evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 3, Isolated: 1}, crash: placement.WorkerCrash{PoolWorkers: 60, Isolated: true},
			want: placement.CrashVerdict{
				Kind: state.CrashIsolated, Evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 4, Isolated: 2}, GiveUp: true,
			},
			isolate: true,
		},
		"isolated, but the worker may not have run the task": {
			evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 3, Isolated: 1},
			crash:    placement.WorkerCrash{PoolWorkers: 60, Isolated: true, Unconfirmed: true},
			want:     placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 4, Isolated: 1}},
			isolate:  true,
		},
		"isolated, but another worker was lost too": {
			evidence: suspect, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 1, Isolated: true},
			want:    placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 3}},
			isolate: true,
		},
		"fifth crash": {
			evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 1}, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 20},
			want:    placement.CrashVerdict{Kind: state.CrashMassLoss, Evidence: placement.CrashEvidence{Crashes: 5, Unexplained: 1}, GiveUp: true},
			isolate: true,
		},
		"many workers lost, young run": {
			crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 5, WorkedMillis: 100},
			want:  placement.CrashVerdict{Kind: state.CrashMassLoss, Evidence: placement.CrashEvidence{Crashes: 1, LongestCrashMillis: 100}},
		},
		"many workers lost, run at work": {
			evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1}, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 5, WorkedMillis: 250},
			want: placement.CrashVerdict{
				Explained: true, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, Explained: 1, LongestCrashMillis: 250},
			},
		},
		"many workers lost, suspect that had just started": {
			evidence: suspect, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 8, WorkedMillis: 1999, Isolated: true},
			want: placement.CrashVerdict{
				Kind: state.CrashMassLoss, Evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 2, LongestCrashMillis: 1999},
			},
			isolate: true,
		},
		"many workers lost, suspect at work": {
			evidence: suspect, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 5, WorkedMillis: 2000, Isolated: true},
			want: placement.CrashVerdict{
				Explained: true, Evidence: placement.CrashEvidence{Crashes: 2, Unexplained: 2, Explained: 1, LongestCrashMillis: 2000},
			},
			isolate: true,
		},
		"young run beside a suspect": {
			crash: placement.WorkerCrash{PoolWorkers: 60, BesideSuspect: true, WorkedMillis: 100},
			want:  placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 100}},
		},
		"run at work beside a suspect": {
			evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1}, crash: placement.WorkerCrash{PoolWorkers: 60, BesideSuspect: true, WorkedMillis: 250},
			want: placement.CrashVerdict{
				Explained: true, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, Explained: 1, LongestCrashMillis: 250},
			},
		},
		"run beside a suspect, known to have crashed after its task became suspect": {
			evidence: suspect, crash: placement.WorkerCrash{PoolWorkers: 60, BesideSuspect: true, WorkedMillis: 250},
			want: placement.CrashVerdict{
				Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 3, Unexplained: 3, LongestCrashMillis: 250},
			},
			isolate: true,
		},
		"a few of many workers lost": {
			crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 4, WorkedMillis: 250},
			want:  placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 250}},
		},
		"two of few workers lost": {
			crash: placement.WorkerCrash{PoolWorkers: 4, LostTogether: 1, WorkedMillis: 250},
			want:  placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 250}},
		},
		"long-running task that had been at work": {
			evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 4}, crash: placement.WorkerCrash{PoolWorkers: 60, WorkedMillis: 10_000, LongRunning: true},
			want: placement.CrashVerdict{
				Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 10_000}, Cleared: true,
			},
		},
		"long-running task that crashed after as long before": {
			evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 11_000},
			crash:    placement.WorkerCrash{PoolWorkers: 60, WorkedMillis: 12_000, LongRunning: true},
			want:     placement.CrashVerdict{Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 2, Unexplained: 2, LongestCrashMillis: 12_000}},
			isolate:  true,
		},
		"long-running task that had been at work for very long": {
			evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 4, Explained: 2, LongestCrashMillis: 500_000},
			crash:    placement.WorkerCrash{PoolWorkers: 60, WorkedMillis: 600_000, LongRunning: true},
			want: placement.CrashVerdict{
				Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 1, Unexplained: 1, LongestCrashMillis: 600_000}, Cleared: true,
			},
		},
		"third explained crash isolates": {
			evidence: placement.CrashEvidence{Explained: 2}, crash: placement.WorkerCrash{PoolWorkers: 60, LostTogether: 5, WorkedMillis: 600},
			want:    placement.CrashVerdict{Explained: true, Evidence: placement.CrashEvidence{Explained: 3, LongestCrashMillis: 600}},
			isolate: true,
		},
		"batch task that had been at work": {
			evidence: placement.CrashEvidence{Crashes: 4, Unexplained: 4}, crash: placement.WorkerCrash{PoolWorkers: 60, WorkedMillis: 10_000},
			want: placement.CrashVerdict{
				Kind: state.CrashUnexplained, Evidence: placement.CrashEvidence{Crashes: 5, Unexplained: 5, LongestCrashMillis: 10_000}, GiveUp: true,
			},
			isolate: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(placement.JudgeCrash(tc.evidence, tc.crash)).To(Equal(tc.want))
			g.Expect(tc.want.Evidence.NeedsIsolation()).To(Equal(tc.isolate))
		})
	}
}

// Load pattern: a task crashes each worker that starts it, whatever else
// happens to the pool. It is started at most twice after the third crash. The
// workers that tasks like it crash at the same moment count as lost together
// until the tasks have to run alone.
func TestStartsOfCrashingTaskAreBounded(t *testing.T) {
	g := NewWithT(t)
	for _, crash := range []placement.WorkerCrash{
		{PoolWorkers: 60},
		{PoolWorkers: 60, Isolated: true},
		{PoolWorkers: 60, LostTogether: 30},
		{PoolWorkers: 60, LostTogether: 1, WorkedMillis: 1000},
		{PoolWorkers: 8, LostTogether: 3, WorkedMillis: 600},
		{PoolWorkers: 8, BesideSuspect: true, WorkedMillis: 600},
		{PoolWorkers: 60, WorkedMillis: 11_000, LongRunning: true},
		{PoolWorkers: 8, LostTogether: 3, WorkedMillis: 11_000, LongRunning: true},
	} {
		e, starts := placement.CrashEvidence{}, 0
		for e.MayStart(0) && starts < 10 {
			starts++
			next := crash
			if e.NeedsIsolation() && crash.WorkedMillis > 0 {
				next.LostTogether, next.BesideSuspect = 0, false
			}
			v := placement.JudgeCrash(e, next)
			if e = v.Evidence; v.GiveUp {
				break
			}
		}
		g.Expect(starts).To(BeNumerically("<=", 5), "%+v", crash)
	}
}

// Guards against a sixth start of a task that crashes each worker within two
// seconds. Load pattern: its crashes coincide at random with those of other tasks
// and with losses of racks, workers stop responding before they are known to have
// crashed, and some starts are not confirmed.
func TestStartsOfCrashingTaskAreBoundedWhateverCoincides(t *testing.T) {
	g := NewWithT(t)
	const histories, maxStarts = 20_000, 5
	random := rand.New(rand.NewPCG(10, 47))
	for range histories {
		e, starts, unresolved := placement.CrashEvidence{}, 0, 0
		var history []placement.WorkerCrash
		for e.MayStart(unresolved) && starts <= maxStarts {
			starts++
			suspect := e.NeedsIsolation()
			crash := placement.WorkerCrash{
				PoolWorkers: []int{8, 48, 890}[random.IntN(3)], LostTogether: random.IntN(3) * random.IntN(100),
				Isolated: suspect && random.IntN(4) > 0, BesideSuspect: !suspect && random.IntN(3) == 0,
				Unconfirmed: random.IntN(5) == 0, WorkedMillis: random.Int64N(2000), LongRunning: random.IntN(2) == 0,
			}
			history = append(history, crash)
			if random.IntN(5) == 0 && unresolved == 0 {
				unresolved++ // the lease expires; the crash becomes known later
				continue
			}
			v := placement.JudgeCrash(e, crash)
			if e = v.Evidence; v.GiveUp {
				break
			}
			if unresolved > 0 {
				unresolved--
				late := crash
				late.Unconfirmed, late.Isolated = true, false
				if v = placement.JudgeCrash(e, late); v.GiveUp {
					break
				}
				e = v.Evidence
			}
		}
		g.Expect(starts).To(BeNumerically("<=", maxStarts), "%+v", history)
	}
}

// Load pattern: the same rack fails again and again under a task without fault.
func TestTaskIsNotGivenUpForLossesOfManyWorkers(t *testing.T) {
	g := NewWithT(t)
	e := placement.CrashEvidence{}
	for range 10 {
		v := placement.JudgeCrash(e, placement.WorkerCrash{PoolWorkers: 60, LostTogether: 7, WorkedMillis: 5000})
		e = v.Evidence
		g.Expect(v.GiveUp).To(BeFalse())
		g.Expect(e.MayStart(0)).To(BeTrue())
	}
}

// Guards against a task that is neither started nor given up. Load pattern:
// workers crash one after the other, and then many at the same moment, under a
// task without fault.
func TestTaskThatIsNotGivenUpMayStart(t *testing.T) {
	g := NewWithT(t)
	crashes := map[string]placement.WorkerCrash{
		"unexplained":    {PoolWorkers: 60, WorkedMillis: 600},
		"mass loss":      {PoolWorkers: 60, LostTogether: 20},
		"explained":      {PoolWorkers: 60, LostTogether: 20, WorkedMillis: 600},
		"beside suspect": {PoolWorkers: 60, BesideSuspect: true, WorkedMillis: 600},
	}
	const longest = 6
	var check func(e placement.CrashEvidence, history []string)
	check = func(e placement.CrashEvidence, history []string) {
		g.Expect(e.MayStart(0)).To(BeTrue(), "after %v", history)
		if len(history) == longest {
			return
		}
		for name, crash := range crashes {
			if v := placement.JudgeCrash(e, crash); !v.GiveUp {
				check(v.Evidence, append(slices.Clip(history), name))
			}
		}
	}
	check(placement.CrashEvidence{}, nil)
}

func TestChooseIsolated(t *testing.T) {
	resources := state.Resources{MilliCPU: 4000, MemoryMiB: 4000}
	worker := func(runs int, free int64) placement.IsolationWorker {
		return placement.IsolationWorker{
			Capacity: &placement.WorkerCapacity{Capacity: resources, Free: state.Resources{MilliCPU: free, MemoryMiB: 4000}, IdleCPU: free}, Runs: runs,
		}
	}
	task := placement.PoolTask{Step: &state.WorkflowStep{Size: state.Resources{MilliCPU: 1000, MemoryMiB: 100}}}
	notFirst := task
	notFirst.Excluded = func(i int) bool { return i == 0 }
	for name, tc := range map[string]struct {
		workers []placement.IsolationWorker
		task    placement.PoolTask
		waited  int64
		want    int
	}{
		"empty worker":                     {[]placement.IsolationWorker{worker(1, 3000), worker(0, 4000)}, task, 0, 1},
		"waits for an empty worker":        {[]placement.IsolationWorker{worker(1, 3000)}, task, 999, -1},
		"fewest runs after the wait":       {[]placement.IsolationWorker{worker(3, 3000), worker(2, 2000), worker(4, 3000)}, task, 1000, 1},
		"does not fit on the fewest":       {[]placement.IsolationWorker{worker(3, 3000), worker(2, 500)}, task, 1000, 0},
		"empty worker after the wait":      {[]placement.IsolationWorker{worker(1, 3000), worker(0, 4000)}, task, 1000, 1},
		"excluded worker":                  {[]placement.IsolationWorker{worker(0, 4000), worker(2, 4000)}, notFirst, 1000, 1},
		"taken worker":                     {[]placement.IsolationWorker{{}, {Runs: 1}}, task, 1000, -1},
		"none":                             {nil, task, 1000, -1},
		"excluded worker without patience": {[]placement.IsolationWorker{worker(0, 4000)}, notFirst, 0, -1},
	} {
		t.Run(name, func(t *testing.T) {
			NewWithT(t).Expect(placement.ChooseIsolated(tc.workers, tc.task, tc.waited)).To(Equal(tc.want))
		})
	}
}
