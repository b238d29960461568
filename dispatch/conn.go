package dispatch

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// Limits and socket options of connections to endpoints and peers.
const (
	dialTimeout = time.Second
	// maxIdleTime is how long a connection may be idle after a complete
	// response and still be reused. Established connections can stop passing
	// packets for good while new ones work.
	maxIdleTime = time.Second
	// unackedTimeout is how long sent data may remain unacknowledged before the
	// kernel closes the connection.
	unackedTimeout    = 2 * time.Second
	maxResponseHeader = 256 << 10
	connBufferBytes   = 8 << 10
	tcpUserTimeout    = 0x12 // TCP_USER_TIMEOUT on Linux, which package syscall does not define
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

var (
	errConnLimit      = errors.New("connection limit of the endpoint is reached")
	errHeaderTooLarge = errors.New("response header is too large")
	// pastDeadline makes pending and later reads and writes fail at once.
	pastDeadline = time.Unix(1, 0)
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	socket net.Conn // connection below TLS; without TLS the same as Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	pool   *connPool
	reused bool
	// wrote is true once the kernel has accepted a byte of the current request.
	// From then on, the other side may have received it.
	wrote bool
	// readRemaining is the number of bytes that may still be read. It limits
	// the size of response headers.
	readRemaining int64
	// lastResponse is when the last complete response was read from the
	// connection.
	lastResponse time.Time
}

// Write implements io.Writer and records in wrote whether a byte was sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

// Read implements io.Reader. It returns errHeaderTooLarge when the limit set by
// limitRead is used up.
func (c *conn) Read(p []byte) (int, error) {
	if c.readRemaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > c.readRemaining {
		p = p[:c.readRemaining]
	}
	n, err := c.Conn.Read(p)
	c.readRemaining -= int64(n)
	return n, err
}

func (c *conn) limitRead()     { c.readRemaining = maxResponseHeader }
func (c *conn) unlimitedRead() { c.readRemaining = math.MaxInt64 }

// noPendingData reports whether an idle connection is open and has no unread
// data, such as a late response to an earlier request.
func (c *conn) noPendingData() bool {
	sc, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noPendingData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noPendingData = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && noPendingData
}

// connPool is a pool of connections to one address. Idle connections count
// against the limit too.
type connPool struct {
	address string
	limit   func() int64
	clock   clockwork.Clock
	dialer  *net.Dialer
	tls     *tls.Config // nil for connections without TLS

	mu     sync.Mutex
	idle   []*conn // most recently used last
	open   int64
	closed bool
}

func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var serr error
			err := raw.Control(func(fd uintptr) {
				serr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			return errors.Join(err, serr)
		},
	}
}

// get returns an idle connection that is fit for reuse, or dials a new one.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, errConnLimit
	}
	c, err := p.dial(ctx)
	if err != nil {
		p.connClosed()
		return nil, err
	}
	c.br = bufio.NewReaderSize(c, connBufferBytes)
	c.bw = bufio.NewWriterSize(c, connBufferBytes)
	return c, nil
}

// dial opens a connection, with TLS if p.tls is set.
func (p *connPool) dial(ctx context.Context) (*conn, error) {
	socket, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil || p.tls == nil {
		return &conn{Conn: socket, socket: socket, pool: p}, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	host, _, _ := net.SplitHostPort(p.address)
	config := p.tls.Clone()
	config.ServerName = host
	secure := tls.Client(socket, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = socket.Close()
		return nil, err
	}
	return &conn{Conn: secure, socket: socket, pool: p}, nil
}

// takeIdle returns the most recently used idle connection that is fit for
// reuse, or nil.
func (p *connPool) takeIdle() *conn {
	for {
		p.mu.Lock()
		n := len(p.idle)
		if n == 0 {
			p.mu.Unlock()
			return nil
		}
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		if p.clock.Since(c.lastResponse) <= maxIdleTime && c.noPendingData() {
			c.reused = true
			c.wrote = false
			return c
		}
		c.close()
	}
}

func (p *connPool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limit() {
		return false
	}
	p.open++
	return true
}

func (p *connPool) connClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// close closes the connection and removes it from the count of its pool. It
// must be called exactly once.
func (c *conn) close() {
	_ = c.Conn.Close()
	c.pool.connClosed()
}

// put returns a connection to the pool after its response was read completely.
func (p *connPool) put(c *conn) {
	if c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.lastResponse = p.clock.Now()
	p.mu.Lock()
	keep := !p.closed && p.open <= p.limit()
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
}

// closeExpired closes connections that have been idle for longer than
// maxIdleTime.
func (p *connPool) closeExpired() {
	p.mu.Lock()
	old := 0
	for old < len(p.idle) && p.clock.Since(p.idle[old].lastResponse) > maxIdleTime {
		old++
	}
	ended := append([]*conn(nil), p.idle[:old]...)
	p.idle = append(p.idle[:0], p.idle[old:]...)
	p.mu.Unlock()
	for _, c := range ended {
		c.close()
	}
}

// closeIdle closes all idle connections. If final is true, it also closes the
// pool: connections in use are closed when their request ends.
func (p *connPool) closeIdle(final bool) {
	p.mu.Lock()
	ended := p.idle
	p.idle = nil
	p.closed = p.closed || final
	p.mu.Unlock()
	for _, c := range ended {
		c.close()
	}
}

// openCount returns the number of open connections.
func (p *connPool) openCount() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
