package replica

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/disk"
	"apricotrouter/raft"
	"apricotrouter/snap"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/wal"
)

// Types of records in the log file. The numbers are part of the file format.
const (
	recordEntry uint8 = iota + 1
	recordHardState
	recordCommit
	recordBase // the log restarts after this position
)

// Names of files and directories in the data directory.
const (
	identityFile = "identity"
	snapshotFile = "snapshot"
	walDir       = "wal"
)

// identity is the replica and the group to which a data directory belongs.
type identity struct {
	Replica raft.ID `cbor:"1,keyasint"`
	Group   string  `cbor:"2,keyasint,omitempty"`
	// FormingGroup is the id of the group that this replica has started to form.
	FormingGroup string `cbor:"3,keyasint,omitempty"`
}

// snapshotRecord is the content of a snapshot file and of a transfer.
type snapshotRecord struct {
	Position raft.Position `cbor:"1,keyasint"`
	State    []byte        `cbor:"2,keyasint"`
}

// recoveredState is the content of a data directory at the start.
type recoveredState struct {
	hard    raft.HardState
	base    raft.Position
	entries []raft.Entry
	commit  uint64
	state   *state.State
}

// storage persists a replica's identity, log and snapshot. A nil storage
// belongs to a replica without a disk: it stores nothing and never fails.
type storage struct {
	fs            disk.FS
	dir           string
	wal           *wal.Log
	writtenCommit uint64 // last commit index written to the log

	snapMu   sync.Mutex
	snapshot uint64 // index of the last saved snapshot
}

func newReplicaID() raft.ID {
	var b [8]byte
	for {
		// rand.Read does not return an error; it ends the process on failure.
		_, _ = rand.Read(b[:])
		if id := raft.ID(binary.LittleEndian.Uint64(b[:])); id != raft.None {
			return id
		}
	}
}

// openStorage opens a data directory. A new or wiped directory gets a new
// replica id.
func openStorage(fs disk.FS, dir string) (*storage, identity, recoveredState, error) {
	st := &storage{fs: fs, dir: dir}
	if err := fs.MkdirAll(dir); err != nil {
		return nil, identity{}, recoveredState{}, steperr.Wrap(err, "create data folder", dir)
	}
	id, err := st.loadIdentity()
	if err != nil {
		return nil, identity{}, recoveredState{}, err
	}
	rec, err := st.load()
	if err == nil {
		err = st.syncDir()
	}
	if err != nil {
		return nil, identity{}, recoveredState{}, errors.Join(err, st.close())
	}
	return st, id, rec, nil
}

func (st *storage) loadIdentity() (identity, error) {
	data, err := snap.Load(st.fs, st.path(identityFile))
	if err != nil {
		return identity{}, err
	}
	if data == nil {
		return st.createIdentity()
	}
	var id identity
	if err := cbor.Unmarshal(data, &id); err != nil {
		return identity{}, steperr.Wrap(err, "decode identity", st.path(identityFile))
	}
	return id, nil
}

// createIdentity creates an identity for an empty data directory. It rejects a
// directory that has a log or a snapshot: without the identity of these files,
// the replica could vote twice in a term.
func (st *storage) createIdentity() (identity, error) {
	names, err := st.fs.List(st.dir)
	if err != nil {
		return identity{}, steperr.Wrap(err, "list data folder", st.dir)
	}
	for _, name := range names {
		if name == snapshotFile || name == walDir {
			return identity{}, fmt.Errorf("data folder %s has %s but no %s", st.dir, name, identityFile)
		}
	}
	id := identity{Replica: newReplicaID()}
	return id, st.saveIdentity(id)
}

func (st *storage) saveIdentity(id identity) error {
	if st == nil {
		return nil
	}
	data, err := cbor.Marshal(id)
	if err != nil {
		return err
	}
	return snap.Save(st.fs, st.path(identityFile), data)
}

func (st *storage) path(name string) string { return filepath.Join(st.dir, name) }

// load reads the snapshot and the log.
func (st *storage) load() (recoveredState, error) {
	rec := recoveredState{state: state.New()}
	snapshot, err := st.loadSnapshot()
	if err != nil {
		return rec, err
	}
	log, err := wal.Open(wal.Options{Dir: st.path(walDir), FS: st.fs}, rec.replay)
	if err != nil {
		return rec, err
	}
	st.wal = log
	if snapshot == nil && rec.base.Index > 0 {
		return rec, fmt.Errorf("log in %s starts at %d, but there is no snapshot", st.dir, rec.base.Index)
	}
	if snapshot == nil {
		return rec, nil
	}
	if rec.base.Index > snapshot.Position.Index {
		return rec, fmt.Errorf("log in %s starts at %d, after the snapshot at %d",
			st.dir, rec.base.Index, snapshot.Position.Index)
	}
	rec.state, err = state.DecodeSnapshot(snapshot.State)
	if err != nil {
		return rec, steperr.Wrap(err, "decode snapshot", st.path(snapshotFile))
	}
	st.snapshot = snapshot.Position.Index
	if rec.alignWithSnapshot(snapshot.Position) {
		return rec, st.restartLog(snapshot.Position)
	}
	return rec, nil
}

// restartLog records that the entries in the log file are discarded and that
// the next one follows the position of the snapshot.
func (st *storage) restartLog(base raft.Position) error {
	if err := st.syncDir(); err != nil {
		return err
	}
	if err := st.append(recordBase, base); err != nil {
		return err
	}
	return st.sync()
}

// syncDir makes the names of the identity, the snapshot and the log directory
// durable. The log must not start after the snapshot that a power failure leaves.
func (st *storage) syncDir() error {
	return steperr.Wrap(st.fs.SyncDir(st.dir), "sync data folder", st.dir)
}

// advance brings the content of the disk up to date with the committed state s
// at position p, and rewrites the log. After a failed sync, records that can be
// read may exist only in the cache of the operating system.
func (st *storage) advance(rec *recoveredState, p raft.Position, s *state.State) error {
	if s.Index > rec.state.Index {
		data, err := s.EncodeSnapshot()
		if err != nil {
			return err
		}
		if err := st.saveSnapshot(&snapshotRecord{Position: p, State: data}); err != nil {
			return err
		}
		rec.state = s
		rec.alignWithSnapshot(p)
	}
	rec.commit = max(rec.commit, rec.state.Index)
	if err := st.syncDir(); err != nil {
		return err
	}
	return st.rewrite(rec.base, rec.hard, rec.commit, rec.entries)
}

func (st *storage) loadSnapshot() (*snapshotRecord, error) {
	data, err := snap.Load(st.fs, st.path(snapshotFile))
	if err != nil || data == nil {
		return nil, err
	}
	r := new(snapshotRecord)
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, steperr.Wrap(err, "decode snapshot", st.path(snapshotFile))
	}
	return r, nil
}

// replay applies one record of the log file.
func (rec *recoveredState) replay(r wal.Record) error {
	switch r.Type {
	case recordEntry:
		var e raft.Entry
		if err := cbor.Unmarshal(r.Data, &e); err != nil {
			return err
		}
		next := rec.base.Index + uint64(len(rec.entries)) + 1
		if e.Index <= rec.base.Index || e.Index > next {
			return fmt.Errorf("entry %d follows entry %d", e.Index, next-1)
		}
		rec.entries = append(rec.entries[:e.Index-rec.base.Index-1], e)
		return nil
	case recordHardState:
		return cbor.Unmarshal(r.Data, &rec.hard)
	case recordCommit:
		return cbor.Unmarshal(r.Data, &rec.commit)
	case recordBase:
		rec.entries = nil
		return cbor.Unmarshal(r.Data, &rec.base)
	default:
		return fmt.Errorf("unknown record type %d", r.Type)
	}
}

// alignWithSnapshot makes the log consistent with the snapshot. After a crash
// between saving a received snapshot and rewriting the log, the log ends before
// the snapshot or conflicts with it; it is then discarded. It reports whether
// the log was discarded.
func (rec *recoveredState) alignWithSnapshot(p raft.Position) bool {
	if p.Index == rec.base.Index {
		return false
	}
	last := rec.base.Index + uint64(len(rec.entries))
	if p.Index <= last && rec.entries[p.Index-rec.base.Index-1].Term == p.Term {
		return false
	}
	rec.base, rec.entries = p, nil
	return true
}

// write writes an output without syncing it, and reports whether it must be
// synced before messages that depend on it are sent.
func (st *storage) write(hard *raft.HardState, entries []raft.Entry, commit uint64) (bool, error) {
	if st == nil {
		return false, nil
	}
	for i := range entries {
		if err := st.append(recordEntry, &entries[i]); err != nil {
			return false, err
		}
	}
	if hard != nil {
		if err := st.append(recordHardState, hard); err != nil {
			return false, err
		}
	}
	if commit > st.writtenCommit {
		st.writtenCommit = commit
		if err := st.append(recordCommit, commit); err != nil {
			return false, err
		}
	}
	return hard != nil || len(entries) > 0, st.wal.Flush()
}

func (st *storage) append(kind uint8, v any) error {
	data, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	st.wal.Append(wal.Record{Type: kind, Data: data})
	return nil
}

func (st *storage) sync() error {
	if st == nil {
		return nil
	}
	return st.wal.Sync()
}

// saveSnapshot replaces the snapshot file unless the file is at least as
// recent. It may run concurrently with the other methods.
func (st *storage) saveSnapshot(r *snapshotRecord) error {
	if st == nil {
		return nil
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return err
	}
	st.snapMu.Lock()
	defer st.snapMu.Unlock()
	if r.Position.Index <= st.snapshot {
		return nil
	}
	if err := snap.Save(st.fs, st.path(snapshotFile), data); err != nil {
		return err
	}
	st.snapshot = r.Position.Index
	return nil
}

// rewrite replaces the log with base and the entries that follow it. A snapshot
// at base or later must already be saved.
func (st *storage) rewrite(base raft.Position, hard raft.HardState, commit uint64, tail []raft.Entry) error {
	if st == nil {
		return nil
	}
	records := make([]wal.Record, 0, len(tail)+3)
	add := func(kind uint8, v any) error {
		data, err := cbor.Marshal(v)
		records = append(records, wal.Record{Type: kind, Data: data})
		return err
	}
	err := add(recordBase, base)
	for i := 0; i < len(tail) && err == nil; i++ {
		err = add(recordEntry, &tail[i])
	}
	if err == nil {
		err = add(recordHardState, hard)
	}
	if err == nil {
		err = add(recordCommit, commit)
	}
	if err != nil {
		return err
	}
	st.writtenCommit = commit
	return st.wal.Rewrite(records)
}

func (st *storage) close() error {
	if st == nil || st.wal == nil {
		return nil
	}
	return st.wal.Close()
}
