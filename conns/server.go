package conns

import (
	"context"
	"errors"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"apricotrouter/event"
)

// connKey is the context key of a request's *inputConn.
type connKey struct{}

// ErrBodySlow is returned by reads of a body that arrives below the minimum rate.
var ErrBodySlow = errors.New("the body arrived too slowly")

// NewServer returns an HTTP server with all limits. It must serve a listener
// returned by Listen with the same use and limits.
func (g *Guard) NewServer(use Use, limits Limits, h http.Handler) *http.Server {
	limits = limits.withDefaults()
	return &http.Server{
		Handler:           &guardedHandler{next: h, limits: limits},
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         recordState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if c := inputConnOf(conn); c != nil {
				return context.WithValue(ctx, connKey{}, c)
			}
			return ctx
		},
		ErrorLog: log.New(&serverLog{part: g.parts[use]}, "", 0),
	}
}

// inputConnOf returns the inputConn that conn is or that a TLS connection uses.
func inputConnOf(conn net.Conn) *inputConn {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*inputConn)
	return c
}

func recordState(conn net.Conn, s http.ConnState) {
	c := inputConnOf(conn)
	if c == nil {
		return
	}
	switch s {
	case http.StateIdle:
		c.enter(phaseIdle)
	case http.StateHijacked:
		c.enter(phaseHijacked)
	case http.StateNew, http.StateActive, http.StateClosed:
	}
}

// guardedHandler bounds the time for the bodies of requests.
type guardedHandler struct {
	next   http.Handler
	limits Limits
}

// ServeHTTP implements http.Handler.
func (h *guardedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*inputConn)
	if c == nil {
		h.next.ServeHTTP(w, r)
		return
	}
	next := phaseBody
	if r.Body == nil || r.Body == http.NoBody {
		next = phaseRunning
	}
	if !c.enter(next) {
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", "1")
		http.Error(w, ErrRefused.Error(), http.StatusTooManyRequests)
		return
	}
	if next == phaseRunning {
		h.next.ServeHTTP(w, r)
		return
	}
	b := &boundedBody{ReadCloser: r.Body, conn: c, limits: h.limits, control: http.NewResponseController(w), start: time.Now()}
	// The deadline also holds for the rest of a body that the handler does not
	// read and that the server discards.
	if b.extend(); b.err != nil {
		http.Error(w, b.err.Error(), http.StatusInternalServerError)
		return
	}
	r.Body = b
	h.next.ServeHTTP(w, r)
	if c.refused.Load() {
		c.release(connBytes) // net/http may keep the connection for another 500 ms
	}
}

// boundedBody is a request's body that must arrive at a minimum rate.
type boundedBody struct {
	io.ReadCloser
	conn     *inputConn
	limits   Limits
	control  *http.ResponseController
	start    time.Time
	read     int64
	deadline time.Duration // since start
	err      error         // of the last change of the deadline
}

// deadlineStep is the least extension of the deadline. Smaller ones would change
// it at each read.
const deadlineStep = 500 * time.Millisecond

func (b *boundedBody) extend() {
	if d := b.limits.bodyTime(b.read); b.deadline == 0 || d >= b.deadline+deadlineStep {
		b.deadline = d
		b.err = b.control.SetReadDeadline(b.start.Add(d))
	}
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == nil:
		b.extend()
	case errors.Is(err, io.EOF):
		if !b.conn.enter(phaseRunning) {
			return n, ErrRefused
		}
		b.err = b.control.SetReadDeadline(time.Time{})
		if b.err == nil {
			b.err = io.EOF
		}
	case b.conn.refused.Load():
		err = ErrRefused
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.part.report(ReasonBodySlow, b.conn.RemoteAddr().String())
		err = ErrBodySlow
	}
	return n, err
}

// serverLog receives the log lines of net/http, which are about single
// connections and therefore as many as clients want, and logs them as refusals
// are logged.
type serverLog struct{ part *part }

// Write implements io.Writer.
func (l *serverLog) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line))
	if strings.Contains(text, "panic serving") {
		event.Log(l.part.guard.logger, event.HandlerFailed, slog.String("use", string(l.part.use)), slog.String("error", text))
	}
	return len(line), nil
}
