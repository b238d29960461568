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

// writeAnswer passes an answer on to the caller. A long answer that turns out
// to be incomplete aborts the connection to the caller, so that it is never
// taken for a whole one. capture, if not nil, gets the beginning of a long
// body.
func (d *Dispatcher) writeAnswer(w http.ResponseWriter, rq *request, r *reply, capture *prefix) {
	x := r.x
	copyHeader(w.Header(), x.resp.Header)
	w.Header().Set(HeaderRequestID, rq.id)
	if x.whole {
		if x.mayHaveBody() {
			w.Header().Set("Content-Length", strconv.Itoa(len(x.body)))
		} else if v := x.resp.Header.Get("Content-Length"); v != "" {
			w.Header().Set("Content-Length", v)
		}
		// The slot is free as soon as the endpoint has answered; the caller
		// may be slow.
		r.finish()
		w.WriteHeader(x.resp.StatusCode)
		_, _ = w.Write(x.body)
		return
	}
	d.streamAnswer(w, rq, r, capture)
}

func (d *Dispatcher) streamAnswer(w http.ResponseWriter, rq *request, r *reply, capture *prefix) {
	x := r.x
	if x.resp.ContentLength >= 0 {
		w.Header().Set("Content-Length", strconv.FormatInt(x.resp.ContentLength, 10))
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(rq.deadline)
	w.WriteHeader(x.resp.StatusCode)
	var out io.Writer = &callerWriter{w: w, control: control, flush: x.resp.ContentLength < 0, keepReading: capture != nil}
	if capture != nil {
		out = io.MultiWriter(capture, out)
	}
	if err := r.copyRest(out); err != nil {
		if x.readErr != nil {
			event.Log(d.opts.Logger, event.AnswerTruncated, slog.String("request_id", rq.id), slog.Any("error", err))
			d.metrics.truncated.Inc()
		}
		panic(http.ErrAbortHandler)
	}
	for name, values := range x.resp.Trailer {
		w.Header()[http.TrailerPrefix+name] = values
	}
	_ = control.SetWriteDeadline(time.Time{})
}

func copyHeader(dst, src http.Header) {
	except := exceptions(src)
	for name, values := range src {
		if !except[name] {
			dst[name] = values
		}
	}
}

// callerWriter writes to a caller. With keepReading, a caller that went away
// does not end the reading of the answer, which is then recorded.
type callerWriter struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	flush       bool
	keepReading bool
	gone        bool
}

// Write implements io.Writer.
func (c *callerWriter) Write(p []byte) (int, error) {
	if c.gone {
		return len(p), nil
	}
	_, err := c.w.Write(p)
	if err == nil && c.flush {
		err = c.control.Flush()
	}
	if err != nil && c.keepReading {
		c.gone = true
		return len(p), nil
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// prefix keeps the first bytes written to it.
type prefix struct {
	buf     bytes.Buffer
	dropped bool // more was written than is kept
}

// Write implements io.Writer.
func (p *prefix) Write(b []byte) (int, error) {
	if p.buf.Len()+len(b) > MaxWholeAnswer {
		p.dropped = true
		p.buf.Reset()
	}
	if !p.dropped {
		p.buf.Write(b)
	}
	return len(b), nil
}
