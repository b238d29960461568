//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

func init() { cases["deadly"] = crashingTasks }

const (
	// crashDowntime is how long a runner is down that a task has crashed.
	crashDowntime = 2 * time.Second
	deadlyTasks   = 4
	deadlyWork    = 600 * time.Millisecond
	// crashesBefore and startsAfter are the numbers of the rule: after three
	// crashes a task may not be started three times more.
	crashesBefore = 3
	startsAfter   = 3
)

// crashingTasks hands in a submission whose tasks crash each runner that starts
// them.
func crashingTasks(ctx context.Context, w *world, trouble bool) (bool, error) {
	for i := range runners {
		if err := w.startWorker(ctx, fmt.Sprintf("i-%04d", i), []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return false, err
		}
	}
	w.runTime.Store(int64(2 * time.Second))
	if !sleep(ctx, 4*time.Second) {
		return false, errNotRun
	}
	if trouble {
		w.crashAfter.Store(int64(deadlyWork))
	}
	if !w.submitStep(map[string]any{
		"count": deadlyTasks, "cpu": 40000, "memMb": 1000, "estRuntimeMs": 2000, "antiAffinity": 1,
	}) {
		return false, errNotRun
	}
	if !sleep(ctx, 50*time.Second) {
		return false, errNotRun
	}
	w.writeRuns()
	broken := 0
	for _, all := range w.runs() {
		slices.SortFunc(all, func(a, b run) int { return a.Started.Compare(b.Started) })
		crashes, after := 0, 0
		for _, r := range all {
			if crashes >= crashesBefore {
				after++
			}
			if r.Crashed {
				crashes++
			}
		}
		w.record.printf("%s crashed %d runners; it was started %d times after the third crash", all[0].name(), crashes, after)
		if after >= startsAfter {
			broken++
		}
	}
	if broken > 0 {
		w.record.printf("BUDGET BROKEN: %d of %d tasks were started three times or more after three runners had crashed under them", broken, deadlyTasks)
		return true, nil
	}
	w.record.printf("BUDGET HELD: %d runs", w.count())
	return false, nil
}
