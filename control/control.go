// Package control runs on the leader of the control group. It assigns
// endpoints, workers and ledger buckets to entry instances, ends the leases of
// lost workers, collects observations, and proposes what package placement
// plans.
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
	// WorkerLease is the longest lease that a session holder grants a worker.
	WorkerLease = 10 * time.Second
	// WorkerLeaseEnd is how long after a worker was reported lost its lease
	// has certainly ended: clocks may differ in rate by at most 1%.
	WorkerLeaseEnd = WorkerLease * 101 / 100
	// DefaultInterval is the pause between two decisions.
	DefaultInterval = 200 * time.Millisecond
	// idleInterval is the longest time between two decisions without a change.
	idleInterval = 500 * time.Millisecond
	// proposeTimeout is how long the loop waits for the outcome of a proposal.
	proposeTimeout = 2 * time.Second
)

// Options are the parts and settings of a Control.
type Options struct {
	Log    replica.Log
	Leases replica.LeaseTracker
	// Mux delivers the observations of session holders; nil for none.
	Mux *transport.Mux
	// Placement are the settings of the planner.
	Placement placement.Options
	// Interval is the shortest pause between two decisions; DefaultInterval if 0.
	Interval   time.Duration
	Clock      clockwork.Clock       // real clock if nil
	Logger     *slog.Logger          // none if nil
	Registerer prometheus.Registerer // registers nothing if nil
}

// Control is the leader loop of one instance.
type Control struct {
	Options
	planner *placement.Planner
	metrics *metrics
	inbox   inbox
}

// New returns a leader loop and registers its handler of observations.
func New(o Options) *Control {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	c := &Control{Options: o, planner: placement.New(o.Placement), metrics: newMetrics(o.Registerer)}
	if o.Mux != nil {
		transport.OnNotice(o.Mux, transport.KindObservations, c.inbox.add)
	}
	return c
}

// term is what the loop keeps while this instance leads. It is dropped when
// the leadership ends.
type term struct {
	epoch     uint64
	electedAt time.Time
	lost      map[string]lostWorker
	collector *placement.Collector
}

// Run decides and proposes while this instance is the confirmed leader, until
// ctx ends. It returns the error of ctx.
func (c *Control) Run(ctx context.Context) error {
	var t *term
	for {
		changed := c.Log.Changed()
		t = c.currentTerm(t)
		if t != nil {
			c.step(ctx, t)
		} else {
			c.inbox.take()
		}
		if err := c.wait(ctx, changed); err != nil {
			return err
		}
	}
}

// currentTerm returns the kept term, a new one after an election, or nil if
// this instance does not lead.
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
	c.inbox.take()
	return &term{
		epoch:     l.Epoch,
		electedAt: now,
		lost:      make(map[string]lostWorker),
		collector: placement.NewCollector(now.UnixMilli()),
	}
}

// wait returns after the interval, and then at the next change of the log or
// after the idle interval.
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

// proposal is a command and what must hold when it is appended.
type proposal struct {
	body state.Body
	// ended are instances whose freshness leases must have ended.
	ended []string
	// lostBuckets is the number of ledger buckets that lost both copies.
	lostBuckets int
}

// step makes the decisions for the current state and proposes them.
func (c *Control) step(ctx context.Context, t *term) {
	s := c.Log.State()
	begin := c.Clock.Now()
	now := max(begin.UnixMilli(), s.Time)
	c.collect(t, s, now)
	live := c.liveInstances(s)
	var all []proposal
	all = append(all, c.assignments(s, live)...)
	all = append(all, c.buckets(s, live, now)...)
	all = append(all, c.endedLeases(s, t)...)
	for _, b := range c.planner.Plan(s, t.collector.Observations(), now) {
		all = append(all, proposal{body: b})
	}
	c.metrics.observeStep(s, c.Clock.Since(begin))
	t.collector.Planned()
	c.propose(ctx, t, s, all)
}

// collect hands the received samples to the collector.
func (c *Control) collect(t *term, s *state.State, now int64) {
	for _, notice := range c.inbox.take() {
		t.collector.Add(s, notice, now)
	}
}

// propose proposes all commands at once and waits for their outcomes. What
// was refused or failed is decided anew in the next step.
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
		c.note(t, s, all[i], o, now)
	}
}

// outcome is the result of a proposal, or the error that leaves it unknown.
type outcome struct {
	result state.Result
	err    error
}

func (c *Control) proposeOne(ctx context.Context, p proposal) outcome {
	if len(p.ended) > 0 {
		ctx = replica.RequireLeaseEnded(ctx, p.ended...)
	}
	r, err := c.Log.Propose(ctx, state.NewCommand(p.body))
	return outcome{r, err}
}

// note logs and counts an outcome, and tells the collector of actions.
func (c *Control) note(t *term, s *state.State, p proposal, o outcome, now int64) {
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
		c.logDone(p)
	}
	// A proposal with an unknown outcome may have been carried out, so it
	// counts as an action too.
	t.collector.NoteAction(s, p.body, now)
}
