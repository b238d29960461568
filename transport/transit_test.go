package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a delay that is not noticed, one that is found where the clocks
// differ in origin or rate, and one that a standing queue hides.
func TestDelayOfFramesIsEstimated(t *testing.T) {
	g := NewWithT(t)
	const ms = time.Millisecond
	var c transitClock
	const origin = 7 * time.Hour // of the sender's clock, before that of the reader
	read := time.Duration(0)
	frame := func(delay time.Duration) time.Duration { return c.delay(origin+read, read+5*ms+delay) }
	g.Expect(frame(0)).To(BeZero())
	for range 200 {
		read += 500 * ms
		g.Expect(frame(0)).To(BeZero())
		g.Expect(frame(1100 * ms)).To(Equal(1100 * ms))
	}
	var drifting transitClock
	for i := range time.Duration(100_000) { // 14 h, the reader's clock is 0.01% fast
		at := i * 500 * ms
		g.Expect(drifting.delay(at, at+at/10_000)).To(BeNumerically("<", 10*ms))
	}
	at := 100 * time.Hour // the first frame after a long time tells nothing
	g.Expect(drifting.delay(at, at+at/10_000)).To(BeZero())
}

// pausingProxy is a TCP proxy that holds what it has read while it is paused, and
// then passes it on.
type pausingProxy struct {
	l      net.Listener
	target string
	pause  sync.RWMutex // held while the proxy is paused
}

func newPausingProxy(t *testing.T, target string) *pausingProxy {
	l, _ := listener(t)
	p := &pausingProxy{l: l, target: target}
	go p.serve()
	t.Cleanup(func() { _ = l.Close() })
	return p
}

func (p *pausingProxy) serve() {
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
		go p.relay(in, out)
		go p.relay(out, in)
	}
}

func (p *pausingProxy) relay(dst, src net.Conn) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		p.pause.RLock()
		_, err = dst.Write(buf[:n])
		p.pause.RUnlock()
		if err != nil {
			return
		}
	}
}

// Guards against a change that is made, and undoes a later one, after its caller
// has stopped waiting, because the call was held up on its way.
func TestCallThatArrivesAfterItsCallerLeftIsNotHandled(t *testing.T) {
	g := NewWithT(t)
	la, addrA := listener(t)
	lb, addrB := listener(t)
	proxy := newPausingProxy(t, addrB)
	a := startMesh(t, "a", la, map[string]string{"a": addrA, "b": proxy.l.Addr().String()}, NewMux())
	mux := NewMux()
	var handled atomic.Int64
	deadlines := make(chan time.Duration, 10)
	OnCall(mux, KindFormation, func(ctx context.Context, _ string, req *echo) (*echo, error) {
		handled.Add(1)
		ctx, cancel := UntilCallerLeaves(ctx)
		defer cancel()
		deadline, _ := ctx.Deadline()
		deadlines <- time.Until(deadline)
		return req, nil
	})
	startMesh(t, "b", lb, map[string]string{"a": addrA, "b": addrB}, mux)
	g.Eventually(func() error { _, err := callEcho(a, "b"); return err }, "5s", "10ms").Should(Succeed())
	g.Expect(<-deadlines).To(And(BeNumerically(">", 0), BeNumerically("<=", 500*time.Millisecond)))
	before := handled.Load()

	proxy.pause.Lock()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	g.Expect(a.Call(ctx, "b", KindFormation, echo{}, new(echo))).To(MatchError(context.DeadlineExceeded))
	time.Sleep(200 * time.Millisecond)
	proxy.pause.Unlock()
	g.Expect(callEcho(a, "b")).To(Equal("hello"), "later calls on the connection are handled")
	g.Expect(handled.Load()).To(Equal(before + 1))
	g.Expect(a.Call(ctx, "b", KindFormation, echo{}, new(echo))).To(MatchError(ErrExpired), "it is not even sent")
}
