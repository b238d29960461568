package replica_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// useDefaultTiming restores the default intervals that newCluster shortens.
func useDefaultTiming(o *replica.Options) { o.Tick, o.FreshnessInterval = 0, 0 }

// proposeAll proposes count commands from the given number of goroutines.
func proposeAll(b testing.TB, n *node, prefix string, count, workers int) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := next.Add(1); i <= int64(count); i = next.Add(1) {
				c := state.NewCommand(state.ApplyTeam{Name: fmt.Sprintf("%s-%d", prefix, i), Weight: 1})
				if _, err := n.Propose(context.Background(), c); err != nil {
					b.Error(err)
				}
			}
		}()
	}
	wg.Wait()
}

// BenchmarkCommit measures commits by 3 voters with disks in one process.
func BenchmarkCommit(b *testing.B) {
	for _, workers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("proposers=%d", workers), func(b *testing.B) {
			c := newCluster(b, 3, 3, 3, useDefaultTiming)
			c.form("e1")
			leader := c.leader()
			b.ResetTimer()
			proposeAll(b, leader, "t", b.N, workers)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
		})
	}
}

// BenchmarkRestart measures New on a data directory that contains the given
// number of changes.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{100, 1000, 5000, 20000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			c := newCluster(b, 1, 1, 1, useDefaultTiming)
			c.form("e1")
			proposeAll(b, c.leader(), "t", changes, 256)
			dir := c.stop("e1").dir
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				o := c.options("e1", dir)
				b.StartTimer()
				r, err := replica.New(o)
				c.g.Expect(err).NotTo(HaveOccurred())
				c.g.Expect(r.State().Teams.Len()).To(Equal(changes))
			}
		})
	}
}

// BenchmarkNewLeader measures the time from the loss of the leader, which stops
// without a transfer, until there is a new confirmed leader and until all other
// instances have a valid lease again. Timing options are the defaults.
func BenchmarkNewLeader(b *testing.B) {
	c := newCluster(b, 8, 5, 5, useDefaultTiming)
	c.form("e1")
	var toLeader, toFresh time.Duration
	for range b.N {
		b.StopTimer()
		lost := c.stop(c.leader().id)
		b.StartTimer()
		begin := time.Now()
		c.leader()
		toLeader += time.Since(begin)
		c.g.Eventually(func() bool {
			for _, n := range c.nodes {
				if !n.Fresh() || n.Leadership().Leader == lost.id {
					return false
				}
			}
			return true
		}, waitTimeout, "5ms").Should(BeTrue())
		toFresh += time.Since(begin)
		b.StopTimer()
		c.start(lost.id, lost.dir)
		c.waitFresh()
		b.StartTimer()
	}
	b.ReportMetric(toLeader.Seconds()/float64(b.N), "s/leader")
	b.ReportMetric(toFresh.Seconds()/float64(b.N), "s/all-fresh")
}

// BenchmarkIdleTraffic measures the message rates of the leader and of one
// learner among 8 instances without changes.
func BenchmarkIdleTraffic(b *testing.B) {
	c := newCluster(b, 8, 5, 5, useDefaultTiming)
	c.form("e1")
	var leader, learner atomic.Int64
	self := c.leader().id
	c.net.SetFaultRule(func(from, _ string, _ transport.Kind) transport.Fault {
		switch from {
		case self:
			leader.Add(1)
		case "e8":
			learner.Add(1)
		}
		return transport.Fault{}
	})
	begin := time.Now()
	for range b.N {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(leader.Load())/time.Since(begin).Seconds(), "leadermsg/s")
	b.ReportMetric(float64(learner.Load())/time.Since(begin).Seconds(), "learnermsg/s")
}
