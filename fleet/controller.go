package fleet

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/admission"
	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/tenant"
)

const (
	// tickInterval is the interval of time-based work. It is well below the
	// shortest lease and below a delay that clients notice.
	tickInterval = 50 * time.Millisecond
	// resyncInterval is how often the active workflows are compared with the
	// replicated state. This finds submissions that were committed after their
	// call had timed out.
	resyncInterval = time.Second
	// passPauseFactor is the delay after a placement pass, as a multiple of its
	// duration, so that long queues leave time for worker calls.
	passPauseFactor = 2
	// shortPassPauseFactor replaces passPauseFactor while more work waits than
	// fits. Most passes then find that little fits, and calls to workers, which
	// free capacity, need the time: the leader of 490 workers has none left.
	shortPassPauseFactor = 4
	// proposeTimeout bounds one proposal. It covers a commit while disks are
	// many times slower than usual.
	proposeTimeout = 3 * time.Second
)

// Limits are the limits of the workers' platform.
type Limits struct {
	MaxLease  time.Duration // longest lease that a worker accepts
	StopGrace time.Duration // longest time that a stop takes
	Heartbeat time.Duration // interval of the workers' heartbeats
	// Restore is the time that a run takes to resume from a checkpoint.
	Restore time.Duration
	// RateDelay is the delay until a change of the execution rate takes effect.
	RateDelay time.Duration
	// MaxOverTarget is how long co-located tasks may keep the tail latency of a
	// serving task above its target without interruption; 0 means unlimited.
	MaxOverTarget time.Duration
	// CallDelay is how late a worker may carry out a call without a response; 0 means
	// defaultCallDelay.
	CallDelay time.Duration
	// Calls is the maximum number of worker calls in flight; 0 means unlimited.
	Calls int
	// WorkflowBytes is the memory for stored workflows; 0 means unlimited.
	WorkflowBytes int64
}

// Options configures a Controller. Log and Dial are required.
type Options struct {
	Log        replica.Log
	Dial       func(w state.PoolWorker) Worker
	Limits     Limits
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer
}

// Controller runs workflows while this instance is the leader. Only the
// goroutine of Run accesses the fields below the comment "Owned by the loop".
type Controller struct {
	opts    Options
	metrics *metrics
	started time.Time
	inbox   chan func()
	ctx     context.Context // of Run
	done    chan struct{}   // closed when Run returns
	// waitingWorkflows are the open workflows of which no task is known to have
	// started, as of the last resync. It is nil while the controller is idle.
	waitingWorkflows atomic.Pointer[map[string]bool]
	// backlogs are the waiting work by pool, as of the last placement pass. It is
	// nil while the controller is idle.
	backlogs atomic.Pointer[map[string]*admission.Backlog]
	storage  storage

	// Owned by the loop.
	term uint64 // in which the controller is active
	// generation changes on each activation and deactivation. Responses to
	// calls of an earlier generation are discarded.
	generation     uint64
	fence          uint64 // of this activation
	fenceSequence  uint64 // low bits of the highest fence of the term
	active         bool
	activatedAt    time.Duration // time of the last activation
	adopted        bool          // workflows of an earlier leader were found then
	nextSync       time.Duration
	nextPass       time.Duration // earliest time of the next placement pass
	nextReport     time.Duration // of the occupancy of pools
	dirty          bool          // a change may allow a task to start
	workflows      map[string]*workflow
	sessions       map[string]*session // by worker id
	sorted         []*session          // by worker id; nil after a change of sessions
	closing        map[*session]bool   // closed sessions with starts in flight
	losses         []*workerLoss       // within lossRetention
	suspects       map[*task]bool      // open tasks that have to run alone
	held           []*session          // kept for tasks that have to run alone
	reserved       map[*task]bool      // tasks with capacity set aside
	confined       map[*task]bool      // tasks that may start on one worker only
	pollDue        map[*session]bool   // sessions to poll after this step, if necessary
	reports        uint64              // applied reports of all workers
	journal        journal
	interference   *placement.InterferenceModel
	poolDemand     map[string]*poolDemand           // by pool
	queues         map[string]*admission.QueueStats // by queue
	shortPools     map[string]time.Duration         // pools in which more work waited than fitted, with the last time
	rates          map[string]*admission.Rate       // by pool
	nextBacklog    time.Duration                    // earliest time of the next update of backlogs
	learned        learned
	stragglers     map[*task]int64 // tasks to copy if capacity is idle, with the remaining time in milliseconds
	busyPools      map[string]bool // pools in which tasks that end waited at the last check
	nextBusyCheck  time.Duration
	imageUse       map[string]float64 // by image; scratch space of updateResources
	startRoundTrip roundTripEstimator // of start calls
	calls          callQueue          // to workers
	callPool       *callPool
	panicTimes     recentPanics
	unsentCalls    int                          // calls that failed locally since the last log entry about them
	nextUnsentLog  time.Duration                // earliest time of the next log entry about them
	usage          *tenant.Usage                // of the tenants by their runs
	tenants        tenantTable                  // whose caps are in usage
	leftover       leftoverRuns                 // of workflows that ended before the activation
	submissions    map[string]*tenant.RateMeter // rates of submissions, by tenant
	sharesApply    bool                         // shares decided the order of the last placement pass
	quotaLogged    map[string]time.Duration     // last log entry about a tenant that waits for its quota
	saving         bool                         // the interference model is being committed
	nextSave       time.Duration
}

// inboxSize is the capacity of the inbox. Senders block when it is full.
const inboxSize = 4096

// New returns a controller that is idle until Run is called.
func New(o Options) *Controller {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	c := &Controller{
		opts: o, metrics: newMetrics(o.Registerer), started: o.Clock.Now(), inbox: make(chan func(), inboxSize), done: make(chan struct{}),
		learned:      newLearned(),
		interference: placement.NewInterferenceModel(), calls: callQueue{limit: o.Limits.Calls},
		imageUse: make(map[string]float64), callPool: newCallPool(), usage: tenant.NewUsage(),
	}
	c.storage.capacity = o.Limits.WorkflowBytes
	c.resetAdmission()
	return c
}

// Run drives the controller until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.ctx = ctx
	defer close(c.done)
	defer c.callPool.close() // only the loop runs calls
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := c.step(ctx, ticker.Chan()); err != nil {
			return err
		}
	}
}

// step waits for one event and handles it. After a panic the controller
// discards its state in memory and reloads the replicated state like a new
// leader.
func (c *Controller) step(ctx context.Context, tick <-chan time.Time) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = c.recovered(v)
		}
	}()
	changed := c.opts.Log.Changed()
	c.followLeadership()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case f := <-c.inbox:
		f()
		c.drainInbox()
	case <-tick:
		c.tick()
	case <-changed:
	}
	c.advance()
	if c.fenceSequence > maxFenceSequence {
		return errFencesExhausted
	}
	return nil
}

const (
	// maxPanics is the number of panics of the loop within panicWindow that
	// the process tolerates. A fault that recurs with the same state needs
	// another leader.
	maxPanics   = 3
	panicWindow = 10 * time.Second
)

// errRepeatedPanics ends a controller whose loop has panicked repeatedly.
var errRepeatedPanics = errors.New("workflow controller panicked repeatedly")

// recovered deactivates the controller after a panic.
func (c *Controller) recovered(cause any) error {
	now := c.now()
	c.metrics.panics.Inc()
	event.Log(c.opts.Logger, event.FleetLoopFailed, slog.Uint64("fence", c.fence), slog.Int("failures", c.panicTimes.count(now)),
		slog.Any("cause", cause), slog.String("stack", string(debug.Stack())))
	if c.panicTimes.count(now) > maxPanics {
		return errRepeatedPanics
	}
	c.deactivate("the loop failed")
	return nil
}

// recentPanics are the times of the panics within panicWindow.
type recentPanics []time.Duration

// count adds a panic at now, unless it was added before, and returns the number
// of recent panics.
func (f *recentPanics) count(now time.Duration) int {
	*f = slices.DeleteFunc(*f, func(at time.Duration) bool { return now-at > panicWindow })
	if n := len(*f); n == 0 || (*f)[n-1] != now {
		*f = append(*f, now)
	}
	return len(*f)
}

// drainInbox runs the queued work, so that one reconcile pass covers all of it.
func (c *Controller) drainInbox() {
	for range inboxSize {
		select {
		case f := <-c.inbox:
			f()
		default:
			return
		}
	}
}

// post queues work for the loop.
func (c *Controller) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// inGeneration returns a function that runs f in the loop, unless the
// generation has changed since the call of inGeneration.
func (c *Controller) inGeneration(f func()) func() {
	generation := c.generation
	return func() {
		c.post(func() {
			if c.generation == generation {
				f()
			}
		})
	}
}

// now returns the monotonic time since the start of the process.
func (c *Controller) now() time.Duration { return c.opts.Clock.Since(c.started) }

// leads reports whether this instance is the confirmed leader in the term in
// which the controller is active.
func (c *Controller) leads() bool {
	l := c.opts.Log.Leadership()
	return c.active && l.Self && l.Term == c.term
}

// followLeadership activates and deactivates the controller as the term
// changes. While its leadership is unconfirmed, a leader does nothing. If it is
// confirmed again in the same term, no other leader can have changed the state.
func (c *Controller) followLeadership() {
	l := c.opts.Log.Leadership()
	switch {
	case l.Self && (!c.active || l.Term != c.term):
		c.deactivate("leadership changed")
		c.activate(l)
	case c.active && !l.Self && l.Term != c.term:
		c.deactivate("another term has begun")
	}
}

const (
	// fenceShift is the number of low bits of a fence that number the
	// activations and the incarnations of workers within one term. A worker that
	// a later activation has polled refuses calls of an earlier one, and an
	// incarnation that has been polled refuses calls that were sent to an
	// earlier one.
	fenceShift = 16
	// maxFenceSequence leaves enough fences for one step of the loop.
	maxFenceSequence = 1<<fenceShift - 1 - 2*inboxSize
)

// errFencesExhausted ends a controller that has no fence left in its term. A
// leader in another term continues.
var errFencesExhausted = errors.New("fences of the term are exhausted")

// nextFence returns a fence that is higher than all others of the term.
func (c *Controller) nextFence() uint64 {
	c.fenceSequence++
	return c.term<<fenceShift | c.fenceSequence
}

// activate loads the workflows and workers from the replicated state.
func (c *Controller) activate(l replica.Leadership) {
	c.generation++
	if l.Term != c.term {
		c.fenceSequence = 0
		c.learned = newLearned()
	}
	c.active, c.term = true, l.Term
	c.fence = c.nextFence()
	c.activatedAt = c.now()
	c.workflows = make(map[string]*workflow)
	c.sessions, c.sorted, c.losses = make(map[string]*session), nil, nil
	c.closing = make(map[*session]bool)
	c.suspects, c.held, c.reserved = make(map[*task]bool), nil, make(map[*task]bool)
	c.confined = make(map[*task]bool)
	c.stragglers, c.busyPools = make(map[*task]int64), nil
	c.pollDue = make(map[*session]bool)
	c.journal = journal{}
	c.poolDemand = make(map[string]*poolDemand)
	c.resetAdmission()
	c.resetStored()
	c.dirty = true
	s := c.opts.Log.State()
	c.adopted = s.Workflows.Len() > 0
	c.usage, c.tenants, c.submissions = tenant.NewUsage(), tenantTable{}, make(map[string]*tenant.RateMeter)
	c.sharesApply, c.quotaLogged = false, make(map[string]time.Duration)
	c.followTenants(s)
	c.interference, c.saving = placement.RestoreInterferenceModel(s.Interference), false
	for _, w := range s.PoolWorkers.All() {
		c.openSession(*w, false)
	}
	c.countLeftover(s)
	c.openWorkflows(s)
	event.Log(c.opts.Logger, event.FleetLeaderStarted, slog.Uint64("fence", c.fence), slog.Uint64("applied", s.Index),
		slog.Int("workers", len(c.sessions)), slog.Int("workflows", len(c.workflows)))
}

func (c *Controller) deactivate(reason string) {
	if !c.active {
		return
	}
	c.active = false
	c.generation++
	c.calls.clear()
	for _, s := range c.sessions {
		s.closed = true
		s.api.Close()
	}
	for s := range c.closing {
		s.api.Close()
	}
	c.workflows, c.sessions, c.closing = nil, nil, nil
	c.waitingWorkflows.Store(nil)
	c.backlogs.Store(nil)
	c.metrics.short.Reset()
	c.metrics.drain.Reset()
	event.Log(c.opts.Logger, event.FleetLeaderStopped, slog.Uint64("fence", c.fence), slog.String("reason", reason))
}

// reactivate reloads the replicated state after a commit with an unknown
// outcome.
func (c *Controller) reactivate(reason string) {
	c.deactivate(reason)
	if l := c.opts.Log.Leadership(); l.Self {
		c.activate(l)
	}
}

func (c *Controller) tick() {
	if !c.active {
		return
	}
	now := c.now()
	if now >= c.nextSync {
		c.nextSync = now + resyncInterval
		c.syncWorkflows(c.opts.Log.State())
		c.logLateWorkflows()
		c.publishWaitingWorkflows()
		c.dirty = true
	}
	c.settleLeftover(now)
	c.releaseConfined()
	c.saveInterference(now)
	for _, s := range c.sessions {
		c.checkTimeouts(s, now)
		c.pollDue[s] = true
	}
}

// publishWaitingWorkflows updates waitingWorkflows.
func (c *Controller) publishWaitingWorkflows() {
	waiting := make(map[string]bool)
	for id, f := range c.workflows {
		if !f.begun {
			waiting[id] = true
		}
	}
	c.waitingWorkflows.Store(&waiting)
}

// advance runs a placement pass if one is due, commits the journal and sends
// polls.
func (c *Controller) advance() {
	if !c.active || !c.leads() {
		return
	}
	if c.passDue() {
		c.dirty = false
		begin := c.now()
		c.schedule()
		c.placeCopies()
		c.nextPass = c.now() + c.passPause(c.now()-begin)
	}
	c.commit()
	for s := range c.pollDue {
		c.poll(s)
	}
	clear(c.pollDue)
}

// passPause returns the delay after a placement pass.
func (c *Controller) passPause(pass time.Duration) time.Duration {
	if len(c.shortPools) > 0 {
		return shortPassPauseFactor * pass
	}
	return passPauseFactor * pass
}

// passDue reports whether a placement pass may run now. Starts that are placed
// while an entry is being committed have to wait for the next entry anyway, so
// one pass per entry suffices.
func (c *Controller) passDue() bool {
	return (c.dirty || len(c.stragglers) > 0) && !c.journal.inFlight && c.now() >= c.nextPass
}

// syncWorkflows opens new workflows and closes those that have ended.
func (c *Controller) syncWorkflows(s *state.State) {
	for id := range s.OpenWorkflows() {
		c.syncWorkflow(s, id)
	}
	for id := range c.workflows {
		c.syncWorkflow(s, id)
	}
}

// openWorkflows opens all workflows in the order of their submission, in which
// the rates of the tenants are measured.
func (c *Controller) openWorkflows(s *state.State) {
	var all []*state.Workflow
	for id := range s.OpenWorkflows() {
		if w, ok := s.Workflows.Get(id); ok {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *state.Workflow) int {
		return cmp.Or(cmp.Compare(a.SubmittedAt, b.SubmittedAt), cmp.Compare(a.Spec.ID, b.Spec.ID))
	})
	for _, w := range all {
		c.syncWorkflow(s, w.Spec.ID)
	}
}

// syncWorkflow opens a workflow if it is new and closes it if it has ended.
func (c *Controller) syncWorkflow(s *state.State, id string) {
	w, ok := s.Workflows.Get(id)
	f := c.workflows[id]
	switch {
	case f == nil && ok && !w.Phase.Ended():
		c.openWorkflow(w)
	case f != nil && (!ok || w.Phase.Ended()):
		c.closeWorkflow(f, w)
	}
}
