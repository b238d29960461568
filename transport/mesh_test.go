package transport

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"

	"apricotrouter/conns"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// listener listens on a free port that the operating system chooses.
func listener(t testing.TB) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().String()
}

// startMesh creates a mesh and runs it with an HTTP server until the test ends.
func startMesh(t testing.TB, self string, l net.Listener, addrs map[string]string, mux *Mux) *Mesh {
	m := NewMesh(MeshOptions{Self: self, Addresses: addrs, Mux: mux})
	serveMesh(t, m, l)
	return m
}

// serveMesh runs a mesh with an HTTP server on l until the test ends.
func serveMesh(t testing.TB, m *Mesh, l net.Listener) {
	srv := &httptest.Server{Listener: l, Config: &http.Server{Handler: m}}
	srv.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		srv.CloseClientConnections()
		srv.Close()
	})
}

func echoMux() *Mux {
	mux := NewMux()
	OnCall(mux, KindFormation, func(_ context.Context, from string, req *echo) (*echo, error) {
		return &echo{Text: from + ":" + req.Text}, nil
	})
	return mux
}

func callEcho(m *Mesh, to string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	var out echo
	err := m.Call(ctx, to, KindFormation, echo{Text: "hello"}, &out)
	return out.Text, err
}

// stallProxy is a TCP proxy. stall makes it drop all bytes on the connections that
// are open at that time, without closing them; later connections work.
type stallProxy struct {
	l          net.Listener
	target     string
	generation atomic.Int64
}

func newStallProxy(t *testing.T, target string) *stallProxy {
	l, _ := listener(t)
	p := &stallProxy{l: l, target: target}
	go p.serve()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *stallProxy) stall() { p.generation.Add(1) }

func (p *stallProxy) serve() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		generation := p.generation.Load()
		go p.relay(in, out, generation)
		go p.relay(out, in, generation)
	}
}

func (p *stallProxy) relay(dst, src net.Conn, generation int64) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if p.generation.Load() == generation {
			_, _ = dst.Write(buf[:n])
		}
	}
}

// Guards against a connection that stops delivering while new connections would
// work, and is kept open: it must be closed and redialed within 2 s.
func TestSilentPeerConnectionIsRedialled(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("mesh", func(t *testing.T) {
		g := NewWithT(t)
		la, addrA := listener(t)
		lb, addrB := listener(t)
		proxy := newStallProxy(t, addrB)
		a := startMesh(t, "a", la, map[string]string{"a": addrA, "b": proxy.l.Addr().String()}, echoMux())
		startMesh(t, "b", lb, map[string]string{"a": addrA, "b": addrB}, echoMux())
		g.Eventually(func() (string, error) { return callEcho(a, "b") }, "5s").Should(Equal("a:hello"))

		first := a.peerConn("b")
		proxy.stall()
		_, err := callEcho(a, "b")
		g.Expect(err).To(HaveOccurred())
		// The target is 2 s; the longer limit allows for a busy machine.
		g.Eventually(func() bool { c := a.peerConn("b"); return c != nil && c != first }, "4s", "20ms").Should(BeTrue())
		g.Eventually(func() (string, error) { return callEcho(a, "b") }, "5s").Should(Equal("a:hello"))
	})
}

// Guards against handshakes that are accepted from a peer with another protocol
// version, from an unknown peer, or for another instance because of a wrong
// address in the settings.
func TestHandshakeRefusals(t *testing.T) {
	m := NewMesh(MeshOptions{Self: "b", Addresses: map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"}, Mux: NewMux()})
	for name, c := range map[string]struct{ version, from, to string }{
		"other version":  {"2", "a", "b"},
		"no version":     {"", "a", "b"},
		"unknown peer":   {"1", "x", "b"},
		"wrong instance": {"1", "a", "c"},
		"itself":         {"1", "b", "b"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := httptest.NewRequest(http.MethodGet, Path, nil)
			r.Header.Set(headerVersion, c.version)
			r.Header.Set(headerFrom, c.from)
			r.Header.Set(headerTo, c.to)
			w := httptest.NewRecorder()
			m.ServeHTTP(w, r)
			g.Expect(w.Code).To(Equal(http.StatusForbidden))
		})
	}
}

// Guards against a malformed or oversized frame that affects connections other
// than the one it arrived on.
func TestBadFramesEndOnlyTheirConnection(t *testing.T) {
	for name, data := range map[string][]byte{
		"malformed": {0xff, 0x00, 0x13},
		"oversized": bytes.Repeat([]byte{0x41}, MaxFrameBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			la, addrA := listener(t)
			lb, addrB := listener(t)
			addrs := map[string]string{"a": addrA, "b": addrB, "c": "127.0.0.1:1"}
			a := startMesh(t, "a", la, addrs, echoMux())
			startMesh(t, "b", lb, addrs, echoMux())
			g.Eventually(func() (string, error) { return callEcho(a, "b") }, "5s").Should(Equal("a:hello"))

			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			header := http.Header{}
			header.Set(headerVersion, strconv.Itoa(Version))
			header.Set(headerFrom, "c")
			header.Set(headerTo, "b")
			ws, _, err := websocket.Dial(ctx, "ws://"+addrB+Path, &websocket.DialOptions{HTTPHeader: header})
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ws.CloseNow() }()
			_ = ws.Write(ctx, websocket.MessageBinary, data)
			g.Eventually(func() error { _, _, err := ws.Read(ctx); return err }, "3s").Should(HaveOccurred())
			g.Expect(callEcho(a, "b")).To(Equal("a:hello"))
		})
	}
}

// Guards against a call that never returns when its connection breaks.
func TestCallFailsWhenConnectionIsLost(t *testing.T) {
	g := NewWithT(t)
	la, addrA := listener(t)
	lb, addrB := listener(t)
	addrs := map[string]string{"a": addrA, "b": addrB}
	mux := NewMux()
	started := make(chan struct{}, 1)
	OnCall(mux, KindFormation, func(ctx context.Context, _ string, _ *echo) (*echo, error) {
		started <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	a := startMesh(t, "a", la, addrs, echoMux())
	startMesh(t, "b", lb, addrs, mux)
	g.Eventually(func() bool { return a.Connected("b") }, "5s").Should(BeTrue())
	errs := make(chan error, 1)
	go func() { errs <- a.Call(context.Background(), "b", KindFormation, echo{}, &echo{}) }()
	g.Eventually(started, "5s").Should(Receive())
	_ = a.peerConn("b").ws.CloseNow()
	g.Eventually(errs, "5s").Should(Receive(MatchError(ErrConnLost)))
}

// Guards against an instance identified only by its address that is not dialed at
// its first use, or whose connection stays open after it is no longer used.
func TestInstancesAreDialledOnDemand(t *testing.T) {
	g := NewWithT(t)
	la, a := listener(t)
	lb, b := listener(t)
	start := func(self string, l net.Listener) *Mesh {
		m := NewMesh(MeshOptions{Self: self, OnDemand: true, Mux: echoMux()})
		serveMesh(t, m, l)
		return m
	}
	ma := start(a, la)
	start(b, lb)
	g.Expect(ma.Connected(b)).To(BeFalse())
	g.Eventually(func() (string, error) { return callEcho(ma, b) }, 5*time.Second).Should(Equal(a + ":hello"))
	ma.mu.Lock()
	ma.lastUsed[b].Store(monotonicNanos() - int64(2*OnDemandIdleTimeout))
	ma.mu.Unlock()
	g.Eventually(func() bool {
		ma.mu.RLock()
		defer ma.mu.RUnlock()
		return ma.conns[b] != nil || ma.lastUsed[b] != nil
	}, 5*time.Second, "50ms").Should(BeFalse())
}

// Guards against a message whose handler panics and ends the process: the caller
// must receive the panic as an error, and the connection must serve the next call.
func TestHandlerThatPanicsEndsItsCallAlone(t *testing.T) {
	g := NewWithT(t)
	la, a := listener(t)
	lb, b := listener(t)
	addrs := map[string]string{"a": a, "b": b}
	mux := echoMux()
	OnCall(mux, KindPropose, func(context.Context, string, *echo) (*echo, error) { panic("a fault") })
	OnOneWay(mux, KindFleet, func(string, *echo) { panic("another fault") })
	startMesh(t, "b", lb, addrs, mux)
	m := startMesh(t, "a", la, addrs, echoMux())
	var resp echo
	call := func(kind Kind) error { return m.Call(t.Context(), "b", kind, &echo{Text: "x"}, &resp) }
	g.Eventually(func() error { return call(KindFormation) }, "5s", "10ms").Should(Succeed())
	g.Expect(call(KindPropose)).To(MatchError(ContainSubstring("a fault")))
	g.Expect(m.SendOneWay("b", KindFleet, &echo{})).To(Succeed())
	g.Expect(call(KindFormation)).To(Succeed())
	g.Expect(resp.Text).To(Equal("a:x"))
}

// Guards against peers whose large frames together take the memory of the
// process, against memory that stays charged, and against frames of any size up
// to the limit that are not read whole.
func TestLargeFramesAreChargedWhileTheyArrive(t *testing.T) {
	g := NewWithT(t)
	call := func(memory int64, size int) error {
		la, addrA := listener(t)
		lb, addrB := listener(t)
		addrs := map[string]string{"a": addrA, "b": addrB}
		a := startMesh(t, "a", la, addrs, echoMux())
		guard := conns.NewGuard(conns.GuardOptions{MemoryBytes: memory})
		serveMesh(t, NewMesh(MeshOptions{Self: "b", Addresses: addrs, Mux: echoMux(), Memory: guard.Memory(conns.Peers)}), lb)
		g.Eventually(func() bool { return a.Connected("b") }, "5s").Should(BeTrue())
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		for range 3 {
			var out echo
			if err := a.Call(ctx, "b", KindFormation, echo{Text: strings.Repeat("x", size)}, &out); err != nil {
				return err
			}
			g.Expect(out.Text).To(HaveLen(size + len("a:")))
		}
		return nil
	}
	for _, size := range []int{0, smallFrameBytes - 100, smallFrameBytes - 20, smallFrameBytes, smallFrameBytes + 1, 100_000, MaxFrameBytes / 2} {
		g.Expect(call(200<<20, size)).To(Succeed(), "%d bytes", size)
	}
	g.Expect(call(1<<20, 100)).To(Succeed())
	g.Expect(call(1<<20, 1<<20)).To(MatchError(ErrConnLost))
}
