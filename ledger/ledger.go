package ledger

import (
	"cmp"
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"apricotrouter/event"
	"apricotrouter/replica"
	"apricotrouter/state"
	"apricotrouter/transport"
)

// Defaults of the limits in Options, and internal intervals and timeouts.
const (
	DefaultRetention        = 10 * time.Minute
	DefaultMaxEntries       = 100_000
	DefaultMaxResponseBytes = 16 << 20
	expireInterval          = time.Second
	callTimeout             = time.Second
	retryDelay              = 50 * time.Millisecond
	// epochTimeout is how long an instance waits to apply the epoch that a
	// caller or primary sent.
	epochTimeout = 500 * time.Millisecond
)

// Options configures a Ledger. Limits that are 0 take their defaults.
type Options struct {
	Self  string
	Log   replica.Log
	Peers transport.Peers
	// Mux receives the handlers of the KindLedger messages.
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer

	// Retention is how long an entry is kept after its last update.
	Retention time.Duration
	// MaxEntries limits the number of entries on this instance. Further claims
	// are refused.
	MaxEntries int64
	// MaxResponseBytes limits the memory of recorded responses, in bytes. The
	// oldest are deleted, and a resend of their requests gets VerdictUnknown.
	MaxResponseBytes int64
}

// Ledger stores the buckets for which this instance is primary or backup, and
// claims requests in the buckets of all instances.
type Ledger struct {
	opts          Options
	buckets       [state.LedgerBuckets]bucket
	entries       atomic.Int64
	responseBytes atomic.Int64
	registered    atomic.Uint64
	wake          chan struct{}
	stopped       context.Context // canceled when Run returns
	stop          context.CancelFunc
	background    sync.WaitGroup
	metrics       *metrics
}

// New returns a Ledger and registers its handlers.
func New(opts Options) *Ledger {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	opts.Retention = cmp.Or(opts.Retention, DefaultRetention)
	opts.MaxEntries = cmp.Or(opts.MaxEntries, DefaultMaxEntries)
	opts.MaxResponseBytes = cmp.Or(opts.MaxResponseBytes, DefaultMaxResponseBytes)
	l := &Ledger{opts: opts, wake: make(chan struct{}, 1)}
	l.stopped, l.stop = context.WithCancel(context.Background())
	l.metrics = newMetrics(opts.Registerer, l)
	transport.OnCall(opts.Mux, transport.KindLedgerClaim, l.handleClaim)
	transport.OnCall(opts.Mux, transport.KindLedgerRecord, l.handleRecord)
	transport.OnCall(opts.Mux, transport.KindLedgerReplicate, l.handleReplicate)
	transport.OnCall(opts.Mux, transport.KindLedgerFetch, l.handleFetch)
	return l
}

// SetRegistrationIndex sets the log index at which this process registered its
// instance (the index in the result of RegisterInstance). Buckets that were
// assigned to the instance before that index were kept by an earlier process.
// Until SetRegistrationIndex is called, the instance serves no bucket.
func (l *Ledger) SetRegistrationIndex(index uint64) {
	l.registered.Store(index)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run applies changes of the buckets' primaries and backups, and expires
// entries, until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := l.opts.Clock.NewTicker(expireInterval)
	defer ticker.Stop()
	defer l.background.Wait()
	defer l.stop()
	for {
		changed := l.opts.Log.Changed()
		l.syncBuckets(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-l.wake:
		case <-ticker.Chan():
			l.expireAll()
		}
	}
}

// expireAll deletes expired entries of all buckets.
func (l *Ledger) expireAll() {
	now := l.opts.Clock.Now()
	for i := range l.buckets {
		b := &l.buckets[i]
		b.mu.Lock()
		l.expire(b, now)
		b.mu.Unlock()
	}
}

// syncBuckets updates the roles and epochs of all buckets from the replicated
// state.
func (l *Ledger) syncBuckets(ctx context.Context) {
	s := l.opts.Log.State()
	for i := range l.buckets {
		if spec, ok := s.Buckets.Get(state.BucketKey(i)); ok {
			l.syncBucket(ctx, spec)
		}
	}
}

func (l *Ledger) syncBucket(ctx context.Context, spec *state.LedgerBucket) {
	b := &l.buckets[spec.Number]
	b.mu.Lock()
	defer b.mu.Unlock()
	if spec.Epoch < b.epoch {
		return
	}
	next := l.roleFor(spec)
	if spec.Epoch != b.epoch {
		if !copyIsCurrent(b, spec, next) {
			l.clear(b)
		}
		b.epoch = spec.Epoch
		b.ready = false
		b.staged = nil
		b.role = next
		if next == roleNone {
			l.clear(b)
		}
	}
	if b.role == rolePrimary && !b.ready && !b.preparing && l.registered.Load() != 0 {
		b.preparing = true
		l.background.Go(func() { l.preparePrimary(ctx, b, spec) })
	}
}

// copyIsCurrent reports whether the local copy can be kept in the epoch of
// spec: since the epoch of the copy, no other instance can have granted claims
// that it lacks; b.mu is held.
func copyIsCurrent(b *bucket, spec *state.LedgerBucket, next role) bool {
	if spec.PreviousEpoch == b.epoch {
		return true
	}
	return next == rolePrimary && b.epoch != 0 && b.epoch >= max(spec.FirstEpoch, spec.InheritedEpoch)
}

func (l *Ledger) roleFor(spec *state.LedgerBucket) role {
	switch l.opts.Self {
	case spec.Primary:
		return rolePrimary
	case spec.Backup:
		return roleBackup
	}
	return roleNone
}

// preparePrimary brings this instance, as a new or restarted primary, to the
// point where it serves the bucket: its copy is complete, or it is known until
// when entries may be missing, and the backup has the same copy.
func (l *Ledger) preparePrimary(ctx context.Context, b *bucket, spec *state.LedgerBucket) {
	defer func() {
		b.mu.Lock()
		b.preparing = false
		b.mu.Unlock()
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}()
	l.complete(ctx, b, spec)
	for ctx.Err() == nil && l.stillPrimary(b, spec.Epoch) {
		err := l.copyToBackup(ctx, b, spec)
		if err == nil {
			return
		}
		event.Log(l.opts.Logger, event.LedgerCopyFailed, slog.Int("bucket", spec.Number), slog.Any("error", err))
		sleep(ctx, l.opts.Clock, 4*retryDelay)
	}
}

// complete completes the copy of a primary. The first primary of a bucket
// starts with an empty copy. Otherwise, a process without a copy fetches that
// of the backup. If the backup has none, entries may be missing for the
// retention time.
func (l *Ledger) complete(ctx context.Context, b *bucket, spec *state.LedgerBucket) {
	b.mu.Lock()
	done := b.complete
	if !done && spec.InheritedEpoch == 0 && spec.FirstEpoch > l.registered.Load() {
		b.complete, done = true, true
	}
	b.mu.Unlock()
	if done || (spec.Backup != "" && l.fetch(ctx, b, spec)) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != spec.Epoch || ctx.Err() != nil {
		return
	}
	b.complete = true
	b.missingUntil = l.opts.Clock.Now().Add(l.opts.Retention)
	event.Log(l.opts.Logger, event.LedgerBucketLost, slog.Int("bucket", spec.Number))
}

func (l *Ledger) stillPrimary(b *bucket, epoch uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.role == rolePrimary && b.epoch == epoch
}

func sleep(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// ResponseBytes returns the memory of the recorded responses, in bytes.
func (l *Ledger) ResponseBytes() int64 { return l.responseBytes.Load() }
