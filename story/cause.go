package story

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"apricotrouter/event"
)

// Cause is one reason why a request, workflow or job failed or was delayed.
type Cause struct {
	Text string
	// Cost is the delay due to this cause; 0 if it is unknown.
	Cost time.Duration
}

const (
	// minReportedWait is the shortest reported wait for a worker. It is several
	// times the duration of a commit and a call.
	minReportedWait = 300 * time.Millisecond
	// minReportedExcess is the shortest reported time by which a run exceeds its
	// estimate.
	minReportedExcess = 300 * time.Millisecond
	fullSpeedPercent  = 100
	milliCPUPerCPU    = 1000
)

// causeCollector collects causes from lines in chronological order.
type causeCollector struct {
	causes            []Cause
	previousLineAt    time.Time     // time of the previous line
	leaderStoppedAt   time.Time     // when a leader last stopped; zero if none did
	longestWait       time.Duration // for a worker
	waitCount         int
	unfinishedRuns    map[string][]time.Duration // durations of runs that ended without completing, by reason
	rateLimitedExcess time.Duration              // largest excess over the estimate of a rate-limited run
	fullSpeedExcess   time.Duration              // largest excess over the estimate of a run at full speed
	poolCapacity      string                     // last logged free and reserved CPU of the workflow's pool
}

func (c *causeCollector) addCause(cost time.Duration, format string, args ...any) {
	c.causes = append(c.causes, Cause{fmt.Sprintf(format, args...), cost})
}

// Causes returns the causes of delays and failures found in lines, the most
// costly first. The lines must concern one id and be in chronological order, as
// Log.LinesAbout returns them.
func Causes(lines []Line) []Cause {
	collector := &causeCollector{unfinishedRuns: make(map[string][]time.Duration)}
	for i := range lines {
		collector.addLine(&lines[i])
		collector.previousLineAt = lines[i].Time
	}
	collector.addTotals()
	slices.SortStableFunc(collector.causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Cost, a.Cost), cmp.Compare(a.Text, b.Text))
	})
	return collector.causes
}

func (c *causeCollector) addLine(l *Line) {
	switch l.Event {
	case event.WorkflowRefused.Number:
		c.addCause(0, "it was refused: %s", l.stringAttr("reason"))
	case event.FleetCall.Number:
		if outcome := l.stringAttr("outcome"); outcome == "unknown" || outcome == "unavailable" {
			c.addCause(0, "a call (%s) had the outcome %s: %s", l.stringAttr("operation"), outcome, l.stringAttr("reason"))
		}
	case event.FleetStartRefused.Number:
		c.addCause(0, "worker %s refused run %s of task %s: %s", l.stringAttr("worker"), l.stringAttr("run"), l.stringAttr("task"), l.stringAttr("reason"))
	case event.FleetLeaderStopped.Number:
		c.leaderStoppedAt = l.Time
	case event.FleetLeaderStarted.Number:
		since := c.previousLineAt
		if !c.leaderStoppedAt.IsZero() {
			since = c.leaderStoppedAt
		}
		c.addCause(l.Time.Sub(since), "the leader changed; the time until another one held the workers is not explained by lines")
	case event.TaskPlaced.Number:
		if w := milliseconds(l.numberAttr("waited_ms")); w >= minReportedWait {
			c.longestWait, c.waitCount = max(c.longestWait, w), c.waitCount+1
		}
	case event.WorkflowMissedObjective.Number:
		if n := l.numberAttr("waiting"); n > 0 {
			c.addCause(milliseconds(l.numberAttr("longest_wait_ms")), "%.0f of its %.0f tasks had no worker when it missed its objective; its largest task needs %.1f processors%s",
				n, l.numberAttr("tasks"), l.numberAttr("largest_milli_cpu")/milliCPUPerCPU, c.poolCapacity)
		}
	case event.PoolCapacity.Number:
		c.poolCapacity = fmt.Sprintf(", the largest room on a worker was %.1f, and serving tasks reserved %.0f of %.0f",
			l.numberAttr("largest_free_milli_cpu")/milliCPUPerCPU, l.numberAttr("serving_milli_cpu")/milliCPUPerCPU, l.numberAttr("milli_cpu")/milliCPUPerCPU)
	case event.TaskEnded.Number:
		c.addTaskEnd(l)
	case event.WorkflowEnded.Number:
		c.addWorkflowEnd(l)
	}
}

func (c *causeCollector) addTaskEnd(l *Line) {
	runTime, excess := milliseconds(l.numberAttr("ran_ms")), milliseconds(l.numberAttr("ran_ms")-l.numberAttr("estimate_ms"))
	reason := l.stringAttr("reason")
	switch {
	case reason != "done":
		c.unfinishedRuns[reason] = append(c.unfinishedRuns[reason], runTime)
	case excess < minReportedExcess:
	case l.numberAttr("pace") < fullSpeedPercent:
		c.rateLimitedExcess = max(c.rateLimitedExcess, excess)
	default:
		c.fullSpeedExcess = max(c.fullSpeedExcess, excess)
	}
}

func (c *causeCollector) addWorkflowEnd(l *Line) {
	duration, objective := milliseconds(l.numberAttr("took_ms")), milliseconds(l.numberAttr("objective_ms"))
	if duration > objective {
		c.addCause(0, "it %s after %s, %s later than its objective", l.stringAttr("phase"), duration, duration-objective)
		return
	}
	c.addCause(0, "it %s after %s, within its objective of %s", l.stringAttr("phase"), duration, objective)
}

// addTotals adds the causes that are derived from several lines.
func (c *causeCollector) addTotals() {
	if c.waitCount > 0 {
		c.addCause(c.longestWait, "%d of its tasks waited for room on a worker, up to %s", c.waitCount, c.longestWait)
	}
	for reason, runs := range c.unfinishedRuns {
		c.addCause(slices.Max(runs), "%d of its runs ended without being done (%s), after up to %s", len(runs), reason, slices.Max(runs))
	}
	if c.rateLimitedExcess > 0 {
		c.addCause(c.rateLimitedExcess, "a task was slowed for a serving task and took %s longer than estimated", c.rateLimitedExcess)
	}
	if c.fullSpeedExcess > 0 {
		c.addCause(c.fullSpeedExcess, "a task at full speed took %s longer than estimated", c.fullSpeedExcess)
	}
}

func milliseconds(n float64) time.Duration { return time.Duration(n) * time.Millisecond }
