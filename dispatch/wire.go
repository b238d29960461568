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

// Header fields of requests and responses.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderAttemptID  = "X-Attempt-Id" // sent to endpoints, which list it in their announcements
	HeaderTimeout    = "X-Request-Timeout-Ms"
	HeaderIdempotent = "X-Idempotent"
	HeaderOutcome    = "X-Outcome"
	HeaderCaller     = "X-Caller-Id"
)

// payload is a request body.
type payload struct {
	prefix []byte      // part that was read into memory
	rest   *bodyReader // nil if prefix is the complete body
	length int64       // -1 if unknown
}

// bodyReader reads the rest of a body. It stores an error of the caller's
// connection, so that the failure is not attributed to the endpoint.
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

// callerError returns the error of reading from the caller, or nil.
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
	header            http.Header // header of the caller; not modified
	skipHeaders       map[string]bool
	extra             []field
	body              *payload
}

// unforwardedHeaders lists the header fields of requests and responses that
// apply to one connection only or are set by the dispatcher.
var unforwardedHeaders = map[string]bool{
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

// headersToSkip returns unforwardedHeaders together with the fields that are
// listed in Connection fields.
func headersToSkip(h http.Header) map[string]bool {
	named := h["Connection"]
	if len(named) == 0 {
		return unforwardedHeaders
	}
	all := make(map[string]bool, len(unforwardedHeaders)+len(named))
	for name := range unforwardedHeaders {
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
	if err := o.header.WriteSubset(w, o.skipHeaders); err != nil {
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
	if _, err := w.Write(o.body.prefix); err != nil {
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
		if n+int64(len(o.body.prefix)) != o.body.length {
			return io.ErrUnexpectedEOF
		}
	}
	return w.Flush()
}

func (o *outgoing) writeChunked(w *bufio.Writer) error {
	cw := httputil.NewChunkedWriter(w)
	if len(o.body.prefix) > 0 {
		if _, err := cw.Write(o.body.prefix); err != nil {
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

// flushWriter flushes after each write, so that each chunk is sent at once.
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
