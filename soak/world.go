package soak

import (
	"bytes"
	"context"
	"encoding/json"
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
)

const (
	holdMax       = 3 * time.Second
	beatInterval  = 500 * time.Millisecond
	callTimeout   = 4 * time.Second
	longestRun    = 400 // milliseconds
	failedPercent = 3
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
		ID: w.id, Born: born, HoldMax: holdMax,
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

// found notes a broken promise.
func (w *world) found(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

// call returns the status, 0 without an answer, and the body.
func (w *world) call(method, addr, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "jobs.example"
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := w.http.Do(req)
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
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"jobs.example","pathPrefix":"/jobs/","timeoutMs":3000,
"completionTargetMs":300,"service":"s","maxAttempts":8,"stretch":2}],"services":[{"name":"s","rejectsOverload":true}]}`, version)
	for ctx.Err() == nil {
		status, text := w.call(http.MethodPut, w.anyControl(r), "/config", body)
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
	status, text := w.call(http.MethodGet, w.anyControl(r), "/config", "")
	if status != http.StatusOK {
		return false
	}
	var got struct {
		Version uint64 `json:"version"`
	}
	if err := json.Unmarshal([]byte(text), &got); err != nil || got.Version < least {
		w.found("configuration %d was read after %d was acknowledged (%v)", got.Version, least, err)
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
			body := fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","state":"ready","seq":%d,"born":%d,"clockMs":%d,
"capacity":{"cpu":4000,"memMb":4000},"labels":["a","r1"]}`, l.proxy.Listen, one.seq.Add(1), l.born, l.worker.Clock())
			w.call(http.MethodPut, w.anyControl(r), "/instances/"+one.id, body)
		}
		time.Sleep(beatInterval)
	}
}

// submit hands jobs in until ctx ends. A call without a clear answer is sent
// again, as the platform's clients do.
func (w *world) submit(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		j := &job{id: fmt.Sprintf("%016x", r.Uint64())}
		var steps []string
		for i := range 1 + r.IntN(3) {
			width := 1 + r.IntN(5)
			j.steps = append(j.steps, width)
			depends := ""
			if i > 0 {
				depends = fmt.Sprintf(`,"dependsOn":[%d]`, i-1)
			}
			steps = append(steps, fmt.Sprintf(`{"count":%d,"cpu":900,"memMb":500,"estRuntimeMs":200%s}`, width, depends))
		}
		w.mu.Lock()
		w.jobs[j.id] = j
		w.mu.Unlock()
		body := fmt.Sprintf(`{"taskSpec":"p","steps":[%s]}`, strings.Join(steps, ","))
		for range 5 {
			status, _ := w.call(http.MethodPost, w.anyEntry(r), "/jobs/"+j.id, body)
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
		if status, _ := w.call(http.MethodDelete, w.anyEntry(r), "/jobs/"+j.id, ""); status == http.StatusOK {
			w.mu.Lock()
			j.cancelled, j.cancelAt = true, time.Now()
			w.mu.Unlock()
			return
		}
	}
}
