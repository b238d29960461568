//go:build review

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	steps map[string][]step // by submission
	// breaks are the starts that broke the rule.
	breaks  []string
	onStart func(r *runner, x *run) // called while the runner is locked
	// crashes and failures count, by submission, the runners that crashed under
	// a task and the runs that ended as failed.
	crashes, failures map[string]int
}

type step struct {
	size         size
	runtime      time.Duration // 0: the tasks last
	antiAffinity int
	fills        bool
	targetMS     int
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now(), steps: make(map[string][]step), crashes: make(map[string]int), failures: make(map[string]int)}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks = append(r.breaks, text)
}

func (r *record) declare(id string, steps ...step) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps[id] = steps
}

// stepOf returns the step of a task, which is called ID.K.STEP.INDEX.
func (r *record) stepOf(task string) step {
	r.mu.Lock()
	defer r.mu.Unlock()
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[2])
	if steps := r.steps[parts[0]]; err == nil && n < len(steps) {
		return steps[n]
	}
	return step{}
}

func (r *record) started(w *runner, x *run) {
	r.line("start %s run %d on %s", x.task, x.id, w.id)
	if r.onStart != nil {
		r.onStart(w, x)
	}
}

func (r *record) endedRun(w *runner, x *run, how string) {
	r.line("end %s run %d on %s: %s", x.task, x.id, w.id, how)
	if how == "failed" {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failures[submission(x.task)]++
	}
}

// stepName returns ID.K.STEP of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// submission returns ID of a task.
func submission(task string) string { return task[:strings.IndexByte(task, '.')] }

// crashed records that a runner crashed under a task.
func (r *record) crashed(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes[submission(task)]++
}

// endsOf returns how many runners crashed under the tasks of a submission, and
// how many of their runs failed.
func (r *record) endsOf(id string) (crashes, failures int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes[id], r.failures[id]
}
