package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// MaxWholeAnswer is the length up to which an answer is read in full before
// it is passed on, and recorded in the ledger.
const MaxWholeAnswer = 64 << 10

var (
	errNoLength   = errors.New("answer has neither a length nor chunks, so that its end can't be checked")
	errMismatched = errors.New("answer carries the id of another attempt")
	errCancelled  = errors.New("attempt was cancelled")
	errNoAnswer   = errors.New("no answer by the deadline")
)

// exchange is one request on one connection and its answer.
type exchange struct {
	conn    *conn
	stop    func() bool // ends the watch of the context
	sent    chan error  // result of writing a streamed body; nil if written
	resp    *http.Response
	body    []byte // the whole body if whole
	whole   bool
	ended   bool  // the answer was read in full
	readErr error // why the answer is not complete, if it isn't
	request *http.Request
}

// send writes a request to a connection and reads the header of the answer,
// and its body if that is short. After an error, the request may have been
// handled if and only if conn.wrote.
func send(ctx context.Context, c *conn, out *outgoing, deadline time.Time) (*exchange, error) {
	x := &exchange{conn: c, request: &http.Request{Method: out.method}}
	if err := c.SetDeadline(deadline); err != nil {
		return x, err
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(longAgo) })
	if err := x.write(out); err != nil {
		return x, err
	}
	if err := x.readHeader(); err != nil {
		return x, err
	}
	return x, x.readShort()
}

// write sends the request. A body that is not in memory is sent while the
// answer is read, because endpoints may answer early.
func (x *exchange) write(out *outgoing) error {
	c := x.conn
	c.bw.Reset(c)
	if err := out.writeHead(c.bw); err != nil {
		return err
	}
	if out.body.rest == nil {
		return out.writeBody(c.bw)
	}
	x.sent = make(chan error, 1)
	go func() {
		err := out.writeBody(c.bw)
		if err != nil {
			// The request is incomplete, so that no answer to it counts.
			_ = c.SetDeadline(longAgo)
		}
		x.sent <- err
	}()
	return nil
}

func (x *exchange) readHeader() error {
	x.conn.limitRead()
	defer x.conn.unlimitedRead()
	for {
		resp, err := http.ReadResponse(x.conn.br, x.request)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 200 {
			x.resp = resp
			break
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return errors.New("endpoint switched protocols unasked")
		}
	}
	if x.resp.ContentLength < 0 && len(x.resp.TransferEncoding) == 0 && x.mayHaveBody() {
		return errNoLength
	}
	return nil
}

func (x *exchange) mayHaveBody() bool {
	code := x.resp.StatusCode
	return x.request.Method != http.MethodHead && code != http.StatusNoContent && code != http.StatusNotModified
}

// readShort reads the body if its length is known and short.
func (x *exchange) readShort() error {
	if !x.mayHaveBody() {
		x.whole, x.ended = true, true
		return nil
	}
	n := x.resp.ContentLength
	if n < 0 || n > MaxWholeAnswer {
		return nil
	}
	x.body = make([]byte, n)
	if _, err := io.ReadFull(x.resp.Body, x.body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	x.whole, x.ended = true, true
	return nil
}

// Read reads from a long body. It returns io.EOF only at the verified end of
// the answer.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		x.ended = true
	case err != nil:
		x.readErr = err
	}
	return n, err
}

// reusable reports whether the connection can carry another request.
func (x *exchange) reusable() bool {
	if !x.ended || x.resp.Close || x.conn.br.Buffered() > 0 {
		return false
	}
	if x.sent == nil {
		return true
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false
	}
}

// finish ends an exchange whose answer was read in full.
func (x *exchange) finish() {
	stopped := x.stop()
	if stopped && x.reusable() {
		x.conn.pool.put(x.conn)
		return
	}
	x.conn.close()
}

// timedOut reports whether an error is the passing of a deadline.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// drainAnswer waits for the end of an answer that nobody wants any more. It
// tells the endpoint by closing the sending direction, and reports whether
// the whole answer came, so that the attempt has certainly ended.
func (x *exchange) drainAnswer(deadline time.Time) bool {
	if x.stop != nil {
		x.stop()
	}
	if half, ok := x.conn.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	if x.conn.SetReadDeadline(deadline) != nil {
		return false
	}
	if x.resp == nil && x.readHeader() != nil {
		return false
	}
	if x.ended {
		return true
	}
	_, err := io.Copy(io.Discard, x.resp.Body)
	return err == nil
}
