package integration_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/caller"
)

// Guards against instances that serve only together: each of three daemons
// serves a request, and two go on serving after one was killed.
func TestTwoInstancesServeAfterOneIsKilled(t *testing.T) {
	c := newCluster(t, 3)
	c.addEndpoints()
	killed := c.processes[2]
	killed.kill()
	left := c.others(killed)
	c.awaitServing(left, 10*time.Second)
	load := c.load(left, 100)
	time.Sleep(3 * time.Second)
	results := c.end(load)
	c.Expect(caller.Count(results).Completed).To(BeNumerically(">", len(results)/2))
	c.check()
}
