package dispatch_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/endpoint"
)

// warmUp sends requests until latency estimates of the service are published.
func (c *cluster) warmUp() {
	for range 60 {
		c.g.Expect(c.do(0, call{}).status).To(Equal(http.StatusOK))
	}
	time.Sleep(300 * time.Millisecond) // longer than publishInterval, 200 ms
}

// Guards against a single slow attempt that delays an idempotent request, and
// against reuse of the losing attempt's slot before that attempt has ended.
func TestSlowIdempotentRequestIsHedged(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	var slow atomic.Int64
	hang := func(r *http.Request) endpoint.Behavior {
		if strings.HasPrefix(r.Header.Get("X-Request-Id"), "slow") && slow.Add(1)%2 == 1 {
			return endpoint.Behavior{Delay: 20 * time.Second}
		}
		return endpoint.Behavior{}
	}
	for range 2 {
		c.addEndpoint(0, endpoint.Options{Slots: 2, ServiceTime: time.Millisecond}).SetBehavior(hang)
	}
	c.warmUp()
	r := c.do(0, call{id: "slow-get", timeout: 5 * time.Second})
	g.Expect(r.status).To(Equal(http.StatusOK))
	a, b := c.endpoints[0], c.endpoints[1]
	g.Expect(a.RunCount("slow-get")).To(Equal(1))
	g.Expect(b.RunCount("slow-get")).To(Equal(1))
	g.Eventually(func() int { return a.Running() + b.Running() }).Should(BeZero(), "the losing attempt is cancelled")
	post := c.do(0, call{method: http.MethodPost, id: "slow-post", timeout: 300 * time.Millisecond})
	g.Expect(post.outcome).To(Equal("unknown"))
	g.Expect(a.RunCount("slow-post") + b.RunCount("slow-post")).To(Equal(1))
}

// Guards against retries that multiply the load when all attempts fail.
func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	for range 4 {
		c.addEndpoint(0, endpoint.Options{}).SetBehavior(func(*http.Request) endpoint.Behavior {
			return endpoint.Behavior{Refuse: true}
		})
	}
	const requests = 100
	for range requests {
		// Requests that must not run twice are not hedged, so only retries add
		// attempts.
		g.Expect(c.do(0, call{method: http.MethodPost}).outcome).To(Equal("not-run"))
	}
	refused := 0
	for _, e := range c.endpoints {
		refused += e.Refused()
	}
	g.Expect(refused).To(BeNumerically(">", requests))
	g.Expect(refused).To(BeNumerically("<=", requests+requests/10+3))
}

func cutAnswers(*http.Request) endpoint.Behavior {
	return endpoint.Behavior{TruncateResponse: true}
}

// Guards against an endpoint that attracts all requests because it fails them
// faster than others respond.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	for name, behavior := range map[string]endpoint.Behavior{
		"cut":     {TruncateResponse: true},
		"refused": {Refuse: true},
		"error":   {Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1)
			g := NewWithT(t)
			for i := range 4 {
				e := c.addEndpoint(0, endpoint.Options{Slots: 64, ServiceTime: time.Millisecond})
				if i > 0 {
					e.SetBehavior(func(*http.Request) endpoint.Behavior { return behavior })
				}
			}
			answered := 0
			for range 100 {
				if c.do(0, call{method: http.MethodPost}).status == http.StatusOK {
					answered++
				}
			}
			g.Expect(answered).To(BeNumerically(">", 70))
		})
	}
}

// Guards against ejecting all endpoints, and against ejecting none.
func TestEjectionsAreLimited(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	for range 4 {
		c.addEndpoint(0, endpoint.Options{Slots: 64}).SetBehavior(cutAnswers)
	}
	const requests = 120
	for range requests {
		g.Expect(c.do(0, call{method: http.MethodPost}).outcome).To(Equal("unknown"))
	}
	ejected, total := 0, 0
	for _, e := range c.endpoints {
		n := len(e.Records())
		total += n
		if n <= 6 { // ejectThreshold is 5
			ejected++
		}
	}
	g.Expect(ejected).To(Equal(2))
	g.Expect(total).To(Equal(requests))
}

// Guards against queueing requests that can't finish by their deadline, and
// against an unbounded queue.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	c.addEndpoint(0, endpoint.Options{Slots: 1, ServiceTime: 20 * time.Millisecond})
	c.warmUp()
	busy := c.doAsync(0, call{})
	g.Eventually(c.endpoints[0].Running).Should(Equal(1))
	started := time.Now()
	r := c.do(0, call{timeout: 19 * time.Millisecond})
	g.Expect(r.outcome).To(Equal("not-run"))
	took := time.Since(started)
	g.Expect(took).To(BeNumerically("<", 15*time.Millisecond), "problem %s", r.body) // its type shows whether the request was queued
	<-busy
	var all results
	for i := range 100 {
		all.run(func() result {
			return c.do(0, call{method: http.MethodPost, timeout: 5 * time.Second})
		}, fmt.Sprint(i))
	}
	answered, refused := 0, 0
	for _, r := range all.wait() {
		if r.status == http.StatusOK {
			answered++
		} else {
			g.Expect(r.outcome).To(Equal("not-run"))
			refused++
		}
	}
	g.Expect(answered).To(BeNumerically(">=", 16))
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(c.endpoints[0].HighestConcurrency()).To(Equal(1))
}

// Guards against callers that cause ejections by aborting their own requests or
// by setting deadlines that no endpoint can meet.
func TestCallerFailuresDoNotEject(t *testing.T) {
	c := newCluster(t, 1)
	g := NewWithT(t)
	for range 2 {
		// One slot for each request, because an abandoned attempt may occupy
		// its slot for 2 s after the caller has given up.
		c.addEndpoint(0, endpoint.Options{Slots: 64, ServiceTime: 20 * time.Millisecond})
	}
	for range 15 {
		body, in := io.Pipe()
		req, err := http.NewRequest(http.MethodPost, c.instances[0].entry.URL+"/receipts/1", body)
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			_, _ = in.Write(make([]byte, 100<<10))
			_ = in.CloseWithError(io.ErrClosedPipe)
		}()
		_, err = http.DefaultClient.Do(req)
		g.Expect(err).To(HaveOccurred())
		g.Expect(c.do(0, call{timeout: 5 * time.Millisecond}).status).NotTo(Equal(http.StatusOK))
	}
	g.Eventually(c.instances[0].dispatch.InFlight).Should(BeZero())
	g.Expect(c.instances[0].counter("ejections_total")).To(BeZero())
	g.Expect(c.instances[0].counter("silent_connections_total")).To(BeZero())
}
