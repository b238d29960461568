package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against sending unchanged samples, whose volume grows with the number of
// workers, and against not sending changes to the leader.
func TestOnlyNewSamplesAreSent(t *testing.T) {
	f := newFixture(t)
	f.s1.Observe()
	f.runTask()
	f.poll(4*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "a task has started")
	f.poll(10*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(BeEmpty(), "the usage differs by noise")
	f.poll(14*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "the last sample is old")

	f.propose(state.ThrottleTask{Task: task, Incarnation: 1, Percent: 50})
	f.poll(8*time.Second, f.s1)
	f.Expect(len(f.s1.Samples())).To(BeNumerically(">=", 3), "a task is throttled")

	f.propose(state.ThrottleTask{Task: task, Incarnation: 1})
	f.poll(4*time.Second, f.s1)
	f.s1.Samples()
	f.log.SetLeadership(replica.Leadership{Leader: "b", Term: 2})
	f.poll(4*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "a new leader has no samples")
}
