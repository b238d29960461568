package endpoint

import (
	"net"
	"sync"
)

// listener counts its connections and can make them unresponsive.
type listener struct {
	net.Listener

	mu            sync.Mutex
	conns         map[*serverConn]struct{}
	acceptedCount int
	maxOpen       int
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, conns: make(map[*serverConn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &serverConn{Conn: c, listener: l, unresponsive: make(chan struct{}), closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[sc] = struct{}{}
	l.acceptedCount++
	l.maxOpen = max(l.maxOpen, len(l.conns))
	return sc, nil
}

func (l *listener) makeUnresponsive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.unresponsiveOnce.Do(func() { close(c.unresponsive) })
	}
}

func (l *listener) closeAll() {
	l.mu.Lock()
	conns := make([]*serverConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (l *listener) highestOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxOpen
}

func (l *listener) accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acceptedCount
}

// serverConn is a connection that can become unresponsive. It then blocks reads
// and discards writes, as if the network dropped all packets.
type serverConn struct {
	net.Conn
	listener         *listener
	unresponsive     chan struct{}
	unresponsiveOnce sync.Once
	closed           chan struct{}
	closeOnce        sync.Once
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.unresponsive:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write implements net.Conn.
func (c *serverConn) Write(p []byte) (int, error) {
	select {
	case <-c.unresponsive:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close implements net.Conn.
func (c *serverConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.mu.Lock()
		delete(c.listener.conns, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}
