package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"

	"apricotrouter/fleet"
	"apricotrouter/platform/platformtest"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

const (
	holdMax      = 3 * time.Second
	beatInterval = 500 * time.Millisecond
	callTimeout  = 4 * time.Second
	// clientDeadline is how long a client says that it waits; callTimeout adds
	// the way there and back.
	clientDeadline = 3 * time.Second
	queueHost      = "jobs.example"
	poolName       = "pool"
	longestRun     = 400 // milliseconds
	failedPercent  = 3
)

// life is one life of a worker: a stand-in behind a proxy.
type life struct {
	worker *pool.Worker
	server *httptest.Server
	proxy  *toxiproxy.Proxy
	born   int64
	ended  time.Time // zero while it is up
}

// worker is a machine of the pool and its lives.
type worker struct {
	id    string
	mu    sync.Mutex
	lives []*life
	seq   atomic.Uint64
}

func (w *worker) current() *life {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lives[len(w.lives)-1]
}

// begin starts a new life at a new address.
func (w *worker) begin(seed uint64, proxies *toxiproxy.ApiServer) error {
	born := time.Now().UnixMilli()
	sw := pool.New(pool.Options{
		ID: w.id, StartedAt: born, MaxLease: holdMax,
		Work: func(p fleet.TaskPosition, n uint64) time.Duration {
			return time.Duration(20+mix(seed, p, n)%longestRun) * time.Millisecond
		},
		Fails: func(p fleet.TaskPosition, n uint64) bool { return mix(seed+1, p, n)%100 < failedPercent },
	})
	srv := httptest.NewServer(platformtest.NewHandler(w.id, sw))
	proxy := toxiproxy.NewProxy(proxies, fmt.Sprintf("%s-%d", w.id, born), "127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://"))
	if err := proxy.Start(); err != nil {
		srv.Close()
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives = append(w.lives, &life{worker: sw, server: srv, proxy: proxy, born: born})
	return nil
}

// end takes the current life away: nothing of it answers any more.
func (w *worker) end() {
	l := w.current()
	l.worker.SetDown(true)
	w.mu.Lock()
	l.ended = time.Now()
	w.mu.Unlock()
	l.proxy.Stop()
	l.server.CloseClientConnections()
	go l.server.Close()
}

// mix returns a number that depends on the run of a task alone.
func mix(seed uint64, p fleet.TaskPosition, n uint64) uint64 {
	h := seed
	for _, c := range []byte(fmt.Sprint(p, n)) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h >> 16
}

// world is everything outside the programs.
type world struct {
	opts    *Options
	net     network
	http    *http.Client
	workers []*worker

	mu       sync.Mutex
	findings []string
	jobs     map[string]*job
	acked    uint64 // highest version of the configuration that was acknowledged
}

// job is a workflow as its client knows it.
type job struct {
	id        string
	steps     []int // widths
	accepted  bool
	cancelled bool // its cancellation was acknowledged
	cancelAt  time.Time
	phase     string
}

func (j *job) path() string { return "/jobs/" + j.id }

// found notes a broken promise.
func (w *world) found(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

// call returns the status, 0 without an answer, and the body.
func (w *world) call(addr string, c platformtest.Call) (int, string) {
	req, err := c.Request(addr, queueHost, clientDeadline)
	if err != nil {
		return 0, err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := w.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

func (w *world) anyControl(r *rand.Rand) string {
	return fmt.Sprintf("%s:%d", w.net.controlIP(r.IntN(w.opts.Controls)), w.net.control)
}

func (w *world) anyEntry(r *rand.Rand) string {
	return fmt.Sprintf("%s:%d", w.net.entryIP(r.IntN(w.opts.Entries)), w.net.callers)
}

// configure sends a configuration until it is acknowledged or ctx ends.
func (w *world) configure(ctx context.Context, r *rand.Rand, version uint64) {
	call := platformtest.SetQueues(state.QueueConfig{
		Version: version, Pools: []state.Pool{{Name: poolName, EnforcesCapacity: true}},
		Queues: []state.WorkflowQueue{{
			Name: "queue", Host: queueHost, PathPrefix: "/jobs/", Pool: poolName, TimeoutMillis: 3000,
			ObjectiveMillis: 300, MaxAttempts: 8, MaxSlowdown: 2,
		}},
	})
	for ctx.Err() == nil {
		status, text := w.call(w.anyControl(r), call)
		switch {
		case status == http.StatusOK:
			w.mu.Lock()
			w.acked = max(w.acked, version)
			w.mu.Unlock()
			return
		case status >= 400 && status < 500:
			w.found("valid configuration %d was refused: %d %s", version, status, text)
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// readConfig checks that a read is not older than what was acknowledged.
func (w *world) readConfig(r *rand.Rand) bool {
	w.mu.Lock()
	least := w.acked
	w.mu.Unlock()
	status, text := w.call(w.anyControl(r), platformtest.ReadQueues())
	if status != http.StatusOK {
		return false
	}
	if got, err := platformtest.QueuesVersion(text); err != nil || got < least {
		w.found("configuration %d was read after %d was acknowledged (%v)", got, least, err)
	}
	return true
}

// beat reports a worker until ctx ends.
func (w *world) beat(ctx context.Context, r *rand.Rand, one *worker) {
	for ctx.Err() == nil {
		l := one.current()
		one.mu.Lock()
		up := l.ended.IsZero()
		one.mu.Unlock()
		if up {
			w.call(w.anyControl(r), platformtest.Heartbeat(state.PoolWorker{
				ID: one.id, StartedAt: l.born, Pool: poolName, Address: l.proxy.Listen, Zone: "zone-a", Labels: []string{"a", "r1"},
				Capacity: state.Resources{MilliCPU: 4000, MemoryMiB: 4000},
			}, one.seq.Add(1), l.worker.Clock()))
		}
		time.Sleep(beatInterval)
	}
}

// submit hands jobs in until ctx ends. A call without a clear answer is sent
// again, as the platform's clients do.
func (w *world) submit(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", r.Uint64())}
		var steps []state.WorkflowStep
		for i := range 1 + r.IntN(3) {
			step := state.WorkflowStep{
				Count: 1 + r.IntN(5), Size: state.Resources{MilliCPU: 900, MemoryMiB: 500}, EstimateMillis: 200,
			}
			if i > 0 {
				step.DependsOn = []int{i - 1}
			}
			j.steps = append(j.steps, step.Count)
			steps = append(steps, step)
		}
		w.mu.Lock()
		w.jobs[j.id] = j
		w.mu.Unlock()
		call := platformtest.Submit(j.path(), steps)
		for range 5 {
			status, _ := w.call(w.anyEntry(r), call)
			if status == http.StatusOK {
				w.mu.Lock()
				j.accepted = true
				w.mu.Unlock()
				break
			}
		}
		if j.accepted && r.IntN(10) == 0 {
			w.cancel(r, j)
		}
		time.Sleep(time.Duration(50+r.IntN(200)) * time.Millisecond)
	}
}

func (w *world) cancel(r *rand.Rand, j *job) {
	for range 5 {
		if status, _ := w.call(w.anyEntry(r), platformtest.Cancel(j.path())); status == http.StatusOK {
			w.mu.Lock()
			j.cancelled, j.cancelAt = true, time.Now()
			w.mu.Unlock()
			return
		}
	}
}
