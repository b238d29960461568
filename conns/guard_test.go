package conns_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"apricotrouter/conns"
)

// guarded is a server whose handler reads the whole body. It waits for release at
// /wait, and answers /large with more than the buffers of a connection hold.
type guarded struct {
	*WithT
	address  string
	registry *prometheus.Registry
	running  chan struct{}
	release  chan struct{}
}

func newGuarded(t *testing.T, memory int64, descriptors int, limits conns.Limits) *guarded {
	t.Helper()
	s := &guarded{WithT: NewWithT(t), registry: prometheus.NewRegistry(), running: make(chan struct{}, 100), release: make(chan struct{})}
	guard := conns.NewGuard(conns.GuardOptions{
		Budget: conns.NewBudget(conns.Options{Limit: descriptors}), InputBytes: memory, Registerer: s.registry,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := guard.NewServer(conns.Callers, limits, http.HandlerFunc(s.handle))
	go func() { _ = server.Serve(guard.Listen(l, conns.Callers, limits)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *guarded) handle(w http.ResponseWriter, r *http.Request) {
	switch _, err := io.ReadAll(r.Body); {
	case errors.Is(err, conns.ErrBodySlow):
		w.WriteHeader(http.StatusRequestTimeout)
		return
	case err != nil:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	switch r.URL.Path {
	case "/wait":
		s.running <- struct{}{}
		<-s.release
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	case "/large":
		_, _ = w.Write(make([]byte, 32<<20))
	}
}

// metrics returns the metrics of the server as text.
func (s *guarded) metrics() string {
	w := httptest.NewRecorder()
	promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w.Body.String()
}

func (s *guarded) haveRefused(reason conns.Reason) bool {
	return strings.Contains(s.metrics(), fmt.Sprintf(`apricotrouter_clients_refused_total{reason="%s",use="callers"}`, reason))
}

// connect opens a connection and sends text.
func (s *guarded) connect(t *testing.T, text string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	s.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	s.Expect(err).NotTo(HaveOccurred())
	return c
}

// status returns the status of the next response, or 0 if the connection is
// closed without one.
func (s *guarded) status(c net.Conn) int {
	s.Expect(c.SetReadDeadline(time.Now().Add(eventuallyTimeout))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.Expect(err).NotTo(MatchError(os.ErrDeadlineExceeded))
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func post(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// Guards against unfinished requests that together exceed the memory for them,
// against memory that stays charged after their connections have ended, and
// against ordinary requests and running ones that are refused instead of them.
func TestUnfinishedRequestsAreGivenUpWhenMemoryIsUsedUp(t *testing.T) {
	const memory = 8 << 20
	s := newGuarded(t, memory, 400, conns.Limits{BodyGrace: time.Minute})
	waiting := s.connect(t, post("/wait", 300_000)+strings.Repeat("a", 300_000))
	s.Eventually(s.running, eventuallyTimeout).Should(Receive())
	var crowd []net.Conn
	for range 40 {
		c, err := net.Dial("tcp", s.address)
		s.Expect(err).NotTo(HaveOccurred())
		crowd = append(crowd, c)
		_, _ = io.WriteString(c, post("/", 1<<20)+strings.Repeat("a", 400_000)) // may be refused meanwhile
	}
	s.Eventually(func() bool { return s.haveRefused(conns.ReasonMemory) }, eventuallyTimeout).Should(BeTrue())
	for range 3 {
		c := s.connect(t, post("/", 5)+"hello")
		s.Expect(s.status(c)).To(Equal(http.StatusOK))
		_ = c.Close()
	}
	close(s.release)
	s.Expect(s.status(waiting)).To(Equal(http.StatusOK))
	_ = waiting.Close()
	for _, c := range crowd {
		_ = c.Close()
	}
	s.Eventually(s.metrics, eventuallyTimeout).Should(ContainSubstring("apricotrouter_input_bytes{use=\"callers\"} 0\n"))
}

// Guards against ordinary requests that are refused while requests that can't be
// given up, because they run, use up the memory.
func TestSmallRequestsAreServedWhileMemoryIsUsedUp(t *testing.T) {
	s := newGuarded(t, 1<<20, 400, conns.Limits{})
	idle := s.connect(t, post("/", 2)+"{}")
	s.Expect(s.status(idle)).To(Equal(http.StatusOK))
	for range 2 {
		s.connect(t, post("/wait", 300_000)+strings.Repeat("a", 300_000))
	}
	s.Eventually(s.running, eventuallyTimeout).Should(Receive())
	large := s.connect(t, post("/", 300_000)+strings.Repeat("a", 100_000))
	s.Eventually(func() bool { return s.haveRefused(conns.ReasonMemory) }, eventuallyTimeout).Should(BeTrue())
	s.Expect(s.status(large)).To(Or(Equal(http.StatusTooManyRequests), BeZero()))
	_, err := io.WriteString(idle, post("/", 1000)+strings.Repeat("a", 1000))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.status(idle)).To(Equal(http.StatusOK))
	s.Expect(s.status(s.connect(t, post("/", 1000)+strings.Repeat("a", 1000)))).To(Equal(http.StatusOK))
	close(s.release)
}

// Guards against a body that arrives below the minimum rate and keeps its
// connection, also where the handler has answered without reading it.
func TestSlowBodyIsRefused(t *testing.T) {
	s := newGuarded(t, 0, 400, conns.Limits{BodyGrace: 200 * time.Millisecond, BodyRate: 1 << 20})
	s.Expect(s.status(s.connect(t, post("/", 1000)+"a"))).To(Equal(http.StatusRequestTimeout))
	s.Expect(s.haveRefused(conns.ReasonBodySlow)).To(BeTrue())
	c := s.connect(t, post("/", 3000)+strings.Repeat("a", 1000)) // keeps the rate
	time.Sleep(100 * time.Millisecond)
	_, err := io.WriteString(c, strings.Repeat("a", 2000))
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
	time.Sleep(400 * time.Millisecond) // the deadline of the body must not hold for the next request
	_, err = io.WriteString(c, post("/", 2)+"{}")
	s.Expect(err).NotTo(HaveOccurred())
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
}

// Guards against a request that is interrupted by the deadline of its body while
// it runs.
func TestRunningRequestOutlastsTheDeadlineOfItsBody(t *testing.T) {
	s := newGuarded(t, 0, 400, conns.Limits{BodyGrace: 100 * time.Millisecond})
	c := s.connect(t, post("/wait", 2)+"{}")
	s.Eventually(s.running, eventuallyTimeout).Should(Receive())
	time.Sleep(300 * time.Millisecond)
	close(s.release)
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
}

// Guards against a client that reads no response and keeps its connection.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	s := newGuarded(t, 0, 400, conns.Limits{WriteTimeout: 200 * time.Millisecond})
	s.connect(t, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	s.Eventually(func() bool { return s.haveRefused(conns.ReasonNotRead) }, eventuallyTimeout).Should(BeTrue())
	s.Eventually(s.metrics, eventuallyTimeout).Should(ContainSubstring("apricotrouter_input_bytes{use=\"callers\"} 0\n"))
}

// Guards against headers over the limit that are read to their end.
func TestHeaderOverTheLimitIsRefused(t *testing.T) {
	s := newGuarded(t, 0, 400, conns.Limits{HeaderBytes: 8 << 10})
	header := func(n int) string {
		return "GET / HTTP/1.1\r\nHost: h\r\nX-Filler: " + strings.Repeat("a", n) + "\r\n\r\n"
	}
	s.Expect(s.status(s.connect(t, header(8000)))).To(Equal(http.StatusOK))
	s.Expect(s.status(s.connect(t, header(20_000)))).To(Or(Equal(http.StatusRequestHeaderFieldsTooLarge), BeZero()))
	s.Eventually(func() bool { return s.haveRefused(conns.ReasonHeader) }, eventuallyTimeout).Should(BeTrue())
}

// Guards against silent connections that take all connections of their use and
// keep them until their time limits.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := newGuarded(t, 0, 20, conns.Limits{HeaderTimeout: time.Hour, IdleTimeout: time.Hour})
	for range 16 { // 80% of 20
		s.connect(t, "")
	}
	c := s.connect(t, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	s.Expect(s.status(c)).To(Equal(http.StatusOK))
	s.Expect(s.haveRefused(conns.ReasonConnections)).To(BeTrue())
}

// Guards against a response without end, and against memory for responses that
// stays charged.
func TestResponsesAreReadWithinTheirPart(t *testing.T) {
	g := NewWithT(t)
	const memory = 10 << 20 // of which calls to workers have 10%
	m := conns.NewGuard(conns.GuardOptions{MemoryBytes: memory}).Memory(conns.Workers)
	data, release, err := m.ReadAll(strings.NewReader("report"), 6)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("report"))
	release()
	_, release, err = m.ReadAll(strings.NewReader("report"), 5)
	g.Expect(err).To(MatchError(conns.ErrTooLarge))
	release()
	_, release, err = m.ReadAll(endless{}, 1<<30)
	g.Expect(err).To(MatchError(conns.ErrExhausted))
	_, other, err := m.ReadAll(endless{}, 4<<10)
	g.Expect(err).To(HaveOccurred())
	other()
	release()
	data, release, err = m.ReadAll(strings.NewReader(strings.Repeat("a", 200_000)), 200_000)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(data).To(HaveLen(200_000))
	release()
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// BenchmarkRequest measures a small request and its response over loopback, with
// the limits and without them.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	request := []byte(post("/jobs/1", 300) + strings.Repeat("a", 300))
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprintf("limited=%t", limited), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
			if limited {
				guard := conns.NewGuard(conns.GuardOptions{MemoryBytes: 200 << 20})
				server = guard.NewServer(conns.Callers, conns.Limits{}, handler)
				l = guard.Listen(l, conns.Callers, conns.Limits{})
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
