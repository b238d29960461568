package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
)

// Guards against a task that runs on two workers or is declared lost too early
// when the network to its worker fails, first for less and then for more than
// the lease duration.
func TestWorkerCutOffAndBack(t *testing.T) {
	const tasks, tenths = 9, 140 // longer than a lease
	c := newCluster(t, 3)
	c.addWorkers(1)
	w := c.workers[0]

	c.submit("short-partition", tasks, tenths)
	c.Eventually(func() int { return countRunning(w) }, "20s", "20ms").Should(BeNumerically(">", 0))
	c.Expect(c.network.Blackhole("instances", w.ID())).To(Succeed())
	time.Sleep(7 * time.Second)
	c.Expect(c.network.Heal("instances", w.ID())).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("short-partition") }, "30s", "100ms").Should(Equal("completed"))
	c.Expect(w.Records()).NotTo(ContainElement(HaveField("End", workerstandin.EndLeaseExpired)))
	c.checkInvariants()

	c.submit("long-partition", tasks, tenths)
	c.Eventually(func() int { return countRunning(w) }, "20s", "20ms").Should(BeNumerically(">", 0))
	c.Expect(c.network.Blackhole("instances", w.ID())).To(Succeed())
	time.Sleep(18 * time.Second)
	c.Expect(w.Records()).To(ContainElement(HaveField("End", workerstandin.EndLeaseExpired)))
	c.Expect(c.network.Heal("instances", w.ID())).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("long-partition") }, "40s", "100ms").Should(Equal("completed"))

	c.submit("after", tasks, 5)
	c.Eventually(func() int { return countRunning(w) }, "20s", "20ms").Should(BeNumerically(">", 0), "a worker that is reachable again must get tasks")
	c.Eventually(func() string { return c.jobPhase("after") }, "20s", "100ms").Should(Equal("completed"))
	c.checkInvariants()
}

func countRunning(w *workerstandin.Worker) int {
	n := 0
	for _, r := range w.Records() {
		if r.End == workerstandin.EndNone {
			n++
		}
	}
	return n
}
