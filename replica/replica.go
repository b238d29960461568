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

// Replica is a Log that is replicated through the control group. The fields
// below "State of the loop" are accessed only by the loop goroutine.
type Replica struct {
	notifier
	opts        Options
	metrics     *metrics
	started     time.Time
	incarnation uint64 // random number that identifies this run of the process

	state             atomic.Pointer[state.State]
	view              atomic.Pointer[view]
	leaseExtensions   leaseExtensions
	freshUntil        atomic.Int64 // expiry of the freshness lease, in nanoseconds since started
	inbox             *mailbox
	done              chan struct{} // closed when the loop has returned
	background        sync.WaitGroup
	formation         sync.Mutex // held while this instance forms the group
	snapshotAssembler snapshotAssembler
	ctx               context.Context // context of Run, for snapshot transfers

	// State of the loop.
	core                 *raft.Core
	store                *storage
	nextStorageRetry     time.Duration // while the storage is detached
	id                   identity
	members              instanceTable
	pendingProposals     map[uint64]*pendingProposal // by log index
	pendingConfirmations []*pendingConfirmation
	pendingGrants        []pendingGrant
	rounds               roundTimes
	term                 uint64 // term in which this replica leads; 0 if it does not lead
	lastTime             int64  // time of the newest command in the log, in Unix milliseconds
	wasFresh             bool
	repair               repairState
	compact              compaction
	snapshotTransfers    map[raft.ID]bool // receivers of snapshots that are being sent
	receivedSnapshot     *receivedSnapshot
	leaderHint           string // leader reported by another instance, if this replica knows none
	ignoredLeaderTerm    uint64 // term whose leader denied leading or did not respond
}

// view is the loop's published state of the leadership and the group.
type view struct {
	leader         string
	term           uint64
	isLeader       bool
	ready          bool          // has applied an entry of its own term and transfers no leadership
	confirmedUntil time.Duration // time since New at which the confirmation expires
	epoch          uint64
	group          string
	voters         []raft.Member
	replica        raft.ID
	disk           bool
	instances      []InstanceStatus
}

var (
	_ Log          = (*Replica)(nil)
	_ LeaseTracker = (*Replica)(nil)
)

// New opens the data directory, if any, and registers the message handlers.
// Everything else is done by Run. An error identifies the file that cannot be
// read.
func New(o Options) (*Replica, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	r := &Replica{
		opts:              o,
		metrics:           newMetrics(o.Registerer),
		started:           o.Clock.Now(),
		incarnation:       uint64(newReplicaID()),
		inbox:             newMailbox(),
		done:              make(chan struct{}),
		pendingProposals:  make(map[uint64]*pendingProposal),
		snapshotTransfers: make(map[raft.ID]bool),
		members:           newInstanceTable(),
	}
	if err := r.open(); err != nil {
		return nil, err
	}
	r.publishView()
	r.registerHandlers()
	return r, nil
}

func (r *Replica) open() error {
	rec := recoveredState{state: state.New()}
	r.id = identity{Replica: newReplicaID()}
	if r.opts.DataDir != "" {
		var err error
		r.store, r.id, rec, err = openStorage(r.opts.FS, r.opts.DataDir)
		if err != nil {
			return err
		}
	}
	return r.restore(rec)
}

// restore starts the core from the content of the data directory.
func (r *Replica) restore(rec recoveredState) error {
	if r.id.Group == "" && len(rec.base.Members.Voters) > 0 {
		r.id.Group = r.id.FormingGroup
	}
	if err := r.newCore(rec); err != nil {
		return err
	}
	setBool(r.metrics.disk, r.store != nil)
	event.Log(r.opts.Logger, event.ReplicaOpened, slog.Uint64("replica", uint64(r.id.Replica)), slog.Bool("disk", r.store != nil),
		slog.String("group", r.id.Group), slog.Uint64("applied", r.State().Index), slog.Uint64("term", rec.hard.Term),
		slog.Uint64("vote", uint64(rec.hard.Vote)), slog.Uint64("base", rec.base.Index), slog.Int("entries", len(rec.entries)))
	return nil
}

// newCore starts the core from the recovered state and applies the entries that
// are known to be committed.
func (r *Replica) newCore(rec recoveredState) error {
	r.state.Store(rec.state)
	r.startCore(raft.Options{
		HardState: rec.hard,
		Base:      rec.base,
		Entries:   rec.entries,
		Commit:    rec.commit,
		Applied:   rec.state.Index,
	})
	r.compact = compaction{snapshotAt: rec.state.Index}
	return r.applyCommitted(r.core.Take().Committed)
}

// startCore replaces the core, and discards everything that refers to the
// rounds and entries of the previous one.
func (r *Replica) startCore(o raft.Options) {
	o.Self, o.HeartbeatTicks, o.ElectionTicks = r.id.Replica, r.opts.HeartbeatTicks, r.opts.ElectionTicks
	r.core = raft.New(o)
	r.rounds = roundTimes{}
	r.failPending()
}

// Run runs the replica until ctx ends or an entry cannot be applied.
func (r *Replica) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	r.ctx = ctx
	g.Go(func() error {
		defer close(r.done)
		return r.loop(ctx)
	})
	g.Go(func() error { return r.renewFreshness(ctx) })
	g.Go(func() error { return r.registerSelf(ctx) })
	if r.opts.Bootstrap {
		g.Go(func() error { return r.bootstrap(ctx) })
	}
	err := g.Wait()
	r.background.Wait()
	if cerr := r.store.close(); err == nil {
		err = cerr
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// loop is the only goroutine that uses the core. Everything that arrives while
// a batch is being written forms the next batch, which is synced once.
func (r *Replica) loop(ctx context.Context) error {
	ticker := r.opts.Clock.NewTicker(r.opts.Tick)
	defer ticker.Stop()
	for {
		var now time.Duration // taken before the batch is processed
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.Chan():
			now = r.now()
			r.core.Tick()
			r.inbox.run()
			if err := r.onTick(now); err != nil {
				return err
			}
		case <-r.inbox.wake:
			now = r.now()
			r.inbox.run()
		}
		r.core.Flush()
		r.updateRole(now)
		if err := r.processOutput(); err != nil {
			return err
		}
		r.finishBatch()
	}
}

// now returns the monotonic time since New.
func (r *Replica) now() time.Duration { return r.opts.Clock.Since(r.started) }

// runOnLoop runs f on the loop goroutine and waits for it.
func (r *Replica) runOnLoop(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	r.inbox.post(func() { f(); close(ran) })
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return ErrStopped
	}
}

// processOutput carries out the output of the core until there is none.
func (r *Replica) processOutput() error {
	for {
		out := r.core.Take()
		if out.Empty() {
			return nil
		}
		sendLater := out.Messages
		if out.HardState == nil && out.Snapshot == nil {
			sendLater = r.sendBeforeSync(out.Messages)
		}
		if err := r.persist(out); err != nil {
			r.detachStorage(err)
			return nil
		}
		r.send(sendLater)
		r.core.Persisted(out.Entries)
		if err := r.applyCommitted(out.Committed); err != nil {
			return err
		}
	}
}

// sendBeforeSync sends appends and heartbeats before the disk sync, because
// they do not acknowledge that this replica has stored anything. It returns the
// other messages.
func (r *Replica) sendBeforeSync(msgs []raft.Message) []raft.Message {
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

// applyCommitted applies entries, publishes the resulting state once, and
// completes the proposals among the entries.
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
		r.completeProposal(a)
	}
	return nil
}

// finishBatch performs the work that depends on the new applied index and on
// confirmed heartbeat rounds.
func (r *Replica) finishBatch() {
	r.completeConfirmations()
	r.activateGrants()
	r.maybeCompact()
	r.publishView()
}

// onTick performs the work that depends only on time.
func (r *Replica) onTick(now time.Duration) error {
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
	r.repairMembership(now)
	return r.retryStorage(now)
}

// updateRole records new heartbeat rounds and handles the start or end of this
// replica's leadership.
func (r *Replica) updateRole(now time.Duration) {
	st := r.core.Status()
	r.rounds.record(r.core.Round(), now)
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
	r.failPending()
	r.leaseExtensions.reset(term != 0, now)
	r.term = term
	r.repair = repairState{}
	if term != 0 {
		r.lastTime = max(r.State().Time, r.newestCommandTime())
		event.Log(r.opts.Logger, event.ReplicaLeader, slog.Uint64("term", term))
	}
	r.publishView()
	r.notify()
}

// newestCommandTime returns the time of the newest command in the log, in Unix
// milliseconds, or 0 if the log contains no command.
func (r *Replica) newestCommandTime() int64 {
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
