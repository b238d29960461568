package transport

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
)

type echo struct {
	Text string `cbor:"1,keyasint"`
}

// listener accepts for one mesh on a port of the system's choice.
func listener(t testing.TB) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l, l.Addr().String()
}

// startMesh runs a mesh with its server until the test ends.
func startMesh(t testing.TB, self string, l net.Listener, addrs map[string]string, mux *Mux) *Mesh {
	m := NewMesh(MeshOptions{Self: self, Addresses: addrs, Mux: mux})
	serveMesh(t, m, l)
	return m
}

// serveMesh runs a mesh with its server until the test ends.
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

// muteProxy forwards bytes until it is muted; muted connections stay open and
// carry nothing, and new ones work.
type muteProxy struct {
	l      net.Listener
	target string
	epoch  atomic.Int64
}

func newMuteProxy(t *testing.T, target string) *muteProxy {
	l, _ := listener(t)
	p := &muteProxy{l: l, target: target}
	go p.serve()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *muteProxy) mute() { p.epoch.Add(1) }

func (p *muteProxy) serve() {
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
		epoch := p.epoch.Load()
		go p.pump(in, out, epoch)
		go p.pump(out, in, epoch)
	}
}

func (p *muteProxy) pump(dst, src net.Conn, epoch int64) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		if p.epoch.Load() == epoch {
			_, _ = dst.Write(buf[:n])
		}
	}
}

// Guards against a connection that goes silent for good while new ones work:
// it must be closed and redialled within 2 s.
func TestSilentPeerConnectionIsRedialled(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("mesh", func(t *testing.T) {
		g := NewWithT(t)
		la, addrA := listener(t)
		lb, addrB := listener(t)
		proxy := newMuteProxy(t, addrB)
		a := startMesh(t, "a", la, map[string]string{"a": addrA, "b": proxy.l.Addr().String()}, echoMux())
		startMesh(t, "b", lb, map[string]string{"a": addrA, "b": addrB}, echoMux())
		g.Eventually(func() (string, error) { return callEcho(a, "b") }, "5s").Should(Equal("a:hello"))

		first := a.conn("b")
		proxy.mute()
		_, err := callEcho(a, "b")
		g.Expect(err).To(HaveOccurred())
		// 2 s is the target; the rest is slack for a busy machine.
		g.Eventually(func() bool { c := a.conn("b"); return c != nil && c != first }, "4s", "20ms").Should(BeTrue())
		g.Eventually(func() (string, error) { return callEcho(a, "b") }, "5s").Should(Equal("a:hello"))
	})
}

// Guards against a peer of another version, an unknown peer or a wrong
// address in the settings being taken for a known instance.
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

// Guards against a malformed or oversized frame that breaks more than its own
// connection.
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

// Guards against a call that waits for ever when its connection breaks.
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
	_ = a.conn("b").ws.CloseNow()
	g.Eventually(errs, "5s").Should(Receive(MatchError(ErrConnLost)))
}

// Guards against an instance that is known by its address alone and is not
// dialled, or stays dialled by a mesh that no longer uses it.
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
	ma.demand[b].Store(monotonic() - int64(2*DemandTimeout))
	ma.mu.Unlock()
	g.Eventually(func() bool {
		ma.mu.RLock()
		defer ma.mu.RUnlock()
		return ma.conns[b] != nil || ma.demand[b] != nil
	}, 5*time.Second, "50ms").Should(BeFalse())
}

// Guards against a message that ends the process: the fault is the answer, and
// the connection serves the next call.
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
