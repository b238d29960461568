package integration_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/platform/platformtest"
)

// submitForEver sends submissions with new ids and the same body, without waiting
// for responses.
func submitForEver(body string, pause time.Duration) func(c *hostileConn) {
	var last atomic.Uint64
	return func(c *hostileConn) {
		for {
			head := fmt.Sprintf("POST /jobs/%016x HTTP/1.1\r\nHost: jobs.example\r\nContent-Length: %d\r\n\r\n", 0xbb0000+last.Add(1), len(body))
			if !c.send(head+body) || !c.pause(pause) {
				return
			}
		}
	}
}

// Guards against control instances that run out of memory because of submissions
// that are within the limits of a request, but ask for more than an instance can
// hold. Every control instance stores them, so none would start again.
func TestControlWithstandsSubmissionsOfHostileClients(t *testing.T) {
	const (
		steps      = 250 // a workflow may have 256
		labelBytes = 900 // with these steps, a body within the promised 256 KiB
	)
	cases := []hostileCase{
		{"submissions with tens of thousands of tasks", crowd{
			clients: 20, reopen: true, play: submitForEver(platformtest.SubmissionOfTasks(60_000), 100*time.Millisecond),
		}},
		{"submissions with thousands of tasks", crowd{
			clients: 20, reopen: true, play: submitForEver(platformtest.SubmissionOfTasks(3_000), 10*time.Millisecond),
		}},
		{"submissions with long texts", crowd{
			clients: 20, reopen: true, play: submitForEver(platformtest.LabelledSteps(steps, labelBytes), 50*time.Millisecond),
		}},
	}
	for i := range cases {
		cases[i].run(t, func(all nodes) (*node, string) { return all.control, all.entry.callers }, nodes.expectNewSubmission)
	}
}

// expectNewSubmission sends an ordinary submission that is not stored yet, until
// it is.
func (n nodes) expectNewSubmission() {
	n.entry.Eventually(func() (int, error) {
		return send(http.MethodPost, n.entry.callers, "/jobs/00000000000000ac", platformtest.Submission())
	}, requestGivenUp, "100ms").Should(Equal(http.StatusOK), "an ordinary submission is not stored")
}
