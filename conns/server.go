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
		Handler:           &guardedHandler{next: h},
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

// guardedHandler records the phases of requests and wraps their bodies.
type guardedHandler struct{ next http.Handler }

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
		// A response could be taken for the outcome of an earlier copy of the request.
		panic(http.ErrAbortHandler)
	}
	if next == phaseRunning {
		h.next.ServeHTTP(w, r)
		return
	}
	r.Body = &boundedBody{ReadCloser: r.Body, conn: c}
	h.next.ServeHTTP(w, r)
	if c.refused.Load() {
		c.release(connBytes) // net/http may keep the connection for another 500 ms
	}
}

// boundedBody is a request's body that must arrive at a minimum rate.
type boundedBody struct {
	io.ReadCloser
	conn *inputConn
	done bool
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		if !b.conn.bodyComplete() {
			return n, ErrRefused
		}
		b.done = true
	case b.conn.refused.Load():
		err = ErrRefused
	case errors.Is(err, os.ErrDeadlineExceeded):
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
