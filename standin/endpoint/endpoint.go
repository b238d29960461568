// Package endpoint simulates an endpoint of a service for tests and benchmarks.
// It announces itself, records every request and injects faults on demand.
package endpoint

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Options configures an Endpoint.
type Options struct {
	ID              string
	Service         string
	Zone            string
	Slots           int64 // default 8
	ConnectionLimit int64 // default 64
	Incarnation     uint64
	// Entries are the addresses, host:port, of the entry instances to which the
	// endpoint announces itself in turn. If it is empty, the endpoint does not
	// announce itself.
	Entries []string
	// AnnounceInterval is the time between announcements, default 1 s.
	AnnounceInterval time.Duration
	TTL              time.Duration // default 3 s
	// ServiceTime is the run time of each request.
	ServiceTime time.Duration
}

// Behavior configures the response to one request and the faults to inject. The
// zero value sends a complete response after the service time.
type Behavior struct {
	// Delay is added to the service time.
	Delay time.Duration
	// Refuse responds 503 with X-Outcome: not-run and does not run the request.
	Refuse bool
	// Status is the status of the response, default 200.
	Status int
	// ResponseBody is the body of the response. If it is nil, the body is the request
	// id and the body of the request.
	ResponseBody []byte
	// Chunked sends the response in chunks without Content-Length.
	Chunked bool
	// TruncateAfter is the number of bytes of the body after which the connection is
	// closed if TruncateResponse is set. It must not be negative.
	TruncateAfter    int
	TruncateResponse bool
	// NoResponse runs the request and sends no response until the caller cancels.
	NoResponse bool
	// IgnoreCancel continues the request after the caller has canceled it.
	IgnoreCancel bool
	// WrongAttempt responds with the id of another attempt.
	WrongAttempt bool
}

// Record describes one request that the endpoint ran.
type Record struct {
	RequestID string
	AttemptID string
	Method    string
	URI       string
	Body      []byte
	Started   time.Time
	Ended     time.Time // zero while the request runs
	Cancelled bool      // the caller canceled the request before its end
}

// Endpoint is a simulated endpoint.
type Endpoint struct {
	opts        Options
	listener    *listener
	server      *http.Server
	announce    announcer
	behavior    atomic.Pointer[func(r *http.Request) Behavior]
	serviceTime atomic.Int64 // nanoseconds
	stopped     context.Context
	stop        context.CancelFunc
	done        sync.WaitGroup

	mu             sync.Mutex
	records        []*Record
	running        map[*Record]struct{}
	highestRunning int
	refused        int
}

// Start listens on a loopback port that the system assigns and starts to
// announce the endpoint.
func Start(opts Options) (*Endpoint, error) {
	setDefaults(&opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{opts: opts, listener: newListener(l), running: make(map[*Record]struct{})}
	e.stopped, e.stop = context.WithCancel(context.Background())
	e.serviceTime.Store(int64(opts.ServiceTime))
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle)}
	e.done.Go(func() { _ = e.server.Serve(e.listener) })
	e.announce.init(e)
	if len(opts.Entries) > 0 {
		e.done.Go(e.announce.run)
	}
	return e, nil
}

func setDefaults(o *Options) {
	if o.Slots == 0 {
		o.Slots = 8
	}
	if o.ConnectionLimit == 0 {
		o.ConnectionLimit = 64
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	if o.AnnounceInterval == 0 {
		o.AnnounceInterval = time.Second
	}
	if o.TTL == 0 {
		o.TTL = 3 * time.Second
	}
}

// Address returns the address of the endpoint, host:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// ID returns the id of the endpoint.
func (e *Endpoint) ID() string { return e.opts.ID }

// SetServiceTime sets the run time of requests.
func (e *Endpoint) SetServiceTime(d time.Duration) { e.serviceTime.Store(int64(d)) }

// SetBehavior sets the function that returns the behavior for each request. nil
// restores complete responses.
func (e *Endpoint) SetBehavior(b func(r *http.Request) Behavior) {
	if b == nil {
		e.behavior.Store(nil)
		return
	}
	e.behavior.Store(&b)
}

// BlackholeOpenConnections makes the connections that are open now unresponsive
// without closing them. New connections work.
func (e *Endpoint) BlackholeOpenConnections() { e.listener.makeUnresponsive() }

// PauseAnnouncements pauses or resumes announcements.
func (e *Endpoint) PauseAnnouncements(pause bool) { e.announce.paused.Store(pause) }

// Drain announces immediately that the endpoint is draining. It returns an error
// if no entry instance accepted the announcement.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.announce.draining.Store(true)
	return e.announce.send(ctx)
}

// AnnounceNow sends an announcement immediately.
func (e *Endpoint) AnnounceNow(ctx context.Context) error { return e.announce.send(ctx) }

// Kill stops the endpoint abruptly: it closes the listener and all connections
// and sends no more announcements.
func (e *Endpoint) Kill() {
	e.stop()
	_ = e.server.Close()
	e.listener.closeAll()
	e.done.Wait()
}

// Stop waits for the running requests and then stops the endpoint.
func (e *Endpoint) Stop(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.Kill()
	return err
}

// Records returns copies of the records of all requests in the order in which
// they started.
func (e *Endpoint) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		all = append(all, *r)
	}
	return all
}

// RunCount returns the number of times that a request ran.
func (e *Endpoint) RunCount(requestID string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.records {
		if r.RequestID == requestID {
			n++
		}
	}
	return n
}

// Refused returns the number of requests refused as not run.
func (e *Endpoint) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// Running returns the number of running requests.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// HighestConcurrency returns the maximum number of concurrent requests so far.
func (e *Endpoint) HighestConcurrency() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highestRunning
}

// HighestConnections returns the maximum number of concurrently open connections
// so far.
func (e *Endpoint) HighestConnections() int { return e.listener.highestOpen() }

// Accepted returns the number of connections accepted so far.
func (e *Endpoint) Accepted() int { return e.listener.accepted() }

// ClearRecords deletes the records to limit the memory of a long test.
func (e *Endpoint) ClearRecords() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = nil
}

// runningAttempts returns the ids of the running attempts.
func (e *Endpoint) runningAttempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]string, 0, len(e.running))
	for r := range e.running {
		ids = append(ids, r.AttemptID)
	}
	slices.Sort(ids)
	return ids
}

var errStopped = errors.New("endpoint is stopped")
