package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
)

// Guards against a zone that is forgotten or filled again by the next leader
// when the leader is killed right after it accepted that the zone is out, and
// against evicted work that is lost or repeated by that.
func TestLeaderKilledRightAfterZoneOut(t *testing.T) {
	const zone = "z2"
	c := newCluster(t, 3)
	c.addWorkers(2)
	c.addEndpoints()
	c.submit("nightly", 60, 15)
	c.Eventually(func() int { return c.runningIn(zone) }, "20s", "20ms").Should(BeNumerically(">", 4))
	old := c.leader()
	c.operator("zone", "out", zone)
	out := time.Now()
	old.kill()
	next := c.leaderOf(c.others(old))
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(out), old.ID)
	c.Eventually(func() int { return c.runningIn(zone) }, "20s", "50ms").Should(BeZero())
	time.Sleep(time.Until(out.Add(inForce + time.Second)))

	c.Expect(old.start()).To(Succeed())
	c.Expect(old.await("/readyz", 10*time.Second)).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("nightly") }, "60s", "100ms").Should(Equal("completed"))
	c.Expect(workerstandin.StartedBetween(c.recordsIn(zone), out.Add(inForce), time.Now())).To(BeEmpty())
	c.check()
}
