//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"apricotrouter/fleet"
	"apricotrouter/platform/platformtest"
	"apricotrouter/standin/pool"
	"apricotrouter/state"
)

const (
	queueHost = "jobs.example"
	prefix    = "/jobs/"
	service   = "pool"
)

// record is the log of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	_, _ = r.file.WriteString(line)
	if strings.Contains(line, "BROKEN") || strings.Contains(line, "HELD") {
		fmt.Print(line)
	}
}

// at returns a time as seconds since the start of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// world is a cluster with stand-ins for workers, clients and the operator.
type world struct {
	*cluster
	record  *record
	http    *http.Client
	workers []*worker
	jobs    []string
	jobsMu  sync.Mutex
	runTime atomic.Int64 // of each run, in nanoseconds
	// crashAfter is the time after which each run crashes its runner, in
	// nanoseconds; 0 if none does. The runner is back after downtime.
	crashAfter atomic.Int64
}

// worker is one runner, with all its lives at one address.
type worker struct {
	id, zone, address string

	mu    sync.Mutex
	lives []*life
}

// life is the time from a start of a runner to its crash.
type life struct {
	born    int64
	pool    *pool.Worker
	server  *http.Server
	seq     atomic.Uint64
	started time.Time
	crashed time.Time // zero while it is up

	mu    sync.Mutex
	holds []hold
}

// hold is a call of /hold that has been carried out.
type hold struct {
	at       time.Time
	lastSeen uint64
}

func (w *world) call(address string, c platformtest.Call, timeout time.Duration) (int, string) {
	req, err := c.Request(address, queueHost, 3*time.Second)
	if err != nil {
		return 0, err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := w.http.Do(req.WithContext(ctx))
	if err != nil {
		return 0, "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "no whole answer"
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// order sends an order of the operator until it is acknowledged, to one control
// daemon after the other. An attempt without an answer ends after a second.
func (w *world) order(ctx context.Context, c platformtest.Call) bool {
	begin := time.Now()
	for ctx.Err() == nil && time.Since(begin) < ackTime {
		i := rand.IntN(controls)
		w.record.printf("operator sends %s %s to %s", c.Method, c.Path, w.daemons[i].name)
		status, body := w.call(w.controlAddress(i), c, time.Second)
		w.record.printf("operator gets %d %s from %s", status, body, w.daemons[i].name)
		if status >= 200 && status < 300 {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// configure sends the first manifest until it is accepted.
func (w *world) configure(ctx context.Context) bool {
	c := platformtest.SetQueues(state.QueueConfig{
		Version: 1, Pools: []state.Pool{{Name: service, EnforcesCapacity: true}},
		Queues: []state.WorkflowQueue{{
			Name: "queue", Host: queueHost, PathPrefix: prefix, Pool: service, TimeoutMillis: 3000,
			ObjectiveMillis: 300, MaxAttempts: 3, MaxSlowdown: 2,
		}},
	})
	for range 8 {
		if w.order(ctx, c) {
			return true
		}
	}
	return false
}

// startWorker starts a runner that checks in until ctx ends.
func (w *world) startWorker(ctx context.Context, id, zone string) error {
	k := &worker{id: id, zone: zone, address: w.prefix + ".200:0"}
	if err := w.startLife(ctx, k, 0); err != nil {
		return err
	}
	w.workers = append(w.workers, k)
	return nil
}

// startLife starts a runner at its address. Its first check-in comes after the
// delay.
func (w *world) startLife(ctx context.Context, k *worker, firstCheckIn time.Duration) error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.address = l.Addr().String()
	f := &life{born: time.Now().UnixMilli(), started: time.Now()}
	f.pool = pool.New(pool.Options{
		ID: k.id, StartedAt: f.born, MaxLease: maxLease,
		RunTime:      func(fleet.TaskPosition, uint64) time.Duration { return time.Duration(w.runTime.Load()) },
		CrashesAfter: func(fleet.TaskPosition, uint64) time.Duration { return time.Duration(w.crashAfter.Load()) },
		OnCrash: func() {
			if !f.up() {
				return // the script crashed it
			}
			f.end()
			if sleep(ctx, crashDowntime) {
				if err := w.startLife(ctx, k, 0); err != nil {
					w.record.printf("%s can't start again: %v", k.id, err)
				}
			}
		},
	})
	f.server = &http.Server{Handler: f.noteHolds(platformtest.NewHandler(k.id, f.pool))}
	go func() { _ = f.server.Serve(l) }()
	k.mu.Lock()
	k.lives = append(k.lives, f)
	k.mu.Unlock()
	go func() {
		for sleep(ctx, firstCheckIn) && f.up() {
			firstCheckIn = heartbeat
			w.checkIn(k, f)
		}
	}()
	return nil
}

// noteHolds records the calls of /hold.
func (f *life) noteHolds(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		var c struct {
			LastSeen uint64 `json:"lastSeen"`
		}
		if r.URL.Path == "/hold" && json.Unmarshal(body, &c) == nil {
			f.mu.Lock()
			f.holds = append(f.holds, hold{time.Now(), c.LastSeen})
			f.mu.Unlock()
		}
		next.ServeHTTP(rw, r)
	})
}

func (f *life) up() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed.IsZero()
}

func (k *worker) current() *life {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lives[len(k.lives)-1]
}

// crash ends the current life of a runner with all its channels and runs.
func (k *worker) crash() {
	f := k.current()
	f.end()
	f.pool.Crash()
}

// end closes the runner's channels.
func (f *life) end() {
	f.mu.Lock()
	f.crashed = time.Now()
	f.mu.Unlock()
	_ = f.server.Close()
}

// checkIn sends one check-in, to the next daemon if there is no ack within a
// second.
func (w *world) checkIn(k *worker, f *life) {
	c := platformtest.Heartbeat(state.PoolWorker{
		ID: k.id, StartedAt: f.born, Pool: service, Address: k.address, Zone: k.zone, Labels: []string{"a", "r1"},
		Capacity: state.Resources{MilliCPU: 64000, MemoryMiB: 256000},
	}, f.seq.Add(1), f.pool.Clock())
	c.Body = withFields(c.Body, map[string]any{"version": "v1", "slots": 8, "coldRemainingMs": 0})
	first := rand.IntN(controls)
	for i := range 3 {
		if status, _ := w.call(w.controlAddress((first+i)%controls), c, time.Second); status >= 200 && status < 300 {
			return
		}
	}
}

// withFields sets fields of a JSON object; a nil value removes the field.
func withFields(body string, fields map[string]any) string {
	var all map[string]any
	d := json.NewDecoder(strings.NewReader(body))
	d.UseNumber()
	if err := d.Decode(&all); err != nil {
		panic(err)
	}
	for k, v := range fields {
		if v == nil {
			delete(all, k)
		} else {
			all[k] = v
		}
	}
	data, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// submit hands a submission of one step of equal tasks in.
func (w *world) submit(tasks int, milliCPU int64) bool {
	return w.submitStep(map[string]any{
		"count": tasks, "cpu": milliCPU, "memMb": 1000, "estRuntimeMs": time.Duration(w.runTime.Load()).Milliseconds(),
	})
}

// submitStep hands a submission of one step in, with up to four retries.
func (w *world) submitStep(step map[string]any) bool {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body, err := json.Marshal(map[string]any{"taskSpec": "p", "steps": []any{step}})
	if err != nil {
		panic(err) // maps of plain values can always be encoded
	}
	c := platformtest.Call{Method: http.MethodPost, Path: prefix + id, Body: string(body)}
	for range 5 {
		status, _ := w.call(w.entryAddress(rand.IntN(entries)), c, 3*time.Second)
		w.record.printf("client hands in %s with %v tasks: %d", id, step["count"], status)
		if status == http.StatusOK {
			w.jobsMu.Lock()
			w.jobs = append(w.jobs, id)
			w.jobsMu.Unlock()
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// run is a run on a runner that the stand-in has seen.
type run struct {
	pool.Record
	zone   string
	number uint64 // of its end within the life of its runner; 0 while it runs
	life   *life
}

func (r run) name() string {
	p := r.Position
	return fmt.Sprintf("%s.%d.%d.%d", p.Workflow, p.Occurrence, p.Step, p.Index)
}

// notedAt returns when the end of a run was taken note of, which is when
// lastSeen reached its number.
func (r run) notedAt() (time.Time, bool) {
	r.life.mu.Lock()
	defer r.life.mu.Unlock()
	for _, h := range r.life.holds {
		if r.number > 0 && h.at.After(r.Ended) && h.lastSeen >= r.number {
			return h.at, true
		}
	}
	return time.Time{}, false
}

// runs returns all runs by task. The numbers of the ends follow from the order
// of the ends in each life.
func (w *world) runs() map[fleet.TaskPosition][]run {
	all := make(map[fleet.TaskPosition][]run)
	for _, k := range w.workers {
		for _, f := range k.lives {
			records := f.pool.Records()
			slices.SortStableFunc(records, func(a, b pool.Record) int { return a.Ended.Compare(b.Ended) })
			number := uint64(0)
			for _, r := range records {
				seen := run{Record: r, zone: k.zone, life: f}
				if !r.Ended.IsZero() && !r.Crashed {
					number++
					seen.number = number
				}
				all[r.Position] = append(all[r.Position], seen)
			}
		}
	}
	return all
}

func (w *world) writeRuns() {
	for _, all := range w.runs() {
		for _, r := range all {
			end := "runs"
			if !r.Ended.IsZero() {
				end = fmt.Sprintf("%.3f s %s", w.record.at(r.Ended), r.Kind)
				if at, ok := r.notedAt(); ok {
					end += fmt.Sprintf(", end %d taken note of at %.3f s", r.number, w.record.at(at))
				}
			}
			w.record.printf("run %d of %s on %s, born %d: %.3f s to %s", r.Number, r.name(), r.Worker, r.life.born, w.record.at(r.Started), end)
		}
	}
}

// count returns the number of runs that have started.
func (w *world) count() int {
	n := 0
	for _, all := range w.runs() {
		n += len(all)
	}
	return n
}
