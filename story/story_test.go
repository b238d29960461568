package story_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/story"
)

const logText = `core-a-1 {"time":"2026-01-03T01:00:01.5Z","level":"INFO","msg":"task placed","event":821,"name":"task-placed","workflow":"aa","task":0,"run":1,"worker":"w1","waited_ms":1200}
core-a-1 {"time":"2026-01-03T01:00:01Z","level":"INFO","msg":"workflow accepted","event":811,"name":"workflow-accepted","workflow":"aa","request":"r-1"}
core-a-1 {"time":"2026-01-03T01:00:02Z","level":"WARN","msg":"worker is unresponsive","event":833,"name":"worker-silent","worker":"w1"}
core-a-1 {"time":"2026-01-03T01:00:02Z","level":"WARN","msg":"worker is unresponsive","event":833,"name":"worker-silent","worker":"w2"}
core-b-1 {"time":"2026-01-03T01:00:04Z","level":"INFO","msg":"leader controls the workers","event":803,"name":"fleet-took-over","fence":196609}
core-b-1 {"time":"2026-01-03T01:00:07Z","level":"INFO","msg":"run of a task ended","event":824,"name":"task-ended","workflow":"aa","task":0,"run":1,"worker":"w1","reason":"lease ended","ran_ms":5500,"estimate_ms":800,"pace":100}
core-b-1 {"time":"2026-01-03T01:00:08Z","level":"INFO","msg":"run of a task ended","event":824,"name":"task-ended","workflow":"bb","task":0,"run":1,"worker":"w2","reason":"done","ran_ms":2000,"estimate_ms":800,"pace":40}
core-b-1 {"time":"2026-01-03T01:00:09Z","level":"INFO","msg":"workflow ended","event":813,"name":"workflow-ended","workflow":"aa","phase":"completed","took_ms":8000,"objective_ms":1500}
core-b-1 {"time":"2026-01-03T01:00:10Z","level":"INFO","msg":"workflow accepted","event":811,"name":"workflow-accepted","workflow":"dd"}
core-b-1 {"time":"2026-01-03T01:00:11.5Z","level":"INFO","msg":"capacity of a pool after a placement pass","event":828,"name":"pool-room","pool":"p","milli_cpu":64000,"serving_milli_cpu":60000,"largest_free_milli_cpu":2500}
core-b-1 {"time":"2026-01-03T01:00:11.6Z","level":"INFO","msg":"capacity of a pool after a placement pass","event":828,"name":"pool-room","pool":"other","milli_cpu":64000,"serving_milli_cpu":0,"largest_free_milli_cpu":64000}
core-b-1 {"time":"2026-01-03T01:00:12Z","level":"INFO","msg":"workflow missed its objective","event":814,"name":"workflow-late","workflow":"dd","pool":"p","tasks":4,"waiting":3,"largest_milli_cpu":9000,"longest_wait_ms":1900}
panic: not a line of ours
{"time":"2026-01-03T01:00:00Z","level":"WARN","msg":"call completed","event":805,"name":"fleet-call","operation":"submit","path":"/q/cc","outcome":"unknown","reason":"the leader did not answer in time"}
`

func readLog(t *testing.T) *story.Log {
	l := new(story.Log)
	NewWithT(t).Expect(l.Read(strings.NewReader(logText))).To(Succeed())
	return l
}

// Guards against lines that lack the events of the leader or of the workers
// involved, include those of other workers, or are out of order.
func TestOfReturnsLinesOfIDWithLeaderAndWorkerEvents(t *testing.T) {
	g := NewWithT(t)
	l := readLog(t)
	g.Expect(l.Skipped).To(Equal(1))
	names := func(id string) []string {
		var all []string
		for _, line := range l.LinesAbout(id) {
			all = append(all, line.Name)
		}
		return all
	}
	g.Expect(names("aa")).To(Equal([]string{
		"workflow-accepted", "task-placed", "worker-silent", "fleet-took-over", "task-ended", "workflow-ended",
	}))
	g.Expect(names("r-1")).To(Equal([]string{"workflow-accepted"}))
	g.Expect(names("dd")).To(Equal([]string{"workflow-accepted", "pool-room", "workflow-late"}))
	g.Expect(names("cc")).To(Equal([]string{"fleet-call"}))
	g.Expect(names("none")).To(BeEmpty())
	g.Expect(l.LinesAbout("aa")[0].Source).To(Equal("core-a-1"))
}

// Guards against causes that are missed or listed after less costly ones.
func TestCausesAreRankedByTheirCost(t *testing.T) {
	g := NewWithT(t)
	l := readLog(t)
	texts := func(id string) []string {
		var all []string
		for _, c := range story.Causes(l.LinesAbout(id)) {
			all = append(all, c.Text)
		}
		return all
	}
	g.Expect(texts("aa")).To(Equal([]string{
		"1 of its runs ended without being done (lease ended), after up to 5.5s",
		"the leader changed; the time until another one held the workers is not explained by lines",
		"1 of its tasks waited for room on a worker, up to 1.2s",
		"it completed after 8s, 6.5s later than its objective",
	}))
	g.Expect(texts("bb")).To(Equal([]string{"a task was slowed for a serving task and took 1.2s longer than estimated"}))
	g.Expect(texts("dd")).To(Equal([]string{"3 of its 4 tasks had no worker when it missed its objective; its largest task needs 9.0 processors, " +
		"the largest room on a worker was 2.5, and serving tasks reserved 60 of 64"}))
	g.Expect(texts("cc")).To(Equal([]string{"a call (submit) had the outcome unknown: the leader did not answer in time"}))
}

// Guards against input, such as lines of other programs, on which Read or Causes
// panics.
func FuzzRead(f *testing.F) {
	f.Add(logText)
	f.Add(`{"time":"x","event":1}`)
	f.Fuzz(func(t *testing.T, data string) {
		l := new(story.Log)
		if err := l.Read(strings.NewReader(data)); err != nil {
			return
		}
		for _, line := range l.Lines {
			story.Causes(l.LinesAbout(line.Source))
		}
	})
}
