// Package pool is a stand-in for a worker of a pool. It runs tasks of
// workflows under leases, lists their ends and records every run, so that a
// test can tell what ran where and when.
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

// ErrNoAnswer stands for a call whose answer did not arrive.
var ErrNoAnswer = errors.New("no answer")

// Options of a worker.
type Options struct {
	ID        string
	StartedAt int64 // Unix milliseconds
	// Work is how long a run lasts; 0 lasts until it is stopped.
	Work func(p fleet.TaskPosition, number uint64) time.Duration
	// Fails reports whether a run fails at its end.
	Fails func(p fleet.TaskPosition, number uint64) bool
	// MaxLease is the longest lease; a longer one is shortened.
	MaxLease time.Duration
	// Measure returns what the worker reports of a run as its tail or its use
	// of processors; nil for nothing. It must not call the worker.
	Measure func(p fleet.TaskPosition) int64
	// Progress returns what the worker reports of a run that began so long ago;
	// nil for runs that are at work. It must not call the worker.
	Progress func(p fleet.TaskPosition, number uint64, ran time.Duration) int
}

// Record is one run on a worker.
type Record struct {
	Worker   string
	Position fleet.TaskPosition
	Number   uint64
	Started  time.Time
	Ended    time.Time // zero while it runs
	Kind     fleet.EndKind
	// Lapsed says that the lease ended before the end was acknowledged: the
	// holder may have given the run up.
	Lapsed bool
}

type run struct {
	record     *Record
	checkpoint string
	pace       int
}

type key struct {
	fleet.TaskPosition
	number uint64
}

// Worker is one life of a worker. All methods may be called at any time.
type Worker struct {
	opts    Options
	started time.Time

	mu       sync.Mutex
	fence    uint64
	lease    time.Time
	running  map[key]*run
	ended    []fleet.RunEnd
	voided   map[fleet.TaskPosition]uint64 // highest run that was stopped or has ended
	sequence uint64
	unacked  map[uint64]*Record // by sequence of the end
	records  []*Record
	changed  chan struct{}

	down       bool // calls get no answer and have no effect
	loseStarts int  // so many starts are carried out without an answer
	late       []func()
	lateStarts int // so many starts get no answer and are carried out by RunLate
	stops      int // calls of Stop
}

// New returns a worker on which nothing runs.
func New(o Options) *Worker {
	if o.Work == nil {
		o.Work = func(fleet.TaskPosition, uint64) time.Duration { return 10 * time.Millisecond }
	}
	if o.Fails == nil {
		o.Fails = func(fleet.TaskPosition, uint64) bool { return false }
	}
	if o.MaxLease == 0 {
		o.MaxLease = time.Second
	}
	return &Worker{
		opts: o, started: time.Now(), running: make(map[key]*run), voided: make(map[fleet.TaskPosition]uint64),
		unacked: make(map[uint64]*Record), changed: make(chan struct{}),
	}
}

// SetDown cuts the worker off, or lets calls arrive again.
func (w *Worker) SetDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
}

// LoseStarts carries out the next n starts without an answer.
func (w *Worker) LoseStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseStarts = n
}

// DelayStarts holds the next n starts back until RunLate; they get no answer.
func (w *Worker) DelayStarts(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateStarts = n
}

// RunLate carries out the starts that were held back.
func (w *Worker) RunLate() {
	w.mu.Lock()
	held := w.late
	w.late = nil
	w.mu.Unlock()
	for _, f := range held {
		f()
	}
}

// Records returns all runs so far.
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

// Fence returns the highest fence that the worker has seen.
func (w *Worker) Fence() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fence
}

// ExecutionRates returns the pace of each run that is running.
func (w *Worker) ExecutionRates() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []int
	for _, r := range w.running {
		all = append(all, r.pace)
	}
	return all
}

// Clock returns the reading of the worker's clock in milliseconds.
func (w *Worker) Clock() int64 { return time.Since(w.started).Milliseconds() }

// Start implements fleet.Worker.
func (w *Worker) Start(ctx context.Context, c fleet.StartCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.down:
		return ErrNoAnswer
	case w.lateStarts > 0:
		w.lateStarts--
		w.late = append(w.late, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			_ = w.start(c)
		})
		return ErrNoAnswer
	case w.loseStarts > 0:
		w.loseStarts--
		_ = w.start(c)
		return ErrNoAnswer
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
	case c.Run.Number <= w.voided[c.Position]:
		return &fleet.RefusedError{Reason: fleet.RefusedOldRun}
	case c.Lease < w.Clock():
		return &fleet.RefusedError{Reason: fleet.RefusedLeaseExpired}
	}
	rec := &Record{Worker: w.opts.ID, Position: c.Position, Number: c.Run.Number, Started: time.Now()}
	w.records = append(w.records, rec)
	w.running[k] = &run{record: rec, checkpoint: c.Checkpoint, pace: 100}
	if d := w.opts.Work(c.Position, c.Run.Number); d > 0 {
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
			how := fleet.EndDone
			if w.opts.Fails(c.Position, c.Run.Number) {
				how = fleet.EndFailed
			}
			w.end(k, how)
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

// expire ends everything once the lease has ended.
func (w *Worker) expire() {
	if time.Now().Before(w.lease) {
		return
	}
	for _, r := range w.unacked {
		r.Lapsed = true
	}
	for k, r := range w.running {
		w.end(k, fleet.EndLeaseExpired)
		r.record.Ended = w.lease
	}
}

func (w *Worker) end(k key, how fleet.EndKind) {
	r := w.running[k]
	if r == nil {
		return
	}
	delete(w.running, k)
	w.sequence++
	r.record.Ended, r.record.Kind = time.Now(), how
	w.unacked[w.sequence] = r.record
	w.voided[k.TaskPosition] = max(w.voided[k.TaskPosition], k.number)
	w.ended = append(w.ended, fleet.RunEnd{
		Sequence: w.sequence, Position: k.TaskPosition, Number: k.number, Kind: how, Checkpoint: r.checkpoint,
	})
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stops returns how often a run was to be stopped.
func (w *Worker) Stops() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stops
}

// Stop implements fleet.Worker.
func (w *Worker) Stop(_ context.Context, c fleet.StopCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stops++
	if w.down {
		return ErrNoAnswer
	}
	w.expire()
	if err := w.checkFence(c.Fence); err != nil {
		return err
	}
	w.voided[c.Position] = max(w.voided[c.Position], c.Run.Number)
	w.end(key{c.Position, c.Run.Number}, fleet.EndStopped)
	return nil
}

// SetRate implements fleet.Worker.
func (w *Worker) SetRate(_ context.Context, c fleet.SetRateCall) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return ErrNoAnswer
	}
	if r := w.running[key{c.Position, c.Run.Number}]; r != nil {
		r.pace = c.Percent
	}
	return w.checkFence(c.Fence)
}

// Poll implements fleet.Worker.
func (w *Worker) Poll(ctx context.Context, c fleet.PollCall) (*fleet.Report, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil, ErrNoAnswer
	}
	w.expire()
	if err := w.checkFence(c.Fence); err != nil {
		return nil, err
	}
	if c.Lease > 0 {
		w.extend(c.Lease)
	}
	w.ended = slices.DeleteFunc(w.ended, func(e fleet.RunEnd) bool { return e.Sequence <= c.Acknowledged })
	maps.DeleteFunc(w.unacked, func(sequence uint64, _ *Record) bool { return sequence <= c.Acknowledged })
	if len(w.ended) == 0 && c.WaitMillis > 0 {
		w.await(ctx, time.Duration(c.WaitMillis)*time.Millisecond)
	}
	return w.report(), nil
}

// await waits for an end without holding the lock.
func (w *Worker) await(ctx context.Context, d time.Duration) {
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
