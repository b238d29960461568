package dispatch

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"apricotrouter/event"
)

// writeResponse writes the response of an attempt to the caller. If a long body
// turns out to be incomplete, it aborts the connection to the caller, which
// therefore never takes the truncated response for a complete one. capture, if
// not nil, receives a copy of a streamed body.
func (d *Dispatcher) writeResponse(w http.ResponseWriter, rq *request, r *response, capture *boundedBuffer) {
	ex := r.ex
	copyHeader(w.Header(), ex.resp.Header)
	w.Header().Set(HeaderRequestID, rq.id)
	if ex.buffered {
		if ex.mayHaveBody() {
			w.Header().Set("Content-Length", strconv.Itoa(len(ex.body)))
		} else if v := ex.resp.Header.Get("Content-Length"); v != "" {
			w.Header().Set("Content-Length", v)
		}
		// Free the slot before writing, because the endpoint has finished and
		// the caller may read slowly.
		r.finish()
		w.WriteHeader(ex.resp.StatusCode)
		_, _ = w.Write(ex.body)
		return
	}
	d.streamResponse(w, rq, r, capture)
}

func (d *Dispatcher) streamResponse(w http.ResponseWriter, rq *request, r *response, capture *boundedBuffer) {
	ex := r.ex
	if ex.resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(ex.resp.ContentLength, 10))
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(rq.deadline)
	w.WriteHeader(ex.resp.StatusCode)
	var out io.Writer = &callerWriter{w: w, control: control, flush: ex.resp.ContentLength < 0, continueAfterDisconnect: capture != nil}
	if capture != nil {
		out = io.MultiWriter(capture, out)
	}
	if err := r.copyBody(out); err != nil {
		if ex.readErr != nil {
			event.Log(d.opts.Logger, event.ResponseTruncated, slog.String("request_id", rq.id), slog.Any("error", err))
			d.metrics.truncated.Inc()
		}
		panic(http.ErrAbortHandler)
	}
	for name, values := range ex.resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	_ = control.SetWriteDeadline(time.Time{})
}

func copyHeader(dst, src http.Header) {
	skipHeaders := headersToSkip(src)
	for name, values := range src {
		if !skipHeaders[name] {
			dst[name] = values
		}
	}
}

// callerWriter writes a response body to a caller. With
// continueAfterDisconnect, writes succeed after the caller has disconnected, so
// that the response is read to its end and can be recorded.
type callerWriter struct {
	w                       http.ResponseWriter
	control                 *http.ResponseController
	flush                   bool
	continueAfterDisconnect bool
	disconnected            bool
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	if c.disconnected {
		return len(p), nil
	}
	_, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.control.Flush()
	}
	if err != nil && c.continueAfterDisconnect {
		c.disconnected = true
		return len(p), nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// boundedBuffer buffers up to MaxBufferedResponse bytes. If more is written, it
// discards its content.
type boundedBuffer struct {
	buf        bytes.Buffer
	overflowed bool // more than MaxBufferedResponse bytes were written
}

// Write implements io.Writer.
func (p *boundedBuffer) Write(b []byte) (int, error) {
	if p.buf.Len()+len(b) > MaxBufferedResponse {
		p.overflowed = true
		p.buf.Reset()
	}
	if !p.overflowed {
		p.buf.Write(b)
	}
	return len(b), nil
}
