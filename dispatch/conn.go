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

// Limits of connections to endpoints and peers.
const (
	dialTimeout = time.Second
	// aliveWithin is how recently a connection must have carried an answer to
	// be used again. Connections can go silent for good while new ones work.
	aliveWithin = time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	unackedTimeout    = 2 * time.Second
	maxAnswerHeader   = 256 << 10
	connBufferBytes   = 8 << 10
	tcpUserTimeout    = 0x12 // TCP_USER_TIMEOUT of Linux, which package syscall lacks
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

var (
	errConnLimit      = errors.New("connection limit of the endpoint is reached")
	errHeaderTooLarge = errors.New("answer header is too large")
	// longAgo is a deadline that makes reads and writes fail at once.
	longAgo = time.Unix(1, 0)
)

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	socket net.Conn // below TLS; otherwise the same as Conn
	br     *bufio.Reader
	bw     *bufio.Writer
	pool   *connPool
	reused bool
	// wrote is true once the kernel took a byte of the current request, so
	// that the other side may have got it.
	wrote bool
	// readLeft is how many bytes may still be read; it bounds headers.
	readLeft int64
	// alive is when the connection last carried a whole answer.
	alive time.Time
}

// Write implements io.Writer and notes whether a byte was sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.wrote = true
	}
	return n, err
}

// Read implements io.Reader within the limit set last.
func (c *conn) Read(p []byte) (int, error) {
	if c.readLeft <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > c.readLeft {
		p = p[:c.readLeft]
	}
	n, err := c.Conn.Read(p)
	c.readLeft -= int64(n)
	return n, err
}

func (c *conn) limitRead()     { c.readLeft = maxAnswerHeader }
func (c *conn) unlimitedRead() { c.readLeft = math.MaxInt64 }

// quiet reports whether nothing can be read from an idle connection: neither
// its end nor a late answer to an earlier request.
func (c *conn) quiet() bool {
	sc, ok := c.socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// connPool holds the connections to one address. All of them count against
// the limit, idle ones included.
type connPool struct {
	address string
	limit   func() int64
	clock   clockwork.Clock
	dialer  *net.Dialer
	tls     *tls.Config // nil for connections without TLS

	mu     sync.Mutex
	idle   []*conn // the one used last at the end
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

// get returns an idle connection known to be alive, or dials a new one.
func (p *connPool) get(ctx context.Context) (*conn, error) {
	if c := p.takeIdle(); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, errConnLimit
	}
	c, err := p.dial(ctx)
	if err != nil {
		p.ended()
		return nil, err
	}
	c.br = bufio.NewReaderSize(c, connBufferBytes)
	c.bw = bufio.NewWriterSize(c, connBufferBytes)
	return c, nil
}

// dial opens a connection, with TLS if the pool has it.
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

// takeIdle returns the idle connection used last if it is known to be alive.
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
		if p.clock.Since(c.alive) <= aliveWithin && c.quiet() {
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

func (p *connPool) ended() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// close ends the connection and its place in the pool. It is called once.
func (c *conn) close() {
	_ = c.Conn.Close()
	c.pool.ended()
}

// put returns a connection whose answer was read in full.
func (p *connPool) put(c *conn) {
	if c.SetDeadline(time.Time{}) != nil {
		c.close()
		return
	}
	c.alive = p.clock.Now()
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

// trim closes idle connections that are too old to be used again.
func (p *connPool) trim() {
	p.mu.Lock()
	old := 0
	for old < len(p.idle) && p.clock.Since(p.idle[old].alive) > aliveWithin {
		old++
	}
	ended := append([]*conn(nil), p.idle[:old]...)
	p.idle = append(p.idle[:0], p.idle[old:]...)
	p.mu.Unlock()
	for _, c := range ended {
		c.close()
	}
}

// closeIdle closes all idle connections. If last is true, connections that
// are in use are closed when their request ends.
func (p *connPool) closeIdle(last bool) {
	p.mu.Lock()
	ended := p.idle
	p.idle = nil
	p.closed = p.closed || last
	p.mu.Unlock()
	for _, c := range ended {
		c.close()
	}
}

// opened returns the number of open connections.
func (p *connPool) opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
