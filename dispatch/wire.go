package dispatch

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync/atomic"
)

// Headers of the request path.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id" // sent to endpoints, which list it in their announcements
	HeaderTimeout    = "X-Request-Timeout-Ms"
	HeaderIdempotent = "X-Idempotent"
	HeaderOutcome    = "X-Outcome"
	HeaderCaller     = "X-Caller-Id"
)

// payload is the body of a request.
type payload struct {
	head   []byte      // what was read so far
	rest   *bodyReader // nil if head is all
	length int64       // -1 if unknown
}

// bodyReader reads the rest of a body and keeps the error with which the
// caller's side ended, so that no endpoint is blamed for it.
type bodyReader struct {
	io.Reader
	failed atomic.Pointer[error]
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.failed.Store(&err)
	}
	return n, err
}

// callerError returns the error with which the caller's side ended, or nil.
func (p *payload) callerError() error {
	if p.rest == nil {
		return nil
	}
	if err := p.rest.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// replayable reports whether the body can be sent a second time.
func (p *payload) replayable() bool { return p.rest == nil }

// field is a header field.
type field struct{ name, value string }

// outgoing is a request as it is written to a connection.
type outgoing struct {
	method, uri, host string
	header            http.Header // of the caller; not changed
	except            map[string]bool
	extra             []field
	body              *payload
}

// notPassedOn are the fields of requests and answers that hold for one
// connection only, or that the request path writes itself.
var notPassedOn = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Host":                true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	HeaderRequestID:       true,
	HeaderAttemptID:       true,
	HeaderTimeout:         true,
	HeaderOutcome:         true,
	headerForwardMethod:   true,
	headerForwardURI:      true,
	headerForwardHost:     true,
	headerForwardService:  true,
	headerForwardResult:   true,
}

// exceptions returns notPassedOn with the fields that a Connection field
// names.
func exceptions(h http.Header) map[string]bool {
	named := h["Connection"]
	if len(named) == 0 {
		return notPassedOn
	}
	all := make(map[string]bool, len(notPassedOn)+len(named))
	for name := range notPassedOn {
		all[name] = true
	}
	for _, line := range named {
		for name := range strings.SplitSeq(line, ",") {
			all[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return all
}

// writeHead writes the request line and the header.
func (o *outgoing) writeHead(w *bufio.Writer) error {
	for _, s := range [...]string{o.method, " ", o.uri, " HTTP/1.1\r\nHost: ", o.host, "\r\n"} {
		_, _ = w.WriteString(s)
	}
	if err := o.header.WriteSubset(w, o.except); err != nil {
		return err
	}
	for _, f := range o.extra {
		writeField(w, f.name, f.value)
	}
	switch {
	case o.body.length < 0:
		writeField(w, "Transfer-Encoding", "chunked")
	case o.body.length > 0 || o.method == http.MethodPost || o.method == http.MethodPut || o.method == http.MethodPatch:
		writeField(w, "Content-Length", strconv.FormatInt(o.body.length, 10))
	}
	_, err := w.WriteString("\r\n")
	return err
}

func writeField(w *bufio.Writer, name, value string) {
	_, _ = w.WriteString(name)
	_, _ = w.WriteString(": ")
	_, _ = w.WriteString(value)
	_, _ = w.WriteString("\r\n")
}

// writeBody writes the body and flushes.
func (o *outgoing) writeBody(w *bufio.Writer) error {
	if o.body.length < 0 {
		return o.writeChunked(w)
	}
	if _, err := w.Write(o.body.head); err != nil {
		return err
	}
	if o.body.rest != nil {
		if err := w.Flush(); err != nil {
			return err
		}
		n, err := io.Copy(w, o.body.rest)
		if err != nil {
			return err
		}
		if n+int64(len(o.body.head)) != o.body.length {
			return io.ErrUnexpectedEOF
		}
	}
	return w.Flush()
}

func (o *outgoing) writeChunked(w *bufio.Writer) error {
	cw := httputil.NewChunkedWriter(w)
	if len(o.body.head) > 0 {
		if _, err := cw.Write(o.body.head); err != nil {
			return err
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if o.body.rest != nil {
		if _, err := io.Copy(&flushWriter{cw, w}, o.body.rest); err != nil {
			return err
		}
	}
	if err := cw.Close(); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// flushWriter sends each chunk at once.
type flushWriter struct {
	io.Writer
	buf *bufio.Writer
}

// Write implements io.Writer.
func (f *flushWriter) Write(p []byte) (int, error) {
	n, err := f.Writer.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.buf.Flush()
}
