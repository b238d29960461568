package worker_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against notices that grow with the number of workers although nothing
// changes, and against changes that the leader does not learn.
func TestOnlyNewSamplesAreSent(t *testing.T) {
	f := newFixture(t)
	f.s1.Observe()
	f.runTask()
	f.rounds(4*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "a task has started")
	f.rounds(10*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(BeEmpty(), "the usage differs by noise")
	f.rounds(14*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "the last sample is old")

	f.propose(state.ThrottleTask{Task: task, Incarnation: 1, Percent: 50})
	f.rounds(8*time.Second, f.s1)
	f.Expect(len(f.s1.Samples())).To(BeNumerically(">=", 3), "a task is throttled")

	f.propose(state.ThrottleTask{Task: task, Incarnation: 1})
	f.rounds(4*time.Second, f.s1)
	f.s1.Samples()
	f.log.SetLeadership(replica.Leadership{Leader: "b", Term: 2})
	f.rounds(4*time.Second, f.s1)
	f.Expect(f.s1.Samples()).To(HaveLen(1), "a new leader knows no samples")
}
