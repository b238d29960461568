package replica_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a group in which some instance, with or without a disk, can't
// propose or misses a committed change.
func TestEveryInstanceProposesAndApplies(t *testing.T) {
	c := newCluster(t, 8, 6, 5, nil)
	c.form("e7")
	for _, id := range c.ids {
		c.put(c.nodes[id], "team-"+id)
	}
	for _, n := range c.nodes {
		for _, id := range c.ids {
			c.g.Eventually(func() bool { return has(n, "team-"+id) }, patience, "5ms").Should(BeTrue())
		}
		c.g.Eventually(func() int { return n.State().Instances.Len() }, patience, "5ms").Should(Equal(8))
	}
}
