package replica_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
)

// Guards against a configuration of the largest permitted size that is accepted
// and does not reach the other replicas, and against a larger one that is
// appended.
func TestLargestCommandReachesAllReplicas(t *testing.T) {
	c := newCluster(t, 3, 3, 3, nil)
	c.form("e1")
	c.waitFresh()
	config := func(version uint64, size int) state.Command {
		return state.NewCommand(state.SetQueues{Config: state.QueueConfig{Version: version, Source: make([]byte, size)}})
	}
	const overhead = 100
	c.g.Expect(c.propose(c.leader(), config(1, replica.MaxCommandBytes-overhead))).To(Succeed())
	c.put(c.leader(), "later")
	for _, n := range c.nodes {
		c.g.Eventually(func() bool {
			q := n.State().Queues
			return q != nil && len(q.Source) == replica.MaxCommandBytes-overhead
		}, waitTimeout, "10ms").Should(BeTrue(), n.id)
	}
	_, err := c.leader().Propose(c.ctx(), config(2, replica.MaxCommandBytes))
	c.g.Expect(err).To(MatchError(replica.ErrTooLarge))
}
