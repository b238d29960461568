// Package control implements the control loop, which runs on the leader of the
// control group. The loop assigns endpoints, workers and ledger buckets to entry
// instances, records the expiry of the leases of lost workers, collects usage
// samples, and proposes the commands planned by package placement.
package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/placement"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

const (
	// WorkerLease is the longest lease that the owner of a worker grants it.
	WorkerLease = 10 * time.Second
	// WorkerLeaseEnd is the time after a worker was reported lost at which its
	// lease has certainly expired. The rates of two clocks may differ by at most 1%.
	WorkerLeaseEnd = WorkerLease * 101 / 100
	// DefaultInterval is the default minimum time between two control steps.
	DefaultInterval = 200 * time.Millisecond
	// idleInterval is the maximum time between two control steps while the log
	// does not change.
	idleInterval = 500 * time.Millisecond
	// proposeTimeout is the timeout for the outcome of a proposal.
	proposeTimeout = 2 * time.Second
)

// Options contains the dependencies and settings of a Control.
type Options struct {
	Log    replica.Log
	Leases replica.LeaseTracker
	// Mux delivers the usage samples sent by the owners of workers; nil for
	// none.
	Mux *transport.Mux
	// Placement contains the settings of the planner.
	Placement placement.Options
	// Interval is the minimum time between two control steps; DefaultInterval
	// if 0.
	Interval   time.Duration
	Clock      clockwork.Clock       // real clock if nil
	Logger     *slog.Logger          // none if nil
	Registerer prometheus.Registerer // registers nothing if nil
}

// Control is the control loop of one instance.
type Control struct {
	Options
	planner *placement.Planner
	metrics *metrics
	inbox   inbox
}

// New returns a control loop and registers its handler for usage samples.
func New(o Options) *Control {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	c := &Control{Options: o, planner: placement.New(o.Placement), metrics: newMetrics(o.Registerer)}
	if o.Mux != nil {
		transport.OnOneWay(o.Mux, transport.KindObservations, c.inbox.add)
	}
	return c
}

// term is the state of the control loop during one leadership of this instance.
type term struct {
	epoch     uint64
	electedAt time.Time
	lost      map[string]observedLoss
	collector *placement.Collector
}

// Run executes control steps while this instance is the confirmed leader. It
// returns the error of ctx when ctx ends.
func (c *Control) Run(ctx context.Context) error {
	var t *term
	for {
		changed := c.Log.Changed()
		t = c.currentTerm(t)
		if t != nil {
			c.step(ctx, t)
		} else {
			c.inbox.drain()
		}
		if err := c.wait(ctx, changed); err != nil {
			return err
		}
	}
}

// currentTerm returns t if this instance still leads in the same epoch, a new
// term after an election, or nil if this instance does not lead.
func (c *Control) currentTerm(t *term) *term {
	l := c.Log.Leadership()
	if t != nil && (!l.Self || l.Epoch != t.epoch) {
		event.Log(c.Logger, event.ControlStopped, slog.Uint64("epoch", t.epoch))
		t = nil
	}
	c.metrics.setLeading(l.Self)
	if !l.Self || t != nil {
		return t
	}
	event.Log(c.Logger, event.ControlStarted, slog.Uint64("epoch", l.Epoch), slog.Uint64("term", l.Term))
	now := c.Clock.Now()
	c.inbox.drain()
	return &term{
		epoch:     l.Epoch,
		electedAt: now,
		lost:      make(map[string]observedLoss),
		collector: placement.NewCollector(now.UnixMilli()),
	}
}

// wait blocks for Interval, and then until the log changes or idleInterval has
// passed in total.
func (c *Control) wait(ctx context.Context, changed <-chan struct{}) error {
	if err := c.sleep(ctx, c.Interval, nil); err != nil {
		return err
	}
	return c.sleep(ctx, idleInterval-c.Interval, changed)
}

func (c *Control) sleep(ctx context.Context, d time.Duration, changed <-chan struct{}) error {
	timer := c.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
	case <-changed:
	}
	return nil
}

// proposal is a command with the preconditions for appending it to the log.
type proposal struct {
	body state.Body
	// leaseExpiredOf lists the instances whose freshness leases must have expired.
	leaseExpiredOf []string
	// lostBuckets is the number of ledger buckets for which both copies were
	// lost.
	lostBuckets int
}

// step plans commands for the current state and proposes them.
func (c *Control) step(ctx context.Context, t *term) {
	s := c.Log.State()
	begin := c.Clock.Now()
	now := max(begin.UnixMilli(), s.Time)
	c.collect(t, s, now)
	live := c.liveInstances(s)
	var all []proposal
	all = append(all, c.planAssignments(s, live)...)
	all = append(all, c.planBuckets(s, live, now)...)
	all = append(all, c.planLeaseExpirations(s, t)...)
	for _, b := range c.planner.Plan(s, t.collector.Observations(), now) {
		all = append(all, proposal{body: b})
	}
	c.metrics.observeStep(s, c.Clock.Since(begin))
	t.collector.EndStep()
	c.propose(ctx, t, s, all)
}

// collect passes the received samples to the collector.
func (c *Control) collect(t *term, s *state.State, now int64) {
	for _, notice := range c.inbox.drain() {
		t.collector.Add(s, notice, now)
	}
}

// propose proposes all commands concurrently and waits for their outcomes.
// Refused and failed changes are planned again in the next step.
func (c *Control) propose(ctx context.Context, t *term, s *state.State, all []proposal) {
	if len(all) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	outcomes := make([]outcome, len(all))
	var wg sync.WaitGroup
	for i, p := range all {
		wg.Go(func() { outcomes[i] = c.proposeOne(ctx, p) })
	}
	wg.Wait()
	now := c.Clock.Now().UnixMilli()
	for i, o := range outcomes {
		c.recordOutcome(t, s, all[i], o, now)
	}
}

// outcome is the result of a proposal, or an error if the result is unknown.
type outcome struct {
	result state.Result
	err    error
}

func (c *Control) proposeOne(ctx context.Context, p proposal) outcome {
	if len(p.leaseExpiredOf) > 0 {
		ctx = replica.RequireLeaseExpired(ctx, p.leaseExpiredOf...)
	}
	r, err := c.Log.Propose(ctx, state.NewCommand(p.body))
	return outcome{r, err}
}

// recordOutcome logs and counts an outcome, and records applied commands in the
// collector.
func (c *Control) recordOutcome(t *term, s *state.State, p proposal, o outcome, now int64) {
	kind := p.body.Kind().String()
	switch {
	case o.err != nil:
		c.metrics.proposals.WithLabelValues(kind, "unknown").Inc()
		event.Log(c.Logger, event.ControlProposalFailed, slog.String("kind", kind), slog.Any("error", o.err))
	case o.result.Code != state.CodeOK:
		c.metrics.proposals.WithLabelValues(kind, string(o.result.Code)).Inc()
		event.Log(c.Logger, event.ControlProposalRefused, slog.String("kind", kind),
			slog.String("object", o.result.Object), slog.String("message", o.result.Message))
		return
	default:
		c.metrics.proposals.WithLabelValues(kind, string(state.CodeOK)).Inc()
		c.logApplied(p)
	}
	// A proposal with an unknown outcome may have been applied, so it counts as
	// an action, too.
	t.collector.RecordAction(s, p.body, now)
}
