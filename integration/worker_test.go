package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
)

// Guards against a task that runs in two places, or is given up too early,
// when the network to its worker fails for less and then for more than its
// lease.
func TestWorkerCutOffAndBack(t *testing.T) {
	const tasks, tenths = 9, 140 // longer than a lease
	c := newCluster(t, 3)
	c.addWorkers(1)
	w := c.workers[0]

	c.submit("short-cut", tasks, tenths)
	c.Eventually(func() int { return running(w) }, "20s", "20ms").Should(BeNumerically(">", 0))
	c.Expect(c.network.Silence("instances", w.ID())).To(Succeed())
	time.Sleep(7 * time.Second)
	c.Expect(c.network.Heal("instances", w.ID())).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("short-cut") }, "30s", "100ms").Should(Equal("completed"))
	c.Expect(w.Records()).NotTo(ContainElement(HaveField("End", workerstandin.EndLeaseExpired)))
	c.check()

	c.submit("long-cut", tasks, tenths)
	c.Eventually(func() int { return running(w) }, "20s", "20ms").Should(BeNumerically(">", 0))
	c.Expect(c.network.Silence("instances", w.ID())).To(Succeed())
	time.Sleep(18 * time.Second)
	c.Expect(w.Records()).To(ContainElement(HaveField("End", workerstandin.EndLeaseExpired)))
	c.Expect(c.network.Heal("instances", w.ID())).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("long-cut") }, "40s", "100ms").Should(Equal("completed"))

	c.submit("after", tasks, 5)
	c.Eventually(func() int { return running(w) }, "20s", "20ms").Should(BeNumerically(">", 0), "a returned worker takes tasks")
	c.Eventually(func() string { return c.jobPhase("after") }, "20s", "100ms").Should(Equal("completed"))
	c.check()
}

func running(w *workerstandin.Worker) int {
	n := 0
	for _, r := range w.Records() {
		if r.End == workerstandin.EndNone {
			n++
		}
	}
	return n
}
