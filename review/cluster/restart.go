//go:build review

package main

import (
	"context"
	"fmt"
	"time"

	"apricotrouter/fleet"
)

func init() { cases["restart"] = restartedRunner }

const (
	runners = 8
	// tasksPerRunner tasks fill a runner.
	milliCPUPerTask = 16000
	tasksPerRunner  = 4
	downtime        = time.Second
)

// restartedRunner crashes one idle runner. It is back after a second under its
// id and at its address, and is given work before its first check-in.
func restartedRunner(ctx context.Context, w *world, trouble bool) (bool, error) {
	for i := range runners {
		if err := w.startWorker(ctx, fmt.Sprintf("i-%04d", i), []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return false, err
		}
	}
	w.runTime.Store(int64(300 * time.Millisecond))
	if !sleep(ctx, 3*time.Second) {
		return false, errNotRun
	}
	// Each runner gets work, so that it has listed ends before.
	for range 5 {
		if !w.submit(runners*tasksPerRunner, milliCPUPerTask) || !sleep(ctx, time.Second) {
			return false, errNotRun
		}
	}
	if !sleep(ctx, 3*time.Second) {
		return false, errNotRun
	}
	victim := w.workers[0]
	if trouble {
		victim.crash()
		w.record.printf("%s crashes", victim.id)
		if !sleep(ctx, downtime) {
			return false, errNotRun
		}
		if err := w.startLife(ctx, victim, heartbeat); err != nil {
			return false, err
		}
		w.record.printf("%s is back, born %d", victim.id, victim.current().born)
	}
	if !w.submit(runners*tasksPerRunner, milliCPUPerTask) {
		return false, errNotRun
	}
	if !sleep(ctx, 15*time.Second) {
		return false, errNotRun
	}
	w.writeRuns()
	return w.judgeTwice()
}

// judgeTwice looks for starts of a task after a run of it has ended as done and
// the end was taken note of while the lease held.
func (w *world) judgeTwice() (bool, error) {
	twice, tasks := 0, 0
	for _, all := range w.runs() {
		tasks++
		for _, a := range all {
			at, noted := a.notedAt()
			if a.Kind != fleet.EndDone || !noted || a.LeaseExpired {
				continue
			}
			for _, b := range all {
				if b.Started.After(a.Ended) {
					twice++
					w.record.printf("TWICE: run %d of %s on %s ended as done at %.3f s, which was taken note of at %.3f s; run %d started on %s at %.3f s",
						a.Number, a.name(), a.Worker, w.record.at(a.Ended), w.record.at(at), b.Number, b.Worker, w.record.at(b.Started))
				}
			}
		}
	}
	if twice > 0 {
		w.record.printf("TWICE BROKEN: %d of %d tasks were started again after they were done", twice, tasks)
		return true, nil
	}
	w.record.printf("TWICE HELD: %d tasks, none started again after it was done", tasks)
	return false, nil
}
