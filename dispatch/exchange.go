package dispatch

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// MaxBufferedResponse is the largest response body, in bytes, that is read
// completely before it is forwarded, and the largest that is recorded in the
// ledger.
const MaxBufferedResponse = 64 << 10

var (
	errNoLength   = errors.New("response has neither a Content-Length nor chunked encoding, so its end can't be verified")
	errMismatched = errors.New("response contains the ID of another attempt")
	errCancelled  = errors.New("attempt was cancelled")
	errNoResponse = errors.New("no response by the deadline")
)

// exchange is one request and its response on one connection.
type exchange struct {
	conn        *conn
	stop        func() bool // stops watching the context
	writeResult chan error  // receives the result of writing a streamed body; nil if the body was in memory
	resp        *http.Response
	body        []byte // complete body if buffered
	buffered    bool
	complete    bool  // the response was read completely
	readErr     error // error that ended the body early
	request     *http.Request
}

// send writes a request to a connection and reads the response header. It also
// reads the body if its length is known and at most MaxBufferedResponse. After
// an error, the request may have run if and only if conn.wrote is true.
func send(ctx context.Context, c *conn, out *outgoing, deadline time.Time) (*exchange, error) {
	x := &exchange{conn: c, request: &http.Request{Method: out.method}}
	if err := c.SetDeadline(deadline); err != nil {
		return x, err
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	if err := x.write(out); err != nil {
		return x, err
	}
	if err := x.readHeader(); err != nil {
		return x, err
	}
	return x, x.bufferBody()
}

// write writes the request. It writes a streamed body in the background while
// the response is read, because endpoints may respond early.
func (x *exchange) write(out *outgoing) error {
	c := x.conn
	c.bw.Reset(c)
	if err := out.writeHead(c.bw); err != nil {
		return err
	}
	if out.body.rest == nil {
		return out.writeBody(c.bw)
	}
	x.writeResult = make(chan error, 1)
	go func() {
		err := out.writeBody(c.bw)
		if err != nil {
			// The request is incomplete, so a response to it must not be used.
			_ = c.SetDeadline(pastDeadline)
		}
		x.writeResult <- err
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
			return errors.New("endpoint switched protocols without an upgrade request")
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

// bufferBody reads the body if its length is known and at most
// MaxBufferedResponse.
func (x *exchange) bufferBody() error {
	if !x.mayHaveBody() {
		x.buffered, x.complete = true, true
		return nil
	}
	n := x.resp.ContentLength
	if n < 0 || n > MaxBufferedResponse {
		return nil
	}
	x.body = make([]byte, n)
	if _, err := io.ReadFull(x.resp.Body, x.body); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return err
	}
	x.buffered, x.complete = true, true
	return nil
}

// Read reads from a streamed body. It returns io.EOF only at the verified end
// of the response.
func (x *exchange) Read(p []byte) (int, error) {
	n, err := x.resp.Body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		x.complete = true
	case err != nil:
		x.readErr = err
	}
	return n, err
}

// reusable reports whether the connection can carry another request.
func (x *exchange) reusable() bool {
	if !x.complete || x.resp.Close || x.conn.br.Buffered() > 0 {
		return false
	}
	if x.writeResult == nil {
		return true
	}
	select {
	case err := <-x.writeResult:
		return err == nil
	default:
		return false
	}
}

// finish ends an exchange whose response was read completely and returns its
// connection to the pool if it is reusable.
func (x *exchange) finish() {
	stopped := x.stop()
	if stopped && x.reusable() {
		x.conn.pool.put(x.conn)
		return
	}
	x.conn.close()
}

// timedOut reports whether err was caused by a deadline.
func timedOut(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}

// drainResponse reads and discards the response of an abandoned attempt. It
// closes the sending direction to signal the cancellation to the endpoint. It
// reports whether the complete response arrived, which proves that the attempt
// has ended.
func (x *exchange) drainResponse(deadline time.Time) bool {
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
	if x.complete {
		return true
	}
	_, err := io.Copy(io.Discard, x.resp.Body)
	return err == nil
}
