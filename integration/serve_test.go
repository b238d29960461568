package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/caller"
)

// Guards against instances that depend on each other to serve requests: each of
// three daemons must serve, and two must continue after the third was killed.
func TestTwoInstancesServeAfterOneIsKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.addEndpoints()
	killed := c.processes[2]
	killed.kill()
	remaining := c.runningExcept(killed)
	c.awaitServing(remaining, 10*time.Second)
	load := c.startLoad(remaining, 100)
	time.Sleep(3 * time.Second)
	results := c.stopLoad(load)
	c.Expect(caller.Count(results).Completed).To(BeNumerically(">", len(results)/2))
	c.checkInvariants()
}
