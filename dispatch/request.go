package dispatch

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// maxReplayBytes is the largest body, in bytes, that is buffered so that it
	// can be sent again.
	maxReplayBytes = 64 << 10
	maxIDBytes     = 128
)

// request is one request of a caller or peer.
type request struct {
	id         string
	callerID   bool // id was chosen by the caller
	caller     string
	service    *service
	idempotent bool
	forwarded  bool // received from a peer; must not be forwarded again
	deadline   time.Time
	started    time.Time

	method, uri, host string
	header            http.Header
	skipHeaders       map[string]bool
	body              payload
	bodySent          bool // a body that can't be replayed was sent, at least in part
}

// canSendAgain reports whether the complete body can still be sent.
func (rq *request) canSendAgain() bool { return rq.body.replayable() || !rq.bodySent }

func (rq *request) remaining() time.Duration { return time.Until(rq.deadline) }

// outgoing returns the request as it is sent to an endpoint.
func (rq *request) outgoing(attemptID string) *outgoing {
	return &outgoing{
		method: rq.method, uri: rq.uri, host: rq.host,
		header: rq.header, skipHeaders: rq.skipHeaders, body: &rq.body,
		extra: []field{
			{HeaderRequestID, rq.id},
			{HeaderAttemptID, attemptID},
			{HeaderTimeout, strconv.FormatInt(max(1, rq.remaining().Milliseconds()), 10)},
		},
	}
}

// parse parses and validates the header of a request.
func (d *Dispatcher) parse(r *http.Request) (*request, *Problem) {
	rq := &request{
		started: time.Now(),
		method:  r.Method, uri: requestURI(r), host: r.Host,
		header: r.Header, skipHeaders: headersToSkip(r.Header),
	}
	var p *Problem
	if rq.id, p = singleValue(r.Header, HeaderRequestID); p != nil {
		return rq, p
	}
	if rq.id != "" && !validID(rq.id) {
		rq.id = ""
		return rq, notRun(http.StatusBadRequest, "bad-request-id", "X-Request-Id must have 1 to 128 visible ASCII characters")
	}
	rq.callerID = rq.id != ""
	if !rq.callerID {
		rq.id = d.nextAttemptID()
	}
	if p = d.parseTimeout(rq, r.Header); p != nil {
		return rq, p
	}
	if p = parseIdempotent(rq, r.Header); p != nil {
		return rq, p
	}
	rq.caller = callerIdentity(r)
	return rq, d.checkSupported(r)
}

func (d *Dispatcher) checkSupported(r *http.Request) *Problem {
	switch {
	case r.Method == http.MethodConnect:
		return notRun(http.StatusMethodNotAllowed, "method-not-allowed", "CONNECT is not forwarded")
	case r.Header.Get("Upgrade") != "":
		return notRun(http.StatusNotImplemented, "upgrade-not-supported", "protocol upgrades are not forwarded")
	case r.ContentLength > d.opts.MaxBodyBytes:
		return d.bodyTooLarge(OutcomeNotRun)
	}
	return nil
}

func (d *Dispatcher) bodyTooLarge(outcome Outcome) *Problem {
	p := notRun(http.StatusRequestEntityTooLarge, "body-too-large",
		"request body is longer than "+strconv.FormatInt(d.opts.MaxBodyBytes, 10)+" bytes")
	p.Outcome = outcome
	return p
}

// requestURI returns the path and query exactly as the caller sent them.
func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// singleValue returns the value of a header field that may occur at most once.
func singleValue(h http.Header, name string) (string, *Problem) {
	switch v := h[name]; len(v) {
	case 0:
		return "", nil
	case 1:
		return v[0], nil
	default:
		return "", notRun(http.StatusBadRequest, "repeated-header", name+" must come at most once")
	}
}

func validID(id string) bool {
	if len(id) > maxIDBytes {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}

func (d *Dispatcher) parseTimeout(rq *request, h http.Header) *Problem {
	rq.deadline = rq.started.Add(d.opts.Timeout)
	v, p := singleValue(h, HeaderTimeout)
	if p != nil || v == "" {
		return p
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 1 {
		return notRun(http.StatusBadRequest, "bad-timeout", "X-Request-Timeout-Ms must be a whole number of at least 1")
	}
	ms = min(ms, d.opts.MaxTimeout.Milliseconds())
	rq.deadline = rq.started.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func parseIdempotent(rq *request, h http.Header) *Problem {
	v, p := singleValue(h, HeaderIdempotent)
	if p != nil {
		return p
	}
	switch v {
	case "":
		rq.idempotent = rq.method == http.MethodGet || rq.method == http.MethodHead || rq.method == http.MethodOptions
	case "true":
		rq.idempotent = true
	case "false":
	default:
		return notRun(http.StatusBadRequest, "bad-idempotent", "X-Idempotent must be true or false")
	}
	return nil
}

// callerIdentity returns the key that identifies a caller in the fair queue:
// HeaderCaller, the address added to X-Forwarded-For by the load balancer, or
// the remote address of the connection.
func callerIdentity(r *http.Request) string {
	if v := r.Header.Get(HeaderCaller); v != "" {
		return v
	}
	if v := r.Header.Get("X-Forwarded-For"); v != "" {
		return strings.TrimSpace(v[strings.LastIndexByte(v, ',')+1:])
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody buffers the first maxReplayBytes of the body. It runs before a slot
// is acquired, so that a caller that sends a short body slowly does not occupy
// one.
func (d *Dispatcher) readBody(w http.ResponseWriter, r *http.Request, rq *request) *Problem {
	rq.body.length = r.ContentLength
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		rq.body.length = 0
		return nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(rq.deadline)
	body := http.MaxBytesReader(w, r.Body, d.opts.MaxBodyBytes)
	size := int64(maxReplayBytes)
	if r.ContentLength > 0 {
		size = min(size, r.ContentLength)
	}
	rq.body.prefix = make([]byte, size)
	n, err := io.ReadFull(body, rq.body.prefix)
	rq.body.prefix = rq.body.prefix[:n]
	defer func() {
		if rq.body.rest == nil {
			_ = control.SetReadDeadline(time.Time{})
		}
	}()
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && r.ContentLength < 0:
		rq.body.length = int64(n)
	case err != nil:
		return d.bodyProblem(err, OutcomeNotRun)
	case r.ContentLength < 0 || r.ContentLength > int64(n):
		rq.body.rest = &bodyReader{Reader: body}
	}
	return nil
}

// bodyProblem returns the error response for a request whose body did not
// arrive completely.
func (d *Dispatcher) bodyProblem(err error, outcome Outcome) *Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return d.bodyTooLarge(outcome)
	}
	p := notRun(http.StatusBadRequest, "body-incomplete", "request body ended early").withCause(err)
	if timedOut(err) {
		p = notRun(http.StatusRequestTimeout, "body-late", "request body did not arrive by the deadline")
	}
	p.Outcome = outcome
	return p
}
