package integration_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/caller"
	"apricotrouter/standin/endpoint"
	workerstandin "apricotrouter/standin/worker"
)

// inForce is the time after which an accepted change is in force everywhere.
const inForce = 3 * time.Second

// Guards against starts in an availability zone that is out, and against work
// that is lost, repeated or run in two places while a zone leaves and returns.
func TestZoneOutAndInTwiceUnderLoad(t *testing.T) {
	c := newCluster(t, 3)
	c.addWorkers(2)
	c.addEndpoints()
	c.operatorFile("name: replicas\npath_prefix: /replicas\nreplicas: 6\nslots: 8\nconnection_limit: 64\n"+
		"resources: {milli_cpu: 1000, memory_mib: 512, accelerators: 0}\n", "service", "apply")
	c.submit("nightly", 150, 15)
	load := c.load(c.processes, 100)
	for _, zone := range []string{"z2", "z2"} {
		c.Eventually(func() int { return c.runningIn(zone) }, "20s", "20ms").Should(BeNumerically(">", 4))
		c.operator("zone", "out", zone)
		out := time.Now()
		c.awaitApplied(inForce)
		c.Eventually(func() int { return c.runningIn(zone) }, "20s", "50ms").Should(BeZero())
		t.Logf("%s is empty %v after it was taken out", zone, time.Since(out))
		time.Sleep(time.Until(out.Add(inForce + time.Second)))
		c.operator("zone", "in", zone)
		in := time.Now()
		c.Expect(workerstandin.StartedBetween(c.recordsIn(zone), out.Add(inForce), in)).To(BeEmpty())
	}
	c.Eventually(func() string { return c.jobPhase("nightly") }, "60s", "100ms").Should(Equal("completed"))
	results := c.end(load)
	c.Expect(caller.Count(results).Completed).To(BeNumerically(">=", len(results)*99/100))
	c.check()
}

// awaitApplied waits until all processes have applied what the leader has.
func (c *cluster) awaitApplied(timeout time.Duration) {
	s, err := c.status(c.leader())
	c.Expect(err).NotTo(HaveOccurred())
	for _, p := range c.others(nil) {
		c.Eventually(func() uint64 {
			own, _ := c.status(p)
			return own.AppliedIndex
		}, timeout, "10ms").Should(BeNumerically(">=", s.AppliedIndex), "applied index of %s", p.ID)
	}
}

func (c *cluster) recordsIn(zone string) []workerstandin.Record {
	var all []workerstandin.Record
	for _, w := range c.workers {
		if c.workerIn[w] == zone {
			all = append(all, w.Records()...)
		}
	}
	return all
}

func (c *cluster) runningIn(zone string) int {
	n := 0
	for _, r := range c.recordsIn(zone) {
		if r.End == workerstandin.EndNone {
			n++
		}
	}
	return n
}

// Guards against requests that hang or run twice when connections to an
// endpoint or between instances carry nothing any more, and against requests
// to an endpoint that announced that it leaves.
func TestSilentConnections(t *testing.T) {
	c := newCluster(t, 3)
	c.addEndpoints()
	load := c.load(c.processes, 200)
	time.Sleep(time.Second)
	c.endpoints[0].BlackholeOpenConnections()
	time.Sleep(2 * time.Second)

	followers := c.others(c.leader())
	a, b := followers[0], followers[1]
	cut := time.Now()
	c.Expect(c.network.Silence(a.ID, b.ID)).To(Succeed())
	time.Sleep(4 * time.Second)
	c.Expect(c.network.Heal(a.ID, b.ID)).To(Succeed())
	healed := time.Now()

	leaving := c.endpoints[1]
	c.Expect(leaving.Drain(t.Context())).To(Succeed())
	announced := time.Now()
	time.Sleep(3 * time.Second)
	results := c.end(load)
	c.expectOnlyUnrecordedRefused(results, cut, healed)
	for _, r := range leaving.Records() {
		c.Expect(r.Started).To(BeTemporally("<=", announced.Add(time.Second)), "new work at a leaving endpoint")
	}
	c.check()
}

// Guards against an endpoint that gets no more requests although only the
// connections that were open at one time went silent.
func TestEndpointServesAgainAfterSilence(t *testing.T) {
	c := newCluster(t, 3)
	c.addEndpoints()
	load := c.load(c.processes, 200)
	time.Sleep(time.Second)
	c.endpoints[0].BlackholeOpenConnections()
	time.Sleep(time.Second)
	silent := time.Now()
	c.Eventually(func() int { return runsSince(c.endpoints[0], silent) }, "15s", "100ms").Should(BeNumerically(">", 0))
	c.end(load)
	c.check()
}

// expectOnlyUnrecordedRefused expects that all requests were answered, but for
// those that must run at most once while their ledger entry could not be
// written to both of its instances. These must be refused as not run.
func (c *cluster) expectOnlyUnrecordedRefused(results []caller.Result, cut, healed time.Time) {
	const redial = 2 * time.Second
	answered, others := 0, 0
	for _, r := range results {
		if r.Outcome == caller.Completed {
			answered++
			continue
		}
		if !r.Idempotent && r.Outcome == caller.NotRun && r.Due.After(cut) && r.Due.Before(healed.Add(redial)) {
			continue
		}
		others++
		c.t.Logf("not answered: %+v", r)
	}
	c.Expect(others).To(BeNumerically("<=", len(results)/100))
	c.Expect(answered).To(BeNumerically(">=", len(results)*3/4))
}

func runsSince(e *endpoint.Endpoint, t time.Time) int {
	n := 0
	for _, r := range e.Records() {
		if r.Started.After(t) {
			n++
		}
	}
	return n
}

// Guards against a graceful shutdown that cuts off requests in flight, or that
// a second signal cuts short.
func TestGracefulShutdownFinishesLongRequests(t *testing.T) {
	const requests = 24
	c := newCluster(t, 3)
	c.addWorkers(1)
	c.addEndpoints()
	c.submit("nightly", 12, 60)
	for _, e := range c.endpoints {
		e.SetBehavior(func(*http.Request) endpoint.Behavior { return endpoint.Behavior{Delay: 2500 * time.Millisecond} })
	}
	leaving := c.leader()
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	results := make(chan caller.Result, requests)
	for i := range requests {
		go func() {
			results <- caller.Send(client, leaving.Entry, path, uniqueID("long"), i%2 == 0, 8*time.Second)
		}()
	}
	c.Eventually(c.runningRequests, "5s", "10ms").Should(BeNumerically(">=", requests))
	leaving.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	leaving.signal(syscall.SIGTERM)
	for range requests {
		r := <-results
		c.results = append(c.results, r)
		c.Expect(r.Outcome).To(Equal(caller.Completed), r.Detail)
	}
	c.Eventually(leaving.ended, "15s").Should(BeClosed())
	c.Expect(leaving.err).NotTo(HaveOccurred(), "exit code")

	for _, e := range c.endpoints {
		e.SetBehavior(nil)
	}
	c.awaitServing(c.others(leaving), 10*time.Second)
	c.Expect(leaving.start()).To(Succeed())
	c.Expect(leaving.await("/readyz", 20*time.Second)).To(Succeed())
	c.awaitServing([]*process{leaving}, 10*time.Second)
	c.Eventually(func() string { return c.jobPhase("nightly") }, "30s", "100ms").Should(Equal("completed"))
	c.check()
}

func (c *cluster) runningRequests() int {
	n := 0
	for _, e := range c.endpoints {
		n += e.Running()
	}
	return n
}
