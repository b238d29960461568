package replica

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"apricotrouter/event"
	"apricotrouter/raft"
	"apricotrouter/snap"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	chunkBytes = 1 << 20
	// chunkTimeout limits the transfer of one chunk.
	chunkTimeout = 5 * time.Second
	// maxSnapshotBytes limits the memory used by an incoming transfer.
	maxSnapshotBytes = 1 << 30
	// compactBytes is the size of applied commands at which the log is
	// compacted even if it has fewer than SnapshotEntries entries.
	compactBytes = 16 << 20
	// trailingBytes limits the size of the applied entries that stay in the log.
	trailingBytes = 4 << 20
)

// chunk is a part of an encoded snapshotRecord.
type chunk struct {
	Group  string  `cbor:"1,keyasint"`
	From   raft.ID `cbor:"2,keyasint"`
	To     raft.ID `cbor:"3,keyasint"`
	Term   uint64  `cbor:"4,keyasint"`
	Index  uint64  `cbor:"5,keyasint"`
	Offset int     `cbor:"6,keyasint,omitempty"`
	Total  int     `cbor:"7,keyasint"`
	Sum    uint32  `cbor:"8,keyasint"` // CRC-32C of the complete snapshotRecord
	Data   []byte  `cbor:"9,keyasint"`
}

type chunkResponse struct{}

// startSnapshotTransfer sends the current state to a replica that lacks entries
// which are no longer in the log.
func (r *Replica) startSnapshotTransfer(to raft.ID) {
	instance := r.instanceOf(to)
	s := r.State()
	position, ok := r.core.Position(s.Index)
	if instance == "" || !ok || r.snapshotTransfers[to] {
		r.core.ReportSnapshot(to, 0)
		return
	}
	r.snapshotTransfers[to] = true
	head := chunk{Group: r.id.Group, From: r.id.Replica, To: to, Term: r.core.Status().Term, Index: s.Index}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		err := r.sendSnapshot(instance, head, position, s)
		r.inbox.post(func() { r.finishSnapshotTransfer(to, instance, s.Index, err) })
	}()
}

func (r *Replica) finishSnapshotTransfer(to raft.ID, instance string, index uint64, err error) {
	delete(r.snapshotTransfers, to)
	if err != nil {
		event.Log(r.opts.Logger, event.ReplicaSnapshotFailed, slog.String("peer", instance), slog.Any("error", err))
		index = 0
	}
	r.core.ReportSnapshot(to, index)
}

func (r *Replica) sendSnapshot(instance string, c chunk, p raft.Position, s *state.State) error {
	data, err := encodeSnapshot(p, s)
	if err != nil {
		return err
	}
	c.Total, c.Sum = len(data), snap.Checksum(data)
	for c.Offset < len(data) {
		c.Data = data[c.Offset:min(c.Offset+chunkBytes, len(data))]
		if err := r.sendChunk(instance, c); err != nil {
			return steperr.Wrap(err, "send snapshot", instance)
		}
		c.Offset += len(c.Data)
	}
	return nil
}

func (r *Replica) sendChunk(instance string, c chunk) error {
	ctx, cancel := context.WithTimeout(r.ctx, chunkTimeout)
	defer cancel()
	return r.opts.Peers.Call(ctx, instance, transport.KindRaftSnapshot, c, &chunkResponse{})
}

func encodeSnapshot(p raft.Position, s *state.State) ([]byte, error) {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(snapshotRecord{Position: p, State: data})
}

// snapshotAssembler collects the chunks of one incoming transfer.
type snapshotAssembler struct {
	mu    sync.Mutex
	from  raft.ID
	index uint64
	sum   uint32
	data  []byte
}

// add returns the complete data after its last chunk has arrived, and nil
// before.
func (in *snapshotAssembler) add(c *chunk) ([]byte, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if c.Offset == 0 {
		in.from, in.index, in.sum, in.data = c.From, c.Index, c.Sum, nil
	}
	same := in.from == c.From && in.index == c.Index && in.sum == c.Sum
	if !same || c.Offset != len(in.data) || c.Offset+len(c.Data) > min(c.Total, maxSnapshotBytes) {
		return nil, fmt.Errorf("snapshot chunk at %d does not follow %d received bytes", c.Offset, len(in.data))
	}
	in.data = append(in.data, c.Data...)
	if len(in.data) < c.Total {
		return nil, nil
	}
	data := in.data
	in.data = nil
	if snap.Checksum(data) != c.Sum {
		return nil, fmt.Errorf("snapshot at %d has a wrong checksum", c.Index)
	}
	return data, nil
}

// receivedSnapshot is a complete snapshot that the core has not accepted yet.
type receivedSnapshot struct {
	record snapshotRecord
	state  *state.State
}

func (r *Replica) onChunk(ctx context.Context, from string, c *chunk) (*chunkResponse, error) {
	data, err := r.snapshotAssembler.add(c)
	if err != nil || data == nil {
		return &chunkResponse{}, err
	}
	got := new(receivedSnapshot)
	if err := cbor.Unmarshal(data, &got.record); err != nil {
		return nil, steperr.Wrap(err, "decode snapshot", from)
	}
	if got.state, err = state.DecodeSnapshot(got.record.State); err != nil {
		return nil, steperr.Wrap(err, "decode snapshot", from)
	}
	var accepted bool
	err = r.runOnLoop(ctx, func() {
		if accepted = r.acceptsMessage(from, c.Group, c.To); accepted {
			r.members.byID[c.From] = from
			r.stepSnapshot(c, got)
		}
	})
	if err == nil && !accepted {
		err = fmt.Errorf("snapshot is for replica %d of group %s", c.To, c.Group)
	}
	return &chunkResponse{}, err
}

// stepSnapshot passes a received snapshot to the core. If the core accepts it,
// it is stored in r.receivedSnapshot for installation.
func (r *Replica) stepSnapshot(c *chunk, got *receivedSnapshot) {
	p := &got.record.Position
	r.core.Step(raft.Message{Type: raft.MsgSnapshot, From: c.From, To: c.To, Term: c.Term, Snapshot: p})
	if base := r.core.Base(); base.Index == p.Index && base.Term == p.Term {
		r.receivedSnapshot = got
	}
}

// installSnapshot replaces the state with the received snapshot. The state is
// replaced before the disk write, because it is committed even if this disk
// cannot store it.
func (r *Replica) installSnapshot(p raft.Position) error {
	got := r.receivedSnapshot
	r.adoptReceivedState()
	r.compact.snapshotAt = p.Index
	event.Log(r.opts.Logger, event.ReplicaSnapshotInstalled, slog.Uint64("index", p.Index))
	if err := r.store.saveSnapshot(&got.record); err != nil {
		return err
	}
	return r.store.rewrite(r.core.Base(), r.core.HardState(), r.core.Status().Commit, r.core.Tail())
}

// adoptReceivedState replaces the state with that of the received snapshot, if
// there is one.
func (r *Replica) adoptReceivedState() {
	got := r.receivedSnapshot
	r.receivedSnapshot = nil
	if got != nil && got.state.Index > r.State().Index {
		r.state.Store(got.state)
		r.notify()
	}
}

// compaction is the progress of log compaction.
type compaction struct {
	snapshotAt uint64 // index of the last snapshot
	bytes      int    // size of the commands applied since then
	running    bool   // a snapshot is being saved in the background
}

// maybeCompact saves a snapshot and compacts the log when the log has grown
// enough. The state is encoded and written outside the loop goroutine.
func (r *Replica) maybeCompact() {
	s := r.State()
	grown := s.Index-r.compact.snapshotAt >= r.opts.SnapshotEntries || r.compact.bytes >= compactBytes
	if r.compact.running || !grown {
		return
	}
	position, ok := r.core.Position(s.Index)
	if !ok {
		return
	}
	store := r.store
	r.compact = compaction{snapshotAt: s.Index, running: store != nil}
	if store == nil {
		r.compactLog(s.Index)
		return
	}
	r.background.Add(1)
	go func() {
		defer r.background.Done()
		err := saveStateSnapshot(store, position, s)
		r.inbox.post(func() {
			r.compact.running = false
			if err != nil && store == r.store {
				r.detachStorage(err)
				return
			}
			r.compactLog(s.Index)
		})
	}()
}

func saveStateSnapshot(store *storage, p raft.Position, s *state.State) error {
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	return store.saveSnapshot(&snapshotRecord{Position: p, State: data})
}

// compactLog discards the entries that the snapshot at index covers, except for
// the trailing entries for slightly lagging replicas.
func (r *Replica) compactLog(index uint64) {
	r.core.Compact(index - r.trailingEntries(index))
	err := r.store.rewrite(r.core.Base(), r.core.HardState(), r.core.Status().Commit, r.core.Tail())
	if err != nil {
		r.detachStorage(err)
	}
}

// trailingEntries returns the number of entries up to index that stay in the
// log.
func (r *Replica) trailingEntries(index uint64) uint64 {
	base := r.core.Base().Index
	tail := r.core.Tail()
	n, size := uint64(0), 0
	for i := index; i > base && n < r.opts.TrailingEntries; i-- {
		size += len(tail[i-base-1].Data)
		if size > trailingBytes {
			break
		}
		n++
	}
	return n
}
