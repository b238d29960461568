package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
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

// Result is the result of a run.
type Result struct {
	Jobs, Accepted, Runs int
	Faults               map[string]int
	Findings             []string // violated guarantees
	// MostRunning is the largest number of tasks that each tenant had running at
	// once.
	MostRunning map[string]int
}

type run struct {
	environment
	proxies   *toxiproxy.ApiServer
	processes []*process
	// outageMu is locked while a control instance is down, so that a quorum is
	// always available.
	outageMu sync.Mutex
	faults   map[string]int
	// disturbances are the faults on control instances and workers; protected by
	// environment.mu.
	disturbances  []span
	droppingSince time.Time      // first fault of dropStartResponses; protected by environment.mu
	restarts      sync.WaitGroup // of crashed workers
	closed        bool           // no further restarts; protected by environment.mu
	// mostRunning is as in Result.
	mostRunning map[string]int
}

// Run runs one seed and returns the violated guarantees in its result. An error
// means that the run could not start.
func Run(o Options) (Result, error) {
	// Data of an earlier run with this seed contains other addresses.
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
		environment: environment{
			opts: &o, addresses: n, jobs: make(map[string]*job),
			http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
		},
		proxies: toxiproxy.NewServer(toxiproxy.NewMetricsContainer(nil), zerolog.Nop()), faults: make(map[string]int),
	}
	defer r.close()
	if err := r.startAll(); err != nil {
		return Result{}, err
	}
	r.runWorkload()
	r.stopRestarts()
	r.checkGuarantees()
	return r.result(), nil
}

func (r *run) startAll() error {
	for i := range r.opts.Controls + r.opts.Entries {
		role, ip := "control", r.addresses.controlIP(i)
		if i >= r.opts.Controls {
			role, ip = "entry", r.addresses.entryIP(i-r.opts.Controls)
		}
		p, err := newProcess(r.opts, r.addresses, role, ip, true)
		if err == nil {
			err = p.start()
		}
		if err != nil {
			return err
		}
		r.processes = append(r.processes, p)
	}
	for i := range r.opts.Workers {
		w := &worker{id: fmt.Sprintf("w%d-%02d", r.opts.Seed, i)} // unique among runs: a later run may use the same port
		if err := r.startWorker(w); err != nil {
			return err
		}
		r.workers = append(r.workers, w)
	}
	return nil
}

// stopRestarts waits for the restarts of crashed workers and prevents more.
func (r *run) stopRestarts() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.restarts.Wait()
}

func (r *run) close() {
	for _, p := range r.processes {
		p.stop(syscall.SIGKILL)
	}
	r.stopRestarts()
	for _, w := range r.workers {
		w.kill()
	}
	_ = r.addresses.reservation.Close() // can't be closed already
}

// randomSource returns a separate random source for each actor, so that the
// actions of an actor don't depend on the timing of the others.
func (r *run) randomSource(actor uint64) *rand.Rand { return rand.New(rand.NewPCG(r.opts.Seed, actor)) }

// runWorkload runs clients, workers and faults for the duration of the run, some
// clients for undisturbedLoad after it, and then waits until all jobs have ended.
func (r *run) runWorkload() {
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, w := range r.workers {
		wg.Go(func() { r.sendHeartbeats(backgroundCtx, r.randomSource(uint64(1000+i)), w) })
	}
	formCtx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	r.applyConfig(formCtx, r.randomSource(1), 1)
	cancel()
	if r.ackedVersion == 0 {
		r.report("the first configuration was not acknowledged in %s", settleTimeout)
	}
	faultsCtx, cancel := context.WithTimeout(backgroundCtx, r.opts.Duration)
	defer cancel()
	workloadCtx, stopWorkload := context.WithCancel(backgroundCtx)
	defer stopWorkload()
	var actors, injectors sync.WaitGroup
	for i := range 3 {
		ctx := faultsCtx
		if i == 0 {
			ctx = workloadCtx // one batch client leaves capacity free
		}
		actors.Go(func() { r.submitJobs(ctx, faultsCtx, r.randomSource(uint64(10+i)), batchSteps) })
	}
	actors.Go(func() { r.submitServingJobs(workloadCtx, r.randomSource(13)) })
	actors.Go(func() { r.submitJobs(workloadCtx, faultsCtx, r.randomSource(14), bestEffortSteps) })
	actors.Go(func() { r.changeConfig(workloadCtx, r.randomSource(20)) })
	for i := range 2 {
		injectors.Go(func() { r.injectFaults(faultsCtx, r.randomSource(uint64(30+i))) })
	}
	injectors.Wait()
	r.stopDroppingResponses()
	r.awaitJobs(func(j *job) bool { return crashes(fleet.TaskPosition{Workflow: j.id}) })
	time.Sleep(undisturbedLoad)
	stopWorkload()
	actors.Wait()
	r.cancelServingJobs(r.randomSource(41))
	r.awaitJobs(func(*job) bool { return true })
	stopBackground()
	wg.Wait()
}

// changeConfig changes the configuration and reads it back until ctx ends.
func (r *run) changeConfig(ctx context.Context, rng *rand.Rand) {
	for version := uint64(2); ctx.Err() == nil; version++ {
		r.applyConfig(ctx, rng, version)
		r.readConfig(rng)
		time.Sleep(time.Duration(300+rng.IntN(1200)) * time.Millisecond)
	}
}

// injectFaults injects one fault after another until ctx ends. Two of these run
// concurrently, so that faults overlap.
func (r *run) injectFaults(ctx context.Context, rng *rand.Rand) {
	kinds := r.faultKinds()
	for ctx.Err() == nil {
		f := kinds[rng.IntN(len(kinds))]
		d := time.Duration(rng.Int64N(int64(maxFaultDuration)))
		r.mu.Lock()
		r.faults[f.name]++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(r.opts.Output, "%s %s for %s\n", time.Now().Format(clockFormat), f.name, d)
		begin := time.Now()
		if err := f.apply(rng, d); err != nil {
			r.report("fault %s can't be injected: %v", f.name, err)
		}
		if !f.entry {
			r.disturbed(begin)
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxFaultPause))))
	}
}

func (r *run) faultKinds() []fault {
	return []fault{
		{"kill control", false, r.stopControl(syscall.SIGKILL, false)},
		{"terminate control", false, r.stopControl(syscall.SIGTERM, false)},
		{"empty disk", false, r.stopControl(syscall.SIGKILL, true)},
		{"pause control", false, r.pauseControl},
		{"kill entry", true, r.stopEntry(syscall.SIGKILL)},
		{"terminate entry", true, r.stopEntry(syscall.SIGTERM)},
		{"pause entry", true, r.pauseEntry},
		{"worker starts again", false, r.restartWorker},
		{"start reaches the next incarnation", false, r.delayStartBeyondRestart},
		{"worker silent", false, r.toxic("timeout", `{"timeout":0}`)},
		{"worker slow to answer", false, r.toxic("latency", `{"latency":700,"jitter":500}`)},
		{"worker resets connections", false, r.toxic("reset_peer", `{"timeout":50}`)},
		{"starts without answers", false, r.dropStartResponses},
	}
}

// disturbed records a fault on a control instance or a worker from begin to now.
func (r *run) disturbed(begin time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, span{begin, time.Now()})
}

func (r *run) stopControl(s syscall.Signal, wipe bool) func(*rand.Rand, time.Duration) error {
	return func(rng *rand.Rand, d time.Duration) error {
		p := r.processes[rng.IntN(r.opts.Controls)]
		r.outageMu.Lock()
		defer r.outageMu.Unlock()
		p.stop(s)
		time.Sleep(d)
		if err := p.writeSettings(r.addresses, false); err != nil {
			return err
		}
		if wipe {
			if err := os.RemoveAll(p.dataDir); err != nil {
				return err
			}
		}
		err := p.start()
		time.Sleep(maxFaultDuration) // lets the instance catch up before the next one is stopped
		return err
	}
}

func (r *run) pauseControl(rng *rand.Rand, d time.Duration) error {
	p := r.processes[rng.IntN(r.opts.Controls)]
	r.outageMu.Lock()
	defer r.outageMu.Unlock()
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

// pauseEntry lets an entry instance stand still. Calls that reach it meanwhile are
// carried out later, if at all.
func (r *run) pauseEntry(rng *rand.Rand, d time.Duration) error {
	p := r.processes[r.opts.Controls+rng.IntN(r.opts.Entries)]
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
	return nil
}

// delayStartBeyondRestart lets a worker leave starts without an answer and restart.
// The next incarnation carries them out before its first heartbeat.
func (r *run) delayStartBeyondRestart(rng *rand.Rand, d time.Duration) error {
	w := r.workers[rng.IntN(len(r.workers))]
	l := w.current()
	l.worker.DelayStarts(1 + rng.IntN(2))
	time.Sleep(d / 2)
	if !w.kill() {
		return nil
	}
	time.Sleep(d / 4)
	if err := r.startWorker(w); err != nil {
		return err
	}
	l.worker.DeliverDelayedStartsTo(w.current().worker)
	return nil
}

func (r *run) restartWorker(rng *rand.Rand, d time.Duration) error {
	w := r.workers[rng.IntN(len(r.workers))]
	if !w.kill() {
		return nil
	}
	time.Sleep(d / 2)
	return r.startWorker(w)
}

// toxic adds a toxic to the proxy of one worker for the duration of the fault.
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

func (r *run) dropStartResponses(rng *rand.Rand, _ time.Duration) error {
	r.mu.Lock()
	if r.droppingSince.IsZero() {
		r.droppingSince = time.Now()
	}
	r.mu.Unlock()
	l := r.workers[rng.IntN(len(r.workers))].current()
	l.worker.DropStartResponses(1 + rng.IntN(3))
	return nil
}

// stopDroppingResponses ends the faults of dropStartResponses. Each would last until
// enough starts arrive, so that all count as one fault until now.
func (r *run) stopDroppingResponses() {
	for _, w := range r.workers {
		w.current().worker.DropStartResponses(0)
	}
	if !r.droppingSince.IsZero() {
		r.disturbed(r.droppingSince)
	}
}

// awaitJobs waits until every selected job that was accepted has ended, all workers
// are up and the configuration can be read, at most settleTimeout.
func (r *run) awaitJobs(selected func(*job) bool) {
	rng := r.randomSource(40)
	deadline := time.Now().Add(settleTimeout)
	for time.Now().Before(deadline) {
		up := !slices.ContainsFunc(r.workers, func(w *worker) bool { return !w.up() })
		if r.refreshJobs(rng, selected) == 0 && up && r.readConfig(rng) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	if !r.readConfig(rng) {
		r.report("the configuration can't be read %s after the faults", settleTimeout)
	}
}

// refreshJobs reads the state of the selected jobs that were accepted and returns how
// many have not ended.
func (r *run) refreshJobs(rng *rand.Rand, selected func(*job) bool) int {
	var open []*job
	r.mu.Lock()
	for _, j := range r.jobs {
		if j.accepted && j.phase == "" && selected(j) {
			open = append(open, j)
		}
	}
	r.mu.Unlock()
	unfinished := 0
	for _, j := range open {
		status, body := r.call(r.randomEntry(rng), platformtest.Read(j.path()).WithKey(j.key))
		switch {
		case status == http.StatusGone:
			r.report("job %s was accepted and is gone", j.id)
			j.phase = "gone"
		case status == http.StatusOK && strings.Contains(body, "completed"):
			j.phase = "completed"
		case status == http.StatusOK && strings.Contains(body, "cancelled"):
			j.phase = "cancelled"
		case status == http.StatusOK && strings.Contains(body, "failed"):
			j.phase = "failed"
		default:
			unfinished++
		}
	}
	return unfinished
}

// clockFormat is the format of times in the output and in findings.
const clockFormat = "15:04:05.000"

// unreportedWindow is how long the end of a run may stay unreported while its
// worker is unreachable. If the worker restarts within this time, the task runs
// again, which is allowed.
const unreportedWindow = maxFaultDuration + maxLease

// record is a run in the record of its worker.
type record struct {
	pool.Record
	maybeUnreported bool // the incarnation or its lease may have ended before the run's end was reported
}

// checkGuarantees compares the runs on the workers with the responses to the
// clients.
func (r *run) checkGuarantees() {
	runs := make(map[fleet.TaskPosition][]record)
	for _, w := range r.workers {
		for _, l := range w.incarnations {
			for _, rec := range l.worker.Records() {
				observed := record{Record: rec}
				if rec.Ended.IsZero() || !l.endedAt.IsZero() && rec.Ended.After(l.endedAt) {
					observed.Ended, observed.Kind = l.endedAt, 0 // the run ended with its worker
				}
				observed.maybeUnreported = rec.LeaseExpired || !l.endedAt.IsZero() && l.endedAt.Sub(observed.Ended) < unreportedWindow
				runs[rec.Position] = append(runs[rec.Position], observed)
			}
		}
	}
	for position, all := range runs {
		r.checkTask(position, all)
	}
	for _, j := range r.jobs {
		r.checkJob(j, runs)
	}
	r.checkTenants(runs)
	r.checkWaits(runs)
	for _, p := range r.processes {
		if !p.alive() {
			r.report("%s ended by itself", p.name)
		}
	}
}

func (r *run) checkTask(position fleet.TaskPosition, all []record) {
	if r.jobs[position.Workflow] == nil {
		r.report("task %v was never asked for", position)
	}
	completed := 0
	for i, a := range all {
		if a.Kind == fleet.EndDone && !a.maybeUnreported {
			completed++
		}
		for _, b := range all[:i] {
			if overlap(a, b) {
				r.report("task %v ran twice at the same time: %+v and %+v", position, a, b)
			}
		}
	}
	if completed > 1 {
		r.report("task %v was done %d times: %+v", position, completed, all)
	}
}

// checkTenants checks that nothing ran without the key of a tenant, and the hard
// bound on what a tenant has running: its cap times 1.1, and one task.
func (r *run) checkTenants(runs map[fleet.TaskPosition][]record) {
	for _, j := range r.jobs {
		if j.key == unknownKey && j.accepted {
			r.report("job %s was accepted without the key of a tenant", j.id)
		}
	}
	records := make(map[string][]record) // by key
	for position, all := range runs {
		if j := r.jobs[position.Workflow]; j != nil {
			records[j.key] = append(records[j.key], all...)
		}
	}
	for _, rec := range records[unknownKey] {
		r.report("task %v ran without the key of a tenant", rec.Position)
	}
	r.mostRunning = make(map[string]int)
	for _, t := range tenants {
		most := mostAtOnce(records[t.Key])
		if bound := t.CapMilliCPU*11/10 + taskMilliCPU; t.CapMilliCPU > 0 && int64(most)*taskMilliCPU > bound {
			r.report("tenant %s had %d tasks running at once, %d mCPU, above %d", t.Name, most, most*taskMilliCPU, bound)
		}
		r.mostRunning[t.Name] = most
	}
}

// mostAtOnce returns the largest number of runs at the same time.
func mostAtOnce(all []record) int {
	type change struct {
		at      time.Time
		started int // 1 for a start and -1 for an end
	}
	var changes []change
	for _, rec := range all {
		changes = append(changes, change{rec.Started, 1})
		if !rec.Ended.IsZero() {
			changes = append(changes, change{rec.Ended, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.started, b.started)) })
	running, most := 0, 0
	for _, c := range changes {
		running += c.started
		most = max(most, running)
	}
	return most
}

func overlap(a, b record) bool {
	before := func(x, y record) bool { return !x.Ended.IsZero() && !x.Ended.After(y.Started) }
	return !before(a, b) && !before(b, a)
}

func (r *run) checkJob(j *job, runs map[fleet.TaskPosition][]record) {
	switch {
	case !j.accepted && j.cancelled:
		r.checkNotStarted(j, runs)
	case !j.accepted:
	case j.phase == "":
		r.report("job %s has not ended %s after the faults", j.id, settleTimeout)
	case crashes(fleet.TaskPosition{Workflow: j.id}):
		r.checkCrashingJob(j, runs[fleet.TaskPosition{Workflow: j.id}])
	case j.phase == "failed":
		r.report("job %s failed within its attempts", j.id)
	case j.cancelled && j.phase != "cancelled" && j.phase != "completed":
		r.report("job %s was cancelled and is %s", j.id, j.phase)
	case j.phase == "completed":
		r.checkOrder(j, runs)
	}
}

// checkNotStarted checks that no task of a job starts after the acknowledgement of
// its cancellation, which it got instead of one of its submission.
func (r *run) checkNotStarted(j *job, runs map[fleet.TaskPosition][]record) {
	for p, all := range runs {
		for _, rec := range all {
			if p.Workflow == j.id && rec.Started.Sub(j.cancelledAt) > cancelTime {
				r.report("task %v started %s after its job had been cancelled", p, rec.Started.Sub(j.cancelledAt))
			}
		}
	}
}

// checkCrashingJob checks the bound on the workers that the first task of a job
// crashes.
func (r *run) checkCrashingJob(j *job, runs []record) {
	crashed := 0
	for _, rec := range runs {
		if rec.Crashed {
			crashed++
		}
	}
	if crashed > maxCrashes {
		r.report("a task of job %s crashed %d workers: %+v", j.id, crashed, runs)
	}
	if j.phase != "failed" && j.phase != "cancelled" {
		r.report("job %s, whose first task crashed %d workers, is %s", j.id, crashed, j.phase)
	}
}

// checkOrder checks that every task of a completed job was done, and that no
// task started before all tasks of the previous step were done.
func (r *run) checkOrder(j *job, runs map[fleet.TaskPosition][]record) {
	var previousStepEnd time.Time
	for step := range j.steps {
		var last time.Time
		for index := range j.steps[step].Count {
			p := fleet.TaskPosition{Workflow: j.id, Step: step, Index: index}
			done, end := false, time.Time{} // the first end counts; a start that arrives late may repeat it
			for _, rec := range runs[p] {
				if rec.Started.Before(previousStepEnd) {
					r.report("task %v started before the step before it was done", p)
				}
				if rec.Kind == fleet.EndDone && (!done || rec.Ended.Before(end)) {
					done, end = true, rec.Ended
				}
			}
			if !done {
				r.report("job %s is completed, but task %v was not done: %+v", j.id, p, runs[p])
			}
			last = laterOf(last, end)
		}
		previousStepEnd = last
	}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (r *run) result() Result {
	res := Result{Jobs: len(r.jobs), Faults: r.faults, Findings: r.findings, MostRunning: r.mostRunning}
	for _, j := range r.jobs {
		if j.accepted {
			res.Accepted++
		}
	}
	for _, w := range r.workers {
		for _, l := range w.incarnations {
			res.Runs += len(l.worker.Records())
		}
	}
	return res
}

// Err returns the violated guarantees as one error, or nil if there are none.
func (r Result) Err() error {
	var all []error
	for _, f := range r.Findings {
		all = append(all, errors.New(f))
	}
	return errors.Join(all...)
}
