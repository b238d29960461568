package ledger

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

// partBytes bounds the answers in one part of a copy. It is well below the
// frame limit of the transport.
const (
	partBytes   = 1 << 20
	partEntries = 2000
	// fetchAttempts bounds how often a backup that can't be reached is asked
	// for its copy after a restart.
	fetchAttempts = 5
	// copyBits is the part of the number of a copy that counts the copies of
	// one process.
	copyBits = 24
)

var (
	errNeedCopy = errors.New("backup lacks the bucket")
	errRefused  = errors.New("backup refused")
)

// copyToBackup sends the whole bucket to the backup and then serves it.
func (l *Ledger) copyToBackup(ctx context.Context, b *bucket, spec *state.LedgerBucket) error {
	now := l.opts.Clock.Now()
	b.mu.Lock()
	b.copies++
	// The numbers of copies of an earlier process are lower.
	number := l.registered.Load()<<copyBits + b.copies
	all, missing := b.sorted(now), b.unknownMillis(now)
	b.mu.Unlock()
	if spec.Backup != "" {
		if err := l.sendParts(ctx, spec, number, all, missing); err != nil {
			return err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch == spec.Epoch && b.role == rolePrimary {
		b.ready = true
		event.Log(l.opts.Logger, event.LedgerBucketReady, slog.Int("bucket", spec.Number), slog.Uint64("epoch", spec.Epoch))
	}
	return nil
}

func (l *Ledger) sendParts(ctx context.Context, spec *state.LedgerBucket, number uint64, all []entryCopy, missing int64) error {
	for part := 0; ; part++ {
		n := partLength(all)
		msg := &replicateRequest{
			Bucket: spec.Number, Epoch: spec.Epoch, Entries: all[:n],
			Copy: number, Part: part, Last: n == len(all), UnknownMillis: missing,
		}
		if err := l.replicate(ctx, spec.Backup, msg); err != nil {
			return err
		}
		if msg.Last {
			return nil
		}
		all = all[n:]
	}
}

// partLength returns how many entries go into one part.
func partLength(all []entryCopy) int {
	var bytes int64
	for i := range all {
		bytes += all[i].Answer.bytes()
		if i > 0 && (bytes > partBytes || i >= partEntries) {
			return i
		}
	}
	return len(all)
}

// replicate sends a message to the backup and checks its answer.
func (l *Ledger) replicate(ctx context.Context, backup string, msg *replicateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answer := new(replicateAnswer)
	if err := l.opts.Peers.Call(ctx, backup, transport.KindLedgerReplicate, msg, answer); err != nil {
		return steperr.Wrap(err, "copy ledger entries", backup)
	}
	switch {
	case answer.OK:
		return nil
	case answer.NeedCopy:
		return steperr.Wrap(errNeedCopy, "copy ledger entries", backup)
	}
	return steperr.Wrap(errRefused, "copy ledger entries: "+answer.Reason, backup)
}

// handleReplicate takes entries as the backup of a bucket. A primary of
// another epoch is refused, so that it can't grant claims any more.
func (l *Ledger) handleReplicate(ctx context.Context, from string, msg *replicateRequest) (*replicateAnswer, error) {
	if msg.Bucket < 0 || msg.Bucket >= state.LedgerBuckets {
		return &replicateAnswer{Reason: "no such bucket"}, nil
	}
	spec := l.awaitEpoch(ctx, msg.Bucket, msg.Epoch)
	if spec == nil || spec.Epoch != msg.Epoch || spec.Primary != from || spec.Backup != l.opts.Self {
		return &replicateAnswer{Reason: "epoch or holders have changed"}, nil
	}
	l.followBucket(ctx, spec)
	b := &l.buckets[msg.Bucket]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != msg.Epoch || b.role != roleBackup {
		return &replicateAnswer{Reason: "epoch has changed"}, nil
	}
	now := l.opts.Clock.Now()
	if msg.Copy != 0 {
		return l.takePart(b, msg, now), nil
	}
	if !b.complete {
		return &replicateAnswer{NeedCopy: true}, nil
	}
	for i := range msg.Entries {
		l.merge(b, &msg.Entries[i], now)
	}
	return &replicateAnswer{OK: true}, nil
}

// takePart collects the parts of a whole copy; b.mu is held. The entries held
// so far stay until the copy is whole.
func (l *Ledger) takePart(b *bucket, msg *replicateRequest, now time.Time) *replicateAnswer {
	if msg.Part == 0 && (b.staged == nil || msg.Copy > b.staged.number) {
		b.staged = &stagedCopy{number: msg.Copy}
	}
	st := b.staged
	if st == nil || st.number != msg.Copy || st.next != msg.Part {
		return &replicateAnswer{Reason: "part of a copy is out of order"}
	}
	st.next++
	st.entries = append(st.entries, msg.Entries...)
	if msg.Last {
		l.install(b, st.entries, msg.UnknownMillis, now)
		st.entries = nil
	}
	return &replicateAnswer{OK: true}
}

// install replaces the content of a bucket; b.mu is held.
func (l *Ledger) install(b *bucket, entries []entryCopy, unknownMillis int64, now time.Time) {
	l.clear(b)
	slices.SortFunc(entries, func(x, y entryCopy) int { return int(y.AgeMillis - x.AgeMillis) })
	for i := range entries {
		l.merge(b, &entries[i], now)
	}
	b.complete = true
	if unknownMillis > 0 {
		b.unknownUntil = now.Add(time.Duration(unknownMillis) * time.Millisecond)
	}
}

// awaitEpoch returns the holders of a bucket, after waiting a short while for
// the state to reach an epoch.
func (l *Ledger) awaitEpoch(ctx context.Context, number int, epoch uint64) *state.LedgerBucket {
	timer := time.NewTimer(epochWait)
	defer timer.Stop()
	for {
		changed := l.opts.Log.Changed()
		spec, _ := l.opts.Log.State().Buckets.Get(state.BucketKey(number))
		if spec != nil && spec.Epoch >= epoch {
			return spec
		}
		select {
		case <-changed:
		case <-timer.C:
			return spec
		case <-ctx.Done():
			return spec
		}
	}
}

// fetch takes the copy of the backup after a restart of the primary, and
// reports whether the backup had a whole one.
func (l *Ledger) fetch(ctx context.Context, b *bucket, spec *state.LedgerBucket) bool {
	for range fetchAttempts {
		all, missing, err := l.fetchAll(ctx, spec)
		if err == nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.epoch == spec.Epoch && b.role == rolePrimary {
				l.install(b, all, missing, l.opts.Clock.Now())
			}
			return true
		}
		if errors.Is(err, errNeedCopy) || !l.stillPrimary(b, spec.Epoch) {
			return false
		}
		pause(ctx, l.opts.Clock, 4*retryPause)
	}
	return false
}

func (l *Ledger) fetchAll(ctx context.Context, spec *state.LedgerBucket) ([]entryCopy, int64, error) {
	var all []entryCopy
	var after Key
	for {
		answer := new(fetchAnswer)
		msg := &fetchRequest{Bucket: spec.Number, Epoch: spec.Epoch, After: after}
		if err := l.callFetch(ctx, spec.Backup, msg, answer); err != nil {
			return nil, 0, err
		}
		if !answer.Complete {
			return nil, 0, errNeedCopy
		}
		all = append(all, answer.Entries...)
		if !answer.More || len(answer.Entries) == 0 {
			return all, answer.UnknownMillis, nil
		}
		after = answer.Entries[len(answer.Entries)-1].Key
	}
}

func (l *Ledger) callFetch(ctx context.Context, backup string, msg *fetchRequest, answer *fetchAnswer) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.opts.Peers.Call(ctx, backup, transport.KindLedgerFetch, msg, answer)
}

// handleFetch gives the entries of a bucket to its restarted primary.
func (l *Ledger) handleFetch(ctx context.Context, from string, msg *fetchRequest) (*fetchAnswer, error) {
	if msg.Bucket < 0 || msg.Bucket >= state.LedgerBuckets {
		return &fetchAnswer{}, nil
	}
	spec := l.awaitEpoch(ctx, msg.Bucket, msg.Epoch)
	if spec == nil || spec.Epoch != msg.Epoch || spec.Primary != from || spec.Backup != l.opts.Self {
		return nil, errRefused
	}
	l.followBucket(ctx, spec)
	b := &l.buckets[msg.Bucket]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != msg.Epoch || !b.complete {
		return &fetchAnswer{}, nil
	}
	now := l.opts.Clock.Now()
	all := b.sorted(now)
	from0, _ := slices.BinarySearchFunc(all, msg.After, func(e entryCopy, k Key) int {
		if c := compareKeys(e.Key, k); c != 0 {
			return c
		}
		return -1 // the key itself was sent already
	})
	all = all[from0:]
	n := partLength(all)
	return &fetchAnswer{Complete: true, Entries: all[:n], More: n < len(all), UnknownMillis: b.unknownMillis(now)}, nil
}
