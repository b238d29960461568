package dispatch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Outcome states whether a request that got an error response may have run.
type Outcome string

// Outcomes. OutcomeNotRun is certain: no byte of the request can have reached
// an endpoint, or the endpoint itself responded so.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Problem is an error response with the content type application/problem+json.
type Problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	RequestID string  `json:"request_id,omitempty"`

	// retryAfter is sent as Retry-After if it is not 0.
	retryAfter time.Duration
	// cause is logged but not sent, because it may contain addresses of
	// instances.
	cause error
}

const (
	problemType = "urn:apricotrouter:problem:"
	resendAfter = time.Second
)

// Error implements error.
func (p *Problem) Error() string {
	s := p.Title + " (" + string(p.Outcome) + ")"
	if p.cause != nil {
		s += ": " + p.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// notRun returns the error response for a request that certainly did not run.
func notRun(status int, kind, title string) *Problem {
	p := &Problem{Type: problemType + kind, Title: title, Status: status, Outcome: OutcomeNotRun}
	if status == http.StatusServiceUnavailable {
		p.retryAfter = resendAfter
	}
	return p
}

// unknown returns the error response for a request that may have run.
func unknown(status int, kind, title string, cause error) *Problem {
	return &Problem{Type: problemType + kind, Title: title, Status: status, Outcome: OutcomeUnknown, cause: cause}
}

// outcomeOf returns the outcome of a failed attempt; wrote is conn.wrote.
func outcomeOf(wrote bool) Outcome {
	if wrote {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (p *Problem) withCause(err error) *Problem {
	p.cause = err
	return p
}

// write sends the error response to the caller.
func (p *Problem) write(w http.ResponseWriter, requestID string) {
	out := *p
	out.RequestID = requestID
	body, err := json.Marshal(&out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(HeaderOutcome, string(p.Outcome))
	if requestID != "" {
		h.Set(HeaderRequestID, requestID)
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((p.retryAfter+time.Second-1)/time.Second)))
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}
