package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	"github.com/rs/zerolog"

	"apricotrouter/fleet"
	"apricotrouter/platform/platformtest"
	"apricotrouter/standin/pool"
)

// Result of a run.
type Result struct {
	Jobs, Accepted, Runs int
	Faults               map[string]int
	Findings             []string // broken promises; empty if all were kept
}

type run struct {
	world
	proxies   *toxiproxy.ApiServer
	processes []*process
	// diskMu is held while one control instance is down, so that a majority
	// is always there.
	diskMu sync.Mutex
	faults map[string]int
}

// Run plays one seed and returns what it found. The error says why it could
// not be played.
func Run(o Options) (Result, error) {
	// Data of an earlier run of the seed name other addresses.
	if err := errors.Join(os.RemoveAll(o.Dir), os.MkdirAll(o.Dir, 0o755)); err != nil {
		return Result{}, err
	}
	if o.Output == nil {
		o.Output = io.Discard
	}
	n, err := newNetwork(&o)
	if err != nil {
		return Result{}, err
	}
	r := &run{
		world: world{
			opts: &o, net: n, jobs: make(map[string]*job),
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		},
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), faults: make(map[string]int),
	}
	defer r.close()
	if err := r.startAll(); err != nil {
		return Result{}, err
	}
	r.play()
	r.check()
	return r.result(), nil
}

func (r *run) startAll() error {
	for i := range r.opts.Controls + r.opts.Entries {
		role, ip := "control", r.net.controlIP(i)
		if i >= r.opts.Controls {
			role, ip = "entry", r.net.entryIP(i-r.opts.Controls)
		}
		p, err := newProcess(r.opts, r.net, role, ip, true)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for i := range r.opts.Workers {
		w := &worker{id: fmt.Sprintf("w%d-%02d", r.opts.Seed, i)} // a port may serve another run later
		if err := w.begin(r.opts.Seed, r.proxies); err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	return nil
}

func (r *run) close() {
	for _, p := range r.processes {
		p.stop(syscall.SIGKILL)
	}
	for _, w := range r.workers {
		if l := w.current(); l.ended.IsZero() {
			w.end()
		}
	}
	_ = r.net.lock.Close() // it was open until here
}

// source returns a source of random numbers of its own for one actor, so that
// the actors' timing doesn't change what each of them does.
func (r *run) source(actor uint64) *rand.Rand { return rand.New(rand.NewPCG(r.opts.Seed, actor)) }

// play runs clients, workers and faults for the duration of the run.
func (r *run) play() {
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, w := range r.workers {
		wg.Go(func() { r.beat(background, r.source(uint64(1000+i)), w) })
	}
	formed, cancel := context.WithTimeout(context.Background(), settleTime)
	r.configure(formed, r.source(1), 1)
	cancel()
	if r.acked == 0 {
		r.found("the first configuration was not acknowledged in %s", settleTime)
	}
	busy, cancel := context.WithTimeout(background, r.opts.Duration)
	defer cancel()
	var actors sync.WaitGroup
	for i := range 3 {
		actors.Go(func() { r.submit(busy, r.source(uint64(10+i))) })
	}
	actors.Go(func() { r.operate(busy, r.source(20)) })
	for i := range 2 {
		actors.Go(func() { r.disturb(busy, r.source(uint64(30+i))) })
	}
	actors.Wait()
	r.settle()
	stop()
	wg.Wait()
}

// operate changes the configuration and reads it back.
func (r *run) operate(ctx context.Context, rng *rand.Rand) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		r.configure(ctx, rng, version)
		r.readConfig(rng)
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	}
}

// disturb injects one fault after the other until ctx ends. Two of these run
// side by side, so that faults overlap.
func (r *run) disturb(ctx context.Context, rng *rand.Rand) {
	kinds := r.kinds()
	for ctx.Err() == nil {
		f := kinds[rng.IntN(len(kinds))]
		d := time.Duration(rng.Int64N(int64(faultMax)))
		r.mu.Lock()
		r.faults[f.name]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.opts.Output, "%s %s for %s\n", time.Now().Format("15:04:05.000"), f.name, d)
		if err := f.apply(rng, d); err != nil {
			r.found("fault %s can't be injected: %v", f.name, err)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(restMax))))
	}
}

func (r *run) kinds() []fault {
	return []fault{
		{"kill control", r.stopControl(syscall.SIGKILL, false)},
		{"terminate control", r.stopControl(syscall.SIGTERM, false)},
		{"empty disk", r.stopControl(syscall.SIGKILL, true)},
		{"pause control", r.pauseControl},
		{"kill entry", r.stopEntry(syscall.SIGKILL)},
		{"terminate entry", r.stopEntry(syscall.SIGTERM)},
		{"worker starts again", r.restartWorker},
		{"worker silent", r.toxic("timeout", `{"timeout":0}`)},
		{"worker slow to answer", r.toxic("latency", `{"latency":700,"jitter":500}`)},
		{"worker resets connections", r.toxic("reset_peer", `{"timeout":50}`)},
		{"starts without answers", r.loseStarts},
	}
}

func (r *run) stopControl(s syscall.Signal, wipe bool) func(*rand.Rand, time.Duration) error {
	return func(rng *rand.Rand, d time.Duration) error {
		p := r.processes[rng.IntN(r.opts.Controls)]
		r.diskMu.Lock()
		defer r.diskMu.Unlock()
		p.stop(s)
		time.Sleep(d)
		if err := p.configure(r.net, false); err != nil {
			return err
		}
		if wipe {
			if err := os.RemoveAll(p.data); err != nil {
				return err
			}
		}
		err := p.start()
		time.Sleep(faultMax) // to catch up before the next one is stopped
		return err
	}
}

func (r *run) pauseControl(rng *rand.Rand, d time.Duration) error {
	p := r.processes[rng.IntN(r.opts.Controls)]
	r.diskMu.Lock()
	defer r.diskMu.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	return nil
}

func (r *run) stopEntry(s syscall.Signal) func(*rand.Rand, time.Duration) error {
	return func(rng *rand.Rand, d time.Duration) error {
		p := r.processes[r.opts.Controls+rng.IntN(r.opts.Entries)]
		p.stop(s)
		time.Sleep(d / 2)
		return p.start()
	}
}

func (r *run) restartWorker(rng *rand.Rand, d time.Duration) error {
	w := r.workers[rng.IntN(len(r.workers))]
	w.mu.Lock()
	up := w.lives[len(w.lives)-1].ended.IsZero()
	w.mu.Unlock()
	if !up {
		return nil
	}
	w.end()
	time.Sleep(d / 2)
	return w.begin(r.opts.Seed, r.proxies)
}

// toxic disturbs the connections of one worker by its proxy.
func (r *run) toxic(kind, attributes string) func(*rand.Rand, time.Duration) error {
	return func(rng *rand.Rand, d time.Duration) error {
		l := r.workers[rng.IntN(len(r.workers))].current()
		name := fmt.Sprintf("%s-%d", kind, time.Now().UnixNano())
		body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":"downstream","toxicity":1,"attributes":%s}`, name, kind, attributes)
		if _, err := l.proxy.Toxics.AddToxicJson(strings.NewReader(body)); err != nil {
			return err
		}
		time.Sleep(d)
		return l.proxy.Toxics.RemoveToxic(context.Background(), name)
	}
}

func (r *run) loseStarts(rng *rand.Rand, _ time.Duration) error {
	l := r.workers[rng.IntN(len(r.workers))].current()
	l.worker.DropStartResponses(1 + rng.IntN(3))
	return nil
}

// settle waits until every job has ended.
func (r *run) settle() {
	rng := r.source(40)
	end := time.Now().Add(settleTime)
	for time.Now().Before(end) {
		if r.refresh(rng) == 0 && r.readConfig(rng) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !r.readConfig(rng) {
		r.found("the configuration can't be read %s after the faults", settleTime)
	}
}

// refresh reads the state of all jobs and returns how many have not ended.
func (r *run) refresh(rng *rand.Rand) int {
	open := 0
	for _, j := range r.jobs {
		if !j.accepted || j.phase != "" {
			continue
		}
		status, body := r.call(r.anyEntry(rng), platformtest.Read(j.path()))
		switch {
		case status == http.StatusGone:
			r.found("job %s was accepted and is gone", j.id)
			j.phase = "gone"
		case status == http.StatusOK && strings.Contains(body, "completed"):
			j.phase = "completed"
		case status == http.StatusOK && strings.Contains(body, "cancelled"):
			j.phase = "cancelled"
		case status == http.StatusOK && strings.Contains(body, "failed"):
			j.phase = "failed"
		default:
			open++
		}
	}
	return open
}

// unseenTime is how long an end may stay unseen while its worker can't be
// reached. If the worker then starts again, the task runs again.
const unseenTime = faultMax + holdMax

// record is a run as a worker recorded it.
type record struct {
	pool.Record
	unseen bool // its worker or lease may have ended before anyone heard of its end
}

// check compares what the workers ran with what the clients were told.
func (r *run) check() {
	runs := make(map[fleet.TaskPosition][]record)
	for _, w := range r.workers {
		for _, l := range w.lives {
			for _, rec := range l.worker.Records() {
				one := record{Record: rec}
				if rec.Ended.IsZero() || !l.ended.IsZero() && rec.Ended.After(l.ended) {
					one.Ended, one.Kind = l.ended, 0 // it ended with its worker
				}
				one.unseen = rec.LeaseExpired || !l.ended.IsZero() && l.ended.Sub(one.Ended) < unseenTime
				runs[rec.Position] = append(runs[rec.Position], one)
			}
		}
	}
	for position, all := range runs {
		r.checkTask(position, all)
	}
	for _, j := range r.jobs {
		r.checkJob(j, runs)
	}
	for _, p := range r.processes {
		if !p.alive() {
			r.found("%s ended by itself", p.name)
		}
	}
}

func (r *run) checkTask(position fleet.TaskPosition, all []record) {
	if r.jobs[position.Workflow] == nil {
		r.found("task %v was never asked for", position)
	}
	done := 0
	for i, a := range all {
		if a.Kind == fleet.EndDone && !a.unseen {
			done++
		}
		for _, b := range all[:i] {
			if overlap(a, b) {
				r.found("task %v ran twice at the same time: %+v and %+v", position, a, b)
			}
		}
	}
	if done > 1 {
		r.found("task %v was done %d times: %+v", position, done, all)
	}
}

func overlap(a, b record) bool {
	before := func(x, y record) bool { return !x.Ended.IsZero() && !x.Ended.After(y.Started) }
	return !before(a, b) && !before(b, a)
}

func (r *run) checkJob(j *job, runs map[fleet.TaskPosition][]record) {
	switch {
	case !j.accepted:
	case j.phase == "":
		r.found("job %s has not ended %s after the faults", j.id, settleTime)
	case j.phase == "failed":
		r.found("job %s failed within its attempts", j.id)
	case j.cancelled && j.phase != "cancelled" && j.phase != "completed":
		r.found("job %s was cancelled and is %s", j.id, j.phase)
	case j.phase == "completed":
		r.checkOrder(j, runs)
	}
}

// checkOrder checks that every task of a completed job was done, and that no
// step began before the one that it depends on was done.
func (r *run) checkOrder(j *job, runs map[fleet.TaskPosition][]record) {
	var doneBefore time.Time
	for step, width := range j.steps {
		var last time.Time
		for index := range width {
			p := fleet.TaskPosition{Workflow: j.id, Step: step, Index: index}
			done := false
			for _, rec := range runs[p] {
				if rec.Started.Before(doneBefore) {
					r.found("task %v started before the step before it was done", p)
				}
				if rec.Kind == fleet.EndDone {
					done, last = true, later(last, rec.Ended)
				}
			}
			if !done {
				r.found("job %s is completed, but task %v was not done: %+v", j.id, p, runs[p])
			}
		}
		doneBefore = last
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (r *run) result() Result {
	res := Result{Jobs: len(r.jobs), Faults: r.faults, Findings: r.findings}
	for _, j := range r.jobs {
		if j.accepted {
			res.Accepted++
		}
	}
	for _, w := range r.workers {
		for _, l := range w.lives {
			res.Runs += len(l.worker.Records())
		}
	}
	return res
}

// Err returns the findings as one error, or nil.
func (r Result) Err() error {
	var all []error
	for _, f := range r.Findings {
		all = append(all, errors.New(f))
	}
	return errors.Join(all...)
}
