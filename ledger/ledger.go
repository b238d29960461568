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

// Defaults of the limits in Options, and times.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxEntries     = 100_000
	DefaultMaxAnswerBytes = 16 << 20
	expireInterval        = time.Second
	callTimeout           = time.Second
	retryPause            = 50 * time.Millisecond
	// epochWait is how long a backup waits until it has applied the epoch that
	// a primary names.
	epochWait = 500 * time.Millisecond
)

// Options are the settings and collaborators of a Ledger. Limits that are 0
// take their defaults.
type Options struct {
	Self  string
	Log   replica.Log
	Peers transport.Peers
	// Mux gets the handlers of the KindLedger messages.
	Mux        *transport.Mux
	Clock      clockwork.Clock
	Logger     *slog.Logger
	Registerer prometheus.Registerer

	// Retention is how long a request is remembered after its last change.
	Retention time.Duration
	// MaxEntries bounds the requests remembered by this instance; further
	// claims are refused.
	MaxEntries int64
	// MaxAnswerBytes bounds the memory of recorded answers. The oldest are
	// dropped, and a resend of their requests is answered unknown.
	MaxAnswerBytes int64
}

// Ledger keeps buckets of requests on this instance and claims requests in
// the buckets of all instances.
type Ledger struct {
	opts        Options
	buckets     [state.LedgerBuckets]bucket
	entries     atomic.Int64
	answerBytes atomic.Int64
	registered  atomic.Uint64
	wake        chan struct{}
	stopped     context.Context // ends with Run
	stop        context.CancelFunc
	background  sync.WaitGroup
	metrics     *metrics
}

// New returns a Ledger and registers its handlers.
func New(opts Options) *Ledger {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	opts.Retention = cmp.Or(opts.Retention, DefaultRetention)
	opts.MaxEntries = cmp.Or(opts.MaxEntries, DefaultMaxEntries)
	opts.MaxAnswerBytes = cmp.Or(opts.MaxAnswerBytes, DefaultMaxAnswerBytes)
	l := &Ledger{opts: opts, wake: make(chan struct{}, 1)}
	l.stopped, l.stop = context.WithCancel(context.Background())
	l.metrics = newMetrics(opts.Registerer, l)
	transport.OnCall(opts.Mux, transport.KindLedgerClaim, l.handleClaim)
	transport.OnCall(opts.Mux, transport.KindLedgerRecord, l.handleRecord)
	transport.OnCall(opts.Mux, transport.KindLedgerReplicate, l.handleReplicate)
	transport.OnCall(opts.Mux, transport.KindLedgerFetch, l.handleFetch)
	return l
}

// SetRegistered tells the log index at which this process registered its
// instance (the index in the result of RegisterInstance). Buckets that were
// given to the instance earlier were kept by an earlier process. Until it is
// called, the instance serves no bucket.
func (l *Ledger) SetRegistered(index uint64) {
	l.registered.Store(index)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run follows the holders of the buckets until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	ticker := l.opts.Clock.NewTicker(expireInterval)
	defer ticker.Stop()
	defer l.background.Wait()
	defer l.stop()
	for {
		changed := l.opts.Log.Changed()
		l.follow(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-l.wake:
		case <-ticker.Chan():
			l.tidy()
		}
	}
}

// tidy forgets old entries.
func (l *Ledger) tidy() {
	now := l.opts.Clock.Now()
	for i := range l.buckets {
		b := &l.buckets[i]
		b.mu.Lock()
		l.expire(b, now)
		b.mu.Unlock()
	}
}

// follow brings all buckets in line with the state.
func (l *Ledger) follow(ctx context.Context) {
	s := l.opts.Log.State()
	for i := range l.buckets {
		if spec, ok := s.Buckets.Get(state.BucketKey(i)); ok {
			l.followBucket(ctx, spec)
		}
	}
}

func (l *Ledger) followBucket(ctx context.Context, spec *state.LedgerBucket) {
	b := &l.buckets[spec.Number]
	b.mu.Lock()
	defer b.mu.Unlock()
	if spec.Epoch < b.epoch {
		return
	}
	next := l.roleIn(spec)
	if spec.Epoch != b.epoch {
		if !followed(b, spec, next) {
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
	if b.role == rolePrimary && !b.ready && !b.copying && l.registered.Load() != 0 {
		b.copying = true
		l.background.Go(func() { l.prepare(ctx, b, spec) })
	}
}

// followed reports whether no other instance can have granted claims that
// this copy lacks since the epoch that it reflects; b.mu is held.
func followed(b *bucket, spec *state.LedgerBucket, next role) bool {
	if spec.Previous == b.epoch {
		return true
	}
	return next == rolePrimary && b.epoch != 0 && b.epoch >= max(spec.First, spec.Inherited)
}

func (l *Ledger) roleIn(spec *state.LedgerBucket) role {
	switch l.opts.Self {
	case spec.Primary:
		return rolePrimary
	case spec.Backup:
		return roleBackup
	}
	return roleNone
}

// prepare makes this instance a primary that serves: it has a whole copy, or
// knows until when entries may be missing, and so has the backup.
func (l *Ledger) prepare(ctx context.Context, b *bucket, spec *state.LedgerBucket) {
	defer func() {
		b.mu.Lock()
		b.copying = false
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
		pause(ctx, l.opts.Clock, 4*retryPause)
	}
}

// complete makes the copy whole. The first primary starts empty. Otherwise a
// process that has no copy of its own takes that of the backup; without one,
// entries are missing for the retention time.
func (l *Ledger) complete(ctx context.Context, b *bucket, spec *state.LedgerBucket) {
	b.mu.Lock()
	whole := b.complete
	if !whole && spec.Inherited == 0 && spec.First > l.registered.Load() {
		b.complete, whole = true, true
	}
	b.mu.Unlock()
	if whole || (spec.Backup != "" && l.fetch(ctx, b, spec)) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != spec.Epoch || ctx.Err() != nil {
		return
	}
	b.complete = true
	b.unknownUntil = l.opts.Clock.Now().Add(l.opts.Retention)
	event.Log(l.opts.Logger, event.LedgerBucketLost, slog.Int("bucket", spec.Number))
}

func (l *Ledger) stillPrimary(b *bucket, epoch uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.role == rolePrimary && b.epoch == epoch
}

func pause(ctx context.Context, clock clockwork.Clock, d time.Duration) {
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.Chan():
	}
}

// AnswerBytes returns the memory of the recorded answers.
func (l *Ledger) AnswerBytes() int64 { return l.answerBytes.Load() }
