package conns_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"apricotrouter/conns"
)

const eventuallyTimeout = 5 * time.Second

// Guards against connections of one use that consume the descriptors of another,
// and against closed connections that still count as open.
func TestUsesDoNotTakeEachOthersConnections(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	b := conns.NewBudget(conns.Options{Limit: 20})
	g.Expect(b.ForUse(conns.Workers)).To(Equal(14))
	dial := b.DialContext(conns.Workers)
	var open []net.Conn
	for range b.ForUse(conns.Workers) {
		c, err := dial(t.Context(), "tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		open = append(open, c)
	}
	_, err = dial(t.Context(), "tcp", l.Addr().String())
	g.Expect(err).To(MatchError(conns.ErrExhausted))
	peerConn, err := b.DialContext(conns.Peers)(t.Context(), "tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(peerConn.Close()).To(Succeed())
	for range 2 { // the second Close has no effect on the count
		_ = open[0].Close()
	}
	g.Expect(b.Open(conns.Workers)).To(Equal(len(open) - 1))
	for _, c := range open {
		_ = c.Close()
	}
	g.Expect(b.Open(conns.Workers)).To(BeZero())
	g.Expect(b.Open(conns.Peers)).To(BeZero())
}

// Guards against callers that open connections until the process has no file
// descriptors left for its own calls.
func TestAcceptedConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	b := conns.NewBudget(conns.Options{Limit: 20})
	g.Expect(b.ForUse(conns.Control)).To(Equal(3))
	bounded := b.Listen(l, conns.Control)
	defer func() { _ = bounded.Close() }()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			c, err := bounded.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	for range 5 {
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
	}
	g.Eventually(func() int { return b.Open(conns.Control) }, eventuallyTimeout).Should(Equal(3))
	g.Eventually(func() int { return len(accepted) }, eventuallyTimeout).Should(Equal(3)) // they count as open before Accept returns
	g.Consistently(func() int { return len(accepted) }, 100*time.Millisecond).Should(Equal(3))
	g.Expect((<-accepted).Close()).To(Succeed())
	g.Eventually(func() int { return len(accepted) }, eventuallyTimeout).Should(Equal(3))
}

// Guards against a limit in the settings that exceeds the limit of the operating
// system and is applied nevertheless.
func TestLimitOfTheSystemHolds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(conns.NewBudget(conns.Options{Limit: 1 << 30}).ForUse(conns.Workers)).To(BeNumerically("<=", 1<<29))
	g.Expect(conns.NewBudget(conns.Options{}).ForUse(conns.Workers)).To(BeNumerically(">", 1))
}
