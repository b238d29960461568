// Package caller simulates callers for tests and benchmarks. It sends requests at
// a fixed rate without waiting for earlier responses (open loop), records the
// outcome of each request, and compares the outcomes with the requests that the
// endpoints ran.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"apricotrouter/dispatch"
)

// Outcome is the result of a request as the caller observed it.
type Outcome string

// Outcomes of a request.
const (
	Completed  Outcome = "answered" // received the complete response to this request
	Mismatched Outcome = "wrong"    // received status 200 with a different or incomplete body
	NotRun     Outcome = "not-run"  // refused, and known not to have run
	Unknown    Outcome = "unknown"  // refused or the connection failed; may have run
)

// Options configures a Load.
type Options struct {
	// Targets are addresses, host:port. Requests are sent to them in turn.
	Targets []string
	Path    string
	Rate    float64 // requests per second
	// NonIdempotent is the fraction of requests, 0 to 1, that may run at most
	// once.
	NonIdempotent float64
	Timeout       time.Duration // deadline of each request; default 5 s
	Seed          uint64
	Prefix        string // prefix of the request ids; must differ between loads
}

// Result is the outcome of one request.
type Result struct {
	ID         string
	Target     string
	Idempotent bool
	Due        time.Time // scheduled send time
	Done       time.Time
	Outcome    Outcome
	Status     int // HTTP status; 0 without a response
	Detail     string
}

// Latency returns the time from the scheduled send time to the end of the
// response. It therefore includes the delay of a request that was sent late.
func (r Result) Latency() time.Duration { return r.Done.Sub(r.Due) }

// Load sends requests at a fixed rate until it is stopped.
type Load struct {
	o      Options
	client *http.Client
	random *rand.Rand
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// maxIdlePerTarget is the maximum number of idle connections per target. It is
// high so that a load reuses its connections.
const maxIdlePerTarget = 512

// NewClient returns an HTTP client that keeps up to maxIdlePerTarget idle
// connections per target.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		DisableCompression:  true,
	}}
}

// Start starts a load, which runs until Stop.
func Start(o Options) *Load {
	if o.Timeout == 0 {
		o.Timeout = 5 * time.Second
	}
	ctx, stop := context.WithCancel(context.Background())
	l := &Load{
		o: o, stop: stop,
		client: NewClient(),
		random: rand.New(rand.NewPCG(o.Seed, 2)),
	}
	l.wg.Go(func() { l.run(ctx) })
	return l
}

// Stop stops sending, waits for the requests in flight and returns the results of
// all requests.
func (l *Load) Stop() []Result {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// Count returns the number of completed requests with the outcome.
func (l *Load) Count(o Outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.results {
		if r.Outcome == o {
			n++
		}
	}
	return n
}

func (l *Load) run(ctx context.Context) {
	start := time.Now()
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / l.o.Rate * float64(time.Second)))
		if !sleepUntil(ctx, due) {
			return
		}
		q := request{
			id:         l.o.Prefix + strconv.Itoa(i),
			target:     l.o.Targets[i%len(l.o.Targets)],
			path:       l.o.Path,
			idempotent: l.random.Float64() >= l.o.NonIdempotent,
			timeout:    l.o.Timeout,
		}
		l.wg.Go(func() {
			r := send(l.client, q)
			r.Due = due
			l.mu.Lock()
			defer l.mu.Unlock()
			l.results = append(l.results, r)
		})
	}
}

// sleepUntil sleeps until t. It returns false if ctx is canceled first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

type request struct {
	id, target, path string
	idempotent       bool
	timeout          time.Duration
}

// responseSlack is how long a caller waits after the deadline of a request for the
// refusal.
const responseSlack = 2 * time.Second

// Send sends one request and waits for its outcome. A non-idempotent request is
// sent as a POST.
func Send(client *http.Client, target, path, id string, idempotent bool, timeout time.Duration) Result {
	due := time.Now()
	r := send(client, request{id, target, path, idempotent, timeout})
	r.Due = due
	return r
}

func send(client *http.Client, q request) Result {
	r := Result{ID: q.id, Target: q.target, Idempotent: q.idempotent, Outcome: Unknown}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+responseSlack)
	defer cancel()
	resp, body, err := exchange(ctx, client, q)
	r.Done = time.Now()
	if err != nil {
		r.Detail = err.Error()
		return r
	}
	r.Status = resp.StatusCode
	r.classify(resp, body, expectedBody(q))
	return r
}

func exchange(ctx context.Context, client *http.Client, q request) (*http.Response, []byte, error) {
	method := http.MethodGet
	var body io.Reader
	if !q.idempotent {
		method = http.MethodPost
		body = bytes.NewReader(payload(q))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.target+q.path, body)
	if err != nil {
		return nil, nil, err
	}
	req.Header.Set(dispatch.HeaderRequestID, q.id)
	req.Header.Set(dispatch.HeaderTimeout, strconv.FormatInt(q.timeout.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp, data, err
}

func payload(q request) []byte {
	if q.idempotent {
		return nil
	}
	return fmt.Appendf(nil, "payload of %s", q.id)
}

// expectedBody returns the body with which the simulated endpoint responds.
func expectedBody(q request) []byte {
	return append([]byte(q.id+"\n"), payload(q)...)
}

// classify sets the outcome from a response and the expected body.
func (r *Result) classify(resp *http.Response, body, want []byte) {
	switch {
	case resp.StatusCode == http.StatusOK && bytes.Equal(body, want):
		r.Outcome = Completed
	case resp.StatusCode == http.StatusOK:
		r.Outcome = Mismatched
		r.Detail = fmt.Sprintf("response body %q instead of %q", body, want)
	case resp.Header.Get(dispatch.HeaderOutcome) == string(dispatch.OutcomeNotRun):
		r.Outcome = NotRun
		r.Detail = string(body)
	default:
		r.Detail = string(body)
	}
}
