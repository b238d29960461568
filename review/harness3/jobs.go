//go:build review

package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	service     = "svc"
	host        = "jobs.example"
	prefix      = "/jobs/"
	maxAttempts = 3
	cancelMS    = 3000
	earlyMS     = 250
)

type stepSpec struct {
	Count           int    `json:"count"`
	CPU             int64  `json:"cpu,omitempty"`
	MemMB           int64  `json:"memMb,omitempty"`
	EstRuntimeMS    int64  `json:"estRuntimeMs,omitempty"`
	DependsOn       []int  `json:"dependsOn,omitempty"`
	Gang            bool   `json:"gang,omitempty"`
	AntiAffinity    int    `json:"antiAffinity,omitempty"`
	AllowDuplicates bool   `json:"allowDuplicates,omitempty"`
	LongRunning     bool   `json:"longRunning,omitempty"`
	Image           string `json:"image,omitempty"`
	TargetMS        int64  `json:"targetMs,omitempty"`
	Fills           bool   `json:"fills,omitempty"`
	NodeSelector    string `json:"nodeSelector,omitempty"`
	DataRack        string `json:"dataRack,omitempty"`
	SameRack        bool   `json:"sameRack,omitempty"`
}

// job is a submission as its client sees it.
type job struct {
	id         string
	taskSpec   string
	steps      []stepSpec
	runCount   int
	startAtMS  int64
	intervalMS int64

	accepted   time.Time
	hopeless   bool // can never be done
	rejected   int  // definite refusals
	unanswered int
	cancelSent time.Time
	cancelled  time.Time // acknowledged
	state      string
}

func (j *job) body() map[string]any {
	b := map[string]any{"taskSpec": j.taskSpec, "steps": j.steps}
	if j.runCount > 0 {
		b["runCount"], b["startAtMs"], b["intervalMs"] = j.runCount, j.startAtMS, j.intervalMS
	}
	return b
}

func hash(parts ...any) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, parts...)
	return h.Sum64()
}

func (j *job) work(task string, run uint64) int64 {
	if *caseName != "" {
		return j.steps[0].EstRuntimeMS
	}
	return 50 + int64(hash("w", task)%900)
}

// fails reports whether a run fails. A task fails less often than maxAttempts.
func (j *job) fails(task string, run uint64) bool {
	return *caseName == "" && hash("f", task, run)%100 < 6
}

// find returns the submission of a task and its step.
func (f *fleet) find(task string) (*job, *stepSpec, int) {
	p := strings.Split(task, ".")
	if len(p) != 4 {
		return nil, nil, 0
	}
	j := f.jobs[p[0]]
	if j == nil {
		return nil, nil, 0
	}
	k, _ := strconv.Atoi(p[1])
	s, _ := strconv.Atoi(p[2])
	i, _ := strconv.Atoi(p[3])
	if s < 0 || s >= len(j.steps) || i < 0 || i >= j.steps[s].Count || k < 0 || k >= max(1, j.runCount) {
		return j, nil, 0
	}
	return j, &j.steps[s], i
}

var hopelessPercent, lasting int

// newJob draws a submission.
func newJob(r *rand.Rand) *job {
	j := &job{id: fmt.Sprintf("%016x", r.Uint64()), taskSpec: fmt.Sprintf("text <%d> & \"more\" é", r.Uint32())}
	n := 1 + r.IntN(3)
	for i := range n {
		s := stepSpec{Count: 1 + r.IntN(5), CPU: int64(500 + r.IntN(1500)), MemMB: int64(200 + r.IntN(800)), EstRuntimeMS: int64(300 + r.IntN(600))}
		if i > 0 {
			s.DependsOn = []int{r.IntN(i)}
			if i > 1 && r.IntN(2) == 0 {
				s.DependsOn = []int{0, 1}
			}
		}
		switch r.IntN(8) {
		case 0, 1:
			s.Gang = true
			if r.IntN(3) == 0 {
				s.SameRack = true
			}
		case 2:
			s.AllowDuplicates = true
		case 3:
			s.AntiAffinity = 1
		case 4:
			s.Fills, s.Image = true, fmt.Sprintf("f%d", r.IntN(3))
		case 5:
			s.DataRack = fmt.Sprintf("r%d", r.IntN(2))
		}
		j.steps = append(j.steps, s)
	}
	if r.IntN(100) < hopelessPercent {
		j.hopeless = true
		s := &j.steps[r.IntN(len(j.steps))]
		s.LongRunning = r.IntN(3) == 0
		switch r.IntN(5) {
		case 0:
			s.CPU = 1_000_000
		case 1:
			s.MemMB = 1_000_000
		case 2:
			s.NodeSelector = "none"
		case 3:
			s.Gang, s.Count = true, 400
		case 4:
			s.AntiAffinity, s.Count, s.Gang = 1, 60, true
		}
		if s.LongRunning {
			s.Image, s.TargetMS = "s0", 50
		}
		return j
	}
	switch r.IntN(7 + 4*lasting) {
	case 0:
		j.runCount, j.intervalMS = 1+r.IntN(4), int64(300+r.IntN(3000))
		j.startAtMS = time.Now().UnixMilli() + int64(r.IntN(4000))
	case 1, 7, 8, 9, 10:
		j.steps = []stepSpec{{Count: 1 + r.IntN(3), CPU: int64(500 + r.IntN(1000)), MemMB: 500, EstRuntimeMS: 300, LongRunning: true, Image: fmt.Sprintf("s%d", r.IntN(2)), TargetMS: 50}}
	}
	return j
}

// check compares what ran with what was asked. The bounds are those of RULES.md.
func (f *fleet) check(end time.Time) {
	byTask := make(map[string][]*record)
	for _, r := range f.records {
		byTask[r.task] = append(byTask[r.task], r)
	}
	endOf := func(r *record) time.Time {
		if r.ended.IsZero() {
			return end
		}
		return r.ended
	}
	show := func(all []*record) string {
		var b strings.Builder
		for _, r := range all {
			fmt.Fprintf(&b, "\n    run %d on %s started %s ended %s %s noted %s lapsed %v", r.run, r.runner, r.started.Format("05.000"),
				r.ended.Format("05.000"), r.how, r.noted.Format("05.000"), r.lapsed)
		}
		return b.String()
	}
	noted := func(r *record, how string) bool { return r.how == how && !r.noted.IsZero() && !r.lapsed }
	doneAt := func(task string) time.Time { // first end done, noted or not
		var at time.Time
		for _, r := range byTask[task] {
			if r.how == "done" && (at.IsZero() || r.ended.Before(at)) {
				at = r.ended
			}
		}
		return at
	}
	gangNoted := func(task string, run uint64) bool {
		prefix := task[:strings.LastIndex(task, ".")+1]
		_, step, _ := f.find(task)
		for i := range step.Count {
			for _, r := range byTask[prefix+strconv.Itoa(i)] {
				if r.run == run && noted(r, "done") {
					return true
				}
			}
		}
		return false
	}
	for task, all := range byTask {
		j, step, _ := f.find(task)
		if step == nil {
			continue
		}
		if !step.AllowDuplicates {
			for i, a := range all {
				for _, b := range all[:i] {
					if a.started.Before(endOf(b)) && b.started.Before(endOf(a)) {
						f.violation("TWICE at the same time: %s%s", task, show([]*record{b, a}))
					}
				}
				for _, b := range all {
					if (noted(b, "done") || step.Gang && b.how == "done" && gangNoted(task, b.run)) && !step.LongRunning && a.started.After(b.ended) {
						f.violation("TWICE after done: %s%s", task, show([]*record{b, a}))
					}
				}
			}
		}
		failed := 0
		var last time.Time
		for _, r := range all {
			if noted(r, "failed") {
				failed++
				if failed == maxAttempts {
					last = r.ended
				}
			}
		}
		if failed >= maxAttempts && !step.LongRunning && !step.AllowDuplicates {
			for _, r := range all {
				if r.started.After(last) {
					f.violation("BUDGET %s%s", task, show(all))
				}
			}
		}
		p := strings.Split(task, ".")
		k, _ := strconv.Atoi(p[1])
		for _, r := range all {
			if j.runCount > 0 {
				due := time.UnixMilli(j.startAtMS + int64(k)*j.intervalMS)
				if r.started.Before(due.Add(-earlyMS * time.Millisecond)) {
					f.violation("ORDER %s started %s before its time", task, due.Sub(r.started))
				}
			}
			for _, d := range step.DependsOn {
				for i := range j.steps[d].Count {
					t := fmt.Sprintf("%s.%d.%d.%d", p[0], k, d, i)
					at := doneAt(t)
					if at.IsZero() || at.After(r.started) {
						f.violation("ORDER %s started %s before %s was done (%s)%s", task, r.started.Format("05.000"), t, at.Format("05.000"), show(byTask[t]))
					}
				}
			}
			if !j.cancelled.IsZero() && r.started.After(j.cancelled.Add(cancelMS*time.Millisecond)) {
				f.violation("UNASKED %s started %s after its cancelling was acknowledged", task, r.started.Sub(j.cancelled))
			}
			if r.how == "alone" && j.cancelSent.IsZero() {
				f.log("note: alone %s run %d", task, r.run)
			}
		}
	}
	for _, j := range f.jobs {
		if len(j.steps) > 0 && j.accepted.IsZero() && j.unanswered == 0 && j.rejected > 0 {
			for t := range byTask {
				if strings.HasPrefix(t, j.id+".") {
					f.violation("REFUSED %s ran though it was rejected", t)
				}
			}
		}
		if j.accepted.IsZero() {
			continue
		}
		allDone := true
		failedOut := false
		for k := range max(1, j.runCount) {
			for s := range j.steps {
				for i := range j.steps[s].Count {
					t := fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, i)
					at := doneAt(t)
					allDone = allDone && !at.IsZero()
					n, crashes := 0, 0
					for _, r := range byTask[t] {
						if r.how == "failed" {
							n++
						}
						if r.how == "crashed" {
							crashes++
						}
					}
					// A task under which two runners have crashed may be given up.
					failedOut = failedOut || crashes >= 2
					if j.steps[s].Gang {
						n = 0
						runs := make(map[uint64]bool)
						for ii := range j.steps[s].Count {
							for _, r := range byTask[fmt.Sprintf("%s.%d.%d.%d", j.id, k, s, ii)] {
								if r.how == "failed" {
									runs[r.run] = true
								}
							}
						}
						n = len(runs)
					}
					failedOut = failedOut || n >= maxAttempts
				}
			}
		}
		if j.hopeless {
			continue
		}
		lasting := j.steps[0].LongRunning
		switch {
		case j.state == "completed" && !allDone:
			f.violation("MIXED %s is completed, but not all of its tasks are done", j.id)
		case j.state == "failed" && !failedOut && j.cancelSent.IsZero():
			f.violation("LOST %s is failed without cause", j.id)
		case j.state == "cancelled" && j.cancelSent.IsZero():
			f.violation("LOST %s is cancelled without cause", j.id)
		case j.state == "gone":
			f.violation("LOST %s was accepted and is gone", j.id)
		case j.cancelSent.IsZero() && !lasting && j.state != "completed" && j.state != "failed":
			f.violation("LOST %s has not ended: %q, accepted %s, steps %+v runs %d", j.id, j.state, j.accepted.Format("05.000"), j.steps, j.runCount)
		case lasting && j.cancelSent.IsZero() && j.state != "active" && j.state != "failed":
			f.violation("LOST lasting %s is %q", j.id, j.state)
		case !j.cancelled.IsZero() && j.state != "cancelled" && j.state != "completed" && j.state != "failed":
			f.violation("LOST %s was cancelled and is %q", j.id, j.state)
		}
		if lasting && j.cancelSent.IsZero() && j.state == "active" {
			for i := range j.steps[0].Count {
				t := fmt.Sprintf("%s.0.0.%d", j.id, i)
				running := false
				for _, r := range byTask[t] {
					running = running || r.ended.IsZero()
				}
				if !running {
					f.violation("LOST lasting task %s does not run%s", t, show(byTask[t]))
				}
			}
		}
	}
}
