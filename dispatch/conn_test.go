package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/gomega"
)

// testPool returns a pool of connections to a test listener, and a channel of
// the connections that the listener accepts.
func testPool(t *testing.T, clock clockwork.Clock, limit int64) (*connPool, <-chan net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted := make(chan net.Conn, 16)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	p := &connPool{address: l.Addr().String(), limit: func() int64 { return limit }, clock: clock, dialer: newDialer()}
	t.Cleanup(func() {
		p.closeIdle(true)
		_ = l.Close()
		<-done
		for len(accepted) > 0 {
			_ = (<-accepted).Close()
		}
	})
	return p, accepted
}

// Guards against more connections than the connection limit of the endpoint.
func TestConnectionsAreLimited(t *testing.T) {
	g := NewWithT(t)
	p, _ := testPool(t, clockwork.NewRealClock(), 2)
	a, err := p.get(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	b, err := p.get(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	_, err = p.get(context.Background())
	g.Expect(err).To(MatchError(errConnLimit))
	a.close()
	c, err := p.get(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	b.close()
	c.close()
	g.Expect(p.openCount()).To(BeZero())
}

// Guards against reuse of a connection that may be dead, was closed, or carries
// a late response to an earlier request.
func TestOnlyLiveConnectionsAreUsedAgain(t *testing.T) {
	g := NewWithT(t)
	clock := clockwork.NewFakeClock()
	p, accepted := testPool(t, clock, 4)
	use := func() (*conn, net.Conn) {
		c, err := p.get(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		return c, <-accepted
	}
	c, other := use()
	p.put(c)
	g.Expect(p.takeIdle()).To(BeIdenticalTo(c))
	p.put(c)
	_, err := other.Write([]byte("HTTP/1.1 200 OK\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.noPendingData).Should(BeFalse())
	g.Expect(p.takeIdle()).To(BeNil(), "late response")
	_ = other.Close()

	c, other = use()
	p.put(c)
	_ = other.Close()
	g.Eventually(c.noPendingData).Should(BeFalse())
	g.Expect(p.takeIdle()).To(BeNil(), "closed")

	c, other = use()
	p.put(c)
	clock.Advance(maxIdleTime + time.Millisecond)
	g.Expect(p.takeIdle()).To(BeNil(), "idle for longer than maxIdleTime")
	g.Expect(p.openCount()).To(BeZero())
	_ = other.Close()
}
