package workerstandin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// End is how a run ended.
type End string

// Ends of a run.
const (
	EndNone    End = "" // still running
	EndExited  End = "exited"
	EndFailed  End = "failed"
	EndStopped End = "stopped"
	EndLease   End = "lease-ended"
	EndReboot  End = "reboot"
)

// Record is one run of one incarnation of a task. Times are of the shared
// clock, so records of several workers can be compared.
type Record struct {
	worker.TaskKey
	Worker     string
	BootID     string
	Fence      uint64 // under which it was started
	Owner      string
	Kind       state.TaskKind
	Resources  state.Resources
	Checkpoint string // that it started from
	Start      time.Time
	Finish     time.Time // zero while running
	End        End
	// From and To are the progress at the start and at the end.
	From, To time.Duration
	// Throttle is the share of its processors taken away, in percent.
	Throttle int64
}

// run is a Record with what is needed to continue it.
type run struct {
	Record
	total   time.Duration // work in all; 0 or less has no end
	outcome End           // when the work is done
	reason  string
	done    time.Duration // progress at changed
	changed time.Time
	percent int64
	history throttles
}

// throttles is the history of a run's throttle.
type throttles []throttleChange

type throttleChange struct {
	at      time.Time
	percent int64
}

// at returns the throttle in force at t.
func (h throttles) at(t time.Time) int64 {
	percent := int64(0)
	for _, c := range h {
		if c.at.After(t) {
			break
		}
		percent = c.percent
	}
	return percent
}

func (w *Worker) newRun(now time.Time, q worker.StartRequest) *run {
	from := parseCheckpoint(q.Checkpoint)
	r := &run{
		Record: Record{
			TaskKey: q.TaskKey, Worker: w.o.ID, BootID: w.bootID(), Fence: q.Fence,
			Owner: q.Owner, Kind: q.Kind, Resources: q.Resources, Checkpoint: q.Checkpoint,
			Start: now, From: from,
		},
		outcome: EndExited,
		done:    from,
		changed: now,
	}
	switch {
	case w.o.RunTime != nil:
		r.total = w.o.RunTime(q)
	case q.Kind == state.KindBatch:
		r.total = time.Duration(q.ExpectedSeconds) * time.Second
	}
	if w.o.Failure != nil {
		r.reason = w.o.Failure(q)
	}
	if w.failAll != "" {
		r.reason = w.failAll
		r.total = from + failTime
	}
	if r.reason != "" {
		r.outcome = EndFailed
	}
	return r
}

// failTime is how long a task runs on a worker that fails everything.
const failTime = 50 * time.Millisecond

func (r *run) ended() bool { return r.End != EndNone }

func (r *run) state() worker.TaskState {
	switch r.End {
	case EndNone:
		return worker.TaskRunning
	case EndFailed:
		return worker.TaskFailed
	default:
		return worker.TaskExited
	}
}

// speed is the progress per unit of time.
func (r *run) speed() float64 { return 1 - float64(r.percent)/100 }

// progress returns the work done at t.
func (r *run) progress(t time.Time) time.Duration {
	p := r.done + time.Duration(float64(t.Sub(r.changed))*r.speed())
	if r.total > 0 {
		p = min(p, r.total)
	}
	return p
}

// doneAt returns when the work is done at the present speed, or zero.
func (r *run) doneAt() time.Time {
	if r.total <= 0 || r.speed() <= 0 {
		return time.Time{}
	}
	left := max(r.total-r.done, 0)
	return r.changed.Add(time.Duration(float64(left) / r.speed()))
}

func (r *run) throttle(now time.Time, percent int64) {
	r.done = r.progress(now)
	r.changed = now
	r.percent = min(max(percent, 0), 100)
	r.history = append(r.history, throttleChange{now, r.percent})
}

func (r *run) end(at time.Time, e End) {
	r.To = r.progress(at)
	r.Finish = at
	r.End = e
}

// runningAt reports whether the run was running at t.
func (r *run) runningAt(t time.Time) bool {
	return !r.Start.After(t) && (!r.ended() || r.Finish.After(t))
}

const checkpointPrefix = "progress-ms:"

func formatCheckpoint(p time.Duration) string {
	return fmt.Sprintf("%s%d", checkpointPrefix, p.Milliseconds())
}

// parseCheckpoint returns the progress that a checkpoint holds, or 0.
func parseCheckpoint(s string) time.Duration {
	ms, err := strconv.ParseInt(strings.TrimPrefix(s, checkpointPrefix), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
