package integration_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/platform/platformtest"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

// Guards against an order that is carried out after its caller has stopped waiting
// and may have given another one: it lay in the socket of an instance that stood
// still.
func TestOrderInTheSocketOfAStoppedInstanceIsNotCarriedOut(t *testing.T) {
	n := startNodes(t)
	const zone = "evacuated"
	const startedAt = 5
	worker := pool.New(pool.Options{ID: "i-1", StartedAt: startedAt, MaxLease: 6 * time.Second})
	srv := httptest.NewServer(platformtest.NewHandler("i-1", worker))
	t.Cleanup(srv.Close)
	sequence := uint64(0)
	heartbeat := func() (int, error) {
		sequence++
		call := platformtest.Heartbeat(state.PoolWorker{
			ID: "i-1", StartedAt: startedAt, Pool: "s", Zone: zone, Address: strings.TrimPrefix(srv.URL, "http://"),
			Capacity: state.Resources{MilliCPU: 4000, MemoryMiB: 4000},
		}, sequence, worker.Clock())
		return send(call.Method, n.control.control, call.Path, call.Body)
	}
	evacuation := "/evacuations/" + zone
	n.control.Eventually(func() (int, error) { return send(http.MethodPost, n.control.control, evacuation, "") }, requestGivenUp, "50ms").Should(Equal(http.StatusOK))

	n.control.Expect(n.control.command.Process.Signal(syscall.SIGSTOP)).To(Succeed())
	conn, err := net.Dial("tcp", n.control.control)
	n.control.Expect(err).NotTo(HaveOccurred())
	_, err = fmt.Fprintf(conn, "DELETE %s HTTP/1.1\r\nHost: x\r\n\r\n", evacuation)
	n.control.Expect(err).NotTo(HaveOccurred())
	time.Sleep(1100 * time.Millisecond) // callers wait for a second
	n.control.Expect(conn.Close()).To(Succeed())
	n.control.Expect(n.control.command.Process.Signal(syscall.SIGCONT)).To(Succeed())

	n.control.Eventually(heartbeat, requestGivenUp, "100ms").Should(Equal(http.StatusOK))
	n.expectSubmission()
	n.control.Consistently(func() int { _, _ = heartbeat(); return len(worker.Records()) }, "1s", "50ms").Should(BeZero(), "the zone is evacuated")
	n.control.Expect(send(http.MethodDelete, n.control.control, evacuation, "")).To(Equal(http.StatusOK))
	n.control.Eventually(func() int { _, _ = heartbeat(); return len(worker.Records()) }, requestGivenUp, "50ms").Should(Equal(1))
}
