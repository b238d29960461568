package bench

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/caller"
)

// Guards against a baseline endpoint with unlimited concurrency.
func TestQueueServesAsManyAsItHasSlots(t *testing.T) {
	g := NewWithT(t)
	q := newSlotQueue()
	for range slots {
		g.Expect(q.behavior(nil).Delay).To(BeNumerically("<=", serviceTime))
	}
	g.Expect(q.behavior(nil).Delay).To(BeNumerically(">", serviceTime))
}

// Guards against coordinated omission: latencies must count from the due time of a
// request, not from the time when it was sent.
func TestSummaryCountsFromDueTime(t *testing.T) {
	g := NewWithT(t)
	begin := time.Unix(100, 0)
	at := func(due, done time.Duration, o caller.Outcome) caller.Result {
		return caller.Result{Due: begin.Add(due), Done: begin.Add(done), Outcome: o}
	}
	s := summarize([]caller.Result{
		at(-time.Second, 0, caller.Completed), // warm-up
		at(0, 3*time.Second, caller.Completed),
		at(time.Second, time.Second+50*time.Millisecond, caller.Completed),
		at(time.Second, 2*time.Second, caller.NotRun),
		at(time.Second, 2*time.Second, caller.Unknown),
	}, begin, begin.Add(2*time.Second))
	g.Expect(s.p999).To(BeNumerically("~", 3000, 10))
	g.Expect(s.p50).To(BeNumerically("~", 50, 1))
	g.Expect(s.answeredFraction).To(Equal(0.5))
	g.Expect(s.goodput).To(Equal(0.5))
}

// Guards against a run that prints no rows or ignores --json.
func TestSectionAsJSON(t *testing.T) {
	g := NewWithT(t)
	cmd := Command()
	var out bytes.Buffer
	cmd.SetOut(&out)
	cmd.SetArgs([]string{"--only", "placement", "--json"})
	g.Expect(cmd.Execute()).To(Succeed())
	var rows []Row
	g.Expect(json.Unmarshal(out.Bytes(), &rows)).To(Succeed())
	g.Expect(rows).To(ContainElement(And(
		HaveField("Case", "740 workers"), HaveField("Metric", "decisions"), HaveField("Value", BeNumerically(">", 0)))))

	cmd = Command()
	cmd.SilenceUsage, cmd.SilenceErrors = true, true
	cmd.SetArgs([]string{"--only", "nothing"})
	g.Expect(cmd.Execute()).To(MatchError(ContainSubstring("no section")))
}

// Guards against a scaled clock that stops or runs at the wrong rate.
func TestFastClock(t *testing.T) {
	g := NewWithT(t)
	c := newScaledClock(50)
	begin := c.Now()
	timer := c.NewTimer(time.Second)
	g.Eventually(timer.Chan(), "5s").Should(Receive())
	g.Expect(c.Since(begin)).To(BeNumerically(">=", time.Second))
	g.Expect(c.Until(begin)).To(BeNumerically("<=", -time.Second))
}
