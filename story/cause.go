package story

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"apricotrouter/event"
)

// Cause is one reason for which an id failed or took long.
type Cause struct {
	Text string
	// Cost is the time that it took; 0 if that is not known.
	Cost time.Duration
}

const (
	// notableWait is the time from which a wait for a worker is named: several
	// times what a commit and a call take.
	notableWait = 300 * time.Millisecond
	// notableExcess is the time by which a run must outlast its estimate.
	notableExcess = 300 * time.Millisecond
	fullPace      = 100
	milli         = 1000
)

// tally collects causes from lines in the order of time.
type tally struct {
	causes     []Cause
	last       time.Time // of the line before
	leaderless time.Time // when a leader gave up; zero if none did
	wait       time.Duration
	waits      int
	lost       map[string][]time.Duration // times of runs that were not done, by reason
	paced      time.Duration
	slow       time.Duration
	room       string // of the workflow's pool, as last logged
}

func (t *tally) add(cost time.Duration, format string, args ...any) {
	t.causes = append(t.causes, Cause{fmt.Sprintf(format, args...), cost})
}

// Causes returns what delayed or failed the id that the lines are about, the
// most costly first.
func Causes(lines []Line) []Cause {
	t := &tally{lost: make(map[string][]time.Duration)}
	for i := range lines {
		t.take(&lines[i])
		t.last = lines[i].Time
	}
	t.sum()
	slices.SortStableFunc(t.causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Text, b.Text))
	})
	return t.causes
}

func (t *tally) take(l *Line) {
	switch l.Event {
	case event.WorkflowRefused.Number:
		t.add(0, "it was refused: %s", l.text("reason"))
	case event.FleetCall.Number:
		if outcome := l.text("outcome"); outcome == "unknown" || outcome == "unavailable" {
			t.add(0, "a call (%s) had the outcome %s: %s", l.text("operation"), outcome, l.text("reason"))
		}
	case event.FleetStartRefused.Number:
		t.add(0, "worker %s refused run %s of task %s: %s", l.text("worker"), l.text("run"), l.text("task"), l.text("reason"))
	case event.FleetLeaderStopped.Number:
		t.leaderless = l.Time
	case event.FleetLeaderStarted.Number:
		since := t.last
		if !t.leaderless.IsZero() {
			since = t.leaderless
		}
		t.add(l.Time.Sub(since), "the leader changed; the time until another one held the workers is not explained by lines")
	case event.TaskPlaced.Number:
		if w := millis(l.number("waited_ms")); w >= notableWait {
			t.wait, t.waits = max(t.wait, w), t.waits+1
		}
	case event.WorkflowMissedObjective.Number:
		if n := l.number("waiting"); n > 0 {
			t.add(millis(l.number("longest_wait_ms")), "%.0f of its %.0f tasks had no worker when it missed its objective; its largest task needs %.1f processors%s",
				n, l.number("tasks"), l.number("largest_milli_cpu")/milli, t.room)
		}
	case event.PoolCapacity.Number:
		t.room = fmt.Sprintf(", the largest room on a worker was %.1f, and serving tasks reserved %.0f of %.0f",
			l.number("largest_free_milli_cpu")/milli, l.number("serving_milli_cpu")/milli, l.number("milli_cpu")/milli)
	case event.TaskEnded.Number:
		t.ended(l)
	case event.WorkflowEnded.Number:
		t.finished(l)
	}
}

func (t *tally) ended(l *Line) {
	ran, excess := millis(l.number("ran_ms")), millis(l.number("ran_ms")-l.number("estimate_ms"))
	reason := l.text("reason")
	switch {
	case reason != "done":
		t.lost[reason] = append(t.lost[reason], ran)
	case excess < notableExcess:
	case l.number("pace") < fullPace:
		t.paced = max(t.paced, excess)
	default:
		t.slow = max(t.slow, excess)
	}
}

func (t *tally) finished(l *Line) {
	took, objective := millis(l.number("took_ms")), millis(l.number("objective_ms"))
	if took > objective {
		t.add(0, "it %s after %s, %s later than its objective", l.text("phase"), took, took-objective)
		return
	}
	t.add(0, "it %s after %s, within its objective of %s", l.text("phase"), took, objective)
}

// sum adds what takes several lines to tell.
func (t *tally) sum() {
	if t.waits > 0 {
		t.add(t.wait, "%d of its tasks waited for room on a worker, up to %s", t.waits, t.wait)
	}
	for reason, runs := range t.lost {
		t.add(slices.Max(runs), "%d of its runs ended without being done (%s), after up to %s", len(runs), reason, slices.Max(runs))
	}
	if t.paced > 0 {
		t.add(t.paced, "a task was slowed for a serving task and took %s longer than estimated", t.paced)
	}
	if t.slow > 0 {
		t.add(t.slow, "a task at full speed took %s longer than estimated", t.slow)
	}
}

func millis(n float64) time.Duration { return time.Duration(n) * time.Millisecond }
