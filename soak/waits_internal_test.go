package soak

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/fleet"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

var epoch = time.Now().Add(-time.Hour)

// between returns a span in seconds from epoch; to 0 means that it has not ended.
func between(from, to float64) span {
	s := span{from: moment(from)}
	if to != 0 {
		s.to = moment(to)
	}
	return s
}

func moment(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// occupied returns the runs of n tasks on a worker.
func occupied(worker string, n int, s span) []usage {
	var all []usage
	for range n {
		all = append(all, usage{s, worker, tenants[0].Key, taskSize})
	}
	return all
}

func idlePool() *history {
	return &history{up: map[string][]span{"a": {between(0, 0)}, "b": {between(0, 0)}}}
}

// Guards against a check that overlooks a serving task that waits beside free
// capacity, and one that reports a wait which the service terms permit.
func TestServingTaskIsLostBesideFreeCapacityOnly(t *testing.T) {
	idle := idlePool().up
	full := func(s span) []usage { return append(occupied("a", 4, s), occupied("b", 4, s)...) }
	bursts := append(append(full(between(17, 18)), full(between(20.9, 21))...), full(between(23.9, 30))...)
	for name, c := range map[string]struct {
		history
		next  []span // runs after the first
		until float64
		want  float64 // 0 for none
	}{
		"nothing else runs":                   {history{up: idle}, nil, 30, 19},
		"its last run still lasts":            {history{up: idle}, []span{between(18, 0)}, 30, 0},
		"it runs again in time":               {history{up: idle}, []span{between(18.9, 25)}, 30, 0},
		"its second wait is too long":         {history{up: idle}, []span{between(12, 15)}, 30, 24},
		"cancelled in time":                   {history{up: idle}, nil, 18.9, 0},
		"room for one only":                   {history{up: idle, usages: append(occupied("a", 4, between(0, 0)), occupied("b", 3, between(0, 0))...)}, nil, 30, 0},
		"room for two":                        {history{up: idle, usages: append(occupied("a", 3, between(0, 0)), occupied("b", 3, between(0, 0))...)}, nil, 30, 19},
		"free before the wait counts":         {history{up: idle, usages: full(between(18, 30))}, nil, 30, 0},
		"free for less than 3 s at once":      {history{up: idle, usages: bursts}, nil, 30, 0},
		"free again later":                    {history{up: idle, usages: full(between(0, 20))}, nil, 30, 23},
		"no memory":                           {history{up: idle, usages: []usage{{between(0, 0), "a", "", state.Resources{MemoryMiB: 3600}}, {between(0, 0), "b", "", state.Resources{MemoryMiB: 3600}}}}, nil, 30, 0},
		"best-effort tasks reserve no CPU":    {history{up: idle, usages: []usage{{between(0, 0), "a", "", state.Resources{MemoryMiB: 2000}}}}, nil, 30, 19},
		"the worker with room is down":        {history{up: map[string][]span{"a": {between(0, 0)}, "b": {between(0, 12)}}, usages: occupied("a", 4, between(0, 0))}, nil, 30, 0},
		"a fault lasts":                       {history{up: idle, disturbances: []span{between(12, 40)}}, nil, 30, 0},
		"a fault without end":                 {history{up: idle, disturbances: []span{between(12, 0)}}, nil, 30, 0},
		"a fault ended less than 7 s before":  {history{up: idle, disturbances: []span{between(12, 23.1)}}, nil, 30, 0},
		"a fault ended longer before":         {history{up: idle, disturbances: []span{between(2, 13)}}, nil, 30, 20},
		"a short fault begins in a long one":  {history{up: idle, disturbances: []span{between(1, 22), between(2, 3)}}, nil, 30, 29},
		"a fault begins after the wait":       {history{up: idle, disturbances: []span{between(25, 40)}}, nil, 30, 19},
		"a fault begins in the last moment":   {history{up: idle, disturbances: []span{between(18.9, 40)}}, nil, 30, 0},
		"full while the faults are not ended": {history{up: idle, disturbances: []span{between(0, 20)}, usages: full(between(0, 25))}, nil, 30, 28},
	} {
		t.Run(name, func(t *testing.T) {
			at := c.lostServingTask(append([]span{between(1, 10)}, c.next...), moment(c.until))
			if c.want == 0 {
				NewWithT(t).Expect(at).To(BeZero())
			} else {
				NewWithT(t).Expect(at).To(BeTemporally("==", moment(c.want)))
			}
		})
	}
}

// Guards against a check that overlooks a job of which nothing runs while most
// capacity is not reserved, and one that reports other jobs.
func TestJobIsLostBesideUnreservedCapacityOnly(t *testing.T) {
	idle := idlePool().up
	const limit = 8 * taskMilliCPU
	for name, c := range map[string]struct {
		history
		runs []span
		due  span
		cap  int64
		want float64 // 0 for none
	}{
		"nothing runs":               {history{up: idle}, nil, between(1, 20), 0, 4},
		"nothing runs after a run":   {history{up: idle}, []span{between(1, 3), between(2, 9)}, between(1, 20), limit, 12},
		"runs follow":                {history{up: idle}, []span{between(1, 3), between(5.9, 8), between(10.9, 0)}, between(1, 20), 0, 0},
		"it ends in time":            {history{up: idle}, nil, between(1, 3.9), 0, 0},
		"a run begins after its end": {history{up: idle}, []span{between(10, 11)}, between(1, 3.9), 0, 0},
		"half is reserved":           {history{up: idle, usages: append(occupied("a", 3, between(0, 0)), occupied("b", 2, between(0, 0))...)}, nil, between(1, 20), 0, 0},
		"less than half is reserved": {history{up: idle, usages: append(occupied("a", 2, between(0, 0)), occupied("b", 2, between(0, 0))...)}, nil, between(1, 20), limit, 4},
		"the tenant is at its cap":   {history{up: idle, usages: occupied("a", 1, between(0, 0))}, nil, between(1, 20), 2 * taskMilliCPU, 0},
		"a fault ended before":       {history{up: idle, disturbances: []span{between(0, 14)}}, nil, between(1, 20), 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			free := func(at time.Time) bool { return c.mostlyFree(at, tenants[0].Key, c.cap) }
			at := c.lostJob(c.runs, c.due, 0, free)
			if c.want == 0 {
				NewWithT(t).Expect(at).To(BeZero())
			} else {
				NewWithT(t).Expect(at).To(BeTemporally("==", moment(c.want)))
			}
		})
	}
}

// Guards against a check of waits that is not applied to the jobs of a run, and one
// that takes work that has ended, was cancelled or was not accepted for waiting.
func TestWaitsOfJobsAreReported(t *testing.T) {
	batch := []state.WorkflowStep{{Count: 1, Size: taskSize}}
	serving := []state.WorkflowStep{{Count: 1, Size: taskSize, LongRunning: true}}
	ended := []record{{Record: pool.Record{Worker: "a", Started: moment(10), Ended: moment(11)}}}
	for name, c := range map[string]struct {
		job
		runs     []record
		findings int
	}{
		"batch job without a run":        {job{steps: batch, accepted: true}, nil, 1},
		"batch job that was late":        {job{steps: batch, accepted: true, phase: "completed"}, ended, 1},
		"batch job that ended":           {job{steps: batch, accepted: true, acceptedAt: moment(9), phase: "completed"}, ended, 0},
		"batch job that was cancelled":   {job{steps: batch, accepted: true, acceptedAt: moment(9), cancelSent: moment(12)}, ended, 0},
		"batch job not accepted":         {job{steps: batch}, nil, 0},
		"serving job without a run":      {job{steps: serving, accepted: true}, nil, 1},
		"serving job without a next run": {job{steps: serving, accepted: true, acceptedAt: moment(9)}, ended, 1},
		"serving job cancelled in time":  {job{steps: serving, accepted: true, acceptedAt: moment(9), cancelSent: moment(19), phase: "cancelled"}, ended, 0},
	} {
		t.Run(name, func(t *testing.T) {
			j := c.job
			j.id, j.key = "job", tenants[1].Key
			if j.acceptedAt.IsZero() {
				j.acceptedAt = moment(1)
			}
			r := &run{environment: environment{jobs: map[string]*job{j.id: &j}, workers: []*worker{
				{id: "a", incarnations: []*incarnation{{startedAt: epoch.UnixMilli()}}},
			}}}
			r.checkWaits(map[fleet.TaskPosition][]record{{Workflow: j.id}: c.runs})
			NewWithT(t).Expect(r.findings).To(HaveLen(c.findings))
		})
	}
}
