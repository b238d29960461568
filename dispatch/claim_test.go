package dispatch_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/dispatch"
	"apricotrouter/ledger"
	"apricotrouter/standin/endpoint"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// post sends a request that must run at most once.
func (c *cluster) post(instance int, id, body string) result {
	return c.do(instance, call{method: http.MethodPost, id: id, body: body, timeout: 3 * time.Second})
}

// threeInstances returns a cluster of three instances whose ledger buckets are
// served. The third instance owns an endpoint, and the other two have received
// its free slots.
func threeInstances(t *testing.T, serviceTime time.Duration) (*cluster, *endpoint.Endpoint) {
	c := newCluster(t, 3)
	e := c.addEndpoint(2, endpoint.Options{ServiceTime: serviceTime})
	for i := range c.instances {
		c.g.Eventually(func() bool { return c.instances[i].registry.HasEndpoint(service) }).Should(BeTrue())
		c.g.Eventually(func() int { return c.post(0, c.idWithPrimary(i), "first").status }).Should(Equal(http.StatusOK))
	}
	e.ClearRecords()
	return c, e
}

// Guards against a second run when the caller lost the response and resends the
// request through another instance.
func TestResendGetsTheRecordedAnswer(t *testing.T) {
	c, e := threeInstances(t, 0)
	g := NewWithT(t)
	first := c.post(0, "gift-1", "100 francs")
	g.Expect(first.status).To(Equal(http.StatusOK))
	for i := range c.instances {
		again := c.post(i, "gift-1", "100 francs")
		g.Expect(again.status).To(Equal(http.StatusOK))
		g.Expect(again.body).To(Equal(first.body))
	}
	other := c.post(1, "gift-1", "900 francs")
	g.Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(other.outcome).To(Equal("not-run"))
	g.Expect(e.RunCount("gift-1")).To(Equal(1))
}

// Guards against a second run while the first one is still running.
func TestResendOfRunningRequestWaitsForItsAnswer(t *testing.T) {
	c, e := threeInstances(t, 200*time.Millisecond)
	g := NewWithT(t)
	first := c.doAsync(0, call{method: http.MethodPost, id: "gift-1"})
	g.Eventually(e.Running).Should(Equal(1))
	again := c.doAsync(1, call{method: http.MethodPost, id: "gift-1"})
	tooLate := c.do(1, call{method: http.MethodPost, id: "gift-1", timeout: 50 * time.Millisecond})
	g.Expect(tooLate.outcome).To(Equal("unknown"))
	g.Expect((<-first).body).To(Equal("gift-1\n"))
	g.Expect((<-again).body).To(Equal("gift-1\n"))
	g.Expect(e.RunCount("gift-1")).To(Equal(1))
}

// Guards against a second run when the entry instance fails while the request
// is running.
func TestResendAfterEntryInstanceDied(t *testing.T) {
	c, e := threeInstances(t, 300*time.Millisecond)
	g := NewWithT(t)
	id := c.freshID("b")
	first := c.doAsync(0, call{method: http.MethodPost, id: id})
	g.Eventually(e.Running).Should(Equal(1))
	c.kill(0)
	g.Expect((<-first).err).To(HaveOccurred())
	again := c.do(1, call{method: http.MethodPost, id: id, timeout: 500 * time.Millisecond})
	g.Expect(again.outcome).To(Equal("unknown"))
	g.Expect(e.RunCount(id)).To(Equal(1))
}

// Guards against a second run after the loss of the bucket's primary, both
// before and after the leader has promoted the backup.
func TestResendAfterPrimaryWasLost(t *testing.T) {
	c, e := threeInstances(t, 0)
	g := NewWithT(t)
	id := c.freshID("a")
	first := c.post(2, id, "100 francs")
	g.Expect(first.status).To(Equal(http.StatusOK))
	// The response is recorded asynchronously, after the caller has received
	// it.
	g.Expect(c.post(2, id, "100 francs").header.Get(dispatch.HeaderRecorded)).To(Equal("true"))
	g.Eventually(c.instances[2].dispatch.InFlight).Should(BeZero())
	c.kill(0)
	r := c.do(2, call{method: http.MethodPost, id: id, body: "100 francs", timeout: 300 * time.Millisecond})
	g.Expect(r.outcome).To(Equal("not-run"))
	c.moveBucket(id, "b", "c")
	g.Eventually(func() int { return c.post(2, id, "100 francs").status }).Should(Equal(http.StatusOK))
	g.Expect(c.post(2, id, "100 francs").body).To(Equal(first.body))
	g.Expect(e.RunCount(id)).To(Equal(1))
}

// Guards against a second run when both the primary and the backup of a bucket
// were lost.
func TestResendAfterBothHoldersWereLost(t *testing.T) {
	c, e := threeInstances(t, 0)
	g := NewWithT(t)
	id := c.freshID("a")
	g.Expect(c.post(2, id, "100 francs").status).To(Equal(http.StatusOK))
	c.kill(0)
	c.moveBucket(id, "c", "")
	g.Eventually(func() string { return c.post(2, id, "100 francs").outcome }).Should(Equal("unknown"))
	g.Expect(e.RunCount(id)).To(Equal(1))
}

// Guards against claims granted by a primary that may already have been
// replaced.
func TestPrimaryThatIsNotFreshRefuses(t *testing.T) {
	c, e := threeInstances(t, 0)
	g := NewWithT(t)
	id := c.freshID("b")
	c.instances[1].log.stale.Store(true)
	r := c.post(0, id, "")
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.outcome).To(Equal("not-run"))
	g.Expect(e.RunCount(id)).To(Equal(0))
	c.instances[1].log.stale.Store(false)
	g.Expect(c.post(0, id, "").status).To(Equal(http.StatusOK))
	g.Expect(e.RunCount(id)).To(Equal(1))
}

// Guards against claims that are granted without a copy on the backup.
func TestClaimNeedsTheBackup(t *testing.T) {
	c, e := threeInstances(t, 0)
	g := NewWithT(t)
	id := c.freshID("a")
	c.net.SetFaultRule(func(from, to string, kind transport.Kind) transport.Fault {
		return transport.Fault{Drop: kind == transport.KindLedgerReplicate && from == "a"}
	})
	r := c.do(0, call{method: http.MethodPost, id: id, timeout: 500 * time.Millisecond})
	g.Expect(r.outcome).To(Equal("not-run"))
	g.Expect(e.RunCount(id)).To(Equal(0))
	c.net.SetFaultRule(nil)
	g.Eventually(func() int { return c.post(0, id, "").status }).Should(Equal(http.StatusOK))
	g.Expect(e.RunCount(id)).To(Equal(1))
}

// freshID returns a new request ID whose bucket has the given primary.
func (c *cluster) freshID(primary string) string {
	for n := 0; ; n++ {
		id := fmt.Sprintf("gift-%d", n)
		number := ledger.Key{Service: service, RequestID: id}.Bucket()
		if b, _ := c.log.State().Buckets.Get(state.BucketKey(number)); b.Primary == primary {
			return id
		}
	}
}
