// Package wal implements a write-ahead log of records in segment files.
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

// DefaultSegmentBytes is the size at which the log starts a new segment.
const DefaultSegmentBytes = 16 << 20

const segmentSuffix = ".wal"

// recordRewrite is the type of the first record of a rewritten log. Earlier
// segments remain only after a crash and are not read.
const recordRewrite = 0xff

// recordSyncMark is the type of a record with an offset in its segment.
// Everything before the offset was synced before the record was written, so
// corruption there cannot result from a power failure.
const recordSyncMark = 0xfe

// ErrFailed is returned after a write or sync has failed. The content of the
// disk is then unknown, so the log accepts no more records. It is also returned
// after Close.
var ErrFailed = errors.New("log has failed earlier")

// CorruptionError reports data in a segment that are neither a valid record nor
// an incomplete last record.
type CorruptionError struct {
	File   string
	Offset int64 // in bytes
}

// Error implements error.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("log file %s is damaged at offset %d", e.File, e.Offset)
}

// Options configures a log.
type Options struct {
	Dir          string
	FS           disk.FS // nil for disk.OS
	SegmentBytes int64   // 0 for DefaultSegmentBytes
}

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	opts         Options
	file         disk.File
	segment      uint64 // number of the open segment
	firstSegment uint64 // number of the oldest segment
	size         int64  // of the open segment
	buf          []byte // encoded records that are not written yet
	dirty        bool   // there are written bytes that are not synced
	syncedSize   int64  // synced bytes of the open segment
	markedSize   int64  // bytes covered by the last recordSyncMark
	err          error
}

// Open reads all records in order, calls replay for each, and returns the log
// ready for appending. After a power failure, each write that was not synced
// may be present, torn or missing, in any combination. The last segment is
// therefore truncated at the first unreadable record, unless a later sync mark
// shows that this record was synced.
//
// The data of a record are valid only during the call of replay.
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
		l.firstSegment = 1
		err = l.createSegment(1)
	} else {
		l.firstSegment = segments[0]
		err = l.openSegment(segments[len(segments)-1])
	}
	if err != nil {
		if l.file != nil {
			err = errors.Join(err, l.file.Close())
		}
		return nil, err
	}
	return l, nil
}

// segments returns the numbers of the segments in order, and removes temporary
// files.
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
		if n, err := strconv.ParseUint(strings.TrimSuffix(name, segmentSuffix), 16, 64); err == nil && strings.HasSuffix(name, segmentSuffix) {
			found = append(found, n)
		}
	}
	found, err = l.removeSupersededSegments(found)
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

// removeSupersededSegments removes the segments before the last one that starts
// a rewritten log. They remain if a crash interrupted their removal.
func (l *Log) removeSupersededSegments(found []uint64) ([]uint64, error) {
	for i := len(found) - 1; i > 0; i-- {
		rewritten, err := l.startsWithRewrite(found[i])
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

func (l *Log) startsWithRewrite(n uint64) (bool, error) {
	f, err := l.opts.FS.Open(l.path(n))
	if err != nil {
		return false, steperr.Wrap(err, "open log file", l.path(n))
	}
	defer f.Close()
	var first [headerBytes + 1]byte
	if _, err := io.ReadFull(f, first[:]); err != nil {
		return false, nil // empty file or incomplete record
	}
	r, _, state := parseRecord(first[:])
	return state == parsed && r.Type == recordRewrite, nil
}

func (l *Log) path(n uint64) string {
	return filepath.Join(l.opts.Dir, fmt.Sprintf("%016x%s", n, segmentSuffix))
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
		case state != parsed && last && !syncedPast(data, at):
			return l.truncate(name, int64(at))
		case state != parsed:
			return steperr.Wrap(&CorruptionError{File: name, Offset: int64(at)}, "read log file", name)
		}
		at += size
		if r.Type == recordRewrite || r.Type == recordSyncMark {
			continue
		}
		if err := replay(r); err != nil {
			return steperr.Wrap(err, fmt.Sprintf("replay record before offset %d", at), name)
		}
	}
	l.size = int64(len(data))
	return nil
}

// syncedPast reports whether a sync mark after the offset covers the data at
// the offset.
func syncedPast(data []byte, at int) bool {
	for i := at + 1; i < len(data); i++ {
		r, _, state := parseRecord(data[i:])
		if state == parsed && r.Type == recordSyncMark && syncMarkOffset(r) > int64(at) {
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
	return steperr.Wrap(err, "truncate incomplete record", name)
}

// createSegment creates segment n and makes it the open segment.
func (l *Log) createSegment(n uint64) error {
	f, err := l.opts.FS.Create(l.path(n))
	if err != nil {
		return steperr.Wrap(err, "create log file", l.path(n))
	}
	l.file, l.segment, l.size, l.syncedSize, l.markedSize = f, n, 0, 0, 0
	return steperr.Wrap(l.opts.FS.SyncDir(l.opts.Dir), "sync log folder", l.opts.Dir)
}

func (l *Log) openSegment(n uint64) error {
	f, err := l.opts.FS.Append(l.path(n))
	if err != nil {
		return steperr.Wrap(err, "open log file", l.path(n))
	}
	l.file, l.segment = f, n
	// The replayed records may not be synced yet, but the caller relies on them
	// from here on.
	if err := f.Sync(); err != nil {
		return steperr.Wrap(err, "sync log file", l.path(n))
	}
	l.syncedSize, l.markedSize = l.size, 0
	return nil
}

// Append buffers a record until the next Flush or Sync.
func (l *Log) Append(r Record) { l.buf = appendRecord(l.buf, r) }

// Flush writes the buffered records without syncing them. They survive the end
// of the process but not a power failure.
func (l *Log) Flush() error {
	if l.err != nil {
		return ErrFailed
	}
	if len(l.buf) == 0 {
		return nil
	}
	if l.syncedSize > l.markedSize {
		l.buf = append(appendRecord(nil, newSyncMark(l.syncedSize)), l.buf...)
		l.markedSize = l.syncedSize
	}
	_, err := l.file.Write(l.buf)
	l.size += int64(len(l.buf))
	l.buf = l.buf[:0]
	l.dirty = true
	return l.setError(err, "write log file")
}

// Sync makes all appended records durable with a single sync.
func (l *Log) Sync() error {
	if err := l.Flush(); err != nil {
		return err
	}
	if !l.dirty {
		return nil
	}
	if err := l.setError(l.file.Sync(), "sync log file"); err != nil {
		return err
	}
	l.dirty, l.syncedSize = false, l.size
	if l.size < l.opts.SegmentBytes {
		return nil
	}
	return l.rotate()
}

// rotate starts a new segment. The open segment must be synced.
func (l *Log) rotate() error {
	if err := l.setError(l.file.Close(), "close log file"); err != nil {
		return err
	}
	return l.setError(l.createSegment(l.segment+1), "begin log file")
}

// Rewrite durably replaces the whole content of the log. After a crash the log
// contains either the old or the new content.
func (l *Log) Rewrite(records []Record) error {
	if err := l.Sync(); err != nil {
		return err
	}
	data := appendRecord(nil, Record{Type: recordRewrite})
	for _, r := range records {
		data = appendRecord(data, r)
	}
	next := l.segment + 1
	if err := l.setError(disk.WriteFile(l.opts.FS, l.path(next), data), "rewrite log"); err != nil {
		return err
	}
	if err := l.setError(l.file.Close(), "close log file"); err != nil {
		return err
	}
	l.size = int64(len(data))
	if err := l.setError(l.openSegment(next), "open log file"); err != nil {
		return err
	}
	return l.removeSegmentsBefore(next)
}

func (l *Log) removeSegmentsBefore(n uint64) error {
	for ; l.firstSegment < n; l.firstSegment++ {
		if err := l.setError(l.opts.FS.Remove(l.path(l.firstSegment)), "remove log file"); err != nil {
			return err
		}
	}
	return l.setError(l.opts.FS.SyncDir(l.opts.Dir), "sync log folder")
}

// setError stores an error, after which the log accepts no more records.
func (l *Log) setError(err error, step string) error {
	if err == nil {
		return nil
	}
	l.err = steperr.Wrap(err, step, l.path(l.segment))
	return l.err
}

// Close closes the open segment without syncing it. It writes a sync mark, so
// that later corruption can be distinguished from writes lost in a power
// failure.
func (l *Log) Close() error {
	if l.err == nil && l.syncedSize > l.markedSize {
		_, err := l.file.Write(appendRecord(nil, newSyncMark(l.syncedSize)))
		_ = l.setError(err, "write log file")
	}
	if l.err == nil {
		l.err = ErrFailed
	}
	return l.file.Close()
}
