//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment, as in the example of DEPLOY.md.
const (
	holdMaxMS     = 6000
	stopGraceMS   = 200
	gangTimeoutMS = 3000
	drainMS       = 2000
	heartbeatMS   = 1100
)

// record is one run of a task on a runner, as the runner has seen it.
type record struct {
	task    string
	run     uint64
	runner  string // id and life
	started time.Time
	ended   time.Time // zero while it runs
	how     string    // crashed if its life ended
	noted   time.Time // when lastSeen reached the end
	lapsed  bool      // the lease lapsed between the end and noted
}

// fleet is all runners, with the record of everything that ran.
type fleet struct {
	mu      sync.Mutex
	jobs    map[string]*job
	records []*record
	gangs   map[string]*gangRun
	bad     []string
	rng     *rand.Rand
	runners []*runner
	lateP   float64 // share of orders that get no answer and are carried out late
	held    []*heldStart
	holdP   float64 // share of starts that get no answer and wait in the machine
	log     func(format string, args ...any)
}

type gangRun struct {
	members map[string]*activeRun
	working bool
}

func (f *fleet) violation(format string, args ...any) {
	f.bad = append(f.bad, fmt.Sprintf(format, args...))
	f.log("VIOLATION "+format, args...)
}

// heldStart is a start that has arrived and is carried out later.
type heldStart struct {
	o    *order
	life *life // that got it
	at   time.Time
	gone bool // was carried out
}

// runner is a machine with one life after the other.
type runner struct {
	fleet    *fleet
	name     string
	zone     string
	rack     string
	cpu, mem int64
	beatTo   func() []string // control addresses

	life *life
	n    int
	// started is called when a life listens, before its first check-in.
	started func(*life)
}

type activeRun struct {
	rec   *record
	life  *life
	step  *stepSpec
	timer *time.Timer
	stops bool
}

type endRow struct {
	n   uint64
	rec *record
}

// life is one lifetime of a runner. Its fields are protected by fleet.mu.
type life struct {
	r        *runner
	id       string
	addr     string
	born     int64
	begun    time.Time
	dead     bool
	cutIn    bool // orders are lost
	cutOut   bool // answers and check-ins are lost
	draining bool
	drainEnd time.Time
	seq      int
	fence    uint64
	until    int64 // lease, on the clock of the life
	lease    *time.Timer
	running  map[string]*activeRun // by task and run
	highest  map[string]uint64
	ended    []endRow
	endN     uint64
	changed  chan struct{}
	srv      *http.Server
	cancel   context.CancelFunc
	ctx      context.Context
}

func key(task string, run uint64) string { return fmt.Sprintf("%s#%d", task, run) }

func (l *life) clock() int64 { return int64(float64(time.Since(l.begun).Milliseconds()) * 0.985) }

func (l *life) name() string { return fmt.Sprintf("%s/%d", l.id, l.born) }

// start begins a new life, under the same id and at the same address if it can.
func (r *runner) start(id, addr string) error {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	l := &life{
		r: r, id: id, addr: ln.Addr().String(), born: time.Now().UnixMilli(), begun: time.Now(),
		running: make(map[string]*activeRun), highest: make(map[string]uint64), changed: make(chan struct{}),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	m := http.NewServeMux()
	m.HandleFunc("POST /run-start", l.handle((*life).runStart))
	m.HandleFunc("POST /run-stop", l.handle((*life).runStop))
	m.HandleFunc("POST /pace", l.handle((*life).pace))
	m.HandleFunc("POST /hold", l.handle((*life).hold))
	l.srv = &http.Server{Handler: m}
	r.fleet.mu.Lock()
	r.life = l
	r.n++
	r.fleet.mu.Unlock()
	go func() { _ = l.srv.Serve(ln) }()
	if r.started != nil {
		r.started(l)
	}
	go l.beat()
	return nil
}

// crash ends a life at once. Everything that runs on it ends.
func (l *life) crash(how string) {
	f := l.r.fleet
	f.mu.Lock()
	if l.dead {
		f.mu.Unlock()
		return
	}
	l.dead = true
	for _, a := range l.running {
		a.rec.ended, a.rec.how = time.Now(), how
		a.timer.Stop()
		f.gangEnded(a, "broken")
	}
	l.running = make(map[string]*activeRun)
	f.mu.Unlock()
	l.cancel()
	_ = l.srv.Close()
}

func (l *life) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		f := l.r.fleet
		f.mu.Lock()
		if l.dead {
			f.mu.Unlock()
			return
		}
		l.seq++
		state, remaining := "ready", int64(0)
		if l.draining {
			state, remaining = "draining", max(0, time.Until(l.drainEnd).Milliseconds())
		}
		body := map[string]any{
			"service": service, "address": l.addr, "zone": l.r.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": l.r.cpu, "memMb": l.r.mem, "gpu": 0}, "labels": []string{"a", l.r.rack},
			"clockMs": l.clock(), "seq": l.seq, "born": l.born, "machineId": l.r.name,
		}
		if remaining > 0 {
			body["remainingMs"] = remaining
		}
		f.mu.Unlock()
		data, _ := json.Marshal(body)
		f.mu.Lock()
		cut := l.cutOut
		f.mu.Unlock()
		for _, addr := range l.r.beatTo() {
			if cut {
				break
			}
			req, _ := http.NewRequestWithContext(l.ctx, "PUT", "http://"+addr+"/instances/"+l.id, strings.NewReader(string(data)))
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode/100 == 2 {
					break
				}
			}
			if l.ctx.Err() != nil {
				return
			}
		}
		select {
		case <-time.After(heartbeatMS * time.Millisecond):
		case <-l.ctx.Done():
			return
		}
	}
}

// drain announces that the runner leaves, and ends it after that.
func (l *life) drain() {
	f := l.r.fleet
	f.mu.Lock()
	l.draining, l.drainEnd = true, time.Now().Add((drainMS+1500)*time.Millisecond)
	f.mu.Unlock()
	time.Sleep((drainMS + 1500) * time.Millisecond)
	client := &http.Client{Timeout: time.Second}
	for _, addr := range l.r.beatTo() {
		req, _ := http.NewRequest("DELETE", "http://"+addr+"/instances/"+l.id, nil)
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				break
			}
		}
	}
	l.crash("left")
}

type order struct {
	Task         string `json:"task"`
	RunID        uint64 `json:"runId"`
	TaskSpec     string `json:"taskSpec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	Checkpoint   string `json:"checkpoint"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

type answer struct {
	status int
	body   map[string]any
}

func (l *life) handle(do func(*life, context.Context, *order) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o := new(order)
		if json.NewDecoder(r.Body).Decode(o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != l.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		f := l.r.fleet
		f.mu.Lock()
		if l.cutIn {
			f.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/run-start" && f.rng.Float64() < f.holdP {
			f.held = append(f.held, &heldStart{o: o, life: l, at: time.Now()})
			f.mu.Unlock()
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		late := f.rng.Float64() < f.lateP
		delay := time.Duration(2000+f.rng.IntN(10000)) * time.Millisecond
		f.mu.Unlock()
		if late {
			time.AfterFunc(delay, func() {
				o.WaitMS = 0
				f.mu.Lock()
				now := l.r.life // takes calls that were meant for its former life
				f.mu.Unlock()
				if now.id == l.id && now.addr == l.addr {
					do(now, context.Background(), o)
				}
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		a := do(l, r.Context(), o)
		if a.status == 0 {
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		cut := l.cutOut
		f.mu.Unlock()
		if cut {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(a.body)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(a.status)
		_, _ = w.Write(data)
	}
}

func (l *life) refuse(reason string) answer {
	return answer{http.StatusConflict, map[string]any{"clockMs": l.clock(), "reason": reason}}
}

func (l *life) ok() answer { return answer{http.StatusOK, map[string]any{"clockMs": l.clock()}} }

// begin checks life and fence of an order. fleet.mu must be held.
func (l *life) begin(o *order) (answer, bool) {
	if l.dead {
		return answer{}, false
	}
	if o.FencingToken < l.fence {
		return l.refuse("fence"), false
	}
	l.fence = o.FencingToken
	return answer{}, true
}

func (l *life) extend(until int64) {
	until = min(until, l.clock()+holdMaxMS)
	if until <= l.until {
		return
	}
	l.until = until
	if l.lease != nil {
		l.lease.Stop()
	}
	left := time.Duration(float64(until-l.clock())/0.985) * time.Millisecond
	l.lease = time.AfterFunc(left, func() {
		l.r.fleet.mu.Lock()
		defer l.r.fleet.mu.Unlock()
		if l.dead || l.until != until {
			return
		}
		for _, e := range l.ended {
			if e.rec.noted.IsZero() {
				e.rec.lapsed = true
			}
		}
		for _, a := range l.running {
			l.end(a, "lapsed")
		}
	})
}

func (l *life) runStart(_ context.Context, o *order) answer {
	f := l.r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := l.begin(o); !ok {
		return a
	}
	l.extend(o.UntilMS)
	if l.running[key(o.Task, o.RunID)] != nil {
		return l.ok()
	}
	if o.RunID <= l.highest[o.Task] {
		return l.refuse("old")
	}
	if o.UntilMS <= l.clock() {
		return l.refuse("late")
	}
	j, step, index := f.find(o.Task)
	if j == nil || step == nil || o.TaskSpec != j.taskSpec {
		f.violation("UNASKED %s run %d on %s: nobody sent it, or with another text", o.Task, o.RunID, l.name())
		return answer{http.StatusBadRequest, map[string]any{"clockMs": l.clock()}}
	}
	var cpu, mem int64
	for _, a := range l.running {
		mem += a.step.MemMB
		if !a.step.Fills {
			cpu += a.step.CPU
		}
	}
	if !step.Fills && cpu+step.CPU > l.r.cpu || mem+step.MemMB > l.r.mem {
		return l.refuse("room")
	}
	a := &activeRun{life: l, step: step, rec: &record{task: o.Task, run: o.RunID, runner: l.name(), started: time.Now()}}
	f.records = append(f.records, a.rec)
	l.running[key(o.Task, o.RunID)] = a
	work := time.Duration(j.work(o.Task, o.RunID)) * time.Millisecond
	if step.Gang {
		k := key(o.Task[:strings.LastIndex(o.Task, ".")], o.RunID)
		g := f.gangs[k]
		if g == nil {
			g = &gangRun{members: make(map[string]*activeRun)}
			f.gangs[k] = g
		}
		g.members[o.Task] = a
		a.timer = time.AfterFunc(gangTimeoutMS*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if !g.working {
				l.end(a, "alone")
			}
		})
		if len(g.members) == step.Count {
			g.working = true
			how := "done"
			if j.fails(o.Task, o.RunID) {
				how = "failed"
			}
			for _, m := range g.members {
				m.timer.Stop()
				m.timer = time.AfterFunc(time.Hour, func() {})
			}
			time.AfterFunc(work, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.gangs[k] != g {
					return
				}
				if how == "failed" {
					a.life.end(a, "failed")
					return
				}
				delete(f.gangs, k)
				for _, m := range g.members {
					m.life.end(m, "done")
				}
			})
		}
		return l.ok()
	}
	if step.LongRunning {
		work = time.Hour
		if j.fails(o.Task, o.RunID) {
			work = time.Duration(j.work(o.Task, o.RunID)*4) * time.Millisecond
		}
	}
	_ = index
	a.timer = time.AfterFunc(work, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		how := "done"
		if j.fails(o.Task, o.RunID) {
			how = "failed"
		}
		l.end(a, how)
	})
	return l.ok()
}

// end lists the end of a run. fleet.mu must be held.
func (l *life) end(a *activeRun, how string) {
	k := key(a.rec.task, a.rec.run)
	if l.dead || l.running[k] != a {
		return
	}
	delete(l.running, k)
	a.timer.Stop()
	l.endN++
	a.rec.ended, a.rec.how = time.Now(), how
	l.highest[a.rec.task] = max(l.highest[a.rec.task], a.rec.run)
	l.ended = append(l.ended, endRow{l.endN, a.rec})
	close(l.changed)
	l.changed = make(chan struct{})
	if how != "done" {
		l.r.fleet.gangEnded(a, "broken")
	}
}

// gangEnded ends the other members of a gang.
func (f *fleet) gangEnded(a *activeRun, how string) {
	if !a.step.Gang {
		return
	}
	k := key(a.rec.task[:strings.LastIndex(a.rec.task, ".")], a.rec.run)
	g := f.gangs[k]
	if g == nil {
		return
	}
	if !g.working { // the others wait for it
		delete(g.members, a.rec.task)
		return
	}
	delete(f.gangs, k)
	for _, m := range g.members {
		if m != a {
			m.life.end(m, how)
		}
	}
}

func (l *life) runStop(_ context.Context, o *order) answer {
	f := l.r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := l.begin(o); !ok {
		return a
	}
	l.highest[o.Task] = max(l.highest[o.Task], o.RunID)
	if a := l.running[key(o.Task, o.RunID)]; a != nil && !a.stops {
		a.stops = true
		time.AfterFunc(time.Duration(f.rng.IntN(stopGraceMS))*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			l.end(a, "stopped")
		})
	}
	return l.ok()
}

func (l *life) pace(_ context.Context, o *order) answer {
	l.r.fleet.mu.Lock()
	defer l.r.fleet.mu.Unlock()
	if a, ok := l.begin(o); !ok {
		return a
	}
	return l.ok()
}

func (l *life) hold(ctx context.Context, o *order) answer {
	f := l.r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if a, ok := l.begin(o); !ok {
		return a
	}
	if o.UntilMS > 0 {
		l.extend(o.UntilMS)
	}
	for len(l.ended) > 0 && l.ended[0].n <= o.LastSeen {
		l.ended[0].rec.noted = time.Now()
		l.ended = l.ended[1:]
	}
	if len(l.ended) == 0 && o.WaitMS > 0 {
		changed := l.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		case <-ctx.Done():
		case <-l.ctx.Done():
		}
		f.mu.Lock()
	}
	if l.dead {
		return answer{}
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range l.running {
		progress := 100
		if !a.step.LongRunning {
			progress = 50
		}
		measure := a.step.CPU
		if a.step.TargetMS > 0 {
			measure = 1
		}
		running = append(running, []any{a.rec.task, a.rec.run, "", progress, measure})
	}
	for _, e := range l.ended[:min(len(l.ended), 500)] {
		ended = append(ended, []any{e.n, e.rec.task, e.rec.run, e.rec.how, ""})
	}
	return answer{http.StatusOK, map[string]any{"clockMs": l.clock(), "born": l.born, "running": running, "ended": ended}}
}
