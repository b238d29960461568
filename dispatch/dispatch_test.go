package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"apricotrouter/dispatch"
	"apricotrouter/standin/endpoint"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// Guards against responses that reach the wrong caller and requests that are
// modified in transit.
func TestAnswerReachesItsCaller(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	e := c.addEndpoint(0, endpoint.Options{})
	r := c.do(0, call{method: http.MethodPost, body: "gift", id: "r1", headers: map[string]string{"X-Other": "kept"}})
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(Equal("r1\ngift"))
	g.Expect(r.header.Get(dispatch.HeaderRequestID)).To(Equal("r1"))
	g.Expect(e.Records()).To(HaveLen(1))
	g.Expect(e.Records()[0].URI).To(Equal("/receipts/1"))
}

// Guards against a service that is reachable only through the instance that
// owns its endpoints.
func TestForwardsToPeerWithFreeSlots(t *testing.T) {
	c := newCluster(t, 2)
	g := NewWithT(t)
	e := c.addEndpoint(1, endpoint.Options{})
	g.Eventually(func() bool { return c.instances[0].registry.HasEndpoint(service) }).Should(BeTrue())
	long := strings.Repeat("x", 300<<10)
	r := c.do(0, call{method: http.MethodPut, body: long, id: "r1"})
	g.Expect(r.err).NotTo(HaveOccurred())
	g.Expect(r.status).To(Equal(http.StatusOK))
	g.Expect(r.body).To(Equal("r1\n" + long))
	g.Expect(e.Records()[0].Method).To(Equal(http.MethodPut))
	g.Expect(e.Records()[0].URI).To(Equal("/receipts/1"))
}

// Guards against requests routed by an instance without a valid freshness
// lease, which may have missed a change.
func TestRefusesWhenNotFresh(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	e := c.addEndpoint(0, endpoint.Options{})
	c.instances[0].log.stale.Store(true)
	r := c.do(0, call{})
	g.Expect(r.status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(r.outcome).To(Equal("not-run"))
	g.Expect(r.header.Get("Retry-After")).NotTo(BeEmpty())
	g.Expect(e.Records()).To(BeEmpty())
}

// Guards against a shutdown that aborts a long-running request.
func TestDrainWaitsForLongRequests(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	e := c.addEndpoint(0, endpoint.Options{ServiceTime: 300 * time.Millisecond})
	result := c.doAsync(0, call{})
	g.Eventually(e.Running).Should(Equal(1))
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	g.Expect(c.instances[0].dispatch.Drain(ctx)).To(MatchError(context.DeadlineExceeded))
	g.Expect(c.instances[0].dispatch.Drain(context.Background())).To(Succeed())
	g.Expect(e.Running()).To(Equal(0))
	g.Expect((<-result).status).To(Equal(http.StatusOK))
}

// Guards against a shutdown that aborts a request, or sends a new one to an
// endpoint that is being handed over.
func TestLeavingInstanceFinishesItsRequests(t *testing.T) {
	c := newCluster(t, 2)
	g := NewWithT(t)
	own := c.addEndpoint(0, endpoint.Options{ServiceTime: 300 * time.Millisecond})
	other := c.addEndpoint(1, endpoint.Options{})
	g.Eventually(func() string {
		return c.instances[0].registry.AcquirePeerSlot(service, nil)
	}).Should(Equal("b"))
	long := c.doAsync(0, call{method: http.MethodPost, id: "long"})
	g.Eventually(own.Running).Should(Equal(1))
	c.instances[0].registry.StopNewRequests()
	g.Expect(c.do(0, call{id: "new"}).status).To(Equal(http.StatusOK))
	g.Expect(other.RunCount("new")).To(Equal(1))
	g.Expect(c.instances[0].dispatch.Drain(context.Background())).To(Succeed())
	g.Expect((<-long).status).To(Equal(http.StatusOK))
	g.Expect(own.Records()).To(HaveLen(1))
}

// Guards against sending a queued request after the freshness lease was lost
// while it waited, because the state may have changed.
func TestFreshnessLostWhileWaiting(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	e := c.addEndpoint(0, endpoint.Options{Slots: 1, ServiceTime: 200 * time.Millisecond})
	running := c.doAsync(0, call{})
	g.Eventually(e.Running).Should(Equal(1))
	waiting := c.doAsync(0, call{method: http.MethodPost, id: "waits", timeout: time.Second})
	g.Eventually(func() float64 { return c.instances[0].counter("queued_requests") }).Should(Equal(1.0))
	c.instances[0].log.stale.Store(true)
	g.Expect((<-running).status).To(Equal(http.StatusOK))
	r := <-waiting
	g.Expect(r.outcome).To(Equal("not-run"))
	g.Expect(e.RunCount("waits")).To(BeZero())
}
