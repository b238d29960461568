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

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// single returns settings of a cluster of one instance.
func single(t *testing.T) *config.Config {
	cfg := config.Default()
	peer := freeAddress(t)
	cfg.Instance = config.Instance{ID: "e1", AvailabilityZone: "z1", DataFolder: filepath.Join(t.TempDir(), "data")}
	cfg.Listen = config.Listen{Entry: anyPort, Operator: anyPort, Peer: peer, Admin: anyPort}
	cfg.Peers = []config.Peer{{ID: "e1", AvailabilityZone: "z1", Address: peer, InitialVoter: true}}
	cfg.Dispatch.ShutdownGrace = 100 * time.Millisecond
	cfg.Dispatch.MaxBodyBytes = 1 << 10
	return cfg
}

// running is a daemon that serves until stop is called or the test ends.
type running struct {
	*Daemon
	stop func() error
}

func start(t *testing.T, cfg *config.Config) *running {
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
	return &running{d, stop}
}

// withService adds a service and one endpoint stand-in for it.
func (r *running) withService(t *testing.T, serviceTime time.Duration) *endpoint.Endpoint {
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
	t.Cleanup(e.Die)
	g.Eventually(func() (int, error) { return r.status("GET", "/svc/warm", "", nil) }, "10s", "20ms").Should(Equal(http.StatusOK))
	return e
}

// status sends one request and returns the status of the answer, whose body
// must arrive whole.
func (r *running) status(method, path, body string, header map[string]string) (int, error) {
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

// Guards against a start that half succeeds or hides which port is taken.
func TestPortInUseIsNamed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", anyPort)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	cfg := single(t)
	cfg.Listen.Admin = l.Addr().String()
	_, err = New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler)})
	g.Expect(err).To(MatchError(And(ContainSubstring("open admin port"), ContainSubstring(l.Addr().String()))))

	again, err := net.Listen("tcp", cfg.Listen.Peer)
	g.Expect(err).NotTo(HaveOccurred(), "the ports opened before the failure must be closed")
	_ = again.Close()
}

// Guards against an instance that runs on without the disk that its settings
// name.
func TestUnusableDataFolderIsNamed(t *testing.T) {
	g := NewWithT(t)
	cfg := single(t)
	cfg.Instance.DataFolder = "/dev/null/data"
	_, err := New(Options{Config: cfg, Logger: slog.New(slog.DiscardHandler)})
	g.Expect(err).To(MatchError(ContainSubstring("/dev/null/data")))
}

// Guards against bad input of one caller or endpoint that breaks more than its
// own request.
func TestBadInputGetsOneClearError(t *testing.T) {
	r := start(t, single(t))
	r.withService(t, time.Millisecond)
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

// Guards against a graceful shutdown that cuts off a request in flight, or
// that leaves goroutines behind.
func TestShutdownFinishesRequestsInFlight(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("daemon", func(t *testing.T) {
		g := NewWithT(t)
		r := start(t, single(t))
		// Longer than the grace and the attempt to hand the leadership over.
		e := r.withService(t, time.Millisecond)
		e.SetServiceTime(5 * time.Second)
		type answer struct {
			status int
			err    error
		}
		answers := make(chan answer, 4)
		for range cap(answers) {
			go func() {
				status, err := r.status("POST", "/svc/long", "order", nil)
				answers <- answer{status, err}
			}()
		}
		g.Eventually(e.Running, "5s", "10ms").Should(Equal(cap(answers)))
		g.Expect(r.stop()).To(Succeed())
		for range cap(answers) {
			g.Expect(<-answers).To(Equal(answer{http.StatusOK, nil}))
		}
		g.Expect(r.Ready()).To(BeFalse())
		http.DefaultClient.CloseIdleConnections()
	})
}
