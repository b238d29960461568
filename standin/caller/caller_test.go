package caller_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/standin/caller"
	"apricotrouter/standin/endpoint"
)

// Guards against a check that misses violations: every test that uses it would
// pass.
func TestViolationsAreFound(t *testing.T) {
	g := NewWithT(t)
	e, err := endpoint.Start(endpoint.Options{ID: "e", Service: "s"})
	g.Expect(err).NotTo(HaveOccurred())
	defer e.Kill()
	client := caller.NewClient()
	defer client.CloseIdleConnections()
	send := func(id string, idempotent bool) caller.Result {
		return caller.Send(client, e.Address(), "/", id, idempotent, time.Second)
	}

	good := []caller.Result{send("get", true), send("post", false)}
	g.Expect(caller.Count(good)).To(Equal(caller.Tally{Total: 2, Completed: 2}))
	g.Expect(caller.Violations(good, e)).To(BeEmpty())

	twice := []caller.Result{send("twice", false), send("twice", false)}
	g.Expect(caller.Violations(twice, e)).To(HaveLen(2))
	e.SetBehavior(func(*http.Request) endpoint.Behavior { return endpoint.Behavior{ResponseBody: []byte("other")} })
	g.Expect(caller.Violations([]caller.Result{send("wrong", true)}, e)).To(HaveLen(1))
	refused := caller.Result{ID: "get", Outcome: caller.NotRun, Idempotent: true}
	g.Expect(caller.Violations([]caller.Result{refused}, e)).To(HaveLen(1))
	lost := caller.Result{ID: "never", Outcome: caller.Completed, Idempotent: true}
	g.Expect(caller.Violations([]caller.Result{lost}, e)).To(HaveLen(1))
}

// Guards against a load that waits for responses before it sends further requests
// and so understates latencies (coordinated omission).
func TestLoadIsOpenLoop(t *testing.T) {
	g := NewWithT(t)
	e, err := endpoint.Start(endpoint.Options{ID: "e", Service: "s", ServiceTime: 300 * time.Millisecond})
	g.Expect(err).NotTo(HaveOccurred())
	defer e.Kill()
	load := caller.Start(caller.Options{Targets: []string{e.Address()}, Path: "/", Rate: 100, NonIdempotent: 0.5, Prefix: "r"})
	g.Eventually(e.HighestConcurrency, "10s").Should(BeNumerically(">", 10))
	results := load.Stop()
	g.Expect(caller.Violations(results, e)).To(BeEmpty())
	g.Expect(results).To(HaveEach(HaveField("Latency()", BeNumerically(">=", 300*time.Millisecond))))
}
