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

// Guards against lost or repeated work, lost answers and a cluster that stays
// without a leader, when the leader is killed under load.
func TestLeaderKilledUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	c.addWorkers(1)
	c.addEndpoints()
	c.submit("nightly", 36, 10)
	load := c.load(c.processes, 200)
	time.Sleep(1500 * time.Millisecond)

	old := c.leader()
	killed := time.Now()
	old.kill()
	next := c.leader()
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(killed), old.ID)
	c.Expect(time.Since(killed)).To(BeNumerically("<", 5*time.Second))
	c.awaitServing(c.others(old), 5*time.Second)

	c.Expect(old.start()).To(Succeed())
	c.Expect(old.await("/readyz", 10*time.Second)).To(Succeed())
	c.Eventually(func() string { return c.jobPhase("nightly") }, "30s", "100ms").Should(Equal("completed"))
	results := c.end(load)
	c.Expect(caller.Count(results).Completed).To(BeNumerically(">", len(results)/2))
	c.check()
}

// Guards against an isolated leader that goes on deciding, renewing or
// forwarding, and against one that disrupts the group when it comes back.
func TestLeaderCutOffForLongerThanEveryLease(t *testing.T) {
	c := newCluster(t, 3)
	c.addWorkers(1)
	c.addEndpoints()
	c.submit("nightly", 60, 20)
	load := c.load(c.processes, 100)
	time.Sleep(1500 * time.Millisecond)

	old := c.leader()
	cut := time.Now()
	for _, p := range c.others(old) {
		c.Expect(c.network.Silence(old.ID, p.ID)).To(Succeed())
	}
	next := c.leaderOf(c.others(old))
	t.Logf("%s leads %v after %s was cut off", next.ID, time.Since(cut), old.ID)
	_, err := runCLI([]string{"--server", next.Operator, "team", "apply", "changed", "--weight", "7"})
	c.Expect(err).NotTo(HaveOccurred())
	time.Sleep(time.Until(cut.Add(worker.LeaseDuration*101/100 + 3*time.Second)))

	for _, p := range c.others(old) {
		c.Expect(c.network.Heal(old.ID, p.ID)).To(Succeed())
	}
	healed := time.Now()
	c.Expect(old.await("/readyz", 10*time.Second)).To(Succeed())
	c.Expect(c.teamWeight(old, "changed")).To(BeEquivalentTo(7))
	time.Sleep(2 * time.Second)
	c.Expect(c.leader()).To(BeIdenticalTo(next), "the returning instance must not disrupt the leader")
	c.Eventually(func() string { return c.jobPhase("nightly") }, "30s", "100ms").Should(Equal("completed"))

	results := c.end(load)
	for _, r := range results {
		isolated := r.Target == old.Entry && r.Due.After(cut.Add(2*replica.DefaultFreshnessLease)) && r.Done.Before(healed)
		c.Expect(isolated && r.Outcome == caller.Completed).To(BeFalse(), "answered by an instance that is cut off: %+v", r)
	}
	c.check()
}

// leaderOf returns the one of the processes that leads in their own view.
func (c *cluster) leaderOf(of []*process) *process {
	var found *process
	c.Eventually(func() *process {
		for _, p := range of {
			if s, err := c.status(p); err == nil && s.Fresh && s.Leader == p.ID {
				found = p
			}
		}
		return found
	}, "20s", "50ms").ShouldNot(BeNil())
	return found
}

// Guards against a restart that takes long or loses the last accepted
// configuration after many changes.
func TestRestartAfterThousandChanges(t *testing.T) {
	const teams, changes = 10, 100
	c := newCluster(t, 3)
	began := time.Now()
	var wg sync.WaitGroup
	for i := range teams {
		wg.Go(func() {
			for n := range changes {
				c.operator("team", "apply", "t"+strconv.Itoa(i), "--weight", strconv.Itoa(n+1))
			}
		})
	}
	wg.Wait()
	t.Logf("%d changes by %d operators in %v", teams*changes, teams, time.Since(began))

	follower := c.others(c.leader())[0]
	follower.kill()
	restarted := time.Now()
	c.Expect(follower.start()).To(Succeed())
	c.Eventually(func() uint64 {
		s, _ := c.status(follower)
		return s.AppliedIndex
	}, "5s", "5ms").Should(BeNumerically(">=", teams*changes))
	took := time.Since(restarted)
	t.Logf("restarted process has applied all changes after %v", took)
	c.Expect(took).To(BeNumerically("<", time.Second))

	for _, p := range c.processes {
		p.kill()
	}
	for _, p := range c.processes {
		c.Expect(p.start()).To(Succeed())
	}
	for _, p := range c.processes {
		c.Expect(p.await("/readyz", 20*time.Second)).To(Succeed())
		for i := range teams {
			c.Expect(c.teamWeight(p, "t"+strconv.Itoa(i))).To(BeEquivalentTo(changes), "t%d on %s", i, p.ID)
		}
	}
}

// teamWeight returns the weight of a team as p sees it.
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

// Guards against a group that loses its majority when a second instance is
// lost right after a voter was replaced.
func TestSecondInstanceKilledRightAfterRepair(t *testing.T) {
	c := newCluster(t, 5)
	c.operator("team", "apply", "before", "--weight", "3")
	first := c.others(c.leader())[0]
	for !c.votes(first) {
		first = c.others(first)[0]
	}
	killed := time.Now()
	first.kill()
	c.Eventually(func() bool {
		return !c.votes(first) && len(c.voters()) == 3
	}, "30s", "20ms").Should(BeTrue())
	t.Logf("%s was replaced %v after it was killed", first.ID, time.Since(killed))

	second := c.leader()
	killed = time.Now()
	second.kill()
	next := c.leader()
	t.Logf("%s leads %v after %s was killed", next.ID, time.Since(killed), second.ID)
	c.operator("team", "apply", "after", "--weight", "4")
	for _, p := range c.others(nil) {
		c.Expect(p.await("/readyz", 10*time.Second)).To(Succeed())
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

func (c *cluster) votes(p *process) bool {
	for _, id := range c.voters() {
		if id == p.ID {
			return true
		}
	}
	return false
}
