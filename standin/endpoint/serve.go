package endpoint

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"apricotrouter/dispatch"
)

// statusCancelled is the status of a request that its caller canceled.
const statusCancelled = 499

func (e *Endpoint) handle(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	if f := e.behavior.Load(); f != nil {
		b = (*f)(r)
	}
	if b.Refuse {
		e.mu.Lock()
		e.refused++
		e.mu.Unlock()
		w.Header().Set(dispatch.HeaderOutcome, string(dispatch.OutcomeNotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	rec := e.recordStart(r, body)
	cancelled := !e.simulateWork(r, b)
	e.recordEnd(rec, cancelled)
	switch {
	case b.NoResponse:
		e.waitForCancel(r)
		panic(http.ErrAbortHandler)
	case e.stopped.Err() != nil:
		panic(http.ErrAbortHandler)
	case cancelled:
		w.Header().Set("Connection", "close")
		w.WriteHeader(statusCancelled)
	default:
		e.respond(w, rec, b)
	}
}

func (e *Endpoint) recordStart(r *http.Request, body []byte) *Record {
	rec := &Record{
		RequestID: r.Header.Get(dispatch.HeaderRequestID),
		AttemptID: r.Header.Get(dispatch.HeaderAttemptID),
		Method:    r.Method,
		URI:       r.RequestURI,
		Body:      body,
		Started:   time.Now(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = append(e.records, rec)
	e.running[rec] = struct{}{}
	e.highestRunning = max(e.highestRunning, len(e.running))
	return rec
}

func (e *Endpoint) recordEnd(rec *Record, cancelled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	rec.Ended = time.Now()
	rec.Cancelled = cancelled
	delete(e.running, rec)
}

// simulateWork waits for the service time. It returns false if the caller canceled
// the request or the endpoint stopped.
func (e *Endpoint) simulateWork(r *http.Request, b Behavior) bool {
	d := time.Duration(e.serviceTime.Load()) + b.Delay
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	callerCanceled := r.Context().Done()
	if b.IgnoreCancel {
		callerCanceled = nil
	}
	select {
	case <-timer.C:
		return true
	case <-callerCanceled:
		return false
	case <-e.stopped.Done():
		return false
	}
}

// waitForCancel waits until the caller cancels the request or the endpoint stops.
func (e *Endpoint) waitForCancel(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.stopped.Done():
	}
}

func (e *Endpoint) respond(w http.ResponseWriter, rec *Record, b Behavior) {
	body := b.ResponseBody
	if body == nil {
		body = append([]byte(rec.RequestID+"\n"), rec.Body...)
	}
	attempt := rec.AttemptID
	if b.WrongAttempt {
		attempt = "another-" + attempt
	}
	w.Header().Set(dispatch.HeaderAttemptID, attempt)
	w.Header().Set("X-Endpoint", e.opts.ID)
	if !b.Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	w.WriteHeader(status)
	if b.TruncateResponse {
		body = body[:min(b.TruncateAfter, len(body))]
	}
	_, _ = w.Write(body)
	if b.Chunked || b.TruncateResponse {
		_ = http.NewResponseController(w).Flush()
	}
	if b.TruncateResponse {
		panic(http.ErrAbortHandler)
	}
}

// String describes the endpoint for failure messages of tests.
func (e *Endpoint) String() string {
	return fmt.Sprintf("endpoint %s at %s", e.opts.ID, e.Address())
}
