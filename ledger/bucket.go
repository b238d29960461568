package ledger

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// role is the role of this instance for a bucket.
type role uint8

const (
	roleNone role = iota
	rolePrimary
	roleBackup
)

// entry is the record of one request.
type entry struct {
	token     string
	digest    uint64
	phase     phase
	response  *Response
	sequence  uint64
	updatedAt time.Time
	settled   chan struct{} // closed when phase changes from phaseClaimed or the entry is deleted
}

// bucket is this instance's copy of one ledger bucket.
type bucket struct {
	mu    sync.Mutex
	role  role
	epoch uint64
	// complete is true if the copy contains every claim granted so far, except
	// for entries that may be missing until missingUntil.
	complete bool
	// ready is true on a primary that serves the bucket: its copy is complete
	// and the backup, if any, has a full copy.
	ready        bool
	preparing    bool
	sequence     uint64
	copyCount    uint64
	entries      map[Key]*entry
	expiryQueue  []expiryRecord // ordered by time of the last update; an entry is appended again on each update
	responseKeys []Key          // keys of entries with a response, oldest first
	// missingUntil is the time from which no unexpired entry can be missing. It
	// is set after both copies were lost.
	missingUntil time.Time
	staged       *stagedCopy
}

type expiryRecord struct {
	key Key
	at  time.Time
}

// stagedCopy is a full copy of the bucket that is being received in parts.
type stagedCopy struct {
	number  uint64
	next    int
	entries []entryCopy
}

// storeEntry adds or replaces an entry; b.mu is held.
func (l *Ledger) storeEntry(b *bucket, k Key, e *entry) {
	if old := b.entries[k]; old != nil {
		l.responseBytes.Add(-old.response.size())
		if old.phase == phaseClaimed {
			close(old.settled)
		}
	} else {
		l.entries.Add(1)
	}
	if e.phase == phaseClaimed {
		e.settled = make(chan struct{})
	}
	if b.entries == nil {
		b.entries = make(map[Key]*entry)
	}
	b.entries[k] = e
	b.sequence = max(b.sequence, e.sequence)
	b.expiryQueue = append(b.expiryQueue, expiryRecord{k, e.updatedAt})
	if e.response != nil {
		l.responseBytes.Add(e.response.size())
		b.responseKeys = append(b.responseKeys, k)
	}
	l.evictResponses(b)
}

// evictResponses deletes the oldest responses of the bucket while the ledger
// exceeds MaxResponseBytes. A resend of a request that ran, but whose response
// was deleted, gets VerdictUnknown.
func (l *Ledger) evictResponses(b *bucket) {
	for l.responseBytes.Load() > l.opts.MaxResponseBytes && len(b.responseKeys) > 0 {
		k := b.responseKeys[0]
		b.responseKeys = b.responseKeys[1:]
		if e := b.entries[k]; e != nil && e.response != nil {
			l.responseBytes.Add(-e.response.size())
			stripped := *e
			stripped.response = nil
			b.entries[k] = &stripped
		}
	}
}

// expire deletes the entries whose retention has passed; b.mu is held.
func (l *Ledger) expire(b *bucket, now time.Time) {
	n := 0
	for n < len(b.expiryQueue) && now.Sub(b.expiryQueue[n].at) > l.opts.Retention {
		old := b.expiryQueue[n]
		n++
		if e := b.entries[old.key]; e != nil && !e.updatedAt.After(old.at) {
			l.deleteEntry(b, old.key, e)
		}
	}
	b.expiryQueue = slices.Delete(b.expiryQueue, 0, n)
}

func (l *Ledger) deleteEntry(b *bucket, k Key, e *entry) {
	delete(b.entries, k)
	l.entries.Add(-1)
	l.responseBytes.Add(-e.response.size())
	if e.phase == phaseClaimed {
		close(e.settled)
	}
}

// clear deletes all entries; b.mu is held.
func (l *Ledger) clear(b *bucket) {
	for k, e := range b.entries {
		l.deleteEntry(b, k, e)
	}
	b.entries, b.expiryQueue, b.responseKeys = nil, nil, nil
	b.complete = false
	b.missingUntil = time.Time{}
}

// newEntryCopy converts an entry to its wire format.
func newEntryCopy(k Key, e *entry, now time.Time) entryCopy {
	return entryCopy{
		Key: k, Token: e.token, Digest: e.digest, Phase: e.phase, Response: e.response,
		Sequence: e.sequence, AgeMillis: now.Sub(e.updatedAt).Milliseconds(),
	}
}

// merge stores an entry received from the other replica of the bucket, unless
// the local entry has the same or a later sequence number; b.mu is held.
func (l *Ledger) merge(b *bucket, c *entryCopy, now time.Time) {
	if old := b.entries[c.Key]; old != nil && old.sequence >= c.Sequence {
		return
	}
	l.storeEntry(b, c.Key, &entry{
		token: c.Token, digest: c.Digest, phase: c.Phase, response: c.Response,
		sequence: c.Sequence, updatedAt: now.Add(-time.Duration(c.AgeMillis) * time.Millisecond),
	})
}

// sortedEntries returns all entries in wire format, sorted by key; b.mu is
// held.
func (b *bucket) sortedEntries(now time.Time) []entryCopy {
	all := make([]entryCopy, 0, len(b.entries))
	for k, e := range b.entries {
		all = append(all, newEntryCopy(k, e, now))
	}
	slices.SortFunc(all, func(x, y entryCopy) int { return compareKeys(x.Key, y.Key) })
	return all
}

func compareKeys(x, y Key) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.RequestID, y.RequestID))
}

// missingMillis returns for how many milliseconds entries may still be missing;
// b.mu is held.
func (b *bucket) missingMillis(now time.Time) int64 {
	return max(0, b.missingUntil.Sub(now).Milliseconds())
}
