package replica

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"apricotrouter/event"
	"apricotrouter/raft"
	"apricotrouter/state"
)

// Replica is a Log that replicates through the control group. Its fields
// below "Of the loop" belong to the goroutine of the loop alone.
type Replica struct {
	notifier
	opts    Options
	metrics *metrics
	started time.Time
	start   uint64 // random number of this start of the process

	state      atomic.Pointer[state.State]
	view       atomic.Pointer[view]
	leases     leases
	freshUntil atomic.Int64 // nanoseconds since started
	box        *mailbox
	done       chan struct{} // closed when the loop has ended
	tasks      sync.WaitGroup
	formation  sync.Mutex // held while this instance forms the group
	incoming   incoming
	ctx        context.Context // of Run; for transfers that the loop starts

	// Of the loop.
	core      *raft.Core
	store     *storage
	id        identity
	members   instanceTable
	waiters   map[uint64]*waiter // proposals by index
	confirms  []*confirmation
	grants    []grant
	rounds    roundTimes
	term      uint64 // term in which this replica leads; 0 if it does not
	lastTime  int64  // time of the newest command in the log, Unix milliseconds
	wasFresh  bool
	repair    repairState
	compact   compaction
	transfers map[raft.ID]bool // snapshots being sent
	received  *received
	hint      string // instance that another one named as the leader
	disowned  uint64 // term whose leader said that it does not lead, or was silent
}

// view is what the loop publishes of the leadership.
type view struct {
	leader         string
	term           uint64
	leads          bool
	ready          bool          // applied an entry of its own term, and hands over to nobody
	confirmedUntil time.Duration // since start
	epoch          uint64
	group          string
	voters         []raft.Member
	replica        raft.ID
	disk           bool
	peers          []InstanceStatus
}

var (
	_ Log          = (*Replica)(nil)
	_ LeaseTracker = (*Replica)(nil)
)

// New opens the data folder, if any, and registers the handlers of messages.
// Run does the rest. Errors name the file that cannot be read.
func New(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:      o,
		metrics:   newMetrics(o.Registerer),
		started:   o.Clock.Now(),
		start:     uint64(newReplicaID()),
		box:       newMailbox(),
		done:      make(chan struct{}),
		waiters:   make(map[uint64]*waiter),
		transfers: make(map[raft.ID]bool),
		members:   newInstanceTable(),
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.publishView()
	r.handle()
	return r, nil
}

func (r *Replica) open() error {
	rec := recovered{state: state.New()}
	r.id = identity{Replica: newReplicaID()}
	if r.opts.DataDir != "" {
		var err error
		r.store, r.id, rec, err = openStorage(r.opts.FS, r.opts.DataDir)
		if err != nil {
			return err
		}
	}
	if r.id.Group == "" && len(rec.base.Members.Voters) > 0 {
		r.id.Group = r.id.Forming
	}
	if err := r.newCore(rec); err != nil {
		return err
	}
	event.Log(r.opts.Logger, event.ReplicaOpened, slog.Uint64("replica", uint64(r.id.Replica)),
		slog.String("group", r.id.Group), slog.Uint64("applied", r.State().Index))
	return nil
}

// newCore starts the core from what was read from disk, and applies what was
// known to be committed.
func (r *Replica) newCore(rec recovered) error {
	r.state.Store(rec.state)
	r.core = raft.New(raft.Options{
		Self:           r.id.Replica,
		HeartbeatTicks: r.opts.HeartbeatTicks,
		ElectionTicks:  r.opts.ElectionTicks,
		HardState:      rec.hard,
		Base:           rec.base,
		Entries:        rec.entries,
		Commit:         rec.commit,
		Applied:        rec.state.Index,
	})
	r.compact = compaction{snapshotAt: rec.state.Index}
	return r.applyCommitted(r.core.Take().Committed)
}

// Run drives the replica until ctx ends or the log cannot be applied.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	r.ctx = ctx
	g.Go(func() error {
		defer close(r.done)
		return r.loop(ctx)
	})
	g.Go(func() error { return r.pollFreshness(ctx) })
	g.Go(func() error { return r.registerSelf(ctx) })
	if r.opts.Bootstrap {
		g.Go(func() error { return r.bootstrap(ctx) })
	}
	err := g.Wait()
	r.tasks.Wait()
	if cerr := r.store.close(); err == nil {
		err = cerr
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// loop is the only goroutine that uses the core. Everything that arrived while
// the last batch was written is handled as the next batch, with one sync.
func (r *Replica) loop(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for {
		var now time.Duration // before anything of this batch is handled
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			now = r.now()
			r.core.Tick()
			r.box.run()
			r.everyTick(now)
		case <-r.box.wake:
			now = r.now()
			r.box.run()
		}
		r.core.Flush()
		r.followRole(now)
		if err := r.process(); err != nil {
			return err
		}
		r.settle()
	}
}

// now returns the monotonic time since New.
func (r *Replica) now() time.Duration { return r.opts.Clock.Since(r.started) }

// do runs f in the loop and waits for it.
func (r *Replica) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	r.box.post(func() { f(); close(ran) })
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// process carries out what the core asks for, until it asks for nothing.
func (r *Replica) process() error {
	for {
		out := r.core.Take()
		if out.Empty() {
			return nil
		}
		sendLater := out.Messages
		if out.HardState == nil && out.Snapshot == nil {
			sendLater = r.sendEarly(out.Messages)
		}
		if err := r.persist(out); err != nil {
			r.dropStorage(err)
			return nil
		}
		r.send(sendLater)
		r.core.Persisted(out.Entries)
		if err := r.applyCommitted(out.Committed); err != nil {
			return err
		}
	}
}

// sendEarly sends the messages that promise nothing about this replica's disk,
// while the disk syncs, and returns the others.
func (r *Replica) sendEarly(msgs []raft.Message) []raft.Message {
	var early, later []raft.Message
	for _, m := range msgs {
		if m.Type == raft.MsgAppend || m.Type == raft.MsgHeartbeat {
			early = append(early, m)
		} else {
			later = append(later, m)
		}
	}
	r.send(early)
	return later
}

func (r *Replica) persist(out raft.Output) error {
	if out.Snapshot != nil {
		return r.installSnapshot(*out.Snapshot)
	}
	commit := r.core.Status().Commit
	begin := r.opts.Clock.Now()
	dirty, err := r.store.write(out.HardState, out.Entries, commit)
	if err != nil || !dirty {
		return err
	}
	err = r.store.sync()
	r.metrics.sync.Observe(r.opts.Clock.Since(begin).Seconds())
	return err
}

// applyCommitted applies entries, publishes the state once, and answers the
// proposals among them.
func (r *Replica) applyCommitted(entries []raft.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	s, results, err := applyEntries(r.State(), entries)
	if err != nil {
		return err
	}
	r.state.Store(s)
	r.notify()
	r.metrics.applied.Set(float64(s.Index))
	for _, a := range results {
		r.compact.bytes += len(a.entry.Data)
		r.answer(a)
	}
	return nil
}

// settle does what depends on the new applied index and on confirmations.
func (r *Replica) settle() {
	r.settleConfirmations()
	r.settleGrants()
	r.maybeCompact()
	r.publishView()
}

// everyTick does what depends on time alone.
func (r *Replica) everyTick(now time.Duration) {
	if fresh := r.Fresh(); fresh != r.wasFresh {
		r.wasFresh = fresh
		e := event.ReplicaNotFresh
		if fresh {
			e = event.ReplicaFresh
		}
		event.Log(r.opts.Logger, e, slog.Uint64("applied", r.State().Index))
		r.metrics.setFresh(fresh)
		r.notify()
	}
	r.repairTick(now)
}

// dropStorage goes on as a replica without a disk after a failed write or
// sync: what the disk holds is unknown, so the old replica id must not answer
// for it again. The new one starts from what is applied here.
func (r *Replica) dropStorage(cause error) {
	event.Log(r.opts.Logger, event.ReplicaStorageFailed, slog.Any("error", cause))
	r.metrics.storageFailures.Inc()
	_ = r.store.close()
	r.store = nil
	position, ok := r.core.Position(r.State().Index)
	if !ok {
		position = r.core.Base()
	}
	r.id = identity{Replica: newReplicaID(), Group: r.id.Group}
	r.core = raft.New(raft.Options{
		Self: r.id.Replica, HeartbeatTicks: r.opts.HeartbeatTicks, ElectionTicks: r.opts.ElectionTicks,
		Base: position, Applied: r.State().Index,
	})
	r.followRole(r.now())
}

// followRole notices that this replica began or ceased to lead.
func (r *Replica) followRole(now time.Duration) {
	st := r.core.Status()
	r.rounds.note(r.core.Round(), now)
	var term uint64
	if st.Role == raft.Leader {
		term = st.Term
	}
	if term == r.term {
		return
	}
	if r.term != 0 {
		event.Log(r.opts.Logger, event.ReplicaLeaderLost, slog.Uint64("term", r.term))
	}
	r.failWaiters()
	r.leases.elected(term != 0, now)
	r.term = term
	r.repair = repairState{}
	if term != 0 {
		r.lastTime = max(r.State().Time, r.newestTime())
		event.Log(r.opts.Logger, event.ReplicaLeader, slog.Uint64("term", term))
	}
	r.publishView()
	r.notify()
}

// newestTime returns the time of the newest command in the log, 0 if it has none.
func (r *Replica) newestTime() int64 {
	for _, e := range slices.Backward(r.core.Tail()) {
		if e.Type != raft.EntryCommand {
			continue
		}
		if c, err := commandOf(e); err == nil {
			return c.Time
		}
	}
	return 0
}

// State implements Log.
func (r *Replica) State() *state.State { return r.state.Load() }
