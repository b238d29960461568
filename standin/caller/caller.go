// Package caller is an in-process stand-in for callers. It sends requests at a
// fixed rate whether or not earlier ones were answered, records what became of
// each, and compares that with what the endpoints ran.
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

// Outcome is what a caller knows of a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "answered" // the complete answer to this request
	Wrong    Outcome = "wrong"    // presented as success, but not the answer to this request
	NotRun   Outcome = "not-run"  // refused; it certainly did not run
	Unknown  Outcome = "unknown"  // refused, or the connection broke; it may have run
)

// Options describe a load.
type Options struct {
	// Targets are host:port; each request goes to the next one.
	Targets []string
	Path    string
	Rate    float64 // requests per second
	// NonIdempotent is the share of requests that may run at most once.
	NonIdempotent float64
	Timeout       time.Duration // deadline of each request; default 5 s
	Seed          uint64
	Prefix        string // of request ids; must differ between loads
}

// Result is what became of one request.
type Result struct {
	ID         string
	Target     string
	Idempotent bool
	Due        time.Time // when it should have been sent
	Done       time.Time
	Outcome    Outcome
	Status     int // 0 without an answer
	Detail     string
}

// Latency returns the time from when the request was due to its whole answer.
// A request that waits to be sent therefore counts the wait.
func (r Result) Latency() time.Duration { return r.Done.Sub(r.Due) }

// Load is a running load.
type Load struct {
	o      Options
	client *http.Client
	random *rand.Rand
	stop   context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []Result
}

// maxIdle bounds the idle connections per target, so that a load reuses them.
const maxIdle = 512

// NewClient returns an HTTP client that keeps many connections per target.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdle,
		DisableCompression:  true,
	}}
}

// Start begins a load. Stop ends it.
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

// Stop sends no more requests, waits for those in flight, and returns what
// became of all.
func (l *Load) Stop() []Result {
	l.stop()
	l.wg.Wait()
	l.client.CloseIdleConnections()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.results
}

// Count returns the number of requests that have ended with the outcome.
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

// sleepUntil returns false if ctx ends first.
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

// answerSlack is how long a caller waits beyond its deadline for the refusal.
const answerSlack = 2 * time.Second

// Send sends one request and waits for its outcome. A request that is not
// idempotent is a POST.
func Send(client *http.Client, target, path, id string, idempotent bool, timeout time.Duration) Result {
	due := time.Now()
	r := send(client, request{id, target, path, idempotent, timeout})
	r.Due = due
	return r
}

func send(client *http.Client, q request) Result {
	r := Result{ID: q.id, Target: q.target, Idempotent: q.idempotent, Outcome: Unknown}
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout+answerSlack)
	defer cancel()
	resp, body, err := exchange(ctx, client, q)
	r.Done = time.Now()
	if err != nil {
		r.Detail = err.Error()
		return r
	}
	r.Status = resp.StatusCode
	r.judge(resp, body, expected(q))
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

// expected returns the answer of the stand-in endpoint.
func expected(q request) []byte {
	return append([]byte(q.id+"\n"), payload(q)...)
}

func (r *Result) judge(resp *http.Response, body, want []byte) {
	switch {
	case resp.StatusCode == http.StatusOK && bytes.Equal(body, want):
		r.Outcome = Answered
	case resp.StatusCode == http.StatusOK:
		r.Outcome = Wrong
		r.Detail = fmt.Sprintf("answer %q instead of %q", body, want)
	case resp.Header.Get(dispatch.HeaderOutcome) == string(dispatch.OutcomeNotRun):
		r.Outcome = NotRun
		r.Detail = string(body)
	default:
		r.Detail = string(body)
	}
}
