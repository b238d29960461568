//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"apricotrouter/platform/platformtest"
)

func init() { cases["pending"] = waitingNotPending }

const (
	cutTime = 6 * time.Second
	// visible is visible_ms; the rule counts submissions that were accepted
	// visible_ms and 2 s before.
	visible = 3*time.Second + 2*time.Second
)

// waitingNotPending cuts one runner off and hands submissions in. Those whose
// task was meant for that runner wait until the cut has healed.
func waitingNotPending(ctx context.Context, w *world, trouble bool) (bool, error) {
	for i := range runners {
		if err := w.startWorker(ctx, fmt.Sprintf("i-%04d", i), []string{"zone-a", "zone-b"}[i%2]); err != nil {
			return false, err
		}
	}
	w.runTime.Store(int64(10 * time.Second))
	if !sleep(ctx, 4*time.Second) {
		return false, errNotRun
	}
	if trouble {
		w.workers[0].cut(cutTime)
		w.record.printf("%s is cut off", w.workers[0].id)
	}
	begin := time.Now()
	for range runners * tasksPerRunner {
		if !w.submit(1, milliCPUPerTask) {
			return false, errNotRun
		}
	}
	accepted := time.Now()
	broken, read := 0, 0
	for time.Since(begin) < cutTime-200*time.Millisecond {
		if !sleep(ctx, 100*time.Millisecond) {
			return false, errNotRun
		}
		sent := time.Now()
		waiting := w.waiting(sent)
		if sent.Sub(accepted) < visible {
			continue
		}
		status, body := w.call(w.entryAddress(read%entries), platformtest.Read(prefix), 3*time.Second)
		var answer struct {
			Pending *int `json:"pending"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(body), &answer) != nil || answer.Pending == nil {
			return false, fmt.Errorf("%w: GET %s was answered with %d %s", errNotRun, prefix, status, body)
		}
		read++
		w.record.printf("client gets %s; %d submissions that were accepted %s before have not begun", body, waiting, visible)
		if *answer.Pending*2 < waiting {
			broken++
		}
	}
	if !sleep(ctx, 20*time.Second) {
		return false, errNotRun
	}
	w.writeRuns()
	if read == 0 {
		return false, fmt.Errorf("%w: the submissions took too long", errNotRun)
	}
	if broken > 0 {
		w.record.printf("MIXED BROKEN: %d of %d answers gave under half of the waiting submissions as pending", broken, read)
		return true, nil
	}
	w.record.printf("MIXED HELD: %d answers", read)
	return false, nil
}

// waiting returns how many submissions have no run that has begun by then.
func (w *world) waiting(by time.Time) int {
	begun := make(map[string]bool)
	for position, all := range w.runs() {
		for _, r := range all {
			if r.Started.Before(by) {
				begun[position.Workflow] = true
			}
		}
	}
	w.jobsMu.Lock()
	defer w.jobsMu.Unlock()
	n := 0
	for _, id := range w.jobs {
		if !begun[id] {
			n++
		}
	}
	return n
}
