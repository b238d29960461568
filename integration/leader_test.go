package integration_test

import (
	"encoding/json"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/standin/caller"
	"apricotrouter/worker"
)

// Guards against lost or repeated work, lost responses and a cluster that stays
// without a leader after the leader is killed under load.
func TestLeaderKilledUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	c.addWorkers(1)
	c.addEndpoints()
	c.submit("nightly", 36, 10)
	load := c.startLoad(c.processes, 200)
	time.Sleep(1500 * time.Millisecond)

	old := c.leader()
	killedAt := time.Now()
	old.kill()
	next := c.leader()
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(killedAt), old.ID)
	c.Expect(time.Since(killedAt)).To(BeNumerically("<", 5*time.Second))
	c.awaitServing(c.runningExcept(old), 5*time.Second)

	c.Expect(old.start()).To(Succeed())
	c.Expect(old.awaitOK("/readyz", 10*time.Second)).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("nightly") }, "30s", "100ms").Should(Equal("completed"))
	results := c.stopLoad(load)
	c.Expect(caller.Count(results).Completed).To(BeNumerically(">", len(results)/2))
	c.checkInvariants()
}

// Guards against a partitioned leader that still makes decisions, renews leases
// or forwards requests, and against one that disrupts the group after the
// partition heals.
func TestLeaderCutOffForLongerThanEveryLease(t *testing.T) {
	c := newCluster(t, 3)
	c.addWorkers(1)
	c.addEndpoints()
	c.submit("nightly", 60, 20)
	load := c.startLoad(c.processes, 100)
	time.Sleep(1500 * time.Millisecond)

	isolated := c.leader()
	partitionedAt := time.Now()
	for _, p := range c.runningExcept(isolated) {
		c.Expect(c.network.Blackhole(isolated.ID, p.ID)).To(Succeed())
	}
	next := c.leaderAmong(c.runningExcept(isolated))
	t.Logf("%s leads %v after %s was partitioned", next.ID, time.Since(partitionedAt), isolated.ID)
	_, err := runCLI([]string{"--server", next.Operator, "team", "apply", "changed", "--weight", "7"})
	c.Expect(err).NotTo(HaveOccurred())
	time.Sleep(time.Until(partitionedAt.Add(worker.LeaseDuration*101/100 + 3*time.Second)))

	for _, p := range c.runningExcept(isolated) {
		c.Expect(c.network.Heal(isolated.ID, p.ID)).To(Succeed())
	}
	healedAt := time.Now()
	c.Expect(isolated.awaitOK("/readyz", 10*time.Second)).To(Succeed())
	c.Expect(c.teamWeight(isolated, "changed")).To(BeEquivalentTo(7))
	time.Sleep(2 * time.Second)
	c.Expect(c.leader()).To(BeIdenticalTo(next), "the returning instance must not disrupt the leader")
	c.Eventually(func() string { return c.jobPhase("nightly") }, "30s", "100ms").Should(Equal("completed"))

	results := c.stopLoad(load)
	for _, r := range results {
		duringPartition := r.Target == isolated.Entry && r.Due.After(partitionedAt.Add(2*replica.DefaultFreshnessLease)) && r.Done.Before(healedAt)
		c.Expect(duringPartition && r.Outcome == caller.Completed).To(BeFalse(), "answered by a partitioned instance: %+v", r)
	}
	c.checkInvariants()
}

// leaderAmong waits until one of the processes reports itself as the leader and
// returns it.
func (c *cluster) leaderAmong(processes []*process) *process {
	var found *process
	c.Eventually(func() *process {
		for _, p := range processes {
			if s, err := c.status(p); err == nil && s.Fresh && s.Leader == p.ID {
				found = p
			}
		}
		return found
	}, "20s", "50ms").ShouldNot(BeNil())
	return found
}

// Guards against a restart that takes a second or more or that loses accepted
// changes, after 1,000 changes.
func TestRestartAfterThousandChanges(t *testing.T) {
	const teams, changes = 10, 100
	c := newCluster(t, 3)
	start := time.Now()
	var wg sync.WaitGroup
	for i := range teams {
		wg.Go(func() {
			for n := range changes {
				c.operator("team", "apply", "t"+strconv.Itoa(i), "--weight", strconv.Itoa(n+1))
			}
		})
	}
	wg.Wait()
	t.Logf("%d changes by %d operators in %v", teams*changes, teams, time.Since(start))

	follower := c.runningExcept(c.leader())[0]
	follower.kill()
	restartedAt := time.Now()
	c.Expect(follower.start()).To(Succeed())
	c.Eventually(func() uint64 {
		s, _ := c.status(follower)
		return s.AppliedIndex
	}, "5s", "5ms").Should(BeNumerically(">=", teams*changes))
	took := time.Since(restartedAt)
	t.Logf("restarted process has applied all changes after %v", took)
	c.Expect(took).To(BeNumerically("<", time.Second))

	for _, p := range c.processes {
		p.kill()
	}
	for _, p := range c.processes {
		c.Expect(p.start()).To(Succeed())
	}
	for _, p := range c.processes {
		c.Expect(p.awaitOK("/readyz", 20*time.Second)).To(Succeed())
		for i := range teams {
			c.Expect(c.teamWeight(p, "t"+strconv.Itoa(i))).To(BeEquivalentTo(changes), "t%d on %s", i, p.ID)
		}
	}
}

// teamWeight returns the weight of a team in the view of p, 0 if p has no such
// team.
func (c *cluster) teamWeight(p *process, name string) int64 {
	out, err := runCLI([]string{"--server", p.Operator, "-o", "json", "team", "list"})
	c.Expect(err).NotTo(HaveOccurred())
	var list struct {
		Teams []struct {
			Name   string `json:"name"`
			Weight int64  `json:"weight"`
		} `json:"teams"`
	}
	c.Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
	for _, team := range list.Teams {
		if team.Name == name {
			return team.Weight
		}
	}
	return 0
}

// Guards against a group that loses its quorum when a second instance is killed
// right after a voter was replaced.
func TestSecondInstanceKilledRightAfterRepair(t *testing.T) {
	c := newCluster(t, 5)
	c.operator("team", "apply", "before", "--weight", "3")
	first := c.runningExcept(c.leader())[0]
	for !c.isVoter(first) {
		first = c.runningExcept(first)[0]
	}
	killedAt := time.Now()
	first.kill()
	c.Eventually(func() bool {
		return !c.isVoter(first) && len(c.voters()) == 3
	}, "30s", "20ms").Should(BeTrue())
	t.Logf("%s was replaced %v after it was killed", first.ID, time.Since(killedAt))

	second := c.leader()
	killedAt = time.Now()
	second.kill()
	next := c.leader()
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(killedAt), second.ID)
	c.operator("team", "apply", "after", "--weight", "4")
	for _, p := range c.runningExcept(nil) {
		c.Expect(p.awaitOK("/readyz", 10*time.Second)).To(Succeed())
		c.Expect(c.teamWeight(p, "before")).To(BeEquivalentTo(3))
		c.Eventually(func() int64 { return c.teamWeight(p, "after") }, "3s").Should(BeEquivalentTo(4))
	}
}

// voters returns the ids of the voters in the view of the leader.
func (c *cluster) voters() []string {
	s, err := c.status(c.leader())
	c.Expect(err).NotTo(HaveOccurred())
	var ids []string
	for _, i := range s.Instances {
		if i.Role == "voter" || i.Role == "leader" {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

func (c *cluster) isVoter(p *process) bool {
	for _, id := range c.voters() {
		if id == p.ID {
			return true
		}
	}
	return false
}
