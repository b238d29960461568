//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// runner is one lifetime of a runner that keeps the rules of PROTOCOL.md:
// fencing tokens, leases, run numbers and capacity.
type runner struct {
	id, address, zone string
	labels            []string
	cpu, memMB        int64
	born              time.Time
	rec               *record

	mu       sync.Mutex
	fence    uint64
	until    time.Time
	running  map[string]*run
	ended    []end
	lastEnd  uint64
	finished map[string]uint64 // highest run that ended or was stopped, by task
	changed  chan struct{}
	seq      int
	server   *http.Server
}

type run struct {
	task    string
	id      uint64
	size    size
	started time.Time
	step    step
	percent int           // as set by /pace
	worked  time.Duration // at full speed
	// loads are the latest utilisations of a task that serves, over the last
	// half second.
	loads []float64
}

type size struct{ cpu, memMB int64 }

type end struct {
	n    uint64
	task string
	run  uint64
	how  string
}

const (
	maxLease  = 6 * time.Second
	runnerCPU = 64_000 // thousandths of a core
	runnerMem = 256_000
)

func newRunner(rec *record, id, ip string, labels []string, cpu int64) (*runner, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		id: id, address: l.Addr().String(), zone: "zone-a", labels: labels, cpu: cpu, memMB: runnerMem, born: time.Now(), rec: rec,
		running: make(map[string]*run), finished: make(map[string]uint64), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /hold", r.handle(r.hold))
	mux.HandleFunc("POST /pace", r.handle(r.pace))
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	return r, nil
}

type call struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	TaskSpec     string `json:"taskSpec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	Percent      int    `json:"percent"`
	WaitMS       int64  `json:"waitMs"`
}

func (r *runner) handle(f func(c *call) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
			r.rec.line("421 from %s to a call %s for %s", r.id, q.URL.Path, want)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		c := new(call)
		if err := json.NewDecoder(q.Body).Decode(c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		status, body := f(c)
		body["clockMs"] = r.clock()
		data, _ := json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = w.Write(data)
	}
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// admit checks the fencing token and lets runs lapse whose lease has ended.
func (r *runner) admit(c *call) bool {
	now := time.Now()
	if len(r.running) > 0 && now.After(r.until) {
		for task := range r.running {
			r.end(task, "lapsed")
		}
	}
	if c.FencingToken < r.fence {
		return false
	}
	r.fence = c.FencingToken
	return true
}

func (r *runner) extend(untilMS int64) {
	until := r.born.Add(time.Duration(untilMS) * time.Millisecond)
	if longest := time.Now().Add(maxLease); until.After(longest) {
		until = longest
	}
	if until.After(r.until) {
		r.until = until
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (r *runner) start(c *call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(c) {
		return refuse("fence")
	}
	r.extend(c.UntilMS)
	if old := r.running[c.Task]; old != nil && old.id == c.RunID {
		return http.StatusOK, map[string]any{}
	}
	if c.RunID <= r.finished[c.Task] || r.running[c.Task] != nil {
		return refuse("old")
	}
	if c.UntilMS < r.clock() {
		return refuse("late")
	}
	step := r.rec.stepOf(c.Task)
	s := step.size
	if step.fills {
		s.cpu = 0 // not counted against the capacity
	}
	free := size{r.cpu, r.memMB}
	for _, x := range r.running {
		free.cpu, free.memMB = free.cpu-x.size.cpu, free.memMB-x.size.memMB
	}
	if s.cpu > free.cpu || s.memMB > free.memMB {
		return refuse("room")
	}
	x := &run{task: c.Task, id: c.RunID, size: s, started: time.Now(), step: step, percent: 100}
	r.running[c.Task] = x
	r.rec.started(r, x)
	if d := step.runtime; d > 0 && !step.fills {
		time.AfterFunc(d, func() { r.finish(c.Task, c.RunID, "done") })
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) stop(c *call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(c) {
		return refuse("fence")
	}
	r.finished[c.Task] = max(r.finished[c.Task], c.RunID)
	if x := r.running[c.Task]; x != nil && x.id == c.RunID {
		r.end(c.Task, "stopped")
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) pace(c *call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(c) {
		return refuse("fence")
	}
	if x := r.running[c.Task]; x != nil && x.id == c.RunID {
		r.rec.line("pace %s run %d on %s: %d", c.Task, c.RunID, r.id, c.Percent)
		x.percent = c.Percent
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(c *call) (int, map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(c) {
		return refuse("fence")
	}
	if c.UntilMS > 0 {
		r.extend(c.UntilMS)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e end) bool { return e.n <= c.LastSeen })
	if len(r.ended) == 0 && c.WaitMS > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(c.WaitMS) * time.Millisecond):
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range r.running {
		running = append(running, []any{x.task, x.id, "", x.progress(), x.measure()})
	}
	for _, e := range r.ended[:min(len(r.ended), 500)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	return http.StatusOK, map[string]any{"born": r.born.UnixMilli(), "running": running, "ended": ended}
}

// progress returns the percent of a run's work that is done; 100 for a task that
// lasts and is at work.
func (x *run) progress() int {
	switch {
	case x.step.runtime == 0:
		return 100
	case x.step.fills:
		return int(min(100, 100*x.worked/x.step.runtime))
	}
	return int(min(100, 100*time.Since(x.started)/x.step.runtime))
}

// measure returns the tail of a task that serves, in milliseconds, and the cpu
// in use of any other.
func (x *run) measure() int64 {
	if x.step.targetMS == 0 {
		return x.step.size.cpu * int64(x.percent) / 100
	}
	mean := ownLoad
	if len(x.loads) > 0 {
		mean = 0
		for _, u := range x.loads {
			mean += u / float64(len(x.loads))
		}
	}
	return int64(tailFloorMS / (1 - min(mean, 0.98)))
}

const (
	tailFloorMS  = 20.0
	ownLoad      = 0.4 // utilisation of a task that serves by its own users
	workInterval = 50 * time.Millisecond
	loadSamples  = 10 // half a second
)

// work lets the tasks that fill work at their pace and disturb the tasks that
// serve beside them: pressure is the utilisation that they add if they use all
// cores.
func (r *runner) work(pressure float64, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(workInterval):
		}
		r.mu.Lock()
		load := ownLoad
		for task, x := range r.running {
			if !x.step.fills {
				continue
			}
			load += pressure * float64(x.step.size.cpu) / float64(r.cpu) * float64(x.percent) / 100
			x.worked += workInterval * time.Duration(x.percent) / 100
			if x.worked >= x.step.runtime {
				r.end(task, "done")
			}
		}
		for _, x := range r.running {
			if x.step.targetMS > 0 {
				x.loads = append(x.loads, load)
				x.loads = x.loads[max(0, len(x.loads)-loadSamples):]
			}
		}
		r.mu.Unlock()
	}
}

// finish ends a run if it is still there.
func (r *runner) finish(task string, id uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if x := r.running[task]; x != nil && x.id == id {
		r.end(task, how)
	}
}

func (r *runner) end(task, how string) {
	x := r.running[task]
	delete(r.running, task)
	r.finished[task] = max(r.finished[task], x.id)
	r.lastEnd++
	r.ended = append(r.ended, end{r.lastEnd, task, x.id, how})
	close(r.changed)
	r.changed = make(chan struct{})
	r.rec.endedRun(r, x, how)
}

// checkInAt sends a check-in to one daemon and reports whether it was
// acknowledged.
func (r *runner) checkInAt(address, service string) bool {
	r.mu.Lock()
	r.seq++
	body := map[string]any{
		"service": service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": r.cpu, "memMb": r.memMB, "gpu": 0}, "labels": r.labels, "clockMs": r.clock(), "seq": r.seq, "born": r.born.UnixMilli(),
	}
	r.mu.Unlock()
	status, _ := send(http.MethodPut, address, "/instances/"+r.id, "", body, time.Second)
	return status == http.StatusOK
}

// checkIn sends one check-in to the first daemon that acknowledges it.
func (r *runner) checkIn(c *cluster, service string) {
	for _, address := range c.controls() {
		if r.checkInAt(address, service) {
			return
		}
	}
}

// checkIns sends check-ins until stop is closed.
func (r *runner) checkIns(c *cluster, service string, stop <-chan struct{}) {
	for {
		r.checkIn(c, service)
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

const heartbeat = 1500 * time.Millisecond

func (r *runner) String() string { return fmt.Sprintf("%s (%d)", r.id, r.cpu) }

func waitFor(d time.Duration, done func() bool) bool {
	for begin := time.Now(); time.Since(begin) < d; time.Sleep(20 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return done()
}

// running returns the number of tasks of a submission on the runner.
func running(r *runner, id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.running {
		if task[:len(id)] == id {
			n++
		}
	}
	return n
}
