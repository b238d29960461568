// Package endpoint is an in-process stand-in for an endpoint of a service. It
// announces itself, records every request, and misbehaves on demand.
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

// Options are the settings of an Endpoint.
type Options struct {
	ID              string
	Service         string
	Zone            string
	Slots           int64 // default 8
	ConnectionLimit int64 // default 64
	Incarnation     uint64
	// Entries are host:port of the entry ports to which it announces itself,
	// one after the other. Without any it does not announce itself.
	Entries []string
	// AnnounceInterval is the pause between announcements, default 1 s.
	AnnounceInterval time.Duration
	TTL              time.Duration // default 3 s
	// ServiceTime is how long each request runs.
	ServiceTime time.Duration
}

// Behavior is what the endpoint does with one request. The zero value answers
// in full after the service time.
type Behavior struct {
	// Delay is added to the service time.
	Delay time.Duration
	// Refuse answers 503 with X-Outcome: not-run and does not run the request.
	Refuse bool
	// Status of the answer, default 200.
	Status int
	// Answer is the body; nil answers with the request id and the body of
	// the request.
	Answer []byte
	// Chunked sends the answer in chunks without a length.
	Chunked bool
	// Truncate ends the connection after this many bytes of the body, if it
	// is not negative and CutAnswer is set.
	Truncate  int
	CutAnswer bool
	// Silent runs the request and sends nothing until the connection ends.
	Silent bool
	// IgnoreCancel goes on when the caller has given up.
	IgnoreCancel bool
	// WrongAttempt answers with the id of another attempt.
	WrongAttempt bool
}

// Record is one request that the endpoint ran.
type Record struct {
	RequestID string
	AttemptID string
	Method    string
	URI       string
	Body      []byte
	Started   time.Time
	Ended     time.Time // zero while it runs
	Cancelled bool      // the caller gave up before the end
}

// Endpoint is a running stand-in.
type Endpoint struct {
	opts     Options
	listener *listener
	server   *http.Server
	announce announcer
	behavior atomic.Pointer[func(r *http.Request) Behavior]
	service  atomic.Int64 // service time, nanoseconds
	stopped  context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	records []*Record
	running map[*Record]struct{}
	highest int
	refused int
}

// Start listens on a port of the system's choice and begins to announce.
func Start(opts Options) (*Endpoint, error) {
	setDefaults(&opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{opts: opts, listener: newListener(l), running: make(map[*Record]struct{})}
	e.stopped, e.stop = context.WithCancel(context.Background())
	e.service.Store(int64(opts.ServiceTime))
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
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

// Address returns host:port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// ID returns the id of the endpoint.
func (e *Endpoint) ID() string { return e.opts.ID }

// SetServiceTime changes how long requests run.
func (e *Endpoint) SetServiceTime(d time.Duration) { e.service.Store(int64(d)) }

// SetBehavior sets what happens to each request; nil answers all in full.
func (e *Endpoint) SetBehavior(b func(r *http.Request) Behavior) {
	if b == nil {
		e.behavior.Store(nil)
		return
	}
	e.behavior.Store(&b)
}

// SilenceOpenConnections makes the connections that are open now carry
// nothing any more, without closing them. New ones work.
func (e *Endpoint) SilenceOpenConnections() { e.listener.silence() }

// HoldAnnouncements stops announcements, or resumes them.
func (e *Endpoint) HoldAnnouncements(hold bool) { e.announce.held.Store(hold) }

// Drain announces at once that the endpoint is leaving. It returns an error
// if no entry instance took the announcement.
func (e *Endpoint) Drain(ctx context.Context) error {
	e.announce.draining.Store(true)
	return e.announce.send(ctx)
}

// AnnounceNow sends an announcement at once.
func (e *Endpoint) AnnounceNow(ctx context.Context) error { return e.announce.send(ctx) }

// Die closes the listener and all connections at once and announces nothing
// more.
func (e *Endpoint) Die() {
	e.stop()
	_ = e.server.Close()
	e.listener.closeAll()
	e.done.Wait()
}

// Stop ends the endpoint after its running requests.
func (e *Endpoint) Stop(ctx context.Context) error {
	err := e.server.Shutdown(ctx)
	e.Die()
	return err
}

// Records returns copies of the requests that ran, in the order of their
// starts.
func (e *Endpoint) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]Record, 0, len(e.records))
	for _, r := range e.records {
		all = append(all, *r)
	}
	return all
}

// Runs returns how often a request ran.
func (e *Endpoint) Runs(requestID string) int {
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

// Running returns the number of requests that run now.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// HighestConcurrency returns the highest number of requests that ran at once.
func (e *Endpoint) HighestConcurrency() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.highest
}

// HighestConnections returns the highest number of connections open at once.
func (e *Endpoint) HighestConnections() int { return e.listener.highest() }

// Accepted returns the number of connections accepted so far.
func (e *Endpoint) Accepted() int { return e.listener.accepted() }

// Forget drops the records, so that a long run stays within its memory.
func (e *Endpoint) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = nil
}

// attempts returns the ids of the attempts that run now.
func (e *Endpoint) attempts() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := make([]string, 0, len(e.running))
	for r := range e.running {
		ids = append(ids, r.AttemptID)
	}
	slices.Sort(ids)
	return ids
}

var errDead = errors.New("endpoint is dead")
