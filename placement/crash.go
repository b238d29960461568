package placement

import "apricotrouter/state"

// Load pattern: a task crashes each worker that starts it. The other tasks on
// the worker are lost too, and with many tasks per worker most lost runs are of
// tasks without fault. Workers also crash for other reasons, often many at the
// same moment. Counting lost runs would give up tasks that can be done, so a
// task that was there repeatedly runs alone until it ends or the evidence
// against it suffices. Several such tasks may crash at the same moment, and so
// look like a loss of many workers: what else explains a crash does so for a
// few crashes, and then only if the task was not itself suspect.

const (
	// isolateAfterUnexplained and isolateAfterCrashes are the numbers of crashed
	// workers, the latter with explained crashes, after which a task runs alone
	// on a worker. After one crash all tasks of the worker are equally suspect,
	// and there is not a worker for each. Where many workers crash at the same
	// moment, a task is seldom lost three times.
	isolateAfterUnexplained = 2
	isolateAfterCrashes     = 3
	// maxIsolatedCrashes is the number of workers that may crash while the task
	// runs alone on them before it is given up. A worker that crashes for
	// another reason while a suspect is alone on it is rare, two are not
	// expected.
	maxIsolatedCrashes = 2
	// maxCrashes is the number of crashed workers after which a task is given
	// up in any case. Platforms allow two more starts after the third crash.
	// Explained crashes count until the task has to run alone.
	maxCrashes = 5
	// minMassLoss and massLossPercent define a loss of many workers: at least
	// this number of workers and percentage of the pool at the same moment.
	minMassLoss     = 3
	massLossPercent = 10
	// minWorkedMillis is how long a run must have been at work for a loss of
	// many workers, or a suspect on the worker, to explain its end. Tasks that
	// crash their workers at once were seen to do so within 265 ms.
	minWorkedMillis = 250
	// settledMillis is how long an isolated run must have been at work before
	// other tasks may start beside it. A task may crash its worker only after a
	// second of work.
	settledMillis = 2_000
	// provenMillis is how long a run of a long-running task must have been at
	// work to discard the evidence of its earlier runs, and provenFactor how
	// much longer than any run that ended with a crash, because a task may
	// crash its worker only after some time.
	provenMillis = 10_000
	provenFactor = 2
	// soundMillis is how long a run must have been at work to discard the
	// evidence in any case. Tasks that run for weeks see unrelated crashes.
	soundMillis = 600_000
)

// CrashEvidence is the evidence that a task crashes its workers.
type CrashEvidence struct {
	Crashes     int // workers that crashed while they ran the task, without those in Explained
	Unexplained int // of these, without a loss of many workers at the same moment
	Isolated    int // of these, workers that ran nothing else
	// Explained is the number of workers whose crash something else explains.
	Explained int
	// LongestCrashMillis is how long the longest run that ended with a crash had
	// been at work.
	LongestCrashMillis int64
}

// WorkerCrash describes the crash of a worker with a run of a task.
type WorkerCrash struct {
	PoolWorkers int // workers of the pool before the crash
	// LostTogether is the number of other workers of the pool, without those of
	// tasks that have to run alone, that were lost at the same moment.
	LostTogether int
	Isolated     bool // no other run was on the worker
	// BesideSuspect means that a task that has to run alone was on the worker,
	// and this one is not such a task. Nothing starts after it there.
	BesideSuspect bool
	// Unconfirmed means that the worker neither answered the start nor reported
	// the run, so it may not have run the task.
	Unconfirmed  bool
	WorkedMillis int64 // how long the run is known to have been at work
	LongRunning  bool  // the task is restarted whenever it ends
}

// CrashVerdict is what a crash means for a task that ran on the worker.
type CrashVerdict struct {
	Kind      state.CrashKind
	Explained bool          // something else explains the crash; Kind is state.CrashNone
	Evidence  CrashEvidence // with this crash
	Cleared   bool          // earlier evidence is discarded
	GiveUp    bool          // the task must not be started again
}

// JudgeCrash decides what the crash of a worker means for a task that ran on
// it.
func JudgeCrash(e CrashEvidence, crash WorkerCrash) CrashVerdict {
	v := CrashVerdict{Evidence: e}
	if crash.LongRunning && e.refutedBy(crash.WorkedMillis) {
		v.Evidence, v.Cleared = CrashEvidence{LongestCrashMillis: e.LongestCrashMillis}, true
	}
	v.Evidence.LongestCrashMillis = max(e.LongestCrashMillis, crash.WorkedMillis)
	lost := crash.LostTogether + 1
	massLoss := lost >= minMassLoss && lost*100 >= crash.PoolWorkers*massLossPercent
	if (massLoss || crash.BesideSuspect) && crash.WorkedMillis >= e.minExplainedMillis() {
		v.Explained = true
		v.Evidence.Explained++
		return v
	}
	v.Kind = state.CrashMassLoss
	v.Evidence.Crashes++
	if !massLoss {
		v.Kind = state.CrashUnexplained
		v.Evidence.Unexplained++
		if crash.Isolated && !crash.Unconfirmed && crash.LostTogether == 0 && e.NeedsIsolation() {
			v.Kind = state.CrashIsolated
			v.Evidence.Isolated++
		}
	}
	v.GiveUp = v.Evidence.Isolated >= maxIsolatedCrashes || v.Evidence.counted() >= maxCrashes
	return v
}

// minExplainedMillis returns how long a run must have been at work for something
// else to explain its end. Tasks that crash their workers usually do so within
// settledMillis. A suspect that is lost within that time counts, because new
// tasks of the same kind, which are not suspect yet, may have caused the loss of
// the other workers.
func (e CrashEvidence) minExplainedMillis() int64 {
	if e.NeedsIsolation() {
		return settledMillis
	}
	return minWorkedMillis
}

// refutedBy reports whether a run that was at work for so long shows that the
// task does not crash its workers.
func (e CrashEvidence) refutedBy(workedMillis int64) bool {
	return workedMillis >= soundMillis || workedMillis >= max(provenMillis, provenFactor*e.LongestCrashMillis)
}

// counted returns the number of crashes that count towards maxCrashes. A task
// that runs alone is lost in further explained crashes only if workers without
// suspects are lost at the same moment, so those do not count.
func (e CrashEvidence) counted() int { return e.Crashes + min(e.Explained, isolateAfterCrashes) }

// NeedsIsolation reports whether the task may only run alone on a worker.
func (e CrashEvidence) NeedsIsolation() bool {
	return e.Unexplained >= isolateAfterUnexplained || e.Crashes+e.Explained >= isolateAfterCrashes
}

// MayStart reports whether the task may be started. unresolved is the number of
// its runs on workers that stopped responding and may have crashed. Explained
// crashes leave one start, because they do not give the task up.
func (e CrashEvidence) MayStart(unresolved int) bool {
	return max(e.Crashes, min(e.counted(), maxCrashes-1))+unresolved < maxCrashes
}

// Settled reports whether an isolated run has been at work so long that other
// tasks may start beside it.
func Settled(workedMillis int64) bool { return workedMillis >= settledMillis }

const (
	// maxIsolatedShare is the reciprocal of the share of a pool's workers that
	// isolated tasks may use at a time, so that the others keep running.
	maxIsolatedShare = 4
	// isolationPatienceMillis is how long an isolated task waits for an empty
	// worker before it may start beside others.
	isolationPatienceMillis = 1000
)

// MaxIsolated returns how many workers of a pool may be used by isolated tasks.
func MaxIsolated(poolWorkers int) int { return max(1, poolWorkers/maxIsolatedShare) }

// IsolationWorker is a worker that may take an isolated task.
type IsolationWorker struct {
	Capacity *WorkerCapacity
	Runs     int // runs that would be lost if the worker crashed
}

// ChooseIsolated returns the index of the worker for an isolated task, or -1: a
// worker without runs, or, once the task has waited long enough, the one with
// the fewest.
func ChooseIsolated(workers []IsolationWorker, t PoolTask, waitedMillis int64) int {
	candidates := make([]*WorkerCapacity, len(workers))
	coefficients := t.interferenceCoefficients()
	all := make([]*WorkerCapacity, len(workers))
	fewest := -1
	for i, w := range workers {
		all[i] = w.Capacity
		if w.Runs == 0 {
			candidates[i] = w.Capacity
		} else if w.Capacity != nil && waitedMillis >= isolationPatienceMillis && (fewest < 0 || w.Runs < workers[fewest].Runs) {
			if _, ok := t.scoreOn(all, i, coefficients); ok {
				fewest = i
			}
		}
	}
	if best := ChooseWorker(candidates, t); best >= 0 {
		return best
	}
	return fewest
}
