package daemon

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"apricotrouter/config"
	"apricotrouter/standin/endpoint"
	"apricotrouter/state"
)

const anyPort = "127.0.0.1:0"

// freeAddress returns an address whose port was free when it was probed.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// singleInstanceConfig returns the settings of a cluster of one instance.
func singleInstanceConfig(t *testing.T) *config.Config {
	cfg := config.Default()
	peer := freeAddress(t)
	cfg.Instance = config.Instance{ID: "e1", AvailabilityZone: "z1", DataFolder: filepath.Join(t.TempDir(), "data")}
	cfg.Listen = config.Listen{Entry: anyPort, Operator: anyPort, Peer: peer, Admin: anyPort}
	cfg.Peers = []config.Peer{{ID: "e1", AvailabilityZone: "z1", Address: peer, InitialVoter: true}}
	cfg.Dispatch.ShutdownGrace = 100 * time.Millisecond
	cfg.Dispatch.MaxBodyBytes = 1 << 10
	return cfg
}

// testInstance is a daemon that runs until stop is called or the test ends.
type testInstance struct {
	*Daemon
	stop func() error
}

func start(t *testing.T, cfg *config.Config) *testInstance {
	g := NewWithT(t)
	d, err := New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler), Version: "test"})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	stop := sync.OnceValue(func() error {
		cancel()
		return <-ended
	})
	t.Cleanup(func() { _ = stop() })
	_, _, err = d.Replica().Init(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(d.Ready, "10s", "20ms").Should(BeTrue())
	return &testInstance{d, stop}
}

// addService creates a service and starts one simulated endpoint for it.
func (r *testInstance) addService(t *testing.T, serviceTime time.Duration) *endpoint.Endpoint {
	g := NewWithT(t)
	ctx := context.Background()
	spec := state.ServiceSpec{Name: "svc", PathPrefix: "/svc", Replicas: 0, Resources: state.Resources{MilliCPU: 1}, Slots: 8, ConnectionLimit: 64}
	res, err := r.Replica().Propose(ctx, state.NewRequest("create", "test", state.ApplyService{Spec: spec}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res.Code).To(Equal(state.CodeOK), res.Message)
	e, err := endpoint.Start(endpoint.Options{
		ID: "svc-1", Service: "svc", Zone: "z1", Incarnation: 1,
		Entries: []string{r.Addresses().Entry}, ServiceTime: serviceTime,
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(e.Kill)
	g.Eventually(func() (int, error) { return r.status("GET", "/svc/warm", "", nil) }, "10s", "20ms").Should(Equal(http.StatusOK))
	return e
}

// status sends one request, reads the whole response body and returns the status
// code.
func (r *testInstance) status(method, path, body string, header map[string]string) (int, error) {
	req, err := http.NewRequest(method, "http://"+r.Addresses().Entry+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Guards against a failed start that leaves ports open, or whose error does not
// name the port in use.
func TestPortInUseIsNamed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	cfg := singleInstanceConfig(t)
	cfg.Listen.Admin = l.Addr().String()
	_, err = New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler)})
	g.Expect(err).To(MatchError(And(ContainSubstring("open admin port"), ContainSubstring(l.Addr().String()))))

	reopened, err := net.Listen("tcp", cfg.Listen.Peer)
	g.Expect(err).NotTo(HaveOccurred(), "ports opened before the failure must be closed")
	_ = reopened.Close()
}

// Guards against an instance that starts although its data directory can't be
// used.
func TestUnusableDataFolderIsNamed(t *testing.T) {
	g := NewWithT(t)
	cfg := singleInstanceConfig(t)
	cfg.Instance.DataFolder = "/dev/null/data"
	_, err := New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler)})
	g.Expect(err).To(MatchError(ContainSubstring("/dev/null/data")))
}

// Guards against invalid input from a caller or endpoint that affects requests
// other than its own.
func TestBadInputGetsOneClearError(t *testing.T) {
	r := start(t, singleInstanceConfig(t))
	r.addService(t, time.Millisecond)
	post := func(body string) func() (int, error) {
		return func() (int, error) { return r.status("POST", "/v1/announce", body, nil) }
	}
	call := func(method, path, body string, header map[string]string) func() (int, error) {
		return func() (int, error) { return r.status(method, path, body, header) }
	}
	for name, c := range map[string]struct {
		send func() (int, error)
		want int
	}{
		"unknown service":         {call("GET", "/nothing", "", nil), http.StatusNotFound},
		"oversized body":          {call("POST", "/svc/x", strings.Repeat("x", 2<<10), nil), http.StatusRequestEntityTooLarge},
		"deadline not a number":   {call("GET", "/svc/x", "", map[string]string{"X-Request-Timeout-Ms": "soon"}), http.StatusBadRequest},
		"deadline negative":       {call("GET", "/svc/x", "", map[string]string{"X-Request-Timeout-Ms": "-1"}), http.StatusBadRequest},
		"idempotent not a word":   {call("GET", "/svc/x", "", map[string]string{"X-Idempotent": "perhaps"}), http.StatusBadRequest},
		"request id too long":     {call("GET", "/svc/x", "", map[string]string{"X-Request-Id": strings.Repeat("r", 4096)}), http.StatusBadRequest},
		"announcement no JSON":    {post("{"), http.StatusBadRequest},
		"announcement empty":      {post("{}"), http.StatusBadRequest},
		"announcement wrong type": {post(`{"id": 7}`), http.StatusBadRequest},
		"announcement by name":    {post(`{"id":"x","service":"svc","address":"example.invalid:80","availability_zone":"z1","slots":8,"connection_limit":64,"incarnation":1}`), http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(c.send()).To(Equal(c.want))
			g.Expect(r.status("GET", "/svc/after", "", nil)).To(Equal(http.StatusOK))
		})
	}
}

// Guards against a graceful shutdown that interrupts a request in flight or
// leaks goroutines.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("daemon", func(t *testing.T) {
		g := NewWithT(t)
		r := start(t, singleInstanceConfig(t))
		// The service time exceeds the shutdown grace plus the time-out of the
		// hand-over.
		e := r.addService(t, time.Millisecond)
		e.SetServiceTime(5 * time.Second)
		type response struct {
			status int
			err    error
		}
		responses := make(chan response, 4)
		for range cap(responses) {
			go func() {
				status, err := r.status("POST", "/svc/long", "order", nil)
				responses <- response{status, err}
			}()
		}
		g.Eventually(e.Running, "5s", "10ms").Should(Equal(cap(responses)))
		g.Expect(r.stop()).To(Succeed())
		for range cap(responses) {
			g.Expect(<-responses).To(Equal(response{http.StatusOK, nil}))
		}
		g.Expect(r.Ready()).To(BeFalse())
		http.DefaultClient.CloseIdleConnections()
	})
}
