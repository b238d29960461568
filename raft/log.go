package raft

import "slices"

// entryLog is the tail of the log, which is kept in memory.
type entryLog struct {
	base    Position // entries up to this position are available only in the snapshot
	entries []Entry  // entries[i].Index == base.Index+1+i
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// slice returns the entries in [lo, hi] that fit into maxBytes, at least one.
// The caller must not modify the slice.
func (l *entryLog) slice(lo, hi uint64, maxBytes int) []Entry {
	hi = min(hi, l.lastIndex())
	if lo > hi || lo <= l.base.Index {
		return nil
	}
	all := l.entries[lo-l.base.Index-1 : hi-l.base.Index]
	size := 0
	for i := range all {
		size += all[i].size()
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all[:len(all):len(all)]
}

// truncateAndAppend removes every entry from es[0].Index on and appends es.
// Slices returned earlier keep their content.
func (l *entryLog) truncateAndAppend(es []Entry) {
	keep := es[0].Index - l.base.Index - 1
	l.entries = append(l.entries[:keep:keep], es...)
}

// append adds an entry to the end of the log.
func (l *entryLog) append(e Entry) { l.entries = append(l.entries, e) }

// compact discards the entries up to index.
func (l *entryLog) compact(index uint64, members Membership) {
	term, ok := l.term(index)
	if !ok || index <= l.base.Index {
		return
	}
	l.entries = slices.Clone(l.entries[index-l.base.Index:])
	l.base = Position{Index: index, Term: term, Members: members}
}

// upToDate reports whether a log whose last entry has this index and term is at
// least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// membershipAt returns the membership in effect after the entry at index, and
// the index of the entry that set it.
func (l *entryLog) membershipAt(index uint64) (Membership, uint64) {
	for i := min(index, l.lastIndex()); i > l.base.Index; i-- {
		if e := &l.entries[i-l.base.Index-1]; e.Type == EntryMembership {
			return *e.Members, e.Index
		}
	}
	return l.base.Members, l.base.Index
}

// firstIndexOfTerm returns the first index of the consecutive known entries
// around index that have the same term.
func (l *entryLog) firstIndexOfTerm(index uint64) uint64 {
	term, ok := l.term(index)
	for ok && index > l.base.Index+1 {
		if t, known := l.term(index - 1); !known || t != term {
			break
		}
		index--
	}
	return index
}
