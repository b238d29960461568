// Package wal is a write-ahead log of records in segment files.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"strconv"
	"strings"

	"apricotrouter/disk"
	"apricotrouter/steperr"
)

// DefaultSegmentBytes is the size from which a new segment is begun.
const DefaultSegmentBytes = 16 << 20

const suffix = ".wal"

// recordRewrite is the type of the record with which a rewritten log begins.
// Segments before it are left over from a crash and are not read.
const recordRewrite = 0xff

// recordSynced is the type of the record that says up to which offset of its
// segment everything was synced before it was written. Damage before that
// offset is not the work of a power failure.
const recordSynced = 0xfe

// ErrFailed is returned after a write or sync has failed. What is on disk is
// unknown then, so the log takes nothing more.
var ErrFailed = errors.New("log has failed earlier")

// DamageError says that a segment holds data that are neither a record nor an
// incomplete last record.
type DamageError struct {
	File   string
	Offset int64 // bytes
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("log file %s is damaged at offset %d", e.File, e.Offset)
}

// Options of a log.
type Options struct {
	Dir          string
	FS           disk.FS // nil for the operating system's
	SegmentBytes int64   // 0 for DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	opts    Options
	file    disk.File
	segment uint64 // number of the open segment
	first   uint64 // number of the oldest segment
	size    int64  // of the open segment
	buf     []byte // records that are not written yet
	dirty   bool   // written and not synced
	synced  int64  // bytes of the open segment that are synced
	marked  int64  // bytes that the last recordSynced covers
	err     error
}

// Open reads all records in order, calls replay for each, and returns the log
// ready to append. After a power failure each write that was not synced may be
// there, torn or missing, in any combination: the last segment is cut off at
// the first record that can't be read, unless a later one shows that it was
// synced.
// The data of a record are valid only during the call.
func Open(o Options, replay func(Record) error) (*Log, error) {
	if o.FS == nil {
		o.FS = disk.OS{}
	}
	if o.SegmentBytes == 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if err := o.FS.MkdirAll(o.Dir); err != nil {
		return nil, steperr.Wrap(err, "create log folder", o.Dir)
	}
	l := &Log{opts: o}
	segments, err := l.segments()
	if err != nil {
		return nil, err
	}
	for i, n := range segments {
		if err := l.replaySegment(n, i == len(segments)-1, replay); err != nil {
			return nil, err
		}
	}
	if len(segments) == 0 {
		l.first = 1
		return l, l.begin(1)
	}
	l.first = segments[0]
	return l, l.reopen(segments[len(segments)-1])
}

// segments returns the numbers of the segments and removes temporary files.
func (l *Log) segments() ([]uint64, error) {
	names, err := l.opts.FS.List(l.opts.Dir)
	if err != nil {
		return nil, steperr.Wrap(err, "list log folder", l.opts.Dir)
	}
	var found []uint64
	for _, name := range names {
		if strings.HasSuffix(name, disk.TempSuffix) {
			if err := l.opts.FS.Remove(filepath.Join(l.opts.Dir, name)); err != nil {
				return nil, steperr.Wrap(err, "remove temporary file", name)
			}
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64); err == nil && strings.HasSuffix(name, suffix) {
			found = append(found, n)
		}
	}
	found, err = l.dropRewritten(found)
	if err != nil {
		return nil, err
	}
	for i := 1; i < len(found); i++ {
		if found[i] != found[i-1]+1 {
			return nil, fmt.Errorf("log file %s is missing", l.path(found[i-1]+1))
		}
	}
	return found, nil
}

// dropRewritten removes the segments before the last one that begins a
// rewritten log. A crash may have come before all of them were removed.
func (l *Log) dropRewritten(found []uint64) ([]uint64, error) {
	for i := len(found) - 1; i > 0; i-- {
		rewritten, err := l.beginsRewrite(found[i])
		if err != nil {
			return nil, err
		}
		if !rewritten {
			continue
		}
		for _, n := range found[:i] {
			if err := l.opts.FS.Remove(l.path(n)); err != nil {
				return nil, steperr.Wrap(err, "remove log file", l.path(n))
			}
		}
		return found[i:], nil
	}
	return found, nil
}

func (l *Log) beginsRewrite(n uint64) (bool, error) {
	f, err := l.opts.FS.Open(l.path(n))
	if err != nil {
		return false, steperr.Wrap(err, "open log file", l.path(n))
	}
	defer f.Close()
	var first [headerBytes + 1]byte
	if _, err := io.ReadFull(f, first[:]); err != nil {
		return false, nil // empty, or an incomplete record
	}
	r, _, state := parseRecord(first[:])
	return state == parsed && r.Type == recordRewrite, nil
}

func (l *Log) path(n uint64) string {
	return filepath.Join(l.opts.Dir, fmt.Sprintf("%016x%s", n, suffix))
}

func (l *Log) replaySegment(n uint64, last bool, replay func(Record) error) error {
	name := l.path(n)
	data, err := disk.ReadFile(l.opts.FS, name)
	if err != nil {
		return steperr.Wrap(err, "read log file", name)
	}
	for at := 0; at < len(data); {
		r, size, state := parseRecord(data[at:])
		switch {
		case state != parsed && last && !syncedBeyond(data, at):
			return l.truncate(name, int64(at))
		case state != parsed:
			return steperr.Wrap(&DamageError{File: name, Offset: int64(at)}, "read log file", name)
		}
		at += size
		if r.Type == recordRewrite || r.Type == recordSynced {
			continue
		}
		if err := replay(r); err != nil {
			return steperr.Wrap(err, fmt.Sprintf("replay record before offset %d", at), name)
		}
	}
	l.size = int64(len(data))
	return nil
}

// syncedBeyond reports whether a record after the offset says that data at the
// offset were synced.
func syncedBeyond(data []byte, at int) bool {
	for i := at + 1; i < len(data); i++ {
		r, _, state := parseRecord(data[i:])
		if state == parsed && r.Type == recordSynced && syncedOffset(r) > int64(at) {
			return true
		}
	}
	return false
}

func (l *Log) truncate(name string, size int64) error {
	f, err := l.opts.FS.Append(name)
	if err != nil {
		return steperr.Wrap(err, "open log file", name)
	}
	err = f.Truncate(size)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	l.size = size
	return steperr.Wrap(err, "cut off incomplete record", name)
}

// begin creates segment n and makes it the open one.
func (l *Log) begin(n uint64) error {
	f, err := l.opts.FS.Create(l.path(n))
	if err != nil {
		return steperr.Wrap(err, "create log file", l.path(n))
	}
	l.file, l.segment, l.size, l.synced, l.marked = f, n, 0, 0, 0
	return steperr.Wrap(l.opts.FS.SyncDir(l.opts.Dir), "sync log folder", l.opts.Dir)
}

func (l *Log) reopen(n uint64) error {
	f, err := l.opts.FS.Append(l.path(n))
	if err != nil {
		return steperr.Wrap(err, "open log file", l.path(n))
	}
	l.file, l.segment = f, n
	// What was read may not be synced yet, and is relied on from now on.
	if err := f.Sync(); err != nil {
		return steperr.Wrap(err, "sync log file", l.path(n))
	}
	l.synced, l.marked = l.size, 0
	return nil
}

// Append buffers a record for the next Flush or Sync.
func (l *Log) Append(r Record) { l.buf = appendRecord(l.buf, r) }

// Flush writes the buffered records without syncing them: they survive the
// end of the process, but not a power failure.
func (l *Log) Flush() error {
	if l.err != nil {
		return ErrFailed
	}
	if len(l.buf) == 0 {
		return nil
	}
	if l.synced > l.marked {
		l.buf = append(appendRecord(nil, syncedRecord(l.synced)), l.buf...)
		l.marked = l.synced
	}
	_, err := l.file.Write(l.buf)
	l.size += int64(len(l.buf))
	l.buf = l.buf[:0]
	l.dirty = true
	return l.fail(err, "write log file")
}

// Sync makes all appended records durable, with one sync for all.
func (l *Log) Sync() error {
	if err := l.Flush(); err != nil {
		return err
	}
	if !l.dirty {
		return nil
	}
	if err := l.fail(l.file.Sync(), "sync log file"); err != nil {
		return err
	}
	l.dirty, l.synced = false, l.size
	if l.size < l.opts.SegmentBytes {
		return nil
	}
	return l.rotate()
}

// rotate begins a new segment. The open one is synced.
func (l *Log) rotate() error {
	if err := l.fail(l.file.Close(), "close log file"); err != nil {
		return err
	}
	return l.fail(l.begin(l.segment+1), "begin log file")
}

// Rewrite replaces the whole content of the log by records, durably. After a
// crash the log holds either the old or the new content.
func (l *Log) Rewrite(records []Record) error {
	if err := l.Sync(); err != nil {
		return err
	}
	data := appendRecord(nil, Record{Type: recordRewrite})
	for _, r := range records {
		data = appendRecord(data, r)
	}
	next := l.segment + 1
	if err := l.fail(disk.WriteFile(l.opts.FS, l.path(next), data), "rewrite log"); err != nil {
		return err
	}
	if err := l.fail(l.file.Close(), "close log file"); err != nil {
		return err
	}
	l.size = int64(len(data))
	if err := l.fail(l.reopen(next), "open log file"); err != nil {
		return err
	}
	return l.removeBefore(next)
}

func (l *Log) removeBefore(n uint64) error {
	for ; l.first < n; l.first++ {
		if err := l.fail(l.opts.FS.Remove(l.path(l.first)), "remove log file"); err != nil {
			return err
		}
	}
	return l.fail(l.opts.FS.SyncDir(l.opts.Dir), "sync log folder")
}

// fail keeps the first error, after which the log takes nothing more.
func (l *Log) fail(err error, step string) error {
	if err == nil {
		return nil
	}
	l.err = steperr.Wrap(err, step, l.path(l.segment))
	return l.err
}

// Close closes the open segment without syncing it. It notes what was synced,
// so that later damage is told from writes that a power failure lost.
func (l *Log) Close() error {
	if l.err == nil && l.synced > l.marked {
		_, err := l.file.Write(appendRecord(nil, syncedRecord(l.synced)))
		_ = l.fail(err, "write log file")
	}
	if l.err == nil {
		l.err = ErrFailed
	}
	return l.file.Close()
}
