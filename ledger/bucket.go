package ledger

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// role is what an instance is to a bucket.
type role uint8

const (
	roleNone role = iota
	rolePrimary
	roleBackup
)

// entry is what is known of one request.
type entry struct {
	token    string
	digest   uint64
	phase    phase
	answer   *Answer
	sequence uint64
	changed  time.Time
	settled  chan struct{} // closed when phase leaves phaseClaimed
}

// bucket is this instance's copy of one bucket.
type bucket struct {
	mu    sync.Mutex
	role  role
	epoch uint64
	// complete is true if the copy holds every claim granted so far.
	complete bool
	// ready is true on a primary whose backup has a whole copy.
	ready    bool
	copying  bool
	sequence uint64
	copies   uint64
	entries  map[Key]*entry
	order    []aged // by time; an entry that changed later comes again
	answers  []Key  // keys with an answer, oldest first
	// unknownUntil ends the time in which entries may be missing.
	unknownUntil time.Time
	staged       *stagedCopy
}

type aged struct {
	key Key
	at  time.Time
}

// stagedCopy is a copy of the whole bucket that is being received.
type stagedCopy struct {
	number  uint64
	next    int
	entries []entryCopy
}

// put stores an entry and returns it; b.mu is held.
func (l *Ledger) put(b *bucket, k Key, e *entry) {
	if old := b.entries[k]; old != nil {
		l.answerBytes.Add(-old.answer.bytes())
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
	b.order = append(b.order, aged{k, e.changed})
	if e.answer != nil {
		l.answerBytes.Add(e.answer.bytes())
		b.answers = append(b.answers, k)
	}
	l.dropAnswers(b)
}

// dropAnswers keeps the memory of answers within its bound. Without its
// answer, a request that ran is answered unknown.
func (l *Ledger) dropAnswers(b *bucket) {
	for l.answerBytes.Load() > l.opts.MaxAnswerBytes && len(b.answers) > 0 {
		k := b.answers[0]
		b.answers = b.answers[1:]
		if e := b.entries[k]; e != nil && e.answer != nil {
			l.answerBytes.Add(-e.answer.bytes())
			stripped := *e
			stripped.answer = nil
			b.entries[k] = &stripped
		}
	}
}

// expire forgets entries whose retention has passed; b.mu is held.
func (l *Ledger) expire(b *bucket, now time.Time) {
	n := 0
	for n < len(b.order) && now.Sub(b.order[n].at) > l.opts.Retention {
		old := b.order[n]
		n++
		if e := b.entries[old.key]; e != nil && !e.changed.After(old.at) {
			l.forget(b, old.key, e)
		}
	}
	b.order = slices.Delete(b.order, 0, n)
}

func (l *Ledger) forget(b *bucket, k Key, e *entry) {
	delete(b.entries, k)
	l.entries.Add(-1)
	l.answerBytes.Add(-e.answer.bytes())
	if e.phase == phaseClaimed {
		close(e.settled)
	}
}

// clear drops all entries; b.mu is held.
func (l *Ledger) clear(b *bucket) {
	for k, e := range b.entries {
		l.forget(b, k, e)
	}
	b.entries, b.order, b.answers = nil, nil, nil
	b.complete = false
	b.unknownUntil = time.Time{}
}

// copyOf returns an entry as it is sent.
func copyOf(k Key, e *entry, now time.Time) entryCopy {
	return entryCopy{
		Key: k, Token: e.token, Digest: e.digest, Phase: e.phase, Answer: e.answer,
		Sequence: e.sequence, AgeMillis: now.Sub(e.changed).Milliseconds(),
	}
}

// merge takes an entry that the other holder sent, unless a later change of
// it is known; b.mu is held.
func (l *Ledger) merge(b *bucket, c *entryCopy, now time.Time) {
	if old := b.entries[c.Key]; old != nil && old.sequence >= c.Sequence {
		return
	}
	l.put(b, c.Key, &entry{
		token: c.Token, digest: c.Digest, phase: c.Phase, answer: c.Answer,
		sequence: c.Sequence, changed: now.Add(-time.Duration(c.AgeMillis) * time.Millisecond),
	})
}

// sorted returns all entries in the order of their keys; b.mu is held.
func (b *bucket) sorted(now time.Time) []entryCopy {
	all := make([]entryCopy, 0, len(b.entries))
	for k, e := range b.entries {
		all = append(all, copyOf(k, e, now))
	}
	slices.SortFunc(all, func(x, y entryCopy) int { return compareKeys(x.Key, y.Key) })
	return all
}

func compareKeys(x, y Key) int {
	return cmp.Or(cmp.Compare(x.Service, y.Service), cmp.Compare(x.RequestID, y.RequestID))
}

// unknownMillis returns for how long entries may still be missing; b.mu is
// held.
func (b *bucket) unknownMillis(now time.Time) int64 {
	return max(0, b.unknownUntil.Sub(now).Milliseconds())
}
