package workerstandin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"apricotrouter/state"
	"apricotrouter/worker"
)

// End is the way in which a run ended.
type End string

// Ends of a run.
const (
	EndNone         End = "" // still running
	EndExited       End = "exited"
	EndFailed       End = "failed"
	EndStopped      End = "stopped"
	EndLeaseExpired End = "lease-ended"
	EndReboot       End = "reboot"
)

// Record describes one run of one incarnation of a task. Times are on the clock
// that the workers share, so records of several workers can be compared.
type Record struct {
	worker.TaskKey
	Worker     string
	BootID     string
	Fence      uint64 // fence of the call that started the run
	Owner      string
	Kind       state.TaskKind
	Resources  state.Resources
	Checkpoint string // from which the run started
	Start      time.Time
	Finish     time.Time // zero while running
	End        End
	// From and To are the progress at the start and at the end.
	From, To time.Duration
	// Throttle is the share of the task's CPU that is withheld, in percent.
	Throttle int64
}

// run is a Record with the state of the simulated run.
type run struct {
	Record
	totalWork        time.Duration // run time at full speed; 0 or less runs until stopped
	outcome          End           // end of the run when its work is done
	reason           string
	progressAtChange time.Duration // progress at changedAt
	changedAt        time.Time
	throttlePercent  int64
	throttles        throttleHistory
}

// throttleHistory is the history of a run's throttle, in the order of time.
type throttleHistory []throttleChange

type throttleChange struct {
	at      time.Time
	percent int64
}

// at returns the throttle at time t, in percent.
func (h throttleHistory) at(t time.Time) int64 {
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
		outcome:          EndExited,
		progressAtChange: from,
		changedAt:        now,
	}
	switch {
	case w.o.RunTime != nil:
		r.totalWork = w.o.RunTime(q)
	case q.Kind == state.KindBatch:
		r.totalWork = time.Duration(q.ExpectedSeconds) * time.Second
	}
	if w.o.Failure != nil {
		r.reason = w.o.Failure(q)
	}
	if w.failAll != "" {
		r.reason = w.failAll
		r.totalWork = from + failingRunTime
	}
	if r.reason != "" {
		r.outcome = EndFailed
	}
	return r
}

// failingRunTime is the run time of tasks while FailAll is in effect.
const failingRunTime = 50 * time.Millisecond

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

// speed is the fraction of full speed at which the run progresses, 0 to 1.
func (r *run) speed() float64 { return 1 - float64(r.throttlePercent)/100 }

// progress returns the progress at time t.
func (r *run) progress(t time.Time) time.Duration {
	p := r.progressAtChange + time.Duration(float64(t.Sub(r.changedAt))*r.speed())
	if r.totalWork > 0 {
		p = min(p, r.totalWork)
	}
	return p
}

// doneAt returns the time at which the work is done at the current speed. It
// returns zero for a run that does not end.
func (r *run) doneAt() time.Time {
	if r.totalWork <= 0 || r.speed() <= 0 {
		return time.Time{}
	}
	left := max(r.totalWork-r.progressAtChange, 0)
	return r.changedAt.Add(time.Duration(float64(left) / r.speed()))
}

func (r *run) throttle(now time.Time, throttlePercent int64) {
	r.progressAtChange = r.progress(now)
	r.changedAt = now
	r.throttlePercent = min(max(throttlePercent, 0), 100)
	r.throttles = append(r.throttles, throttleChange{now, r.throttlePercent})
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

// parseCheckpoint returns the progress in a checkpoint, or 0 if it is invalid.
func parseCheckpoint(s string) time.Duration {
	ms, err := strconv.ParseInt(strings.TrimPrefix(s, checkpointPrefix), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}
