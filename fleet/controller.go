package fleet

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
)

const (
	// tickInterval is how often work that depends on time alone is done: well
	// below the shortest lease, and below what a client notices.
	tickInterval = 50 * time.Millisecond
	// resyncInterval is how often the open workflows are compared with the
	// replicated state, for submissions whose commit outlived their call.
	resyncInterval = time.Second
	// roundPause is the pause after a round of placement as a multiple of the
	// time that it took, so that long queues leave time for the workers.
	roundPause = 2
	// proposeTimeout bounds one proposal. It covers a commit while disks are
	// many times slower than usual.
	proposeTimeout = 3 * time.Second
)

// Limits are the bounds of the workers' platform.
type Limits struct {
	HoldMax   time.Duration // longest lease that a worker accepts
	StopGrace time.Duration // longest time that a stop takes
	Heartbeat time.Duration // interval of the workers' heartbeats
	// Restore is how long a run takes to resume from a checkpoint.
	Restore time.Duration
	// PaceDelay is how long a pace takes to come into force.
	PaceDelay time.Duration
	// MaxOverTarget is how long neighbours may keep a serving task over its
	// target on end; 0 for no bound.
	MaxOverTarget time.Duration
	// Calls is how many calls to workers may be in flight; 0 for no bound.
	Calls int
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

// Controller runs workflows while this instance leads. Its fields below "Of
// the loop" belong to the goroutine of the loop alone.
type Controller struct {
	opts    Options
	metrics *metrics
	started time.Time
	box     chan func()
	ctx     context.Context // of Run
	done    chan struct{}   // closed when Run has ended

	// Of the loop.
	term uint64 // in which the controller is active
	// generation changes whenever the controller starts or stops to be active,
	// so that answers to what it did before are told from later ones.
	generation uint64
	fence      uint64
	active     bool
	takeover   time.Duration // when it became active
	nextSync   time.Duration
	nextRound  time.Duration // of placement
	nextReport time.Duration // of the pools' room
	dirty      bool          // something changed that may let a task start
	flows      map[string]*flow
	sessions   map[string]*session // by worker id
	sorted     []*session          // nil once sessions has changed
	touched    map[*session]bool   // sessions that may have to be looked at
	journal    journal
	pressure   *placement.Pressure
	asked      map[string]*asked  // by pool
	uses       map[string]float64 // by image; scratch of updateRoom
	starts     roundTrip          // of starts
	calls      callQueue          // to workers
	callers    *callers
	failures   recentFailures
	unsent     int           // calls that failed locally since that was logged
	nextUnsent time.Duration // when it may be logged again
	saving     bool          // pressures are being committed
	nextSave   time.Duration
}

// boxSize bounds the work that waits for the loop. Senders wait beyond it.
const boxSize = 4096

// New returns a controller that does nothing before Run.
func New(o Options) *Controller {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	return &Controller{
		opts: o, metrics: newMetrics(o.Registerer), started: o.Clock.Now(), box: make(chan func(), boxSize), done: make(chan struct{}),
		pressure: placement.NewPressure(), calls: callQueue{limit: o.Limits.Calls},
		uses: make(map[string]float64), callers: newCallers(),
	}
}

// Run drives the controller until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.ctx = ctx
	defer close(c.done)
	defer c.callers.close() // the loop alone runs calls
	ticker := c.opts.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		if err := c.step(ctx, ticker.Chan()); err != nil {
			return err
		}
	}
}

// step waits for one event and does what follows from it. A panic ends what the
// controller holds in memory, and it takes over from the replicated state like
// a new leader.
func (c *Controller) step(ctx context.Context, tick <-chan time.Time) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = c.failed(v)
		}
	}()
	changed := c.opts.Log.Changed()
	c.followLeadership()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case f := <-c.box:
		f()
		c.drainBox()
	case <-tick:
		c.tick()
	case <-changed:
	}
	c.work()
	return nil
}

const (
	// maxFailures is how often the loop may fail within failureSpan before the
	// process stops: a fault that comes back with the state needs another leader.
	maxFailures = 3
	failureSpan = 10 * time.Second
)

// errFailing ends a controller that fails again and again.
var errFailing = errors.New("the controller of workflows fails again and again")

// failed restarts the controller after a panic.
func (c *Controller) failed(cause any) error {
	now := c.now()
	c.metrics.panics.Inc()
	event.Log(c.opts.Logger, event.FleetLoopFailed, slog.Uint64("fence", c.fence), slog.Int("failures", c.failures.count(now)),
		slog.Any("cause", cause), slog.String("stack", string(debug.Stack())))
	if c.failures.count(now) > maxFailures {
		return errFailing
	}
	c.deactivate("the loop failed")
	return nil
}

// recentFailures are the times of the failures within failureSpan.
type recentFailures []time.Duration

// count adds a failure once for each time and returns how many there were.
func (f *recentFailures) count(now time.Duration) int {
	*f = slices.DeleteFunc(*f, func(at time.Duration) bool { return now-at > failureSpan })
	if n := len(*f); n == 0 || (*f)[n-1] != now {
		*f = append(*f, now)
	}
	return len(*f)
}

// drainBox runs what has arrived meanwhile, so that it is worked on together.
func (c *Controller) drainBox() {
	for range boxSize {
		select {
		case f := <-c.box:
			f()
		default:
			return
		}
	}
}

// post hands work to the loop.
func (c *Controller) post(f func()) {
	select {
	case c.box <- f:
	case <-c.done:
	}
}

// later returns a function that runs f in the loop if the controller is then
// still active in the generation of the call.
func (c *Controller) later(f func()) func() {
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

// leads reports whether this instance is the confirmed leader of the term in
// which the controller is active.
func (c *Controller) leads() bool {
	l := c.opts.Log.Leadership()
	return c.active && l.Self && l.Term == c.term
}

// followLeadership follows the term. A leader that is not confirmed for a
// while does nothing meanwhile; if it is confirmed again in the same term, no
// other one can have changed anything.
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

// fenceShift makes room in a fence for the activations within one term, so
// that what an earlier activation sent is refused once a later one has looked.
const fenceShift = 16

// activate takes the workflows and workers of the replicated state over.
func (c *Controller) activate(l replica.Leadership) {
	c.generation++
	c.active, c.term = true, l.Term
	c.fence = l.Term<<fenceShift | c.generation&(1<<fenceShift-1)
	c.takeover = c.now()
	c.flows = make(map[string]*flow)
	c.sessions, c.sorted = make(map[string]*session), nil
	c.touched = make(map[*session]bool)
	c.journal = journal{}
	c.asked = make(map[string]*asked)
	c.dirty = true
	s := c.opts.Log.State()
	c.pressure, c.saving = placement.RestorePressure(s.Pressures), false
	for _, w := range s.PoolWorkers.All() {
		c.openSession(*w, false)
	}
	c.sync(s)
	event.Log(c.opts.Logger, event.FleetTookOver, slog.Uint64("fence", c.fence), slog.Uint64("applied", s.Index),
		slog.Int("workers", len(c.sessions)), slog.Int("workflows", len(c.flows)))
}

func (c *Controller) deactivate(reason string) {
	if !c.active {
		return
	}
	c.active = false
	c.generation++
	c.calls.clear()
	for _, s := range c.sessions {
		s.gone = true
		s.api.Close()
	}
	c.flows, c.sessions = nil, nil
	event.Log(c.opts.Logger, event.FleetGaveUp, slog.Uint64("fence", c.fence), slog.String("reason", reason))
}

// restart reads the state again after a commit with an unknown outcome.
func (c *Controller) restart(reason string) {
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
		c.sync(c.opts.Log.State())
		c.reportLate()
		c.dirty = true
	}
	c.savePressures(now)
	for _, s := range c.sessions {
		c.watchSession(s, now)
		c.touched[s] = true
	}
}

// work does what the last events made possible.
func (c *Controller) work() {
	if !c.active || !c.leads() {
		return
	}
	if c.roundDue() {
		c.dirty = false
		begin := c.now()
		c.schedule()
		c.nextRound = c.now() + roundPause*(c.now()-begin)
	}
	c.commit()
	for s := range c.touched {
		c.look(s)
	}
	clear(c.touched)
}

// roundDue reports whether tasks are placed now. Starts that are placed while
// an entry is being committed would wait for the next one all the same, so one
// round serves each entry.
func (c *Controller) roundDue() bool { return c.dirty && !c.journal.inFlight && c.now() >= c.nextRound }

// sync opens workflows that are new and closes those that have ended.
func (c *Controller) sync(s *state.State) {
	for id := range s.OpenWorkflows() {
		c.syncFlow(s, id)
	}
	for id := range c.flows {
		c.syncFlow(s, id)
	}
}

// syncFlow opens a workflow that is new, or closes it if it has ended.
func (c *Controller) syncFlow(s *state.State, id string) {
	w, ok := s.Workflows.Get(id)
	f := c.flows[id]
	switch {
	case f == nil && ok && !w.Phase.Ended():
		c.openFlow(w)
	case f != nil && (!ok || w.Phase.Ended()):
		c.closeFlow(f, w)
	}
}
