package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	workerstandin "apricotrouter/standin/worker"
)

// Guards against a next leader that loses the drained state of a zone or places
// tasks there again when the leader is killed right after it accepted the drain,
// and against evicted work that is lost or repeated because of it.
func TestLeaderKilledRightAfterZoneOut(t *testing.T) {
	const zone = "z2"
	c := newCluster(t, 3)
	c.addWorkers(2)
	c.addEndpoints()
	c.submit("nightly", 60, 15)
	c.Eventually(func() int { return c.runningInZone(zone) }, "20s", "20ms").Should(BeNumerically(">", 4))
	killed := c.leader()
	c.operator("zone", "out", zone)
	drainedAt := time.Now()
	killed.kill()
	next := c.leaderAmong(c.runningExcept(killed))
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(drainedAt), killed.ID)
	c.Eventually(func() int { return c.runningInZone(zone) }, "20s", "50ms").Should(BeZero())
	time.Sleep(time.Until(drainedAt.Add(applyTimeout + time.Second)))

	c.Expect(killed.start()).To(Succeed())
	c.Expect(killed.awaitOK("/readyz", 10*time.Second)).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("nightly") }, "60s", "100ms").Should(Equal("completed"))
	c.Expect(workerstandin.StartedBetween(c.recordsInZone(zone), drainedAt.Add(applyTimeout), time.Now())).To(BeEmpty())
	c.checkInvariants()
}
