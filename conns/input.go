package conns

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// phase is what an accepted connection is doing.
type phase uint8

const (
	phaseIdle     phase = iota // has sent no byte of the next request
	phaseHeader                // has sent a part of the header
	phaseBody                  // the handler runs, the body is not complete
	phaseRunning               // the request is complete, its response is not
	phaseHijacked              // no longer used for HTTP requests
)

// ErrRefused is returned by reads from a connection that was given up.
var ErrRefused net.Error = refusedError{}

// refusedError is a timeout for net/http, which closes a connection after a
// timeout in a header, and after another error responds with status 400, which
// tells a client not to send the request again.
type refusedError struct{}

// Error implements error.
func (refusedError) Error() string { return "the server is overloaded" }

// Timeout implements net.Error.
func (refusedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (refusedError) Temporary() bool { return true }

// maxRead is the most that a connection reads before its memory is charged.
const maxRead = 16 << 10

// writeBlock is the part of a response that a client must accept within
// Limits.WriteTimeout.
const writeBlock = 64 << 10

// inputConn is an accepted connection that charges what it reads to its part of
// the budget until the request has been answered.
type inputConn struct {
	net.Conn
	part      *part
	limits    Limits
	held      atomic.Int64 // bytes charged
	refused   atomic.Bool
	closeOnce sync.Once
	// writeDeadline is that of the connection. It belongs to the goroutine that
	// writes.
	writeDeadline time.Time

	mu       sync.Mutex
	phase    phase
	since    time.Time // of the first byte of the request, or of the last response
	received int64     // bytes of the request
	header   int64     // of these, bytes that arrived before the handler ran
	deadline time.Time // for reads, set because of a body; zero if none is
	readErr  bool      // a read has failed because of the client
	ending   int64     // bytes of this connection that are counted in part.ending
	closed   bool
}

// Read implements net.Conn. It first waits for room if the part is exhausted and
// the request has begun, and reads nothing more once the connection was given up.
func (c *inputConn) Read(p []byte) (int, error) {
	if c.part.exhausted() && c.mayWait() && !c.part.awaitRoom() {
		c.refuse(ReasonMemory)
	}
	if c.refused.Load() {
		return 0, ErrRefused
	}
	if err := c.limitBody(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p[:min(len(p), maxRead)])
	if n > 0 {
		c.charge(p[:n])
	}
	if err != nil && c.refused.Load() {
		return n, ErrRefused
	}
	if err != nil {
		c.readFailed(err)
	}
	return n, err
}

// readFailed records the end of what the client sends.
func (c *inputConn) readFailed(err error) {
	c.mu.Lock()
	late := errors.Is(err, os.ErrDeadlineExceeded)
	c.readErr = c.readErr || !late
	slow := late && c.phase == phaseBody
	c.mu.Unlock()
	if slow {
		c.part.report(ReasonBodySlow, c.RemoteAddr().String())
	}
}

// deadlineStep is the least extension of the deadline of a body. Smaller ones
// would change it at each read.
const deadlineStep = 500 * time.Millisecond

// limitBody sets the deadline of the next read if it is for a body. A small body
// that arrives with its header needs no further read and no deadline. The
// deadline also holds for the rest of a body that the handler does not read and
// that net/http discards.
func (c *inputConn) limitBody() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseBody || c.refused.Load() {
		return nil
	}
	deadline := c.since.Add(c.limits.bodyTime(c.received - c.header))
	if !c.deadline.IsZero() && deadline.Sub(c.deadline) < deadlineStep {
		return nil
	}
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// bodyComplete ends the deadline of the body. It reports false if the connection
// was given up before.
func (c *inputConn) bodyComplete() bool {
	if !c.enter(phaseRunning) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deadline.IsZero() {
		return true
	}
	c.deadline = time.Time{}
	return c.Conn.SetReadDeadline(time.Time{}) == nil
}

// mayWait reports whether the next read is for a request that has begun and is
// not complete. The start of a request needs no room: its buffer is charged with
// the connection, so that small requests are served while large ones wait.
func (c *inputConn) mayWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return (c.phase == phaseHeader || c.phase == phaseBody) && !c.refused.Load()
}

// charge accounts for data that has arrived.
func (c *inputConn) charge(data []byte) {
	c.mu.Lock()
	if c.phase == phaseHijacked {
		c.mu.Unlock()
		return
	}
	if c.phase == phaseIdle {
		c.phase, c.since = phaseHeader, time.Now()
	}
	c.received += int64(len(data))
	cost := int64(len(data)) * bodyFactor
	if c.phase == phaseHeader {
		cost = int64(len(data))*headerFactor + int64(bytes.Count(data, []byte{'\n'}))*headerLineBytes
	}
	c.mu.Unlock()
	c.held.Add(cost)
	c.part.used.Add(cost)
}

// Write implements net.Conn. A client that accepts no part of a response within
// the time limit is disconnected.
func (c *inputConn) Write(p []byte) (written int, err error) {
	c.mu.Lock()
	hijacked := c.phase == phaseHijacked
	c.mu.Unlock()
	if hijacked {
		return c.Conn.Write(p)
	}
	for {
		block := p[written:min(len(p), written+writeBlock)]
		// A deadline is used for several writes, because changing it costs as
		// much as a small write.
		if now := time.Now(); c.writeDeadline.Sub(now) < c.limits.WriteTimeout {
			c.writeDeadline = now.Add(c.limits.WriteTimeout + c.limits.WriteTimeout/4)
			if err := c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(block)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.part.report(ReasonNotRead, c.RemoteAddr().String())
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. It does nothing while the connection is
// used for HTTP requests: net/http would end the deadline after each response,
// and Write sets its own.
func (c *inputConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	hijacked := c.phase == phaseHijacked
	c.mu.Unlock()
	if hijacked {
		return c.Conn.SetWriteDeadline(t)
	}
	return nil
}

// Close implements net.Conn.
func (c *inputConn) Close() error {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		headerRefused := c.phase == phaseHeader && !c.readErr && !c.refused.Load()
		c.closed = true
		c.mu.Unlock()
		if headerRefused {
			c.part.report(ReasonHeader, c.RemoteAddr().String())
		}
		c.part.remove(c)
	})
	return c.Conn.Close()
}

// enter records the phase that the server has reached. It reports false if the
// connection was given up before: its request must not be carried out.
func (c *inputConn) enter(next phase) bool {
	c.mu.Lock()
	if c.refused.Load() {
		c.mu.Unlock()
		return false
	}
	c.phase = next
	switch next {
	case phaseIdle:
		c.since, c.received, c.deadline = time.Now(), 0, time.Time{}
	case phaseBody:
		c.since, c.header = time.Now(), c.received
	}
	c.mu.Unlock()
	if next == phaseIdle || next == phaseHijacked {
		c.release(connBytes)
	}
	return true
}

// release returns what is charged beyond the given number of bytes to the part.
func (c *inputConn) release(keep int64) {
	c.mu.Lock()
	c.part.ending.Add(-c.ending)
	c.ending = 0
	c.mu.Unlock()
	if rest := c.held.Swap(keep) - keep; rest != 0 {
		c.part.free(rest)
	}
}

// pending returns what a decision has to know of the connection. It returns false
// if the request is complete: it may have been passed on, so that disconnecting
// its client would leave the outcome unknown.
func (c *inputConn) pending(now time.Time) (pendingConn, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase > phaseBody || c.refused.Load() {
		return pendingConn{}, false
	}
	return pendingConn{held: c.held.Load(), received: c.received, age: now.Sub(c.since), begun: c.phase != phaseIdle}, true
}

// refuse gives the connection up: reads fail from now on, so that the server
// closes it or its handler refuses the request. Its memory is free when that has
// ended. A request that has become complete in the meantime is not refused.
func (c *inputConn) refuse(reason Reason) {
	c.mu.Lock()
	given := c.phase <= phaseBody && !c.closed && !c.refused.Swap(true)
	if given {
		c.ending = c.held.Load()
		c.part.ending.Add(c.ending)
	}
	c.mu.Unlock()
	if !given {
		return
	}
	c.part.report(reason, c.RemoteAddr().String())
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends a read that waits
}
