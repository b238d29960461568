// Package pool simulates a worker of a pool for tests. It runs tasks of workflows
// under leases, reports ended runs and records every run, so that tests can check
// which worker ran a task and when.
package pool

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"apricotrouter/fleet"
)

// ErrNoResponse is returned by a call whose response was lost.
var ErrNoResponse = errors.New("no answer")

// Options configures a Worker.
type Options struct {
	ID        string
	StartedAt int64 // start time of the incarnation, Unix milliseconds
	// RunTime returns the run time of a run; 0 means until it is stopped. nil means
	// 10 ms for all runs.
	RunTime func(p fleet.TaskPosition, number uint64) time.Duration
	// Fails reports whether a run fails at its end. nil means that none does.
	Fails func(p fleet.TaskPosition, number uint64) bool
	// MaxLease is the maximum lease, default 1 s. Longer leases are shortened to
	// it.
	MaxLease time.Duration
	// Measure returns the measurement in the report of a run: the tail latency of
	// a serving task or the CPU use of another task. nil reports none. It must
	// not call the worker.
	Measure func(p fleet.TaskPosition) int64
	// Progress returns the progress in the report of a run that started the time
	// ran ago, in percent. nil reports 100. It must not call the worker.
	Progress func(p fleet.TaskPosition, number uint64, ran time.Duration) int
	// CrashesAfter returns how long after its start a run crashes the worker; 0
	// means that it does not, less that it does before the start is answered.
	// nil means that none does.
	CrashesAfter func(p fleet.TaskPosition, number uint64) time.Duration
	// OnCrash is called once, when the worker has crashed. It may be nil.
	OnCrash func()
}

// Record describes one run on a worker.
type Record struct {
	Worker   string
	Position fleet.TaskPosition
	Number   uint64
	Started  time.Time
	Ended    time.Time // zero while running
	Kind     fleet.EndKind
	// Crashed is set if the worker crashed during the run.
	Crashed bool
	// EndUnreported is set if the worker crashed before it reported the end of
	// the run.
	EndUnreported bool
	// LeaseExpired is set if the lease expired before the end of the run was
	// acknowledged. The scheduler may have treated the run as lost.
	LeaseExpired bool
}

type run struct {
	record     *Record
	checkpoint string
	rate       int
}

type key struct {
	fleet.TaskPosition
	number uint64
}

// Worker is one incarnation of a worker. It is safe for concurrent use.
type Worker struct {
	opts    Options
	started time.Time

	mu              sync.Mutex
	fence           uint64
	lease           time.Time // end of the lease
	running         map[key]*run
	ended           []fleet.RunEnd
	highestFinished map[fleet.TaskPosition]uint64 // highest number of a stopped or ended run
	sequence        uint64
	reported        uint64             // sequence number of the last end in a report
	unacknowledged  map[uint64]*Record // ended runs by sequence number of the end
	records         []*Record
	changed         chan struct{}

	crashed              bool
	unreachable          bool // calls fail without effect
	startsToLoseResponse int  // number of next starts that run, but whose response is lost
	delayedStarts        []fleet.StartCall
	startsToDelay        int  // number of next starts to delay until they are delivered
	delayedStartsHang    bool // the calls of delayed starts end with their context
	unreachableNext      bool // the worker is unreachable from the next delayed start on
	stopCalls            int  // number of calls of Stop
}

// New returns a worker without runs.
func New(o Options) *Worker {
	if o.RunTime == nil {
		o.RunTime = func(fleet.TaskPosition, uint64) time.Duration { return 10 * time.Millisecond }
	}
	if o.Fails == nil {
		o.Fails = func(fleet.TaskPosition, uint64) bool { return false }
	}
	if o.MaxLease == 0 {
		o.MaxLease = time.Second
	}
	return &Worker{
		opts: o, started: time.Now(), running: make(map[key]*run), highestFinished: make(map[fleet.TaskPosition]uint64),
		unacknowledged: make(map[uint64]*Record), changed: make(chan struct{}),
	}
}

// SetUnreachable makes the worker unreachable or reachable again.
func (w *Worker) SetUnreachable(unreachable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachable = unreachable
}

// Crash ends the worker and all its runs. It never responds again.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	if w.crashed {
		return
	}
	w.crashed, w.unreachable = true, true
	for k, r := range w.running {
		delete(w.running, k)
		r.record.Ended, r.record.Crashed = time.Now(), true
	}
	for sequence, r := range w.unacknowledged {
		r.EndUnreported = sequence > w.reported
	}
	close(w.changed)
	w.changed = make(chan struct{})
	if w.opts.OnCrash != nil {
		go w.opts.OnCrash()
	}
}

// EndRuns ends all runs of a workflow.
func (w *Worker) EndRuns(workflow string, kind fleet.EndKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.running {
		if k.Workflow == workflow {
			w.end(k, kind)
		}
	}
}

// DropStartResponses carries out the next n starts but loses their responses.
func (w *Worker) DropStartResponses(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startsToLoseResponse = n
}

// DelayStarts delays the next n starts until they are delivered and loses their
// responses, also while the worker is unreachable.
func (w *Worker) DelayStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startsToDelay = n
}

// HangStarts is like DelayStarts, but the calls end only with their contexts.
func (w *Worker) HangStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startsToDelay, w.delayedStartsHang = n, true
}

// LoseContactAtStart makes the worker unreachable from the next delayed start on.
func (w *Worker) LoseContactAtStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unreachableNext = true
}

// DelayedStarts returns the number of starts that wait for their delivery.
func (w *Worker) DelayedStarts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.delayedStarts)
}

// DeliverDelayedStarts carries out the delayed starts.
func (w *Worker) DeliverDelayedStarts() { w.DeliverDelayedStartsTo(w) }

// DeliverDelayedStartsTo carries out the delayed starts on another incarnation
// of the worker, also if that is unreachable otherwise.
func (w *Worker) DeliverDelayedStartsTo(next *Worker) {
	w.mu.Lock()
	delayed := w.delayedStarts
	w.delayedStarts = nil
	w.mu.Unlock()
	next.mu.Lock()
	defer next.mu.Unlock()
	for _, c := range delayed {
		_ = next.start(c)
	}
}

// Records returns the records of all runs so far.
func (w *Worker) Records() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	all := make([]Record, 0, len(w.records))
	for _, r := range w.records {
		all = append(all, *r)
	}
	return all
}

// Unacknowledged returns the number of ended runs that were not acknowledged.
func (w *Worker) Unacknowledged() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.unacknowledged)
}

// Fence returns the highest fence that the worker has received.
func (w *Worker) Fence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// ExecutionRates returns the execution rates of the running runs, in percent.
func (w *Worker) ExecutionRates() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []int
	for _, r := range w.running {
		all = append(all, r.rate)
	}
	return all
}

// LowestRate returns the lowest execution rate of any running run, in percent.
func (w *Worker) LowestRate() int { return slices.Min(append(w.ExecutionRates(), 100)) }

// Clock returns the time of the worker's clock in milliseconds, which starts at 0.
func (w *Worker) Clock() int64 { return time.Since(w.started).Milliseconds() }

// Start implements fleet.Worker.
func (w *Worker) Start(ctx context.Context, c fleet.StartCall) error {
	err := w.answerStart(ctx, c)
	if err == nil && w.opts.CrashesAfter != nil && w.opts.CrashesAfter(c.Position, c.Run.Number) < 0 {
		w.Crash()
		return ErrNoResponse
	}
	return err
}

func (w *Worker) answerStart(ctx context.Context, c fleet.StartCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.startsToDelay > 0:
		w.startsToDelay--
		w.delayedStarts = append(w.delayedStarts, c)
		w.unreachable = w.unreachable || w.unreachableNext
		if w.delayedStartsHang {
			w.mu.Unlock()
			<-ctx.Done()
			w.mu.Lock()
		}
		return ErrNoResponse
	case w.unreachable:
		return ErrNoResponse
	case w.startsToLoseResponse > 0:
		w.startsToLoseResponse--
		_ = w.start(c)
		return ErrNoResponse
	}
	return w.start(c)
}

func (w *Worker) start(c fleet.StartCall) error {
	w.expire()
	if err := w.checkFence(c.Fence); err != nil {
		return err
	}
	k := key{c.Position, c.Run.Number}
	w.extend(c.Lease)
	switch {
	case w.running[k] != nil:
		return nil
	case c.Run.Number <= w.highestFinished[c.Position]:
		return &fleet.RefusedError{Reason: fleet.RefusedOldRun}
	case c.Lease < w.Clock():
		return &fleet.RefusedError{Reason: fleet.RefusedLeaseExpired}
	}
	rec := &Record{Worker: w.opts.ID, Position: c.Position, Number: c.Run.Number, Started: time.Now()}
	w.records = append(w.records, rec)
	w.running[k] = &run{record: rec, checkpoint: c.Checkpoint, rate: 100}
	if w.opts.CrashesAfter != nil {
		if d := w.opts.CrashesAfter(c.Position, c.Run.Number); d > 0 {
			time.AfterFunc(d, func() {
				w.mu.Lock()
				runs := w.running[k] != nil
				w.mu.Unlock()
				if runs {
					w.Crash()
				}
			})
		}
	}
	if d := w.opts.RunTime(c.Position, c.Run.Number); d > 0 {
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
			kind := fleet.EndDone
			if w.opts.Fails(c.Position, c.Run.Number) {
				kind = fleet.EndFailed
			}
			w.end(k, kind)
		})
	}
	return nil
}

func (w *Worker) checkFence(fence uint64) error {
	if fence < w.fence {
		return &fleet.RefusedError{Reason: fleet.RefusedFence}
	}
	w.fence = fence
	return nil
}

func (w *Worker) extend(lease int64) {
	until := w.started.Add(time.Duration(lease) * time.Millisecond)
	if longest := time.Now().Add(w.opts.MaxLease); until.After(longest) {
		until = longest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// expire ends all runs if the lease has expired.
func (w *Worker) expire() {
	if time.Now().Before(w.lease) {
		return
	}
	for _, r := range w.unacknowledged {
		r.LeaseExpired = true
	}
	for k, r := range w.running {
		w.end(k, fleet.EndLeaseExpired)
		r.record.Ended = w.lease
	}
}

func (w *Worker) end(k key, kind fleet.EndKind) {
	r := w.running[k]
	if r == nil {
		return
	}
	delete(w.running, k)
	w.sequence++
	r.record.Ended, r.record.Kind = time.Now(), kind
	w.unacknowledged[w.sequence] = r.record
	w.highestFinished[k.TaskPosition] = max(w.highestFinished[k.TaskPosition], k.number)
	w.ended = append(w.ended, fleet.RunEnd{
		Sequence: w.sequence, Position: k.TaskPosition, Number: k.number, Kind: kind, Checkpoint: r.checkpoint,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stops returns the number of calls of Stop.
func (w *Worker) Stops() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopCalls
}

// Stop implements fleet.Worker.
func (w *Worker) Stop(_ context.Context, c fleet.StopCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopCalls++
	if w.unreachable {
		return ErrNoResponse
	}
	w.expire()
	if err := w.checkFence(c.Fence); err != nil {
		return err
	}
	w.highestFinished[c.Position] = max(w.highestFinished[c.Position], c.Run.Number)
	w.end(key{c.Position, c.Run.Number}, fleet.EndStopped)
	return nil
}

// SetRate implements fleet.Worker.
func (w *Worker) SetRate(_ context.Context, c fleet.SetRateCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return ErrNoResponse
	}
	if r := w.running[key{c.Position, c.Run.Number}]; r != nil {
		r.rate = c.Percent
	}
	return w.checkFence(c.Fence)
}

// Poll implements fleet.Worker.
func (w *Worker) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreachable {
		return nil, ErrNoResponse
	}
	w.expire()
	if err := w.checkFence(c.Fence); err != nil {
		return nil, err
	}
	if c.Lease > 0 {
		w.extend(c.Lease)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.RunEnd) bool { return e.Sequence <= c.Acknowledged })
	maps.DeleteFunc(w.unacknowledged, func(sequence uint64, _ *Record) bool { return sequence <= c.Acknowledged })
	if len(w.ended) == 0 && c.WaitMillis > 0 {
		w.waitForChange(ctx, time.Duration(c.WaitMillis)*time.Millisecond)
	}
	if w.crashed {
		return nil, ErrNoResponse
	}
	w.reported = w.sequence
	return w.report(), nil
}

// waitForChange waits for the end of a run, up to d. It releases the lock while
// it waits.
func (w *Worker) waitForChange(ctx context.Context, d time.Duration) {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	select {
	case <-changed:
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (w *Worker) report() *fleet.Report {
	r := &fleet.Report{Clock: w.Clock(), StartedAt: w.opts.StartedAt, Ended: slices.Clone(w.ended)}
	for k, running := range w.running {
		status := fleet.RunStatus{Position: k.TaskPosition, Number: k.number, Checkpoint: running.checkpoint, Progress: 100}
		if w.opts.Measure != nil {
			status.Measure = w.opts.Measure(k.TaskPosition)
		}
		if w.opts.Progress != nil {
			status.Progress = w.opts.Progress(k.TaskPosition, k.number, time.Since(running.record.Started))
		}
		r.Running = append(r.Running, status)
	}
	return r
}

// Close implements fleet.Worker.
func (w *Worker) Close() {}
