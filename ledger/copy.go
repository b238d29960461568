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

// partBytes limits the size of the responses in one part of a full copy. It is
// well below the frame limit of the transport.
const (
	partBytes   = 1 << 20
	partEntries = 2000
	// fetchAttempts is how often a restarted primary asks an unreachable backup
	// for its copy.
	fetchAttempts = 5
	// copyBits is the number of low bits of a copy number that count the full
	// copies sent by one process.
	copyBits = 24
)

var (
	errNeedCopy = errors.New("backup lacks the bucket")
	errRefused  = errors.New("backup refused")
)

// copyToBackup sends a full copy of the bucket to the backup, if there is one,
// and then marks the bucket ready.
func (l *Ledger) copyToBackup(ctx context.Context, b *bucket, spec *state.LedgerBucket) error {
	now := l.opts.Clock.Now()
	b.mu.Lock()
	b.copyCount++
	// The high bits are the index of the registration, so that the numbers of
	// earlier processes are lower.
	number := l.registered.Load()<<copyBits + b.copyCount
	all, missing := b.sortedEntries(now), b.missingMillis(now)
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
			Copy: number, Part: part, Last: n == len(all), MissingMillis: missing,
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

// partLength returns the number of entries that fit into one part.
func partLength(all []entryCopy) int {
	var size int64
	for i := range all {
		size += all[i].Response.size()
		if i > 0 && (size > partBytes || i >= partEntries) {
			return i
		}
	}
	return len(all)
}

// replicate sends a message to the backup and checks the response.
func (l *Ledger) replicate(ctx context.Context, backup string, msg *replicateRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	response := new(replicateResponse)
	if err := l.opts.Peers.Call(ctx, backup, transport.KindLedgerReplicate, msg, response); err != nil {
		return steperr.Wrap(err, "copy ledger entries", backup)
	}
	switch {
	case response.OK:
		return nil
	case response.NeedCopy:
		return steperr.Wrap(errNeedCopy, "copy ledger entries", backup)
	}
	return steperr.Wrap(errRefused, "copy ledger entries: "+response.Reason, backup)
}

// handleReplicate stores entries as the backup of a bucket. It refuses a
// primary with a different epoch, which therefore can't grant any more claims.
func (l *Ledger) handleReplicate(ctx context.Context, from string, msg *replicateRequest) (*replicateResponse, error) {
	if msg.Bucket < 0 || msg.Bucket >= state.LedgerBuckets {
		return &replicateResponse{Reason: "no such bucket"}, nil
	}
	spec := l.awaitEpoch(ctx, msg.Bucket, msg.Epoch)
	if spec == nil || spec.Epoch != msg.Epoch || spec.Primary != from || spec.Backup != l.opts.Self {
		return &replicateResponse{Reason: "epoch or holders have changed"}, nil
	}
	l.syncBucket(ctx, spec)
	b := &l.buckets[msg.Bucket]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != msg.Epoch || b.role != roleBackup {
		return &replicateResponse{Reason: "epoch has changed"}, nil
	}
	now := l.opts.Clock.Now()
	if msg.Copy != 0 {
		return l.receivePart(b, msg, now), nil
	}
	if !b.complete {
		return &replicateResponse{NeedCopy: true}, nil
	}
	for i := range msg.Entries {
		l.merge(b, &msg.Entries[i], now)
	}
	return &replicateResponse{OK: true}, nil
}

// receivePart collects the parts of a full copy; b.mu is held. The existing
// entries stay until the copy is complete.
func (l *Ledger) receivePart(b *bucket, msg *replicateRequest, now time.Time) *replicateResponse {
	if msg.Part == 0 && (b.staged == nil || msg.Copy > b.staged.number) {
		b.staged = &stagedCopy{number: msg.Copy}
	}
	st := b.staged
	if st == nil || st.number != msg.Copy || st.next != msg.Part {
		return &replicateResponse{Reason: "part of a copy is out of order"}
	}
	st.next++
	st.entries = append(st.entries, msg.Entries...)
	if msg.Last {
		l.replaceEntries(b, st.entries, msg.MissingMillis, now)
		st.entries = nil
	}
	return &replicateResponse{OK: true}
}

// replaceEntries replaces the content of a bucket; b.mu is held.
func (l *Ledger) replaceEntries(b *bucket, entries []entryCopy, missingMillis int64, now time.Time) {
	l.clear(b)
	slices.SortFunc(entries, func(x, y entryCopy) int { return int(y.AgeMillis - x.AgeMillis) })
	for i := range entries {
		l.merge(b, &entries[i], now)
	}
	b.complete = true
	if missingMillis > 0 {
		b.missingUntil = now.Add(time.Duration(missingMillis) * time.Millisecond)
	}
}

// awaitEpoch returns the replicated state of a bucket. It waits up to
// epochTimeout for the state to reach the given epoch.
func (l *Ledger) awaitEpoch(ctx context.Context, number int, epoch uint64) *state.LedgerBucket {
	timer := time.NewTimer(epochTimeout)
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

// fetch replaces the entries of a restarted primary by the copy of the backup.
// It returns false if the backup has no complete copy or could not be reached.
func (l *Ledger) fetch(ctx context.Context, b *bucket, spec *state.LedgerBucket) bool {
	for range fetchAttempts {
		all, missing, err := l.fetchAll(ctx, spec)
		if err == nil {
			b.mu.Lock()
			defer b.mu.Unlock()
			if b.epoch == spec.Epoch && b.role == rolePrimary {
				l.replaceEntries(b, all, missing, l.opts.Clock.Now())
			}
			return true
		}
		if errors.Is(err, errNeedCopy) || !l.stillPrimary(b, spec.Epoch) {
			return false
		}
		sleep(ctx, l.opts.Clock, 4*retryDelay)
	}
	return false
}

func (l *Ledger) fetchAll(ctx context.Context, spec *state.LedgerBucket) ([]entryCopy, int64, error) {
	var all []entryCopy
	var after Key
	for {
		response := new(fetchResponse)
		msg := &fetchRequest{Bucket: spec.Number, Epoch: spec.Epoch, After: after}
		if err := l.callFetch(ctx, spec.Backup, msg, response); err != nil {
			return nil, 0, err
		}
		if !response.Complete {
			return nil, 0, errNeedCopy
		}
		all = append(all, response.Entries...)
		if !response.More || len(response.Entries) == 0 {
			return all, response.MissingMillis, nil
		}
		after = response.Entries[len(response.Entries)-1].Key
	}
}

func (l *Ledger) callFetch(ctx context.Context, backup string, msg *fetchRequest, response *fetchResponse) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.opts.Peers.Call(ctx, backup, transport.KindLedgerFetch, msg, response)
}

// handleFetch returns the entries of a bucket, as its backup, to the restarted
// primary.
func (l *Ledger) handleFetch(ctx context.Context, from string, msg *fetchRequest) (*fetchResponse, error) {
	if msg.Bucket < 0 || msg.Bucket >= state.LedgerBuckets {
		return &fetchResponse{}, nil
	}
	spec := l.awaitEpoch(ctx, msg.Bucket, msg.Epoch)
	if spec == nil || spec.Epoch != msg.Epoch || spec.Primary != from || spec.Backup != l.opts.Self {
		return nil, errRefused
	}
	l.syncBucket(ctx, spec)
	b := &l.buckets[msg.Bucket]
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.epoch != msg.Epoch || !b.complete {
		return &fetchResponse{}, nil
	}
	now := l.opts.Clock.Now()
	all := b.sortedEntries(now)
	start, _ := slices.BinarySearchFunc(all, msg.After, func(e entryCopy, k Key) int {
		if c := compareKeys(e.Key, k); c != 0 {
			return c
		}
		return -1 // the entry for the key itself was already sent
	})
	all = all[start:]
	n := partLength(all)
	return &fetchResponse{Complete: true, Entries: all[:n], More: n < len(all), MissingMillis: b.missingMillis(now)}, nil
}
